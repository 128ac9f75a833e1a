//! Decides what a watcher writes to the store about the revisions that its zone's VMs hold, and when it does so.
//!
//! Evidence must never overstate what the VMs hold. A VM counts with the revision that it has shown last, and with zero
//! if it has shown none or its process has just started. A VM that vanishes from the view still counts for
//! [`FENCE_DELAY`]. By then it has either caught up, or found that it reaches neither the store nor peers and refuses
//! new work.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::{RevisionNumber, VmAddress, ZoneName};
use crate::topology::TopologyView;

use super::feed::FeedState;
use super::record::{HeadRecord, HeldEvidence, LAGGING_LIMIT, LaggingVm};
use super::restore::PROVISIONAL_TIME;

/// How long a VM that vanished without announcing its stop still counts as a member of its zone.
pub const FENCE_DELAY: Duration = Duration::from_secs(10);
/// How long VMs that vanished together still count. If they are cut off together, they still reach each other, so they
/// don't fence themselves and may go on using the revision they hold. Readers of the evidence leave out VMs that are no
/// longer in the VM list.
pub const GROUP_FENCE_DELAY: Duration = Duration::from_mins(10);
/// Interval at which evidence is written even if nothing has changed.
pub const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// How long a process must have run before evidence counts it with the revision it has shown; until then it counts with
/// zero, because a peer's revision may still replace its first one. [`PROVISIONAL_TIME`] begins only when the process
/// takes its first revision, so 2 s are added for the time from the start to then.
const SETTLE_TIME_MS: u64 = PROVISIONAL_TIME.as_millis() as u64 + 2_000;
/// Minimum time between two writes of evidence.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// A VM of the zone that evidence counts.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ZoneMember {
    /// Whether the VM has announced its stop.
    leaving: bool,
    /// Start time of the member's process in milliseconds since the Unix epoch, if membership has reported it.
    started_at_ms: Option<u64>,
    /// Set once the VM is no longer in the topology view.
    departure: Option<MemberDeparture>,
}

/// State of a member that is no longer in the topology view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MemberDeparture {
    /// When the VM was first missing from the view, as the `now` of [`EvidenceState::apply_topology`].
    departed_at: Duration,
    /// The revision that the member had shown last.
    last_shown: u64,
    /// Whether other members vanished at about the same time.
    in_group: bool,
}

impl ZoneMember {
    /// Returns whether the member's process is known to have run for less than [`SETTLE_TIME_MS`].
    fn has_just_started(&self, time_ms: u64) -> bool {
        self.started_at_ms
            .is_some_and(|started| started + SETTLE_TIME_MS > time_ms)
    }
}

/// Decides what the evidence of a zone says and when it is written.
#[derive(Debug, Clone)]
pub struct EvidenceState {
    own_vm: VmAddress,
    zone: ZoneName,
    members: FxHashMap<VmAddress, ZoneMember>,
    last_written: Option<HeldEvidence>,
    last_written_at: Option<Duration>,
}

impl EvidenceState {
    /// Creates a state without members.
    pub fn new(own_vm: VmAddress, zone: ZoneName) -> Self {
        Self {
            own_vm,
            zone,
            members: FxHashMap::default(),
            last_written: None,
            last_written_at: None,
        }
    }

    /// Applies a new topology view. Must run before the feed applies it, because the feed then forgets the revisions of
    /// vanished VMs.
    pub fn apply_topology(&mut self, now: Duration, view: &TopologyView, feed: &FeedState) {
        for entry in view.vms.values() {
            if entry.zone != self.zone {
                continue;
            }
            let member = ZoneMember {
                leaving: entry.leaving,
                started_at_ms: entry.incarnation.map(|incarnation| incarnation.0),
                departure: None,
            };
            self.members.insert(entry.vm, member);
        }
        for (vm, member) in &mut self.members {
            if !view.vms.contains_key(vm) && member.departure.is_none() {
                member.departure = Some(MemberDeparture {
                    departed_at: now,
                    last_shown: feed.shown_revision(*vm),
                    in_group: false,
                });
            }
        }
        self.mark_simultaneous_departures(now);
    }

    /// Sets `in_group` for the members that vanished within the last [`FENCE_DELAY`] without announcing their stop, if
    /// there are at least two of them.
    fn mark_simultaneous_departures(&mut self, now: Duration) {
        let mut recently_departed_vms = Vec::new();
        for (vm, member) in &self.members {
            let departure = member.departure.filter(|_| !member.leaving);
            if departure.is_some_and(|departure| now < departure.departed_at + FENCE_DELAY) {
                recently_departed_vms.push(*vm);
            }
        }
        if recently_departed_vms.len() < 2 {
            return;
        }
        for vm in recently_departed_vms {
            let member = self.members.get_mut(&vm);
            if let Some(departure) = member.and_then(|member| member.departure.as_mut()) {
                departure.in_group = true;
            }
        }
    }

    /// Returns the evidence to write if it has changed or must be refreshed.
    pub fn due_evidence(
        &mut self,
        now: Duration,
        time_ms: u64,
        held_head: HeadRecord,
        feed: &FeedState,
    ) -> Option<HeldEvidence> {
        if self
            .last_written_at
            .is_some_and(|at| now < at + MIN_WRITE_INTERVAL)
        {
            return None;
        }
        self.remove_departed_members(now);
        let evidence = self.build_evidence(time_ms, held_head, feed);
        let needs_refresh = self
            .last_written_at
            .is_none_or(|at| now >= at + REFRESH_PERIOD);
        let is_unchanged = |written: &HeldEvidence| {
            (written.held, written.vms) == (evidence.held, evidence.vms)
                && written.lagging == evidence.lagging
        };
        if !needs_refresh && self.last_written.as_ref().is_some_and(is_unchanged) {
            return None;
        }
        self.last_written = Some(evidence.clone());
        self.last_written_at = Some(now);
        Some(evidence)
    }

    /// Records that the last write of evidence may have failed, so that it is repeated.
    pub fn record_write_failure(&mut self) {
        self.last_written = None;
    }

    /// Removes the members that have been missing from the view for longer than they still count.
    fn remove_departed_members(&mut self, now: Duration) {
        self.members.retain(|_, member| {
            let Some(departure) = member.departure else {
                return true;
            };
            let departure_delay = if departure.in_group {
                GROUP_FENCE_DELAY
            } else {
                FENCE_DELAY
            };
            !member.leaving && now < departure.departed_at + departure_delay
        });
    }

    /// Builds the evidence from the revisions that the members have shown.
    fn build_evidence(&self, time_ms: u64, held: HeadRecord, feed: &FeedState) -> HeldEvidence {
        let mut lowest = held.revision;
        let mut lagging = Vec::new();
        let mut vms = u32::from(!self.members.contains_key(&self.own_vm));
        for (vm, member) in &self.members {
            vms += 1;
            let revision = match member.departure {
                _ if member.has_just_started(time_ms) => RevisionNumber(0),
                _ if *vm == self.own_vm => held.revision,
                Some(departure) => RevisionNumber(departure.last_shown),
                None => RevisionNumber(feed.shown_revision(*vm)),
            };
            if revision < held.revision {
                lagging.push(LaggingVm { vm: *vm, revision });
            }
            lowest = lowest.min(revision);
        }
        lagging.sort_by_key(|entry| (entry.revision, entry.vm));
        lagging.truncate(LAGGING_LIMIT);
        HeldEvidence {
            zone: self.zone.clone(),
            writer: self.own_vm,
            held,
            lowest,
            vms,
            lagging,
            time_ms,
        }
    }
}

#[cfg(test)]
#[path = "evidence_tests.rs"]
mod tests;
