//! Choice of the replica and relay for a shard request.
//!
//! Uses the power of two choices: of two replicas drawn at random, the one with the shorter expected time is chosen. A
//! replica that failed recently is skipped unless it is due for a probe or there is no other.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::directory::{Directory, RelayId, ReplicaId, ServiceId};
use super::replica::ReplicaStatus;

/// Why a replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// It was the only healthy replica.
    Only,
    /// Its expected time was no longer than that of another replica drawn at random.
    Sooner,
    /// It failed recently and is due for a probe.
    Probe,
    /// All replicas have failed recently.
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
    /// The chosen replica.
    pub replica: ReplicaId,
    /// The relay to send the attempt to.
    pub relay: RelayId,
    /// Why this replica was chosen.
    pub reason: ChoiceReason,
    /// Whether the relay is the replica's standby rather than its primary.
    pub standby: bool,
    /// Part of the expected time that the request spends in the relay's queue.
    pub wait: Duration,
    /// Expected time until the rows arrive.
    pub expected: Duration,
}

impl RouteChoice {
    /// Returns the expected time on an idle upstream, including the round trip to the relay.
    pub fn unloaded_time(&self) -> Duration {
        self.expected.saturating_sub(self.wait)
    }
}

/// Restrictions on the choice of a route.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteConstraints<'a> {
    /// Replicas that must not be chosen.
    pub excluded_replicas: &'a [ReplicaId],
    /// Relays that must not be used.
    pub excluded_relays: &'a [RelayId],
    /// Whether the request may be used to probe a replica that failed recently.
    pub allow_probe: bool,
}

/// A replica that can be reached, with the relay to use.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    replica: ReplicaId,
    relay: RelayId,
    standby: bool,
    status: ReplicaStatus,
}

/// Chooses a route for a shard of `service`; returns `None` if no replica can be reached.
pub fn choose_route(
    directory: &mut Directory,
    rng: &mut ChaCha8Rng,
    now: Duration,
    service: ServiceId,
    constraints: RouteConstraints<'_>,
) -> Option<RouteChoice> {
    let mut healthy = SmallVec::<[Candidate; 4]>::new();
    let mut unhealthy = SmallVec::<[Candidate; 4]>::new();
    for replica in directory.replicas_of(service) {
        if constraints.excluded_replicas.contains(&replica) {
            continue;
        }
        let Some(candidate) = candidate(directory, now, replica, constraints.excluded_relays)
        else {
            continue;
        };
        if candidate.status == ReplicaStatus::Healthy {
            healthy.push(candidate);
        } else {
            unhealthy.push(candidate);
        }
    }
    let due_probe = unhealthy
        .iter()
        .find(|c| c.status == ReplicaStatus::ProbeDue);
    if let Some(due_probe) = due_probe
        && constraints.allow_probe
    {
        return Some(make_choice(directory, now, *due_probe, ChoiceReason::Probe));
    }
    let (candidate, reason) = match healthy.len() {
        0 => (
            earliest_probe(directory, &unhealthy)?,
            ChoiceReason::LastResort,
        ),
        1 => (healthy[0], ChoiceReason::Only),
        _ => (
            pick_sooner(directory, rng, now, &healthy),
            ChoiceReason::Sooner,
        ),
    };
    Some(make_choice(directory, now, candidate, reason))
}

/// Returns a replica with the preferred relay that is up, or `None` if no relay may be used.
fn candidate(
    directory: &mut Directory,
    now: Duration,
    replica: ReplicaId,
    excluded_relays: &[RelayId],
) -> Option<Candidate> {
    let (primary, standby) = directory.owners(replica)?;
    let status = directory.replicas[replica].health.status(now);
    let allowed = |relay: RelayId| !excluded_relays.contains(&relay);
    let up = |relay: RelayId| allowed(relay) && !directory.relays[relay].is_down(now);
    // A relay whose link broke recently is still better than none: the link is reopened.
    let relay = [primary, standby]
        .into_iter()
        .find(|relay| up(*relay))
        .or_else(|| [primary, standby].into_iter().find(|relay| allowed(*relay)))?;
    Some(Candidate {
        replica,
        relay,
        standby: relay != primary,
        status,
    })
}

/// Draws two healthy candidates at random and returns the one with the shorter expected time.
fn pick_sooner(
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

/// Returns the unhealthy candidate whose backoff ends first.
fn earliest_probe(directory: &Directory, unhealthy: &[Candidate]) -> Option<Candidate> {
    let backoff_until = |c: &&Candidate| directory.replicas[c.replica].health.backoff_until();
    unhealthy.iter().min_by_key(backoff_until).copied()
}

/// Returns the expected time until rows arrive: queue wait, service time and round trip.
fn expected_time(directory: &Directory, now: Duration, candidate: Candidate) -> Duration {
    let health = &directory.replicas[candidate.replica].health;
    let round_trip = directory.relays[candidate.relay].round_trip();
    health.expected_wait(now) + health.service_time(now) + round_trip
}

fn make_choice(
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
        wait: directory.replicas[candidate.replica]
            .health
            .expected_wait(now),
        expected: expected_time(directory, now, candidate),
    }
}
