//! Canaries: a request that has not returned rows recently is sent to a single shard before the others.
//!
//! Otherwise, a request that crashes upstreams would take down one replica of every shard at once, and the other
//! replicas when its caller retries. With a canary it can take down at most two upstreams, at the first shard and then
//! at another one, and never both replicas of a service.
//!
//! A canary delays the query by the time of one shard request. A query whose latency target is too short for that skips
//! the canary, unless the request was in flight when an upstream was lost or any upstream was lost recently.

use std::time::Duration;

use rustc_hash::FxHashSet;

use super::gather::ShardStatus;
use super::run::QueryRun;
use super::tools::{PlannedAttempt, SharedState};
use super::verdict::BROKEN_UPSTREAM_LIMIT;
use crate::ident::RequestFingerprint;
use crate::relay::AttemptPurpose;

/// Maximum number of fingerprints in each of the two generations of [`KnownRequests`].
const KNOWN_REQUESTS_PER_GENERATION: usize = 8_192;
/// Fewest shards of a query for which a canary is used.
const MIN_CANARY_SHARDS: u32 = 3;
/// A query has time for a canary if the canary and the requests to the other shards together are expected to take at
/// most the latency target divided by this number.
const CANARY_LATENCY_DIVISOR: u32 = 2;
/// How long after the loss of an upstream a request that is not in [`KnownRequests`] starts with a canary even if the
/// latency target is too short for that.
const LOSS_ALERT_DURATION: Duration = Duration::from_mins(1);
/// Number of checks of an overdue canary after which the other shards are requested anyway. Silent upstreams must not
/// hold up a query, and a request that crashes its upstream does so early.
const MAX_OVERDUE_CHECKS: u8 = 2;

/// Fingerprints of requests that have returned rows recently.
#[derive(Debug, Default)]
pub struct KnownRequests {
    current_generation: FxHashSet<RequestFingerprint>,
    previous_generation: FxHashSet<RequestFingerprint>,
}

impl KnownRequests {
    /// Returns whether a request has returned rows recently.
    pub fn contains(&self, request: RequestFingerprint) -> bool {
        self.current_generation.contains(&request) || self.previous_generation.contains(&request)
    }

    /// Records that a request has returned rows.
    pub fn insert(&mut self, request: RequestFingerprint) {
        if self.current_generation.len() >= KNOWN_REQUESTS_PER_GENERATION {
            std::mem::swap(&mut self.current_generation, &mut self.previous_generation);
            self.current_generation.clear();
        }
        self.current_generation.insert(request);
    }

    /// Removes a request that was running when an upstream was lost.
    pub fn remove(&mut self, request: RequestFingerprint) {
        self.current_generation.remove(&request);
        self.previous_generation.remove(&request);
    }
}

/// The canary of a query, while requests to the other shards are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CanaryProbe {
    /// Position of the shard that receives the canary, in the slots of the gather.
    pub(super) slot_index: u32,
    /// How often the canary has been checked while overdue.
    pub(super) overdue_check_count: u8,
}

impl QueryRun {
    /// Returns the planned attempt to send as canary, or `None` if the query needs no canary.
    pub(super) fn pick_canary(
        &self,
        shared: &SharedState,
        now: Duration,
    ) -> Option<PlannedAttempt> {
        let allows_canary =
            self.gather.shard_count() >= MIN_CANARY_SHARDS && self.params.idempotent;
        if !allows_canary || (!self.is_suspect && shared.known_requests.contains(self.fingerprint))
        {
            return None;
        }
        let fastest_attempt = shared
            .planned_attempts
            .iter()
            .min_by_key(|planned_attempt| planned_attempt.route_choice.expected_time)?;
        let slowest_time = shared
            .planned_attempts
            .iter()
            .map(|planned_attempt| planned_attempt.route_choice.unloaded_time())
            .max()?;
        let has_time_for_canary = fastest_attempt.route_choice.unloaded_time() + slowest_time
            <= self.params.latency_target / CANARY_LATENCY_DIVISOR;
        let has_recent_loss = shared
            .last_upstream_loss
            .is_some_and(|lost_at| now < lost_at + LOSS_ALERT_DURATION);
        (has_time_for_canary || has_recent_loss || self.is_suspect).then_some(*fastest_attempt)
    }

    /// Ends the canary if its shard has answered or if it has been overdue for [`MAX_OVERDUE_CHECKS`] checks and has
    /// broken no upstream: the other shards are then requested. If the canary's shard is lost, sends the canary to
    /// another shard.
    pub(super) fn advance_canary(&mut self, shared: &mut SharedState, now: Duration) {
        let Some(canary) = self.canary else {
            return;
        };
        match self.gather.slots()[canary.slot_index as usize].status() {
            ShardStatus::Answered => {
                shared.known_requests.insert(self.fingerprint);
                self.send_held_back_attempts(shared, now);
            }
            ShardStatus::Open
                if canary.overdue_check_count >= MAX_OVERDUE_CHECKS
                    && self.progress.broken_upstream_count == 0 =>
            {
                self.send_held_back_attempts(shared, now);
            }
            ShardStatus::Open => {}
            ShardStatus::Lost => self.start_next_canary(shared, now),
        }
    }

    /// Defers a shard whose upstream was lost: it is not requested again before another shard has returned rows,
    /// because a request that crashes upstreams must not take down both replicas of a service. Returns whether the
    /// shard was deferred.
    pub(super) fn defer_shard(
        &mut self,
        shared: &mut SharedState,
        now: Duration,
        slot_index: usize,
    ) -> bool {
        let has_other_open_shards = self.gather.open_shard_count() > 1;
        if !self.params.idempotent || self.progress.has_run || !has_other_open_shards {
            return false;
        }
        self.has_deferred_shards = true;
        // A hedge of the same shard that is still in flight serves as the second try.
        let is_second_try_used = self.gather.slots()[slot_index].attempts_in_flight > 0
            || self.progress.broken_upstream_count >= BROKEN_UPSTREAM_LIMIT;
        if self.canary.is_some() && !is_second_try_used {
            self.start_next_canary(shared, now);
        }
        true
    }

    /// Requests the deferred shards once rows have arrived or nothing else is in flight.
    pub(super) fn resume_deferred_shards(&mut self, shared: &mut SharedState, now: Duration) {
        let has_no_attempt_in_flight = || {
            self.gather
                .slots()
                .iter()
                .all(|shard| shard.attempts_in_flight == 0)
        };
        if !self.has_deferred_shards
            || self.canary.is_some()
            || !(self.progress.has_run || has_no_attempt_in_flight())
        {
            return;
        }
        self.has_deferred_shards = false;
        self.send_held_back_attempts(shared, now);
    }

    /// Sends the canary to the next shard that has received no attempt, or ends the canary if there is none.
    fn start_next_canary(&mut self, shared: &mut SharedState, now: Duration) {
        let has_no_attempt = |shard: &super::gather::ShardSlot| {
            shard.attempts_made == 0 && shard.status() == ShardStatus::Open
        };
        while let Some(slot_index) = self.gather.slots().iter().position(has_no_attempt) {
            self.canary = Some(CanaryProbe {
                slot_index: slot_index as u32,
                overdue_check_count: 0,
            });
            self.send_first_attempt(shared, now, slot_index);
            if self.gather.slots()[slot_index].status() == ShardStatus::Open {
                return;
            }
        }
        self.canary = None;
    }

    /// Ends the canary and requests all open shards that have no attempt in flight.
    fn send_held_back_attempts(&mut self, shared: &mut SharedState, now: Duration) {
        self.canary = None;
        for slot_index in 0..self.gather.slots().len() {
            let shard_slot = &self.gather.slots()[slot_index];
            if shard_slot.attempts_in_flight == 0 && shard_slot.status() == ShardStatus::Open {
                self.send_first_attempt(shared, now, slot_index);
            }
        }
    }

    /// Sends the first attempt at a shard, or marks the shard as lost if it has no route.
    fn send_first_attempt(&mut self, shared: &mut SharedState, now: Duration, slot_index: usize) {
        let Some(route_choice) =
            self.choose_shard_route(shared, now, slot_index, self.params.idempotent)
        else {
            self.gather.mark_shard_lost(slot_index);
            return;
        };
        shared.budget.deposit();
        shared.directory.replicas[route_choice.replica]
            .health
            .record_submission(now);
        self.send_attempt(shared, now, slot_index, route_choice, AttemptPurpose::First);
    }
}

#[cfg(test)]
#[path = "canary_tests.rs"]
mod tests;
