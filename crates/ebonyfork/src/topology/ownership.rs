//! Ownership of the connections to an upstream, chosen by rendezvous hashing.
//!
//! Every VM computes a score for each pair of VM and upstream. The VM with the highest score owns the upstream, the one
//! with the second highest is its standby. When a VM joins or leaves, only the upstreams that it gains or owned move.
//! Two VMs with different views may both consider themselves owner; the connection shares allow for that.

use crate::ident::{UpstreamAddress, VmAddress};
use crate::topology::TopologyView;
use crate::topology::view::{OwnerCandidate, address_hash};

/// The owner of an upstream and its standby.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerPair {
    /// VM that holds the connections and the queue.
    pub primary: VmAddress,
    /// VM that takes over when the primary is unreachable; equal to `primary` if there is only one VM.
    pub standby: VmAddress,
}

/// Returns the owner and standby of an upstream, chosen from the VMs that are not leaving: those in its zone, or those
/// of all zones if its zone has none.
pub fn owner_pair(view: &TopologyView, upstream: UpstreamAddress) -> Option<OwnerPair> {
    let zone = &view.upstreams.get(&upstream)?.zone;
    choose_pair(view.owner_candidates_in(zone), upstream)
        .or_else(|| choose_pair(view.owner_candidates(), upstream))
}

/// The owner of an upstream may hold its connection limit divided by this number.
const PRIMARY_DIVISOR: u32 = 3;
/// Any other VM may hold the connection limit of an upstream divided by this number.
const OTHER_DIVISOR: u32 = 6;

/// Returns how many of an upstream's `limit` connections a VM may hold according to its own view.
///
/// The owner may hold a third of the limit, any other VM a sixth. The shares of any three VMs never exceed the limit,
/// even if each considers itself the owner. The standby of an upstream with a limit of at least 3 may always hold one
/// connection.
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
    let standby_minimum = u32::from(limit >= PRIMARY_DIVISOR);
    match pair {
        Some(pair) if pair.primary == vm => u32::max(limit / PRIMARY_DIVISOR, 1),
        Some(pair) if pair.standby == vm => u32::max(limit / OTHER_DIVISOR, standby_minimum),
        _ => limit / OTHER_DIVISOR,
    }
}

/// Returns how many of an upstream's `limit` connections each VM may hold when all VMs connect to it directly.
pub fn direct_share(view: &TopologyView, limit: u32) -> u32 {
    let vms = u32::max(view.vms.len() as u32, 1);
    u32::max(limit / vms, 1)
}

/// Returns the two VMs with the highest scores for an upstream.
fn choose_pair<'a>(
    vms: impl IntoIterator<Item = &'a OwnerCandidate>,
    upstream: UpstreamAddress,
) -> Option<OwnerPair> {
    let upstream_hash = address_hash(upstream.0.ip(), upstream.0.port());
    let mut best_score: Option<(u64, VmAddress)> = None;
    let mut runner_up_score: Option<(u64, VmAddress)> = None;
    for candidate in vms {
        let score = Some((mix_hash(candidate.hash ^ upstream_hash), candidate.vm));
        if score > best_score {
            runner_up_score = best_score;
            best_score = score;
        } else if score > runner_up_score {
            runner_up_score = score;
        }
    }
    let (_, primary) = best_score?;
    let standby = runner_up_score.map_or(primary, |(_, vm)| vm);
    Some(OwnerPair { primary, standby })
}

/// Finalizer of `SplitMix64`. Applied to the XOR of the VM hash and the upstream hash, it gives independent scores to
/// all pairs although the hash of a VM is computed only once for all upstreams.
fn mix_hash(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
#[path = "ownership_tests.rs"]
mod tests;
