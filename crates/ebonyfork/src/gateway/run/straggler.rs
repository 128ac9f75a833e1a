//! Sends hedges: second attempts in addition to first ones that are late.

use std::time::{Duration, Instant};

use super::QueryRun;
use crate::gateway::policy::hedge::HedgeCandidate;
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::route::Idempotency;
use crate::gateway::settings::PlaceDistance;

impl QueryRun {
    /// Sends a hedge for each first attempt that is late, if it is worthwhile.
    pub(super) fn check_stragglers(&mut self, time: Instant) {
        if self.route.idempotency == Idempotency::Once {
            return;
        }
        for number in 0..self.attempts.len() {
            let attempt = &self.attempts[number];
            let shard = attempt.shard;
            if attempt.ended || attempt.next_check > time {
                continue;
            }
            let state = &self.state.shards()[shard];
            if state.is_open() && state.in_flight == 1 {
                self.hedge(number, time);
            }
            self.schedule_check(number, time);
        }
    }

    fn schedule_check(&mut self, number: usize, time: Instant) {
        let attempt = &self.attempts[number];
        let waited = millis(time.saturating_duration_since(attempt.began));
        let next = {
            let latency = self.context.latency.borrow();
            HedgeCandidate::next_check_ms(latency.histogram(attempt.kind), waited)
        };
        let attempt = &mut self.attempts[number];
        attempt.next_check = attempt.began + Duration::from_secs_f64(next / 1_000.0);
    }

    fn hedge(&mut self, number: usize, time: Instant) {
        let shard = self.attempts[number].shard;
        let suspected = self.is_suspected();
        let full = self.upstreams_run(shard).len() >= self.max_upstreams();
        if suspected || full || self.state.shards()[shard].ran >= self.max_sends() {
            return;
        }
        let Some(choice) = self.choose(shard, true) else {
            return;
        };
        let attempt = &self.attempts[number];
        let other = match choice.distance {
            PlaceDistance::Zone => AttemptKind::Zone,
            PlaceDistance::Region | PlaceDistance::Far => AttemptKind::Delegated,
        };
        let worthwhile = {
            let latency = self.context.latency.borrow();
            let left = self.state.useful_until(time);
            let candidate = HedgeCandidate {
                waited_ms: millis(time.saturating_duration_since(attempt.began)),
                left_ms: left.map(|until| millis(until.saturating_duration_since(time))),
                original: latency.histogram(attempt.kind),
                other: latency.histogram(other),
                other_slowness: choice.slowness,
                known_late: attempt.known_late,
            };
            candidate.is_worthwhile()
        };
        if !worthwhile || !self.spend(shard) {
            return;
        }
        self.hedges += 1;
        if !self.delegate_repeat(shard, &choice) {
            self.launch(shard, choice, Duration::ZERO);
        }
    }
}
