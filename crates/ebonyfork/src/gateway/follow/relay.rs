//! Tells other VMs of the store's changes, and hears of them from others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc::UnboundedSender;

use super::message::MirrorMessage;
use crate::gateway::core::now;
use crate::ident::{SessionId, VmAddress};
use crate::store::{StoreEvent, StoreItem, StoreRevision};
use crate::wire::{LinkSender, PeerMessage};

/// Bytes of values in one message: at 14 Mbit/s it holds the link for a seventh of a second.
const PIECE_BYTES: usize = 256 * 1024;

/// What is relayed to followers, and where news of followed VMs goes.
#[derive(Debug, Default)]
pub struct MirrorRelay {
    items: RefCell<BTreeMap<CompactString, StoreItem>>,
    revision: Cell<StoreRevision>,
    /// Whether everything was read from the store at least once.
    whole: Cell<bool>,
    answers: Cell<bool>,
    /// When what is told was last known to be all that the store held.
    proof: Cell<Option<Instant>>,
    followers: RefCell<FxHashMap<SessionId, LinkSender>>,
    news: RefCell<Option<UnboundedSender<(VmAddress, MirrorMessage)>>>,
}

impl MirrorRelay {
    /// Takes a message of another VM.
    pub fn take_message(&self, from: LinkSender, message: MirrorMessage) {
        let Some(peer) = from.peer() else { return };
        match message {
            MirrorMessage::Follow { known } => self.accept(peer, from, known),
            MirrorMessage::Leave => {
                self.followers.borrow_mut().remove(&peer);
            }
            other => {
                if let Some(news) = &*self.news.borrow() {
                    // The VM may have changed its source just now.
                    let _changed = news.send((peer.vm, other));
                }
            }
        }
    }

    /// Takes a follower on. One that knows as much as this VM needs nothing; if the store does not answer here, the
    /// follower is better off elsewhere. When the store was down for all, sending everything each time took 35 MB
    /// between 89 VMs.
    fn accept(&self, peer: SessionId, from: LinkSender, known: StoreRevision) {
        let answers = self.answers.get();
        send(&from, self.alive());
        if !answers {
            return;
        }
        if self.whole.get() && self.revision.get() != known {
            self.send_whole(&from);
        }
        self.followers.borrow_mut().insert(peer, from);
    }

    /// Sets where news of followed VMs goes.
    pub fn listen(&self, news: UnboundedSender<(VmAddress, MirrorMessage)>) {
        *self.news.borrow_mut() = Some(news);
    }

    /// Takes in the whole range as this VM has put it in force, and passes it on.
    pub fn replace(&self, items: &[StoreItem], revision: StoreRevision) {
        self.revision.set(revision);
        let pair = |item: &StoreItem| (item.key.clone(), item.clone());
        *self.items.borrow_mut() = items.iter().map(pair).collect();
        self.whole.set(true);
        let followers: Vec<_> = self.followers.borrow().values().cloned().collect();
        for follower in followers {
            self.send_whole(&follower);
        }
    }

    /// Takes in what has changed in what this VM has put in force, and passes it on. With it everything up to a
    /// revision is known.
    pub fn pass_on(&self, events: Vec<StoreEvent>, revision: StoreRevision) {
        self.revision.set(revision);
        if events.is_empty() {
            return;
        }
        self.keep(&events);
        self.send_all(&MirrorMessage::Changed { events, revision });
    }

    fn keep(&self, events: &[StoreEvent]) {
        let mut items = self.items.borrow_mut();
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    items.insert(item.key.clone(), item.clone());
                }
                StoreEvent::Removed { key, .. } => {
                    items.remove(key);
                }
            }
        }
    }

    /// Notes whether the store answers, and tells the followers.
    pub fn note_answers(&self, answers: bool) {
        self.answers.set(answers);
    }

    /// Tells the followers that this VM lives and whether the store answers it.
    pub fn send_alive(&self) {
        self.send_all(&self.alive());
    }

    fn alive(&self) -> MirrorMessage {
        MirrorMessage::Alive {
            answers: self.answers.get(),
            proof_age_ms: self.proof_age().as_millis() as u64,
        }
    }

    /// Notes the moment at which this VM's copy is known to have been up to date.
    pub fn note_proof(&self, at: Instant) {
        self.proof.set(self.proof.get().max(Some(at)));
    }

    /// Time since this VM's copy was known to be up to date.
    pub fn proof_age(&self) -> Duration {
        let proof = self.proof.get();
        proof.map_or(Duration::MAX, |at| now().saturating_duration_since(at))
    }

    fn send_whole(&self, to: &LinkSender) {
        let items = self.items.borrow();
        let mut pieces: Vec<Vec<StoreItem>> = vec![Vec::new()];
        let mut bytes = 0;
        for item in items.values() {
            bytes += item.value.len();
            if bytes > PIECE_BYTES && pieces.last().is_some_and(|piece| !piece.is_empty()) {
                pieces.push(Vec::new());
                bytes = item.value.len();
            }
            if let Some(piece) = pieces.last_mut() {
                piece.push(item.clone());
            }
        }
        let last = pieces.len() - 1;
        for (number, items) in pieces.into_iter().enumerate() {
            let message = MirrorMessage::Whole {
                items,
                first: number == 0,
                last: number == last,
                revision: self.revision.get(),
            };
            if !send(to, message) {
                return;
            }
        }
    }

    fn send_all(&self, message: &MirrorMessage) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_session, follower| send(follower, message.clone()));
    }
}

/// Sends a message; false if the link is gone, and the follower with it: it asks again when it is back.
fn send(to: &LinkSender, message: MirrorMessage) -> bool {
    match to.send(PeerMessage::Mirror(message)) {
        Ok(()) => true,
        Err(error) => {
            log::debug!("follower {:?}: {error}", to.peer());
            false
        }
    }
}
