//! How a VM learns that there is something newer, and from whom it gets it: plain code over numbers.
//!
//! The feed knows the number it holds and those that its peers have shown. Whatever shows a higher number starts a
//! pull from that peer; a pull that brings nothing in time is tried with another one. What has become held is told to
//! a few peers of the zone, which spreads it in a few rounds; now and then a peer drawn at random is asked, which
//! mends whatever the telling has missed and brings a fresh VM up while the store is down.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::ident::{VmAddress, ZoneName};
use crate::topology::TopologyView;

use super::peers::ZonePeers;

/// How long a pull may go without progress.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a peer drawn at random is asked.
pub const ASK_PERIOD: Duration = Duration::from_secs(4);
/// How often one is asked as long as nothing is held.
const EMPTY_ASK_PERIOD: Duration = Duration::from_millis(250);

/// What a feed wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedAction {
    /// Start to watch the store.
    Watch,
    /// Stop to watch the store.
    Unwatch,
    /// Ask this VM for what is above the held number.
    Ask(VmAddress),
    /// Tell this VM the held number.
    Tell(VmAddress),
}

/// Actions of one decision.
pub type FeedActions = SmallVec<[FeedAction; 8]>;

#[derive(Debug, Clone, Copy)]
struct PendingPull {
    vm: VmAddress,
    until: Duration,
}

/// What one VM knows about one thing that spreads.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::ident::VmAddress;
/// use ebonyfork::revision::{FeedAction, FeedState};
///
/// let own: VmAddress = "127.0.0.1".parse()?;
/// let peer: VmAddress = "127.0.0.2".parse()?;
/// let mut feed = FeedState::new("config/head", own, "zone-a".parse()?, 7);
/// let actions = feed.note_peer(Duration::ZERO, peer, 3);
/// assert_eq!(actions.as_slice(), [FeedAction::Ask(peer)]);
/// assert!(feed.note_peer(Duration::ZERO, peer, 3).is_empty());
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone)]
pub struct FeedState {
    key: &'static str,
    own: VmAddress,
    peers: ZonePeers,
    rng: ChaCha8Rng,
    held: u64,
    /// The highest number that was fetched and found unusable.
    rejected: u64,
    shown: FxHashMap<VmAddress, u64>,
    watching: bool,
    pull: Option<PendingPull>,
    next_ask: Duration,
}

impl FeedState {
    /// Starts with nothing held, and with the own VM alone.
    pub fn new(key: &'static str, own: VmAddress, zone: ZoneName, seed: u64) -> Self {
        Self {
            key,
            own,
            peers: ZonePeers::new(own, zone),
            rng: ChaCha8Rng::seed_from_u64(seed),
            held: 0,
            rejected: 0,
            shown: FxHashMap::default(),
            watching: false,
            pull: None,
            next_ask: Duration::ZERO,
        }
    }

    /// The VMs around.
    pub fn peers(&self) -> &ZonePeers {
        &self.peers
    }

    /// The number a VM has shown last; zero if none.
    pub fn shown(&self, vm: VmAddress) -> u64 {
        if vm == self.own {
            return self.held;
        }
        self.shown.get(&vm).copied().unwrap_or(0)
    }

    /// Tells whether this VM watches the store.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Takes a new view of the topology.
    pub fn take_topology(&mut self, view: &TopologyView) -> FeedActions {
        self.peers.update(view);
        self.shown.retain(|vm, _| view.vms.contains_key(vm));
        let watching = self.peers.is_watcher(self.key);
        let mut actions = FeedActions::new();
        if watching != self.watching {
            self.watching = watching;
            actions.push(if watching {
                FeedAction::Watch
            } else {
                FeedAction::Unwatch
            });
        }
        actions
    }

    /// Notes the number that a peer has shown last. It may be lower than before: the process may be a new one.
    pub fn note_peer(&mut self, now: Duration, vm: VmAddress, number: u64) -> FeedActions {
        if vm != self.own {
            self.shown.insert(vm, number);
        }
        let mut actions = FeedActions::new();
        if self.is_wanted(number) && self.pull.is_none() {
            self.pull_from(now, vm, &mut actions);
        }
        actions
    }

    /// Notes that the running pull goes on.
    pub fn note_progress(&mut self, now: Duration) {
        if let Some(pull) = &mut self.pull {
            pull.until = now + PULL_TIMEOUT;
        }
    }

    /// Notes that a number is held now; lower ones change nothing.
    pub fn note_held(&mut self, number: u64) -> FeedActions {
        let mut actions = FeedActions::new();
        if number <= self.held {
            return actions;
        }
        self.held = number;
        self.pull = None;
        for vm in self.peers.draw_told(&mut self.rng) {
            if self.shown(vm) < number {
                actions.push(FeedAction::Tell(vm));
            }
        }
        actions
    }

    /// Notes that a settled peer's revision has replaced a provisional one; it may have a lower number.
    pub fn note_adopted(&mut self, number: u64) -> FeedActions {
        self.held = self.held.min(number.saturating_sub(1));
        self.rejected = 0;
        self.note_held(number)
    }

    /// Notes that a number was fetched but can't be used, so that it isn't fetched again and again.
    pub fn note_rejected(&mut self, number: u64) {
        self.rejected = self.rejected.max(number);
        self.pull = None;
    }

    /// Tells whether a number is worth a pull.
    pub fn is_wanted(&self, number: u64) -> bool {
        number > self.held.max(self.rejected)
    }

    /// Notes that a peer couldn't serve the running pull.
    pub fn note_failure(&mut self, now: Duration, vm: VmAddress) -> FeedActions {
        let mut actions = FeedActions::new();
        if self.pull.is_some_and(|pull| pull.vm == vm) {
            self.give_up_pull(now, &mut actions);
        }
        actions
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> FeedActions {
        let mut actions = FeedActions::new();
        if self.pull.is_some_and(|pull| pull.until <= now) {
            self.give_up_pull(now, &mut actions);
        }
        if self.pull.is_none() && self.shown.values().any(|shown| self.is_wanted(*shown)) {
            self.pull_from_any(now, &mut actions);
        }
        if now >= self.next_ask {
            self.next_ask = now + self.ask_period();
            if self.pull.is_none()
                && let Some(vm) = self.peers.draw_asked(&mut self.rng)
            {
                actions.push(FeedAction::Ask(vm));
            }
        }
        actions
    }

    /// The time to the next question, spread so that VMs don't ask in step.
    fn ask_period(&mut self) -> Duration {
        let period = if self.held == 0 {
            EMPTY_ASK_PERIOD
        } else {
            ASK_PERIOD
        };
        period.mul_f64(self.rng.random_range(0.5..=1.5))
    }

    /// Ends a pull; the peer counts as having shown nothing until it shows something again.
    fn give_up_pull(&mut self, now: Duration, actions: &mut FeedActions) {
        if let Some(pull) = self.pull.take() {
            self.shown.remove(&pull.vm);
            self.pull_from_any(now, actions);
        }
    }

    fn pull_from_any(&mut self, now: Duration, actions: &mut FeedActions) {
        let mut ahead: SmallVec<[VmAddress; 16]> = SmallVec::new();
        for (vm, shown) in &self.shown {
            if self.is_wanted(*shown) {
                ahead.push(*vm);
            }
        }
        if ahead.is_empty() {
            return;
        }
        // The order of the map is not part of the decision.
        ahead.sort_unstable();
        let vm = ahead[self.rng.random_range(0..ahead.len())];
        self.pull_from(now, vm, actions);
    }

    fn pull_from(&mut self, now: Duration, vm: VmAddress, actions: &mut FeedActions) {
        let until = now + PULL_TIMEOUT;
        self.pull = Some(PendingPull { vm, until });
        actions.push(FeedAction::Ask(vm));
    }
}

#[cfg(test)]
#[path = "feed_tests.rs"]
mod tests;
