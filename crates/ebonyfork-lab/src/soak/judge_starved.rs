//! Checks in calm time that every VM serves every kind of request, organisation and service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::soak::faults::SoakEvent;
use crate::soak::judge::{CALM_AFTER, CONFIG_BOUND, RunIndex, is_served};
use crate::soak::judge_directory::VmLife;
use crate::soak::moves::{MOVED_ROUTES, service_of};
use crate::soak::organisations::{LOUD, LOUD_RATE, SMALL};
use crate::soak::probes::{PROBED_ROUTES, ProbeRecord, ProbeRecords};
use crate::soak::world::{LONG_SERVICE, SHARDS, WrittenVersion};

/// Least time of a window; a VM is asked for all routes by all organisations in 2 s.
const WINDOW: Duration = Duration::from_millis(2_500);
/// Time after the start of the tier and after the store's return from an older copy in which nobody may be served who has a
/// limit: a process that has just learnt of an era writes no claim on a quota for 28 s. If all VMs end before, it begins anew.
const QUOTA_WAIT: Duration = Duration::from_secs(30);
/// Groups that one violation names.
const NAMED_GROUPS: usize = 8;
/// Least share of what is served of a VM, a route or an organisation, against that of all.
const LEAST_SHARE: f64 = 0.25;

/// What the check looks at.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceRecord<'a> {
    pub seed: u64,
    pub probes: &'a ProbeRecords,
    pub runs: &'a RunIndex<'a>,
    pub versions: &'a [WrittenVersion],
    pub lives: &'a [VmLife],
    pub events: &'a [SoakEvent],
}

/// A span of time in which nothing disturbs all VMs.
#[derive(Debug, Clone, Copy)]
struct CalmWindow {
    from: Instant,
    until: Instant,
}

/// Whether an event is no reason not to serve: another writer's entries and new versions aren't.
fn is_harmless(event: &SoakEvent) -> bool {
    let harmless = ["odd entries", "entries of another writer", "configuration"];
    harmless.iter().any(|what| event.what.starts_with(what))
}

impl ServiceRecord<'_> {
    /// The windows between disturbances, each long enough.
    fn windows(&self, until: Instant) -> Vec<CalmWindow> {
        // The processes start one after the other.
        const STARTS: Duration = Duration::from_secs(1);
        let mut from = self.begin().unwrap_or(until) + STARTS + CALM_AFTER;
        let disturbs_all = |event: &&SoakEvent| event.vm.is_none() && !is_harmless(event);
        let events = self.events.iter().filter(disturbs_all);
        let mut ends: Vec<_> = events
            .map(|event| (event.from, event.until + CALM_AFTER))
            .collect();
        ends.push((until, until));
        ends.sort_unstable();
        let mut windows = Vec::new();
        for (end, next) in ends {
            let length = end.saturating_duration_since(from);
            let count = (length.as_secs_f64() / WINDOW.as_secs_f64()) as u32;
            for number in 0..count {
                windows.push(CalmWindow {
                    from: from + length / count * number,
                    until: from + length / count * (number + 1),
                });
            }
            from = from.max(next);
        }
        windows
    }

    /// When the first VM was started.
    fn begin(&self) -> Option<Instant> {
        self.lives.iter().map(|life| life.from).min()
    }

    /// Whether organisations with a limit must be served in a window.
    fn serves_limited(&self, window: CalmWindow) -> bool {
        let begins_quotas = |event: &&SoakEvent| {
            ["store came back", "kill every", "kill vm-"]
                .iter()
                .any(|what| event.what.starts_with(what))
                && event.vm.is_none()
                && event.from < window.until
        };
        let events = self.events.iter().filter(begins_quotas);
        let waits = events.map(|event| event.until).chain(self.begin());
        waits.max().is_none_or(|at| at + QUOTA_WAIT <= window.from)
    }

    /// The VMs that have run undisturbed since some time before a window, to its end.
    fn settled_vms(&self, window: CalmWindow) -> BTreeSet<IpAddr> {
        let runs = |life: &&VmLife| {
            life.from + CALM_AFTER <= window.from
                && life.until.is_none_or(|until| until >= window.until)
        };
        let lives = self.lives.iter().filter(runs);
        let mut vms: BTreeSet<_> = lives.map(|life| life.vm).collect();
        for event in self.events {
            let overlaps = event.from < window.until && event.until + CALM_AFTER > window.from;
            if let Some(vm) = event.vm.filter(|_vm| overlaps) {
                vms.remove(&vm);
            }
        }
        vms
    }

    /// The services that each version names which may be in force in a window.
    fn services(&self, window: CalmWindow) -> BTreeSet<String> {
        let mut services: BTreeSet<_> = (0..SHARDS).map(|shard| format!("shard{shard}")).collect();
        services.insert(LONG_SERVICE.to_owned());
        let settled = |at: Instant| at + CONFIG_BOUND <= window.from;
        let first = self.versions.iter().rposition(|(_, at, _)| settled(*at));
        let versions = &self.versions[first.unwrap_or_default()..];
        let mut moved: Option<BTreeSet<&str>> = None;
        for (version, _at, _extra) in versions.iter().filter(|(_, at, _)| *at < window.until) {
            let routes = MOVED_ROUTES
                .iter()
                .filter(|name| PROBED_ROUTES.contains(name));
            let named: BTreeSet<_> = routes
                .map(|route| service_of(self.seed, *version, route))
                .collect();
            moved = Some(moved.map_or(named.clone(), |moved| &moved & &named));
        }
        services.extend(moved.into_iter().flatten().map(str::to_owned));
        services
    }

    /// Checks one window: what a VM or the tier doesn't serve.
    fn check_window(&self, window: CalmWindow) -> Vec<String> {
        let vms = self.settled_vms(window);
        let serves_limited = self.serves_limited(window);
        let is_in = |at: Instant| at >= window.from && at < window.until;
        let mut starved = Vec::new();
        let mut shares: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        let mut all = (0, 0);
        let mut seen: BTreeSet<(IpAddr, &str)> = BTreeSet::new();
        let calls = self.probes.calls.iter();
        for ProbeRecord { organisation, call } in
            calls.filter(|probe| is_in(probe.call.from) && is_in(probe.call.until))
        {
            let vm = call.vm.ip();
            let is_limited = SMALL.contains(organisation);
            if !vms.contains(&vm) || *organisation == LOUD || (is_limited && !serves_limited) {
                continue;
            }
            let served = u32::from(is_served(call));
            let groups = [
                format!("{vm}"),
                format!("{} at {vm}", call.route),
                format!("{organisation} at {vm}"),
            ];
            for group in groups {
                let share = shares.entry(group).or_default();
                *share = (share.0 + 1, share.1 + served);
            }
            all = (all.0 + 1, all.1 + served);
            if served > 0 {
                let runs = self.runs.get(call.id.as_str()).into_iter().flatten();
                seen.extend(runs.map(|(service, _run)| (vm, *service)));
            }
        }
        let all_share = f64::from(all.1) / f64::from(all.0.max(1));
        for (group, (asked, got)) in shares {
            if got == 0 || f64::from(got) < f64::from(asked) * all_share * LEAST_SHARE {
                starved.push(format!("{group}: {got} of {asked} served"));
            }
        }
        let services = self.services(window);
        for vm in &vms {
            let missing = services
                .iter()
                .filter(|name| !seen.contains(&(*vm, name.as_str())));
            let missing: Vec<_> = missing.map(String::as_str).collect();
            if !missing.is_empty() {
                starved.push(format!(
                    "services {} at {vm}: never served",
                    missing.join(", ")
                ));
            }
        }
        if serves_limited {
            starved.extend(self.check_loud(window, vms.len()));
        }
        starved.extend(self.check_ready(window, &vms));
        starved
    }

    /// The loud organisation gets a part of its limit, if all VMs are settled.
    fn check_loud(&self, window: CalmWindow, settled: usize) -> Option<String> {
        let all: BTreeSet<_> = self.lives.iter().map(|life| life.vm).collect();
        let is_loud = |probe: &&ProbeRecord| {
            probe.organisation == LOUD
                && probe.call.until >= window.from
                && probe.call.until < window.until
        };
        let calls = self.probes.calls.iter().filter(is_loud);
        let served = calls.filter(|probe| is_served(&probe.call)).count();
        let expected = LOUD_RATE * (window.until - window.from).as_secs_f64() * LEAST_SHARE;
        let starves = settled == all.len() && (served as f64) < expected;
        starves.then(|| format!("{LOUD}: {served} served, {expected:.0} expected"))
    }

    /// Settled VMs are ready.
    fn check_ready(&self, window: CalmWindow, vms: &BTreeSet<IpAddr>) -> Vec<String> {
        let mut unready: BTreeMap<IpAddr, u32> = BTreeMap::new();
        for record in &self.probes.ready {
            let is_in = record.at >= window.from && record.at < window.until;
            if is_in && !record.is_ready && vms.contains(&record.vm) {
                *unready.entry(record.vm).or_default() += 1;
            }
        }
        unready
            .iter()
            .map(|(vm, count)| format!("{vm}: {count} times not ready"))
            .collect()
    }
}

/// In calm time every VM is ready and serves every kind of request, organisation and service, and the loud organisation gets
/// a part of its limit. One violation a window.
pub(super) fn check_starved(record: ServiceRecord<'_>, until: Instant) -> Vec<String> {
    let windows = record.windows(until);
    let mut violations = Vec::new();
    for (number, window) in windows.iter().enumerate() {
        let starved = record.check_window(*window);
        if !starved.is_empty() {
            let length = window.until - window.from;
            violations.push(format!(
                "{} starved in calm window {number} of {length:?}: {}",
                starved.len(),
                starved[..starved.len().min(NAMED_GROUPS)].join("; ")
            ));
        }
    }
    violations
}

#[cfg(test)]
#[path = "judge_starved_tests.rs"]
mod tests;
