//! Checks which VMs the directories name: none that is gone, and all that run.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

use crate::soak::faults::SoakEvent;
use crate::soak::judge::is_disturbed;

/// Time without disturbance after which a VM has to keep its promises.
const STABLE: Duration = Duration::from_secs(5);
/// Time after its end from which a VM must not be named any more.
const GONE_BOUND: Duration = Duration::from_secs(8);
/// Number of answers that may name a VM after that.
const GONE_ALLOWED: usize = 3;
/// Time without disturbance after which a running VM has to be named beside the others of its zone.
const HEARD_BOUND: Duration = Duration::from_secs(10);

/// A life of a VM's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLife {
    /// The VM's address.
    pub vm: IpAddr,
    /// Its availability zone.
    pub zone: &'static str,
    /// When the process was started.
    pub from: Instant,
    /// When it ended; none while it runs.
    pub until: Option<Instant>,
}

impl VmLife {
    fn runs_at(&self, at: Instant) -> bool {
        self.from <= at && self.until.is_none_or(|until| until > at)
    }
}

/// One answer of a directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateRecord {
    /// The VM that answered.
    pub directory: IpAddr,
    /// The availability zone for which it was asked.
    pub zone: &'static str,
    /// When it was asked.
    pub at: Instant,
    /// The VMs that it named.
    pub named: Vec<SocketAddr>,
}

impl LocateRecord {
    fn names(&self, vm: IpAddr) -> bool {
        self.named.iter().any(|named| named.ip() == vm)
    }
}

/// Returns whether a VM has run undisturbed for `lasting` before `at`.
fn is_settled(
    vm: IpAddr,
    lives: &[VmLife],
    events: &[SoakEvent],
    at: Instant,
    lasting: Duration,
) -> bool {
    let mut lives = lives.iter();
    let runs = lives.any(|life| life.vm == vm && life.from + lasting <= at && life.runs_at(at));
    runs && !is_disturbed(events, vm, at.checked_sub(lasting).unwrap_or(at), at)
}

/// A directory names VMs that are gone, or leaves out one that runs beside others of its zone.
pub(super) fn check_directories(
    records: &[LocateRecord],
    lives: &[VmLife],
    events: &[SoakEvent],
) -> Vec<String> {
    let (mut gone, mut hidden) = (Vec::new(), Vec::new());
    let mut vms: Vec<_> = lives.iter().map(|life| (life.vm, life.zone)).collect();
    vms.sort_unstable();
    vms.dedup();
    for record in records {
        if !is_settled(record.directory, lives, events, record.at, STABLE) {
            continue;
        }
        for (vm, zone) in &vms {
            if record.names(*vm) {
                gone.extend(gone_for(*vm, lives, record).map(|gone_for| {
                    format!("{} named {vm} gone for {gone_for:?}", record.directory)
                }));
                continue;
            }
            let is_zone_named = vms.iter().any(|(other, other_zone)| {
                other_zone == zone && *zone == record.zone && record.names(*other)
            });
            if is_zone_named && is_settled(*vm, lives, events, record.at, HEARD_BOUND) {
                hidden.push(format!("{} left out {vm}, which runs", record.directory));
            }
        }
    }
    let mut violations = Vec::new();
    if gone.len() > GONE_ALLOWED {
        violations.push(format!("{} answers name lost VMs: {}", gone.len(), gone[0]));
    }
    if let Some(first) = hidden.first() {
        violations.push(format!("{} answers hide VMs: {first}", hidden.len()));
    }
    violations
}

/// Returns for how long a VM had been gone when it was named, if that is too long.
fn gone_for(vm: IpAddr, lives: &[VmLife], record: &LocateRecord) -> Option<Duration> {
    let lives = lives
        .iter()
        .filter(|life| life.vm == vm && life.from <= record.at);
    let ended_at = lives.map(|life| life.until.unwrap_or(record.at)).max()?;
    let gone_for = record.at.saturating_duration_since(ended_at);
    (gone_for > GONE_BOUND).then_some(gone_for)
}

#[cfg(test)]
#[path = "judge_directory_tests.rs"]
mod tests;
