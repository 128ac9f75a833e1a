//! Stragglers, that is attempts in flight for longer than expected, and the hedges sent for them.

use std::time::Duration;

use super::gather::ShardStatus;
use super::hedge::AttemptUrgency;
use super::run::{AttemptState, QueryRun};
use super::tools::SharedState;
use crate::query::QueryOutcome;
use crate::relay::AttemptPurpose;

/// Shortest interval between checks of an overdue attempt.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Shortest interval between timers of one query.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(1);

impl QueryRun {
    /// Handles a due timer: hedges stragglers and returns the outcome if a deadline has passed.
    pub(super) fn handle_timer(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
    ) -> Option<QueryOutcome> {
        if let Some(outcome) = self.check_completion(shared, now) {
            return Some(outcome);
        }
        if now < self.next_straggler_check {
            return None;
        }
        self.next_straggler_check = Duration::MAX;
        for attempt_number in 0..self.attempts.len() {
            let attempt = self.attempts[attempt_number];
            if attempt.state != AttemptState::InFlight {
                continue;
            }
            if attempt.straggler_check_at > now {
                self.next_straggler_check =
                    self.next_straggler_check.min(attempt.straggler_check_at);
                continue;
            }
            self.handle_straggler(shared, now, attempt_number);
        }
        None
    }

    /// Handles an overdue attempt: hedges it if worthwhile, and schedules its next check.
    pub(super) fn handle_straggler(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        attempt_number: usize,
    ) {
        let attempt = &mut self.attempts[attempt_number];
        if !attempt.is_overdue {
            attempt.is_overdue = true;
            let replica = &mut shared.directory.replicas[attempt.replica];
            match attempt.urgency {
                // The attempt probes a server that failed recently: if it is overdue, the server has failed again.
                AttemptUrgency::Urgent => replica.health.record_failure(now),
                AttemptUrgency::Ordinary => replica.health.record_overdue_attempt(now),
            }
        }
        let time_in_flight = now.saturating_sub(attempt.sent_at);
        let urgency = attempt.urgency;
        attempt.straggler_check_at = now + (time_in_flight / 4).max(MIN_RECHECK_INTERVAL);
        self.next_straggler_check = self.next_straggler_check.min(attempt.straggler_check_at);
        let slot_index = attempt.slot_index as usize;
        if let Some(canary) = &mut self.canary {
            // The requests to all other shards wait for the canary.
            canary.overdue_check_count += 1;
            self.send_hedge(
                shared,
                now,
                slot_index,
                time_in_flight,
                AttemptUrgency::Urgent,
            );
            self.advance_canary(shared, now);
            return;
        }
        self.send_hedge(shared, now, slot_index, time_in_flight, urgency);
    }

    /// Returns the time at which the run needs its next timer.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        let mut next_wake = self.params.final_deadline.min(self.next_straggler_check);
        if self.params.answer_deadline > now {
            next_wake = next_wake.min(self.params.answer_deadline);
        }
        next_wake.max(now + MIN_WAKE_INTERVAL)
    }

    /// Sends a hedge for the only attempt in flight at a shard, if it is likely to bring the rows sooner.
    pub(super) fn send_hedge(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
        time_in_flight: Duration,
        urgency: AttemptUrgency,
    ) {
        let shard_slot = &self.gather.slots()[slot_index];
        let has_single_attempt =
            shard_slot.status() == ShardStatus::Open && shard_slot.attempts_in_flight == 1;
        if !has_single_attempt || !self.params.idempotent || !shared.switches.hedge {
            return;
        }
        // If most shards are still open, the cause is load rather than a straggler.
        if self.canary.is_none()
            && self.gather.open_shard_count() > (self.gather.shard_count() / 2).max(1)
        {
            return;
        }
        let Some(route_choice) = self.choose_shard_route(shared, now, slot_index, false) else {
            return;
        };
        // An attempt that has been in flight for some time is likely to take as long again. A hedge is worth its load
        // only if it is expected to finish sooner than that; if the other replica has a long queue too, a hedge only
        // lengthens it.
        let is_hedge_too_slow = route_choice.expected_time > time_in_flight;
        let is_hedge_too_late = now + route_choice.expected_time > self.params.results_deadline();
        if is_hedge_too_slow
            || is_hedge_too_late
            || !shared.try_withdraw_attempt(now, self.params.class, urgency)
        {
            return;
        }
        shared.directory.replicas[route_choice.replica]
            .health
            .record_submission(now);
        self.send_attempt(shared, now, slot_index, route_choice, AttemptPurpose::Hedge);
    }
}
