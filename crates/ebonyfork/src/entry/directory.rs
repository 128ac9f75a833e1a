//! Dense ids of services, replicas and relays, with the statistics of each.
//!
//! The topology view is replaced as a whole and may list tens of thousands of upstreams, of which one entry uses few.
//! Nothing is therefore rebuilt when the view changes: the replicas of a service and the owners of a replica are looked
//! up again at their next use. Ids stay valid for the life of the entry.

use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::{PrimaryMap, entity_impl};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::replica::ReplicaHealth;
use crate::ident::{ServiceName, UpstreamAddress, VmAddress, ZoneName};
use crate::settings::OwnershipMode;
use crate::topology::{TopologyView, owner_pair};

/// Dense id of a service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(u32);
entity_impl!(ServiceId, "service");

/// Dense id of an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId(u32);
entity_impl!(ReplicaId, "replica");

/// Dense id of a VM in its role as relay.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RelayId(u32);
entity_impl!(RelayId, "relay");

/// The upstreams of one service that may receive new requests.
pub type ReplicaList = SmallVec<[ReplicaId; 4]>;

/// Round trip to a relay in the same zone, assumed until one has been measured.
const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Round trip to a relay in another zone, assumed until one has been measured.
const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(20);
/// How long a relay is avoided after its link broke.
const LINK_DOWN_DURATION: Duration = Duration::from_millis(500);
/// The weight of a new round trip in the moving average is one divided by this number if the round trip is longer than
/// the average. A shorter round trip replaces the average at once, so that the average stays close to the delay of the
/// path itself.
const ROUND_TRIP_SMOOTHING: u32 = 32;

#[derive(Debug)]
struct ServiceEntry {
    name: ServiceName,
    replicas: ReplicaList,
    generation: u32,
}

/// What the entry knows about one upstream.
#[derive(Debug)]
pub struct ReplicaEntry {
    /// Address of the upstream.
    pub address: UpstreamAddress,
    /// Health and load of the upstream.
    pub health: ReplicaHealth,
    owners: Option<(RelayId, RelayId)>,
    generation: u32,
}

/// What the entry knows about one VM in its role as relay.
#[derive(Debug)]
pub struct RelayEntry {
    /// Address of the VM.
    pub vm: VmAddress,
    round_trip: Duration,
    /// Whether `round_trip` was measured; if not, it is the default for the relay's zone.
    is_measured: bool,
    down_until: Duration,
}

impl RelayEntry {
    /// Returns the round trip to the relay, without queue and service times.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Records a measured round trip.
    pub fn record_round_trip(&mut self, sample: Duration) {
        if !self.is_measured || sample < self.round_trip {
            self.round_trip = sample;
            self.is_measured = true;
            return;
        }
        self.round_trip += sample.abs_diff(self.round_trip) / ROUND_TRIP_SMOOTHING;
    }

    /// Records that the link broke.
    pub fn record_link_down(&mut self, now: Duration) {
        self.down_until = now + LINK_DOWN_DURATION;
    }

    /// Records that a message arrived on the link.
    pub fn record_link_up(&mut self) {
        self.down_until = Duration::ZERO;
    }

    /// Returns whether the link broke less than [`LINK_DOWN_DURATION`] ago and no message has arrived on it since.
    pub fn is_down(&self, now: Duration) -> bool {
        now < self.down_until
    }
}

/// All services, replicas and relays that an entry has used.
#[derive(Debug)]
pub struct Directory {
    own_vm: VmAddress,
    zone: ZoneName,
    ownership: OwnershipMode,
    topology: Arc<TopologyView>,
    /// Incremented when the topology view changes; services and replicas with another generation are looked up again at
    /// their next use.
    generation: u32,
    services: PrimaryMap<ServiceId, ServiceEntry>,
    service_ids: FxHashMap<ServiceName, ServiceId>,
    /// Replicas by id.
    pub replicas: PrimaryMap<ReplicaId, ReplicaEntry>,
    replica_ids: FxHashMap<UpstreamAddress, ReplicaId>,
    /// Relays by id.
    pub relays: PrimaryMap<RelayId, RelayEntry>,
    relay_ids: FxHashMap<VmAddress, RelayId>,
}

impl Directory {
    /// Creates an empty directory for the entry on `own_vm`.
    pub fn new(own_vm: VmAddress, zone: ZoneName, ownership: OwnershipMode) -> Self {
        Self {
            own_vm,
            zone,
            ownership,
            topology: Arc::default(),
            generation: 1,
            services: PrimaryMap::new(),
            service_ids: FxHashMap::default(),
            replicas: PrimaryMap::new(),
            replica_ids: FxHashMap::default(),
            relays: PrimaryMap::new(),
            relay_ids: FxHashMap::default(),
        }
    }

    /// Switches to the given view; does nothing if it is unchanged.
    pub fn refresh(&mut self, topology: &Arc<TopologyView>) {
        if Arc::ptr_eq(&self.topology, topology) {
            return;
        }
        self.topology = Arc::clone(topology);
        self.generation = self.generation.wrapping_add(1);
    }

    /// Returns the id of a service, assigning one on first use.
    pub fn service_id(&mut self, name: &ServiceName) -> ServiceId {
        if let Some(&id) = self.service_ids.get(name) {
            return id;
        }
        let entry = ServiceEntry {
            name: name.clone(),
            replicas: ReplicaList::new(),
            generation: 0,
        };
        let id = self.services.push(entry);
        self.service_ids.insert(name.clone(), id);
        id
    }

    /// Returns the upstreams of a service that may receive new requests.
    pub fn replicas_of(&mut self, service: ServiceId) -> ReplicaList {
        if self.services[service].generation != self.generation {
            self.update_service(service);
        }
        let mut replicas = self.services[service].replicas.clone();
        replicas.retain(|replica| !self.replicas[*replica].health.is_leaving());
        replicas
    }

    fn update_service(&mut self, service: ServiceId) {
        let topology = Arc::clone(&self.topology);
        let mut replicas = ReplicaList::new();
        for &address in topology.service(&self.services[service].name) {
            let is_available = topology
                .upstreams
                .get(&address)
                .is_some_and(|entry| !entry.leaving);
            if is_available {
                replicas.push(self.replica_id(address));
            }
        }
        let entry = &mut self.services[service];
        entry.replicas = replicas;
        entry.generation = self.generation;
    }

    fn replica_id(&mut self, address: UpstreamAddress) -> ReplicaId {
        if let Some(&id) = self.replica_ids.get(&address) {
            return id;
        }
        let entry = ReplicaEntry {
            address,
            health: ReplicaHealth::default(),
            owners: None,
            generation: 0,
        };
        let id = self.replicas.push(entry);
        self.replica_ids.insert(address, id);
        id
    }

    /// Returns the id of an upstream, or `None` if it has not been used yet.
    pub fn find_replica(&self, address: UpstreamAddress) -> Option<ReplicaId> {
        self.replica_ids.get(&address).copied()
    }

    /// Returns the primary and standby relay of a replica, or `None` if no VM is known.
    pub fn owners(&mut self, replica: ReplicaId) -> Option<(RelayId, RelayId)> {
        if self.replicas[replica].generation != self.generation {
            let owners = self.find_owners(self.replicas[replica].address);
            let entry = &mut self.replicas[replica];
            entry.owners = owners;
            entry.generation = self.generation;
        }
        self.replicas[replica].owners
    }

    fn find_owners(&mut self, address: UpstreamAddress) -> Option<(RelayId, RelayId)> {
        if self.ownership == OwnershipMode::Direct {
            let own_relay = self.relay_id(self.own_vm);
            return Some((own_relay, own_relay));
        }
        let owner_vms = owner_pair(&self.topology, address)?;
        let primary = self.relay_id(owner_vms.primary);
        let standby = self.relay_id(owner_vms.standby);
        Some((primary, standby))
    }

    /// Returns the id of a relay, assigning one on first use.
    pub fn relay_id(&mut self, vm: VmAddress) -> RelayId {
        if let Some(&id) = self.relay_ids.get(&vm) {
            return id;
        }
        let entry = RelayEntry {
            vm,
            round_trip: self.default_round_trip(vm),
            is_measured: false,
            down_until: Duration::ZERO,
        };
        let id = self.relays.push(entry);
        self.relay_ids.insert(vm, id);
        id
    }

    fn default_round_trip(&self, vm: VmAddress) -> Duration {
        if vm == self.own_vm {
            return Duration::ZERO;
        }
        match self.topology.vms.get(&vm) {
            Some(entry) if entry.zone == self.zone => SAME_ZONE_ROUND_TRIP,
            _ => OTHER_ZONE_ROUND_TRIP,
        }
    }
}
