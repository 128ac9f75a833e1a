//! Selects the VMs of a feed: which VMs of a zone watch the store, and which peers a VM sends announcements and
//! questions to.
//!
//! Every VM ranks the VMs of its zone that aren't leaving, for each watched key, by rendezvous hashing; the first
//! [`WATCHERS_PER_ZONE`] watch the key. While the views of two VMs differ, a key may have a watcher too many, which
//! costs a few extra calls, or none at all; VMs then still learn of changes by asking peers.
//!
//! A VM sends its announcements and the questions that it asks at random only to its *partners*, the few VMs that rank
//! highest by rendezvous hashing with the VM's own address. Partners change only as VMs join or leave, so a VM of a
//! large fleet needs links to a few VMs only.

use rand::RngExt;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use crate::ident::{VmAddress, ZoneName};
use crate::topology::TopologyView;

/// Number of VMs per zone that watch a key of the store.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Maximum number of peers that a VM sends one announcement to, all of them in its own zone.
pub const ANNOUNCE_FAN_OUT: usize = 4;
/// Number of partners that a VM has in its own zone. Among 490 VMs, one in 3,000 is nobody's partner; it learns of
/// changes by asking.
pub const NEAR_PARTNER_COUNT: usize = 8;
/// Number of partners that a VM has in other zones.
pub const FAR_PARTNER_COUNT: usize = 3;
/// One question in this many goes to a VM of another zone.
const FAR_ASK_RATIO: u32 = 4;

/// The peers that one VM exchanges messages with, according to its topology view.
#[derive(Debug, Clone)]
pub struct ZonePeers {
    own_vm: VmAddress,
    zone: ZoneName,
    /// Partners in this VM's zone.
    near_partners: Vec<VmAddress>,
    /// Partners in other zones.
    far_partners: Vec<VmAddress>,
    /// VMs of this VM's zone that aren't leaving, including this one unless it is leaving.
    active_vms: Vec<VmAddress>,
}

impl ZonePeers {
    /// Creates a set that knows only this VM.
    pub fn new(own_vm: VmAddress, zone: ZoneName) -> Self {
        Self {
            own_vm,
            zone,
            near_partners: Vec::new(),
            far_partners: Vec::new(),
            active_vms: vec![own_vm],
        }
    }

    /// Applies a new topology view.
    pub fn update(&mut self, view: &TopologyView) {
        self.near_partners.clear();
        self.far_partners.clear();
        self.active_vms.clear();
        let mut own_vm_is_leaving = false;
        for entry in view.vms.values() {
            if entry.vm == self.own_vm {
                own_vm_is_leaving = entry.leaving;
                continue;
            }
            if entry.zone != self.zone {
                self.far_partners.push(entry.vm);
                continue;
            }
            self.near_partners.push(entry.vm);
            if !entry.leaving {
                self.active_vms.push(entry.vm);
            }
        }
        if !own_vm_is_leaving {
            self.active_vms.push(self.own_vm);
        }
        let key = self.own_vm.to_string();
        keep_highest_ranked(&mut self.near_partners, &key, NEAR_PARTNER_COUNT);
        keep_highest_ranked(&mut self.far_partners, &key, FAR_PARTNER_COUNT);
    }

    /// Returns whether a VM is a partner of this VM.
    pub fn is_partner(&self, vm: VmAddress) -> bool {
        self.near_partners.contains(&vm) || self.far_partners.contains(&vm)
    }

    /// Returns whether this VM watches a key of the store.
    pub fn is_watcher(&self, key: &str) -> bool {
        if !self.active_vms.contains(&self.own_vm) {
            return false;
        }
        let own_score = rendezvous_score(self.own_vm, key);
        let mut higher_ranked = 0;
        for vm in &self.active_vms {
            if (rendezvous_score(*vm, key), *vm) > (own_score, self.own_vm) {
                higher_ranked += 1;
            }
        }
        higher_ranked < WATCHERS_PER_ZONE
    }

    /// Draws the random partners in this VM's zone that receive an announcement.
    pub fn draw_announce_targets(
        &self,
        rng: &mut impl rand::Rng,
    ) -> SmallVec<[VmAddress; ANNOUNCE_FAN_OUT]> {
        let mut targets = SmallVec::new();
        if self.near_partners.len() <= ANNOUNCE_FAN_OUT {
            targets.extend_from_slice(&self.near_partners);
            return targets;
        }
        while targets.len() < ANNOUNCE_FAN_OUT {
            let vm = self.near_partners[rng.random_range(0..self.near_partners.len())];
            if !targets.contains(&vm) {
                targets.push(vm);
            }
        }
        targets
    }

    /// Draws a random partner to ask, mostly from this VM's zone.
    pub fn draw_ask_target(&self, rng: &mut impl rand::Rng) -> Option<VmAddress> {
        let prefers_other_zone =
            self.near_partners.is_empty() || rng.random_ratio(1, FAR_ASK_RATIO);
        let candidates = if prefers_other_zone && !self.far_partners.is_empty() {
            &self.far_partners
        } else {
            &self.near_partners
        };
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())])
    }
}

/// Keeps the `count` VMs with the highest hash for a key.
fn keep_highest_ranked(vms: &mut Vec<VmAddress>, key: &str, count: usize) {
    if vms.len() <= count {
        return;
    }
    let rank = |vm: &VmAddress| std::cmp::Reverse((rendezvous_score(*vm, key), *vm));
    vms.select_nth_unstable_by_key(count, rank);
    vms.truncate(count);
    vms.sort_unstable();
}

/// Returns the rendezvous hash of a VM for a key; the VMs with the highest hashes are selected.
fn rendezvous_score(vm: VmAddress, key: &str) -> u64 {
    let mut hasher = Xxh3Default::new();
    match vm.0 {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(key.as_bytes());
    hasher.digest()
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
