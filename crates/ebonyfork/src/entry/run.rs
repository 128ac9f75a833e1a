//! A query in flight: its attempts and its response to each event.
//!
//! A run is a state machine driven by outcomes, broken links and timers. It writes attempts and cancellations to the
//! outbox and eventually returns the outcome of the query. Outcomes are matched by attempt number and only the first is
//! accepted, so late, duplicate and reordered outcomes have no effect.

use std::sync::Arc;
use std::time::Duration;

use super::admission::{AdmissionDecision, AdmissionRequest};
use super::canary::CanaryProbe;
use super::choice::{ChoiceReason, RouteChoice, RouteConstraints, choose_route};
use super::directory::{RelayId, ReplicaId};
use super::gather::ShardGather;
use super::hedge::AttemptUrgency;
use super::route::RouteTable;
use super::terms::QueryParams;
use super::tools::{PlannedAttempt, SharedState};
use super::verdict::QueryCompletion;
use crate::ident::{RequestFingerprint, RunState, ShardNumber};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::relay::{AttemptPurpose, RefusalReason, ShardTarget, SubmitBatch};

/// Maximum number of attempts that a query makes at one shard, hedges and retries included.
const MAX_ATTEMPTS_PER_SHARD: u8 = 4;

/// Whether the outcome of an attempt is still pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The attempt has been sent and its outcome is pending.
    InFlight,
    /// The outcome has been handled or is no longer needed.
    Closed,
}

/// An attempt at one shard, sent through one relay to one replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptRecord {
    /// Position of the shard in the slots of the gather.
    pub(super) slot_index: u32,
    pub(super) replica: ReplicaId,
    pub(super) relay: RelayId,
    /// When the attempt was sent.
    pub(super) sent_at: Duration,
    /// Expected time from sending the attempt to receiving its rows.
    pub(super) expected_time: Duration,
    /// When the attempt becomes a straggler, or is checked again as one.
    pub(super) straggler_check_at: Duration,
    /// Whether the attempt has been recorded as overdue.
    pub(super) is_overdue: bool,
    /// Urgency with which a hedge of this attempt is charged to the attempt budget.
    pub(super) urgency: AttemptUrgency,
    pub(super) state: AttemptState,
}

/// Times of one attempt as measured by the relay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutcomeTimes {
    /// Time that the attempt spent in the relay's queue.
    pub(super) queue_time: Duration,
    /// Time that the attempt took at the upstream.
    pub(super) upstream_time: Duration,
}

/// Events of a query that determine its outcome.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct QueryProgress {
    /// Whether an upstream has run part of the query.
    pub(super) has_run: bool,
    /// Whether an upstream may have run part of the query.
    pub(super) may_have_run: bool,
    /// Number of upstreams whose connection broke while they ran part of the query.
    pub(super) broken_upstream_count: u8,
    /// Why the attempt that was refused last has not run; `None` if no attempt was refused.
    pub(super) last_refusal_reason: Option<RefusalReason>,
    /// Whether the query has been planned again at another version.
    pub(super) was_replanned: bool,
}

/// The parameters, attempts and progress of a query in flight.
#[derive(Debug)]
pub(super) struct QueryRun {
    pub(super) query_number: u64,
    pub(super) request: QueryRequest,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) params: QueryParams,
    pub(super) gather: ShardGather,
    pub(super) progress: QueryProgress,
    /// Time of the earliest timer scheduled for this query.
    pub(super) timer_at: Duration,
    /// Whether the query was admitted under load.
    pub(super) is_under_load: bool,
    /// Whether a request with the same fingerprint was in flight when an upstream was lost.
    pub(super) is_suspect: bool,
    /// Whether a shard whose upstream was lost waits until another shard returns rows.
    pub(super) has_deferred_shards: bool,
    /// The canary for which requests to the other shards are held back; `None` if none are held back.
    pub(super) canary: Option<CanaryProbe>,
    /// Time before which no attempt in flight has to be checked as a straggler.
    pub(super) next_straggler_check: Duration,
    pub(super) route_table: Arc<RouteTable>,
    pub(super) attempts: Vec<AttemptRecord>,
}

impl QueryRun {
    pub(super) fn new(
        query_number: u64,
        request: QueryRequest,
        params: QueryParams,
        route_table: Arc<RouteTable>,
    ) -> Self {
        let fingerprint = RequestFingerprint::new(&request.class, &request.selection);
        Self {
            query_number,
            request,
            fingerprint,
            params,
            gather: ShardGather::default(),
            progress: QueryProgress::default(),
            timer_at: Duration::MAX,
            is_under_load: false,
            is_suspect: false,
            canary: None,
            has_deferred_shards: false,
            next_straggler_check: Duration::MAX,
            route_table,
            attempts: Vec::new(),
        }
    }

    /// Reinitialises a completed run for another query, reusing its allocations.
    pub(super) fn reuse(
        &mut self,
        query_number: u64,
        request: QueryRequest,
        params: QueryParams,
        route_table: Arc<RouteTable>,
    ) {
        let mut attempts = std::mem::take(&mut self.attempts);
        attempts.clear();
        let gather = std::mem::take(&mut self.gather);
        *self = Self {
            gather,
            attempts,
            ..Self::new(query_number, request, params, route_table)
        };
    }

    /// Plans the query, checks admission and sends the first attempt to every shard, or only the canary. Returns the
    /// outcome if the query completes immediately.
    pub(super) fn begin(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
    ) -> Option<QueryOutcome> {
        self.plan_attempts(shared, now);
        let canary = self.pick_canary(shared, now);
        let canary_time = canary.map_or(Duration::ZERO, |canary| canary.route_choice.expected_time);
        let early_outcome = self
            .check_completion(shared, now)
            .or_else(|| self.check_admission(shared, now, canary_time));
        if early_outcome.is_some() {
            for planned_attempt in shared.planned_attempts.drain(..) {
                let replica = planned_attempt.route_choice.replica;
                shared.directory.replicas[replica].health.undo_submission();
            }
            return early_outcome;
        }
        self.send_first_attempts(shared, now, canary);
        None
    }

    /// Sends all planned attempts, or only the canary if there is one.
    pub(super) fn send_first_attempts(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        canary: Option<PlannedAttempt>,
    ) {
        match canary {
            Some(canary) => self.send_canary(shared, now, canary),
            None => self.send_planned_attempts(shared, now),
        }
    }

    /// Sends the canary; the other planned attempts are held back until the canary's shard has answered or is given up.
    fn send_canary(&mut self, shared: &mut SharedState, now: Duration, canary: PlannedAttempt) {
        let mut planned_attempts = std::mem::take(&mut shared.planned_attempts);
        for planned_attempt in planned_attempts.drain(..) {
            if planned_attempt.slot_index == canary.slot_index {
                continue;
            }
            let replica = &mut shared.directory.replicas[planned_attempt.route_choice.replica];
            replica.health.undo_submission();
        }
        shared.planned_attempts = planned_attempts;
        self.canary = Some(CanaryProbe {
            slot_index: canary.slot_index,
            overdue_check_count: 0,
        });
        shared.budget.deposit();
        let slot_index = canary.slot_index as usize;
        self.send_attempt(
            shared,
            now,
            slot_index,
            canary.route_choice,
            AttemptPurpose::First,
        );
    }

    /// Chooses a route for every shard that the query needs; a shard without a route is marked as lost.
    pub(super) fn plan_attempts(&mut self, shared: &mut SharedState, now: Duration) {
        let route_table = Arc::clone(&self.route_table);
        let shard_numbers = self
            .params
            .scope
            .required_shards(&self.request, &route_table);
        let shards = shard_numbers.map(|shard_number| {
            (
                ShardNumber(shard_number),
                route_table.shards[shard_number as usize],
            )
        });
        self.gather.reset(route_table.version, shards);
        let mut planned_attempts = std::mem::take(&mut shared.planned_attempts);
        planned_attempts.clear();
        for slot_index in 0..self.gather.slots().len() {
            let Some(route_choice) =
                self.choose_shard_route(shared, now, slot_index, self.params.idempotent)
            else {
                self.gather.mark_shard_lost(slot_index);
                continue;
            };
            let health = &mut shared.directory.replicas[route_choice.replica].health;
            health.record_submission(now);
            let slot_index = slot_index as u32;
            planned_attempts.push(PlannedAttempt {
                slot_index,
                route_choice,
            });
        }
        shared.planned_attempts = planned_attempts;
    }

    /// Sends all planned attempts.
    fn send_planned_attempts(&mut self, shared: &mut SharedState, now: Duration) {
        let mut planned_attempts = std::mem::take(&mut shared.planned_attempts);
        for planned_attempt in planned_attempts.drain(..) {
            let slot_index = planned_attempt.slot_index as usize;
            shared.budget.deposit();
            self.send_attempt(
                shared,
                now,
                slot_index,
                planned_attempt.route_choice,
                AttemptPurpose::First,
            );
        }
        shared.planned_attempts = planned_attempts;
    }

    /// Returns a refusal if the target can't be met at the present load.
    fn check_admission(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        canary_time: Duration,
    ) -> Option<QueryOutcome> {
        if !shared.switches.admission {
            return None;
        }
        let (predicted_wait, unloaded_time) = self
            .params
            .predict_times(self.gather.shard_count(), &mut shared.planned_attempts);
        let cost_seconds: f64 = shared
            .planned_attempts
            .iter()
            .map(|planned_attempt| planned_attempt.route_choice.unloaded_time().as_secs_f64())
            .sum();
        let admission = AdmissionRequest {
            class: self.params.class,
            organisation: &self.request.organisation,
            latency_target: self.params.latency_target,
            predicted_wait,
            unloaded_time: unloaded_time + canary_time,
            cost_seconds,
        };
        match shared.admission.admit(now, admission) {
            AdmissionDecision::Admitted { is_under_load } => {
                self.is_under_load = is_under_load;
                None
            }
            AdmissionDecision::Refused { excess_wait } => {
                let message = "the class's latency can't be met at the present load";
                let refusal = QueryRefusal::new(RefusalCode::Overloaded, RunState::NotRun, message);
                let retry_after = shared.jitter_retry_after(excess_wait);
                Some(Err(refusal.with_retry_after(retry_after)))
            }
        }
    }

    /// Returns whether an outcome at `now` meets the class target.
    pub(super) fn meets_target(&self, now: Duration, outcome: &QueryOutcome) -> bool {
        let meets_latency_target = now <= self.params.started_at + self.params.latency_target;
        meets_latency_target
            && outcome
                .as_ref()
                .is_ok_and(|answer| answer.coverage.share() >= self.params.coverage_target)
    }

    /// Cancels all attempts in flight.
    pub(super) fn cancel_attempts_in_flight(&mut self, shared: &mut SharedState) {
        for attempt_number in 0..self.attempts.len() {
            self.cancel_attempt(shared, attempt_number);
        }
    }

    /// Marks an attempt as closed and returns it, or `None` if it is not in flight.
    pub(super) fn close_attempt(&mut self, attempt_number: u32) -> Option<AttemptRecord> {
        let attempt = self.attempts.get_mut(attempt_number as usize)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state = AttemptState::Closed;
        let closed_attempt = *attempt;
        self.gather
            .slot_mut(closed_attempt.slot_index as usize)
            .attempts_in_flight -= 1;
        Some(closed_attempt)
    }

    /// Cancels an attempt at its relay if it is in flight. The attempt may have run by then.
    pub(super) fn cancel_attempt(&mut self, shared: &mut SharedState, attempt_number: usize) {
        let Some(closed_attempt) = self.close_attempt(attempt_number as u32) else {
            return;
        };
        shared.outbox.add_cancellation(
            closed_attempt.relay,
            self.query_number,
            attempt_number as u32,
        );
        shared.directory.replicas[closed_attempt.replica]
            .health
            .record_cancellation();
        self.progress.may_have_run = true;
    }

    /// Marks a shard as lost unless another attempt at it is in flight.
    pub(super) fn mark_shard_lost_if_idle(&mut self, slot_index: usize) {
        if self.gather.slots()[slot_index].attempts_in_flight == 0 {
            self.gather.mark_shard_lost(slot_index);
        }
    }

    /// Sends a further attempt at a shard, or marks the shard as lost if no attempt or route is left.
    pub(super) fn send_next_attempt(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
    ) {
        if self.gather.slots()[slot_index].attempts_made >= MAX_ATTEMPTS_PER_SHARD {
            self.mark_shard_lost_if_idle(slot_index);
            return;
        }
        let Some(route_choice) =
            self.choose_shard_route(shared, now, slot_index, self.params.idempotent)
        else {
            self.mark_shard_lost_if_idle(slot_index);
            return;
        };
        shared.directory.replicas[route_choice.replica]
            .health
            .record_submission(now);
        self.send_attempt(shared, now, slot_index, route_choice, AttemptPurpose::Retry);
    }

    /// Chooses a route for a shard, leaving out replicas with an attempt of this query in flight.
    pub(super) fn choose_shard_route(
        &self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
        allow_probe: bool,
    ) -> Option<RouteChoice> {
        let shard_slot = &self.gather.slots()[slot_index];
        let mut excluded_replicas = shard_slot.excluded_replicas.clone();
        if shard_slot.attempts_in_flight > 0 {
            let is_in_flight = |attempt: &&AttemptRecord| {
                attempt.slot_index as usize == slot_index && attempt.state == AttemptState::InFlight
            };
            excluded_replicas.extend(
                self.attempts
                    .iter()
                    .filter(is_in_flight)
                    .map(|attempt| attempt.replica),
            );
        }
        let constraints = RouteConstraints {
            excluded_replicas: &excluded_replicas,
            excluded_relays: &shard_slot.excluded_relays,
            allow_probe,
        };
        let service = shard_slot.service;
        choose_route(
            &mut shared.directory,
            &mut shared.rng,
            now,
            service,
            constraints,
        )
    }

    /// Adds an attempt to the outbox and records it.
    pub(super) fn send_attempt(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
        route_choice: RouteChoice,
        purpose: AttemptPurpose,
    ) {
        let attempt = self.attempts.len() as u32;
        let shard_slot = self.gather.slot_mut(slot_index);
        shard_slot.attempts_in_flight += 1;
        shard_slot.attempts_made += 1;
        let (shard, service) = (shard_slot.shard, shard_slot.service);
        // A hedge of an attempt at a server that failed recently is due as soon as the expected time has passed.
        let (hedge_delay, urgency) = match route_choice.reason {
            ChoiceReason::Probe | ChoiceReason::LastResort => {
                (route_choice.expected_time, AttemptUrgency::Urgent)
            }
            _ => {
                let straggler_delay =
                    shared.hedge_delay(self.params.class, service, route_choice.expected_time);
                (straggler_delay, AttemptUrgency::Ordinary)
            }
        };
        self.next_straggler_check = self.next_straggler_check.min(now + hedge_delay);
        self.attempts.push(AttemptRecord {
            slot_index: slot_index as u32,
            replica: route_choice.replica,
            relay: route_choice.relay,
            sent_at: now,
            expected_time: route_choice.expected_time,
            straggler_check_at: now + hedge_delay,
            is_overdue: false,
            urgency,
            state: AttemptState::InFlight,
        });
        let counts = &mut shared.decision_counts[self.params.class];
        match purpose {
            AttemptPurpose::First => counts.first_attempts += 1,
            AttemptPurpose::Hedge => counts.hedges += 1,
            AttemptPurpose::Retry | AttemptPurpose::AfterLoss => counts.retries += 1,
        }
        let upstream_address = shared.directory.replicas[route_choice.replica].address;
        let purpose = if self.progress.broken_upstream_count > 0 {
            AttemptPurpose::AfterLoss
        } else {
            purpose
        };
        let target = ShardTarget {
            attempt,
            shard,
            upstream: upstream_address,
            purpose,
        };
        shared.record_route(self.query_number, &target, route_choice);
        let new_batch = || self.new_batch(now);
        shared
            .outbox
            .add_attempt(route_choice.relay, target, new_batch);
    }

    /// Creates a batch without targets for the attempts sent to one relay.
    pub(super) fn new_batch(&self, now: Duration) -> SubmitBatch {
        let remaining_time = self.params.results_deadline().saturating_sub(now);
        SubmitBatch {
            query: self.query_number,
            class: self.request.class.clone(),
            organisation: self.request.organisation.clone(),
            index: self.route_table.index.clone(),
            version: self.route_table.version,
            remaining_us: remaining_time.as_micros() as u64,
            fingerprint: self.fingerprint,
            idempotent: self.params.idempotent,
            key: self.request.key,
            selection: self.request.selection.clone(),
            targets: smallvec::SmallVec::new(),
        }
    }

    /// Returns the outcome of the query if it is complete, and cancels the attempts still in flight.
    pub(super) fn check_completion(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
    ) -> Option<QueryOutcome> {
        let completion = QueryCompletion::evaluate(&self.params, &self.gather, self.progress, now)?;
        self.cancel_attempts_in_flight(shared);
        Some(completion.into_outcome(self, shared, now))
    }
}

#[cfg(test)]
#[path = "run_tests.rs"]
mod tests;
