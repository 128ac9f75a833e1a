//! Checks the promises from what callers and upstreams saw.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::IpAddr;
use std::ops::Range;
use std::time::Duration;

use ebonyfork_stand_in::guard::lock;
use ebonyfork_stand_in::upstream::ArrivalRecord;
use http::HeaderMap;
use tokio::time::Instant;

use crate::soak::callers::{CallEnd, CallRecord, CallerRecords, WAIT};
use crate::soak::faults::SoakEvent;
use crate::soak::fleet::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};
use crate::soak::judge_directory::VmLife;
use crate::soak::judge_moves::{MoveRecord, check_moves};
use crate::soak::judge_places::{check_cold, check_evacuations, check_homes};
use crate::soak::judge_starved::{ServiceRecord, check_starved};
use crate::soak::world::{LEAST, PastLife, ROUTE_TIMEOUT, SHARDS, SoakWorld, TOPS, WrittenVersion};

/// Time after a leaving upstream's entry was written from which it must get nothing new. The entry, a VM that follows
/// another one and a request that waits for its connection all take their time.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after which a version must be in force everywhere.
pub(super) const CONFIG_BOUND: Duration = Duration::from_secs(3);
/// Time after a disturbance for which it is an excuse.
pub(super) const DISTURBED_MARGIN: Duration = Duration::from_secs(5);
/// Share of the requests that must be served once all faults have ended.
const CALM_SHARE: f64 = 0.95;
/// Time after the last fault from which that holds: the recovery of all VMs at once takes about 2 s.
pub(super) const CALM_AFTER: Duration = Duration::from_secs(3);
/// Length of one record, in bytes.
const RECORD_BYTES: usize = 16;

/// What a soak found.
#[derive(Debug)]
pub struct SoakVerdict {
    /// The seed.
    pub seed: u64,
    /// Requests of callers.
    pub calls: usize,
    /// Requests that were served.
    pub served: usize,
    /// Events by their first words.
    pub events: usize,
    /// Broken promises, with the event that was in force.
    pub violations: Vec<String>,
}

impl fmt::Display for SoakVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed={} calls={} served={} events={} violations={}",
            self.seed,
            self.calls,
            self.served,
            self.events,
            self.violations.len()
        )?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

/// Runs of each request, with the service that ran it.
pub(super) type RunIndex<'a> = BTreeMap<&'a str, Vec<(&'a str, &'a ArrivalRecord)>>;

/// Checks everything.
pub(super) fn judge_soak(
    seed: u64,
    records: &CallerRecords,
    world: &SoakWorld,
    events: &[SoakEvent],
    vm_lives: &[VmLife],
    calm: Range<Instant>,
) -> SoakVerdict {
    let calls = &records.calls;
    let probes = records.probes.calls.iter().map(|probe| &probe.call);
    let all_calls: Vec<&CallRecord> = calls.iter().chain(probes).collect();
    let lives = world.lives();
    let arrivals = arrivals_of(&lives);
    let mut runs = RunIndex::new();
    for (service, arrival) in &arrivals {
        if arrival.ran {
            runs.entry(&arrival.request)
                .or_default()
                .push((service, arrival));
        }
    }
    let mut violations = Vec::new();
    let mut served = 0;
    for call in &all_calls {
        let found = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        if is_served(call) {
            served += 1;
        }
        if let Err(reason) = check_call(call, found) {
            violations.push(format!(
                "{} {}: {reason}; {}",
                call.route,
                call.id,
                during(call, events)
            ));
        }
    }
    violations.extend(check_planned(calls, events));
    violations.extend(check_ends(calls, events));
    violations.extend(check_drains(&lives, events));
    let versions = lock(&world.versions).clone();
    violations.extend(check_versions(calls, &versions, events));
    violations.extend(check_homes(&all_calls, &lives, &versions, events));
    let moves = MoveRecord {
        seed,
        runs: &runs,
        versions: &versions,
        events,
    };
    violations.extend(check_moves(&all_calls, moves));
    violations.extend(check_evacuations(&lives, &lock(&world.evacuations), events));
    violations.extend(check_cold(&lives, events));
    violations.extend(check_repeats(
        &budgeted_calls(records, &arrivals),
        &arrivals,
    ));
    violations.extend(check_calm(calls, calm.start));
    let service = ServiceRecord {
        seed,
        probes: &records.probes,
        runs: &runs,
        versions: &versions,
        lives: vm_lives,
        events,
    };
    violations.extend(check_starved(service, calm.end));
    SoakVerdict {
        seed,
        calls: all_calls.len(),
        served,
        events: events.len(),
        violations,
    }
}

/// All that reached the upstreams, with the service of each.
fn arrivals_of(lives: &[PastLife]) -> Vec<(String, ArrivalRecord)> {
    let mut all = Vec::new();
    for life in lives {
        let arrivals = life.arrivals.iter().cloned();
        all.extend(arrivals.map(|arrival| (life.service.clone(), arrival)));
    }
    all
}

pub(super) fn is_served(call: &CallRecord) -> bool {
    matches!(call.end, CallEnd::Answered { status: 200, .. })
}

/// What was going on during a call.
fn during(call: &CallRecord, events: &[SoakEvent]) -> String {
    let overlaps = |event: &&SoakEvent| event.from <= call.until && event.until >= call.from;
    let names: Vec<_> = events
        .iter()
        .filter(overlaps)
        .map(|event| event.what.as_str())
        .collect();
    format!("at {} during [{}]", call.vm, names.join(", "))
}

fn check_call(call: &CallRecord, runs: &[(&str, &ArrivalRecord)]) -> Result<(), String> {
    if call.route == "once" && runs.len() > 1 {
        return Err(format!("ran {} times", runs.len()));
    }
    let CallEnd::Answered {
        status,
        headers,
        body,
    } = &call.end
    else {
        return Ok(());
    };
    match (status, call.route) {
        (200, "gather") => check_gathered(headers, body, runs),
        (200, _) => check_single(headers, body, runs),
        (503 | 429, "once") if !runs.is_empty() => Err(format!("answered {status} and ran")),
        _ => Ok(()),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn check_single(
    headers: &HeaderMap,
    body: &[u8],
    runs: &[(&str, &ArrivalRecord)],
) -> Result<(), String> {
    let signature = header(headers, "response-stamp");
    let run = runs
        .iter()
        .find(|(_service, run)| run.signature == signature);
    match run {
        None => Err(format!(
            "signature `{signature}` is of no run of this request"
        )),
        Some((_service, run)) if run.body != body => Err("the body is another one".to_owned()),
        Some(_) => Ok(()),
    }
}

fn check_gathered(
    headers: &HeaderMap,
    body: &[u8],
    runs: &[(&str, &ArrivalRecord)],
) -> Result<(), String> {
    let mut services = BTreeSet::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for signature in header(headers, "part-stamps").split(',').map(str::trim) {
        let run = runs
            .iter()
            .find(|(_service, run)| run.signature == signature);
        let Some((service, run)) = run else {
            return Err(format!(
                "signature `{signature}` is of no run of this request"
            ));
        };
        if !services.insert(*service) {
            return Err(format!("two parts of {service}"));
        }
        records.extend(run.body.chunks_exact(RECORD_BYTES));
    }
    let missing: usize = header(headers, "missing-parts").parse().unwrap_or_default();
    if services.len() + missing != SHARDS {
        return Err(format!("{} parts and {missing} missing", services.len()));
    }
    if (services.len() as f64) < SHARDS as f64 * LEAST {
        return Err(format!("only {} parts", services.len()));
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    let greatest = |top: &usize| records[..records.len().min(*top)].concat();
    if !TOPS.iter().any(|top| greatest(top) == body) {
        return Err("the records are not the greatest of the named parts".to_owned());
    }
    Ok(())
}

/// A planned stop cuts no request, unless something unplanned was going on that was not confined to another VM.
fn check_planned(calls: &[CallRecord], events: &[SoakEvent]) -> Vec<String> {
    const MARGIN: Duration = Duration::from_secs(5);
    let disturbed = |call: &CallRecord| {
        events.iter().any(|event| {
            let elsewhere = event.vm.is_some_and(|vm| vm != call.vm.ip());
            let overlaps = event.from <= call.until && event.until + MARGIN >= call.from;
            !event.planned && !elsewhere && overlaps
        })
    };
    let stopping = |call: &CallRecord| {
        events.iter().any(|event| {
            event.planned
                && event.what.starts_with("terminate")
                && event.from <= call.until
                && event.until >= call.from
        })
    };
    let mut violations = Vec::new();
    for call in calls {
        let CallEnd::Broken(reason) = &call.end else {
            continue;
        };
        // A request that crosses the close of an idle connection was never read.
        let crossed = call.until - call.from < Duration::from_millis(5);
        if stopping(call) && !disturbed(call) && !crossed {
            violations.push(format!(
                "{} {} was cut by a planned stop: {reason}",
                call.route, call.id
            ));
        }
    }
    violations
}

/// Every call ends soon after its caller has stopped waiting, also if the upstream goes on sending. One who reads slowly
/// may take as long again as the route allows.
fn check_ends(calls: &[CallRecord], events: &[SoakEvent]) -> Vec<String> {
    /// Time for answers that are late, and for a busy machine.
    const LATE: Duration = Duration::from_secs(1);
    let mut violations = Vec::new();
    for call in calls {
        let reading = if call.route == "long" {
            ROUTE_TIMEOUT
        } else {
            Duration::ZERO
        };
        let took = call.until - call.from;
        if took > WAIT + reading + LATE
            && !is_disturbed(events, call.vm.ip(), call.from, call.until)
        {
            violations.push(format!("{} {} took {took:?}", call.route, call.id));
        }
    }
    violations
}

/// Whether neither the store nor VMs were disturbed; with `vm`, neither the store nor this VM.
pub(super) fn is_calm(
    events: &[SoakEvent],
    vm: Option<IpAddr>,
    from: Instant,
    until: Instant,
) -> bool {
    !events.iter().any(|event| {
        let elsewhere = vm.is_some() && event.vm.is_some() && event.vm != vm;
        let store = event.what.starts_with("store") || event.what.contains("vm-");
        store && !elsewhere && event.from <= until && event.until + DISTURBED_MARGIN >= from
    })
}

/// Whether the store or a VM was disturbed at any time from `from` to `until`; planned work on other VMs is no disturbance.
pub(super) fn is_disturbed(
    events: &[SoakEvent],
    vm: IpAddr,
    from: Instant,
    until: Instant,
) -> bool {
    events.iter().any(|event| {
        let concerns = event.vm.is_none_or(|disturbed| disturbed == vm);
        let store = event.what.starts_with("store") || event.what.contains("vm-");
        store && concerns && event.from <= until && event.until >= from
    })
}

/// A leaving upstream gets nothing new after seconds.
fn check_drains(past: &[PastLife], events: &[SoakEvent]) -> Vec<String> {
    let mut violations = Vec::new();
    for past in past {
        let Some(leaving) = past.leaving else {
            continue;
        };
        for arrival in past.arrivals.iter().filter(|arrival| arrival.ran) {
            let late = arrival.at > leaving + DRAIN_BOUND;
            if late && is_calm(events, None, leaving, arrival.at) {
                violations.push(format!(
                    "{} reached a leaving upstream of {} after {:?}",
                    arrival.request,
                    past.service,
                    arrival.at - leaving
                ));
            }
        }
    }
    violations
}

/// A route that every version in force names is found, one that none names is not.
fn check_versions(
    calls: &[CallRecord],
    versions: &[WrittenVersion],
    events: &[SoakEvent],
) -> Vec<String> {
    let mut violations = Vec::new();
    for call in calls {
        let CallEnd::Answered { status, .. } = &call.end else {
            continue;
        };
        if call.route != "extra" {
            if *status == 404 {
                violations.push(format!("{} {} was not found", call.route, call.id));
            }
            continue;
        }
        let before = versions
            .iter()
            .rev()
            .find(|(_version, at, _extra)| *at <= call.from);
        let Some((version, at, extra)) = before else {
            continue;
        };
        let calm = is_calm(events, Some(call.vm.ip()), *at, call.until);
        let settled = call.from > *at + CONFIG_BOUND && calm;
        if settled && (*status == 404) == *extra {
            violations.push(format!(
                "{} answered {status} {:?} after version {version} (extra={extra})",
                call.id,
                call.from - *at
            ));
        }
    }
    violations
}

/// Once all faults have ended almost everything is served.
fn check_calm(calls: &[CallRecord], calm_from: Instant) -> Option<String> {
    let from = calm_from + CALM_AFTER;
    let calm = calls
        .iter()
        .filter(|call| call.route != "extra" && call.from > from);
    let (all, served) = calm.fold((0, 0), |(all, served), call| {
        (all + 1, served + usize::from(is_served(call)))
    });
    let enough = f64::from(served as u32) >= f64::from(all as u32) * CALM_SHARE;
    (!enough).then(|| format!("served {served} of {all} after all faults"))
}

/// The calls that count for the budget of repeats: of the probes, which a quota may refuse again and again, only those that
/// reached an upstream.
fn budgeted_calls<'a>(
    records: &'a CallerRecords,
    arrivals: &[(String, ArrivalRecord)],
) -> Vec<&'a CallRecord> {
    let reached = arrivals.iter().map(|(_service, arrival)| arrival);
    let reached: BTreeSet<_> = reached.map(|arrival| &arrival.request).collect();
    let probes = records.probes.calls.iter().map(|probe| &probe.call);
    let probes = probes.filter(|call| reached.contains(&call.id));
    records.calls.iter().chain(probes).collect()
}

/// In no span do upstreams of a service get more arrivals beyond the first of each request than the budget of all VMs
/// together allows.
fn check_repeats(calls: &[&CallRecord], arrivals: &[(String, ArrivalRecord)]) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<&ArrivalRecord>> = BTreeMap::new();
    for (service, arrival) in arrivals {
        by_service.entry(service).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    for (service, mut arrivals) in by_service {
        arrivals.sort_unstable_by_key(|arrival| arrival.at);
        let mut seen = BTreeSet::new();
        let mut repeats: Vec<Instant> = Vec::new();
        for arrival in arrivals {
            if !seen.insert(&arrival.request) {
                repeats.push(arrival.at);
            }
        }
        let gathered = service.starts_with("shard");
        let sent = |call: &&&CallRecord| (call.route == "gather") == gathered;
        let requests: Vec<Instant> = calls.iter().filter(sent).map(|call| call.from).collect();
        violations.extend(most_repeats(service, &repeats, &requests));
    }
    violations
}

/// The first span in which there are too many repeats. Requests of the span before count as well.
fn most_repeats(service: &str, repeats: &[Instant], requests: &[Instant]) -> Option<String> {
    for (number, until) in repeats.iter().enumerate() {
        let age = |at: &Instant| until.saturating_duration_since(*at);
        let spent = repeats[..=number]
            .iter()
            .filter(|at| age(at) < RETRY_WINDOW);
        let spent = spent.count();
        let asked = requests
            .iter()
            .filter(|at| *at <= until && age(at) < 2 * RETRY_WINDOW);
        let allowed = asked.count() as f64 * RETRY_RATIO + RETRY_SLACK;
        if spent as f64 > allowed {
            return Some(format!(
                "{spent} repeats at {service} in {RETRY_WINDOW:?}, {allowed} allowed"
            ));
        }
    }
    None
}

#[cfg(test)]
#[path = "judge_tests.rs"]
pub(super) mod tests;
