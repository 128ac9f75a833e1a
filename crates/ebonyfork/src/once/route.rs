//! Where a sealed session is to be found: rendezvous hashing over the VMs. Pure.
//!
//! A process that stops hands its outcomes to the highest-ranked VM that stays; others ask the VMs in the same order.
//! VMs that leave are asked too, because they hold what they were given until they hand it on. Several are asked, so
//! that a VM that came back in the meantime, and ranks above the holder, does not hide it.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use crate::ident::{SessionId, VmAddress};
use crate::topology::TopologyView;

/// VMs asked for a sealed session at most.
pub(super) const ASK_LIMIT: usize = 4;

/// VMs that may hold a sealed session, most likely first.
pub fn session_candidates(view: &TopologyView, session: SessionId) -> SmallVec<[VmAddress; 4]> {
    rank(view.vms.keys().copied(), session)
}

/// The VM that takes over a session when its process stops; none if no other VM stays.
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

/// The VMs that may take over a session when its process stops, best first.
pub(super) fn session_successors(
    view: &TopologyView,
    session: SessionId,
) -> SmallVec<[VmAddress; 4]> {
    let staying = view.vms.values();
    let staying = staying.filter(|entry| !entry.leaving && entry.vm != session.vm);
    rank(staying.map(|entry| entry.vm), session)
}

fn rank(vms: impl Iterator<Item = VmAddress>, session: SessionId) -> SmallVec<[VmAddress; 4]> {
    let mut ranked: SmallVec<[(u64, VmAddress); 16]> = SmallVec::new();
    ranked.extend(vms.map(|vm| (session_score(session, vm), vm)));
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let best = ranked.iter().take(ASK_LIMIT);
    best.map(|(_score, vm)| *vm).collect()
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
