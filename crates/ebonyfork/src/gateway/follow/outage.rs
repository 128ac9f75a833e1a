//! Decides whether the store is unavailable to all VMs.
//!
//! Load pattern: while the store is unavailable, entries of upstreams expire in it although the upstreams run. Once it
//! answers again, their removals have to be delayed. A VM that follows another one makes no calls of its own and may be the
//! next to read the store, so it also counts what the VMs that it followed report. The store may refuse one VM and
//! serve the others; removals that are delayed then would keep upstreams in use that are gone.

use std::time::Instant;

use smallvec::SmallVec;

use crate::ident::VmAddress;

/// Number of followed VMs whose calls to the store have to fail in turn for an outage to be assumed.
const MIN_FAILING_SOURCES: usize = 2;

/// Evidence that the store is unavailable, since the copy was last up to date.
#[derive(Debug, Default)]
pub(super) struct StoreOutage {
    /// Since when an outage is assumed.
    since: Option<Instant>,
    /// Followed VMs that reported failing calls.
    failing_sources: SmallVec<[VmAddress; 4]>,
}

impl StoreOutage {
    /// Returns since when an outage is assumed.
    pub(super) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Records that a call of this VM has failed. Returns whether an outage is assumed only from now on.
    pub(super) fn note_failed_call(&mut self, now: Instant) -> bool {
        let is_new = self.since.is_none();
        self.since.get_or_insert(now);
        is_new
    }

    /// Records that calls of a followed VM fail. Returns whether an outage is assumed only from now on.
    pub(super) fn note_failing_source(&mut self, vm: VmAddress, now: Instant) -> bool {
        if !self.failing_sources.contains(&vm) {
            self.failing_sources.push(vm);
        }
        self.failing_sources.len() >= MIN_FAILING_SOURCES && self.note_failed_call(now)
    }

    /// Records that the store answers, or that the copy is up to date. Returns whether an outage was assumed.
    pub(super) fn clear(&mut self) -> bool {
        self.failing_sources.clear();
        self.since.take().is_some()
    }
}

#[cfg(test)]
#[path = "outage_tests.rs"]
mod tests;
