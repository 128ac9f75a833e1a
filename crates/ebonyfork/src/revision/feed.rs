//! Decides how a VM learns of a newer revision and which peer it fetches it from, as a state machine without I/O.
//!
//! The feed knows the revision that this VM holds and those that its peers have shown. A higher revision from a peer
//! starts a pull from that peer; a pull without progress is repeated with another peer. A VM announces each newly held
//! revision to a few peers of its zone, so that it reaches the zone in a few rounds. From time to time it also asks a
//! random peer, which makes up for lost announcements and lets a new VM catch up while the store is down.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::ident::{VmAddress, ZoneName};
use crate::topology::TopologyView;

use super::peers::ZonePeers;

/// How long a pull of a revision from a peer may go without progress.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a newly held revision is announced again, one tick apart. With four peers and a single round, one VM in
/// fifty hears nothing; with three rounds, one in 160,000.
const EXTRA_ANNOUNCE_ROUNDS: u32 = 2;
/// How long to wait for a partner to show a revision that a more distant VM has shown, before asking that VM itself.
const PARTNER_WAIT: Duration = Duration::from_millis(500);
/// Average interval at which a VM asks a random peer for a newer revision.
pub const ASK_PERIOD: Duration = Duration::from_secs(4);
/// Average interval at which a VM asks a random peer while it holds no revision itself.
const EMPTY_ASK_PERIOD: Duration = Duration::from_millis(250);

/// An action that the feed asks its driver to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedAction {
    /// Start to watch the feed's key in the store.
    Watch,
    /// Stop watching the feed's key in the store.
    Unwatch,
    /// Ask this VM for a revision above the held one.
    Ask(VmAddress),
    /// Announce the held revision to this VM.
    Announce(VmAddress),
}

/// The actions that the feed requests in response to one event.
pub type FeedActions = SmallVec<[FeedAction; 8]>;

/// The running pull: the peer that was asked for a newer revision, and when the pull fails without progress.
#[derive(Debug, Clone, Copy)]
struct PendingPull {
    vm: VmAddress,
    deadline: Duration,
}

/// What one VM knows about the revisions that it and its peers hold.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::ident::VmAddress;
/// use ebonyfork::revision::{FeedAction, FeedState};
///
/// let own_vm: VmAddress = "127.0.0.1".parse()?;
/// let peer: VmAddress = "127.0.0.2".parse()?;
/// let mut feed = FeedState::new("config/head", own_vm, "zone-a".parse()?, 7);
/// // A partner has half a second to show the revision first; this VM knows none.
/// assert!(feed.record_gossiped_revision(Duration::ZERO, peer, 3).is_empty());
/// let actions = feed.record_gossiped_revision(Duration::from_millis(500), peer, 3);
/// assert_eq!(actions.as_slice(), [FeedAction::Ask(peer)]);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone)]
pub struct FeedState {
    /// Store key of the record that the zone's watchers watch.
    watched_key: &'static str,
    own_vm: VmAddress,
    peers: ZonePeers,
    rng: ChaCha8Rng,
    held_revision: u64,
    /// The highest revision that was fetched and found unusable.
    rejected_revision: u64,
    /// The revision that each other VM has shown last.
    shown_revisions: FxHashMap<VmAddress, u64>,
    /// Whether this VM watches `watched_key` in the store.
    is_watcher: bool,
    /// Number of announcement rounds left for the held revision.
    announce_rounds_left: u32,
    /// When this VM first heard of a revision that it wants.
    wanted_since: Option<Duration>,
    pending_pull: Option<PendingPull>,
    next_ask_at: Duration,
}

impl FeedState {
    /// Creates a feed that holds no revision and knows no other VM.
    pub fn new(watched_key: &'static str, own_vm: VmAddress, zone: ZoneName, seed: u64) -> Self {
        Self {
            watched_key,
            own_vm,
            peers: ZonePeers::new(own_vm, zone),
            rng: ChaCha8Rng::seed_from_u64(seed),
            held_revision: 0,
            rejected_revision: 0,
            shown_revisions: FxHashMap::default(),
            is_watcher: false,
            announce_rounds_left: 0,
            wanted_since: None,
            pending_pull: None,
            next_ask_at: Duration::ZERO,
        }
    }

    /// Returns the VMs that this VM exchanges messages with.
    pub fn peers(&self) -> &ZonePeers {
        &self.peers
    }

    /// Returns the revision that a VM has shown last; zero if it has shown none.
    pub fn shown_revision(&self, vm: VmAddress) -> u64 {
        if vm == self.own_vm {
            return self.held_revision;
        }
        self.shown_revisions.get(&vm).copied().unwrap_or(0)
    }

    /// Returns whether this VM watches the feed's key in the store.
    pub fn is_watching(&self) -> bool {
        self.is_watcher
    }

    /// Applies a new topology view. Starts or stops the watch if this VM's role as a watcher has changed.
    pub fn apply_topology(&mut self, view: &TopologyView) -> FeedActions {
        self.peers.update(view);
        self.shown_revisions
            .retain(|vm, _| view.vms.contains_key(vm));
        let is_watcher = self.peers.is_watcher(self.watched_key);
        let mut actions = FeedActions::new();
        if is_watcher != self.is_watcher {
            self.is_watcher = is_watcher;
            actions.push(if is_watcher {
                FeedAction::Watch
            } else {
                FeedAction::Unwatch
            });
        }
        actions
    }

    /// Records the revision that a peer has shown by gossip. It may be lower than before if the peer's process was
    /// restarted.
    pub fn record_gossiped_revision(
        &mut self,
        now: Duration,
        vm: VmAddress,
        revision: u64,
    ) -> FeedActions {
        self.record_shown_revision(now, vm, revision, false)
    }

    /// Records the revision that a peer has sent in a message. The link to the peer exists already, so the peer may be
    /// asked at once.
    pub fn record_received_revision(
        &mut self,
        now: Duration,
        vm: VmAddress,
        revision: u64,
    ) -> FeedActions {
        self.record_shown_revision(now, vm, revision, true)
    }

    /// Records the revision that a peer has shown, and asks the peer for it if it is wanted. A peer to which a link
    /// exists already (`is_linked`) is asked without waiting for a partner.
    fn record_shown_revision(
        &mut self,
        now: Duration,
        vm: VmAddress,
        revision: u64,
        is_linked: bool,
    ) -> FeedActions {
        if vm != self.own_vm {
            self.shown_revisions.insert(vm, revision);
        }
        let mut actions = FeedActions::new();
        if !self.is_wanted(revision) {
            return actions;
        }
        let wanted_since = *self.wanted_since.get_or_insert(now);
        let may_ask = is_linked || self.peers.is_partner(vm) || now >= wanted_since + PARTNER_WAIT;
        if may_ask && self.pending_pull.is_none() {
            self.pull_from(now, vm, &mut actions);
        }
        actions
    }

    /// Extends the deadline of the running pull.
    pub fn record_pull_progress(&mut self, now: Duration) {
        if let Some(pull) = &mut self.pending_pull {
            pull.deadline = now + PULL_TIMEOUT;
        }
    }

    /// Records a newly held revision and announces it; a revision that isn't higher than the held one is ignored.
    pub fn record_held_revision(&mut self, revision: u64) -> FeedActions {
        let mut actions = FeedActions::new();
        if revision <= self.held_revision {
            return actions;
        }
        self.held_revision = revision;
        self.pending_pull = None;
        self.wanted_since = None;
        self.announce_rounds_left = EXTRA_ANNOUNCE_ROUNDS;
        self.announce(&mut actions);
        actions
    }

    /// Announces the held revision to a few random partners that haven't shown it.
    fn announce(&mut self, actions: &mut FeedActions) {
        for vm in self.peers.draw_announce_targets(&mut self.rng) {
            if self.shown_revision(vm) < self.held_revision {
                actions.push(FeedAction::Announce(vm));
            }
        }
    }

    /// Records that the revision of a settled peer has replaced the provisional one held here; it may be the lower one.
    pub fn record_adopted_revision(&mut self, revision: u64) -> FeedActions {
        self.held_revision = self.held_revision.min(revision.saturating_sub(1));
        self.rejected_revision = 0;
        self.record_held_revision(revision)
    }

    /// Records that a revision was fetched and can't be used, so that it isn't fetched again.
    pub fn record_rejected_revision(&mut self, revision: u64) {
        self.rejected_revision = self.rejected_revision.max(revision);
        self.pending_pull = None;
        self.wanted_since = None;
    }

    /// Returns whether a revision is higher than the held one and any rejected one.
    pub fn is_wanted(&self, revision: u64) -> bool {
        revision > self.held_revision.max(self.rejected_revision)
    }

    /// Records that a peer couldn't serve the running pull, and pulls from another peer.
    pub fn record_pull_failure(&mut self, now: Duration, vm: VmAddress) -> FeedActions {
        let mut actions = FeedActions::new();
        if self.pending_pull.is_some_and(|pull| pull.vm == vm) {
            self.abandon_pull(now, &mut actions);
        }
        actions
    }

    /// Runs the timers: repeats announcements, replaces a stalled pull and asks a random peer.
    pub fn tick(&mut self, now: Duration) -> FeedActions {
        let mut actions = FeedActions::new();
        if self.announce_rounds_left > 0 {
            self.announce_rounds_left -= 1;
            self.announce(&mut actions);
        }
        if self.pending_pull.is_some_and(|pull| pull.deadline <= now) {
            self.abandon_pull(now, &mut actions);
        }
        if self.pending_pull.is_none()
            && self
                .shown_revisions
                .values()
                .any(|revision| self.is_wanted(*revision))
        {
            self.pull_from_any(now, &mut actions);
        }
        if now >= self.next_ask_at {
            self.next_ask_at = now + self.draw_ask_interval();
            if self.pending_pull.is_none()
                && let Some(vm) = self.peers.draw_ask_target(&mut self.rng)
            {
                actions.push(FeedAction::Ask(vm));
            }
        }
        actions
    }

    /// Returns the time until the next question to a random peer, with jitter so that VMs don't ask at the same moment.
    fn draw_ask_interval(&mut self) -> Duration {
        let period = if self.held_revision == 0 {
            EMPTY_ASK_PERIOD
        } else {
            ASK_PERIOD
        };
        period.mul_f64(self.rng.random_range(0.5..=1.5))
    }

    /// Ends the running pull and starts another one. The peer counts as having shown nothing until it shows a revision
    /// again.
    fn abandon_pull(&mut self, now: Duration, actions: &mut FeedActions) {
        if let Some(pull) = self.pending_pull.take() {
            self.shown_revisions.remove(&pull.vm);
            self.pull_from_any(now, actions);
        }
    }

    /// Pulls from a random partner that has a wanted revision, or after [`PARTNER_WAIT`] from any VM that has one.
    fn pull_from_any(&mut self, now: Duration, actions: &mut FeedActions) {
        let mut candidates: SmallVec<[VmAddress; 16]> = SmallVec::new();
        for (vm, revision) in &self.shown_revisions {
            if self.is_wanted(*revision) {
                candidates.push(*vm);
            }
        }
        if candidates.is_empty() {
            return;
        }
        let wanted_since = *self.wanted_since.get_or_insert(now);
        let is_partner = |vm: &VmAddress| self.peers.is_partner(*vm);
        if candidates.iter().any(is_partner) {
            candidates.retain(|vm| is_partner(vm));
        } else if now < wanted_since + PARTNER_WAIT {
            return;
        }
        // Sorted because the order of a hash map must not affect the random choice.
        candidates.sort_unstable();
        let vm = candidates[self.rng.random_range(0..candidates.len())];
        self.pull_from(now, vm, actions);
    }

    /// Starts a pull from a VM.
    fn pull_from(&mut self, now: Duration, vm: VmAddress, actions: &mut FeedActions) {
        let deadline = now + PULL_TIMEOUT;
        self.pending_pull = Some(PendingPull { vm, deadline });
        actions.push(FeedAction::Ask(vm));
    }
}

#[cfg(test)]
#[path = "feed_tests.rs"]
mod tests;
