//! Locates the holder of a sealed session by rendezvous hashing over the VMs.
//!
//! A process that stops hands its outcomes to the highest-ranked VM that isn't leaving; other VMs forward queries of
//! the session in the same order. Leaving VMs are included, because they hold adopted sessions until they hand them
//! over. Several VMs are tried, since a VM that joined after the handover may rank above the holder.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use crate::ident::{SessionId, VmAddress};
use crate::topology::TopologyView;

/// Largest number of VMs that are asked for a sealed session.
pub(super) const MAX_CANDIDATES: usize = 4;

/// Returns the VMs that may hold a sealed session, most likely first.
pub fn session_candidates(view: &TopologyView, session: SessionId) -> SmallVec<[VmAddress; 4]> {
    rank_vms(view.vms.keys().copied(), session)
}

/// Returns the VM that takes over a session when its process stops, or `None` if every other VM is leaving too.
///
/// # Examples
///
/// ```
/// use ebonyfork::once::session_successor;
/// use ebonyfork::topology::TopologyView;
///
/// let session = "127.0.0.1-1700000000000".parse()?;
/// assert_eq!(session_successor(&TopologyView::default(), session), None);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
pub fn session_successor(view: &TopologyView, session: SessionId) -> Option<VmAddress> {
    session_successors(view, session).first().copied()
}

/// Returns the VMs that may take over a session when its process stops, highest rank first.
pub(super) fn session_successors(
    view: &TopologyView,
    session: SessionId,
) -> SmallVec<[VmAddress; 4]> {
    let staying_entries = view.vms.values();
    let staying_entries = staying_entries.filter(|entry| !entry.leaving && entry.vm != session.vm);
    rank_vms(staying_entries.map(|entry| entry.vm), session)
}

fn rank_vms(vms: impl Iterator<Item = VmAddress>, session: SessionId) -> SmallVec<[VmAddress; 4]> {
    let mut ranked_vms: SmallVec<[(u64, VmAddress); 16]> = SmallVec::new();
    ranked_vms.extend(vms.map(|vm| (session_score(session, vm), vm)));
    ranked_vms.sort_unstable_by(|a, b| b.cmp(a));
    let best_vms = ranked_vms.iter().take(MAX_CANDIDATES);
    best_vms.map(|(_score, vm)| *vm).collect()
}

fn session_score(session: SessionId, vm: VmAddress) -> u64 {
    let mut hasher = Xxh3Default::new();
    for ip in [session.vm.0, vm.0] {
        match ip {
            std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
            std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
        }
    }
    hasher.update(&session.incarnation.0.to_be_bytes());
    hasher.digest()
}
