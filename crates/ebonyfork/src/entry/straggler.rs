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
    pub(super) fn wake(&mut self, shared: &mut SharedState, now: Duration) -> Option<QueryOutcome> {
        if let Some(outcome) = self.check_completion(shared, now) {
            return Some(outcome);
        }
        if now < self.next_straggler_check {
            return None;
        }
        self.next_straggler_check = Duration::MAX;
        for number in 0..self.attempts.len() {
            let attempt = self.attempts[number];
            if attempt.state != AttemptState::InFlight {
                continue;
            }
            if attempt.straggler_check_at > now {
                self.next_straggler_check =
                    self.next_straggler_check.min(attempt.straggler_check_at);
                continue;
            }
            self.handle_straggler(shared, now, number);
        }
        None
    }

    /// Handles an overdue attempt: hedges it if worthwhile, and schedules its next check.
    pub(super) fn handle_straggler(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        number: usize,
    ) {
        let attempt = &mut self.attempts[number];
        if !attempt.overdue {
            attempt.overdue = true;
            let replica = &mut shared.directory.replicas[attempt.replica];
            match attempt.urgency {
                // A probe that is late counts as failed.
                AttemptUrgency::Urgent => replica.health.record_failure(now),
                AttemptUrgency::Ordinary => replica.health.record_overdue(now),
            }
        }
        let elapsed = now.saturating_sub(attempt.sent);
        let urgency = attempt.urgency;
        attempt.straggler_check_at = now + (elapsed / 4).max(MIN_RECHECK_INTERVAL);
        self.next_straggler_check = self.next_straggler_check.min(attempt.straggler_check_at);
        let slot = attempt.slot as usize;
        if let Some(canary) = &mut self.canary {
            // The requests to all other shards wait for the canary.
            canary.overdue_checks += 1;
            self.hedge(shared, now, slot, elapsed, AttemptUrgency::Urgent);
            self.advance_canary(shared, now);
            return;
        }
        self.hedge(shared, now, slot, elapsed, urgency);
    }

    /// Returns the time at which the run needs its next timer.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        let mut next = self.params.finish_by.min(self.next_straggler_check);
        if self.params.answer_by > now {
            next = next.min(self.params.answer_by);
        }
        next.max(now + MIN_WAKE_INTERVAL)
    }

    /// Sends a hedge for the only attempt in flight at a shard, if it is likely to bring the rows sooner.
    pub(super) fn hedge(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot: usize,
        elapsed: Duration,
        urgency: AttemptUrgency,
    ) {
        let state = &self.gather.slots()[slot];
        let single_attempt = state.status() == ShardStatus::Open && state.in_flight == 1;
        if !single_attempt || !self.params.idempotent || !shared.switches.hedge {
            return;
        }
        // If most shards are still open, the cause is load rather than a straggler.
        if self.canary.is_none() && self.gather.open() > (self.gather.total() / 2).max(1) {
            return;
        }
        let Some(choice) = self.choose(shared, now, slot, false) else {
            return;
        };
        // An attempt that has been in flight for some time is likely to take as long again. A hedge is worth its load
        // only if it is expected to finish sooner than that; if the other replica has a long queue too, a hedge only
        // lengthens it.
        let too_slow = choice.expected > elapsed;
        let too_late = now + choice.expected > self.params.results_deadline();
        if too_slow || too_late || !shared.try_withdraw_attempt(now, self.params.class, urgency) {
            return;
        }
        shared.directory.replicas[choice.replica]
            .health
            .record_submit(now);
        self.send(shared, now, slot, choice, AttemptPurpose::Hedge);
    }
}
