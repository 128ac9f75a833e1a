use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::policy::health::UpstreamHealth;

const SHARDS: usize = 20;
/// Number of shards that a query can do without.
const SPARE_COUNT: usize = 2;
/// Time between two requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(20);
/// Times that callers wait, by kind of request.
const WAITS: [Duration; 3] = [ms(1_200), ms(2_000), ms(8_000)];

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Upstream of the replay, as one VM knows it.
struct ReplayUpstream {
    health: UpstreamHealth,
    is_registered: bool,
    /// Periods in which connections to the upstream fail.
    outages: Vec<(Duration, Duration)>,
}

impl ReplayUpstream {
    fn is_up(&self, at: Duration) -> bool {
        !self
            .outages
            .iter()
            .any(|(from, until)| (*from..*until).contains(&at))
    }

    /// Returns whether connections succeed at any time in a period.
    fn is_up_within(&self, from: Duration, wait: Duration) -> bool {
        // Outages never adjoin, so a period without a connection is within one of them.
        let is_within = |outage: &(Duration, Duration)| outage.0 <= from && from + wait < outage.1;
        !self.outages.iter().any(is_within)
    }
}

#[derive(Debug, Default, PartialEq)]
struct ReplayResult {
    /// Requests that were refused before anything was sent.
    refused: usize,
    /// Refused requests of which enough shards had an upstream before the deadline that was registered all the time.
    refused_servable: usize,
    /// Requests that were sent although too few shards had an upstream before the deadline.
    sent_in_vain: usize,
}

/// Replays requests of one VM against upstreams with outages.
struct HopelessReplay {
    start: Instant,
    shards: Vec<Vec<ReplayUpstream>>,
    result: ReplayResult,
}

impl HopelessReplay {
    fn new(upstreams_per_shard: usize) -> Self {
        let start = Instant::now();
        let upstream = || ReplayUpstream {
            health: UpstreamHealth::new(start, Duration::ZERO),
            is_registered: true,
            outages: Vec::new(),
        };
        let shard = |_| (0..upstreams_per_shard).map(|_| upstream()).collect();
        Self {
            start,
            shards: (0..SHARDS).map(shard).collect(),
            result: ReplayResult::default(),
        }
    }

    fn is_refused(&self, at: Duration, wait: Duration) -> bool {
        let now = self.start + at;
        let outlook = |upstream: &ReplayUpstream| UpstreamOutlook {
            withheld_until: None,
            unreachable_until: upstream.health.unreachable_until(now),
            earliest_answer: None,
        };
        let shards = self.shards.iter().map(|upstreams| {
            let registered = upstreams.iter().filter(|upstream| upstream.is_registered);
            ShardOutlook::new(registered.map(outlook), false, now + wait)
        });
        check_hopeless(shards, SPARE_COUNT, now).is_some()
    }

    fn request(&mut self, at: Duration, wait: Duration) {
        let is_servable = |upstreams: &&Vec<ReplayUpstream>| {
            let mut registered = upstreams.iter().filter(|upstream| upstream.is_registered);
            registered.any(|upstream| upstream.is_up_within(at, wait))
        };
        let servable_count = self.shards.iter().filter(is_servable).count();
        let is_servable = servable_count >= SHARDS - SPARE_COUNT;
        if self.is_refused(at, wait) {
            self.result.refused += 1;
            self.result.refused_servable += usize::from(is_servable);
            return;
        }
        self.result.sent_in_vain += usize::from(!is_servable);
        let (began, ended) = (self.start + at, self.start + at + ms(1));
        for upstream in self.shards.iter_mut().flatten() {
            upstream.health.record_start(began);
            if upstream.is_up(at) {
                upstream.health.record_answer(began, ended, 1.0);
            } else {
                upstream.health.record_unreachable(began, ended);
            }
        }
    }

    fn run(&mut self, end: Duration, mut change: impl FnMut(&mut Self, Duration)) {
        let mut at = Duration::ZERO;
        let mut number = 0;
        while at < end {
            change(self, at);
            self.request(at, WAITS[number % WAITS.len()]);
            number += 1;
            at += REQUEST_PERIOD;
        }
    }
}

/// Guards against sending the other shards of queries that can't be answered after a kill of all upstreams of some
/// shards, also while these are still registered.
#[gtest]
fn queries_are_refused_while_too_many_shards_are_down() {
    let mut replay = HopelessReplay::new(2);
    let outage = (ms(1_000), ms(9_000));
    for upstream in replay.shards[..=SPARE_COUNT].iter_mut().flatten() {
        upstream.outages.push(outage);
    }
    replay.run(ms(12_000), |replay, at| {
        for upstream in replay.shards[..=SPARE_COUNT].iter_mut().flatten() {
            // The store expires the entries; the upstreams return as new incarnations.
            if at == ms(4_600) {
                upstream.is_registered = false;
            }
            if at == ms(9_000) {
                upstream.health = UpstreamHealth::new(replay.start + at, Duration::ZERO);
                upstream.is_registered = true;
            }
        }
    });
    // The upstreams are unregistered for 4.4 s, and the loss is recognised while they are still registered.
    expect_that!(replay.result.refused, ge(240));
    expect_that!(replay.result.sent_in_vain, le(110));
    expect_that!(replay.result.refused_servable, eq(0));
}

/// Guards against refusing queries because of short interruptions, during which several attempts fail at once.
#[gtest]
fn no_query_is_refused_that_could_be_served() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut replay = HopelessReplay::new(1);
        for upstream in replay.shards.iter_mut().flatten() {
            let mut at = ms(rng.random_range(0..2_000));
            while at < ms(20_000) {
                let until = at + ms(rng.random_range(5..900));
                upstream.outages.push((at, until));
                at = until + ms(rng.random_range(30..1_000));
            }
        }
        replay.run(ms(20_000), |_replay, _at| {});
        expect_that!(replay.result, eq(&ReplayResult::default()), "seed {seed}");
    }
}

/// Guards against refusing queries whose shards have one upstream left, whatever is known of the others.
#[gtest]
fn no_query_is_refused_while_one_upstream_is_up() {
    let mut replay = HopelessReplay::new(3);
    for shard in &mut replay.shards {
        for upstream in &mut shard[1..] {
            upstream.outages.push((ms(0), ms(10_000)));
        }
    }
    replay.run(ms(10_000), |_replay, _at| {});
    expect_that!(replay.result, eq(&ReplayResult::default()));
}

/// An upstream that still updates its entry is alive, so a cut link to it is no proof.
#[gtest]
fn an_upstream_that_updates_its_entry_may_be_reachable() {
    let mut replay = HopelessReplay::new(1);
    for upstream in replay.shards.iter_mut().flatten() {
        upstream.outages.push((ms(0), ms(10_000)));
    }
    replay.run(ms(8_000), |replay, at| {
        for upstream in replay.shards.iter_mut().flatten() {
            if at.as_millis().is_multiple_of(1_000) {
                upstream.health.record_heartbeat();
            }
        }
    });
    expect_that!(replay.result.refused, eq(0));
}

/// Two short interruptions are no outage if nobody tried the upstream between them.
#[gtest]
fn a_time_without_attempts_is_no_evidence() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, Duration::ZERO);
    for failed_at in [start, start + ms(3_000)] {
        health.record_start(failed_at);
        health.record_unreachable(failed_at, failed_at);
    }
    expect_that!(health.unreachable_until(start + ms(3_001)), none());
}

#[gtest]
fn unknown_counts_as_possible() {
    let now = Instant::now();
    let deadline = now + ms(500);
    let unknown = UpstreamOutlook {
        withheld_until: None,
        unreachable_until: None,
        earliest_answer: None,
    };
    let lost = UpstreamOutlook {
        unreachable_until: Some(now + ms(600)),
        ..unknown
    };
    let back = UpstreamOutlook {
        unreachable_until: Some(now + ms(400)),
        ..unknown
    };
    let missing = ShardOutlook::Missing {
        back_at: Some(now + ms(600)),
    };
    expect_that!(
        ShardOutlook::new([lost, lost], false, deadline),
        eq(missing)
    );
    for possible in [unknown, back] {
        let outlook = ShardOutlook::new([lost, possible], false, deadline);
        expect_that!(outlook, eq(ShardOutlook::Possible));
    }
    expect_that!(
        ShardOutlook::new([], true, deadline),
        eq(ShardOutlook::Possible)
    );
    let unregistered = ShardOutlook::Missing { back_at: None };
    expect_that!(ShardOutlook::new([], false, deadline), eq(unregistered));
}

/// A queue counts only as long as its report is fresh, and only the part that certainly remains.
#[gtest]
fn a_reported_queue_must_outlast_the_deadline() {
    let reported_at = Instant::now();
    let shortest_time = ms(10);
    let now = reported_at + ms(50);
    let answer = earliest_answer(40.0, reported_at, shortest_time, now);
    expect_that!(answer, some(eq(reported_at + ms(210))));
    let empty_queue = earliest_answer(0.0, reported_at, shortest_time, now);
    expect_that!(empty_queue, some(eq(now + ms(10))));
    let old_report = earliest_answer(40.0, reported_at, shortest_time, reported_at + ms(101));
    expect_that!(old_report, none());
}

/// Callers return once enough shards may be back, not with the first of them.
#[gtest]
fn callers_return_when_enough_shards_may_be_back() {
    let now = Instant::now();
    let missing = |millis| ShardOutlook::Missing {
        back_at: Some(now + ms(millis)),
    };
    let shards = [
        missing(900),
        missing(300),
        missing(600),
        ShardOutlook::Possible,
    ];
    let back_after = |spare_count| {
        check_hopeless(shards, spare_count, now)
            .map(|query| (query.missing_count, query.back_after))
    };
    expect_that!(back_after(0), some(eq((3, ms(900)))));
    expect_that!(back_after(2), some(eq((3, ms(300)))));
    expect_that!(back_after(3), none());
}

/// Guards against callers who return together and are refused again.
#[gtest]
fn returns_are_spread_in_the_order_of_priority() {
    let mut spread = ReturnSpread::new(0.3);
    let mut delays: Vec<(u8, Duration)> = Vec::new();
    for number in 0..300_u16 {
        let route = (number % 3) as u8;
        let priority = ReturnPriority {
            organisation: None,
            route,
        };
        delays.push((route, spread.next_delay(priority)));
    }
    delays.sort_by_key(|(_route, delay)| *delay);
    expect_that!(delays.is_sorted_by_key(|(route, _delay)| *route), eq(true));
    let spans = delays
        .windows(11)
        .map(|window| window[10].1.abs_diff(window[0].1));
    expect_that!(
        spans.min(),
        some(ge(ms(5))),
        "shortest time in which ten callers return"
    );
    let mut delay = |organisation, route| {
        let organisation = Some(organisation);
        spread.next_delay(ReturnPriority {
            organisation,
            route,
        })
    };
    expect_that!(delay(0, 2), lt(delay(1, 0)));
    expect_that!(delay(200, 200), lt(ms(400)));
}
