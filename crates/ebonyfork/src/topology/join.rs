//! Merges the VM list and the state of membership into one view.
//!
//! The list lags and may be unavailable; membership is fast but covers only the deployment's own VMs, not upstreams.
//! For a VM that membership knows, membership takes precedence. A listed VM that membership does not know is included
//! for [`UNCONFIRMED_GRACE`], and for as long as no peer has answered at all, since the cause may then be this process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::{SessionId, UpstreamAddress, VmAddress, ZoneName};
use crate::membership::{MemberEntry, MemberSnapshot, MemberState};
use crate::topology::listed::{OWN_GROUP, VmRecord, VmState};
use crate::topology::view::{TopologyView, UpstreamEntry, VmEntry};

/// How long a listed VM is included although membership has never discovered it.
pub const UNCONFIRMED_GRACE: Duration = Duration::from_secs(10);
/// Time added to [`UNCONFIRMED_GRACE`] per listed VM: a larger fleet that starts at once takes longer to discover its
/// members.
const UNCONFIRMED_GRACE_PER_VM: Duration = Duration::from_millis(40);
/// How long an upstream's report that it is leaving overrides a list that shows it live; longer than the list lags.
pub const LEAVING_REPORT_AGE: Duration = Duration::from_mins(2);
/// The check for a list that shrinks by half applies only if the last list had at least this many items.
const MIN_SHRINK_CHECK_ITEMS: usize = 8;

/// Inputs of the topology view. Times are durations since the process started.
#[derive(Debug)]
pub struct TopologyJoin {
    own_session: SessionId,
    zone: ZoneName,
    /// The deployment's VMs on the last accepted list.
    vms: BTreeMap<VmAddress, ListedVm>,
    /// Upstreams on the last accepted list.
    upstreams: BTreeMap<UpstreamAddress, UpstreamEntry>,
    /// Upstreams that reported to be leaving, with the time of the report.
    leaving_reports: FxHashMap<UpstreamAddress, Duration>,
    /// Last snapshot of membership.
    member_snapshot: Arc<MemberSnapshot>,
    /// Whether the last list was rejected because it lacked more than half of the previous one.
    shrink_rejected: bool,
    /// View of the upstreams only, from which all views share them.
    upstream_view: TopologyView,
}

/// A VM of the deployment on the VM list.
#[derive(Debug)]
struct ListedVm {
    zone: ZoneName,
    leaving: bool,
    /// Start of the time for which the VM has been on the list without interruption.
    listed_since: Duration,
}

impl TopologyJoin {
    /// Creates the state with this process as the only VM.
    pub fn new(own_session: SessionId, zone: ZoneName) -> Self {
        Self {
            own_session,
            zone,
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            leaving_reports: FxHashMap::default(),
            member_snapshot: Arc::default(),
            shrink_rejected: false,
            upstream_view: TopologyView::default(),
        }
    }

    /// Applies a VM list that was read at `now` and returns whether it was accepted. A list with less than half the
    /// items of the previous one is rejected once and accepted only if the next read confirms it.
    pub fn apply_list(
        &mut self,
        now: Duration,
        records: impl IntoIterator<Item = VmRecord>,
    ) -> bool {
        let mut vms = BTreeMap::new();
        let mut upstreams = BTreeMap::new();
        for record in records {
            let leaving = record.state == VmState::Leaving;
            if record.group == OWN_GROUP {
                let vm = VmAddress(record.ip);
                let known_vm = self.vms.get(&vm);
                let listed_vm = ListedVm {
                    zone: record.zone,
                    leaving,
                    listed_since: known_vm.map_or(now, |known_vm| known_vm.listed_since),
                };
                vms.insert(vm, listed_vm);
                continue;
            }
            let Some(entry) = read_upstream(record, leaving) else {
                continue;
            };
            upstreams.insert(entry.upstream, entry);
        }
        let item_count_before = self.vms.len() + self.upstreams.len();
        let item_count_after = vms.len() + upstreams.len();
        self.shrink_rejected = !self.shrink_rejected
            && item_count_before >= MIN_SHRINK_CHECK_ITEMS
            && item_count_after * 2 < item_count_before;
        if self.shrink_rejected {
            return false;
        }
        self.remove_refuted_reports(now, &upstreams);
        self.vms = vms;
        self.upstreams = upstreams;
        self.rebuild_upstream_view();
        true
    }

    /// Applies a membership snapshot and returns whether anything other than digests has changed.
    pub fn apply_members(&mut self, member_snapshot: Arc<MemberSnapshot>) -> bool {
        let is_unchanged = member_snapshot.unreachable_vms()
            == self.member_snapshot.unreachable_vms()
            && member_snapshot.members().len() == self.member_snapshot.members().len()
            && member_snapshot
                .members()
                .iter()
                .zip(self.member_snapshot.members())
                .all(|(new, old)| {
                    (new.session(), new.state, &new.zone) == (old.session(), old.state, &old.zone)
                });
        self.member_snapshot = member_snapshot;
        !is_unchanged
    }

    /// Records that an upstream has reported at `now` that it is leaving.
    pub fn mark_leaving(&mut self, now: Duration, upstream: UpstreamAddress) {
        if self.leaving_reports.insert(upstream, now).is_none() {
            self.rebuild_upstream_view();
        }
    }

    /// Rebuilds the shared view of the upstreams.
    fn rebuild_upstream_view(&mut self) {
        let upstreams = self.upstreams.values().map(|entry| {
            let mut entry = entry.clone();
            entry.leaving |= self.leaving_reports.contains_key(&entry.upstream);
            entry
        });
        self.upstream_view = TopologyView::new([], upstreams);
    }

    /// Removes the leaving reports that a new list refutes: the upstream is not listed any more, is live again after it
    /// was listed as leaving, or is still listed as live [`LEAVING_REPORT_AGE`] after the report.
    fn remove_refuted_reports(
        &mut self,
        now: Duration,
        upstreams: &BTreeMap<UpstreamAddress, UpstreamEntry>,
    ) {
        let old_upstreams = &self.upstreams;
        self.leaving_reports.retain(|upstream, reported_at| {
            let Some(entry) = upstreams.get(upstream) else {
                return false;
            };
            let was_leaving = old_upstreams
                .get(upstream)
                .is_some_and(|entry| entry.leaving);
            let report_expired = now.saturating_sub(*reported_at) >= LEAVING_REPORT_AGE;
            entry.leaving || !(was_leaving || report_expired)
        });
    }

    /// Returns when the view changes without new input: when the grace of the next listed VM that membership does not
    /// know ends.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let unconfirmed_vms = self
            .vms
            .iter()
            .filter(|(vm, _)| self.member_snapshot.get(**vm).is_none());
        let grace_ends =
            unconfirmed_vms.map(|(_, listed_vm)| listed_vm.listed_since + self.unconfirmed_grace());
        grace_ends.filter(|grace_end| *grace_end > now).min()
    }

    /// Returns how long the view includes a listed VM that membership has not discovered; the time counts from its
    /// `listed_since`.
    fn unconfirmed_grace(&self) -> Duration {
        UNCONFIRMED_GRACE + UNCONFIRMED_GRACE_PER_VM * self.vms.len() as u32
    }

    /// Returns the deployment's VMs on the list, except the VM of this process.
    pub fn listed_peers(&self) -> Vec<VmAddress> {
        let peers = self.vms.keys().filter(|vm| **vm != self.own_session.vm);
        peers.copied().collect()
    }

    /// Returns the view at `now`.
    pub fn view(&self, now: Duration) -> TopologyView {
        let mut vms =
            Vec::with_capacity(self.vms.len().max(self.member_snapshot.members().len()) + 1);
        for member in self.member_snapshot.members() {
            if member.vm == self.own_session.vm || !member.state.is_present() {
                continue;
            }
            vms.push(self.member_entry(member));
        }
        for (vm, listed_vm) in &self.vms {
            if *vm == self.own_session.vm || !self.includes_unconfirmed(now, *vm, listed_vm) {
                continue;
            }
            vms.push(VmEntry {
                vm: *vm,
                zone: listed_vm.zone.clone(),
                incarnation: None,
                leaving: listed_vm.leaving,
            });
        }
        vms.push(self.own_entry());
        self.upstream_view.with_vms(vms)
    }

    /// Returns the view entry of this VM.
    fn own_entry(&self) -> VmEntry {
        let member = self.member_snapshot.get(self.own_session.vm);
        let announced_leaving = member.is_some_and(|member| member.state == MemberState::Leaving);
        let listed_vm = self.vms.get(&self.own_session.vm);
        VmEntry {
            vm: self.own_session.vm,
            zone: self.zone.clone(),
            incarnation: Some(self.own_session.incarnation),
            leaving: announced_leaving || listed_vm.is_some_and(|listed_vm| listed_vm.leaving),
        }
    }

    /// Returns the view entry of a VM that membership knows.
    fn member_entry(&self, member: &MemberEntry) -> VmEntry {
        let listed_vm = self.vms.get(&member.vm);
        VmEntry {
            vm: member.vm,
            zone: member.zone.clone(),
            incarnation: Some(member.incarnation),
            leaving: member.state == MemberState::Leaving
                || listed_vm.is_some_and(|listed_vm| listed_vm.leaving),
        }
    }

    /// Returns whether the view includes a listed VM that membership has not discovered; false if membership knows it.
    fn includes_unconfirmed(&self, now: Duration, vm: VmAddress, listed_vm: &ListedVm) -> bool {
        if self.member_snapshot.get(vm).is_some() || self.member_snapshot.is_unreachable(vm) {
            return false;
        }
        let mut member_entries = self.member_snapshot.members().iter();
        let any_peer_answered = member_entries.any(|member| member.vm != self.own_session.vm);
        !any_peer_answered || now.saturating_sub(listed_vm.listed_since) < self.unconfirmed_grace()
    }
}

/// Converts a list item to an upstream; returns none if it lacks a port or a valid service name.
fn read_upstream(record: VmRecord, leaving: bool) -> Option<UpstreamEntry> {
    let service = record.group.parse().ok()?;
    let port = record.port?;
    Some(UpstreamEntry {
        upstream: UpstreamAddress(std::net::SocketAddr::new(record.ip, port)),
        zone: record.zone,
        service,
        leaving,
    })
}

#[cfg(test)]
#[path = "join_tests.rs"]
mod tests;
