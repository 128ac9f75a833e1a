//! Handling of attempt outcomes: accepting rows, trying another replica, giving up a shard, or planning the whole query
//! again at another version.

use std::time::Duration;

use bytes::Bytes;

use super::decision::FailedAttempt;
use super::directory::RelayId;
use super::gather::ShardStatus;
use super::hedge::AttemptUrgency;
use super::run::{AttemptRecord, AttemptState, OutcomeTimes, QueryRun};
use super::tools::SharedState;
use super::verdict::BROKEN_UPSTREAM_LIMIT;
use crate::ident::{RunState, SnapshotVersion};
use crate::query::QueryOutcome;
use crate::relay::{FailureReason, RefusalReason, ShardVerdict};

/// A query is planned again only while at least its total time divided by this number is left.
const REPLAN_TIME_DIVISOR: u32 = 4;

impl QueryRun {
    /// Handles the outcome of an attempt and returns the outcome of the query if that completes it.
    pub(super) fn handle_outcome(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        attempt: u32,
        verdict: ShardVerdict,
        times: OutcomeTimes,
    ) -> Option<QueryOutcome> {
        let closed_attempt = self.close_attempt(attempt)?;
        self.record_statistics(shared, now, closed_attempt, &verdict, times);
        let slot_index = closed_attempt.slot_index as usize;
        if !matches!(verdict, ShardVerdict::Rows { .. }) {
            shared.record_failed_attempt(|| FailedAttempt {
                query: self.query_number,
                attempt,
                shard: self.gather.slots()[slot_index].shard,
                verdict: verdict.clone(),
            });
        }
        match verdict {
            ShardVerdict::Rows { version, body } => {
                self.progress.has_run = true;
                self.handle_rows(shared, now, slot_index, version, body);
            }
            ShardVerdict::VersionGone { newest } => {
                self.gather
                    .slot_mut(slot_index)
                    .excluded_replicas
                    .push(closed_attempt.replica);
                self.resend_shard(shared, now, slot_index);
                if self.gather.slots()[slot_index].status() == ShardStatus::Lost {
                    self.replan(shared, now, newest);
                }
            }
            ShardVerdict::Moved { service } => {
                let service = shared.directory.service_id(&service);
                let shard_slot = self.gather.slot_mut(slot_index);
                shard_slot.service = service;
                shard_slot.excluded_replicas.clear();
                shard_slot.excluded_relays.clear();
                self.resend_shard(shared, now, slot_index);
            }
            ShardVerdict::NotRun(reason) => {
                self.handle_not_run(shared, now, closed_attempt, reason);
            }
            ShardVerdict::Failed { ran, reason } => {
                self.handle_failure(shared, now, closed_attempt, ran, reason);
            }
        }
        if self.progress.broken_upstream_count < BROKEN_UPSTREAM_LIMIT {
            self.advance_canary(shared, now);
            self.resume_deferred_shards(shared, now);
        }
        self.check_completion(shared, now)
    }

    /// Handles a broken link to a relay: attempts in flight there may have run. Returns the outcome of the query if
    /// that completes it.
    pub(super) fn handle_link_down(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        relay: RelayId,
    ) -> Option<QueryOutcome> {
        for attempt_number in 0..self.attempts.len() {
            let attempt = self.attempts[attempt_number];
            if attempt.state != AttemptState::InFlight || attempt.relay != relay {
                continue;
            }
            let verdict = ShardVerdict::Failed {
                ran: RunState::Unknown,
                reason: FailureReason::LinkDown,
            };
            let outcome = self.handle_outcome(
                shared,
                now,
                attempt_number as u32,
                verdict,
                OutcomeTimes::default(),
            );
            if outcome.is_some() {
                return outcome;
            }
        }
        None
    }

    /// Updates the statistics of the replica, the relay and the service from the outcome of an attempt.
    pub(super) fn record_statistics(
        &self,
        shared: &mut SharedState,
        now: Duration,
        closed_attempt: AttemptRecord,
        verdict: &ShardVerdict,
        times: OutcomeTimes,
    ) {
        let time_in_flight = now.saturating_sub(closed_attempt.sent_at);
        let health = &mut shared.directory.replicas[closed_attempt.replica].health;
        health.record_outcome(now);
        match verdict {
            ShardVerdict::Rows { .. } => {
                health.record_success(times.upstream_time);
                let round_trip =
                    time_in_flight.saturating_sub(times.queue_time + times.upstream_time);
                shared.directory.relays[closed_attempt.relay].record_round_trip(round_trip);
                let service = self.gather.slots()[closed_attempt.slot_index as usize].service;
                let lateness = time_in_flight.saturating_sub(closed_attempt.expected_time);
                shared.record_lateness(self.params.class, service, lateness);
            }
            ShardVerdict::NotRun(RefusalReason::Unreachable) => health.record_failure(now),
            ShardVerdict::NotRun(RefusalReason::Shed | RefusalReason::QueueFull) => {
                health.record_shed_request(now);
            }
            ShardVerdict::Failed { reason, .. } => match reason {
                FailureReason::Status | FailureReason::Broken | FailureReason::Malformed => {
                    health.record_failure(now);
                }
                FailureReason::Timeout => health.record_overdue_attempt(now),
                FailureReason::Cancelled | FailureReason::LinkDown => {}
            },
            ShardVerdict::VersionGone { .. }
            | ShardVerdict::Moved { .. }
            | ShardVerdict::NotRun(_) => {}
        }
    }

    /// Handles rows: stores them and cancels other attempts at the shard, or retries if they are not accepted.
    pub(super) fn handle_rows(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
        version: SnapshotVersion,
        body: Bytes,
    ) {
        if !self.gather.accept_rows(slot_index, version, body) {
            // Rows of another version are never accepted; the shard is requested again if it still lacks rows.
            self.retry_shard(shared, now, slot_index);
            return;
        }
        if self.gather.slots()[slot_index].attempts_in_flight == 0 {
            return;
        }
        for attempt_number in 0..self.attempts.len() {
            if self.attempts[attempt_number].slot_index as usize == slot_index {
                self.cancel_attempt(shared, attempt_number);
            }
        }
    }

    /// Handles an attempt that was refused and did not run.
    pub(super) fn handle_not_run(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        closed_attempt: AttemptRecord,
        reason: RefusalReason,
    ) {
        self.progress.last_refusal_reason = Some(reason);
        let shard_slot = self.gather.slot_mut(closed_attempt.slot_index as usize);
        match reason {
            RefusalReason::NotOwner | RefusalReason::NotReady | RefusalReason::LinkDown => {
                shard_slot.excluded_relays.push(closed_attempt.relay);
            }
            RefusalReason::Expired | RefusalReason::Quarantined => {
                self.mark_shard_lost_if_idle(closed_attempt.slot_index as usize);
                return;
            }
            _ => shard_slot.excluded_replicas.push(closed_attempt.replica),
        }
        self.resend_shard(shared, now, closed_attempt.slot_index as usize);
    }

    /// Handles an attempt that failed and may have run.
    pub(super) fn handle_failure(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        closed_attempt: AttemptRecord,
        run_state: RunState,
        reason: FailureReason,
    ) {
        match run_state {
            RunState::Ran => self.progress.has_run = true,
            RunState::Unknown => self.progress.may_have_run = true,
            RunState::NotRun => {}
        }
        if reason == FailureReason::Broken {
            self.progress.broken_upstream_count += 1;
            shared.known_requests.remove(self.fingerprint);
            shared.last_upstream_loss = Some(now);
        }
        let shard_slot = self.gather.slot_mut(closed_attempt.slot_index as usize);
        if reason == FailureReason::LinkDown {
            shard_slot.excluded_relays.push(closed_attempt.relay);
        } else {
            shard_slot.excluded_replicas.push(closed_attempt.replica);
        }
        // The loss of a relay fails many attempts at once and is no evidence against the upstreams, so the resends are
        // not charged to the budget. The extra load is bounded by the attempts that were in flight there.
        let is_relay_lost = reason == FailureReason::LinkDown && self.params.idempotent;
        if run_state == RunState::NotRun || is_relay_lost {
            self.resend_shard(shared, now, closed_attempt.slot_index as usize);
        } else if reason == FailureReason::Broken
            && self.defer_shard(shared, now, closed_attempt.slot_index as usize)
        {
            // The shard stays open without an attempt in flight until `resume_deferred_shards`.
        } else {
            self.retry_shard(shared, now, closed_attempt.slot_index as usize);
        }
    }

    /// Plans the whole query once more, at a version that the upstreams hold, if there is one and enough time is left.
    /// A non-idempotent query is not planned again once any part of it may have run.
    pub(super) fn replan(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        available_version: SnapshotVersion,
    ) {
        let pinned_version = self.gather.version();
        let index = self.route_table.index.clone();
        shared.routes.avoid_version(&index, pinned_version, now);
        let any_may_have_run = self.progress.has_run || self.progress.may_have_run;
        if self.progress.was_replanned || (!self.params.idempotent && any_may_have_run) {
            return;
        }
        let time_left = self.params.final_deadline.saturating_sub(now);
        if time_left < self.params.total_time() / REPLAN_TIME_DIVISOR {
            return;
        }
        let SharedState {
            routes, directory, ..
        } = &mut *shared;
        let Some(route_table) =
            routes.find_alternative_version(&index, directory, pinned_version, available_version)
        else {
            return;
        };
        self.cancel_attempts_in_flight(shared);
        self.progress.was_replanned = true;
        shared.decision_counts[self.params.class].replans += 1;
        self.route_table = route_table;
        self.canary = None;
        self.plan_attempts(shared, now);
        let canary = self.pick_canary(shared, now);
        self.send_first_attempts(shared, now, canary);
    }

    /// Sends another attempt after one that may have run, if the query is idempotent and the budget allows it.
    pub(super) fn retry_shard(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
    ) {
        if self.gather.slots()[slot_index].status() != ShardStatus::Open {
            return;
        }
        let has_attempt_in_flight = self.gather.slots()[slot_index].attempts_in_flight > 0;
        if self.progress.broken_upstream_count >= BROKEN_UPSTREAM_LIMIT || has_attempt_in_flight {
            return;
        }
        if !self.params.idempotent
            || !shared.try_withdraw_attempt(now, self.params.class, AttemptUrgency::Urgent)
        {
            self.mark_shard_lost_if_idle(slot_index);
            return;
        }
        self.send_next_attempt(shared, now, slot_index);
    }

    /// Sends another attempt after one that was not run.
    pub(super) fn resend_shard(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
    ) {
        let shard_slot = &self.gather.slots()[slot_index];
        if shard_slot.status() != ShardStatus::Open || shard_slot.attempts_in_flight > 0 {
            return;
        }
        self.send_next_attempt(shared, now, slot_index);
    }
}
