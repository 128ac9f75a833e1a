//! Which replica a shard request goes to, and by which relay.
//!
//! Power of two choices: of two replicas drawn at random, the one with the smaller expected time to rows wins. A replica
//! that failed lately is passed over unless it is time to probe it or there is no other.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::directory::{Directory, RelayId, ReplicaId, ServiceId};
use super::replica::ReplicaStanding;

/// Why a replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// There was no other.
    Only,
    /// It was expected to answer sooner than another drawn at random.
    Sooner,
    /// It failed lately and is probed.
    Probe,
    /// All have failed lately.
    LastResort,
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Only => "only",
            Self::Sooner => "sooner",
            Self::Probe => "probe",
            Self::LastResort => "last-resort",
        })
    }
}

/// A chosen route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// The replica.
    pub replica: ReplicaId,
    /// The relay to send to.
    pub relay: RelayId,
    /// Why this replica.
    pub reason: ChoiceReason,
    /// Whether the relay is the replica's standby.
    pub standby: bool,
    /// Part of the expected time that the request waits at the relay.
    pub wait: Duration,
    /// Expected time until its rows are here.
    pub expected: Duration,
}

impl RouteChoice {
    /// Expected time on an idle upstream, the way there included.
    pub fn work(&self) -> Duration {
        self.expected.saturating_sub(self.wait)
    }
}

/// What a choice must leave out.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceLimits<'a> {
    /// Replicas that have been tried.
    pub tried: &'a [ReplicaId],
    /// Relays that refused.
    pub refused: &'a [RelayId],
    /// Whether a replica that failed lately may be probed by this request.
    pub probe: bool,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    replica: ReplicaId,
    relay: RelayId,
    standby: bool,
    standing: ReplicaStanding,
}

/// Chooses a route for a shard of `service`; none if no replica can be reached.
pub fn choose_route(
    directory: &mut Directory,
    rng: &mut ChaCha8Rng,
    now: Duration,
    service: ServiceId,
    limits: ChoiceLimits<'_>,
) -> Option<RouteChoice> {
    let mut healthy = SmallVec::<[Candidate; 4]>::new();
    let mut failed = SmallVec::<[Candidate; 4]>::new();
    for replica in directory.replicas_of(service) {
        if limits.tried.contains(&replica) {
            continue;
        }
        let Some(candidate) = candidate(directory, now, replica, limits.refused) else {
            continue;
        };
        if candidate.standing == ReplicaStanding::Healthy {
            healthy.push(candidate);
        } else {
            failed.push(candidate);
        }
    }
    let due = failed
        .iter()
        .find(|c| c.standing == ReplicaStanding::ProbeDue);
    if let Some(due) = due
        && limits.probe
    {
        return Some(finish(directory, now, *due, ChoiceReason::Probe));
    }
    let (candidate, reason) = match healthy.len() {
        0 => (soonest_probe(directory, &failed)?, ChoiceReason::LastResort),
        1 => (healthy[0], ChoiceReason::Only),
        _ => (draw(directory, rng, now, &healthy), ChoiceReason::Sooner),
    };
    Some(finish(directory, now, candidate, reason))
}

fn candidate(
    directory: &mut Directory,
    now: Duration,
    replica: ReplicaId,
    refused: &[RelayId],
) -> Option<Candidate> {
    let (primary, standby) = directory.owners(replica)?;
    let standing = directory.replicas[replica].health.standing(now);
    let usable = |relay: RelayId| !refused.contains(&relay);
    let up = |relay: RelayId| usable(relay) && !directory.relays[relay].is_down(now);
    // A relay whose link broke a moment ago is still better than none: the link is opened anew.
    let relay = [primary, standby]
        .into_iter()
        .find(|relay| up(*relay))
        .or_else(|| [primary, standby].into_iter().find(|relay| usable(*relay)))?;
    Some(Candidate {
        replica,
        relay,
        standby: relay != primary,
        standing,
    })
}

fn draw(
    directory: &Directory,
    rng: &mut ChaCha8Rng,
    now: Duration,
    healthy: &[Candidate],
) -> Candidate {
    let first = rng.random_range(0..healthy.len());
    let mut second = rng.random_range(0..healthy.len() - 1);
    if second >= first {
        second += 1;
    }
    let (first, second) = (healthy[first], healthy[second]);
    if expected_time(directory, now, second) < expected_time(directory, now, first) {
        second
    } else {
        first
    }
}

fn soonest_probe(directory: &Directory, failed: &[Candidate]) -> Option<Candidate> {
    let until = |c: &&Candidate| directory.replicas[c.replica].health.avoid_until();
    failed.iter().min_by_key(until).copied()
}

fn expected_time(directory: &Directory, now: Duration, candidate: Candidate) -> Duration {
    let health = &directory.replicas[candidate.replica].health;
    let round_trip = directory.relays[candidate.relay].round_trip();
    health.wait(now) + health.service(now) + round_trip
}

fn finish(
    directory: &Directory,
    now: Duration,
    candidate: Candidate,
    reason: ChoiceReason,
) -> RouteChoice {
    RouteChoice {
        replica: candidate.replica,
        relay: candidate.relay,
        reason,
        standby: candidate.standby,
        wait: directory.replicas[candidate.replica].health.wait(now),
        expected: expected_time(directory, now, candidate),
    }
}
