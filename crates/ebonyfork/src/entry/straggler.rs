//! Stragglers: attempts that are out for longer than expected, and the hedges that cover them.

use std::time::Duration;

use super::gather::ShardStanding;
use super::hedge::AttemptNeed;
use super::run::{AttemptState, QueryRun};
use super::tools::EntryTools;
use crate::query::QueryOutcome;
use crate::relay::AttemptPurpose;

/// Shortest time after which an overdue attempt is looked at again.
const HEDGE_STEP: Duration = Duration::from_millis(4);
/// Shortest time between two wakes of one query.
const WAKE_STEP: Duration = Duration::from_millis(1);

impl QueryRun {
    /// Time has passed: hedges stragglers, and finishes at the deadline.
    pub(super) fn wake(&mut self, tools: &mut EntryTools, now: Duration) -> Option<QueryOutcome> {
        if let Some(outcome) = self.judge(tools, now) {
            return Some(outcome);
        }
        if now < self.straggler_at {
            return None;
        }
        self.straggler_at = Duration::MAX;
        for number in 0..self.attempts.len() {
            let attempt = self.attempts[number];
            if attempt.state != AttemptState::Out {
                continue;
            }
            if attempt.hedge_at > now {
                self.straggler_at = self.straggler_at.min(attempt.hedge_at);
                continue;
            }
            self.take_straggler(tools, now, number);
        }
        None
    }

    /// An attempt is overdue: hedges it, or looks again later.
    pub(super) fn take_straggler(&mut self, tools: &mut EntryTools, now: Duration, number: usize) {
        let attempt = &mut self.attempts[number];
        if !attempt.overdue {
            attempt.overdue = true;
            let replica = &mut tools.directory.replicas[attempt.replica];
            match attempt.need {
                // A probe that is late has failed.
                AttemptNeed::Urgent => replica.health.fail(now),
                AttemptNeed::Ordinary => replica.health.overdue(now),
            }
        }
        let waited = now.saturating_sub(attempt.sent);
        let need = attempt.need;
        attempt.hedge_at = now + (waited / 4).max(HEDGE_STEP);
        self.straggler_at = self.straggler_at.min(attempt.hedge_at);
        let slot = attempt.slot as usize;
        if let Some(canary) = &mut self.canary {
            // All the other shards wait for this one.
            canary.looks += 1;
            self.hedge(tools, now, slot, waited, AttemptNeed::Urgent);
            self.follow_canary(tools, now);
            return;
        }
        self.hedge(tools, now, slot, waited, need);
    }

    /// When the run wants to be woken.
    pub(super) fn next_wake(&self, now: Duration) -> Duration {
        let mut next = self.terms.finish_by.min(self.straggler_at);
        if self.terms.answer_by > now {
            next = next.min(self.terms.answer_by);
        }
        next.max(now + WAKE_STEP)
    }

    pub(super) fn hedge(
        &mut self,
        tools: &mut EntryTools,
        now: Duration,
        slot: usize,
        waited: Duration,
        need: AttemptNeed,
    ) {
        let state = &self.gather.slots()[slot];
        let single = state.standing() == ShardStanding::Open && state.out == 1;
        if !single || !self.terms.idempotent || !tools.switches.hedge {
            return;
        }
        // A query most of whose shards are open waits for load, not for a straggler.
        if self.canary.is_none() && self.gather.open() > (self.gather.total() / 2).max(1) {
            return;
        }
        let Some(choice) = self.choose(tools, now, slot, false) else {
            return;
        };
        // An attempt that has been out for long is likely to stay out for as long again. A hedge is worth its load only
        // if it is expected sooner than that; where the other replica has a long queue too, it only adds to it.
        let queued = choice.expected > waited;
        let late = now + choice.expected > self.terms.useful_until();
        if queued || late || !tools.spend(now, self.terms.class, need) {
            return;
        }
        tools.directory.replicas[choice.replica].health.submit(now);
        self.send(tools, now, slot, choice, AttemptPurpose::Hedge);
    }
}
