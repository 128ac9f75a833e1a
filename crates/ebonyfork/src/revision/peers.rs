//! The VMs that a feed talks to: who of a zone watches the store, whom to tell and whom to ask.
//!
//! Every VM ranks the staying VMs of its zone for each watched key by rendezvous hashing; the first
//! [`WATCHERS_PER_ZONE`] watch it. Two VMs with different views may for a while both think that they watch, or that
//! neither does; the first costs a few calls, the second is bridged by asking peers.
//!
//! A VM tells and asks only its *partners*, a few VMs that it ranks highest by rendezvous hashing with its own address.
//! They stay the same as long as they live, so that a VM of a large fleet has links to a few VMs and not to all.

use rand::RngExt;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use crate::ident::{VmAddress, ZoneName};
use crate::topology::TopologyView;

/// How many VMs of a zone watch a key of the store.
pub const WATCHERS_PER_ZONE: usize = 2;
/// How many peers of the own zone are told at once about something new.
pub const FAN_OUT: usize = 4;
/// How many partners a VM has in its own zone: among 490 VMs one in 3,000 is nobody's partner, and that one asks.
pub const NEAR_PARTNERS: usize = 8;
/// How many partners a VM has in other zones.
pub const FAR_PARTNERS: usize = 3;
/// One question in this many goes to a VM of another zone.
const FAR_SHARE: u32 = 4;

/// The VMs around one VM, as its topology view shows them.
#[derive(Debug, Clone)]
pub struct ZonePeers {
    own: VmAddress,
    zone: ZoneName,
    /// Partners of the own zone.
    near: Vec<VmAddress>,
    /// Partners of other zones.
    far: Vec<VmAddress>,
    /// VMs of the own zone that stay, with the own one unless it leaves.
    staying: Vec<VmAddress>,
}

impl ZonePeers {
    /// Starts with the own VM alone.
    pub fn new(own: VmAddress, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            near: Vec::new(),
            far: Vec::new(),
            staying: vec![own],
        }
    }

    /// Takes a new view of the topology.
    pub fn update(&mut self, view: &TopologyView) {
        self.near.clear();
        self.far.clear();
        self.staying.clear();
        let mut own_leaves = false;
        for entry in view.vms.values() {
            if entry.vm == self.own {
                own_leaves = entry.leaving;
                continue;
            }
            if entry.zone != self.zone {
                self.far.push(entry.vm);
                continue;
            }
            self.near.push(entry.vm);
            if !entry.leaving {
                self.staying.push(entry.vm);
            }
        }
        if !own_leaves {
            self.staying.push(self.own);
        }
        let key = self.own.to_string();
        keep_highest(&mut self.near, &key, NEAR_PARTNERS);
        keep_highest(&mut self.far, &key, FAR_PARTNERS);
    }

    /// Tells whether a VM is a partner.
    pub fn is_partner(&self, vm: VmAddress) -> bool {
        self.near.contains(&vm) || self.far.contains(&vm)
    }

    /// Tells whether the own VM watches this key of the store.
    pub fn is_watcher(&self, key: &str) -> bool {
        if !self.staying.contains(&self.own) {
            return false;
        }
        let own = score(self.own, key);
        let mut higher = 0;
        for vm in &self.staying {
            if (score(*vm, key), *vm) > (own, self.own) {
                higher += 1;
            }
        }
        higher < WATCHERS_PER_ZONE
    }

    /// Draws the peers of the own zone that are told about something new.
    pub fn draw_told(&self, rng: &mut impl rand::Rng) -> SmallVec<[VmAddress; FAN_OUT]> {
        let mut told = SmallVec::new();
        if self.near.len() <= FAN_OUT {
            told.extend_from_slice(&self.near);
            return told;
        }
        while told.len() < FAN_OUT {
            let vm = self.near[rng.random_range(0..self.near.len())];
            if !told.contains(&vm) {
                told.push(vm);
            }
        }
        told
    }

    /// Draws a peer to ask: mostly of the own zone.
    pub fn draw_asked(&self, rng: &mut impl rand::Rng) -> Option<VmAddress> {
        let far = self.near.is_empty() || rng.random_ratio(1, FAR_SHARE);
        let from = if far && !self.far.is_empty() {
            &self.far
        } else {
            &self.near
        };
        if from.is_empty() {
            return None;
        }
        Some(from[rng.random_range(0..from.len())])
    }
}

/// Keeps the VMs that score highest with a key.
fn keep_highest(vms: &mut Vec<VmAddress>, key: &str, count: usize) {
    if vms.len() <= count {
        return;
    }
    let rank = |vm: &VmAddress| std::cmp::Reverse((score(*vm, key), *vm));
    vms.select_nth_unstable_by_key(count, rank);
    vms.truncate(count);
    vms.sort_unstable();
}

fn score(vm: VmAddress, key: &str) -> u64 {
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
