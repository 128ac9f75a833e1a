//! Which VM owns the connections of an upstream: rendezvous hashing.
//!
//! Every VM computes a score for each pair of VM and upstream; the highest score owns the upstream, the second highest
//! stands by. A VM that comes or goes moves only the upstreams that it wins or held. Two VMs with different views may
//! both believe that they own one: the connection shares leave room for that.

use crate::ident::{UpstreamAddress, VmAddress};
use crate::topology::TopologyView;
use crate::topology::view::{StayingVm, address_hash};

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
    pair_among(view.staying_in(zone), upstream).or_else(|| pair_among(view.staying(), upstream))
}

/// Connections that the owner of an upstream may hold, as a part of what the upstream accepts.
const PRIMARY_PART: u32 = 3;
/// Connections that any other VM may hold, as a part of what the upstream accepts.
const OTHER_PART: u32 = 6;

/// How many of an upstream's `limit` connections a VM may hold by its own view.
///
/// The owner may hold a third, any other VM a sixth. Whatever three VMs believe, they fit together: at worst each of
/// them takes itself for the owner. The standby of an upstream with few connections may hold one.
///
/// # Examples
///
/// ```
/// use ebonyfork::topology::{TopologyView, connection_share};
///
/// let unknown = "10.0.0.9:80".parse()?;
/// let vm = "10.0.0.1".parse()?;
/// assert_eq!(connection_share(&TopologyView::default(), vm, unknown, 25), 4);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
pub fn connection_share(
    view: &TopologyView,
    vm: VmAddress,
    upstream: UpstreamAddress,
    limit: u32,
) -> u32 {
    let pair = owner_pair(view, upstream);
    let least = u32::from(limit >= PRIMARY_PART);
    match pair {
        Some(pair) if pair.primary == vm => u32::max(limit / PRIMARY_PART, 1),
        Some(pair) if pair.standby == vm => u32::max(limit / OTHER_PART, least),
        _ => limit / OTHER_PART,
    }
}

/// How many of an upstream's `limit` connections each VM may hold when every VM connects for itself.
pub fn direct_share(view: &TopologyView, limit: u32) -> u32 {
    let vms = u32::max(view.vms.len() as u32, 1);
    u32::max(limit / vms, 1)
}

fn pair_among<'a>(
    vms: impl IntoIterator<Item = &'a StayingVm>,
    upstream: UpstreamAddress,
) -> Option<OwnerPair> {
    let hash = address_hash(upstream.0.ip(), upstream.0.port());
    let mut first: Option<(u64, VmAddress)> = None;
    let mut second: Option<(u64, VmAddress)> = None;
    for staying in vms {
        let scored = Some((mix(staying.hash ^ hash), staying.vm));
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

/// Spreads the combined hash of a pair over all bits (the finalizer of `SplitMix64`), so that each pair has a score of its
/// own although the hash of a VM is made once for all upstreams.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
#[path = "ownership_tests.rs"]
mod tests;
