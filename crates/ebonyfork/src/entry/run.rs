//! One query in flight: its attempts, and what each event makes of it.
//!
//! A run is a state machine. Events go in (outcomes, broken links, time), attempts and cancellations go to the outbox,
//! and at some point the final outcome comes out. An outcome is matched by attempt number and taken once, so that late,
//! doubled and out-of-order outcomes change nothing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::choice::{ChoiceLimits, RouteChoice, choose_route};
use super::directory::{RelayId, ReplicaId};
use super::gather::{ShardGather, ShardStanding};
use super::route::RouteTable;
use super::terms::QueryTerms;
use super::tools::EntryTools;
use super::verdict::FinalVerdict;
use crate::ident::{RequestFingerprint, RunState, ShardNumber, SnapshotVersion};
use crate::query::{QueryOutcome, QueryRequest};
use crate::relay::{
    AttemptPurpose, FailureReason, RefusalReason, ShardTarget, ShardVerdict, SubmitBatch,
};

/// Attempts at one shard, at most.
const TRIES_PER_SHARD: u8 = 4;
/// Upstreams that one query may lose.
const VICTIM_LIMIT: u8 = 2;
/// A query is planned again only while at least one part in this many of its time is left.
const REPLAN_SHARE: u32 = 4;
/// Shortest time between two wakes of one query.
const WAKE_STEP: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// Its outcome is awaited.
    Out,
    /// Its outcome has been taken, or is no longer wanted.
    Closed,
}

#[derive(Debug, Clone, Copy)]
struct AttemptSlot {
    slot: u32,
    replica: ReplicaId,
    relay: RelayId,
    sent: Duration,
    expected: Duration,
    /// When it counts as a straggler; none once that has been dealt with.
    hedge_at: Option<Duration>,
    state: AttemptState,
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
    route: Arc<RouteTable>,
    attempts: Vec<AttemptSlot>,
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
            route,
            attempts: Vec::new(),
        }
    }

    /// Sends the first attempts at every shard.
    pub(super) fn begin(&mut self, tools: &mut EntryTools, now: Duration) -> Option<QueryOutcome> {
        self.dispatch(tools, now);
        self.judge(tools, now)
    }

    fn dispatch(&mut self, tools: &mut EntryTools, now: Duration) {
        let route = Arc::clone(&self.route);
        let needed = self.terms.scope.needed(&self.request, &route);
        let shards = needed.map(|shard| (ShardNumber(shard), route.shards[shard as usize]));
        self.gather.reset(route.version, shards);
        for slot in 0..self.gather.slots().len() {
            self.attempt(tools, now, slot, AttemptPurpose::First);
        }
    }

    /// Takes the outcome of an attempt.
    pub(super) fn settle(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        attempt: u32,
        verdict: ShardVerdict,
        times: OutcomeTimes,
    ) -> Option<QueryOutcome> {
        let closed = self.close(attempt)?;
        self.learn(tools, now, closed, &verdict, times);
        let slot = closed.slot as usize;
        match verdict {
            ShardVerdict::Rows { version, body } => {
                self.trace.ran = true;
                self.take_rows(tools, now, slot, version, body);
            }
            ShardVerdict::VersionGone { newest } => {
                self.gather.slot_mut(slot).tried.push(closed.replica);
                self.resend(tools, now, slot);
                if self.gather.slots()[slot].standing() == ShardStanding::Lost {
                    self.replan(tools, now, newest);
                }
            }
            ShardVerdict::Moved { service } => {
                let service = tools.directory.service_id(&service);
                let slot_state = self.gather.slot_mut(slot);
                slot_state.service = service;
                slot_state.tried.clear();
                slot_state.refused.clear();
                self.resend(tools, now, slot);
            }
            ShardVerdict::NotRun(reason) => {
                self.take_refusal(tools, now, closed, reason);
            }
            ShardVerdict::Failed { ran, reason } => {
                self.take_failure(tools, now, closed, ran, reason);
            }
        }
        self.judge(tools, now)
    }

    /// Time has passed: hedges stragglers, and finishes at the deadline.
    pub(super) fn wake(&mut self, tools: &mut EntryTools, now: Duration) -> Option<QueryOutcome> {
        if let Some(outcome) = self.judge(tools, now) {
            return Some(outcome);
        }
        for number in 0..self.attempts.len() {
            let attempt = self.attempts[number];
            let due = attempt.hedge_at.is_some_and(|at| at <= now);
            if attempt.state != AttemptState::Out || !due {
                continue;
            }
            self.attempts[number].hedge_at = None;
            tools.directory.replicas[attempt.replica]
                .health
                .overdue(now);
            self.hedge(tools, now, attempt.slot as usize);
        }
        None
    }

    /// When the run wants to be woken.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        let mut next = self.terms.finish_by;
        if self.terms.answer_by > now {
            next = next.min(self.terms.answer_by);
        }
        for attempt in &self.attempts {
            if attempt.state != AttemptState::Out {
                continue;
            }
            if let Some(at) = attempt.hedge_at {
                next = next.min(at);
            }
        }
        next.max(now + WAKE_STEP)
    }

    /// The link to a relay broke: what is out there may have run.
    pub(super) fn lose_link(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        relay: RelayId,
    ) -> Option<QueryOutcome> {
        for number in 0..self.attempts.len() {
            let attempt = self.attempts[number];
            if attempt.state != AttemptState::Out || attempt.relay != relay {
                continue;
            }
            let verdict = ShardVerdict::Failed {
                ran: RunState::Unknown,
                reason: FailureReason::LinkDown,
            };
            let outcome = self.settle(tools, now, number as u32, verdict, OutcomeTimes::default());
            if outcome.is_some() {
                return outcome;
            }
        }
        None
    }

    /// Cancels whatever is still out.
    pub(super) fn cancel_rest(&mut self, tools: &mut EntryTools) {
        for number in 0..self.attempts.len() {
            self.cancel(tools, number);
        }
    }

    fn close(&mut self, attempt: u32) -> Option<AttemptSlot> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if attempt.state != AttemptState::Out {
            return None;
        }
        attempt.state = AttemptState::Closed;
        let closed = *attempt;
        self.gather.slot_mut(closed.slot as usize).out -= 1;
        Some(closed)
    }

    fn cancel(&mut self, tools: &mut EntryTools, number: usize) {
        let Some(closed) = self.close(number as u32) else {
            return;
        };
        tools
            .outbox
            .cancel(closed.relay, self.number, number as u32);
        self.trace.unknown = true;
    }

    fn learn(
        &self,
        tools: &mut EntryTools,
        now: Duration,
        closed: AttemptSlot,
        verdict: &ShardVerdict,
        times: OutcomeTimes,
    ) {
        let elapsed = now.saturating_sub(closed.sent);
        let health = &mut tools.directory.replicas[closed.replica].health;
        match verdict {
            ShardVerdict::Rows { .. } => {
                health.succeed(now, times.served);
                let away = elapsed.saturating_sub(times.waited + times.served);
                tools.directory.relays[closed.relay].learn_round_trip(away);
                let service = self.gather.slots()[closed.slot as usize].service;
                let lateness = elapsed.saturating_sub(closed.expected);
                let model = tools.delays.entry((self.terms.class, service));
                model.or_default().learn(lateness);
            }
            ShardVerdict::NotRun(RefusalReason::Unreachable) => health.fail(now),
            ShardVerdict::NotRun(RefusalReason::Shed | RefusalReason::QueueFull) => {
                health.shed(now);
            }
            ShardVerdict::Failed { reason, .. } => match reason {
                FailureReason::Status | FailureReason::Broken | FailureReason::Malformed => {
                    health.fail(now);
                }
                FailureReason::Timeout => health.overdue(now),
                FailureReason::Cancelled | FailureReason::LinkDown => {}
            },
            ShardVerdict::VersionGone { .. }
            | ShardVerdict::Moved { .. }
            | ShardVerdict::NotRun(_) => {}
        }
    }

    fn take_rows(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        slot: usize,
        version: SnapshotVersion,
        body: Bytes,
    ) {
        if !self.gather.accept(slot, version, body) {
            // Rows of another version never enter; the shard is asked again if it still lacks rows.
            self.retry(tools, now, slot);
            return;
        }
        if self.gather.slots()[slot].out == 0 {
            return;
        }
        for number in 0..self.attempts.len() {
            if self.attempts[number].slot as usize == slot {
                self.cancel(tools, number);
            }
        }
    }

    fn take_refusal(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        closed: AttemptSlot,
        reason: RefusalReason,
    ) {
        self.trace.refusal = Some(reason);
        let slot = self.gather.slot_mut(closed.slot as usize);
        match reason {
            RefusalReason::NotOwner | RefusalReason::NotReady | RefusalReason::LinkDown => {
                slot.refused.push(closed.relay);
            }
            RefusalReason::Expired | RefusalReason::Quarantined => {
                self.lose(closed.slot as usize);
                return;
            }
            _ => slot.tried.push(closed.replica),
        }
        self.resend(tools, now, closed.slot as usize);
    }

    fn take_failure(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        closed: AttemptSlot,
        ran: RunState,
        reason: FailureReason,
    ) {
        match ran {
            RunState::Ran => self.trace.ran = true,
            RunState::Unknown => self.trace.unknown = true,
            RunState::NotRun => {}
        }
        if reason == FailureReason::Broken {
            self.trace.victims += 1;
        }
        let slot = self.gather.slot_mut(closed.slot as usize);
        slot.tried.push(closed.replica);
        if ran == RunState::NotRun {
            self.resend(tools, now, closed.slot as usize);
        } else {
            self.retry(tools, now, closed.slot as usize);
        }
    }

    /// Plans the whole query once more, at a version that is held, if there is one and time is left. A non-idempotent
    /// query is never planned again once any part may have run.
    fn replan(&mut self, tools: &mut EntryTools, now: Duration, held: SnapshotVersion) {
        let pinned = self.gather.version();
        let index = self.route.index.clone();
        tools.routes.avoid(&index, pinned, now);
        let may_have_run = self.trace.ran || self.trace.unknown;
        if self.trace.replanned || (!self.terms.idempotent && may_have_run) {
            return;
        }
        let left = self.terms.finish_by.saturating_sub(now);
        if left < self.terms.span() / REPLAN_SHARE {
            return;
        }
        let Some(route) = tools.routes.other(&index, pinned, held) else {
            return;
        };
        self.cancel_rest(tools);
        self.trace.replanned = true;
        self.route = route;
        self.dispatch(tools, now);
    }

    /// Makes a further attempt after one that may have run: only idempotent work, and only out of the budget.
    fn retry(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        if self.gather.slots()[slot].standing() != ShardStanding::Open {
            return;
        }
        let open = self.gather.slots()[slot].out > 0;
        if self.trace.victims >= VICTIM_LIMIT || open {
            return;
        }
        if !self.terms.idempotent || !tools.budget.take(now) {
            self.lose(slot);
            return;
        }
        self.attempt(tools, now, slot, AttemptPurpose::Retry);
    }

    /// Makes a further attempt after one that was not run.
    fn resend(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        let state = &self.gather.slots()[slot];
        if state.standing() != ShardStanding::Open || state.out > 0 {
            return;
        }
        self.attempt(tools, now, slot, AttemptPurpose::Retry);
    }

    fn hedge(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        let state = &self.gather.slots()[slot];
        let single = state.standing() == ShardStanding::Open && state.out == 1;
        if !single || !self.terms.idempotent || !tools.switches.hedge {
            return;
        }
        // A query most of whose shards are open waits for load, not for a straggler.
        if self.gather.open() > (self.gather.total() / 2).max(1) {
            return;
        }
        let Some(choice) = self.choose(tools, now, slot, false) else {
            return;
        };
        if now + choice.expected > self.terms.finish_by || !tools.budget.take(now) {
            return;
        }
        self.send(tools, now, slot, choice, AttemptPurpose::Hedge);
    }

    fn lose(&mut self, slot: usize) {
        if self.gather.slots()[slot].out == 0 {
            self.gather.lose(slot);
        }
    }

    fn attempt(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        slot: usize,
        purpose: AttemptPurpose,
    ) {
        if self.gather.slots()[slot].tries >= TRIES_PER_SHARD {
            self.lose(slot);
            return;
        }
        let Some(choice) = self.choose(tools, now, slot, self.terms.idempotent) else {
            self.lose(slot);
            return;
        };
        if purpose == AttemptPurpose::First {
            tools.budget.earn();
        }
        self.send(tools, now, slot, choice, purpose);
    }

    fn choose(
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

    fn send(
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
        let delay = tools.hedge_delay(self.terms.class, service, choice.expected);
        self.attempts.push(AttemptSlot {
            slot: slot as u32,
            replica: choice.replica,
            relay: choice.relay,
            sent: now,
            expected: choice.expected,
            hedge_at: Some(now + delay),
            state: AttemptState::Out,
        });
        let replica = &mut tools.directory.replicas[choice.replica];
        replica.health.submit(now);
        let upstream = replica.address;
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

    fn batch_head(&self, now: Duration) -> SubmitBatch {
        let remaining = self.terms.useful_until().saturating_sub(now);
        SubmitBatch {
            query: self.number,
            class: self.request.class.clone(),
            customer: self.request.customer.clone(),
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
    fn judge(&mut self, tools: &mut EntryTools, now: Duration) -> Option<QueryOutcome> {
        let verdict = FinalVerdict::of(&self.terms, &self.gather, self.trace, now)?;
        self.cancel_rest(tools);
        Some(verdict.outcome(self, tools, now))
    }
}
