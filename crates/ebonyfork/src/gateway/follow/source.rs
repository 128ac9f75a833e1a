//! Selects the source of a VM's store changes: the store itself, or another VM.
//!
//! Every call to the store has a cost, and the store's rate limits grow more slowly than the fleet. In each
//! availability zone one VM reads the store and the others follow it, in a tree in which no VM has more than
//! [`MAX_FOLLOWERS`] direct followers. Each VM computes the tree from gossip by hashing, without any agreement. Two VMs
//! that disagree for a moment cost a few calls, or follow each other until their copies are stale. A VM that finds no
//! other VM to follow reads the store itself.
//!
//! A VM that avoids another one, because that one's copy is stale, computes the tree without it. So the next VM of the
//! zone reads the store and the others follow that one. If all of them read the store instead, a pause of the store's
//! answers to a few readers would become a full read by the whole fleet at the same moment.

use std::fmt;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberSnapshot, MemberState};

/// Number of VMs of a zone that read the store. While that VM is down the others read the store themselves for some
/// seconds, which takes fewer calls than a second permanent reader.
pub const STORE_READERS_PER_ZONE: usize = 1;
/// Maximum number of VMs that follow one VM directly, so that the load of a change on a link does not grow with the
/// zone. A change of 1,400 routes is 29 kB for each follower, 0.3 s of a link of 14 Mbit/s in total. Zones of today's
/// sizes need no second level; the 490 VMs of a zone in a fleet of 4,900 need three levels.
pub const MAX_FOLLOWERS: usize = 16;
/// Time after the start of the process before another VM is followed: gossip knows the other VMs by then.
pub const GOSSIP_SETTLE_TIME: Duration = Duration::from_millis(800);

/// Where a VM gets the store's changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store itself.
    Store,
    /// Another VM.
    Vm(VmAddress),
}

impl fmt::Display for ChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Vm(vm) => write!(f, "{vm}"),
        }
    }
}

/// Returns the sort key of a VM within its zone.
fn order_key(vm: &VmAddress) -> (u64, VmAddress) {
    (xxh3_64(vm.to_string().as_bytes()), *vm)
}

/// Returns the VMs of a zone that read the store: the first ones in hash order.
pub fn store_readers(members: &MemberSnapshot, zone: &ZoneName) -> Vec<VmAddress> {
    let mut readers = zone_order(members, zone);
    readers.truncate(STORE_READERS_PER_ZONE);
    readers
}

/// Returns the VMs of all zones that read the store, without `own_vm`.
pub fn all_store_readers(members: &MemberSnapshot, own_vm: VmAddress) -> Vec<VmAddress> {
    let readers = member_zones(members)
        .into_iter()
        .flat_map(|zone| store_readers(members, zone));
    readers.filter(|vm| *vm != own_vm).collect()
}

fn member_zones(members: &MemberSnapshot) -> Vec<&ZoneName> {
    let mut zones: Vec<&ZoneName> = members
        .members()
        .iter()
        .map(|member| &member.zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Returns the live VMs of a zone in hash order. The tree is built from this order, so each VM comes after the one that
/// it follows.
fn zone_order(members: &MemberSnapshot, zone: &ZoneName) -> Vec<VmAddress> {
    let mut live_vms: Vec<VmAddress> = members
        .members()
        .iter()
        .filter(|member| member.zone == *zone && member.state == MemberState::Alive)
        .map(|member| member.vm)
        .collect();
    live_vms.sort_unstable_by_key(order_key);
    live_vms
}

/// Iterates over the ancestors of a VM, given by its index in the zone's order: the VM that it follows, the VM which
/// that one follows, and so on up to a VM that reads the store.
fn ancestors(order: &[VmAddress], index: usize) -> impl Iterator<Item = VmAddress> {
    let parent = |index: &usize| {
        index
            .checked_sub(1)
            .map(|previous| previous / MAX_FOLLOWERS)
    };
    std::iter::successors(parent(&index), parent).map(|index| order[index])
}

/// Selects the source of the VM `own_vm` in `zone`. `avoided_vms` recently failed as sources; `is_store_avoided` states
/// that the store is not to be read, because it does not respond to this VM.
pub fn choose_source(
    members: &MemberSnapshot,
    own_vm: VmAddress,
    zone: &ZoneName,
    avoided_vms: &[VmAddress],
    is_store_avoided: bool,
) -> ChangeSource {
    let is_usable = |vm: &VmAddress| *vm != own_vm && !avoided_vms.contains(vm);
    let mut order = zone_order(members, zone);
    order.retain(|vm| *vm == own_vm || is_usable(vm));
    let index = order.partition_point(|vm| order_key(vm) < order_key(&own_vm));
    if index < STORE_READERS_PER_ZONE && !is_store_avoided {
        return ChangeSource::Store;
    }
    if let Some(vm) = ancestors(&order, index).find(is_usable) {
        return ChangeSource::Vm(vm);
    }
    if !is_store_avoided {
        return ChangeSource::Store;
    }
    // The store does not respond to this VM, and no VM of its zone can be followed. A VM that reads the store for
    // another zone may be able to reach it.
    for other_zone in member_zones(members) {
        if let Some(vm) = store_readers(members, other_zone)
            .into_iter()
            .find(is_usable)
        {
            return ChangeSource::Vm(vm);
        }
    }
    ChangeSource::Store
}

#[cfg(test)]
#[path = "source_tests.rs"]
mod tests;
