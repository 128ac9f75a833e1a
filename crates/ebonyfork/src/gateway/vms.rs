//! Our own VMs: what each has registered, and which of them a caller is told to use.

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

/// Most addresses in one locate answer.
const ADDRESS_LIMIT: usize = 64;
/// Fewest VMs that a caller is told of, if there are as many: one that fails must leave another to go to.
const ADDRESS_LEAST: usize = 2;
/// Most VMs that a registration is believed to know: twice the largest fleet that is planned for.
const KNOWN_LIMIT: usize = 10_000;
/// Share of a host's shards that must have an upstream in a zone for that zone's VMs to serve the host's callers. A VM
/// without upstreams beside it fetches each part across zones; a caller that goes to a VM beside them fetches one merged
/// answer, a twentieth of the bytes at 20 shards.
const LOCAL_SHARE: f64 = 0.5;

/// What a VM registers about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Where it takes callers' requests.
    pub caller: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Processor that it has, in whole cores.
    pub cores: f32,
    /// VMs that it knew when it registered. A process that starts while others are cut off, and their entries have lapsed,
    /// learns from this that they may still run.
    pub vms: u32,
}

/// A VM that takes requests.
#[derive(Debug, Clone)]
struct UsableVm {
    caller: SocketAddr,
    zone: CompactString,
    region: PlaceName,
    cores: f32,
    /// How busy it is, in per mille of what it can take.
    load: u16,
}

impl UsableVm {
    fn address(&self) -> VmAddress {
        VmAddress(self.caller.ip())
    }
}

/// The VMs of one zone by the work that they take.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneRoles {
    /// VMs that callers are told of, and that gather shards for VMs of other zones.
    pub serving: Vec<VmAddress>,
    /// VMs that only stand by.
    pub idle: Vec<VmAddress>,
}

/// The VMs that have registered.
#[derive(Debug)]
pub struct VmDirectory {
    own: SocketAddr,
    records: RefCell<FxHashMap<CompactString, VmRecord>>,
    members: RefCell<Arc<MemberSnapshot>>,
    most: Cell<usize>,
    /// Registrations that the store no longer holds.
    missing: RefCell<FxHashSet<CompactString>>,
    own_load: Cell<u16>,
}

impl VmDirectory {
    /// Knows only this process's own address.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            records: RefCell::default(),
            members: RefCell::default(),
            most: Cell::new(1),
            missing: RefCell::default(),
            own_load: Cell::default(),
        }
    }

    /// Takes in a registration.
    pub fn put(&self, key: &CompactString, record: VmRecord) {
        self.missing.borrow_mut().remove(key);
        let known = (record.vms as usize).min(KNOWN_LIMIT);
        self.records.borrow_mut().insert(key.clone(), record);
        let most = self.most.get().max(self.count()).max(known);
        self.most.set(most);
    }

    /// Takes in that a registration has ended. A VM that gossip still hears stays: its lease may have lapsed while
    /// the store was away.
    pub fn remove(&self, key: &CompactString) {
        let record = self.records.borrow().get(key).cloned();
        let Some(record) = record else { return };
        self.missing.borrow_mut().insert(key.clone());
        if self.is_heard(&record) {
            return;
        }
        self.records.borrow_mut().remove(key);
    }

    /// Takes in what gossip believes. VMs that it holds for gone are forgotten, and so is a registration that the store no
    /// longer holds once gossip does not hear the VM any more. One that gossip hears runs, also if the store has come back
    /// from a copy that is older than its registration.
    pub fn take_members(&self, members: Arc<MemberSnapshot>) {
        let others = members
            .members()
            .iter()
            .filter(|member| member.vm.0 != self.own.ip() && member.state != MemberState::Failed);
        let heard = others.count() + 1;
        self.most.set(self.most.get().max(heard));
        *self.members.borrow_mut() = members;
        let members = self.members.borrow();
        let failed = |record: &VmRecord| {
            let member = members.get(VmAddress(record.caller.ip()));
            member.is_some_and(|member| member.state == MemberState::Failed)
        };
        let missing = self.missing.borrow();
        let lapsed = |key: &CompactString, record: &VmRecord| {
            missing.contains(key) && !self.is_heard(record)
        };
        self.records
            .borrow_mut()
            .retain(|key, record| !failed(record) && !lapsed(key, record));
    }

    /// Whether the store has told that a registration is no longer there.
    pub fn is_missing(&self, key: &CompactString) -> bool {
        self.missing.borrow().contains(key)
    }

    fn is_heard(&self, record: &VmRecord) -> bool {
        let members = self.members.borrow();
        let member = members.get(VmAddress(record.caller.ip()));
        member
            .is_some_and(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// The number of VMs, this one included.
    pub fn count(&self) -> usize {
        let records = self.records.borrow();
        let own = records.values().any(|record| record.caller == self.own);
        (records.len() + usize::from(!own)).max(1)
    }

    /// Most VMs that were ever known to run at a time. One that nobody has told of yet has no callers yet, and nothing
    /// saved that could be spent beside what the others have.
    pub fn most_count(&self) -> usize {
        self.most.get().max(self.count())
    }

    /// Addresses of all other VMs, for gossip to begin with.
    pub fn seeds(&self) -> Vec<VmAddress> {
        let records = self.records.borrow();
        let others = records.values().filter(|record| record.caller != self.own);
        others.map(|record| VmAddress(record.caller.ip())).collect()
    }

    /// The other VMs of a zone that are believed to work.
    pub fn working_in(&self, zone: &PlaceName) -> Vec<VmAddress> {
        let mut usable = self.usable(None);
        usable.retain(|vm| vm.zone == zone.as_str());
        let serving = serving_vms(usable.iter());
        serving.iter().map(|vm| vm.address()).collect()
    }

    /// The VMs that take requests beside the upstreams of a zone, this process among them; of all zones if it has none.
    pub fn serving_for(&self, zone: &PlaceName, own: &NodePlace) -> Vec<VmAddress> {
        let usable = self.usable(Some(own));
        let beside = serving_vms(usable.iter().filter(|vm| vm.zone == zone.as_str()));
        let serving = if beside.is_empty() {
            serving_vms(usable.iter())
        } else {
            beside
        };
        serving.iter().map(|vm| vm.address()).collect()
    }

    /// The VMs of a zone by the work that they take, this process among them.
    pub fn zone_roles(&self, own: &NodePlace) -> ZoneRoles {
        let mut usable = self.usable(Some(own));
        usable.retain(|vm| vm.zone == own.zone.as_str());
        let serving: FxHashSet<_> = serving_vms(usable.iter())
            .iter()
            .map(|vm| vm.address())
            .collect();
        let all = usable.iter().map(UsableVm::address);
        let (serving, idle) = all.partition(|vm| serving.contains(vm));
        ZoneRoles { serving, idle }
    }

    /// The VMs that callers can be told to use, with their zone and region.
    fn usable(&self, own: Option<&NodePlace>) -> Vec<UsableVm> {
        let members = self.members.borrow();
        let records = self.records.borrow();
        let mut usable = Vec::with_capacity(records.len() + 1);
        for record in records.values() {
            let member = members.get(VmAddress(record.caller.ip()));
            let works = member.is_none_or(|member| member.state == MemberState::Alive);
            if record.caller == self.own || !works {
                continue;
            }
            usable.push(UsableVm {
                caller: record.caller,
                zone: record.zone.clone(),
                region: PlaceName::new(&record.region),
                cores: record.cores,
                load: member.map_or(0, |member| member.digest.load),
            });
        }
        if let Some(own) = own {
            usable.push(UsableVm {
                caller: self.own,
                zone: own.zone.as_str().into(),
                region: own.region.clone(),
                cores: own.cores as f32,
                load: self.own_load.get(),
            });
        }
        usable
    }

    /// States how busy this process is, in per mille of what it can take.
    pub fn set_own_load(&self, load: u16) {
        self.own_load.set(load);
    }

    /// The addresses that a caller is told: VMs beside the upstreams that its host needs, the caller's own zone first, and
    /// of those the ones that the homes of the host's routes allow. `own` is this process's place unless it is about to
    /// stop.
    pub fn locate(
        &self,
        asker: &NodePlace,
        needs: &HostNeeds,
        own: Option<&NodePlace>,
    ) -> Vec<SocketAddr> {
        let usable = allowed_vms(self.usable(own), asker, &needs.regions);
        let mut addresses = Vec::new();
        for group in preferred_zones(asker, &needs.zones) {
            let fits = |vm: &&UsableVm| group.iter().any(|zone| zone.as_str() == vm.zone);
            for vm in serving_vms(usable.iter().filter(fits)) {
                if !addresses.contains(&vm.caller) {
                    addresses.push(vm.caller);
                }
            }
            if addresses.len() >= ADDRESS_LEAST {
                break;
            }
        }
        if addresses.len() < ADDRESS_LEAST {
            addresses = usable.iter().map(|vm| vm.caller).collect();
        }
        addresses.sort_unstable();
        spread(&mut addresses);
        addresses
    }
}

/// Those VMs that suit a caller best by the homes of a host's routes: two regions' worth of them only where the better one
/// has too few.
fn allowed_vms(vms: Vec<UsableVm>, asker: &NodePlace, regions: &HostRegions) -> Vec<UsableVm> {
    if !regions.is_limited() {
        return vms;
    }
    let rank = |vm: &UsableVm| regions.rank(&vm.region, &asker.region);
    let mut ranks: Vec<_> = vms.iter().filter_map(rank).collect();
    ranks.sort_unstable();
    let Some(last) = ranks.get(ADDRESS_LEAST - 1).or(ranks.last()).copied() else {
        // Any VM can send a request home; without one there is no answer at all.
        return vms;
    };
    let fits = |vm: &UsableVm| rank(vm).is_some_and(|rank| rank <= last);
    vms.into_iter().filter(fits).collect()
}

/// Chooses one of some VMs for a purpose, by rendezvous hashing: a VM more or less changes the choice for few purposes.
pub fn rendezvous(vms: &[VmAddress], purpose: impl fmt::Display) -> Option<VmAddress> {
    let score = |vm: &VmAddress| {
        let pair = format!("{vm} {purpose}");
        xxh3_64(pair.as_bytes())
    };
    vms.iter().copied().max_by_key(score)
}

/// Those of some VMs that take requests.
fn serving_vms<'a>(vms: impl Iterator<Item = &'a UsableVm>) -> Vec<&'a UsableVm> {
    let mut vms: Vec<_> = vms.collect();
    let least = min_serving_cores(vms.iter().map(|vm| VmCapacity {
        cores: vm.cores,
        load: vm.load,
    }));
    vms.retain(|vm| vm.cores >= least);
    vms
}

/// Cuts a long list down to a part that differs from answer to answer.
fn spread(addresses: &mut Vec<SocketAddr>) {
    if addresses.len() <= ADDRESS_LIMIT {
        return;
    }
    let start = rand::random_range(0..addresses.len());
    addresses.rotate_left(start);
    addresses.truncate(ADDRESS_LIMIT);
}

/// Share of a host's shards that have an upstream in each zone.
pub type ZoneShares = FxHashMap<PlaceName, f64>;

/// What a host's routes need of the VMs that its callers are told of.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostNeeds {
    /// Where its upstreams are.
    pub zones: ZoneShares,
    /// Which regions its routes allow.
    pub regions: HostRegions,
}

/// Computes the share of the shards that have an upstream in each zone.
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

/// Groups of zones in the order in which their VMs are taken: the caller's own, its region's, all that hold upstreams.
fn preferred_zones(asker: &NodePlace, homes: &ZoneShares) -> Vec<Vec<PlaceName>> {
    let local = |zone: &PlaceName| homes.get(zone).copied().unwrap_or_default() >= LOCAL_SHARE;
    let same_region = |zone: &&PlaceName| asker.zones.get(*zone) == Some(&asker.region);
    if !homes.keys().any(local) {
        // No zone stands out: the caller's own place is as good as any.
        let region = asker.zones.keys().filter(same_region).cloned().collect();
        return vec![vec![asker.zone.clone()], region];
    }
    let mut groups = Vec::new();
    if local(&asker.zone) {
        groups.push(vec![asker.zone.clone()]);
    }
    let near = asker.zones.keys().filter(same_region);
    groups.push(near.filter(|zone| local(zone)).cloned().collect());
    groups.push(homes.keys().filter(|zone| local(zone)).cloned().collect());
    groups
}

#[cfg(test)]
#[path = "vms_tests.rs"]
mod tests;
