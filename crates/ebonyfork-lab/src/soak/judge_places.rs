//! Checks where requests went: the home regions of their route, evacuated availability zones, cold upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyfork_stand_in::upstream::{ArrivalRecord, ColdCause};
use tokio::time::Instant;

use crate::soak::callers::CallRecord;
use crate::soak::faults::SoakEvent;
use crate::soak::fleet::{COLD_OVERAGE, COLD_SLACK};
use crate::soak::judge::{CONFIG_BOUND, is_calm};
use crate::soak::world::{COLD_RATE, EvacuationRecord, PastLife, WrittenVersion, home_zone};

/// Time after which an evacuation must be in force everywhere.
const EVACUATION_BOUND: Duration = Duration::from_secs(3);
/// The span in which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Name of the route that has a home.
const HOME_ROUTE: &str = "home";

/// A request on a route with a home reaches an upstream in no zone that a version allows which may be in force.
pub(super) fn check_homes(
    calls: &[&CallRecord],
    lives: &[PastLife],
    versions: &[WrittenVersion],
    events: &[SoakEvent],
) -> Vec<String> {
    let homes = calls.iter().filter(|call| call.route == HOME_ROUTE);
    let calls: BTreeMap<&str, &CallRecord> = homes.map(|call| (call.id.as_str(), *call)).collect();
    let mut violations = Vec::new();
    for life in lives {
        for arrival in &life.arrivals {
            let Some(call) = calls.get(arrival.request.as_str()) else {
                continue;
            };
            let at_home = |version| home_zone(version) == life.zone;
            if !allows(call, versions, events, at_home) {
                violations.push(format!(
                    "home {} reached {} and no version in force allows it",
                    call.id, life.zone
                ));
            }
        }
    }
    violations
}

/// Whether a version allows something that may be in force while a call is out: the newest before it, those written
/// meanwhile, and older ones for as long as a change may take.
pub(super) fn allows(
    call: &CallRecord,
    versions: &[WrittenVersion],
    events: &[SoakEvent],
    is_allowed: impl Fn(u64) -> bool,
) -> bool {
    let replaced = versions.iter().skip(1).map(|(_version, at, _extra)| *at);
    let replaced = replaced.map(Some).chain([None]);
    versions
        .iter()
        .zip(replaced)
        .any(|((version, at, _), gone)| {
            let written = *at <= call.until;
            let in_force = gone.is_none_or(|gone| {
                let settled = call.from > gone + CONFIG_BOUND;
                !settled || !is_calm(events, Some(call.vm.ip()), gone, call.until)
            });
            written && in_force && is_allowed(*version)
        })
}

/// Nothing new reaches an upstream in an evacuated zone after seconds.
pub(super) fn check_evacuations(
    lives: &[PastLife],
    evacuations: &[EvacuationRecord],
    events: &[SoakEvent],
) -> Vec<String> {
    let mut violations = Vec::new();
    for life in lives {
        for arrival in &life.arrivals {
            let evacuation = evacuations.iter().find(|evacuation| {
                let begun = arrival.at > evacuation.from + EVACUATION_BOUND;
                let ended = evacuation.until.is_some_and(|until| arrival.at >= until);
                evacuation.zone == life.zone && begun && !ended
            });
            let Some(evacuation) = evacuation else {
                continue;
            };
            if is_calm(events, None, evacuation.from, arrival.at) {
                violations.push(format!(
                    "{} reached {} {:?} after its evacuation",
                    arrival.request,
                    life.zone,
                    arrival.at - evacuation.from
                ));
            }
        }
    }
    violations
}

/// A cold upstream gets no more requests in any second than its bound. Of one that has become cold by an evacuation VMs may
/// not have heard that were disturbed meanwhile, of one that has just started all know.
pub(super) fn check_cold(lives: &[PastLife], events: &[SoakEvent]) -> Vec<String> {
    let allowed = (COLD_RATE * COLD_OVERAGE + COLD_SLACK) as usize;
    let mut violations = Vec::new();
    for life in lives {
        let cold = life
            .arrivals
            .iter()
            .filter(|arrival| arrival.cold.is_some());
        let mut cold: Vec<&ArrivalRecord> = cold.collect();
        cold.sort_unstable_by_key(|arrival| arrival.at);
        let Some((count, last)) = busiest_second(&cold).filter(|(count, _)| *count > allowed)
        else {
            continue;
        };
        let excused =
            last.cold == Some(ColdCause::Evacuation) && !is_calm(events, None, last.at, last.at);
        if !excused {
            violations.push(format!(
                "{count} requests in a second at a cold upstream of {} in {}, {allowed} allowed",
                life.service, life.zone
            ));
        }
    }
    violations
}

/// The most arrivals in a span, with the last of them.
fn busiest_second<'a>(arrivals: &[&'a ArrivalRecord]) -> Option<(usize, &'a ArrivalRecord)> {
    let count = |number: usize, at: Instant| {
        let first = arrivals.partition_point(|arrival| arrival.at + COLD_WINDOW <= at);
        number + 1 - first
    };
    let counts = arrivals.iter().enumerate();
    counts
        .map(|(number, arrival)| (count(number, arrival.at), *arrival))
        .max_by_key(|(count, _arrival)| *count)
}

#[cfg(test)]
#[path = "judge_places_tests.rs"]
mod tests;
