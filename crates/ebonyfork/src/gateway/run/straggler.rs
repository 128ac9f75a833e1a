//! Sends hedges: second attempts at other upstreams, in addition to first attempts that are late.

use std::time::{Duration, Instant};

use super::QueryRun;
use crate::gateway::policy::hedge::HedgeCandidate;
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::route::Idempotency;
use crate::gateway::settings::PlaceDistance;

impl QueryRun {
    /// Sends a hedge for each late attempt that is its shard's only one in flight, if the hedge is worthwhile.
    pub(super) fn check_stragglers(&mut self, current_time: Instant) {
        if self.route.idempotency == Idempotency::Once {
            return;
        }
        for attempt_index in 0..self.attempts.len() {
            let attempt = &self.attempts[attempt_index];
            let shard = attempt.shard;
            if attempt.ended || attempt.next_check > current_time {
                continue;
            }
            let shard_state = &self.state.shards()[shard];
            if shard_state.is_open() && shard_state.in_flight == 1 {
                self.hedge(attempt_index, current_time);
            }
            self.schedule_check(attempt_index, current_time);
        }
    }

    fn schedule_check(&mut self, attempt_index: usize, current_time: Instant) {
        let attempt = &self.attempts[attempt_index];
        let waited_ms = millis(current_time.saturating_duration_since(attempt.began));
        let next_check_ms = {
            let latency = self.context.latency.borrow();
            HedgeCandidate::next_check_ms(latency.histogram(attempt.kind), waited_ms)
        };
        let attempt = &mut self.attempts[attempt_index];
        attempt.next_check = attempt.began + Duration::from_secs_f64(next_check_ms / 1_000.0);
    }

    fn hedge(&mut self, attempt_index: usize, current_time: Instant) {
        let shard = self.attempts[attempt_index].shard;
        let is_suspected = self.is_suspected();
        let is_at_limit = self.upstreams_run(shard).len() >= self.max_upstreams();
        if is_suspected
            || is_at_limit
            || self.state.shards()[shard].possible_runs >= self.max_sends()
        {
            return;
        }
        let Some(choice) = self.choose(shard, true) else {
            return;
        };
        let attempt = &self.attempts[attempt_index];
        let hedge_kind = match choice.distance {
            PlaceDistance::Zone => AttemptKind::Zone,
            PlaceDistance::Region | PlaceDistance::Far => AttemptKind::Delegated,
        };
        let is_worthwhile = {
            let latency = self.context.latency.borrow();
            let useful_until = self.state.useful_until(current_time);
            let candidate = HedgeCandidate {
                waited_ms: millis(current_time.saturating_duration_since(attempt.began)),
                left_ms: useful_until
                    .map(|until| millis(until.saturating_duration_since(current_time))),
                original_latency: latency.histogram(attempt.kind),
                hedge_latency: latency.histogram(hedge_kind),
                hedge_slowness_factor: choice.slowness,
                known_late: attempt.known_late,
            };
            candidate.is_worthwhile()
        };
        if !is_worthwhile || !self.spend(shard) {
            return;
        }
        self.hedge_count += 1;
        if !self.delegate_repeat(shard, &choice) {
            self.launch(shard, choice, Duration::ZERO);
        }
    }
}
