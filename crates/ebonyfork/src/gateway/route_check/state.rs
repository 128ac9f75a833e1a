//! Which versions other VMs have in force, and which routes are known to be the same there.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::{oneshot, watch};

use crate::gateway::ident::{ConfigVersion, RouteName};
use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberEntry, MemberSnapshot, MemberState};

/// What another VM says of a route; the default is that it knows nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RouteVerdict {
    pub(super) version: ConfigVersion,
    pub(super) mark: Option<u64>,
}

/// Whether a route may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteStanding {
    /// Nothing newer is known, or the route is the same there.
    Certain,
    /// A VM that has a newer version can be asked.
    Ask {
        newest: ConfigVersion,
        vm: VmAddress,
    },
    /// There is a newer version and nobody to ask.
    Unknown,
}

/// What is known of other VMs' configurations.
#[derive(Debug, Default)]
pub struct RouteChecks {
    /// The newest version that another VM has in force.
    newest: Cell<ConfigVersion>,
    /// The version in force here while there is a newer one elsewhere, and since when.
    behind: Cell<Option<(ConfigVersion, Instant)>>,
    /// The VMs that have the newest, of the own zone if any are.
    holders: RefCell<SmallVec<[VmAddress; 8]>>,
    /// Routes that are the same in a version as in this VM's own.
    same: RefCell<FxHashMap<RouteName, ConfigVersion>>,
    pending: RefCell<FxHashMap<u64, oneshot::Sender<RouteVerdict>>>,
    next: Cell<u64>,
    /// The version that this VM tells the others.
    told: watch::Sender<ConfigVersion>,
}

impl RouteChecks {
    /// Tells other VMs which version is in force here.
    pub fn tell_version(&self, version: ConfigVersion) {
        self.told.send_if_modified(|told| {
            let newer = version > *told;
            *told = version.max(*told);
            newer
        });
    }

    /// The version to tell other VMs, as it changes.
    pub fn told_version(&self) -> watch::Receiver<ConfigVersion> {
        self.told.subscribe()
    }

    /// Notes which versions the other VMs have in force.
    pub fn note_members(&self, members: &MemberSnapshot, own: VmAddress, zone: &ZoneName) {
        let others = members.members().iter();
        let usable: SmallVec<[_; 128]> = others
            .filter(|member| member.vm != own && member.state == MemberState::Alive)
            .collect();
        let newest = usable.iter().map(|member| member.digest.revision.0).max();
        let newest = newest.unwrap_or_default();
        let holds = |member: &&&MemberEntry| member.digest.revision.0 == newest;
        let holders: SmallVec<[_; 8]> = usable.iter().filter(holds).collect();
        let is_near = holders.iter().any(|member| member.zone == *zone);
        let mut nearest = self.holders.borrow_mut();
        nearest.clear();
        for member in holders {
            if is_near && member.zone != *zone {
                continue;
            }
            nearest.push(member.vm);
        }
        self.newest.set(ConfigVersion(newest));
    }

    /// Takes in which version is in force here.
    pub fn note_own(&self, own: ConfigVersion, now: Instant) {
        let since = match self.behind.get() {
            Some((version, since)) if version == own => since,
            _ => now,
        };
        let behind = self.newest.get() > own;
        self.behind.set(behind.then_some((own, since)));
    }

    /// Whether other VMs have had a newer version in force for longer than a change may take, so that the store would have
    /// told of it if it still held it.
    pub fn is_overdue(&self, own: ConfigVersion, now: Instant, bound: Duration) -> bool {
        let behind = self.behind.get();
        behind.is_some_and(|(version, since)| version == own && now >= since + bound)
    }

    /// Whether a route of the version in force may be served; `old` tells whether that may be an old one.
    pub(super) fn standing(
        &self,
        own: ConfigVersion,
        route: &RouteName,
        old: bool,
    ) -> RouteStanding {
        let newest = self.newest.get();
        if !old || newest <= own {
            return RouteStanding::Certain;
        }
        let known = self.same.borrow().get(route).copied();
        if known.is_some_and(|same| same >= newest) {
            return RouteStanding::Certain;
        }
        // One that does not answer is not asked by every request.
        match self.holders.borrow().choose(&mut rand::rng()) {
            Some(vm) => RouteStanding::Ask { newest, vm: *vm },
            None => RouteStanding::Unknown,
        }
    }

    /// Notes that a route is the same in a version as in this VM's own.
    pub(super) fn note_same(&self, route: &RouteName, version: ConfigVersion) {
        self.same.borrow_mut().insert(route.clone(), version);
    }

    /// Another version is in force here: what was known to be the same as the one before may not be the same as this one.
    pub fn forget_same(&self) {
        self.same.borrow_mut().clear();
    }

    /// Begins a question: its number, and where the verdict comes. Questions that nobody waits for any more are dropped: a
    /// caller may have left, and the VM that was asked may never answer.
    pub(super) fn begin(&self) -> (u64, oneshot::Receiver<RouteVerdict>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, verdict) = oneshot::channel();
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_number, asked| !asked.is_closed());
        pending.insert(number, sender);
        (number, verdict)
    }

    /// Questions without a verdict.
    #[cfg(test)]
    pub(super) fn open_questions(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Hands a verdict to the one who asked, unless that has ended.
    pub(super) fn settle(&self, number: u64, version: u64, mark: Option<u64>) {
        let Some(asked) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        let verdict = RouteVerdict {
            version: ConfigVersion(version),
            mark,
        };
        // The request may have ended just now.
        let _ended = asked.send(verdict);
    }
}
