//! Canaries: a request that nobody has seen run is tried at one shard before the others are asked.
//!
//! A request that crashes upstreams would else take one replica of every shard at once, and the other replicas when its
//! caller sends it again. The first attempt, and one at another shard after that is lost, are then all that it can
//! take, and no service loses both.
//! The price is the time of one shard request. A class whose latency leaves no room for that goes without, unless the
//! request is already suspected or an upstream was lost lately.

use std::time::Duration;

use rustc_hash::FxHashSet;

use super::gather::ShardStanding;
use super::run::QueryRun;
use super::tools::{EntryTools, PlannedAttempt};
use super::verdict::VICTIM_LIMIT;
use crate::ident::RequestFingerprint;
use crate::relay::AttemptPurpose;

/// Requests remembered in each of two generations.
const KNOWN_LIMIT: usize = 8_192;
/// Fewest shards of a query that a canary goes ahead of.
const SHARDS_LEAST: u32 = 3;
/// The work of canary and query together may take this part of the class's latency.
const ROOM_PART: u32 = 2;
/// How long after the last lost upstream every novel request goes ahead with a canary, room or not.
const ALERT_TERM: Duration = Duration::from_mins(1);
/// Times that an overdue canary is looked at before the others are asked all the same: upstreams that are silent must
/// not hold a query up, and a request that crashes its upstream does so soon.
const PATIENCE: u8 = 2;

/// Requests that have brought rows lately.
#[derive(Debug, Default)]
pub struct KnownRequests {
    young: FxHashSet<RequestFingerprint>,
    old: FxHashSet<RequestFingerprint>,
}

impl KnownRequests {
    /// Tells whether a request has brought rows lately.
    pub fn contains(&self, request: RequestFingerprint) -> bool {
        self.young.contains(&request) || self.old.contains(&request)
    }

    /// Remembers that a request has brought rows.
    pub fn insert(&mut self, request: RequestFingerprint) {
        if self.young.len() >= KNOWN_LIMIT {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
        }
        self.young.insert(request);
    }

    /// Forgets a request under which an upstream was lost.
    pub fn remove(&mut self, request: RequestFingerprint) {
        self.young.remove(&request);
        self.old.remove(&request);
    }
}

/// The canary of a query, while the other shards are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CanaryProbe {
    /// The shard that is asked first.
    pub(super) slot: u32,
    /// How often it has been looked at while overdue.
    pub(super) looks: u8,
}

impl QueryRun {
    /// Picks the planned attempt that goes ahead; none if the query needs no canary.
    pub(super) fn pick_canary(&self, tools: &EntryTools, now: Duration) -> Option<PlannedAttempt> {
        let needed = self.gather.total() >= SHARDS_LEAST && self.terms.idempotent;
        if !needed || (!self.suspect && tools.known.contains(self.fingerprint)) {
            return None;
        }
        let first = tools.plan.iter().min_by_key(|p| p.choice.expected)?;
        let slowest = tools.plan.iter().map(|p| p.choice.work()).max()?;
        let room = first.choice.work() + slowest <= self.terms.latency / ROOM_PART;
        let alert = tools.lost_at.is_some_and(|lost| now < lost + ALERT_TERM);
        (room || alert || self.suspect).then_some(*first)
    }

    /// The canary's shard is settled, or it has been out for long: asks the other shards, or tries another first.
    pub(super) fn follow_canary(&mut self, tools: &mut EntryTools, now: Duration) {
        let Some(canary) = self.canary else {
            return;
        };
        match self.gather.slots()[canary.slot as usize].standing() {
            ShardStanding::Answered => {
                tools.known.insert(self.fingerprint);
                self.release(tools, now);
            }
            ShardStanding::Open if canary.looks >= PATIENCE && self.trace.victims == 0 => {
                self.release(tools, now);
            }
            ShardStanding::Open => {}
            ShardStanding::Lost => self.next_canary(tools, now),
        }
    }

    /// An upstream was lost under the query. Its shard is not asked again before another shard has brought rows: if the
    /// request is to blame, it shall not take both replicas of one service. Returns whether the shard waits.
    pub(super) fn park(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) -> bool {
        let others = self.gather.open() > 1;
        if !self.terms.idempotent || self.trace.ran || !others {
            return false;
        }
        self.parked = true;
        // A hedge of the same shard that is still out is the second try.
        let tried = self.gather.slots()[slot].out > 0 || self.trace.victims >= VICTIM_LIMIT;
        if self.canary.is_some() && !tried {
            self.next_canary(tools, now);
        }
        true
    }

    /// Asks the shards that wait since an upstream was lost, once rows have come or nothing else is out.
    pub(super) fn follow_parked(&mut self, tools: &mut EntryTools, now: Duration) {
        let idle = || self.gather.slots().iter().all(|slot| slot.out == 0);
        if !self.parked || self.canary.is_some() || !(self.trace.ran || idle()) {
            return;
        }
        self.parked = false;
        self.release(tools, now);
    }

    fn next_canary(&mut self, tools: &mut EntryTools, now: Duration) {
        let unasked = |slot: &super::gather::ShardSlot| {
            slot.tries == 0 && slot.standing() == ShardStanding::Open
        };
        while let Some(slot) = self.gather.slots().iter().position(unasked) {
            self.canary = Some(CanaryProbe {
                slot: slot as u32,
                looks: 0,
            });
            self.attempt_first(tools, now, slot);
            if self.gather.slots()[slot].standing() == ShardStanding::Open {
                return;
            }
        }
        self.canary = None;
    }

    /// Asks all shards that have been held back.
    fn release(&mut self, tools: &mut EntryTools, now: Duration) {
        self.canary = None;
        for slot in 0..self.gather.slots().len() {
            let state = &self.gather.slots()[slot];
            if state.out == 0 && state.standing() == ShardStanding::Open {
                self.attempt_first(tools, now, slot);
            }
        }
    }

    fn attempt_first(&mut self, tools: &mut EntryTools, now: Duration, slot: usize) {
        let Some(choice) = self.choose(tools, now, slot, self.terms.idempotent) else {
            self.gather.lose(slot);
            return;
        };
        tools.budget.earn();
        tools.directory.replicas[choice.replica].health.submit(now);
        self.send(tools, now, slot, choice, AttemptPurpose::First);
    }
}

#[cfg(test)]
#[path = "canary_tests.rs"]
mod tests;
