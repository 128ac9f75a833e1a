//! What all queries of an entry share: the directory, what has been learnt, the budget, the outbox.

use std::time::Duration;

use cranelift_entity::SecondaryMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::admission::AdmissionControl;
use super::canary::KnownRequests;
use super::choice::RouteChoice;
use super::decision::{DecisionTally, EntryDecision, RouteDecision, SetbackNote};
use super::directory::{Directory, ServiceId};
use super::hedge::{AttemptBudget, AttemptNeed, DelayModel};
use super::outbox::RelayOutbox;
use super::route::RouteCache;
use super::run::QueryRun;
use super::terms::ClassId;
use crate::ident::{SessionId, ZoneName};
use crate::relay::ShardTarget;
use crate::settings::ExperimentSwitches;

/// Shortest time after which a refused caller is told to come back.
const RETRY_SHORTEST: Duration = Duration::from_millis(100);

/// A route chosen for a shard, not yet sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedAttempt {
    /// Position of the shard in the gather.
    pub(super) slot: u32,
    /// The route.
    pub(super) choice: RouteChoice,
}

/// Shared state of an entry's decisions.
#[derive(Debug)]
pub(super) struct EntryTools {
    pub(super) session: SessionId,
    pub(super) switches: ExperimentSwitches,
    pub(super) directory: Directory,
    pub(super) routes: RouteCache,
    pub(super) outbox: RelayOutbox,
    pub(super) rng: ChaCha8Rng,
    pub(super) admission: AdmissionControl,
    pub(super) budget: AttemptBudget,
    pub(super) known: KnownRequests,
    /// When an upstream was last lost under a query.
    pub(super) lost_at: Option<Duration>,
    /// Scratch space: the routes chosen for a query that is being planned.
    pub(super) plan: Vec<PlannedAttempt>,
    pub(super) delays: FxHashMap<(ClassId, ServiceId), DelayModel>,
    pub(super) class_delays: SecondaryMap<ClassId, DelayModel>,
    /// Whether routing decisions are noted for the log.
    pub(super) noting: bool,
    pub(super) noted: Vec<EntryDecision>,
    /// What the decisions on each class have come to.
    pub(super) tallies: SecondaryMap<ClassId, DecisionTally>,
}

impl EntryTools {
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
            known: KnownRequests::default(),
            lost_at: None,
            plan: Vec::new(),
            delays: FxHashMap::default(),
            class_delays: SecondaryMap::new(),
            noting: false,
            noted: Vec::new(),
            tallies: SecondaryMap::new(),
        }
    }

    pub(super) fn hedge_delay(
        &self,
        class: ClassId,
        service: ServiceId,
        expected: Duration,
    ) -> Duration {
        let learnt = self.delays.get(&(class, service)).filter(|m| m.is_learnt());
        let model = learnt.unwrap_or(&self.class_delays[class]);
        model.delay(expected)
    }

    /// Takes in how much later than expected rows came.
    pub(super) fn learn_lateness(
        &mut self,
        class: ClassId,
        service: ServiceId,
        lateness: Duration,
    ) {
        self.class_delays[class].learn(lateness);
        let model = self.delays.entry((class, service));
        model.or_default().learn(lateness);
    }

    pub(super) fn note_route(&mut self, query: u64, target: &ShardTarget, choice: RouteChoice) {
        if !self.noting {
            return;
        }
        let route = RouteDecision {
            query,
            attempt: target.attempt,
            shard: target.shard,
            upstream: target.upstream,
            relay: self.directory.relays[choice.relay].vm,
            standby: choice.standby,
            purpose: target.purpose,
            reason: choice.reason,
        };
        self.noted.push(EntryDecision::Route(route));
    }

    /// Notes an attempt that brought no rows.
    pub(super) fn note_setback(&mut self, note: impl FnOnce() -> SetbackNote) {
        if self.noting {
            self.noted.push(EntryDecision::Setback(note()));
        }
    }

    /// Takes an attempt out of the budget, and counts if it holds none.
    pub(super) fn spend(&mut self, now: Duration, class: ClassId, need: AttemptNeed) -> bool {
        let granted = self.budget.take(now, need);
        self.tallies[class].denied += u64::from(!granted);
        granted
    }

    /// Spreads the time after which a caller is told to come back, so that callers refused together don't come back
    /// together.
    pub(super) fn spread(&mut self, after: Duration) -> Duration {
        let factor = self.rng.random_range(1.0..1.5);
        after.max(RETRY_SHORTEST).mul_f64(factor)
    }

    /// When a refused caller should come back: when the longest backlog that it met has drained.
    pub(super) fn retry_after(&mut self, run: &QueryRun, now: Duration) -> Duration {
        let mut longest = Duration::ZERO;
        for slot in run.gather.slots() {
            for replica in self.directory.replicas_of(slot.service) {
                let health = &self.directory.replicas[replica].health;
                longest = longest.max(health.wait(now));
            }
        }
        self.spread(longest)
    }
}
