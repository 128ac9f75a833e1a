//! State shared by all queries of an entry: the directory, statistics, the attempt budget and the outbox.

use std::time::Duration;

use cranelift_entity::SecondaryMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::admission::AdmissionControl;
use super::canary::KnownRequests;
use super::choice::RouteChoice;
use super::decision::{DecisionCounts, EntryDecision, FailedAttempt, RouteDecision};
use super::directory::{Directory, ServiceId};
use super::hedge::{AttemptBudget, AttemptUrgency, LatenessHistogram};
use super::outbox::RelayOutbox;
use super::route::RouteCache;
use super::run::QueryRun;
use super::terms::ClassId;
use crate::ident::{SessionId, ZoneName};
use crate::relay::ShardTarget;
use crate::settings::ExperimentSwitches;

/// Shortest retry-after sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// An attempt whose route has been chosen but which has not been sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedAttempt {
    /// Position of the shard in the slots of the gather.
    pub(super) slot_index: u32,
    /// The replica and the relay to use.
    pub(super) route_choice: RouteChoice,
}

/// State shared by all queries of an entry.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) session: SessionId,
    pub(super) switches: ExperimentSwitches,
    pub(super) directory: Directory,
    pub(super) routes: RouteCache,
    pub(super) outbox: RelayOutbox,
    pub(super) rng: ChaCha8Rng,
    pub(super) admission: AdmissionControl,
    pub(super) budget: AttemptBudget,
    pub(super) known_requests: KnownRequests,
    /// When an upstream connection last broke during an attempt; `None` if none has broken.
    pub(super) last_upstream_loss: Option<Duration>,
    /// Scratch space for the routes chosen for the query that is being planned.
    pub(super) planned_attempts: Vec<PlannedAttempt>,
    pub(super) lateness_by_service: FxHashMap<(ClassId, ServiceId), LatenessHistogram>,
    pub(super) lateness_by_class: SecondaryMap<ClassId, LatenessHistogram>,
    /// Whether decisions are collected for the decision log.
    pub(super) log_decisions: bool,
    pub(super) pending_decisions: Vec<EntryDecision>,
    /// Decision counts of each class.
    pub(super) decision_counts: SecondaryMap<ClassId, DecisionCounts>,
}

impl SharedState {
    pub(super) fn new(session: SessionId, zone: ZoneName, switches: ExperimentSwitches) -> Self {
        Self {
            session,
            switches,
            directory: Directory::new(session.vm, zone, switches.ownership),
            routes: RouteCache::default(),
            outbox: RelayOutbox::default(),
            rng: ChaCha8Rng::seed_from_u64(session.incarnation.0),
            admission: AdmissionControl::default(),
            budget: AttemptBudget::default(),
            known_requests: KnownRequests::default(),
            last_upstream_loss: None,
            planned_attempts: Vec::new(),
            lateness_by_service: FxHashMap::default(),
            lateness_by_class: SecondaryMap::new(),
            log_decisions: false,
            pending_decisions: Vec::new(),
            decision_counts: SecondaryMap::new(),
        }
    }

    /// Returns the delay after which an attempt counts as a straggler, from the histogram of the service if it has
    /// enough samples, else from that of the class.
    pub(super) fn hedge_delay(
        &self,
        class: ClassId,
        service: ServiceId,
        expected_time: Duration,
    ) -> Duration {
        let service_histogram = self
            .lateness_by_service
            .get(&(class, service))
            .filter(|histogram| histogram.has_enough_samples());
        let histogram = service_histogram.unwrap_or(&self.lateness_by_class[class]);
        histogram.hedge_delay(expected_time)
    }

    /// Records how much later than expected rows arrived.
    pub(super) fn record_lateness(
        &mut self,
        class: ClassId,
        service: ServiceId,
        lateness: Duration,
    ) {
        self.lateness_by_class[class].add_sample(lateness);
        let histogram = self.lateness_by_service.entry((class, service));
        histogram.or_default().add_sample(lateness);
    }

    /// Collects a routing decision for the decision log.
    pub(super) fn record_route(
        &mut self,
        query: u64,
        target: &ShardTarget,
        route_choice: RouteChoice,
    ) {
        if !self.log_decisions {
            return;
        }
        let decision = RouteDecision {
            query,
            attempt: target.attempt,
            shard: target.shard,
            upstream: target.upstream,
            relay: self.directory.relays[route_choice.relay].vm,
            uses_standby: route_choice.uses_standby,
            purpose: target.purpose,
            reason: route_choice.reason,
        };
        self.pending_decisions.push(EntryDecision::Route(decision));
    }

    /// Collects an attempt that returned no rows for the decision log.
    pub(super) fn record_failed_attempt(&mut self, failed_attempt: impl FnOnce() -> FailedAttempt) {
        if self.log_decisions {
            self.pending_decisions
                .push(EntryDecision::FailedAttempt(failed_attempt()));
        }
    }

    /// Withdraws the token for one attempt from the budget; returns false and counts a denied attempt if the budget
    /// does not allow it.
    pub(super) fn try_withdraw_attempt(
        &mut self,
        now: Duration,
        class: ClassId,
        urgency: AttemptUrgency,
    ) -> bool {
        let is_granted = self.budget.try_withdraw(now, urgency);
        self.decision_counts[class].denied_attempts += u64::from(!is_granted);
        is_granted
    }

    /// Adds random jitter to a retry-after, so that callers refused together do not retry together.
    pub(super) fn jitter_retry_after(&mut self, retry_after: Duration) -> Duration {
        let jitter_factor = self.rng.random_range(1.0..1.5);
        retry_after.max(MIN_RETRY_AFTER).mul_f64(jitter_factor)
    }

    /// Returns the retry-after of a refused query: the time until the longest backlog among its replicas has drained.
    pub(super) fn retry_after(&mut self, run: &QueryRun, now: Duration) -> Duration {
        let mut longest_wait = Duration::ZERO;
        for shard_slot in run.gather.slots() {
            for replica in self.directory.replicas_of(shard_slot.service) {
                let health = &self.directory.replicas[replica].health;
                longest_wait = longest_wait.max(health.expected_wait(now));
            }
        }
        self.jitter_retry_after(longest_wait)
    }
}
