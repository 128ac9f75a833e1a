//! The messages of the revision actor and what it does with each.

use std::sync::Arc;

use compact_str::CompactString;
use xtra::prelude::*;

use crate::ident::{RevisionNumber, VmAddress};
use crate::topology::TopologyView;
use crate::wire::{LinkSender, PeerMessage};

use super::super::assembly::HeldRevision;
use super::super::message::RevisionMessage;
use super::super::record::{HeadRecord, PartDigest};
use super::super::watcher::LoadFault;
use super::{RevisionActor, StoreSight};

/// Ends the feed.
pub(in crate::revision) struct StopFeed;

/// Revisions that peers have shown.
pub(in crate::revision) struct PeerNote {
    pub(in crate::revision) shown: Vec<(VmAddress, RevisionNumber)>,
}

/// A message of a peer.
pub(in crate::revision) struct PeerInput {
    pub(in crate::revision) from: LinkSender,
    pub(in crate::revision) message: RevisionMessage,
}

/// The head as the store shows it; no head if it is absent.
pub(in crate::revision) struct HeadSeen {
    pub(in crate::revision) head: Option<HeadRecord>,
}

/// How the restoring of a head that went back ended: whether it was moved.
pub(in crate::revision) struct RestoreEnded {
    pub(in crate::revision) restored: Result<bool, CompactString>,
}

/// A revision read from the store, or why not.
pub(in crate::revision) struct StoreLoaded {
    pub(in crate::revision) head: HeadRecord,
    pub(in crate::revision) loaded: Result<HeldRevision, LoadFault>,
}

/// How the writing of evidence ended.
pub(in crate::revision) struct EvidenceWritten {
    pub(in crate::revision) failed: bool,
}

/// Time has passed.
pub(in crate::revision) struct Tick;

/// The topology view has changed.
pub(in crate::revision) struct TopologyChanged(pub(in crate::revision) Arc<TopologyView>);

impl Handler<Tick> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        while self.tasks.try_join_next().is_some() {}
        let now = self.now();
        let actions = self.feed.tick(now);
        self.run(actions, &address);
        if self.feed.is_watching() {
            self.load_wanted(&address);
            self.restore_lost(&address);
            self.write_due_evidence(&address);
        }
    }
}

impl Handler<StopFeed> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, _message: StopFeed, ctx: &mut Context<Self>) {
        ctx.stop_self();
    }
}

impl Handler<TopologyChanged> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: TopologyChanged, ctx: &mut Context<Self>) {
        let TopologyChanged(view) = message;
        let now = self.now();
        self.evidence.take_topology(now, &view, &self.feed);
        let actions = self.feed.take_topology(&view);
        self.run(actions, &ctx.mailbox().address());
    }
}

impl Handler<PeerNote> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: PeerNote, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        for (vm, revision) in message.shown {
            self.take_gossip(vm, revision, &address);
        }
    }
}

impl Handler<PeerInput> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: PeerInput, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let PeerInput { from, message } = message;
        let Some(peer) = from.peer() else {
            return;
        };
        let vm = peer.vm;
        match message {
            RevisionMessage::Held(head) => {
                self.check_divergence(head, vm);
                self.check_line(vm, head);
                self.take_told(vm, head.revision, &address);
            }
            RevisionMessage::Ask { above } => {
                let reply = self.answer_ask(above);
                reply_by(&from, reply);
                self.take_told(vm, above, &address);
            }
            RevisionMessage::Change(change) => self.take_change(vm, change, &address),
            RevisionMessage::AskPart { sha256 } => {
                let text = self.answer_part(sha256);
                reply_by(&from, Some(RevisionMessage::Part { sha256, text }));
            }
            RevisionMessage::Part { sha256, text } => self.take_part(vm, sha256, text, &address),
            RevisionMessage::AskSettled => {
                let settled = self.held_change().filter(|_| !self.is_provisional());
                reply_by(&from, settled.cloned().map(RevisionMessage::Settled));
            }
            RevisionMessage::Settled(change) => self.take_settled(vm, change, &address),
        }
    }
}

impl RevisionActor {
    fn answer_ask(&self, above: RevisionNumber) -> Option<RevisionMessage> {
        let held = self.held.as_ref()?;
        if held.change.revision > above {
            return Some(RevisionMessage::Change(held.change.clone()));
        }
        Some(RevisionMessage::Held(held.head()))
    }

    fn answer_part(&mut self, sha256: PartDigest) -> Option<bytes::Bytes> {
        let now = self.now();
        let text = self.held.as_ref()?.texts.get(&sha256)?.clone();
        if !self.served.take(now, text.len()) {
            self.metrics.refused_parts.inc();
            return None;
        }
        Some(text)
    }
}

fn reply_by(from: &LinkSender, reply: Option<RevisionMessage>) {
    let Some(reply) = reply else {
        return;
    };
    if let Err(error) = from.send(PeerMessage::Revision(reply)) {
        log::debug!("revision reply: {error}");
    }
}

impl Handler<HeadSeen> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: HeadSeen, ctx: &mut Context<Self>) {
        let HeadSeen { head } = message;
        if let Some(head) = head {
            self.note_highest(head.revision);
            self.check_divergence(head, "the store");
        }
        self.sight = head.map_or(StoreSight::Empty, StoreSight::Head);
        self.load_wanted(&ctx.mailbox().address());
    }
}

impl Handler<RestoreEnded> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: RestoreEnded, _ctx: &mut Context<Self>) {
        self.restoring = false;
        match message.restored {
            Ok(true) => self.metrics.restored.inc(),
            Ok(false) => 0,
            Err(error) => {
                log::info!("restoring the head: {error}");
                0
            }
        };
    }
}

impl Handler<StoreLoaded> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: StoreLoaded, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.loading = false;
        match message.loaded {
            Ok(whole) => {
                self.load_backoff.reset();
                self.put_in_force(whole, "store", "", &address);
                self.load_wanted(&address);
            }
            Err(fault) => {
                log::info!("{} from the store: {fault}", message.head);
                let wait = self.load_backoff.next_wait(&mut self.rng);
                self.next_load = self.now() + wait;
                // A head without its record or parts was lost by the store; what is held is put in its place.
                if matches!(fault, LoadFault::Lost { .. }) && self.held.is_some() {
                    self.refused = Some(message.head);
                }
            }
        }
    }
}

impl Handler<EvidenceWritten> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: EvidenceWritten, _ctx: &mut Context<Self>) {
        self.writing = false;
        if message.failed {
            self.evidence.note_failure();
        }
    }
}
