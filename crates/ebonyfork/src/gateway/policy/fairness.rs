//! Decides which request gets the next free connection to an upstream.
//!
//! This handles an organisation that sends many times as much as the others to the same upstreams. In a queue ordered by
//! deadline alone its requests are ahead of most others, and nearly all connections serve it.
//!
//! Requests that can still meet their deadline go before those that can't. Among requests of the same urgency,
//! organisations take turns by start-time fair queueing: each has a virtual time at which its last turn ends, which a
//! turn advances by the usual service time divided by the organisation's weight, and the organisation whose next turn
//! starts first is served. Within an organisation the route's priority decides, then the deadline. If all requests have
//! the same organisation or none, only the latter two decide, and without organisations only the deadline.
//!
//! An organisation whose last turn has ended has no state, so that state is bounded by the organisations that were
//! served while others waited. As long as nobody waits there is none.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Weights of organisations by priority; those of less urgent priorities are [`DEFAULT_WEIGHT`].
const WEIGHTS: [u64; 2] = [4, 2];
/// Weight of an organisation without a priority.
const DEFAULT_WEIGHT: u64 = 1;
/// Virtual time of a microsecond of service at weight 1. All weights divide it.
const VIRTUAL_UNIT: u64 = 4;
/// Largest number of organisations whose turns are remembered in one queue (about 40 kB). With more, a new round begins.
const MAX_FLOWS: usize = 1_024;

/// Identifies the organisation whose requests take turns with those of others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FlowKey(u64);

impl FlowKey {
    /// Creates the key of an organisation.
    pub fn new(organisation: &str) -> Self {
        Self(xxh3_64(organisation.as_bytes()))
    }
}

/// Share of a request's organisation in a queue. The default is the same for all requests, for configurations without
/// organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueShare {
    flow: FlowKey,
    weight: u64,
    route_priority: u8,
}

impl Default for QueueShare {
    fn default() -> Self {
        Self {
            flow: FlowKey::default(),
            weight: DEFAULT_WEIGHT,
            route_priority: 0,
        }
    }
}

impl QueueShare {
    /// Creates the share of a request. Requests without an organisation, which need no credential, take turns as one.
    pub fn new(flow: FlowKey, organisation_priority: Option<u8>, route_priority: u8) -> Self {
        Self {
            flow,
            weight: organisation_weight(organisation_priority),
            route_priority,
        }
    }
}

/// Returns the weight of an organisation with a priority; 0 is the most urgent.
pub fn organisation_weight(priority: Option<u8>) -> u64 {
    let weight = priority.and_then(|priority| WEIGHTS.get(usize::from(priority)));
    weight.copied().unwrap_or(DEFAULT_WEIGHT)
}

/// Properties by which a request that waits for a connection is ranked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotPriority {
    /// Time until which an answer is of full value; `None` if that time has passed.
    pub useful_until: Option<Instant>,
    /// Usual service time of the upstream.
    pub service_time: Duration,
    /// Time at which the request was received.
    pub received: Instant,
    /// Share of the request's organisation.
    pub share: QueueShare,
}

impl SlotPriority {
    /// Returns the rank by deadline at a given time; the lowest goes first. The first element tells whether the request
    /// can no longer meet its deadline.
    fn deadline_rank(&self, now: Instant) -> (bool, Instant) {
        match self.useful_until {
            Some(deadline) if now + self.service_time <= deadline => (false, deadline),
            _ => (true, self.received),
        }
    }
}

/// Turns of the organisations in one queue.
#[derive(Debug, Clone, Default)]
struct FairTurns {
    /// Start of the turn that was served last.
    virtual_time: u64,
    /// Ends of the last turns that end after [`Self::virtual_time`].
    turn_ends: FxHashMap<FlowKey, u64>,
}

impl FairTurns {
    /// Returns the virtual time at which an organisation's next turn starts.
    fn next_start(&self, flow: FlowKey) -> u64 {
        let turn_end = self.turn_ends.get(&flow).copied();
        turn_end.map_or(self.virtual_time, |turn_end| {
            turn_end.max(self.virtual_time)
        })
    }

    fn record_turn(&mut self, share: QueueShare, service_time: Duration) {
        let start = self.next_start(share.flow);
        let cost = (service_time.as_micros() as u64).max(1) * VIRTUAL_UNIT / share.weight;
        if start > self.virtual_time || self.turn_ends.len() >= MAX_FLOWS {
            self.advance(start);
        }
        self.turn_ends.insert(share.flow, start + cost);
    }

    /// Advances the virtual time and forgets the turns that have ended by then.
    fn advance(&mut self, virtual_time: u64) {
        self.virtual_time = virtual_time;
        self.turn_ends
            .retain(|_flow, turn_end| *turn_end > virtual_time);
        if self.turn_ends.len() >= MAX_FLOWS {
            self.turn_ends.clear();
        }
    }
}

/// Request that gets the next free connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextWaiter {
    /// Index of the request among those that wait.
    pub index: usize,
    /// Whether the request can no longer meet its deadline.
    pub is_late: bool,
    /// Whether the request goes before one of another organisation that would be first by deadline.
    pub has_overtaken: bool,
}

/// Order of the requests that wait for connections to one upstream.
#[derive(Debug, Clone, Default)]
pub struct SlotOrder {
    /// Turns of requests that can meet their deadline.
    timely_turns: FairTurns,
    /// Turns of requests that can no longer meet their deadline.
    late_turns: FairTurns,
}

impl SlotOrder {
    /// Returns the request that gets the next free connection.
    pub fn next_waiter<'a>(
        &self,
        waiters: impl Iterator<Item = &'a SlotPriority> + Clone,
        now: Instant,
    ) -> Option<NextWaiter> {
        let rank = |waiter: &SlotPriority| {
            let (is_late, time) = waiter.deadline_rank(now);
            let start = self.turns(is_late).next_start(waiter.share.flow);
            (is_late, start, waiter.share.route_priority, time)
        };
        let numbered_waiters = waiters.clone().enumerate();
        let (index, first) = numbered_waiters.min_by_key(|(_index, waiter)| rank(waiter))?;
        let by_deadline = waiters.min_by_key(|waiter| waiter.deadline_rank(now))?;
        Some(NextWaiter {
            index,
            is_late: rank(first).0,
            has_overtaken: by_deadline.share.flow != first.share.flow,
        })
    }

    /// Records that a request has got a connection while `waiter_count` others wait. Turns count only while somebody
    /// waits: a connection that nobody else wanted is no advantage.
    pub fn record_grant(&mut self, waiter: &SlotPriority, is_late: bool, waiter_count: usize) {
        if waiter_count == 0 {
            *self = Self::default();
            return;
        }
        let turns = if is_late {
            &mut self.late_turns
        } else {
            &mut self.timely_turns
        };
        turns.record_turn(waiter.share, waiter.service_time);
    }

    fn turns(&self, is_late: bool) -> &FairTurns {
        if is_late {
            &self.late_turns
        } else {
            &self.timely_turns
        }
    }

    /// Returns the number of organisations with state.
    #[cfg(test)]
    pub fn flow_count(&self) -> usize {
        self.timely_turns.turn_ends.len() + self.late_turns.turn_ends.len()
    }
}

#[cfg(test)]
mod replay;
#[cfg(test)]
#[path = "fairness_tests.rs"]
mod tests;
