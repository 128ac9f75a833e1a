//! What a zone's VMs hold, and when a watcher writes it to the store.
//!
//! Evidence must never claim more than is so. A VM counts with the number it has shown last, zero if it has shown
//! none or has just started. One that vanishes from the view counts on for [`FENCE_DELAY`]: by then it has found that it reaches neither
//! store nor peers and refuses new work, or it has caught up.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::{RevisionNumber, VmAddress, ZoneName};
use crate::topology::TopologyView;

use super::feed::FeedState;
use super::record::{HeadRecord, HeldEvidence, LAGGING_LIMIT, LaggingVm};
use super::restore::PROVISIONAL_TIME;

/// How long a VM that vanished without announcing it still counts as a member of its zone.
pub const FENCE_DELAY: Duration = Duration::from_secs(10);
/// How long VMs that vanished together still count: cut off with each other they aren't fenced and may go on working
/// with what they hold. Who reads the evidence leaves out those that the VM list no longer shows.
pub const GROUP_DELAY: Duration = Duration::from_mins(10);
/// How often evidence is written although nothing has changed.
pub const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// How long a process has to run before what it holds counts: its first revision may still give way to a peer's.
const SETTLE_MS: u64 = PROVISIONAL_TIME.as_millis() as u64 + 2_000;
/// Shortest time between two writings.
const WRITE_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, PartialEq, Eq)]
struct ZoneMember {
    leaving: bool,
    /// When its process started, in milliseconds since the Unix epoch, as far as membership has learned.
    started_ms: Option<u64>,
    departed: Option<MemberDeparture>,
}

/// A member that the view no longer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MemberDeparture {
    since: Duration,
    /// What it had shown last.
    shown: u64,
    /// Whether others vanished with it.
    grouped: bool,
}

impl ZoneMember {
    fn has_just_started(&self, time_ms: u64) -> bool {
        self.started_ms
            .is_some_and(|started| started + SETTLE_MS > time_ms)
    }
}

/// Decides what evidence says and when it is written.
#[derive(Debug, Clone)]
pub struct EvidenceState {
    own: VmAddress,
    zone: ZoneName,
    members: FxHashMap<VmAddress, ZoneMember>,
    written: Option<HeldEvidence>,
    written_at: Option<Duration>,
}

impl EvidenceState {
    /// Starts without members.
    pub fn new(own: VmAddress, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            members: FxHashMap::default(),
            written: None,
            written_at: None,
        }
    }

    /// Takes a new view of the topology, before the feed does.
    pub fn take_topology(&mut self, now: Duration, view: &TopologyView, feed: &FeedState) {
        for entry in view.vms.values() {
            if entry.zone != self.zone {
                continue;
            }
            let member = ZoneMember {
                leaving: entry.leaving,
                started_ms: entry.incarnation.map(|incarnation| incarnation.0),
                departed: None,
            };
            self.members.insert(entry.vm, member);
        }
        for (vm, member) in &mut self.members {
            if !view.vms.contains_key(vm) && member.departed.is_none() {
                member.departed = Some(MemberDeparture {
                    since: now,
                    shown: feed.shown(*vm),
                    grouped: false,
                });
            }
        }
        self.mark_groups(now);
    }

    /// Marks VMs that vanished without notice within one fence delay of each other.
    fn mark_groups(&mut self, now: Duration) {
        let mut recent = Vec::new();
        for (vm, member) in &self.members {
            let departed = member.departed.filter(|_| !member.leaving);
            if departed.is_some_and(|departed| now < departed.since + FENCE_DELAY) {
                recent.push(*vm);
            }
        }
        if recent.len() < 2 {
            return;
        }
        for vm in recent {
            let member = self.members.get_mut(&vm);
            if let Some(departed) = member.and_then(|member| member.departed.as_mut()) {
                departed.grouped = true;
            }
        }
    }

    /// Returns evidence that is due to be written.
    pub fn due(
        &mut self,
        now: Duration,
        time_ms: u64,
        held: HeadRecord,
        feed: &FeedState,
    ) -> Option<HeldEvidence> {
        if self.written_at.is_some_and(|at| now < at + WRITE_PERIOD) {
            return None;
        }
        self.forget_departed(now);
        let evidence = self.evidence(time_ms, held, feed);
        let refresh = self.written_at.is_none_or(|at| now >= at + REFRESH_PERIOD);
        let same = |written: &HeldEvidence| {
            (written.held, written.vms) == (evidence.held, evidence.vms)
                && written.lagging == evidence.lagging
        };
        if !refresh && self.written.as_ref().is_some_and(same) {
            return None;
        }
        self.written = Some(evidence.clone());
        self.written_at = Some(now);
        Some(evidence)
    }

    /// Notes that the last evidence may not have arrived.
    pub fn note_failure(&mut self) {
        self.written = None;
    }

    fn forget_departed(&mut self, now: Duration) {
        self.members.retain(|_, member| {
            let Some(departed) = member.departed else {
                return true;
            };
            let delay = if departed.grouped {
                GROUP_DELAY
            } else {
                FENCE_DELAY
            };
            !member.leaving && now < departed.since + delay
        });
    }

    fn evidence(&self, time_ms: u64, held: HeadRecord, feed: &FeedState) -> HeldEvidence {
        let mut lowest = held.revision;
        let mut lagging = Vec::new();
        let mut vms = u32::from(!self.members.contains_key(&self.own));
        for (vm, member) in &self.members {
            vms += 1;
            let revision = match member.departed {
                _ if member.has_just_started(time_ms) => RevisionNumber(0),
                _ if *vm == self.own => held.revision,
                Some(departed) => RevisionNumber(departed.shown),
                None => RevisionNumber(feed.shown(*vm)),
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
            writer: self.own,
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
