//! The decisions of a whole relay: which upstream an event concerns, and what the views say about it.

use std::time::Duration;

use cranelift_entity::PrimaryMap;
use rustc_hash::FxHashMap;

use crate::declaration::DeclaredConfig;
use crate::ident::{
    ClassName, OrganisationName, RequestFingerprint, SessionId, UpstreamAddress, VmAddress,
};
use crate::relay::action::{RelayAction, RelayTables, WorkOrder, WorkSuspicion};
use crate::relay::clamp::ClassGoal;
use crate::relay::ids::{ClassId, ConnectionId, OrganisationId, UpstreamId, WorkId};
use crate::relay::message::{RefusalReason, UpstreamLoad};
use crate::relay::upstream::{UpstreamAnswer, UpstreamState, UpstreamTerms};
use crate::settings::{ExperimentSwitches, OwnershipMode};
use crate::topology::{TopologyView, connection_share, direct_share};

/// Connections assumed for a service that no revision declares yet.
const UNDECLARED_CONNECTIONS: u32 = 6;

/// Shares up to this one have no connection for cancelling.
const CANCELLING_BEYOND: u32 = 2;

/// Names one attempt: the peer's session, the query's number, the attempt's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    pub(super) session: SessionId,
    pub(super) query: u64,
    pub(super) attempt: u32,
}

/// One attempt as it came in.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkRequest {
    pub(super) key: AttemptKey,
    pub(super) upstream: UpstreamAddress,
    pub(super) organisation: OrganisationId,
    pub(super) class: ClassId,
    pub(super) deadline: Duration,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) suspicion: WorkSuspicion,
}

/// What an upstream says about itself on a fresh connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenSign {
    /// Nothing speaks against sending.
    Ready,
    /// It marks its answer as an upstream that is leaving does.
    Draining,
    /// Its status says that it is leaving: a hint, because it lags and may be wrong.
    SaysDraining,
}

/// What a connection reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ConnectionEvent {
    /// It is open and the upstream answers on it.
    Opened { sign: OpenSign },
    /// It could not be opened.
    OpenFailed,
    /// The attempt never reached it; its end is reported apart.
    Unsent { work: WorkId },
    /// The attempt's deadline passed.
    Overdue { work: WorkId },
    /// The attempt was answered.
    Answered {
        work: WorkId,
        answer: UpstreamAnswer,
    },
    /// It broke under the attempt.
    Broken { work: WorkId },
    /// It was closed from here because the attempt never came back.
    Dropped { work: WorkId },
    /// It ended while idle.
    Closed,
}

/// What the views say, as far as a relay needs it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ViewPair<'a> {
    pub(super) topology: &'a TopologyView,
    pub(super) config: &'a DeclaredConfig,
}

/// All that a relay decides on.
#[derive(Debug)]
pub(super) struct RelayState {
    vm: VmAddress,
    switches: ExperimentSwitches,
    upstreams: PrimaryMap<UpstreamId, UpstreamState>,
    /// Ids of upstreams that were forgotten.
    spare: Vec<UpstreamId>,
    by_address: FxHashMap<UpstreamAddress, UpstreamId>,
    by_key: FxHashMap<AttemptKey, WorkId>,
    keys: FxHashMap<WorkId, AttemptKey>,
    organisations: FxHashMap<OrganisationName, OrganisationId>,
    classes: FxHashMap<ClassName, ClassId>,
    tables: RelayTables,
}

impl RelayState {
    pub(super) fn new(vm: VmAddress, switches: ExperimentSwitches) -> Self {
        Self {
            vm,
            switches,
            upstreams: PrimaryMap::new(),
            spare: Vec::new(),
            by_address: FxHashMap::default(),
            by_key: FxHashMap::default(),
            keys: FxHashMap::default(),
            organisations: FxHashMap::default(),
            classes: FxHashMap::default(),
            tables: RelayTables::default(),
        }
    }

    pub(super) fn organisation(&mut self, name: &OrganisationName) -> OrganisationId {
        if let Some(organisation) = self.organisations.get(name) {
            return *organisation;
        }
        let organisation = OrganisationId::from_u32(self.organisations.len() as u32);
        self.organisations.insert(name.clone(), organisation);
        organisation
    }

    pub(super) fn class(&mut self, name: &ClassName, config: &DeclaredConfig) -> ClassId {
        if let Some(class) = self.classes.get(name) {
            return *class;
        }
        let class = ClassId::from_u32(self.classes.len() as u32);
        self.tables.goals[class] = class_goal(config, name);
        self.classes.insert(name.clone(), class);
        class
    }

    /// Takes an attempt in; none if the same one is already held. Its verdict is among the actions, now or later.
    pub(super) fn submit(
        &mut self,
        now: Duration,
        views: ViewPair<'_>,
        request: &WorkRequest,
    ) -> Option<WorkId> {
        if self.by_key.contains_key(&request.key) {
            return None;
        }
        let upstream = self.upstream(now, views, request.upstream);
        let work = self.tables.add_work(WorkOrder {
            upstream,
            organisation: request.organisation,
            class: request.class,
            arrived: now,
            deadline: request.deadline,
            fingerprint: request.fingerprint,
            suspicion: request.suspicion,
        });
        self.by_key.insert(request.key, work);
        self.keys.insert(work, request.key);
        self.upstreams[upstream].submit(now, work, &mut self.tables);
        self.forget_released();
        Some(work)
    }

    /// Gives an attempt up; one that is no longer held is left alone.
    pub(super) fn cancel(&mut self, now: Duration, key: AttemptKey) {
        let work = self.by_key.get(&key).copied();
        let Some((work, order)) = work.and_then(|work| Some((work, self.tables.order(work)?)))
        else {
            return;
        };
        self.upstreams[order.upstream].cancel(now, work, &mut self.tables);
        self.forget_released();
    }

    /// An attempt that was to be sent is refused instead: it was not handed to its connection.
    pub(super) fn withhold(&mut self, now: Duration, work: WorkId, reason: RefusalReason) {
        let Some(order) = self.tables.order(work) else {
            return;
        };
        self.upstreams[order.upstream].withhold(now, work, reason, &mut self.tables);
        self.forget_released();
    }

    /// An attempt that was to be sent has to wait until it can be sent alone.
    pub(super) fn isolate(&mut self, now: Duration, work: WorkId) {
        let Some(order) = self.tables.order(work) else {
            return;
        };
        self.upstreams[order.upstream].isolate(now, work, &mut self.tables);
        self.forget_released();
    }

    /// Tells whether an attempt is sent alone.
    pub(super) fn is_suspect(&self, work: WorkId) -> bool {
        let order = self.tables.order(work);
        order.is_some_and(|order| order.is_suspect())
    }

    /// An attempt that was to be sent found its connection gone.
    pub(super) fn unsent(&mut self, now: Duration, work: WorkId) {
        let Some(order) = self.tables.order(work) else {
            return;
        };
        self.upstreams[order.upstream].unsent(now, work, &mut self.tables);
        self.forget_released();
    }

    pub(super) fn connection_event(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        event: ConnectionEvent,
    ) {
        let Some(upstream) = self.tables.upstream_of(connection) else {
            return;
        };
        let (state, tables) = (&mut self.upstreams[upstream], &mut self.tables);
        match event {
            ConnectionEvent::Opened { sign } => state.opened(now, connection, sign, tables),
            ConnectionEvent::OpenFailed => state.open_failed(now, connection, tables),
            ConnectionEvent::Unsent { work } => state.unsent(now, work, tables),
            ConnectionEvent::Overdue { work } => state.overdue(work, tables),
            ConnectionEvent::Answered { work, answer } => {
                state.answered(now, work, answer, tables);
            }
            ConnectionEvent::Broken { work } => state.broken(now, connection, work, tables),
            ConnectionEvent::Dropped { work } => state.dropped(now, connection, work, tables),
            ConnectionEvent::Closed => state.closed(now, connection, tables),
        }
        self.forget_released();
    }

    pub(super) fn tick(&mut self, now: Duration) {
        for state in self.upstreams.values_mut() {
            state.tick(now, &mut self.tables);
        }
        self.forget_released();
    }

    pub(super) fn needs_tick(&self) -> bool {
        self.upstreams.values().any(UpstreamState::needs_tick)
    }

    /// Takes over changed views; an upstream that is no longer listed is forgotten once nothing is left there.
    pub(super) fn apply_views(&mut self, now: Duration, views: ViewPair<'_>) {
        for (name, class) in &self.classes {
            self.tables.goals[*class] = class_goal(views.config, name);
        }
        let (upstreams, tables) = (&mut self.upstreams, &mut self.tables);
        let (vm, switches, spare) = (self.vm, self.switches, &mut self.spare);
        self.by_address.retain(|address, upstream| {
            let state = &mut upstreams[*upstream];
            state.apply(now, terms(vm, switches, views, *address), tables);
            let keep = views.topology.upstreams.contains_key(address) || !state.is_unused();
            if !keep {
                spare.push(*upstream);
            }
            keep
        });
        self.forget_released();
    }

    /// The address of an upstream.
    pub(super) fn address(&self, upstream: UpstreamId) -> UpstreamAddress {
        self.upstreams[upstream].address()
    }

    /// Tells whether the share leaves room for a connection that carries cancellations.
    pub(super) fn may_cancel(&self, upstream: UpstreamId) -> bool {
        self.upstreams[upstream].may_cancel()
    }

    pub(super) fn load(&self, now: Duration, address: UpstreamAddress) -> Option<UpstreamLoad> {
        let upstream = self.by_address.get(&address)?;
        Some(self.upstreams[*upstream].load(now))
    }

    pub(super) fn loads(&self, now: Duration) -> Vec<UpstreamLoad> {
        let known = self.by_address.values();
        known
            .map(|upstream| self.upstreams[*upstream].load(now))
            .collect()
    }

    /// Connections open or being opened, to all upstreams.
    pub(super) fn connections(&self) -> u32 {
        self.upstreams
            .values()
            .map(UpstreamState::connections)
            .sum()
    }

    /// Attempts that wait, and attempts at the upstreams.
    pub(super) fn occupancy(&self) -> (usize, usize) {
        let states = self.upstreams.values();
        states.fold((0, 0), |(queued, sent), state| {
            (queued + state.queued(), sent + state.in_flight())
        })
    }

    /// What is to be done since the last call.
    pub(super) fn take_actions(&mut self, actions: &mut Vec<RelayAction>) {
        actions.append(&mut self.tables.actions);
    }

    fn upstream(
        &mut self,
        now: Duration,
        views: ViewPair<'_>,
        address: UpstreamAddress,
    ) -> UpstreamId {
        if let Some(upstream) = self.by_address.get(&address) {
            return *upstream;
        }
        let spare = self.spare.pop();
        let upstream = spare.unwrap_or_else(|| self.upstreams.next_key());
        let mut state = UpstreamState::new(upstream, address, self.switches);
        let terms = terms(self.vm, self.switches, views, address);
        state.apply(now, terms, &mut self.tables);
        if spare.is_some() {
            self.upstreams[upstream] = state;
        } else {
            self.upstreams.push(state);
        }
        self.by_address.insert(address, upstream);
        upstream
    }

    fn forget_released(&mut self) {
        for work in self.tables.released.drain(..) {
            if let Some(key) = self.keys.remove(&work) {
                self.by_key.remove(&key);
            }
        }
    }
}

/// What the declarations state for a class.
fn class_goal(config: &DeclaredConfig, class: &ClassName) -> Option<ClassGoal> {
    let target = config.classes.get(class)?;
    Some(ClassGoal {
        latency: target.latency,
        late_share: 1.0 - target.percentile / 100.0,
    })
}

/// What the views say about one upstream.
fn terms(
    vm: VmAddress,
    switches: ExperimentSwitches,
    views: ViewPair<'_>,
    address: UpstreamAddress,
) -> UpstreamTerms {
    let Some(entry) = views.topology.upstreams.get(&address) else {
        return UpstreamTerms {
            share: 0,
            cancelling: false,
            leaving: true,
        };
    };
    let service = views.config.services.get(&entry.service);
    let limit = service.map_or(UNDECLARED_CONNECTIONS, |service| service.connections);
    let share = match switches.ownership {
        OwnershipMode::Owner => connection_share(views.topology, vm, address, limit),
        OwnershipMode::Direct => direct_share(views.topology, limit),
    };
    // One connection of the share carries cancellations, if it leaves enough for the attempts.
    let cancelling = u32::from(share > CANCELLING_BEYOND);
    UpstreamTerms {
        share: share - cancelling,
        cancelling: cancelling == 1,
        leaving: entry.leaving,
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "policy_tests.rs"]
mod policy_tests;
