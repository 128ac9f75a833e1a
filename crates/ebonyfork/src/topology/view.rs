//! The snapshot of VMs and upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{IncarnationNumber, ServiceName, UpstreamAddress, VmAddress, ZoneName};

/// One of our VMs that takes work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its address.
    pub vm: VmAddress,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Its process incarnation, once membership has learned it.
    pub incarnation: Option<IncarnationNumber>,
    /// Whether it has announced a planned stop, or the VM list says that it leaves.
    pub leaving: bool,
}

/// One upstream server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its address.
    pub upstream: UpstreamAddress,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Whether any sign says that it leaves: it gets no new work.
    pub leaving: bool,
}

/// What one VM believes about all VMs and upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopologyView {
    /// Live VMs, those that leave included.
    pub vms: BTreeMap<VmAddress, VmEntry>,
    /// Upstreams by address, those that leave included. Shared between views: VMs come and go much more often.
    pub upstreams: Arc<BTreeMap<UpstreamAddress, UpstreamEntry>>,
    /// Upstreams of each service.
    pub services: Arc<BTreeMap<ServiceName, SmallVec<[UpstreamAddress; 4]>>>,
}

impl TopologyView {
    /// Builds a view from its parts.
    pub fn new(
        vms: impl IntoIterator<Item = VmEntry>,
        upstreams: impl IntoIterator<Item = UpstreamEntry>,
    ) -> Self {
        let mut services: BTreeMap<ServiceName, SmallVec<[UpstreamAddress; 4]>> = BTreeMap::new();
        let mut by_address = BTreeMap::new();
        for entry in upstreams {
            match services.get_mut(&entry.service) {
                Some(servers) if servers.contains(&entry.upstream) => {}
                Some(servers) => servers.push(entry.upstream),
                None => {
                    services.insert(entry.service.clone(), SmallVec::from_iter([entry.upstream]));
                }
            }
            by_address.insert(entry.upstream, entry);
        }
        Self {
            vms: vms.into_iter().map(|entry| (entry.vm, entry)).collect(),
            upstreams: Arc::new(by_address),
            services: Arc::new(services),
        }
    }

    /// Returns the upstreams of a service, or none if it is unknown.
    pub fn service(&self, service: &ServiceName) -> &[UpstreamAddress] {
        self.services.get(service).map_or(&[], SmallVec::as_slice)
    }
}
