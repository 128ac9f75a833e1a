//! Snapshot of the VMs and upstreams.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{IncarnationNumber, ServiceName, UpstreamAddress, VmAddress, ZoneName};

/// A live VM of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Address of the VM.
    pub vm: VmAddress,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Process incarnation on the VM; none until membership has discovered it.
    pub incarnation: Option<IncarnationNumber>,
    /// Whether the VM has announced a planned stop or is marked as leaving in the VM list.
    pub leaving: bool,
}

/// One upstream server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Address of the upstream.
    pub upstream: UpstreamAddress,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Whether the upstream is leaving, by the VM list or its own report. It then gets no new work.
    pub leaving: bool,
}

/// The VMs and upstreams as one VM sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopologyView {
    /// Live VMs, including leaving ones.
    pub vms: BTreeMap<VmAddress, VmEntry>,
    /// Upstreams by address, including leaving ones. Shared between views, because the VMs change much more often.
    pub upstreams: Arc<BTreeMap<UpstreamAddress, UpstreamEntry>>,
    /// Addresses of the upstreams of each service.
    pub services: Arc<BTreeMap<ServiceName, SmallVec<[UpstreamAddress; 4]>>>,
    /// VMs of each zone that are not leaving, computed with the view so that choosing an owner does not filter all VMs.
    owner_candidates: BTreeMap<ZoneName, Vec<OwnerCandidate>>,
}

/// A VM that may own upstreams, with its hash for the rendezvous scores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OwnerCandidate {
    pub(super) vm: VmAddress,
    pub(super) hash: u64,
}

impl TopologyView {
    /// Creates a view of VMs and upstreams.
    pub fn new(
        vms: impl IntoIterator<Item = VmEntry>,
        upstreams: impl IntoIterator<Item = UpstreamEntry>,
    ) -> Self {
        let mut services: BTreeMap<ServiceName, SmallVec<[UpstreamAddress; 4]>> = BTreeMap::new();
        let mut upstreams_by_address = BTreeMap::new();
        for entry in upstreams {
            match services.get_mut(&entry.service) {
                Some(addresses) if addresses.contains(&entry.upstream) => {}
                Some(addresses) => addresses.push(entry.upstream),
                None => {
                    services.insert(entry.service.clone(), SmallVec::from_iter([entry.upstream]));
                }
            }
            upstreams_by_address.insert(entry.upstream, entry);
        }
        let upstreams = Arc::new(upstreams_by_address);
        let services = Arc::new(services);
        Self {
            upstreams,
            services,
            ..Self::default()
        }
        .with_vms(vms)
    }

    /// Creates a view with other VMs and the same upstreams, which are shared instead of copied.
    #[must_use]
    pub fn with_vms(&self, vms: impl IntoIterator<Item = VmEntry>) -> Self {
        let vms: BTreeMap<_, _> = vms.into_iter().map(|entry| (entry.vm, entry)).collect();
        let (upstreams, services) = (Arc::clone(&self.upstreams), Arc::clone(&self.services));
        let mut owner_candidates: BTreeMap<ZoneName, Vec<OwnerCandidate>> = BTreeMap::new();
        for entry in vms.values() {
            if entry.leaving {
                continue;
            }
            let candidate = OwnerCandidate {
                vm: entry.vm,
                hash: address_hash(entry.vm.0, 0),
            };
            match owner_candidates.get_mut(&entry.zone) {
                Some(candidates) => candidates.push(candidate),
                None => {
                    owner_candidates.insert(entry.zone.clone(), vec![candidate]);
                }
            }
        }
        Self {
            vms,
            upstreams,
            services,
            owner_candidates,
        }
    }

    /// Returns the VMs of a zone that are not leaving.
    pub(super) fn owner_candidates_in(&self, zone: &ZoneName) -> &[OwnerCandidate] {
        self.owner_candidates.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the VMs of all zones that are not leaving.
    pub(super) fn owner_candidates(&self) -> impl Iterator<Item = &OwnerCandidate> {
        self.owner_candidates.values().flatten()
    }

    /// Returns the upstreams of a service; empty if the service is unknown.
    pub fn service(&self, service: &ServiceName) -> &[UpstreamAddress] {
        self.services.get(service).map_or(&[], SmallVec::as_slice)
    }
}

/// Returns the hash of an address and port for rendezvous scores.
pub(super) fn address_hash(ip: IpAddr, port: u16) -> u64 {
    let seed = u64::from(port);
    match ip {
        IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
        IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
    }
}
