//! Tracks the configuration versions of other VMs, and the routes known to be the same there.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::{oneshot, watch};

use crate::gateway::ident::{ConfigVersion, RouteName};
use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberEntry, MemberSnapshot, MemberState};

/// The version and route that a VM has in force; the default means that it knows nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RouteState {
    pub(super) version: ConfigVersion,
    pub(super) scope_mark: Option<u64>,
}

/// Whether a route may be served without a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteFreshness {
    /// No newer version is known, or the route is the same there.
    Current,
    /// The route has to be checked with a VM that has a newer version.
    CheckWith {
        newest: ConfigVersion,
        vm: VmAddress,
    },
    /// There is a newer version, but no VM to check with.
    Unknown,
}

/// Knowledge of other VMs' configurations, and pending route checks.
#[derive(Debug, Default)]
pub struct RouteChecks {
    /// The newest version that another VM has in force.
    newest: Cell<ConfigVersion>,
    /// This VM's version in force while another VM has a newer one, and since when.
    behind: Cell<Option<(ConfigVersion, Instant)>>,
    /// The VMs that have the newest version, limited to the own zone if any of them is in it.
    holders: RefCell<SmallVec<[VmAddress; 8]>>,
    /// Routes that are the same in another VM's version as in this VM's own.
    matching: RefCell<FxHashMap<RouteName, ConfigVersion>>,
    pending: RefCell<FxHashMap<u64, oneshot::Sender<RouteState>>>,
    next: Cell<u64>,
    /// The version that this VM announces to others.
    announced: watch::Sender<ConfigVersion>,
}

impl RouteChecks {
    /// Announces the version in force here to other VMs.
    pub fn announce_version(&self, version: ConfigVersion) {
        self.announced.send_if_modified(|announced| {
            let newer = version > *announced;
            *announced = version.max(*announced);
            newer
        });
    }

    /// Subscribes to the version to announce to other VMs.
    pub fn announced_version(&self) -> watch::Receiver<ConfigVersion> {
        self.announced.subscribe()
    }

    /// Records the versions that other VMs have in force.
    pub fn note_members(&self, members: &MemberSnapshot, own: VmAddress, zone: &ZoneName) {
        let others = members.members().iter();
        let usable: SmallVec<[_; 128]> = others
            .filter(|member| member.vm != own && member.state == MemberState::Alive)
            .collect();
        let newest = usable.iter().map(|member| member.digest.revision.0).max();
        let newest = newest.unwrap_or_default();
        let holds = |member: &&&MemberEntry| member.digest.revision.0 == newest;
        let holders: SmallVec<[_; 8]> = usable.iter().filter(holds).collect();
        let has_local_holder = holders.iter().any(|member| member.zone == *zone);
        let mut holders_to_ask = self.holders.borrow_mut();
        holders_to_ask.clear();
        for member in holders {
            if has_local_holder && member.zone != *zone {
                continue;
            }
            holders_to_ask.push(member.vm);
        }
        self.newest.set(ConfigVersion(newest));
    }

    /// Records the version in force here.
    pub fn note_own_version(&self, own: ConfigVersion, now: Instant) {
        let since = match self.behind.get() {
            Some((version, since)) if version == own => since,
            _ => now,
        };
        let behind = self.newest.get() > own;
        self.behind.set(behind.then_some((own, since)));
    }

    /// Returns whether other VMs have had a newer version in force for longer than the change bound `bound`. If the
    /// store still held that version, this VM would have received it by then.
    pub fn is_overdue(&self, own: ConfigVersion, now: Instant, bound: Duration) -> bool {
        let behind = self.behind.get();
        behind.is_some_and(|(version, since)| version == own && now >= since + bound)
    }

    /// Returns whether a route of the version in force may be served; `outdated` states whether that version may not be
    /// the newest one.
    pub(super) fn freshness(
        &self,
        own: ConfigVersion,
        route: &RouteName,
        outdated: bool,
    ) -> RouteFreshness {
        let newest = self.newest.get();
        if !outdated || newest <= own {
            return RouteFreshness::Current;
        }
        let known = self.matching.borrow().get(route).copied();
        if known.is_some_and(|matching| matching >= newest) {
            return RouteFreshness::Current;
        }
        // A random choice keeps requests from all waiting for one VM that does not respond.
        match self.holders.borrow().choose(&mut rand::rng()) {
            Some(vm) => RouteFreshness::CheckWith { newest, vm: *vm },
            None => RouteFreshness::Unknown,
        }
    }

    /// Records that a route is the same in another VM's version as in this VM's own.
    pub(super) fn record_match(&self, route: &RouteName, version: ConfigVersion) {
        self.matching.borrow_mut().insert(route.clone(), version);
    }

    /// Drops all matches, because a new version in force here may differ from the one that they were recorded for.
    pub fn clear_matches(&self) {
        self.matching.borrow_mut().clear();
    }

    /// Registers a request and returns its number and the receiver of the response. Requests that nobody waits for any
    /// more are dropped, since a caller may have gone and the VM that was asked may never respond.
    pub(super) fn register_request(&self) -> (u64, oneshot::Receiver<RouteState>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, response) = oneshot::channel();
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_number, sender| !sender.is_closed());
        pending.insert(number, sender);
        (number, response)
    }

    /// Returns the number of requests without a response.
    #[cfg(test)]
    pub(super) fn pending_requests(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Delivers a response to the request with this number, if it is still pending.
    pub(super) fn complete_request(&self, number: u64, version: u64, scope_mark: Option<u64>) {
        let Some(sender) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        let response = RouteState {
            version: ConfigVersion(version),
            scope_mark,
        };
        // The request may have ended in the meantime.
        let _ended = sender.send(response);
    }
}
