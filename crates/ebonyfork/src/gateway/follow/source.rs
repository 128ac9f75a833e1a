//! Where a VM gets the store's changes from: from the store itself, or from another VM that asks it.
//!
//! Every call to the store has a price and the store's rates grow more slowly than the fleet. In each availability zone
//! one VM asks it; the others follow that one, in a tree in which no VM has more than [`FOLLOWERS`] below it. Who asks and
//! who follows whom is reckoned by each VM for itself from gossip, by hashing, so nothing is agreed on; two VMs that
//! disagree for a moment cost a few calls, or follow each other until the proof behind their copies is old. A VM that finds
//! no other to follow asks the store itself.

use std::fmt;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberSnapshot, MemberState};

/// VMs of a zone that ask the store. While the one is away the others ask for themselves, for some seconds, which costs
/// fewer calls than a second one that asks all the time.
pub const ASKING_VMS: usize = 1;
/// VMs that follow one VM: what a change puts on a link does not grow with the zone. A change of 1,400 routes is 29 kB for
/// each of them, 0.3 s of a link of 14 Mbit/s in all; the zones of today's sizes need no second level, and the 490 VMs of
/// a zone at 4,900 three.
pub const FOLLOWERS: usize = 16;
/// Time after a start before another VM is followed: by then gossip knows the others.
pub const SETTLING_TIME: Duration = Duration::from_millis(800);

/// Where the changes come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store.
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

/// The place of a VM in its zone's order.
fn order_key(vm: &VmAddress) -> (u64, VmAddress) {
    (xxh3_64(vm.to_string().as_bytes()), *vm)
}

/// The VMs of a zone that ask the store, those first that come first by hash.
pub fn asking_vms(members: &MemberSnapshot, zone: &ZoneName) -> Vec<VmAddress> {
    let mut asking = zone_order(members, zone);
    asking.truncate(ASKING_VMS);
    asking
}

/// The VMs of a zone, each after the one that it follows.
fn zone_order(members: &MemberSnapshot, zone: &ZoneName) -> Vec<VmAddress> {
    let mut alive: Vec<VmAddress> = members
        .members()
        .iter()
        .filter(|member| member.zone == *zone && member.state == MemberState::Alive)
        .map(|member| member.vm)
        .collect();
    alive.sort_unstable_by_key(order_key);
    alive
}

/// The VMs above a place in its zone's order: the one to follow, the one that this one follows, and so on.
fn vms_above(order: &[VmAddress], place: usize) -> impl Iterator<Item = VmAddress> {
    let parent = |place: &usize| place.checked_sub(1).map(|before| before / FOLLOWERS);
    std::iter::successors(parent(&place), parent).map(|place| order[place])
}

/// Chooses the source of a VM. `avoided` are VMs that have lately been no good source; `refused` tells that the store
/// does not answer this VM.
pub fn choose_source(
    members: &MemberSnapshot,
    own: VmAddress,
    zone: &ZoneName,
    avoided: &[VmAddress],
    refused: bool,
) -> ChangeSource {
    let order = zone_order(members, zone);
    let place = order.partition_point(|vm| order_key(vm) < order_key(&own));
    if place < ASKING_VMS && !refused {
        return ChangeSource::Store;
    }
    let usable = |vm: &VmAddress| *vm != own && !avoided.contains(vm);
    if let Some(vm) = vms_above(&order, place).find(usable) {
        return ChangeSource::Vm(vm);
    }
    if !refused {
        return ChangeSource::Store;
    }
    // The store turns this VM away and the zone has nobody who asks: a VM of another zone may have more luck.
    let mut zones: Vec<&ZoneName> = members
        .members()
        .iter()
        .map(|member| &member.zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    for other in zones {
        if let Some(vm) = asking_vms(members, other).into_iter().find(usable) {
            return ChangeSource::Vm(vm);
        }
    }
    ChangeSource::Store
}

#[cfg(test)]
#[path = "source_tests.rs"]
mod tests;
