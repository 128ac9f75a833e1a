//! Joins the VM list with what membership has learnt into one view.
//!
//! The list lags and has outages; membership is quick but knows only our own VMs. Membership's word about a VM goes
//! first. A listed VM that membership has never heard of is trusted for [`UNHEARD_GRACE`], and for as long as no peer
//! at all has answered: then the fault may be our own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::{SessionId, UpstreamAddress, VmAddress, ZoneName};
use crate::membership::{MemberEntry, MemberSnapshot, MemberState};
use crate::topology::listed::{OWN_GROUP, VmRecord, VmState};
use crate::topology::view::{TopologyView, UpstreamEntry, VmEntry};

/// How long a listed VM is used that has never answered membership.
pub const UNHEARD_GRACE: Duration = Duration::from_secs(10);
/// How much longer for each VM on the list: when all start at once, they need longer to hear of each other.
const UNHEARD_GRACE_EACH: Duration = Duration::from_millis(40);
/// How long a sign of leaving counts against a list that goes on saying live: longer than the list lags.
pub const LEAVING_SIGN_AGE: Duration = Duration::from_mins(2);
/// Lists shorter than this are believed whatever they lack.
const DOUBT_SIZE: usize = 8;

/// State of the join. Times are spans since the process started.
#[derive(Debug)]
pub struct TopologyJoin {
    own: SessionId,
    zone: ZoneName,
    vms: BTreeMap<VmAddress, ListedVm>,
    upstreams: BTreeMap<UpstreamAddress, UpstreamEntry>,
    signs: FxHashMap<UpstreamAddress, Duration>,
    members: Arc<MemberSnapshot>,
    doubted: bool,
    /// The upstreams as the views share them, without VMs.
    shared: TopologyView,
}

#[derive(Debug)]
struct ListedVm {
    zone: ZoneName,
    leaving: bool,
    first_listed: Duration,
}

impl TopologyJoin {
    /// A join that knows only its own process.
    pub fn new(own: SessionId, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            signs: FxHashMap::default(),
            members: Arc::default(),
            doubted: false,
            shared: TopologyView::default(),
        }
    }

    /// Takes in a VM list that was read at `now`. One that lacks more than half of what the last one had is believed
    /// only when the next read bears it out; returns whether it was believed.
    pub fn take_list(
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
                let known = self.vms.get(&vm);
                let listed = ListedVm {
                    zone: record.zone,
                    leaving,
                    first_listed: known.map_or(now, |known| known.first_listed),
                };
                vms.insert(vm, listed);
                continue;
            }
            let Some(entry) = read_upstream(record, leaving) else {
                continue;
            };
            upstreams.insert(entry.upstream, entry);
        }
        let before = self.vms.len() + self.upstreams.len();
        let after = vms.len() + upstreams.len();
        self.doubted = !self.doubted && before >= DOUBT_SIZE && after * 2 < before;
        if self.doubted {
            return false;
        }
        self.age_signs(now, &upstreams);
        self.vms = vms;
        self.upstreams = upstreams;
        self.share_upstreams();
        true
    }

    /// Takes in what membership has learnt, and tells whether anything but digests has changed.
    pub fn take_members(&mut self, members: Arc<MemberSnapshot>) -> bool {
        let same = members.members().len() == self.members.members().len()
            && members
                .members()
                .iter()
                .zip(self.members.members())
                .all(|(new, old)| {
                    (new.session(), new.state, &new.zone) == (old.session(), old.state, &old.zone)
                });
        self.members = members;
        !same
    }

    /// Notes at `now` that an upstream has said that it leaves.
    pub fn note_leaving(&mut self, now: Duration, upstream: UpstreamAddress) {
        if self.signs.insert(upstream, now).is_none() {
            self.share_upstreams();
        }
    }

    fn share_upstreams(&mut self) {
        let upstreams = self.upstreams.values().map(|entry| {
            let mut entry = entry.clone();
            entry.leaving |= self.signs.contains_key(&entry.upstream);
            entry
        });
        self.shared = TopologyView::new([], upstreams);
    }

    /// Drops the signs that a new list refutes: the upstream is gone, is live again after it was shown leaving, or is
    /// still shown live long after the sign.
    fn age_signs(&mut self, now: Duration, upstreams: &BTreeMap<UpstreamAddress, UpstreamEntry>) {
        let before = &self.upstreams;
        self.signs.retain(|upstream, noted| {
            let Some(entry) = upstreams.get(upstream) else {
                return false;
            };
            let returned = before.get(upstream).is_some_and(|entry| entry.leaving);
            let aged = now.saturating_sub(*noted) >= LEAVING_SIGN_AGE;
            entry.leaving || !(returned || aged)
        });
    }

    /// When the view will change by itself: the next listed VM that has not been heard of loses its grace.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let unheard = self
            .vms
            .iter()
            .filter(|(vm, _)| self.members.get(**vm).is_none());
        let ends = unheard.map(|(_, listed)| listed.first_listed + self.unheard_grace());
        ends.filter(|end| *end > now).min()
    }

    fn unheard_grace(&self) -> Duration {
        UNHEARD_GRACE + UNHEARD_GRACE_EACH * self.vms.len() as u32
    }

    /// Our VMs on the list, the own one left out.
    pub fn listed_peers(&self) -> Vec<VmAddress> {
        let peers = self.vms.keys().filter(|vm| **vm != self.own.vm);
        peers.copied().collect()
    }

    /// Builds the view at `now`.
    pub fn view(&self, now: Duration) -> TopologyView {
        let mut vms = Vec::with_capacity(self.vms.len().max(self.members.members().len()) + 1);
        for member in self.members.members() {
            if member.vm == self.own.vm || !member.state.is_present() {
                continue;
            }
            vms.push(self.present_entry(member));
        }
        for (vm, listed) in &self.vms {
            if *vm == self.own.vm || !self.trusts_unheard(now, *vm, listed) {
                continue;
            }
            vms.push(VmEntry {
                vm: *vm,
                zone: listed.zone.clone(),
                incarnation: None,
                leaving: listed.leaving,
            });
        }
        vms.push(self.own_entry());
        self.shared.with_vms(vms)
    }

    fn own_entry(&self) -> VmEntry {
        let member = self.members.get(self.own.vm);
        let announced = member.is_some_and(|member| member.state == MemberState::Leaving);
        let listed = self.vms.get(&self.own.vm);
        VmEntry {
            vm: self.own.vm,
            zone: self.zone.clone(),
            incarnation: Some(self.own.incarnation),
            leaving: announced || listed.is_some_and(|listed| listed.leaving),
        }
    }

    fn present_entry(&self, member: &MemberEntry) -> VmEntry {
        let listed = self.vms.get(&member.vm);
        VmEntry {
            vm: member.vm,
            zone: member.zone.clone(),
            incarnation: Some(member.incarnation),
            leaving: member.state == MemberState::Leaving
                || listed.is_some_and(|listed| listed.leaving),
        }
    }

    /// Tells whether a listed VM that membership does not know is used all the same.
    fn trusts_unheard(&self, now: Duration, vm: VmAddress, listed: &ListedVm) -> bool {
        if self.members.get(vm).is_some() {
            return false;
        }
        let mut peers = self.members.members().iter();
        let peers_answer = peers.any(|member| member.vm != self.own.vm);
        !peers_answer || now.saturating_sub(listed.first_listed) < self.unheard_grace()
    }
}

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
