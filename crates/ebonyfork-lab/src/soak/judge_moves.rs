//! Checks by which service requests were run while versions of the configuration moved their routes.

use std::collections::BTreeMap;
use std::net::IpAddr;

use tokio::time::Instant;

use crate::soak::callers::CallRecord;
use crate::soak::faults::SoakEvent;
use crate::soak::judge::{RunIndex, is_calm};
use crate::soak::judge_places::allows;
use crate::soak::moves::{MOVED_ROUTES, service_of};
use crate::soak::world::WrittenVersion;

/// What the checks look at.
#[derive(Debug, Clone, Copy)]
pub(super) struct MoveRecord<'a> {
    pub seed: u64,
    pub runs: &'a RunIndex<'a>,
    pub versions: &'a [WrittenVersion],
    pub events: &'a [SoakEvent],
}

impl MoveRecord<'_> {
    /// The services that ran a call of a moved route; none for other routes.
    fn services(&self, call: &CallRecord) -> impl Iterator<Item = &str> {
        let is_moved = MOVED_ROUTES.contains(&call.route);
        let runs = self.runs.get(call.id.as_str()).filter(|_runs| is_moved);
        runs.into_iter().flatten().map(|(service, _run)| *service)
    }

    /// The lowest version from `least` on that names a service for a call and was written before the call's end.
    fn lowest_version(&self, call: &CallRecord, service: &str, least: u64) -> Option<u64> {
        let fits = |(version, at, _extra): &&WrittenVersion| {
            *version >= least
                && *at <= call.until
                && service_of(self.seed, *version, call.route) == service
        };
        let found = self.versions.iter().find(fits);
        found.map(|(version, _at, _extra)| *version)
    }
}

/// Requests that were run by a service that no version names which may be in force, or only one that is older than what
/// their VM served by before. One violation a VM and kind.
pub(super) fn check_moves(calls: &[&CallRecord], record: MoveRecord<'_>) -> Vec<String> {
    let mut by_vm: BTreeMap<IpAddr, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        by_vm.entry(call.vm.ip()).or_default().push(call);
    }
    let mut violations = Vec::new();
    for (vm, mut calls) in by_vm {
        calls.sort_unstable_by_key(|call| call.from);
        let found = [
            ("no version in force names", outdated(&calls, record)),
            ("only older versions name than before", back(&calls, record)),
        ];
        for (reason, found) in found {
            if let Some(first) = found.first() {
                violations.push(format!(
                    "{} requests at {vm} were run by a service that {reason}: {first}",
                    found.len()
                ));
            }
        }
    }
    violations
}

/// Calls that a service ran which no version in force names.
fn outdated(calls: &[&CallRecord], record: MoveRecord<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for call in calls {
        for service in record.services(call) {
            let names = |version| service_of(record.seed, version, call.route) == service;
            if allows(call, record.versions, record.events, names) {
                continue;
            }
            let before = record.versions.iter().rev();
            let newest = before.into_iter().find(|(_, at, _)| *at <= call.from);
            let since = newest.map(|(version, at, _)| (version, call.from - *at));
            found.push(format!(
                "{} {} by {service}, (version, age) = {since:?}",
                call.route, call.id
            ));
        }
    }
    found
}

/// Calls of one VM, in the order of their beginnings, that only an older version explains than an earlier call did which
/// had ended before. What an earlier call has shown counts for as long as the VM and the store are undisturbed.
fn back(calls: &[&CallRecord], record: MoveRecord<'_>) -> Vec<String> {
    let mut shown: Vec<(Instant, u64)> = Vec::new();
    let mut least: Option<(Instant, u64)> = None;
    let mut found = Vec::new();
    for call in calls {
        let (ended, out): (Vec<_>, Vec<_>) = shown
            .iter()
            .partition(|(until, _version)| *until < call.from);
        shown = out;
        for (until, version) in ended {
            if least.is_none_or(|(_since, least)| least < version) {
                least = Some((until, version));
            }
        }
        least = least
            .filter(|(since, _)| is_calm(record.events, Some(call.vm.ip()), *since, call.until));
        let floor = least.map_or(0, |(_since, version)| version);
        for service in record.services(call) {
            match record.lowest_version(call, service, floor) {
                Some(version) => shown.push((call.until, version)),
                None => found.push(format!("{} {} by {service}, {floor}", call.route, call.id)),
            }
        }
    }
    found
}

#[cfg(test)]
#[path = "judge_moves_tests.rs"]
mod tests;
