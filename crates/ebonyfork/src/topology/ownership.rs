//! Which VM owns the connections of an upstream: rendezvous hashing.
//!
//! Every VM computes a score for each pair of VM and upstream; the highest score owns the upstream, the second highest
//! stands by. A VM that comes or goes moves only the upstreams that it wins or held. Two VMs with different views may
//! both believe that they own one: the connection shares leave room for that.

use crate::ident::{UpstreamAddress, VmAddress, ZoneName};
use crate::topology::TopologyView;

/// The owner of an upstream and its standby.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerPair {
    /// Holds the connections and the queue.
    pub primary: VmAddress,
    /// Takes over when the primary is unreachable; the primary itself if it is the only VM.
    pub standby: VmAddress,
}

/// Chooses the owner of an upstream over the VMs that stay, in its zone if that has any, else in all zones.
pub fn owner_pair(view: &TopologyView, upstream: UpstreamAddress) -> Option<OwnerPair> {
    let zone = &view.upstreams.get(&upstream)?.zone;
    pair_within(view, upstream, Some(zone)).or_else(|| pair_within(view, upstream, None))
}

fn pair_within(
    view: &TopologyView,
    upstream: UpstreamAddress,
    zone: Option<&ZoneName>,
) -> Option<OwnerPair> {
    let mut first: Option<(u64, VmAddress)> = None;
    let mut second: Option<(u64, VmAddress)> = None;
    for vm in view.vms.values() {
        if vm.leaving || zone.is_some_and(|zone| *zone != vm.zone) {
            continue;
        }
        let scored = Some((score(vm.vm, upstream), vm.vm));
        if scored > first {
            second = first;
            first = scored;
        } else if scored > second {
            second = scored;
        }
    }
    let (_, primary) = first?;
    let standby = second.map_or(primary, |(_, vm)| vm);
    Some(OwnerPair { primary, standby })
}

fn score(vm: VmAddress, upstream: UpstreamAddress) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    match vm.0 {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    match upstream.0.ip() {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&upstream.0.port().to_be_bytes());
    hasher.digest()
}
