//! Dense ids for services, replicas and relays, with what is learnt of each.
//!
//! The topology view is replaced as a whole and may list tens of thousands of upstreams, of which one entry uses few.
//! So nothing is rebuilt when it changes: a service's members and a replica's owners are looked up again when they are
//! next used. Ids stay valid for the life of the entry.

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

/// The upstreams of one service that may get new work.
pub type ReplicaList = SmallVec<[ReplicaId; 4]>;

/// Round trip assumed to a relay in the own zone, until one has been measured.
const NEAR_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Round trip assumed to a relay in another zone, until one has been measured.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(20);
/// How long a relay whose link broke is passed over.
const LINK_PAUSE: Duration = Duration::from_millis(500);
/// Weight of a slower round trip against the learnt one: one in this many. A faster one counts at once, so that what
/// is learnt stays close to the path's own delay.
const ROUND_TRIP_WEIGHT: u32 = 32;

#[derive(Debug)]
struct ServiceSlot {
    name: ServiceName,
    replicas: ReplicaList,
    generation: u32,
}

/// One upstream.
#[derive(Debug)]
pub struct ReplicaSlot {
    /// Its address.
    pub address: UpstreamAddress,
    /// What has been learnt of it.
    pub health: ReplicaHealth,
    owners: Option<(RelayId, RelayId)>,
    generation: u32,
}

/// One VM in its role as relay.
#[derive(Debug)]
pub struct RelaySlot {
    /// Its address.
    pub vm: VmAddress,
    round_trip: Duration,
    measured: bool,
    down_until: Duration,
}

impl RelaySlot {
    /// Round trip to the relay, without queue and service times.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Takes in a measured round trip.
    pub fn learn_round_trip(&mut self, sample: Duration) {
        if !self.measured || sample < self.round_trip {
            self.round_trip = sample;
            self.measured = true;
            return;
        }
        self.round_trip += sample.abs_diff(self.round_trip) / ROUND_TRIP_WEIGHT;
    }

    /// Notes that the link is down.
    pub fn link_down(&mut self, now: Duration) {
        self.down_until = now + LINK_PAUSE;
    }

    /// Notes that something came by the link.
    pub fn link_up(&mut self) {
        self.down_until = Duration::ZERO;
    }

    /// Tells whether the link broke a moment ago.
    pub fn is_down(&self, now: Duration) -> bool {
        now < self.down_until
    }
}

/// All services, replicas and relays that an entry has met.
#[derive(Debug)]
pub struct Directory {
    own: VmAddress,
    zone: ZoneName,
    ownership: OwnershipMode,
    view: Arc<TopologyView>,
    generation: u32,
    services: PrimaryMap<ServiceId, ServiceSlot>,
    service_ids: FxHashMap<ServiceName, ServiceId>,
    /// Replicas by id.
    pub replicas: PrimaryMap<ReplicaId, ReplicaSlot>,
    replica_ids: FxHashMap<UpstreamAddress, ReplicaId>,
    /// Relays by id.
    pub relays: PrimaryMap<RelayId, RelaySlot>,
    relay_ids: FxHashMap<VmAddress, RelayId>,
}

impl Directory {
    /// Makes an empty directory for the entry on `own`.
    pub fn new(own: VmAddress, zone: ZoneName, ownership: OwnershipMode) -> Self {
        Self {
            own,
            zone,
            ownership,
            view: Arc::default(),
            generation: 1,
            services: PrimaryMap::new(),
            service_ids: FxHashMap::default(),
            replicas: PrimaryMap::new(),
            replica_ids: FxHashMap::default(),
            relays: PrimaryMap::new(),
            relay_ids: FxHashMap::default(),
        }
    }

    /// Takes the current view; costs nothing if it is still the same.
    pub fn refresh(&mut self, view: &Arc<TopologyView>) {
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = Arc::clone(view);
        self.generation = self.generation.wrapping_add(1);
    }

    /// Returns the id of a service, making one at its first use.
    pub fn service_id(&mut self, name: &ServiceName) -> ServiceId {
        if let Some(&id) = self.service_ids.get(name) {
            return id;
        }
        let slot = ServiceSlot {
            name: name.clone(),
            replicas: ReplicaList::new(),
            generation: 0,
        };
        let id = self.services.push(slot);
        self.service_ids.insert(name.clone(), id);
        id
    }

    /// Returns the upstreams of a service that may get new work.
    pub fn replicas_of(&mut self, service: ServiceId) -> ReplicaList {
        if self.services[service].generation != self.generation {
            self.update_service(service);
        }
        let mut replicas = self.services[service].replicas.clone();
        replicas.retain(|replica| !self.replicas[*replica].health.is_leaving());
        replicas
    }

    fn update_service(&mut self, service: ServiceId) {
        let view = Arc::clone(&self.view);
        let mut replicas = ReplicaList::new();
        for &address in view.service(&self.services[service].name) {
            let staying = view.upstreams.get(&address).is_some_and(|e| !e.leaving);
            if staying {
                replicas.push(self.replica_id(address));
            }
        }
        let slot = &mut self.services[service];
        slot.replicas = replicas;
        slot.generation = self.generation;
    }

    fn replica_id(&mut self, address: UpstreamAddress) -> ReplicaId {
        if let Some(&id) = self.replica_ids.get(&address) {
            return id;
        }
        let slot = ReplicaSlot {
            address,
            health: ReplicaHealth::default(),
            owners: None,
            generation: 0,
        };
        let id = self.replicas.push(slot);
        self.replica_ids.insert(address, id);
        id
    }

    /// Returns the id of an upstream that has been used.
    pub fn find_replica(&self, address: UpstreamAddress) -> Option<ReplicaId> {
        self.replica_ids.get(&address).copied()
    }

    /// Returns primary and standby relay of a replica; none if no VM is known.
    pub fn owners(&mut self, replica: ReplicaId) -> Option<(RelayId, RelayId)> {
        if self.replicas[replica].generation != self.generation {
            let owners = self.find_owners(self.replicas[replica].address);
            let slot = &mut self.replicas[replica];
            slot.owners = owners;
            slot.generation = self.generation;
        }
        self.replicas[replica].owners
    }

    fn find_owners(&mut self, address: UpstreamAddress) -> Option<(RelayId, RelayId)> {
        if self.ownership == OwnershipMode::Direct {
            let own = self.relay_id(self.own);
            return Some((own, own));
        }
        let pair = owner_pair(&self.view, address)?;
        let primary = self.relay_id(pair.primary);
        let standby = self.relay_id(pair.standby);
        Some((primary, standby))
    }

    /// Returns the id of a relay, making one at its first use.
    pub fn relay_id(&mut self, vm: VmAddress) -> RelayId {
        if let Some(&id) = self.relay_ids.get(&vm) {
            return id;
        }
        let slot = RelaySlot {
            vm,
            round_trip: self.round_trip_prior(vm),
            measured: false,
            down_until: Duration::ZERO,
        };
        let id = self.relays.push(slot);
        self.relay_ids.insert(vm, id);
        id
    }

    fn round_trip_prior(&self, vm: VmAddress) -> Duration {
        if vm == self.own {
            return Duration::ZERO;
        }
        match self.view.vms.get(&vm) {
            Some(entry) if entry.zone == self.zone => NEAR_ROUND_TRIP,
            _ => FAR_ROUND_TRIP,
        }
    }
}
