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
    /// The replica was the only healthy one.
    Only,
    /// The replica's expected time was no longer than that of another replica drawn at random.
    Sooner,
    /// The replica failed recently and is due for a probe.
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

/// The replica and the relay chosen for one attempt, with the time that the attempt is expected to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// The chosen replica.
    pub replica: ReplicaId,
    /// The relay to send the attempt to.
    pub relay: RelayId,
    /// Why this replica was chosen.
    pub reason: ChoiceReason,
    /// Whether the relay is the replica's standby rather than its primary.
    pub uses_standby: bool,
    /// Part of the expected time that the attempt spends in the relay's queue.
    pub queue_wait: Duration,
    /// Expected time from sending the attempt until its rows arrive.
    pub expected_time: Duration,
}

impl RouteChoice {
    /// Returns the time that the attempt is expected to take on an idle upstream, including the round trip to the
    /// relay.
    pub fn unloaded_time(&self) -> Duration {
        self.expected_time.saturating_sub(self.queue_wait)
    }
}

/// Replicas and relays that a route must not use, and whether it may probe a failed replica.
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
    uses_standby: bool,
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
    let mut healthy_candidates = SmallVec::<[Candidate; 4]>::new();
    let mut unhealthy_candidates = SmallVec::<[Candidate; 4]>::new();
    for replica in directory.replicas_of(service) {
        if constraints.excluded_replicas.contains(&replica) {
            continue;
        }
        let Some(candidate) = find_candidate(directory, now, replica, constraints.excluded_relays)
        else {
            continue;
        };
        if candidate.status == ReplicaStatus::Healthy {
            healthy_candidates.push(candidate);
        } else {
            unhealthy_candidates.push(candidate);
        }
    }
    let probe_candidate = unhealthy_candidates
        .iter()
        .find(|candidate| candidate.status == ReplicaStatus::ProbeDue);
    if let Some(probe_candidate) = probe_candidate
        && constraints.allow_probe
    {
        return Some(build_route_choice(
            directory,
            now,
            *probe_candidate,
            ChoiceReason::Probe,
        ));
    }
    let (candidate, reason) = match healthy_candidates.len() {
        0 => (
            earliest_probe_candidate(directory, &unhealthy_candidates)?,
            ChoiceReason::LastResort,
        ),
        1 => (healthy_candidates[0], ChoiceReason::Only),
        _ => (
            pick_faster_candidate(directory, rng, now, &healthy_candidates),
            ChoiceReason::Sooner,
        ),
    };
    Some(build_route_choice(directory, now, candidate, reason))
}

/// Returns `replica` with the relay to use, or `None` if both of its relays are excluded. A relay whose link is up is
/// preferred, and the primary is preferred to the standby.
fn find_candidate(
    directory: &mut Directory,
    now: Duration,
    replica: ReplicaId,
    excluded_relays: &[RelayId],
) -> Option<Candidate> {
    let (primary, standby) = directory.owners(replica)?;
    let status = directory.replicas[replica].health.status(now);
    let is_allowed = |relay: RelayId| !excluded_relays.contains(&relay);
    let is_up = |relay: RelayId| is_allowed(relay) && !directory.relays[relay].is_down(now);
    // A relay whose link broke recently is still better than none: the link is reopened.
    let relay = [primary, standby]
        .into_iter()
        .find(|relay| is_up(*relay))
        .or_else(|| {
            [primary, standby]
                .into_iter()
                .find(|relay| is_allowed(*relay))
        })?;
    Some(Candidate {
        replica,
        relay,
        uses_standby: relay != primary,
        status,
    })
}

/// Draws two healthy candidates at random and returns the one with the shorter expected time.
fn pick_faster_candidate(
    directory: &Directory,
    rng: &mut ChaCha8Rng,
    now: Duration,
    healthy_candidates: &[Candidate],
) -> Candidate {
    let first_index = rng.random_range(0..healthy_candidates.len());
    let mut second_index = rng.random_range(0..healthy_candidates.len() - 1);
    if second_index >= first_index {
        second_index += 1;
    }
    let (first_candidate, second_candidate) = (
        healthy_candidates[first_index],
        healthy_candidates[second_index],
    );
    if expected_time(directory, now, second_candidate)
        < expected_time(directory, now, first_candidate)
    {
        second_candidate
    } else {
        first_candidate
    }
}

/// Returns the unhealthy candidate whose backoff ends first.
fn earliest_probe_candidate(
    directory: &Directory,
    unhealthy_candidates: &[Candidate],
) -> Option<Candidate> {
    let backoff_until =
        |candidate: &&Candidate| directory.replicas[candidate.replica].health.backoff_until();
    unhealthy_candidates
        .iter()
        .min_by_key(backoff_until)
        .copied()
}

/// Returns the expected time until rows arrive: queue wait, service time and round trip.
fn expected_time(directory: &Directory, now: Duration, candidate: Candidate) -> Duration {
    let health = &directory.replicas[candidate.replica].health;
    let round_trip = directory.relays[candidate.relay].round_trip();
    health.expected_wait(now) + health.service_time(now) + round_trip
}

/// Returns the choice of a candidate, with its current expected times.
fn build_route_choice(
    directory: &Directory,
    now: Duration,
    candidate: Candidate,
    reason: ChoiceReason,
) -> RouteChoice {
    RouteChoice {
        replica: candidate.replica,
        relay: candidate.relay,
        reason,
        uses_standby: candidate.uses_standby,
        queue_wait: directory.replicas[candidate.replica]
            .health
            .expected_wait(now),
        expected_time: expected_time(directory, now, candidate),
    }
}
