//! One query in flight: its attempts, and what each event makes of it.
//!
//! A run is a state machine. Events go in (outcomes, broken links, time), attempts and cancellations go to the outbox,
//! and at some point the final outcome comes out. An outcome is matched by attempt number and taken once, so that late,
//! doubled and out-of-order outcomes change nothing.

use std::sync::Arc;
use std::time::Duration;

use super::admission::{AdmissionCase, AdmissionVerdict};
use super::canary::CanaryProbe;
use super::choice::{ChoiceLimits, ChoiceReason, RouteChoice, choose_route};
use super::directory::{RelayId, ReplicaId};
use super::gather::ShardGather;
use super::hedge::AttemptNeed;
use super::route::RouteTable;
use super::terms::QueryTerms;
use super::tools::{EntryTools, PlannedAttempt};
use super::verdict::FinalVerdict;
use crate::ident::{RequestFingerprint, RunState, ShardNumber};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::relay::{AttemptPurpose, RefusalReason, ShardTarget, SubmitBatch};

/// Attempts at one shard, at most.
const TRIES_PER_SHARD: u8 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Its outcome is awaited.
    Out,
    /// Its outcome has been taken, or is no longer wanted.
    Closed,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptSlot {
    pub(super) slot: u32,
    pub(super) replica: ReplicaId,
    pub(super) relay: RelayId,
    pub(super) sent: Duration,
    pub(super) expected: Duration,
    /// When it counts as a straggler, or is looked at again.
    pub(super) hedge_at: Duration,
    /// Whether it has counted as a straggler.
    pub(super) overdue: bool,
    /// What a hedge of it is needed for.
    pub(super) need: AttemptNeed,
    pub(super) state: AttemptState,
}

/// Where an attempt spent its time, as the relay measured it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutcomeTimes {
    /// In the relay's queue.
    pub(super) waited: Duration,
    /// At the upstream.
    pub(super) served: Duration,
}

/// What has happened to a query so far, for its final verdict.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunTrace {
    /// An upstream has run a part of it.
    pub(super) ran: bool,
    /// An upstream may have run a part of it.
    pub(super) unknown: bool,
    /// Upstreams whose connection broke under it.
    pub(super) victims: u8,
    /// The last reason why a part was not run.
    pub(super) refusal: Option<RefusalReason>,
    /// It has been planned a second time, at another version.
    pub(super) replanned: bool,
}

/// A query in flight.
#[derive(Debug)]
pub(super) struct QueryRun {
    pub(super) number: u64,
    pub(super) request: QueryRequest,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) terms: QueryTerms,
    pub(super) gather: ShardGather,
    pub(super) trace: RunTrace,
    /// When the entry's timer will wake it next.
    pub(super) armed: Duration,
    /// Whether it was admitted under pressure.
    pub(super) pressed: bool,
    /// Whether it was in flight when an upstream was lost.
    pub(super) suspect: bool,
    /// Whether a shard waits for rows of another since an upstream was lost.
    pub(super) parked: bool,
    /// The shard that is asked first, while the others are held back.
    pub(super) canary: Option<CanaryProbe>,
    /// When the first straggler may be due.
    pub(super) straggler_at: Duration,
    pub(super) route: Arc<RouteTable>,
    pub(super) attempts: Vec<AttemptSlot>,
}

impl QueryRun {
    pub(super) fn new(
        number: u64,
        request: QueryRequest,
        terms: QueryTerms,
        route: Arc<RouteTable>,
    ) -> Self {
        let fingerprint = RequestFingerprint::new(&request.class, &request.selection);
        Self {
            number,
            request,
            fingerprint,
            terms,
            gather: ShardGather::default(),
            trace: RunTrace::default(),
            armed: Duration::MAX,
            pressed: false,
            suspect: false,
            canary: None,
            parked: false,
            straggler_at: Duration::MAX,
            route,
            attempts: Vec::new(),
        }
    }

    /// Makes a run that is over ready for another query, and keeps its allocations.
    pub(super) fn renew(
        &mut self,
        number: u64,
        request: QueryRequest,
        terms: QueryTerms,
        route: Arc<RouteTable>,
    ) {
        let mut attempts = std::mem::take(&mut self.attempts);
        attempts.clear();
        let gather = std::mem::take(&mut self.gather);
        *self = Self {
            gather,
            attempts,
            ..Self::new(number, request, terms, route)
        };
    }

    /// Plans the query, asks admission, and sends the first attempts at every shard.
    pub(super) fn begin(&mut self, tools: &mut EntryTools, now: Duration) -> Option<QueryOutcome> {
        self.plan(tools, now);
        let canary = self.pick_canary(tools, now);
        let canary_time = canary.map_or(Duration::ZERO, |canary| canary.choice.expected);
        let refused = self
            .judge(tools, now)
            .or_else(|| self.admit(tools, now, canary_time));
        if refused.is_some() {
            for planned in tools.plan.drain(..) {
                let replica = planned.choice.replica;
                tools.directory.replicas[replica].health.withdraw();
            }
            return refused;
        }
        self.dispatch(tools, now, canary);
        None
    }

    /// Sends the plan, or only its canary.
    pub(super) fn dispatch(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        canary: Option<PlannedAttempt>,
    ) {
        match canary {
            Some(canary) => self.send_canary(tools, now, canary),
            None => self.send_plan(tools, now),
        }
    }

    /// Sends one attempt of the plan; the others are held back until its shard is settled.
    fn send_canary(&mut self, tools: &mut EntryTools, now: Duration, canary: PlannedAttempt) {
        let mut plan = std::mem::take(&mut tools.plan);
        for planned in plan.drain(..) {
            if planned.slot == canary.slot {
                continue;
            }
            let replica = &mut tools.directory.replicas[planned.choice.replica];
            replica.health.withdraw();
        }
        tools.plan = plan;
        self.canary = Some(CanaryProbe {
            slot: canary.slot,
            looks: 0,
        });
        tools.budget.earn();
        let slot = canary.slot as usize;
        self.send(tools, now, slot, canary.choice, AttemptPurpose::First);
    }

    /// Chooses a route for every shard that the query needs; a shard without a route is lost.
    pub(super) fn plan(&mut self, tools: &mut EntryTools, now: Duration) {
        let route = Arc::clone(&self.route);
        let needed = self.terms.scope.needed(&self.request, &route);
        let shards = needed.map(|shard| (ShardNumber(shard), route.shards[shard as usize]));
        self.gather.reset(route.version, shards);
        let mut plan = std::mem::take(&mut tools.plan);
        plan.clear();
        for slot in 0..self.gather.slots().len() {
            let Some(choice) = self.choose(tools, now, slot, self.terms.idempotent) else {
                self.gather.lose(slot);
                continue;
            };
            let health = &mut tools.directory.replicas[choice.replica].health;
            health.submit(now);
            let slot = slot as u32;
            plan.push(PlannedAttempt { slot, choice });
        }
        tools.plan = plan;
    }

    fn send_plan(&mut self, tools: &mut EntryTools, now: Duration) {
        let mut plan = std::mem::take(&mut tools.plan);
        for planned in plan.drain(..) {
            let slot = planned.slot as usize;
            tools.budget.earn();
            self.send(tools, now, slot, planned.choice, AttemptPurpose::First);
        }
        tools.plan = plan;
    }

    /// Refuses the query if its target can't be met at the present load.
    fn admit(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        canary_time: Duration,
    ) -> Option<QueryOutcome> {
        if !tools.switches.admission {
            return None;
        }
        let (wait, work) = self.terms.predict(self.gather.total(), &mut tools.plan);
        let cost: f64 = tools
            .plan
            .iter()
            .map(|p| p.choice.work().as_secs_f64())
            .sum();
        let case = AdmissionCase {
            class: self.terms.class,
            organisation: &self.request.organisation,
            latency: self.terms.latency,
            wait,
            work: work + canary_time,
            cost,
        };
        match tools.admission.admit(now, case) {
            AdmissionVerdict::Admitted { pressed } => {
                self.pressed = pressed;
                None
            }
            AdmissionVerdict::Refused { excess } => {
                let message = "the class's latency can't be met at the present load";
                let refusal = QueryRefusal::new(RefusalCode::Overloaded, RunState::NotRun, message);
                let after = tools.spread(excess);
                Some(Err(refusal.with_retry_after(after)))
            }
        }
    }

    /// Tells whether an outcome at `now` meets the class's target.
    pub(super) fn meets_target(&self, now: Duration, outcome: &QueryOutcome) -> bool {
        let in_time = now <= self.terms.started + self.terms.latency;
        in_time
            && outcome
                .as_ref()
                .is_ok_and(|answer| answer.coverage.share() >= self.terms.coverage)
    }

    /// Cancels whatever is still out.
    pub(super) fn cancel_rest(&mut self, tools: &mut EntryTools) {
        for number in 0..self.attempts.len() {
            self.cancel(tools, number);
        }
    }

    pub(super) fn close(&mut self, attempt: u32) -> Option<AttemptSlot> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if attempt.state != AttemptState::Out {
            return None;
        }
        attempt.state = AttemptState::Closed;
        let closed = *attempt;
        self.gather.slot_mut(closed.slot as usize).out -= 1;
        Some(closed)
    }

    pub(super) fn cancel(&mut self, tools: &mut EntryTools, number: usize) {
        let Some(closed) = self.close(number as u32) else {
            return;
        };
        tools
            .outbox
            .cancel(closed.relay, self.number, number as u32);
        tools.directory.replicas[closed.replica].health.cancel();
        self.trace.unknown = true;
    }

    pub(super) fn lose(&mut self, slot: usize) {
        if self.gather.slots()[slot].out == 0 {
            self.gather.lose(slot);
        }
    }

    pub(super) fn attempt(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        if self.gather.slots()[slot].tries >= TRIES_PER_SHARD {
            self.lose(slot);
            return;
        }
        let Some(choice) = self.choose(tools, now, slot, self.terms.idempotent) else {
            self.lose(slot);
            return;
        };
        tools.directory.replicas[choice.replica].health.submit(now);
        self.send(tools, now, slot, choice, AttemptPurpose::Retry);
    }

    pub(super) fn choose(
        &self,
        tools: &mut EntryTools,
        now: Duration,
        slot: usize,
        probe: bool,
    ) -> Option<RouteChoice> {
        let state = &self.gather.slots()[slot];
        let mut tried = state.tried.clone();
        if state.out > 0 {
            let out = |a: &&AttemptSlot| a.slot as usize == slot && a.state == AttemptState::Out;
            tried.extend(self.attempts.iter().filter(out).map(|a| a.replica));
        }
        let limits = ChoiceLimits {
            tried: &tried,
            refused: &state.refused,
            probe,
        };
        let service = state.service;
        choose_route(&mut tools.directory, &mut tools.rng, now, service, limits)
    }

    pub(super) fn send(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        slot: usize,
        choice: RouteChoice,
        purpose: AttemptPurpose,
    ) {
        let attempt = self.attempts.len() as u32;
        let state = self.gather.slot_mut(slot);
        state.out += 1;
        state.tries += 1;
        let (shard, service) = (state.shard, state.service);
        // A server that failed lately is given no more than the expected time.
        let (delay, need) = match choice.reason {
            ChoiceReason::Probe | ChoiceReason::LastResort => {
                (choice.expected, AttemptNeed::Urgent)
            }
            _ => {
                let delay = tools.hedge_delay(self.terms.class, service, choice.expected);
                (delay, AttemptNeed::Ordinary)
            }
        };
        self.straggler_at = self.straggler_at.min(now + delay);
        self.attempts.push(AttemptSlot {
            slot: slot as u32,
            replica: choice.replica,
            relay: choice.relay,
            sent: now,
            expected: choice.expected,
            hedge_at: now + delay,
            overdue: false,
            need,
            state: AttemptState::Out,
        });
        let tally = &mut tools.tallies[self.terms.class];
        match purpose {
            AttemptPurpose::First => tally.first += 1,
            AttemptPurpose::Hedge => tally.hedges += 1,
            AttemptPurpose::Retry | AttemptPurpose::AfterLoss => tally.retries += 1,
        }
        let upstream = tools.directory.replicas[choice.replica].address;
        let purpose = if self.trace.victims > 0 {
            AttemptPurpose::AfterLoss
        } else {
            purpose
        };
        let target = ShardTarget {
            attempt,
            shard,
            upstream,
            purpose,
        };
        tools.note_route(self.number, &target, choice);
        let head = || self.batch_head(now);
        tools.outbox.submit(choice.relay, target, head);
    }

    pub(super) fn batch_head(&self, now: Duration) -> SubmitBatch {
        let remaining = self.terms.useful_until().saturating_sub(now);
        SubmitBatch {
            query: self.number,
            class: self.request.class.clone(),
            organisation: self.request.organisation.clone(),
            index: self.route.index.clone(),
            version: self.route.version,
            remaining_us: remaining.as_micros() as u64,
            fingerprint: self.fingerprint,
            idempotent: self.terms.idempotent,
            key: self.request.key,
            selection: self.request.selection.clone(),
            targets: smallvec::SmallVec::new(),
        }
    }

    /// Decides whether the query is finished, and how.
    pub(super) fn judge(&mut self, tools: &mut EntryTools, now: Duration) -> Option<QueryOutcome> {
        let verdict = FinalVerdict::of(&self.terms, &self.gather, self.trace, now)?;
        self.cancel_rest(tools);
        Some(verdict.outcome(self, tools, now))
    }
}

#[cfg(test)]
#[path = "run_tests.rs"]
mod tests;
