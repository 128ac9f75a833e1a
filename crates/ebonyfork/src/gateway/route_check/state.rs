//! Tracks the configuration versions of other VMs, the routes known to be the same in them, and pending route checks.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::{oneshot, watch};

use crate::gateway::ident::{ConfigVersion, RouteName};
use crate::gateway::organisation::CredentialDigest;
use crate::ident::{VmAddress, ZoneName};
use crate::membership::{MemberEntry, MemberSnapshot, MemberState};

/// Another VM's response to a route check. The default stands for a VM without a configuration, and for one that did
/// not respond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RouteState {
    /// The VM's configuration version in force; 0 if there is none.
    pub(super) version: ConfigVersion,
    /// Fingerprint of the route and of all routes whose path prefixes extend its own; none if there is no such route.
    pub(super) scope_mark: Option<u64>,
}

/// A route, and the credential of a caller that uses it; none if the route requires none.
pub(super) type RouteAccess = (RouteName, Option<CredentialDigest>);

/// Whether a route may be served without a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteFreshness {
    /// This VM's version is known to be current, no newer version is known, or the route is the same in the newer one.
    Current,
    /// The route has to be checked with a VM that has a newer version.
    CheckWith {
        /// The newest version that another VM has in force.
        newest_version: ConfigVersion,
        /// A VM that has the newest version in force.
        vm: VmAddress,
    },
    /// Another VM was known to have a newer version in force, but no live VM is known that has it, so the route can't
    /// be compared.
    Unknown,
}

/// The configuration versions that other VMs have in force, the routes known to match them, and pending route checks.
#[derive(Debug, Default)]
pub struct RouteChecks {
    /// The newest version that another VM has in force.
    newest_version: Cell<ConfigVersion>,
    /// The version in force on this VM, and since when another VM has had a newer one in force; none if no other VM
    /// has.
    behind_since: Cell<Option<(ConfigVersion, Instant)>>,
    /// The highest version that any other VM ever had in force, and when it was first announced here.
    highest_version: Cell<Option<(ConfigVersion, Instant)>>,
    /// The VMs that have the newest version in force; only those in this VM's zone if any of them are in it.
    holders: RefCell<SmallVec<[VmAddress; 8]>>,
    /// Routes that are the same in another VM's version as in this VM's own, each with that other version.
    matching_routes: RefCell<FxHashMap<RouteAccess, ConfigVersion>>,
    /// Requests without a response, by number, each with the sender that wakes its check.
    pending_requests: RefCell<FxHashMap<u64, oneshot::Sender<RouteState>>>,
    /// Number that the next request gets.
    next_number: Cell<u64>,
    /// The version that this VM announces to others.
    announced_version: watch::Sender<ConfigVersion>,
}

impl RouteChecks {
    /// Sets the version to announce to other VMs, unless a newer one is announced already.
    pub fn announce_version(&self, version: ConfigVersion) {
        self.announced_version.send_if_modified(|newest_announced| {
            let is_newer = version > *newest_announced;
            *newest_announced = version.max(*newest_announced);
            is_newer
        });
    }

    /// Returns a receiver of the version to announce to other VMs.
    pub fn announced_version(&self) -> watch::Receiver<ConfigVersion> {
        self.announced_version.subscribe()
    }

    /// Records the newest version that the live members of gossip other than `own_vm` have in force, and the VMs to
    /// check routes with; VMs in `zone` are preferred.
    pub fn note_members(&self, members: &MemberSnapshot, own_vm: VmAddress, zone: &ZoneName) {
        let member_entries = members.members().iter();
        let live_members: SmallVec<[_; 128]> = member_entries
            .filter(|member| member.vm != own_vm && member.state == MemberState::Alive)
            .collect();
        let newest_version = live_members
            .iter()
            .map(|member| member.digest.revision.0)
            .max();
        let newest_version = newest_version.unwrap_or_default();
        let has_newest = |member: &&&MemberEntry| member.digest.revision.0 == newest_version;
        let holders: SmallVec<[_; 8]> = live_members.iter().filter(has_newest).collect();
        let has_local_holder = holders.iter().any(|member| member.zone == *zone);
        let mut holders_to_ask = self.holders.borrow_mut();
        holders_to_ask.clear();
        for member in holders {
            if has_local_holder && member.zone != *zone {
                continue;
            }
            holders_to_ask.push(member.vm);
        }
        self.newest_version.set(ConfigVersion(newest_version));
    }

    /// Returns the newest version that another VM has in force.
    pub fn newest_version(&self) -> ConfigVersion {
        self.newest_version.get()
    }

    /// Records this VM's version in force, and since when another VM has had a newer one.
    pub fn note_own_version(&self, own_version: ConfigVersion, now: Instant) {
        let newest_version = self.newest_version.get();
        let highest_version = self.highest_version.get();
        if highest_version.is_none_or(|(version, _since)| newest_version > version) {
            self.highest_version.set(Some((newest_version, now)));
        }
        let behind_since = match self.behind_since.get() {
            Some((version, behind_since)) if version == own_version => behind_since,
            _ => now,
        };
        let is_behind = self.newest_version.get() > own_version;
        self.behind_since
            .set(is_behind.then_some((own_version, behind_since)));
    }

    /// Returns for how long another VM has had a newer version than this one; `None` if none has.
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        let (_version, since) = self.behind_since.get()?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns the time since another VM first announced a version newer than all before; `None` before gossip was heard.
    pub fn news_age(&self, now: Instant) -> Option<Duration> {
        let (_version, since) = self.highest_version.get()?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns whether another VM has had a newer version than `own_version` in force for at least `max_delay`, the
    /// time within which a change must be in force everywhere. If the store still held that version, this VM would have
    /// it by then.
    pub fn is_overdue(
        &self,
        own_version: ConfigVersion,
        now: Instant,
        max_delay: Duration,
    ) -> bool {
        let behind_since = self.behind_since.get();
        behind_since
            .is_some_and(|(version, since)| version == own_version && now >= since + max_delay)
    }

    /// Returns whether a route of this VM's version `own_version` may be served without a check. `may_be_outdated`
    /// states whether a newer version than `own_version` may exist.
    pub(super) fn freshness(
        &self,
        own_version: ConfigVersion,
        access: &RouteAccess,
        may_be_outdated: bool,
    ) -> RouteFreshness {
        let newest_version = self.newest_version.get();
        if !may_be_outdated || newest_version <= own_version {
            return RouteFreshness::Current;
        }
        let matching_version = self.matching_routes.borrow().get(access).copied();
        if matching_version.is_some_and(|version| version >= newest_version) {
            return RouteFreshness::Current;
        }
        // A random choice keeps requests from all waiting for one VM that does not respond.
        match self.holders.borrow().choose(&mut rand::rng()) {
            Some(vm) => RouteFreshness::CheckWith {
                newest_version,
                vm: *vm,
            },
            None => RouteFreshness::Unknown,
        }
    }

    /// Records that a route is the same in the version `version` of another VM as in this VM's own.
    pub(super) fn record_match(&self, access: RouteAccess, version: ConfigVersion) {
        self.matching_routes.borrow_mut().insert(access, version);
    }

    /// Drops all recorded matches, because the routes of a new version in force on this VM may differ from those that
    /// were compared.
    pub fn clear_matches(&self) {
        self.matching_routes.borrow_mut().clear();
    }

    /// Registers a request and returns its number and the receiver of the response. Drops earlier requests whose check
    /// has ended, because their caller disconnected or their timeout expired: the VM that was asked may never respond.
    pub(super) fn register_request(&self) -> (u64, oneshot::Receiver<RouteState>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, response) = oneshot::channel();
        let mut requests = self.pending_requests.borrow_mut();
        requests.retain(|_number, sender| !sender.is_closed());
        requests.insert(number, sender);
        (number, response)
    }

    /// Returns the number of requests without a response.
    #[cfg(test)]
    pub(super) fn pending_request_count(&self) -> usize {
        self.pending_requests.borrow().len()
    }

    /// Delivers a response to the request with this number, if it is still pending.
    pub(super) fn complete_request(&self, number: u64, version: u64, scope_mark: Option<u64>) {
        let Some(sender) = self.pending_requests.borrow_mut().remove(&number) else {
            return;
        };
        let response = RouteState {
            version: ConfigVersion(version),
            scope_mark,
        };
        // The receiver is gone if the check timed out or its caller disconnected.
        let _check_ended = sender.send(response);
    }
}
