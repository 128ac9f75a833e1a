//! What each outcome of an attempt makes of its query: rows taken, another replica asked, a shard given up, the whole
//! query planned again at another version.

use std::time::Duration;

use bytes::Bytes;

use super::decision::SetbackNote;
use super::directory::RelayId;
use super::gather::ShardStanding;
use super::hedge::AttemptNeed;
use super::run::{AttemptSlot, AttemptState, OutcomeTimes, QueryRun};
use super::tools::EntryTools;
use super::verdict::VICTIM_LIMIT;
use crate::ident::{RunState, SnapshotVersion};
use crate::query::QueryOutcome;
use crate::relay::{FailureReason, RefusalReason, ShardVerdict};

/// A query is planned again only while at least one part in this many of its time is left.
const REPLAN_SHARE: u32 = 4;

impl QueryRun {
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
        if !matches!(verdict, ShardVerdict::Rows { .. }) {
            tools.note_setback(|| SetbackNote {
                query: self.number,
                attempt,
                shard: self.gather.slots()[slot].shard,
                verdict: verdict.clone(),
            });
        }
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
        if self.trace.victims < VICTIM_LIMIT {
            self.follow_canary(tools, now);
            self.follow_parked(tools, now);
        }
        self.judge(tools, now)
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

    pub(super) fn learn(
        &self,
        tools: &mut EntryTools,
        now: Duration,
        closed: AttemptSlot,
        verdict: &ShardVerdict,
        times: OutcomeTimes,
    ) {
        let elapsed = now.saturating_sub(closed.sent);
        let health = &mut tools.directory.replicas[closed.replica].health;
        health.settle(now);
        match verdict {
            ShardVerdict::Rows { .. } => {
                health.succeed(times.served);
                let away = elapsed.saturating_sub(times.waited + times.served);
                tools.directory.relays[closed.relay].learn_round_trip(away);
                let service = self.gather.slots()[closed.slot as usize].service;
                let lateness = elapsed.saturating_sub(closed.expected);
                tools.learn_lateness(self.terms.class, service, lateness);
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

    pub(super) fn take_rows(
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

    pub(super) fn take_refusal(
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

    pub(super) fn take_failure(
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
            tools.known.remove(self.fingerprint);
            tools.lost_at = Some(now);
        }
        let slot = self.gather.slot_mut(closed.slot as usize);
        if reason == FailureReason::LinkDown {
            slot.refused.push(closed.relay);
        } else {
            slot.tried.push(closed.replica);
        }
        // A relay that is gone takes many attempts at once and says nothing against the upstreams, so that the budget
        // does not count; what was in flight there bounds the extra load.
        let relay_gone = reason == FailureReason::LinkDown && self.terms.idempotent;
        if ran == RunState::NotRun || relay_gone {
            self.resend(tools, now, closed.slot as usize);
        } else if reason == FailureReason::Broken && self.park(tools, now, closed.slot as usize) {
            // The shard stays open without an attempt.
        } else {
            self.retry(tools, now, closed.slot as usize);
        }
    }

    /// Plans the whole query once more, at a version that is held, if there is one and time is left. A non-idempotent
    /// query is never planned again once any part may have run.
    pub(super) fn replan(&mut self, tools: &mut EntryTools, now: Duration, held: SnapshotVersion) {
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
        let EntryTools {
            routes, directory, ..
        } = &mut *tools;
        let Some(route) = routes.other(&index, directory, pinned, held) else {
            return;
        };
        self.cancel_rest(tools);
        self.trace.replanned = true;
        tools.tallies[self.terms.class].replans += 1;
        self.route = route;
        self.canary = None;
        self.plan(tools, now);
        let canary = self.pick_canary(tools, now);
        self.dispatch(tools, now, canary);
    }

    /// Makes a further attempt after one that may have run: only idempotent work, and only out of the budget.
    pub(super) fn retry(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        if self.gather.slots()[slot].standing() != ShardStanding::Open {
            return;
        }
        let open = self.gather.slots()[slot].out > 0;
        if self.trace.victims >= VICTIM_LIMIT || open {
            return;
        }
        if !self.terms.idempotent || !tools.spend(now, self.terms.class, AttemptNeed::Urgent) {
            self.lose(slot);
            return;
        }
        self.attempt(tools, now, slot);
    }

    /// Makes a further attempt after one that was not run.
    pub(super) fn resend(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        let state = &self.gather.slots()[slot];
        if state.standing() != ShardStanding::Open || state.out > 0 {
            return;
        }
        self.attempt(tools, now, slot);
    }
}
