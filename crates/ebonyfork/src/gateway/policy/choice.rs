//! Which upstream an attempt goes to: the one expected to answer soonest, with a bias towards near ones.

use std::rc::Rc;
use std::time::Instant;

use crate::gateway::ident::UpstreamIncarnation;
use crate::gateway::policy::latency::AttemptKind;
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::settings::{NodePlace, PlaceDistance};
use crate::gateway::upstream::Upstream;

/// What a near upstream may be slower before one in another zone or region is taken, in milliseconds: it pays for the bytes
/// between zones.
const FAR_BIAS_MS: f64 = 8.0;
/// What an attempt that brings no answer costs beside its time, in usual attempts beside this VM. It takes a repeat, and
/// where they have run out the part is missing, and the answer with it.
const FAILURE_TIMES: f64 = 10.0;
/// Weight of the expected time of an upstream that was not reachable: it is taken if there is no other.
const EJECTED_MS: f64 = 100_000.0;

/// An upstream with the time in which it is expected to answer.
#[derive(Debug, Clone)]
pub struct UpstreamChoice {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// How far away it is.
    pub distance: PlaceDistance,
    /// Expected time of an attempt over the usual time of attempts at that distance.
    pub slowness: f64,
}

/// Chooses among the upstreams of a service that are allowed and take requests.
pub fn choose_upstream(
    candidates: &[Rc<Upstream>],
    allowed: impl Fn(&Upstream, &UpstreamIncarnation) -> bool,
    place: &NodePlace,
    latency: &RouteLatency,
    now: Instant,
) -> Option<UpstreamChoice> {
    let mut best: Option<(f64, UpstreamChoice)> = None;
    // A different upstream goes first each time, so that equal ones share the load.
    let offset = rand::random_range(0..candidates.len().max(1));
    for number in 0..candidates.len() {
        let upstream = &candidates[(number + offset) % candidates.len()];
        let entry = upstream.entry();
        if !upstream.takes_requests() || !allowed(upstream, &entry.incarnation()) {
            continue;
        }
        let distance = place.distance(&entry.zone);
        let kind = latency.quickest(distance);
        let health = upstream.health.borrow();
        let near_ms = latency.usual_ms(AttemptKind::Zone);
        let own_ms = health.expected_ms(now, near_ms, entry.slots);
        let expected = latency.way_ms(kind) + own_ms;
        let mut cost = expected + (1.0 - health.success(now)) * near_ms * FAILURE_TIMES;
        if distance != PlaceDistance::Zone {
            cost += FAR_BIAS_MS;
        }
        if health.is_ejected(now) {
            cost += EJECTED_MS;
        }
        if best.as_ref().is_some_and(|(least, _choice)| *least <= cost) {
            continue;
        }
        let choice = UpstreamChoice {
            upstream: Rc::clone(upstream),
            distance,
            slowness: (expected / latency.usual_ms(kind)).max(1.0),
        };
        best = Some((cost, choice));
    }
    best.map(|(_cost, choice)| choice)
}

/// Finds an upstream nearer than the chosen one that is avoided and should be probed.
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
        if !upstream.health.borrow().wants_probe(now) {
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
