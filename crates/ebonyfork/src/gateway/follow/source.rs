//! Where a VM gets the store's changes from: from the store itself, or from another VM that asks it.
//!
//! Every call to the store has a price and the store's rates grow more slowly than the fleet. In each availability zone
//! one VM asks it; the others hear of changes from one another, in a tree in which each tells [`FOLLOWERS`] others. Its
//! order is that of the VMs' hashes, which each VM reckons for itself from gossip, so nothing is agreed on. A VM follows
//! only VMs that come before it in that order, so that two that see different members never follow each other. A VM that
//! finds no other to follow asks the store itself.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberSnapshot, MemberState};

/// VMs that one VM tells of changes. A zone of 490 VMs has three levels then, and nobody sends a change more often than 16
/// times; with one level a change was in force after 13, 199 and 1,390 ms at 30, 100 and 300 VMs.
pub const FOLLOWERS: usize = 16;
/// Levels of the tree from which on a source is no good. 16 followers each fill three with a zone of 4,369 VMs; more
/// shows that VMs follow one another in a circle, each taking the other for one that hears from the store.
pub const LEVELS: u8 = 8;
/// Time after a start before another VM is followed: by then gossip knows the others. At 89 VMs that start together each
/// second more costs some 350 calls.
pub const SETTLING_TIME: Duration = Duration::from_millis(800);

/// Where the changes come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store.
    Store,
    /// Another VM.
    Vm(VmAddress),
}

/// The VMs of a zone in the order of their hashes; the first one asks the store.
fn ranked_vms(members: &MemberSnapshot, zone: &ZoneName) -> Vec<VmAddress> {
    let mut alive: Vec<VmAddress> = members
        .members()
        .iter()
        .filter(|member| member.zone == *zone && member.state == MemberState::Alive)
        .map(|member| member.vm)
        .collect();
    alive.sort_unstable_by_key(|vm| (xxh3_64(vm.to_string().as_bytes()), *vm));
    alive
}

/// The VM of a zone that asks the store.
fn asking_vm(members: &MemberSnapshot, zone: &ZoneName) -> Option<VmAddress> {
    ranked_vms(members, zone).first().copied()
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
    let ranked = ranked_vms(members, zone);
    let usable = |vm: &VmAddress| *vm != own && !avoided.contains(vm);
    // A VM that gossip does not name yet comes last.
    let place = ranked.iter().position(|vm| *vm == own);
    let mut place = place.unwrap_or(ranked.len());
    while place > 0 {
        place = (place - 1) / FOLLOWERS;
        if let Some(vm) = ranked.get(place).filter(|vm| usable(vm)) {
            return ChangeSource::Vm(*vm);
        }
    }
    if !refused {
        return ChangeSource::Store;
    }
    // The store turns this VM away and no VM before it can help: one of another zone may have more luck.
    let mut zones: Vec<&ZoneName> = members
        .members()
        .iter()
        .map(|member| &member.zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    for other in zones {
        if let Some(vm) = asking_vm(members, other).filter(|vm| usable(vm)) {
            return ChangeSource::Vm(vm);
        }
    }
    ChangeSource::Store
}

#[cfg(test)]
#[path = "source_tests.rs"]
mod tests;
