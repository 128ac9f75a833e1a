//! Shares this VM's copy of the store with its followers and receives messages from the VM that it follows.

use std::cell::{Cell, Ref, RefCell};
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;
use tokio::sync::mpsc::UnboundedSender;

use super::copy::{ChangeOutcome, CopyChange, StoreCopy};
use super::followers::{CopyState, FollowerTable};
use super::message::MirrorMessage;
use crate::gateway::clock::now;
use crate::ident::VmAddress;
use crate::wire::LinkSender;

/// The copy of the store, its followers, and the sink for messages from followed VMs.
#[derive(Debug)]
pub struct MirrorRelay {
    copy: RefCell<StoreCopy>,
    /// When the copy was last known to be up to date.
    proof: Cell<Option<Instant>>,
    /// Age of the proof from which followers are only told that the copy is stale.
    limit: Duration,
    followers: RefCell<FollowerTable>,
    messages: RefCell<Option<UnboundedSender<(VmAddress, MirrorMessage)>>>,
}

impl MirrorRelay {
    /// Creates a relay with an empty copy; `limit` is the age of the proof from which the copy counts as stale,
    /// `sent_bytes` counts the bytes sent to followers.
    pub fn new(limit: Duration, sent_bytes: Counter) -> Self {
        Self {
            copy: RefCell::default(),
            proof: Cell::default(),
            limit,
            followers: RefCell::new(FollowerTable::new(sent_bytes)),
            messages: RefCell::default(),
        }
    }

    /// Handles a message from another VM.
    pub fn take_message(&self, from: LinkSender, message: MirrorMessage) {
        let Some(peer) = from.peer() else { return };
        let mut followers = self.followers.borrow_mut();
        match message {
            MirrorMessage::Follow { known, held, poll } => {
                followers.record_poll(peer, from, (known, held), (poll, now()));
                self.copy.borrow_mut().keep_patches(true);
                followers.send_state_to(peer, &self.state());
            }
            MirrorMessage::Leave => {
                followers.remove(peer);
                self.copy.borrow_mut().keep_patches(!followers.is_empty());
            }
            MirrorMessage::Ack { transfer, bytes } => {
                followers.note_acked(peer, transfer, bytes as usize, now());
            }
            other => {
                if let Some(messages) = &*self.messages.borrow() {
                    // The receiver is gone if this VM has just stopped following.
                    let _source_changed = messages.send((peer.vm, other));
                }
                return;
            }
        }
        self.send_updates(&mut followers);
    }

    /// Sets where messages from followed VMs are delivered.
    pub fn set_message_sink(&self, messages: UnboundedSender<(VmAddress, MirrorMessage)>) {
        *self.messages.borrow_mut() = Some(messages);
    }

    /// Borrows the copy.
    pub fn copy(&self) -> Ref<'_, StoreCopy> {
        self.copy.borrow()
    }

    /// Applies a change to the copy and sends it to the followers.
    pub fn apply(&self, change: CopyChange) -> ChangeOutcome {
        let outcome = self.copy.borrow_mut().apply(change);
        self.send_updates(&mut self.followers.borrow_mut());
        outcome
    }

    /// Records a time as of which the copy is known to have been up to date, and informs the followers.
    pub fn note_proof(&self, at: Instant) {
        if self.proof.get().is_some_and(|known| known >= at) {
            return;
        }
        self.proof.set(Some(at));
        let mut followers = self.followers.borrow_mut();
        self.send_updates(&mut followers);
        followers.send_state_to_all(&self.state());
    }

    /// Returns the time since the copy was known to be up to date; none if it never was.
    pub fn proof_age(&self) -> Option<Duration> {
        let proof = self.proof.get();
        proof.map(|at| now().saturating_duration_since(at))
    }

    /// Returns the time until the copy becomes stale; none if it already is.
    pub fn time_until_stale(&self) -> Option<Duration> {
        self.limit.checked_sub(self.proof_age()?)
    }

    /// Returns whether the copy is stale: it may lack changes that should be in force by now.
    pub fn is_stale(&self) -> bool {
        self.time_until_stale().is_none_or(|left| left.is_zero())
    }

    fn state(&self) -> CopyState {
        CopyState {
            revision: self.copy.borrow().complete_revision(),
            proof: self.proof.get().filter(|_proof| !self.is_stale()),
        }
    }

    /// Sends followers the changes that they lack, unless the copy is stale: they should switch to another source then.
    /// When the store was unreachable for all, sending every change nevertheless took 35 MB among 89 VMs.
    fn send_updates(&self, followers: &mut FollowerTable) {
        if let Some(proof) = self.state().proof {
            followers.send_updates(&self.copy.borrow(), proof, now());
        }
    }
}
