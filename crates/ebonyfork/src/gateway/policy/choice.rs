//! Selects the upstream for an attempt: the one expected to answer first, with a bias towards nearby upstreams.

use std::rc::Rc;
use std::time::Instant;

use crate::gateway::ident::UpstreamIncarnation;
use crate::gateway::policy::latency::AttemptKind;
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::settings::{NodePlace, PlaceDistance};
use crate::gateway::upstream::Upstream;

/// Cost in milliseconds of an upstream in another zone or region, which accounts for the price of traffic between
/// zones.
const FAR_BIAS_MS: f64 = 8.0;
/// Cost in milliseconds of a new connection: round trips, processor time on both sides, and a slot of the upstream that
/// is occupied meanwhile. Without it, a VM that sees few requests would spread them over all upstreams of a shard, and
/// the connections to each would be closed as idle before it is used again. It doesn't apply to an upstream whose
/// connections are all in use: its load is part of the expected time.
const NEW_CONNECTION_COST_MS: f64 = 5.0;
/// Cost of a failed attempt, as a multiple of the median time of attempts in the same zone. A failure uses up a repeat;
/// once the budget is empty the shard's part is missing, and possibly the whole answer.
const FAILURE_COST_FACTOR: f64 = 10.0;
/// Cost in milliseconds of an upstream that could not be reached or that a VM in its zone advised against: it is only
/// chosen if there is no other.
const EJECTED_COST_MS: f64 = 100_000.0;

/// Selected upstream and its expected speed.
#[derive(Debug, Clone)]
pub struct UpstreamChoice {
    /// Upstream to which the attempt is sent.
    pub upstream: Rc<Upstream>,
    /// Distance of the upstream from this VM.
    pub distance: PlaceDistance,
    /// Expected time of an attempt divided by the median time of attempts at that distance; at least 1.
    pub slowness: f64,
}

/// Returns the best upstream among the candidates that are allowed and take requests.
pub fn choose_upstream(
    candidates: &[Rc<Upstream>],
    is_allowed: impl Fn(&Upstream, &UpstreamIncarnation) -> bool,
    place: &NodePlace,
    latency: &RouteLatency,
    now: Instant,
) -> Option<UpstreamChoice> {
    let mut best_choice: Option<(f64, UpstreamChoice)> = None;
    // Start at a random candidate so that equally good ones share the load.
    let offset = rand::random_range(0..candidates.len().max(1));
    for number in 0..candidates.len() {
        let upstream = &candidates[(number + offset) % candidates.len()];
        let entry = upstream.entry();
        if !upstream.takes_requests() || !is_allowed(upstream, &entry.incarnation()) {
            continue;
        }
        let distance = place.distance(&entry.zone);
        let kind = latency.fastest(distance);
        let health = upstream.health.borrow();
        let near_ms = latency.median_ms(AttemptKind::Zone);
        let upstream_ms = health.expected_ms(now, near_ms, entry.slots);
        let expected_ms = latency.network_ms(kind) + upstream_ms;
        let mut cost_ms =
            expected_ms + (1.0 - health.success_rate(now)) * near_ms * FAILURE_COST_FACTOR;
        if distance != PlaceDistance::Zone {
            cost_ms += FAR_BIAS_MS;
        }
        if !upstream.has_connection(now) {
            cost_ms += NEW_CONNECTION_COST_MS;
        }
        if health.is_ejected(now) {
            cost_ms += EJECTED_COST_MS;
        }
        if best_choice
            .as_ref()
            .is_some_and(|(lowest_cost_ms, _choice)| *lowest_cost_ms <= cost_ms)
        {
            continue;
        }
        let choice = UpstreamChoice {
            upstream: Rc::clone(upstream),
            distance,
            slowness: (expected_ms / latency.median_ms(kind)).max(1.0),
        };
        best_choice = Some((cost_ms, choice));
    }
    best_choice.map(|(_cost_ms, choice)| choice)
}

/// Returns an upstream nearer than the chosen one that is avoided and due for a probe.
pub fn probe_upstream(
    candidates: &[Rc<Upstream>],
    chosen: &UpstreamChoice,
    place: &NodePlace,
    now: Instant,
) -> Option<UpstreamChoice> {
    for upstream in candidates {
        let distance = place.distance(&upstream.entry().zone);
        if distance >= chosen.distance || !upstream.takes_requests() {
            continue;
        }
        if !upstream.health.borrow().is_probe_due(now) {
            continue;
        }
        return Some(UpstreamChoice {
            upstream: Rc::clone(upstream),
            distance,
            slowness: 1.0,
        });
    }
    None
}

#[cfg(test)]
#[path = "choice_tests.rs"]
mod tests;
