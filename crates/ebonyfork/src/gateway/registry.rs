//! Registered upstreams, indexed by service.
//!
//! Entries come from the store's mirror. While the store is unavailable, nothing is known about which upstreams are
//! alive: the last known entries are kept, and connections reveal the upstreams that are gone. Once the store is back,
//! entries that expired in the meantime reappear within about two seconds, so a missing entry is kept for that long. A
//! store that was restored from an older copy may lack an evacuation that it had acknowledged. The evacuation stays in
//! force until it has been written again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::gateway::ident::{PlaceName, UpstreamIncarnation, UpstreamService};
use crate::gateway::upstream::{Upstream, UpstreamEntry};

/// How long after the store's return a missing entry is kept. Upstreams that are alive have registered again after
/// about 2 s.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Time after the first read of the store by which most upstreams are likely to have registered. They return evenly
/// spread over [`RETURN_GRACE`], so with two or three replicas per shard half of it brings back three quarters of the
/// shards.
const LIKELY_RETURN_TIME: Duration = Duration::from_millis(1_150);

/// How long an evacuation stays in force after a store restored from an older copy has lost it. The operators write it
/// again within seconds. An evacuation that they had ended just before the loss ends after this time.
const LOST_EVACUATION_GRACE: Duration = Duration::from_secs(10);

/// How long departed incarnations are remembered. Must exceed the age of any copy from which the store is restored.
const DEPARTED_RETENTION: Duration = Duration::from_mins(1);
/// How long an entry is withheld that an older copy of the store brought back after its upstream had left. The store
/// expires an entry after three missed heartbeats, 3.6 s where the heartbeat interval is stated.
const WITHHOLD_TIME: Duration = Duration::from_secs(5);

/// Period after the first read of the store during which upstreams that it lacked may still register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettlingTime {
    /// Time by which most of the missing upstreams are likely to have registered.
    pub likely_by: Instant,
    /// Time from which missing upstreams count as gone.
    pub until: Instant,
}

/// List of upstreams, usually those of one service.
pub type UpstreamList = SmallVec<[Rc<Upstream>; 4]>;

/// Incarnation of an upstream whose entry was removed.
#[derive(Debug)]
struct DepartedIncarnation {
    incarnation: UpstreamIncarnation,
    removed_at: Instant,
}

/// Entry that is not used yet because its upstream had left before the store was restored.
#[derive(Debug)]
struct WithheldEntry {
    entry: UpstreamEntry,
    connection_share: usize,
    until: Instant,
}

/// Registered upstreams, by the store key of their entry and by service.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    entries: RefCell<FxHashMap<CompactString, Rc<Upstream>>>,
    services: RefCell<FxHashMap<UpstreamService, UpstreamList>>,
    /// Entries that are missing since the store came back, with the time at which they count as gone.
    missing_until: RefCell<FxHashMap<CompactString, Instant>>,
    /// Time until which a missing entry may still reappear.
    return_deadline: Cell<Option<Instant>>,
    /// Time at which the store was first read whole.
    first_read: Cell<Option<Instant>>,
    /// Evacuated availability zones, whose upstreams get no new requests. If the store has lost an evacuation, the
    /// value is the time at which it ends.
    evacuated_zones: RefCell<FxHashMap<PlaceName, Option<Instant>>>,
    /// Incarnations that have left recently, by the store key of their entry.
    departed_incarnations: RefCell<FxHashMap<CompactString, DepartedIncarnation>>,
    /// Entries of departed incarnations that an older copy of the store brought back.
    withheld_entries: RefCell<FxHashMap<CompactString, WithheldEntry>>,
    /// Notified when an entry is added.
    entry_added: Notify,
}

impl UpstreamRegistry {
    /// Creates a registry without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the upstreams of a service.
    pub fn upstreams(&self, service: &UpstreamService) -> UpstreamList {
        let services = self.services.borrow();
        services.get(service).cloned().unwrap_or_default()
    }

    /// Returns whether the entry under a key states that its upstream is cold.
    pub fn is_stated_cold(&self, key: &str, now: Instant) -> bool {
        let entries = self.entries.borrow();
        let upstream = entries.get(key);
        upstream.is_some_and(|upstream| upstream.is_stated_cold(now))
    }

    /// Calls a function with each upstream.
    pub fn for_each(&self, mut visit: impl FnMut(&Upstream)) {
        for upstream in self.entries.borrow().values() {
            visit(upstream);
        }
    }

    /// Evacuates an availability zone on behalf of the operators: its upstreams get no new requests. Requests in flight
    /// there are allowed to finish.
    pub fn evacuate(&self, zone: &PlaceName) {
        self.evacuated_zones.borrow_mut().insert(zone.clone(), None);
        self.set_evacuated(zone, true);
    }

    /// Keeps an evacuation in force for a limited time because a store restored from an older copy lacks it.
    pub fn keep_evacuated(&self, zone: &PlaceName, now: Instant) {
        let mut zone_ends = self.evacuated_zones.borrow_mut();
        let Some(ends_at) = zone_ends.get_mut(zone) else {
            return;
        };
        log::info!(
            target: "ebonyfork::decision",
            "zone {zone} kept evacuated: the store has lost the evacuation"
        );
        *ends_at = Some(now + LOST_EVACUATION_GRACE);
    }

    /// Returns the zones whose evacuation the store has lost and nobody has written again in time.
    pub fn lapsed_evacuations(&self, now: Instant) -> Vec<PlaceName> {
        let zone_ends = self.evacuated_zones.borrow();
        let lapsed_zones = zone_ends
            .iter()
            .filter(|(_zone, ends_at)| ends_at.is_some_and(|ends_at| ends_at <= now));
        lapsed_zones.map(|(zone, _ends_at)| zone.clone()).collect()
    }

    /// Ends an evacuation: the upstreams of the zone may get requests again.
    pub fn end_evacuation(&self, zone: &PlaceName) {
        self.evacuated_zones.borrow_mut().remove(zone);
        self.set_evacuated(zone, false);
    }

    fn set_evacuated(&self, zone: &PlaceName, evacuated: bool) {
        let mut upstreams = 0;
        self.for_each(|upstream| {
            if upstream.entry().zone == *zone {
                upstream.set_evacuated(evacuated);
                upstreams += 1;
            }
        });
        log::info!(
            target: "ebonyfork::decision",
            "zone {zone} evacuated={evacuated} upstreams={upstreams}"
        );
    }

    /// Returns the zones whose upstreams get no new requests.
    #[cfg(test)]
    pub fn evacuated_zones(&self) -> rustc_hash::FxHashSet<PlaceName> {
        self.evacuated_zones.borrow().keys().cloned().collect()
    }

    fn is_evacuated(&self, zone: &PlaceName) -> bool {
        self.evacuated_zones.borrow().contains_key(zone)
    }

    /// Records that the whole store has been read.
    pub fn record_read(&self, now: Instant) {
        if self.first_read.get().is_none() {
            self.first_read.set(Some(now));
        }
    }

    /// Returns whether the store has not been read whole yet.
    pub fn is_first_read(&self) -> bool {
        self.first_read.get().is_none()
    }

    /// Returns the settling period if upstreams that the first read lacked may still register: the store may have
    /// returned from an outage just before this process started.
    pub fn settling(&self, now: Instant) -> Option<SettlingTime> {
        let first_read = self.first_read.get()?;
        let settling = SettlingTime {
            likely_by: first_read + LIKELY_RETURN_TIME,
            until: first_read + RETURN_GRACE,
        };
        (now < settling.until).then_some(settling)
    }

    /// Waits until an entry is added.
    pub async fn wait_for_new_entry(&self) {
        self.entry_added.notified().await;
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_return(&self, now: Instant) {
        self.return_deadline.set(Some(now + RETURN_GRACE));
    }

    /// Keeps missing entries for a time because the VM that this one follows keeps them after an outage of the store.
    /// Returns false if this VM keeps missing entries already.
    pub fn keep_missing_entries(&self, grace: Duration, now: Instant) -> bool {
        if self
            .return_deadline
            .get()
            .is_some_and(|deadline| now < deadline)
        {
            return false;
        }
        self.return_deadline
            .set(Some(now + grace.min(RETURN_GRACE)));
        true
    }

    /// Adds or updates an entry. `connection_share` is the number of connections that this process may hold to the
    /// upstream.
    pub fn put(
        &self,
        key: &CompactString,
        entry: UpstreamEntry,
        now: Instant,
        connection_share: usize,
    ) {
        self.missing_until.borrow_mut().remove(key);
        self.withheld_entries.borrow_mut().remove(key);
        self.departed_incarnations.borrow_mut().remove(key);
        let is_evacuated = self.is_evacuated(&entry.zone);
        let known_upstream = self.entries.borrow().get(key).cloned();
        if let Some(known_upstream) = known_upstream {
            let is_same_incarnation = {
                let known_entry = known_upstream.entry();
                // Detects a crash and restart within one heartbeat interval, which nothing else reveals: connections,
                // latency samples and lost requests of the previous incarnation must not be attributed to the new one.
                known_entry.incarnation() == entry.incarnation()
                    && known_entry.address == entry.address
                    && known_entry.service == entry.service
            };
            if is_same_incarnation {
                log_leaving_change(&known_upstream, &entry);
                known_upstream.update(entry, now);
                known_upstream.set_evacuated(is_evacuated);
                return;
            }
            self.drop_entry(key, "replaced");
        }
        log::info!(
            target: "ebonyfork::decision",
            "upstream add instance={} service={} address={} zone={} leaving={}",
            entry.incarnation(), entry.service, entry.address, entry.zone, entry.leaving
        );
        let service = entry.service.clone();
        let upstream = Rc::new(Upstream::new(entry, now, connection_share));
        upstream.set_evacuated(is_evacuated);
        let mut services = self.services.borrow_mut();
        services
            .entry(service)
            .or_default()
            .push(Rc::clone(&upstream));
        self.entries.borrow_mut().insert(key.clone(), upstream);
        self.entry_added.notify_waiters();
    }

    /// Adds or updates an entry from a store restored from an older copy. What this process has since learnt about the
    /// same incarnation takes precedence: that it is leaving, and for a limited time that it has left.
    pub fn put_restored(
        &self,
        key: &CompactString,
        entry: UpstreamEntry,
        now: Instant,
        connection_share: usize,
    ) {
        if self.is_older(key, &entry) {
            self.missing_until.borrow_mut().remove(key);
            log::info!(
                target: "ebonyfork::decision",
                "upstream entry older instance={} heartbeats={} leaving={}: keeping the newer entry",
                entry.incarnation(), entry.heartbeats, entry.leaving
            );
            return;
        }
        if !self.has_departed(key, &entry, now) {
            self.put(key, entry, now, connection_share);
            return;
        }
        log::info!(
            target: "ebonyfork::decision",
            "upstream withheld instance={}: it had left before the store was restored from an older copy",
            entry.incarnation()
        );
        let withheld_entry = WithheldEntry {
            entry,
            connection_share,
            until: now + WITHHOLD_TIME,
        };
        self.withheld_entries
            .borrow_mut()
            .insert(key.clone(), withheld_entry);
    }

    /// Returns whether the same incarnation has written a newer entry. If both have the same number of heartbeats, the
    /// one that is leaving is newer, since no upstream revokes that.
    fn is_older(&self, key: &CompactString, entry: &UpstreamEntry) -> bool {
        let entries = self.entries.borrow();
        let known_entry = entries.get(key).map(|upstream| upstream.entry());
        known_entry.is_some_and(|known_entry| {
            let is_newer = known_entry.heartbeats > entry.heartbeats;
            let has_announced_leaving =
                known_entry.heartbeats == entry.heartbeats && known_entry.leaving;
            known_entry.incarnation() == entry.incarnation() && (is_newer || has_announced_leaving)
        })
    }

    fn has_departed(&self, key: &CompactString, entry: &UpstreamEntry, now: Instant) -> bool {
        let departures = self.departed_incarnations.borrow();
        departures.get(key).is_some_and(|departure| {
            let is_recent = now < departure.removed_at + DEPARTED_RETENTION;
            is_recent && departure.incarnation == entry.incarnation()
        })
    }

    /// Removes an entry that no longer names an upstream, even if missing entries are currently kept.
    pub fn remove_invalid(&self, key: &CompactString) {
        self.withheld_entries.borrow_mut().remove(key);
        self.drop_entry(key, "its entry no longer names an upstream");
    }

    /// Handles the removal of an entry from the store.
    pub fn remove(&self, key: &CompactString, now: Instant) {
        self.withheld_entries.borrow_mut().remove(key);
        let return_deadline = self
            .return_deadline
            .get()
            .filter(|deadline| now < *deadline);
        if let Some(deadline) = return_deadline {
            self.keep_missing(key, deadline);
            return;
        }
        self.record_departed(key, now);
        self.drop_entry(key, "removed");
    }

    fn record_departed(&self, key: &CompactString, now: Instant) {
        let entries = self.entries.borrow();
        let Some(upstream) = entries.get(key) else {
            return;
        };
        let departure = DepartedIncarnation {
            incarnation: upstream.entry().incarnation(),
            removed_at: now,
        };
        self.departed_incarnations
            .borrow_mut()
            .insert(key.clone(), departure);
    }

    fn keep_missing(&self, key: &CompactString, deadline: Instant) {
        if !self.entries.borrow().contains_key(key) || self.missing_until.borrow().contains_key(key)
        {
            return;
        }
        log::info!(
            target: "ebonyfork::decision",
            "upstream held key={key}: its entry may have expired while the store was unavailable"
        );
        self.missing_until
            .borrow_mut()
            .insert(key.clone(), deadline);
    }

    /// Removes the entries that have not reappeared in time and admits those that were withheld for long enough.
    pub fn expire(&self, now: Instant) {
        self.admit_withheld(now);
        let is_retained =
            |departure: &mut DepartedIncarnation| now < departure.removed_at + DEPARTED_RETENTION;
        self.departed_incarnations
            .borrow_mut()
            .retain(|_key, departure| is_retained(departure));
        let missing_until = self.missing_until.borrow();
        let expired_keys: Vec<_> = missing_until
            .iter()
            .filter(|(_key, deadline)| **deadline <= now)
            .map(|(key, _until)| key.clone())
            .collect();
        drop(missing_until);
        for key in expired_keys {
            self.drop_entry(&key, "not registered again after the store's outage");
        }
    }

    fn admit_withheld(&self, now: Instant) {
        let mut withheld_entries = self.withheld_entries.borrow_mut();
        let due_entries: Vec<_> = withheld_entries
            .extract_if(|_key, entry| entry.until <= now)
            .collect();
        drop(withheld_entries);
        for (key, withheld_entry) in due_entries {
            self.put(
                &key,
                withheld_entry.entry,
                now,
                withheld_entry.connection_share,
            );
        }
    }

    fn drop_entry(&self, key: &CompactString, reason: &str) {
        self.missing_until.borrow_mut().remove(key);
        let Some(upstream) = self.entries.borrow_mut().remove(key) else {
            return;
        };
        upstream.mark_leaving();
        let entry = upstream.entry();
        log::info!(
            target: "ebonyfork::decision",
            "upstream drop instance={} service={} address={}: {reason}",
            entry.incarnation(), entry.service, entry.address
        );
        let mut services = self.services.borrow_mut();
        let Some(service_upstreams) = services.get_mut(&entry.service) else {
            return;
        };
        service_upstreams.retain(|other| !Rc::ptr_eq(other, &upstream));
        if service_upstreams.is_empty() {
            services.remove(&entry.service);
        }
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }
}

fn log_leaving_change(known_upstream: &Upstream, entry: &UpstreamEntry) {
    if known_upstream.is_leaving() == entry.leaving {
        return;
    }
    log::info!(
        target: "ebonyfork::decision",
        "upstream change instance={} service={} leaving={}",
        entry.instance, entry.service, entry.leaving
    );
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
