//! Our own VMs: their registrations, and the selection of the VMs that callers are told to use.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::ident::{PlaceName, UpstreamService};
use crate::gateway::policy::homes::HostRegions;
use crate::gateway::policy::serving::{VmCapacity, min_serving_cores};
use crate::gateway::registry::UpstreamRegistry;
use crate::gateway::settings::NodePlace;
use crate::ident::VmAddress;
use crate::membership::{MemberSnapshot, MemberState};

/// Largest number of addresses in one locate answer.
const MAX_ADDRESSES: usize = 64;
/// Smallest number of VMs in a locate answer, if that many exist: when one fails, the caller needs another.
const MIN_ADDRESSES: usize = 2;
/// Upper bound on the number of VMs that a registration may report: twice the largest planned fleet.
const MAX_REPORTED_VMS: usize = 10_000;
/// Fraction of a host's shards that must have an upstream in a zone for that zone's VMs to serve the host's callers. A
/// VM without local upstreams fetches every partial answer across zones. A caller that uses a VM next to the upstreams
/// fetches one merged answer, a twentieth of the bytes with 20 shards.
const LOCAL_SHARD_FRACTION: f64 = 0.5;

/// Record that a VM registers about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Address on which the VM accepts callers' requests.
    pub caller: SocketAddr,
    /// Availability zone of the VM.
    pub zone: CompactString,
    /// Region of the VM.
    pub region: CompactString,
    /// Processor capacity of the VM, in cores.
    #[serde(deserialize_with = "crate::stated::checked_cores")]
    pub cores: f32,
    /// Number of VMs that this one knew when it registered. A process that starts while other VMs are partitioned and
    /// their entries have expired learns from this that they may still be running.
    pub vms: u32,
}

/// A VM that callers can be told to use.
#[derive(Debug, Clone)]
struct UsableVm {
    caller: SocketAddr,
    zone: CompactString,
    region: PlaceName,
    cores: f32,
    /// Load, in per mille of the capacity.
    load: u16,
}

impl UsableVm {
    fn address(&self) -> VmAddress {
        VmAddress(self.caller.ip())
    }
}

/// VMs of one zone by role.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneRoles {
    /// VMs that callers are told of and that gather shards for VMs of other zones.
    pub serving: Vec<VmAddress>,
    /// VMs on standby.
    pub idle: Vec<VmAddress>,
}

/// Registered VMs.
#[derive(Debug)]
pub struct VmDirectory {
    own_address: SocketAddr,
    records: RefCell<FxHashMap<CompactString, VmRecord>>,
    membership: RefCell<Arc<MemberSnapshot>>,
    peak_count: Cell<usize>,
    /// Registrations that the store no longer contains.
    missing_keys: RefCell<FxHashSet<CompactString>>,
    own_load: Cell<u16>,
}

impl VmDirectory {
    /// Creates a directory that knows only this process's own address.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            records: RefCell::default(),
            membership: RefCell::default(),
            peak_count: Cell::new(1),
            missing_keys: RefCell::default(),
            own_load: Cell::default(),
        }
    }

    /// Adds or updates a registration.
    pub fn put(&self, key: &CompactString, record: VmRecord) {
        self.missing_keys.borrow_mut().remove(key);
        let reported_count = (record.vms as usize).min(MAX_REPORTED_VMS);
        self.records.borrow_mut().insert(key.clone(), record);
        let peak_count = self.peak_count.get().max(self.count()).max(reported_count);
        self.peak_count.set(peak_count);
    }

    /// Handles the end of a registration. A VM that gossip reports alive or suspect is kept: its lease may have expired
    /// while the store was unavailable.
    pub fn remove(&self, key: &CompactString) {
        let record = self.records.borrow().get(key).cloned();
        let Some(record) = record else { return };
        self.missing_keys.borrow_mut().insert(key.clone());
        if self.is_reported_running(&record) {
            return;
        }
        self.records.borrow_mut().remove(key);
    }

    /// Applies a snapshot of the gossip membership. Removes registrations that the store no longer contains and that
    /// gossip does not report alive or suspect. A VM that gossip reports alive is running, even if the store was
    /// restored from a copy older than its registration. The registration of a failed VM stays for as long as the store
    /// contains it: the VM may only have been cut off or paused, and does not register again when it returns.
    pub fn apply_members(&self, members: Arc<MemberSnapshot>) {
        let other_members = members.members().iter().filter(|member| {
            member.vm.0 != self.own_address.ip() && member.state != MemberState::Failed
        });
        let running_count = other_members.count() + 1;
        self.peak_count
            .set(self.peak_count.get().max(running_count));
        *self.membership.borrow_mut() = members;
        let missing_keys = self.missing_keys.borrow();
        let has_expired = |key: &CompactString, record: &VmRecord| {
            missing_keys.contains(key) && !self.is_reported_running(record)
        };
        self.records
            .borrow_mut()
            .retain(|key, record| !has_expired(key, record));
    }

    /// Returns whether the store no longer contains a registration.
    pub fn is_missing(&self, key: &CompactString) -> bool {
        self.missing_keys.borrow().contains(key)
    }

    fn is_reported_running(&self, record: &VmRecord) -> bool {
        let membership = self.membership.borrow();
        let member = membership.get(VmAddress(record.caller.ip()));
        member
            .is_some_and(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Returns the number of VMs that have not failed, including this one.
    pub fn count(&self) -> usize {
        let membership = self.membership.borrow();
        let has_failed = |record: &VmRecord| {
            let member = membership.get(VmAddress(record.caller.ip()));
            member.is_some_and(|member| member.state == MemberState::Failed)
        };
        let records = self.records.borrow();
        let is_counted =
            |record: &&VmRecord| record.caller != self.own_address && !has_failed(record);
        records.values().filter(is_counted).count() + 1
    }

    /// Returns the largest number of VMs known to have run at the same time. A VM that nobody has reported yet has no
    /// callers and therefore no accumulated budget to spend in addition to that of the others.
    pub fn peak_count(&self) -> usize {
        self.peak_count.get().max(self.count())
    }

    /// Returns the addresses of all other VMs, as seeds for gossip.
    pub fn seeds(&self) -> Vec<VmAddress> {
        let records = self.records.borrow();
        let other_records = records
            .values()
            .filter(|record| record.caller != self.own_address);
        other_records
            .map(|record| VmAddress(record.caller.ip()))
            .collect()
    }

    /// Returns the availability zone of a VM, if it is registered.
    pub fn zone_of(&self, vm: VmAddress) -> Option<PlaceName> {
        let records = self.records.borrow();
        let mut records = records.values();
        let record = records.find(|record| record.caller.ip() == vm.0)?;
        Some(PlaceName::new(&record.zone))
    }

    /// Returns the other serving VMs of a zone.
    pub fn serving_in_zone(&self, zone: &PlaceName) -> Vec<VmAddress> {
        let mut usable_vms = self.usable_vms(None);
        usable_vms.retain(|vm| vm.zone == zone.as_str());
        let chosen_vms = serving_vms(usable_vms.iter());
        chosen_vms.iter().map(|vm| vm.address()).collect()
    }

    /// Returns the serving VMs in the zone of some upstreams, including this process; those of all zones if that zone
    /// has none.
    pub fn serving_near(&self, zone: &PlaceName, own_place: &NodePlace) -> Vec<VmAddress> {
        let usable_vms = self.usable_vms(Some(own_place));
        let local_vms = serving_vms(usable_vms.iter().filter(|vm| vm.zone == zone.as_str()));
        let chosen_vms = if local_vms.is_empty() {
            serving_vms(usable_vms.iter())
        } else {
            local_vms
        };
        chosen_vms.iter().map(|vm| vm.address()).collect()
    }

    /// Returns the VMs of the own zone by role, including this process.
    pub fn zone_roles(&self, own_place: &NodePlace) -> ZoneRoles {
        let mut usable_vms = self.usable_vms(Some(own_place));
        usable_vms.retain(|vm| vm.zone == own_place.zone.as_str());
        let serving_addresses: FxHashSet<_> = serving_vms(usable_vms.iter())
            .iter()
            .map(|vm| vm.address())
            .collect();
        let addresses = usable_vms.iter().map(UsableVm::address);
        let (serving, idle) = addresses.partition(|vm| serving_addresses.contains(vm));
        ZoneRoles { serving, idle }
    }

    /// Returns the VMs that callers can be told to use; this process is included if its place is given.
    fn usable_vms(&self, own_place: Option<&NodePlace>) -> Vec<UsableVm> {
        let membership = self.membership.borrow();
        let records = self.records.borrow();
        let mut vms = Vec::with_capacity(records.len() + 1);
        for record in records.values() {
            let vm = VmAddress(record.caller.ip());
            let member = membership.get(vm);
            let is_usable = member.map_or_else(
                || !membership.is_unreachable(vm),
                |member| member.state == MemberState::Alive,
            );
            if record.caller == self.own_address || !is_usable {
                continue;
            }
            vms.push(UsableVm {
                caller: record.caller,
                zone: record.zone.clone(),
                region: PlaceName::new(&record.region),
                cores: record.cores,
                load: member.map_or(0, |member| member.digest.load),
            });
        }
        if let Some(own_place) = own_place {
            vms.push(UsableVm {
                caller: self.own_address,
                zone: own_place.zone.as_str().into(),
                region: own_place.region.clone(),
                cores: own_place.cores as f32,
                load: self.own_load.get(),
            });
        }
        vms
    }

    /// Sets the load of this process, in per mille of its capacity.
    pub fn set_own_load(&self, load: u16) {
        self.own_load.set(load);
    }

    /// Returns the addresses for a caller: VMs next to the upstreams that its host needs, starting with the caller's
    /// own zone, and restricted to the home regions of the host's routes. `own_place` is the place of this process, or
    /// `None` if it is about to stop.
    pub fn locate(
        &self,
        caller_place: &NodePlace,
        needs: &HostNeeds,
        own_place: Option<&NodePlace>,
    ) -> Vec<SocketAddr> {
        let candidates = allowed_vms(self.usable_vms(own_place), caller_place, &needs.regions);
        let mut addresses = Vec::new();
        for group in preferred_zones(caller_place, &needs.zones) {
            let is_in_group = |vm: &&UsableVm| group.iter().any(|zone| zone.as_str() == vm.zone);
            for vm in serving_vms(candidates.iter().filter(is_in_group)) {
                if !addresses.contains(&vm.caller) {
                    addresses.push(vm.caller);
                }
            }
            if addresses.len() >= MIN_ADDRESSES {
                break;
            }
        }
        if addresses.len() < MIN_ADDRESSES {
            addresses = candidates.iter().map(|vm| vm.caller).collect();
        }
        addresses.sort_unstable();
        truncate_at_random(&mut addresses);
        addresses
    }
}

/// Returns the VMs that suit a caller best according to the home regions of a host's routes. VMs of the second-best
/// rank are included only if the best one has too few.
fn allowed_vms(
    vms: Vec<UsableVm>,
    caller_place: &NodePlace,
    regions: &HostRegions,
) -> Vec<UsableVm> {
    if !regions.is_limited() {
        return vms;
    }
    let rank = |vm: &UsableVm| regions.rank(&vm.region, &caller_place.region);
    let mut ranks: Vec<_> = vms.iter().filter_map(rank).collect();
    ranks.sort_unstable();
    let Some(worst_rank) = ranks.get(MIN_ADDRESSES - 1).or(ranks.last()).copied() else {
        // Any VM can forward a request to its home region, while an empty list would leave the caller without an
        // answer.
        return vms;
    };
    let is_allowed = |vm: &UsableVm| rank(vm).is_some_and(|rank| rank <= worst_rank);
    vms.into_iter().filter(is_allowed).collect()
}

/// Chooses a VM for a purpose by rendezvous hashing: adding or removing a VM changes the choice for few purposes only.
pub fn rendezvous(vms: &[VmAddress], purpose: impl fmt::Display) -> Option<VmAddress> {
    let score = |vm: &VmAddress| {
        let pair = format!("{vm} {purpose}");
        xxh3_64(pair.as_bytes())
    };
    vms.iter().copied().max_by_key(score)
}

/// Returns how many VMs rendezvous hashing prefers to the given one for a purpose; `None` if that is not among them.
pub fn rendezvous_rank(
    vms: &[VmAddress],
    purpose: impl fmt::Display,
    vm: VmAddress,
) -> Option<usize> {
    let score = |vm: &VmAddress| (xxh3_64(format!("{vm} {purpose}").as_bytes()), *vm);
    let own_score = vms.contains(&vm).then(|| score(&vm))?;
    let preferred = vms.iter().filter(|other| score(other) > own_score);
    Some(preferred.count())
}

/// Returns the serving ones of the given VMs.
fn serving_vms<'a>(vms: impl Iterator<Item = &'a UsableVm>) -> Vec<&'a UsableVm> {
    let mut vms: Vec<_> = vms.collect();
    let min_cores = min_serving_cores(vms.iter().map(|vm| VmCapacity {
        cores: vm.cores,
        load: vm.load,
    }));
    vms.retain(|vm| vm.cores >= min_cores);
    vms
}

/// Truncates a long list to a random part of it.
fn truncate_at_random(addresses: &mut Vec<SocketAddr>) {
    if addresses.len() <= MAX_ADDRESSES {
        return;
    }
    let start = rand::random_range(0..addresses.len());
    addresses.rotate_left(start);
    addresses.truncate(MAX_ADDRESSES);
}

/// Fraction of a host's shards that have an upstream in each zone.
pub type ZoneShares = FxHashMap<PlaceName, f64>;

/// Requirements of a host's routes on the VMs that its callers are told of.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostNeeds {
    /// Zones of the host's upstreams.
    pub zones: ZoneShares,
    /// Regions that the host's routes allow.
    pub regions: HostRegions,
}

/// Computes the fraction of the shards that have an upstream in each zone.
pub fn zone_shares<'a>(
    registry: &UpstreamRegistry,
    shards: impl IntoIterator<Item = &'a UpstreamService>,
) -> ZoneShares {
    let mut counts = ZoneShares::default();
    let mut total = 0.0;
    for shard in shards {
        total += 1.0;
        let upstreams = registry.upstreams(shard);
        let zones: FxHashSet<_> = upstreams
            .iter()
            .filter(|upstream| upstream.takes_requests())
            .map(|upstream| upstream.entry().zone.clone())
            .collect();
        for zone in zones {
            *counts.entry(zone).or_default() += 1.0;
        }
    }
    for count in counts.values_mut() {
        *count /= total;
    }
    counts
}

/// Returns groups of zones in order of preference: the caller's own zone, the zones of its region, all zones that hold
/// enough upstreams.
fn preferred_zones(caller_place: &NodePlace, shares: &ZoneShares) -> Vec<Vec<PlaceName>> {
    let has_local_shards =
        |zone: &PlaceName| shares.get(zone).copied().unwrap_or_default() >= LOCAL_SHARD_FRACTION;
    let is_in_caller_region =
        |zone: &&PlaceName| caller_place.zones.get(*zone) == Some(&caller_place.region);
    if !shares.keys().any(has_local_shards) {
        // No zone holds enough upstreams, so the caller's own zone and region are preferred.
        let region = caller_place
            .zones
            .keys()
            .filter(is_in_caller_region)
            .cloned()
            .collect();
        return vec![vec![caller_place.zone.clone()], region];
    }
    let mut groups = Vec::new();
    if has_local_shards(&caller_place.zone) {
        groups.push(vec![caller_place.zone.clone()]);
    }
    let region_zones = caller_place.zones.keys().filter(is_in_caller_region);
    groups.push(
        region_zones
            .filter(|zone| has_local_shards(zone))
            .cloned()
            .collect(),
    );
    groups.push(
        shares
            .keys()
            .filter(|zone| has_local_shards(zone))
            .cloned()
            .collect(),
    );
    groups
}

#[cfg(test)]
#[path = "vms_tests.rs"]
mod tests;
