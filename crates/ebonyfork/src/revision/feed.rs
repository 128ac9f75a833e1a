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
/// How often what is newly held is told again to other peers, one tick apart: with four peers told once, one VM in
/// fifty hears nothing; with three rounds, one in 160,000.
const TELL_AGAIN: u32 = 2;
/// How long partners have to show a number that another VM has shown, before that VM itself is asked.
const PARTNER_TIME: Duration = Duration::from_millis(500);
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
/// // Partners have half a second to show the number first; this VM knows none.
/// assert!(feed.note_peer(Duration::ZERO, peer, 3).is_empty());
/// let actions = feed.note_peer(Duration::from_millis(500), peer, 3);
/// assert_eq!(actions.as_slice(), [FeedAction::Ask(peer)]);
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
    /// Rounds of telling that are left.
    tell_again: u32,
    /// Since when a number that is wanted has been known.
    wanted_since: Option<Duration>,
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
            tell_again: 0,
            wanted_since: None,
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

    /// Notes the number that a peer has shown by gossip. It may be lower than before: the process may be a new one.
    pub fn note_peer(&mut self, now: Duration, vm: VmAddress, number: u64) -> FeedActions {
        self.note_shown(now, vm, number, false)
    }

    /// Notes the number that a peer has told this VM itself: there is a link already, so it is asked at once.
    pub fn note_told(&mut self, now: Duration, vm: VmAddress, number: u64) -> FeedActions {
        self.note_shown(now, vm, number, true)
    }

    fn note_shown(
        &mut self,
        now: Duration,
        vm: VmAddress,
        number: u64,
        linked: bool,
    ) -> FeedActions {
        if vm != self.own {
            self.shown.insert(vm, number);
        }
        let mut actions = FeedActions::new();
        if !self.is_wanted(number) {
            return actions;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let near_enough = linked || self.peers.is_partner(vm) || now >= since + PARTNER_TIME;
        if near_enough && self.pull.is_none() {
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
        self.wanted_since = None;
        self.tell_again = TELL_AGAIN;
        self.tell(&mut actions);
        actions
    }

    /// Tells the held number to a few peers that haven't shown it.
    fn tell(&mut self, actions: &mut FeedActions) {
        for vm in self.peers.draw_told(&mut self.rng) {
            if self.shown(vm) < self.held {
                actions.push(FeedAction::Tell(vm));
            }
        }
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
        self.wanted_since = None;
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
        if self.tell_again > 0 {
            self.tell_again -= 1;
            self.tell(&mut actions);
        }
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

    /// Pulls from a partner that is ahead, or from any VM that is once the partners have had their time.
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
        let since = *self.wanted_since.get_or_insert(now);
        let partner = |vm: &VmAddress| self.peers.is_partner(*vm);
        if ahead.iter().any(partner) {
            ahead.retain(|vm| partner(vm));
        } else if now < since + PARTNER_TIME {
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
