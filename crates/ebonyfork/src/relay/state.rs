//! The decision state of a whole relay: maps each event to its upstream and applies the topology and configuration
//! views.

use std::time::Duration;

use cranelift_entity::PrimaryMap;
use rustc_hash::FxHashMap;

use crate::declaration::DeclaredConfig;
use crate::ident::{
    ClassName, OrganisationName, RequestFingerprint, SessionId, UpstreamAddress, VmAddress,
};
use crate::relay::action::{RelayAction, RelayTables, WorkItem, WorkSuspicion};
use crate::relay::clamp::LatencyTarget;
use crate::relay::ids::{ClassId, ConnectionId, OrganisationId, UpstreamId, WorkId};
use crate::relay::message::{RefusalReason, UpstreamLoad};
use crate::relay::upstream::{UpstreamAnswer, UpstreamParams, UpstreamState};
use crate::settings::{ExperimentSwitches, OwnershipMode};
use crate::topology::{TopologyView, connection_share, direct_share};

/// Connection limit assumed for a service that no configuration revision declares yet.
const DEFAULT_CONNECTIONS: u32 = 6;

/// Largest number of connections of a VM to an upstream of which none is reserved for cancellations.
const MAX_SHARE_WITHOUT_CANCELLER: u32 = 2;

/// Identifies an attempt by the peer's session, the query number and the attempt number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    pub(super) session: SessionId,
    pub(super) query: u64,
    pub(super) attempt: u32,
}

/// An attempt as submitted by an entry.
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

/// What an upstream reports about itself on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenStatus {
    /// The upstream does not say that it is leaving.
    Ready,
    /// The answer carries the draining header: the upstream is leaving.
    Draining,
    /// The status body says that the upstream is leaving. This is only a hint, because the status lags and may be
    /// wrong.
    DrainingHint,
}

/// An event on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ConnectionEvent {
    /// The connection is open and the upstream has answered the status call on it.
    Opened { status: OpenStatus },
    /// The connection could not be opened.
    OpenFailed,
    /// The attempt was not sent on this connection; the end of the connection is reported separately.
    Unsent { work: WorkId },
    /// The attempt's deadline passed while it was in flight.
    Overdue { work: WorkId },
    /// The attempt was answered.
    Answered {
        work: WorkId,
        answer: UpstreamAnswer,
    },
    /// The connection broke while the attempt was in flight.
    Broken { work: WorkId },
    /// The relay closed the connection because the attempt got no answer within the grace period after its deadline.
    Dropped { work: WorkId },
    /// The connection ended while no attempt was in flight on it.
    Closed,
}

/// The topology and the configuration, as far as a relay reads them.
#[derive(Debug, Clone, Copy)]
pub(super) struct ViewPair<'a> {
    pub(super) topology: &'a TopologyView,
    pub(super) config: &'a DeclaredConfig,
}

/// The upstreams, attempts and interned names of one relay, on which it bases its decisions.
#[derive(Debug)]
pub(super) struct RelayState {
    vm: VmAddress,
    switches: ExperimentSwitches,
    upstreams: PrimaryMap<UpstreamId, UpstreamState>,
    /// Ids of removed upstreams, available for reuse.
    free_upstream_ids: Vec<UpstreamId>,
    upstreams_by_address: FxHashMap<UpstreamAddress, UpstreamId>,
    work_by_key: FxHashMap<AttemptKey, WorkId>,
    /// Key of each attempt that is held; the inverse of `work_by_key`.
    keys_by_work: FxHashMap<WorkId, AttemptKey>,
    organisation_ids: FxHashMap<OrganisationName, OrganisationId>,
    class_ids: FxHashMap<ClassName, ClassId>,
    tables: RelayTables,
}

impl RelayState {
    pub(super) fn new(vm: VmAddress, switches: ExperimentSwitches) -> Self {
        Self {
            vm,
            switches,
            upstreams: PrimaryMap::new(),
            free_upstream_ids: Vec::new(),
            upstreams_by_address: FxHashMap::default(),
            work_by_key: FxHashMap::default(),
            keys_by_work: FxHashMap::default(),
            organisation_ids: FxHashMap::default(),
            class_ids: FxHashMap::default(),
            tables: RelayTables::default(),
        }
    }

    pub(super) fn intern_organisation(&mut self, name: &OrganisationName) -> OrganisationId {
        if let Some(organisation) = self.organisation_ids.get(name) {
            return *organisation;
        }
        let organisation = OrganisationId::from_u32(self.organisation_ids.len() as u32);
        self.organisation_ids.insert(name.clone(), organisation);
        organisation
    }

    pub(super) fn intern_class(&mut self, name: &ClassName, config: &DeclaredConfig) -> ClassId {
        if let Some(class) = self.class_ids.get(name) {
            return *class;
        }
        let class = ClassId::from_u32(self.class_ids.len() as u32);
        self.tables.latency_targets[class] = latency_target(config, name);
        self.class_ids.insert(name.clone(), class);
        class
    }

    /// Accepts an attempt and returns its id, or `None` if an attempt with the same key is already held. Its verdict
    /// follows as an action, from this call or a later one.
    pub(super) fn submit(
        &mut self,
        now: Duration,
        views: ViewPair<'_>,
        request: &WorkRequest,
    ) -> Option<WorkId> {
        if self.work_by_key.contains_key(&request.key) {
            return None;
        }
        let upstream = self.find_or_add_upstream(now, views, request.upstream);
        let work = self.tables.add_work(WorkItem {
            upstream,
            organisation: request.organisation,
            class: request.class,
            arrived_at: now,
            deadline: request.deadline,
            fingerprint: request.fingerprint,
            suspicion: request.suspicion,
        });
        self.work_by_key.insert(request.key, work);
        self.keys_by_work.insert(work, request.key);
        self.upstreams[upstream].submit(now, work, &mut self.tables);
        self.forget_released_work();
        Some(work)
    }

    /// Cancels an attempt. Does nothing if it is no longer held.
    pub(super) fn cancel(&mut self, now: Duration, key: AttemptKey) {
        let work = self.work_by_key.get(&key).copied();
        let Some((work, item)) = work.and_then(|work| Some((work, self.tables.item(work)?))) else {
            return;
        };
        self.upstreams[item.upstream].cancel(now, work, &mut self.tables);
        self.forget_released_work();
    }

    /// Refuses an attempt for which a [`RelayAction::Send`] was issued but which was not handed to its connection.
    pub(super) fn refuse_unsent_work(
        &mut self,
        now: Duration,
        work: WorkId,
        reason: RefusalReason,
    ) {
        let Some(item) = self.tables.item(work) else {
            return;
        };
        self.upstreams[item.upstream].refuse_unsent_work(now, work, reason, &mut self.tables);
        self.forget_released_work();
    }

    /// Requeues an attempt for which a [`RelayAction::Send`] was issued, as one of a suspected request.
    pub(super) fn isolate(&mut self, now: Duration, work: WorkId) {
        let Some(item) = self.tables.item(work) else {
            return;
        };
        self.upstreams[item.upstream].isolate(now, work, &mut self.tables);
        self.forget_released_work();
    }

    /// Returns whether an attempt belongs to a suspected request and is sent only while nothing else is in flight at
    /// the upstream.
    pub(super) fn is_suspect(&self, work: WorkId) -> bool {
        let item = self.tables.item(work);
        item.is_some_and(|item| item.is_suspect())
    }

    /// Requeues an attempt for which a [`RelayAction::Send`] was issued but whose connection was gone.
    pub(super) fn requeue_unsent_work(&mut self, now: Duration, work: WorkId) {
        let Some(item) = self.tables.item(work) else {
            return;
        };
        self.upstreams[item.upstream].requeue_unsent_work(now, work, &mut self.tables);
        self.forget_released_work();
    }

    pub(super) fn handle_connection_event(
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
            ConnectionEvent::Opened { status } => state.on_opened(now, connection, status, tables),
            ConnectionEvent::OpenFailed => state.on_open_failed(now, connection, tables),
            ConnectionEvent::Unsent { work } => state.requeue_unsent_work(now, work, tables),
            ConnectionEvent::Overdue { work } => state.on_overdue(work, tables),
            ConnectionEvent::Answered { work, answer } => {
                state.on_answer(now, work, answer, tables);
            }
            ConnectionEvent::Broken { work } => state.on_broken(now, connection, work, tables),
            ConnectionEvent::Dropped { work } => state.on_dropped(now, connection, work, tables),
            ConnectionEvent::Closed => state.on_closed(now, connection, tables),
        }
        self.forget_released_work();
    }

    pub(super) fn tick(&mut self, now: Duration) {
        for state in self.upstreams.values_mut() {
            state.tick(now, &mut self.tables);
        }
        self.forget_released_work();
    }

    pub(super) fn needs_tick(&self) -> bool {
        self.upstreams.values().any(UpstreamState::needs_tick)
    }

    /// Applies changed views. An upstream that is no longer listed is removed once it has no attempts and no
    /// connections.
    pub(super) fn apply_views(&mut self, now: Duration, views: ViewPair<'_>) {
        for (name, class) in &self.class_ids {
            self.tables.latency_targets[*class] = latency_target(views.config, name);
        }
        let (upstreams, tables) = (&mut self.upstreams, &mut self.tables);
        let (vm, switches, free_upstream_ids) =
            (self.vm, self.switches, &mut self.free_upstream_ids);
        self.upstreams_by_address.retain(|address, upstream| {
            let state = &mut upstreams[*upstream];
            state.apply_params(now, upstream_params(vm, switches, views, *address), tables);
            let is_kept = views.topology.upstreams.contains_key(address) || !state.is_unused();
            if !is_kept {
                free_upstream_ids.push(*upstream);
            }
            is_kept
        });
        self.forget_released_work();
    }

    /// Returns the address of an upstream.
    pub(super) fn address(&self, upstream: UpstreamId) -> UpstreamAddress {
        self.upstreams[upstream].address()
    }

    /// Returns whether this VM may hold a connection to the upstream for cancellations.
    pub(super) fn may_cancel(&self, upstream: UpstreamId) -> bool {
        self.upstreams[upstream].may_cancel()
    }

    pub(super) fn load(&self, now: Duration, address: UpstreamAddress) -> Option<UpstreamLoad> {
        let upstream = self.upstreams_by_address.get(&address)?;
        Some(self.upstreams[*upstream].load(now))
    }

    pub(super) fn loads(&self, now: Duration) -> Vec<UpstreamLoad> {
        let upstream_ids = self.upstreams_by_address.values();
        upstream_ids
            .map(|upstream| self.upstreams[*upstream].load(now))
            .collect()
    }

    /// Returns the number of connections that are open or being opened, summed over all upstreams.
    pub(super) fn connection_count(&self) -> u32 {
        self.upstreams
            .values()
            .map(UpstreamState::connection_count)
            .sum()
    }

    /// Returns the number of waiting attempts and the number of attempts in flight, summed over all upstreams.
    pub(super) fn waiting_and_in_flight_counts(&self) -> (usize, usize) {
        let states = self.upstreams.values();
        states.fold((0, 0), |(waiting_count, attempts_in_flight), state| {
            (
                waiting_count + state.waiting_count(),
                attempts_in_flight + state.attempts_in_flight(),
            )
        })
    }

    /// Moves the actions issued since the last call to `actions`.
    pub(super) fn take_actions(&mut self, actions: &mut Vec<RelayAction>) {
        actions.append(&mut self.tables.actions);
    }

    fn find_or_add_upstream(
        &mut self,
        now: Duration,
        views: ViewPair<'_>,
        address: UpstreamAddress,
    ) -> UpstreamId {
        if let Some(upstream) = self.upstreams_by_address.get(&address) {
            return *upstream;
        }
        let reused_id = self.free_upstream_ids.pop();
        let upstream = reused_id.unwrap_or_else(|| self.upstreams.next_key());
        let mut state = UpstreamState::new(upstream, address, self.switches);
        let upstream_params = upstream_params(self.vm, self.switches, views, address);
        state.apply_params(now, upstream_params, &mut self.tables);
        if reused_id.is_some() {
            self.upstreams[upstream] = state;
        } else {
            self.upstreams.push(state);
        }
        self.upstreams_by_address.insert(address, upstream);
        upstream
    }

    fn forget_released_work(&mut self) {
        for work in self.tables.released_work.drain(..) {
            if let Some(key) = self.keys_by_work.remove(&work) {
                self.work_by_key.remove(&key);
            }
        }
    }
}

/// Returns the latency target that the configuration declares for a class.
fn latency_target(config: &DeclaredConfig, class: &ClassName) -> Option<LatencyTarget> {
    let target = config.classes.get(class)?;
    Some(LatencyTarget {
        latency: target.latency,
        late_share: 1.0 - target.percentile / 100.0,
    })
}

/// Derives the parameters of one upstream from the views.
fn upstream_params(
    vm: VmAddress,
    switches: ExperimentSwitches,
    views: ViewPair<'_>,
    address: UpstreamAddress,
) -> UpstreamParams {
    let Some(entry) = views.topology.upstreams.get(&address) else {
        return UpstreamParams {
            connection_share: 0,
            has_cancel_connection: false,
            leaving: true,
        };
    };
    let service = views.config.services.get(&entry.service);
    let limit = service.map_or(DEFAULT_CONNECTIONS, |service| service.connections);
    let connections = match switches.ownership {
        OwnershipMode::Owner => connection_share(views.topology, vm, address, limit),
        OwnershipMode::Direct => direct_share(views.topology, limit),
    };
    // One connection is reserved for cancellations, if enough remain for attempts.
    let cancel_connections = u32::from(connections > MAX_SHARE_WITHOUT_CANCELLER);
    UpstreamParams {
        connection_share: connections - cancel_connections,
        has_cancel_connection: cancel_connections == 1,
        leaving: entry.leaving,
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "policy_tests.rs"]
mod policy_tests;
