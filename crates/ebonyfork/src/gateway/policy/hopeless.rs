//! Refuses queries that can't be answered, before anything is sent.
//!
//! This handles the loss of all upstreams of several shards, as when a zone or a whole service is killed. Without it,
//! each query sends its other shards, retries the missing ones and is refused late; its work delays queries that could
//! be answered, and its callers return together.
//!
//! A query is refused only if the outcome is certain: what is unknown counts as possible. An upstream counts as missing
//! only if this VM may not send to it, if it has been unreachable for at least as long as the caller still waits, or if
//! the queue that it reported itself outlasts the deadline. Slowness never counts, because slow phases end at any time.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Age from which a load report no longer counts. An upstream's queue changes within tens of milliseconds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);
/// Fraction of a reported queue that is assumed to be processed before a new request. The rest may be cancelled by its
/// callers meanwhile.
const QUEUE_FRACTION: f64 = 0.5;
/// Time after which a shard is assumed to have an upstream again if nothing is known about its return. The same as for
/// requests without any registered upstream.
const UNKNOWN_RETURN: Duration = Duration::from_millis(100);
/// Time over which the returns of one priority are spread. Three of them are shorter than a third of the shortest wait
/// of callers (1,200 ms), the part of it for which callers obey `Retry-After`.
const PRIORITY_SPAN: Duration = Duration::from_millis(100);
/// Number of priorities whose returns are told apart; less urgent ones count as the last of them.
const PRIORITY_COUNT: u8 = 4;
/// Fractional part of the golden ratio. Its multiples, modulo 1, are spread evenly for any number of callers.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// What is known of one upstream of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOutlook {
    /// Time until which this VM may send nothing to the upstream, because it is cold; `None` if it may.
    pub withheld_until: Option<Instant>,
    /// Time until which the upstream is assumed to be unreachable; `None` if it is reachable or that is unknown.
    pub unreachable_until: Option<Instant>,
    /// Earliest time of an answer by the queue that the upstream has reported; `None` if unknown.
    pub earliest_answer: Option<Instant>,
}

impl UpstreamOutlook {
    /// Returns the time from which the upstream may answer again, or `None` if it may answer before `deadline`.
    fn missing_until(&self, deadline: Instant) -> Option<Instant> {
        let is_late = |time: &Instant| *time > deadline;
        self.withheld_until
            .or_else(|| self.unreachable_until.filter(is_late))
            .or_else(|| self.earliest_answer.filter(is_late))
    }
}

/// Whether a shard's part may arrive before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardOutlook {
    /// The part may arrive.
    Possible,
    /// The part can't arrive.
    Missing {
        /// Time from which an upstream may answer again; `None` if unknown.
        back_at: Option<Instant>,
    },
}

impl ShardOutlook {
    /// Returns the outlook of a shard with the given upstreams, leaving out those that get no requests any more.
    /// `may_register` tells whether further upstreams may be about to register.
    pub fn new(
        upstreams: impl IntoIterator<Item = UpstreamOutlook>,
        may_register: bool,
        deadline: Instant,
    ) -> Self {
        let mut back_at: Option<Instant> = None;
        let mut has_upstream = false;
        for upstream in upstreams {
            has_upstream = true;
            let Some(missing_until) = upstream.missing_until(deadline) else {
                return Self::Possible;
            };
            back_at = Some(back_at.map_or(missing_until, |back_at| back_at.min(missing_until)));
        }
        if !has_upstream && may_register {
            return Self::Possible;
        }
        Self::Missing { back_at }
    }
}

/// A query that can't be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HopelessQuery {
    /// Number of shards whose part can't arrive.
    pub missing_count: usize,
    /// Time after which enough shards may have an upstream again.
    pub back_after: Duration,
}

/// Returns the query's state if more shards are missing than the `spare_count` that it can do without.
pub fn check_hopeless(
    shards: impl IntoIterator<Item = ShardOutlook>,
    spare_count: usize,
    now: Instant,
) -> Option<HopelessQuery> {
    let mut return_times: SmallVec<[Duration; 16]> = SmallVec::new();
    for shard in shards {
        let ShardOutlook::Missing { back_at } = shard else {
            continue;
        };
        let back_after = back_at.map(|back_at| back_at.saturating_duration_since(now));
        return_times.push(back_after.unwrap_or(UNKNOWN_RETURN));
    }
    let needed_count = return_times.len().checked_sub(spare_count + 1)?;
    // A caller that returned with the first of several shards that are needed would be refused again.
    return_times.sort_unstable();
    Some(HopelessQuery {
        missing_count: return_times.len(),
        back_after: return_times[needed_count],
    })
}

/// Returns the earliest time of an answer to a new request at an upstream that had `waiting_per_slot` requests in its
/// queue when it reported that at `reported_at`; `None` if the report is too old. `shortest_time` is the shortest time
/// that an answer takes.
pub fn earliest_answer(
    waiting_per_slot: f64,
    reported_at: Instant,
    shortest_time: Duration,
    now: Instant,
) -> Option<Instant> {
    if now.saturating_duration_since(reported_at) > MAX_REPORT_AGE {
        return None;
    }
    let queue_time = shortest_time.mul_f64(waiting_per_slot * QUEUE_FRACTION);
    Some((reported_at + queue_time).max(now) + shortest_time)
}

/// Priority of the caller of a refused query; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnPriority {
    /// Priority of the organisation, if it has one. It goes before the route's.
    pub organisation: Option<u8>,
    /// Priority of the route.
    pub route: u8,
}

impl ReturnPriority {
    /// Returns the begin and the length of the period in which callers of this priority return.
    fn period(self) -> (Duration, Duration) {
        let route = u32::from(self.route.min(PRIORITY_COUNT - 1));
        let Some(organisation) = self.organisation else {
            return (PRIORITY_SPAN * route, PRIORITY_SPAN);
        };
        let organisation = u32::from(organisation.min(PRIORITY_COUNT - 1));
        let route_span = PRIORITY_SPAN / u32::from(PRIORITY_COUNT);
        (
            PRIORITY_SPAN * organisation + route_span * route,
            route_span,
        )
    }
}

/// Spreads the returns of refused callers so that the urgent ones return first and no two at the same time.
#[derive(Debug, Clone)]
pub struct ReturnSpread {
    /// Position of the last caller within its period, from 0 to 1.
    position: f64,
}

impl ReturnSpread {
    /// Creates a spread that begins at a position from 0 to 1. VMs use random ones, because callers of many VMs are
    /// refused together.
    pub fn new(position: f64) -> Self {
        Self { position }
    }

    /// Returns the delay of the next caller after the time at which the query may be answered again.
    pub fn next_delay(&mut self, priority: ReturnPriority) -> Duration {
        self.position = (self.position + GOLDEN_STEP).fract();
        let (begin, span) = priority.period();
        begin + span.mul_f64(self.position)
    }
}

#[cfg(test)]
#[path = "hopeless_tests.rs"]
mod tests;
