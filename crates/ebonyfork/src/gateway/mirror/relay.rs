//! Shares this VM's copy of the store with its followers and receives messages from the VM that it follows.

use std::cell::{Cell, Ref, RefCell};
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;
use tokio::sync::mpsc::UnboundedSender;

use super::applied::AppliedState;
use super::copy::{ChangeOutcome, CopyChange, CopyGap, StoreCopy};
use super::followers::{CopyState, FollowerTable};
use super::message::MirrorMessage;
use crate::gateway::clock::now;
use crate::ident::VmAddress;
use crate::store::{StoreEvent, StoreRevision};
use crate::wire::LinkSender;

/// The copy of the store, the VMs that follow this one, and where messages from followed VMs are delivered.
#[derive(Debug)]
pub struct MirrorRelay {
    copy: RefCell<StoreCopy>,
    /// What has been put in force from the copy.
    applied: RefCell<AppliedState>,
    /// Whether the copy was discarded and not read in full since.
    needs_full_read: Cell<bool>,
    /// Number of runs of the task that follows the store.
    follower_runs: Cell<u64>,
    /// The time as of which the copy was last known to be up to date; none if it never was.
    up_to_date_at: Cell<Option<Instant>>,
    /// Age from which the copy counts as stale. Followers are sent no changes from a stale copy.
    max_age: Duration,
    followers: RefCell<FollowerTable>,
    /// Whether calls to the store fail.
    is_store_failing: Cell<bool>,
    /// Time until which followers are to keep missing entries, because the store has answered again after an outage.
    keep_missing_until: Cell<Option<Instant>>,
    /// Where messages from followed VMs are sent, each with its sender; none until this VM starts following.
    message_sink: RefCell<Option<UnboundedSender<(VmAddress, MirrorMessage)>>>,
}

impl MirrorRelay {
    /// Creates a relay with an empty copy; `max_age` is the age from which the copy counts as stale, `sent_bytes`
    /// counts the bytes sent to followers.
    pub fn new(max_age: Duration, sent_bytes: Counter) -> Self {
        Self {
            copy: RefCell::default(),
            applied: RefCell::default(),
            needs_full_read: Cell::default(),
            follower_runs: Cell::default(),
            up_to_date_at: Cell::default(),
            max_age,
            followers: RefCell::new(FollowerTable::new(sent_bytes)),
            is_store_failing: Cell::default(),
            keep_missing_until: Cell::default(),
            message_sink: RefCell::default(),
        }
    }

    /// Handles a follower's message, or delivers a followed VM's message to the message sink. `link` leads to its
    /// sender.
    pub fn handle_message(&self, link: LinkSender, message: MirrorMessage) {
        let Some(peer) = link.peer() else { return };
        let mut followers = self.followers.borrow_mut();
        match message {
            MirrorMessage::Follow {
                known_revision,
                held_values,
                poll,
            } => {
                followers.record_poll(peer, link, (known_revision, held_values), (poll, now()));
                self.copy.borrow_mut().keep_patches(true);
                if self.is_store_failing.get() {
                    followers.send_to(peer, MirrorMessage::StoreFailing);
                }
                if let Some(grace) = self.keep_missing_grace() {
                    followers.send_to(peer, store_returned(grace));
                }
                followers.send_state_to(peer, &self.state());
            }
            MirrorMessage::Leave => {
                followers.remove(peer);
                self.copy.borrow_mut().keep_patches(!followers.is_empty());
            }
            MirrorMessage::Ack {
                transfer,
                received_bytes,
            } => {
                followers.note_acked_bytes(peer, transfer, received_bytes as usize, now());
            }
            source_message => {
                if let Some(sink) = &*self.message_sink.borrow() {
                    // The receiver is gone if this VM's task that follows the store has ended.
                    let _follower_ended = sink.send((peer.vm, source_message));
                }
                return;
            }
        }
        self.send_updates(&mut followers);
    }

    /// Sets where messages from followed VMs are delivered.
    pub fn set_message_sink(&self, sink: UnboundedSender<(VmAddress, MirrorMessage)>) {
        *self.message_sink.borrow_mut() = Some(sink);
    }

    /// Borrows this VM's copy of the store.
    pub fn copy(&self) -> Ref<'_, StoreCopy> {
        self.copy.borrow()
    }

    /// Returns the VMs that follow this one.
    pub fn follower_vms(&self) -> Vec<VmAddress> {
        self.followers.borrow().vms().collect()
    }

    /// Begins to apply a change and to put it in force. The copy is discarded unless [`ApplyGuard::finish`] is called.
    pub fn begin_apply(&self) -> ApplyGuard<'_> {
        ApplyGuard {
            relay: self,
            is_finished: false,
        }
    }

    /// Applies a change to the copy and sends it to the followers. After the copy was discarded, only a full read that is
    /// no older than what is in force is accepted; its outcome has the removals since then.
    pub fn apply(&self, change: CopyChange) -> ChangeOutcome {
        let is_accepted = match &change {
            CopyChange::Full { revision, .. } => *revision >= self.applied_revision(),
            CopyChange::Changes { .. } | CopyChange::Difference { .. } => false,
        };
        if self.needs_full_read.get() && !is_accepted {
            return ChangeOutcome {
                events: Vec::new(),
                result: Err(CopyGap),
            };
        }
        let mut outcome = self.copy.borrow_mut().apply(change);
        if self.needs_full_read.replace(false) {
            let applied = self.applied.borrow();
            outcome.events.extend(applied.missing_in(&self.copy()));
        }
        self.send_updates(&mut self.followers.borrow_mut());
        outcome
    }

    /// Records an event that was put in force.
    pub fn record_applied(&self, event: &StoreEvent) {
        self.applied.borrow_mut().record_event(event);
    }

    /// Returns the revision up to which all changes were put in force.
    pub fn applied_revision(&self) -> StoreRevision {
        self.applied.borrow().revision()
    }

    /// Returns whether the copy was discarded and has to be read in full.
    pub fn needs_full_read(&self) -> bool {
        self.needs_full_read.get()
    }

    /// Discards the copy. What is in force stays, and followers are told nothing until the copy has been read in full.
    fn discard_copy(&self) {
        let (Ok(mut copy), Ok(followers)) =
            (self.copy.try_borrow_mut(), self.followers.try_borrow())
        else {
            // Nothing holds a borrow across the application of a change.
            log::error!("copy of the store is in use and can't be discarded");
            return;
        };
        log::error!(
            "copy of the store discarded at revision={}: a change was not applied completely",
            copy.complete_revision()
        );
        *copy = StoreCopy::default();
        copy.keep_patches(!followers.is_empty());
        self.needs_full_read.set(true);
    }

    /// Counts a run of the task that follows the store, and returns the number of earlier ones.
    pub fn count_follower_run(&self) -> u64 {
        let earlier_runs = self.follower_runs.get();
        self.follower_runs.set(earlier_runs + 1);
        earlier_runs
    }

    /// Returns whether calls to the store fail.
    pub fn is_store_failing(&self) -> bool {
        self.is_store_failing.get()
    }

    /// Informs the followers that the store answers again after an outage and that missing entries are kept for `grace`.
    /// VMs that begin to follow this one within that time are informed as well.
    pub fn announce_store_return(&self, grace: Duration) {
        self.keep_missing_until.set(Some(now() + grace));
        self.followers.borrow().send_to_all(&store_returned(grace));
    }

    /// Sets whether calls to the store fail, and informs the followers if they do.
    pub fn set_store_failing(&self, is_failing: bool) {
        if self.is_store_failing.replace(is_failing) || !is_failing {
            return;
        }
        let followers = self.followers.borrow();
        followers.send_to_all(&MirrorMessage::StoreFailing);
    }

    /// Returns how much longer followers are to keep missing entries.
    fn keep_missing_grace(&self) -> Option<Duration> {
        let until = self.keep_missing_until.get()?;
        Some(until.saturating_duration_since(now())).filter(|grace| !grace.is_zero())
    }

    /// Records a time as of which the copy is known to have been up to date, and informs the followers. Times before
    /// the last recorded one are ignored. A time in the future proves no more than the present one: the copy would count
    /// as up to date until then, whatever happens.
    pub fn note_up_to_date(&self, at: Instant) {
        let at = at.min(now());
        if self
            .up_to_date_at
            .get()
            .is_some_and(|last_time| last_time >= at)
        {
            return;
        }
        self.up_to_date_at.set(Some(at));
        let mut followers = self.followers.borrow_mut();
        self.send_updates(&mut followers);
        followers.send_state_to_all(&self.state());
    }

    /// Returns the age of the copy: the time since it was last known to be up to date; none if it never was.
    pub fn copy_age(&self) -> Option<Duration> {
        let up_to_date_at = self.up_to_date_at.get();
        up_to_date_at.map(|at| now().saturating_duration_since(at))
    }

    /// Returns the time until the copy becomes stale; none if it already is.
    pub fn time_until_stale(&self) -> Option<Duration> {
        self.max_age.checked_sub(self.copy_age()?)
    }

    /// Returns whether the copy is stale: it may lack changes that should be in force by now.
    pub fn is_stale(&self) -> bool {
        self.time_until_stale()
            .is_none_or(|remaining| remaining.is_zero())
    }

    /// Returns the copy's complete revision and the time as of which it was up to date; no time if the copy is stale or was
    /// discarded, so that followers switch to another source.
    fn state(&self) -> CopyState {
        CopyState {
            revision: self.copy.borrow().complete_revision(),
            up_to_date_at: self
                .up_to_date_at
                .get()
                .filter(|_time| !self.is_stale() && !self.needs_full_read.get()),
        }
    }

    /// Sends followers the changes that they lack, unless the copy is stale: they should switch to another source then.
    /// While the store is unreachable for all VMs, sending changes from stale copies takes 35 MB among 89 VMs.
    fn send_updates(&self, followers: &mut FollowerTable) {
        if let Some(up_to_date_at) = self.state().up_to_date_at {
            followers.send_updates(&self.copy.borrow(), up_to_date_at, now());
        }
    }
}

/// Discards the copy on drop, unless the change was applied and put in force completely: a copy that counts changes as known
/// that are not in force would never show them again.
#[derive(Debug)]
pub struct ApplyGuard<'a> {
    relay: &'a MirrorRelay,
    is_finished: bool,
}

impl ApplyGuard<'_> {
    /// Records that the change was applied and put in force.
    pub fn finish(mut self) {
        self.is_finished = true;
        if !self.relay.needs_full_read.get() {
            let revision = self.relay.copy().complete_revision();
            self.relay.applied.borrow_mut().record_revision(revision);
        }
    }
}

impl Drop for ApplyGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.relay.discard_copy();
        }
    }
}

fn store_returned(grace: Duration) -> MirrorMessage {
    let grace_ms = u32::try_from(grace.as_millis()).unwrap_or(u32::MAX);
    MirrorMessage::StoreReturned { grace_ms }
}
