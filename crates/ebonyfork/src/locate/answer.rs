//! The choice of addresses.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::caller::LocateAnswer;
use crate::ident::{IncarnationNumber, OrganisationName, SessionId, VmAddress, ZoneName};
use crate::membership::MemberSnapshot;
use crate::topology::TopologyView;

/// Most addresses in one answer.
pub const ADDRESS_LIMIT: usize = 4;
/// VMs of one zone that serve one organisation, as long as they are not busy.
pub const ORGANISATION_SUBSET: usize = 8;
/// Most VMs of one zone that serve one organisation.
const SUBSET_LIMIT: usize = 128;
/// Mean load of a subset, in per mille, from which on it is doubled.
const BUSY_LOAD: u32 = 600;

/// What stays the same from answer to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateSettings {
    /// The answering process.
    pub own: SessionId,
    /// The zone it is in; callers ask a VM near to them.
    pub zone: ZoneName,
    /// The caller port of every VM.
    pub caller_port: u16,
    /// How long an answer may be kept.
    pub ttl: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    vm: VmAddress,
    incarnation: IncarnationNumber,
    load: u16,
    score: u64,
}

/// Chooses the addresses that a caller of `organisation` should use.
///
/// The first is the less loaded of two drawn from the organisation's subset of the own zone; the rest are alternatives,
/// the last of them in another zone if there is one. If nobody qualifies the own address is given.
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
/// let own: SessionId = "127.0.0.1-7".parse()?;
/// let zone: ebonyfork::ident::ZoneName = "zone-a".parse()?;
/// let entry = VmEntry {
///     vm: own.vm,
///     zone: zone.clone(),
///     incarnation: Some(own.incarnation),
///     leaving: false,
/// };
/// let view = TopologyView::new([entry], []);
/// let settings = LocateSettings { own, zone, caller_port: 7100, ttl: Duration::from_secs(5) };
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let answer = locate_addresses(&view, &MemberSnapshot::default(), &settings, None, &mut rng);
/// assert_eq!(answer.addresses[0].to_string(), "127.0.0.1:7100");
/// assert_eq!(answer.session, own);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
pub fn locate_addresses(
    view: &TopologyView,
    members: &MemberSnapshot,
    settings: &LocateSettings,
    organisation: Option<&OrganisationName>,
    rng: &mut impl Rng,
) -> LocateAnswer {
    let near = zone_candidates(view, members, organisation, |zone| *zone == settings.zone);
    let far = zone_candidates(view, members, organisation, |zone| *zone != settings.zone);
    let mut order = spread(near, rng);
    let far = spread(far, rng);
    order.truncate(if far.is_empty() {
        ADDRESS_LIMIT
    } else {
        ADDRESS_LIMIT - 1
    });
    order.extend(
        far.into_iter()
            .take(ADDRESS_LIMIT.saturating_sub(order.len())),
    );
    let session = order.first().map_or(settings.own, |first| {
        SessionId::new(first.vm, first.incarnation)
    });
    let mut addresses: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    for candidate in &order {
        addresses.push(SocketAddr::new(candidate.vm.0, settings.caller_port));
    }
    if addresses.is_empty() {
        addresses.push(SocketAddr::new(settings.own.vm.0, settings.caller_port));
    }
    LocateAnswer {
        addresses,
        ttl: settings.ttl,
        session,
    }
}

/// The organisation's subset of the VMs that stay, in the zones that `wanted` accepts.
fn zone_candidates(
    view: &TopologyView,
    members: &MemberSnapshot,
    organisation: Option<&OrganisationName>,
    wanted: impl Fn(&ZoneName) -> bool,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for entry in view.vms.values() {
        let Some(incarnation) = entry.incarnation else {
            continue;
        };
        if entry.leaving || !wanted(&entry.zone) {
            continue;
        }
        let load = members.get(entry.vm).map_or(0, |member| member.digest.load);
        candidates.push(Candidate {
            vm: entry.vm,
            incarnation,
            load,
            score: organisation.map_or(0, |organisation| score(organisation, entry.vm)),
        });
    }
    if organisation.is_some() {
        keep_subset(&mut candidates);
    }
    candidates
}

/// Keeps the VMs with the highest scores: few while they have room, more for an organisation that fills them. Each step
/// contains the smaller ones, so that an organisation never moves, it only spreads.
fn keep_subset(candidates: &mut Vec<Candidate>) {
    let by_score = |candidate: &Candidate| std::cmp::Reverse(candidate.score);
    if candidates.len() > SUBSET_LIMIT {
        candidates.select_nth_unstable_by_key(SUBSET_LIMIT, by_score);
        candidates.truncate(SUBSET_LIMIT);
    }
    candidates.sort_unstable_by_key(by_score);
    let mut size = ORGANISATION_SUBSET;
    while size < candidates.len() {
        let load: u32 = candidates[..size].iter().map(|vm| u32::from(vm.load)).sum();
        if load < BUSY_LOAD * size as u32 {
            break;
        }
        size *= 2;
    }
    candidates.truncate(size);
}

/// Orders candidates at random, the less loaded of the first two in front.
fn spread(mut candidates: Vec<Candidate>, rng: &mut impl Rng) -> Vec<Candidate> {
    let drawn = candidates.len().min(ADDRESS_LIMIT);
    for index in 0..drawn {
        let other = rng.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    if drawn > 1 && candidates[1].load < candidates[0].load {
        candidates.swap(0, 1);
    }
    candidates.truncate(drawn);
    candidates
}

fn score(organisation: &OrganisationName, vm: VmAddress) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(organisation.as_str().as_bytes());
    match vm.0 {
        std::net::IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
        std::net::IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), seed),
    }
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
