//! Selection of the addresses in a locate answer.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::caller::LocateAnswer;
use crate::ident::{IncarnationNumber, OrganisationName, SessionId, VmAddress, ZoneName};
use crate::membership::MemberSnapshot;
use crate::topology::TopologyView;

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 4;
/// Initial number of VMs in the subset that serves one organisation; doubled while they are busy. The organisation has
/// one subset of the VMs in the caller's zone and one of the VMs in all other zones.
pub const INITIAL_SUBSET_SIZE: usize = 8;
/// Maximum number of VMs in the subset that serves one organisation.
const MAX_SUBSET_SIZE: usize = 128;
/// Mean load of a subset, in per mille, at which it is doubled.
const BUSY_LOAD_PER_MILLE: u32 = 600;

/// Settings that are the same for all answers of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateSettings {
    /// Session of the answering process.
    pub session: SessionId,
    /// Zone of the answering process. Callers ask a VM near them, so it is taken as the caller's zone.
    pub zone: ZoneName,
    /// Caller port, the same on every VM.
    pub caller_port: u16,
    /// How long a caller may cache an answer.
    pub ttl: Duration,
}

/// A VM that callers may be sent to.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    vm: VmAddress,
    incarnation: IncarnationNumber,
    /// Load that the VM reports, in per mille; 0 if it is unknown.
    load_per_mille: u16,
    /// Rendezvous hash of the organisation and the VM; 0 without an organisation.
    subset_score: u64,
}

/// Selects the addresses that a caller of `organisation` should use.
///
/// The first address is that of the less loaded of two VMs drawn at random from the organisation's subset in this zone,
/// or in the other zones if no VM in this zone qualifies. The other addresses are alternatives, the last of them in
/// another zone if a VM there qualifies. If no VM qualifies, the answer holds the address of this VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::ident::SessionId;
/// use ebonyfork::locate::{LocateSettings, locate_addresses};
/// use ebonyfork::membership::MemberSnapshot;
/// use ebonyfork::topology::{TopologyView, VmEntry};
/// use rand::SeedableRng;
///
/// let session: SessionId = "127.0.0.1-7".parse()?;
/// let zone: ebonyfork::ident::ZoneName = "zone-a".parse()?;
/// let entry = VmEntry {
///     vm: session.vm,
///     zone: zone.clone(),
///     incarnation: Some(session.incarnation),
///     leaving: false,
/// };
/// let view = TopologyView::new([entry], []);
/// let settings = LocateSettings { session, zone, caller_port: 7100, ttl: Duration::from_secs(5) };
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let answer = locate_addresses(&view, &MemberSnapshot::default(), &settings, None, &mut rng);
/// assert_eq!(answer.addresses[0].to_string(), "127.0.0.1:7100");
/// assert_eq!(answer.session, session);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
pub fn locate_addresses(
    view: &TopologyView,
    members: &MemberSnapshot,
    settings: &LocateSettings,
    organisation: Option<&OrganisationName>,
    rng: &mut impl Rng,
) -> LocateAnswer {
    let local_candidates =
        zone_candidates(view, members, organisation, |zone| *zone == settings.zone);
    let remote_candidates =
        zone_candidates(view, members, organisation, |zone| *zone != settings.zone);
    let mut selected_candidates = draw_candidates(local_candidates, rng);
    let remote_candidates = draw_candidates(remote_candidates, rng);
    selected_candidates.truncate(if remote_candidates.is_empty() {
        MAX_ADDRESSES
    } else {
        MAX_ADDRESSES - 1
    });
    selected_candidates.extend(
        remote_candidates
            .into_iter()
            .take(MAX_ADDRESSES.saturating_sub(selected_candidates.len())),
    );
    let session = selected_candidates
        .first()
        .map_or(settings.session, |first_candidate| {
            SessionId::new(first_candidate.vm, first_candidate.incarnation)
        });
    let mut addresses: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    for candidate in &selected_candidates {
        addresses.push(SocketAddr::new(candidate.vm.0, settings.caller_port));
    }
    if addresses.is_empty() {
        addresses.push(SocketAddr::new(settings.session.vm.0, settings.caller_port));
    }
    LocateAnswer {
        addresses,
        ttl: settings.ttl,
        session,
    }
}

/// Returns the VMs in the zones accepted by `in_zone`, without those that are leaving or whose incarnation is unknown.
/// If `organisation` is given, only the VMs of the organisation's subset are returned.
fn zone_candidates(
    view: &TopologyView,
    members: &MemberSnapshot,
    organisation: Option<&OrganisationName>,
    in_zone: impl Fn(&ZoneName) -> bool,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for entry in view.vms.values() {
        let Some(incarnation) = entry.incarnation else {
            continue;
        };
        if entry.leaving || !in_zone(&entry.zone) {
            continue;
        }
        let load_per_mille = members.get(entry.vm).map_or(0, |member| member.digest.load);
        candidates.push(Candidate {
            vm: entry.vm,
            incarnation,
            load_per_mille,
            subset_score: organisation
                .map_or(0, |organisation| subset_score(organisation, entry.vm)),
        });
    }
    if organisation.is_some() {
        truncate_to_subset(&mut candidates);
    }
    candidates
}

/// Truncates the candidates to the organisation's subset, the VMs with the highest scores. The subset starts with
/// [`INITIAL_SUBSET_SIZE`] VMs and doubles while their mean load is at least [`BUSY_LOAD_PER_MILLE`]. Each larger
/// subset contains the smaller ones, so a growing organisation keeps its VMs and only gains others.
fn truncate_to_subset(candidates: &mut Vec<Candidate>) {
    let by_score = |candidate: &Candidate| std::cmp::Reverse(candidate.subset_score);
    if candidates.len() > MAX_SUBSET_SIZE {
        candidates.select_nth_unstable_by_key(MAX_SUBSET_SIZE, by_score);
        candidates.truncate(MAX_SUBSET_SIZE);
    }
    candidates.sort_unstable_by_key(by_score);
    let mut subset_size = INITIAL_SUBSET_SIZE;
    while subset_size < candidates.len() {
        let load_sum: u32 = candidates[..subset_size]
            .iter()
            .map(|candidate| u32::from(candidate.load_per_mille))
            .sum();
        if load_sum < BUSY_LOAD_PER_MILLE * subset_size as u32 {
            break;
        }
        subset_size *= 2;
    }
    candidates.truncate(subset_size);
}

/// Returns up to [`MAX_ADDRESSES`] candidates drawn at random, the less loaded of the first two first.
fn draw_candidates(mut candidates: Vec<Candidate>, rng: &mut impl Rng) -> Vec<Candidate> {
    let draw_count = candidates.len().min(MAX_ADDRESSES);
    for index in 0..draw_count {
        let swap_index = rng.random_range(index..candidates.len());
        candidates.swap(index, swap_index);
    }
    if draw_count > 1 && candidates[1].load_per_mille < candidates[0].load_per_mille {
        candidates.swap(0, 1);
    }
    candidates.truncate(draw_count);
    candidates
}

/// Returns the rendezvous hash of an organisation and a VM.
fn subset_score(organisation: &OrganisationName, vm: VmAddress) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(organisation.as_str().as_bytes());
    match vm.0 {
        std::net::IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
        std::net::IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
    }
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
