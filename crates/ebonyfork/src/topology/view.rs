//! The snapshot of VMs and upstreams.

use std::collections::BTreeMap;
use std::net::IpAddr;
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
    /// The VMs of each zone that stay, made with the view so that ownership needs no search through all VMs.
    staying: BTreeMap<ZoneName, Vec<StayingVm>>,
}

/// A VM that may own upstreams, with the hash that rendezvous scores are made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StayingVm {
    pub(super) vm: VmAddress,
    pub(super) hash: u64,
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
        let upstreams = Arc::new(by_address);
        let services = Arc::new(services);
        Self {
            upstreams,
            services,
            ..Self::default()
        }
        .with_vms(vms)
    }

    /// Builds a view of other VMs over the same upstreams, which are shared and not copied.
    #[must_use]
    pub fn with_vms(&self, vms: impl IntoIterator<Item = VmEntry>) -> Self {
        let vms: BTreeMap<_, _> = vms.into_iter().map(|entry| (entry.vm, entry)).collect();
        let (upstreams, services) = (Arc::clone(&self.upstreams), Arc::clone(&self.services));
        let mut staying: BTreeMap<ZoneName, Vec<StayingVm>> = BTreeMap::new();
        for entry in vms.values() {
            if entry.leaving {
                continue;
            }
            let staying_vm = StayingVm {
                vm: entry.vm,
                hash: address_hash(entry.vm.0, 0),
            };
            match staying.get_mut(&entry.zone) {
                Some(zone) => zone.push(staying_vm),
                None => {
                    staying.insert(entry.zone.clone(), vec![staying_vm]);
                }
            }
        }
        Self {
            vms,
            upstreams,
            services,
            staying,
        }
    }

    /// The VMs of a zone that stay.
    pub(super) fn staying_in(&self, zone: &ZoneName) -> &[StayingVm] {
        self.staying.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The VMs of all zones that stay.
    pub(super) fn staying(&self) -> impl Iterator<Item = &StayingVm> {
        self.staying.values().flatten()
    }

    /// Returns the upstreams of a service, or none if it is unknown.
    pub fn service(&self, service: &ServiceName) -> &[UpstreamAddress] {
        self.services.get(service).map_or(&[], SmallVec::as_slice)
    }
}

/// Hash of an address and port, for rendezvous scores.
pub(super) fn address_hash(ip: IpAddr, port: u16) -> u64 {
    let seed = u64::from(port);
    match ip {
        IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
        IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
    }
}
