//! Messages of the revision actor and their handlers.

use std::sync::Arc;

use compact_str::CompactString;
use xtra::prelude::*;

use crate::ident::{RevisionNumber, VmAddress};
use crate::topology::TopologyView;
use crate::wire::{LinkSender, PeerMessage};

use super::super::assembly::HeldRevision;
use super::super::message::RevisionMessage;
use super::super::record::{HeadRecord, PartDigest};
use super::super::watcher::LoadError;
use super::{ObservedHead, RevisionActor};

/// Stops the feed.
pub(in crate::revision) struct StopFeed;

/// Revisions that peers have shown by gossip.
pub(in crate::revision) struct GossipedRevisions {
    pub(in crate::revision) revisions: Vec<(VmAddress, RevisionNumber)>,
}

/// A revision message from a peer.
pub(in crate::revision) struct ReceivedMessage {
    pub(in crate::revision) sender: LinkSender,
    pub(in crate::revision) message: RevisionMessage,
}

/// The head that the store shows; `None` if it has none.
pub(in crate::revision) struct HeadObserved {
    pub(in crate::revision) head: Option<HeadRecord>,
}

/// Result of an attempt to restore the head after the store has lost its last writes: whether the head was moved.
pub(in crate::revision) struct RestoreFinished {
    pub(in crate::revision) restore_result: Result<bool, CompactString>,
}

/// Result of loading a revision from the store.
pub(in crate::revision) struct RevisionLoaded {
    pub(in crate::revision) head: HeadRecord,
    pub(in crate::revision) load_result: Result<HeldRevision, LoadError>,
}

/// Result of writing the zone's evidence.
pub(in crate::revision) struct EvidenceWritten {
    pub(in crate::revision) has_failed: bool,
}

/// One interval of the actor's timer has passed.
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
        self.run_actions(actions, &address);
        if self.feed.is_watching() {
            self.load_wanted_revision(&address);
            self.restore_lost_head(&address);
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
        self.evidence.apply_topology(now, &view, &self.feed);
        let actions = self.feed.apply_topology(&view);
        self.run_actions(actions, &ctx.mailbox().address());
    }
}

impl Handler<GossipedRevisions> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: GossipedRevisions, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        for (vm, revision) in message.revisions {
            self.handle_gossiped_revision(vm, revision, &address);
        }
    }
}

impl Handler<ReceivedMessage> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: ReceivedMessage, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let ReceivedMessage { sender, message } = message;
        let Some(peer) = sender.peer() else {
            return;
        };
        let vm = peer.vm;
        match message {
            RevisionMessage::Held(head) => {
                self.check_divergence(head, vm);
                self.check_ancestry(vm, head);
                self.handle_received_revision(vm, head.revision, &address);
            }
            RevisionMessage::Ask { above } => {
                let reply = self.reply_to_ask(above);
                send_reply(&sender, reply);
                self.handle_received_revision(vm, above, &address);
            }
            RevisionMessage::Change(change) => self.handle_change(vm, change, &address),
            RevisionMessage::AskPart { sha256 } => {
                let text = self.part_text(sha256);
                send_reply(&sender, Some(RevisionMessage::Part { sha256, text }));
            }
            RevisionMessage::Part { sha256, text } => self.handle_part(vm, sha256, text, &address),
            RevisionMessage::AskSettled => {
                let settled_change = self.held_change().filter(|_| !self.is_provisional());
                send_reply(
                    &sender,
                    settled_change.cloned().map(RevisionMessage::Settled),
                );
            }
            RevisionMessage::Settled(change) => self.handle_settled(vm, change, &address),
        }
    }
}

impl RevisionActor {
    /// Returns the held change if it is above the asker's revision, otherwise only the held head.
    fn reply_to_ask(&self, above: RevisionNumber) -> Option<RevisionMessage> {
        let held_revision = self.held_revision.as_ref()?;
        if held_revision.change.revision > above {
            return Some(RevisionMessage::Change(held_revision.change.clone()));
        }
        Some(RevisionMessage::Held(held_revision.head()))
    }

    /// Returns the text of a held part; `None` if it isn't held or the byte budget is used up.
    fn part_text(&mut self, sha256: PartDigest) -> Option<bytes::Bytes> {
        let now = self.now();
        let text = self.held_revision.as_ref()?.texts.get(&sha256)?.clone();
        if !self.serve_budget.try_take(now, text.len()) {
            self.metrics.refused_parts.inc();
            return None;
        }
        Some(text)
    }
}

fn send_reply(sender: &LinkSender, reply: Option<RevisionMessage>) {
    let Some(reply) = reply else {
        return;
    };
    if let Err(error) = sender.send(PeerMessage::Revision(reply)) {
        log::debug!("revision reply: {error}");
    }
}

impl Handler<HeadObserved> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: HeadObserved, ctx: &mut Context<Self>) {
        let HeadObserved { head } = message;
        if let Some(head) = head {
            self.record_highest_revision(head.revision);
            self.check_divergence(head, "the store");
        }
        self.observed_head = head.map_or(ObservedHead::Absent, ObservedHead::Present);
        self.load_wanted_revision(&ctx.mailbox().address());
    }
}

impl Handler<RestoreFinished> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: RestoreFinished, _ctx: &mut Context<Self>) {
        self.is_restoring = false;
        match message.restore_result {
            Ok(true) => self.metrics.restored_heads.inc(),
            Ok(false) => 0,
            Err(error) => {
                log::info!("restoring the head: {error}");
                0
            }
        };
    }
}

impl Handler<RevisionLoaded> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: RevisionLoaded, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.is_loading = false;
        match message.load_result {
            Ok(assembled_revision) => {
                self.load_backoff.reset();
                self.put_in_force(assembled_revision, "store", "", &address);
                self.load_wanted_revision(&address);
            }
            Err(error) => {
                log::info!("loading {} from the store: {error}", message.head);
                let retry_wait = self.load_backoff.next_wait(&mut self.rng);
                self.next_load_at = self.now() + retry_wait;
                // The record and the parts are written before the head is moved, so the store has lost them: treat its
                // head as refused, so that the held revision is restored.
                if matches!(error, LoadError::Lost { .. }) && self.held_revision.is_some() {
                    self.refused_head = Some(message.head);
                }
            }
        }
    }
}

impl Handler<EvidenceWritten> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: EvidenceWritten, _ctx: &mut Context<Self>) {
        self.is_writing_evidence = false;
        if message.has_failed {
            self.evidence.record_write_failure();
        }
    }
}
