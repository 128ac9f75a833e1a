//! Status of a node for operators.

use compact_str::format_compact;

use crate::ident::{SessionId, ZoneName};
use crate::node::dispatch::PeerDispatch;
use crate::operator::{
    CatalogStatus, InFlightStatus, NodeStatus, QuarantineStatus, UpstreamStatus, VmStatus,
};
use crate::quarantine::QuarantineHandle;
use crate::settings::NodeSettings;
use crate::topology::{TopologyView, owner_pair};
use crate::views::{CatalogSet, NodeViews};

/// Collects a [`NodeStatus`] on request.
#[derive(Debug)]
pub(super) struct StatusReader {
    session: SessionId,
    zone: ZoneName,
    views: NodeViews,
    dispatch: PeerDispatch,
}

impl StatusReader {
    pub(super) fn new(
        session: SessionId,
        settings: &NodeSettings,
        views: &NodeViews,
        dispatch: &PeerDispatch,
    ) -> Self {
        let (views, dispatch) = (views.clone(), dispatch.clone());
        Self {
            session,
            zone: settings.zone.clone(),
            views,
            dispatch,
        }
    }

    /// Returns the current status of the node.
    pub(super) fn read(&self) -> NodeStatus {
        let topology = self.views.topology.borrow().clone();
        let catalogs = self.views.catalog.borrow().clone();
        let readiness = *self.views.readiness.borrow();
        NodeStatus {
            session: NodeStatus::session_text(self.session),
            zone: self.zone.clone(),
            readiness: format_compact!("{readiness:?}").to_ascii_lowercase(),
            revision: self.views.config.borrow().revision,
            catalogs: catalog_statuses(&catalogs),
            vms: vm_statuses(&topology),
            upstreams: upstream_statuses(&topology),
            in_flight: self.in_flight(),
        }
    }

    /// Returns the counts of queries and attempts in flight.
    fn in_flight(&self) -> InFlightStatus {
        InFlightStatus {
            queries: self.dispatch.entry.queries_in_flight(),
            keyed: self.dispatch.once.in_flight(),
            attempts: self.dispatch.relay.in_flight(),
        }
    }
}

fn catalog_statuses(catalogs: &CatalogSet) -> Vec<CatalogStatus> {
    let mut statuses = Vec::with_capacity(catalogs.len());
    for (index, catalog) in catalogs {
        let newest = catalog.newest().map(|shards| shards.version);
        statuses.push(CatalogStatus {
            index: index.clone(),
            epoch: catalog.epoch,
            newest,
        });
    }
    statuses
}

fn vm_statuses(topology: &TopologyView) -> Vec<VmStatus> {
    let mut statuses = Vec::with_capacity(topology.vms.len());
    for entry in topology.vms.values() {
        let session = entry
            .incarnation
            .map(|number| SessionId::new(entry.vm, number));
        statuses.push(VmStatus {
            vm: entry.vm,
            zone: entry.zone.clone(),
            session: session.map(NodeStatus::session_text),
            leaving: entry.leaving,
        });
    }
    statuses
}

fn upstream_statuses(topology: &TopologyView) -> Vec<UpstreamStatus> {
    let mut statuses = Vec::with_capacity(topology.upstreams.len());
    for entry in topology.upstreams.values() {
        let owner = owner_pair(topology, entry.upstream).map(|pair| pair.primary);
        statuses.push(UpstreamStatus {
            upstream: entry.upstream,
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            leaving: entry.leaving,
            owner,
        });
    }
    statuses
}

/// Returns the requests that are quarantined on this node.
pub(super) fn quarantine_statuses(quarantine: &QuarantineHandle) -> Vec<QuarantineStatus> {
    let mut statuses = Vec::new();
    for entry in quarantine.entries() {
        statuses.push(QuarantineStatus {
            fingerprint: entry.fingerprint,
            expires_in_s: entry.remaining.as_secs(),
        });
    }
    statuses
}
