//! Puts the store's changes in force: configuration, upstreams and this fleet's own VMs.
//!
//! Anybody may write an entry, so an entry must cost no more than itself, even if putting it in force panics: the copy already
//! counts the changes that came with it as known, so they would never be put in force if the panic ended the follower.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::watch;

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::StoredKind;
use crate::gateway::ident::PlaceName;
use crate::gateway::mirror::{CopyChange, CopyGap};
use crate::gateway::policy::claim::ClaimRecord;
use crate::gateway::policy::cold::is_notice_due;
use crate::gateway::route::RouteTable;
use crate::gateway::tasks::TaskName;
use crate::gateway::upstream::UpstreamEntry;
use crate::gateway::vms::VmRecord;
use crate::ident::VmAddress;
use crate::panic_reason::catch_panic;
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Applies the store's changes to the gateway.
pub(super) struct StoreApplier {
    core: Rc<GatewayCore>,
    /// The addresses of the VMs that the store lists.
    seeds: watch::Sender<Arc<[VmAddress]>>,
}

impl StoreApplier {
    pub(super) fn new(core: Rc<GatewayCore>, seeds: watch::Sender<Arc<[VmAddress]>>) -> Self {
        Self { core, seeds }
    }

    /// Replaces the credentials in a change that another VM has sent: one of an older version sends them as text.
    pub(super) fn replace_credentials(&self, change: CopyChange) -> CopyChange {
        let replace = self.core.dialect.replace_credentials;
        change.map_values(|key, value| {
            let result = catch_panic(|| replace(key, value));
            // Without a value the entry can't be decoded, and no credential stays as text.
            result.unwrap_or_else(|reason| {
                log::error!("store change not in force: entry {key}: {reason}");
                let metrics = &self.core.metrics.tasks;
                metrics.count_caught_panic(TaskName::StoreFollower);
                Bytes::new()
            })
        })
    }

    /// Applies a change to the copy and puts in force what was new in it.
    pub(super) fn apply(&self, change: CopyChange) -> Result<(), CopyGap> {
        let read_revision = match &change {
            CopyChange::Full { revision, .. } => Some(*revision),
            CopyChange::Changes { .. } | CopyChange::Difference { .. } => None,
        };
        // A copy that was discarded has no revision, but what was put in force from it has.
        let old_revision = self.core.relay.applied_revision();
        let guard = self.core.relay.begin_apply();
        let outcome = self.core.relay.apply(change);
        let new_revision = self.core.relay.copy().complete_revision();
        self.core.enter_era(new_revision.era());
        let is_restored =
            old_revision > StoreRevision::ABSENT && new_revision.era() > old_revision.era();
        if is_restored {
            // Removals are delayed until upstreams whose entries the older copy lacks have had time to write them
            // again.
            self.core.record_store_return();
        }
        for event in &outcome.events {
            self.put_in_force(event, is_restored);
            self.core.relay.record_applied(event);
        }
        if let Some(read_revision) = read_revision {
            if self.core.registry.is_first_read() {
                self.run_caught("assuming upstreams cold", || {
                    self.core.assume_cold_where_claimed();
                });
            }
            self.core.registry.record_read(now());
            self.log_full_read(read_revision, outcome.events.len());
        }
        if !outcome.events.is_empty() {
            self.run_caught("sharing connections", || self.core.redistribute_shares());
            self.publish_seeds();
        }
        guard.finish();
        outcome.result
    }

    /// Puts an event in force. If that panics, the event is left out, and an upstream under its key is removed, as after an
    /// entry that can't be decoded. All other events stay in force.
    fn put_in_force(&self, event: &StoreEvent, is_restored: bool) {
        let is_done = self.run_caught(event_label(event), || match event {
            StoreEvent::Written(item) => self.put_item(item, is_restored),
            StoreEvent::Removed { key, .. } if is_restored => self.remove_lost_key(key),
            StoreEvent::Removed { key, .. } => self.remove_key(key),
        });
        if is_done {
            return;
        }
        let _is_removed = self.run_caught(event_label(event), || {
            if (self.core.dialect.classify)(event.key()) == StoredKind::Upstream {
                self.core.registry.remove_invalid(event.key());
            }
        });
    }

    /// Runs a step, and logs and counts a panic in it. Returns whether it completed.
    fn run_caught(&self, step: impl fmt::Display, run: impl FnOnce()) -> bool {
        let result = catch_panic(run);
        if let Err(reason) = &result {
            log::error!("store change not in force: {step}: {reason}");
            let metrics = &self.core.metrics.tasks;
            metrics.count_caught_panic(TaskName::StoreFollower);
        }
        result.is_ok()
    }

    fn log_full_read(&self, read_revision: StoreRevision, change_count: usize) {
        let copy = self.core.relay.copy();
        log::info!(
            "store read items={} upstreams={} vms={} revision={} read_revision={read_revision} news={change_count}",
            copy.items().count(),
            self.core.registry.len(),
            self.core.vms.count(),
            copy.complete_revision()
        );
    }

    /// Publishes the addresses of the VMs that the store lists, if they have changed.
    fn publish_seeds(&self) {
        let seeds: Arc<[VmAddress]> = self.core.vms.seeds().into();
        self.seeds.send_if_modified(|current_seeds| {
            let has_changed = *current_seeds != seeds;
            *current_seeds = seeds;
            has_changed
        });
    }

    fn remove_key(&self, key: &CompactString) {
        match (self.core.dialect.classify)(key) {
            StoredKind::Upstream => self.core.registry.remove(key, now()),
            StoredKind::Vm => self.core.vms.remove(key),
            StoredKind::Evacuation(zone) => self.core.end_evacuation(&zone),
            StoredKind::Config
            | StoredKind::ZoneClaim(_)
            | StoredKind::QuotaPart(_)
            | StoredKind::Other => {}
        }
    }

    /// Handles a key that is missing after the store was restored from an older copy, so it was lost rather than
    /// removed.
    fn remove_lost_key(&self, key: &CompactString) {
        match (self.core.dialect.classify)(key) {
            StoredKind::Evacuation(zone) => self.core.registry.keep_evacuated(&zone, now()),
            _ => self.remove_key(key),
        }
    }

    /// Puts an item in force; `is_restored` states whether it was read from a store that has just been restored from an
    /// older copy.
    fn put_item(&self, item: &StoreItem, is_restored: bool) {
        match (self.core.dialect.classify)(&item.key) {
            StoredKind::Config => self.put_config(item),
            StoredKind::Upstream => self.put_upstream(item, is_restored),
            StoredKind::Vm => self.put_vm(item),
            StoredKind::Evacuation(zone) => self.evacuate(&zone, item),
            StoredKind::ZoneClaim(zone) => {
                let claims = &self.core.cold_claims;
                self.put_claim(item, |record, time| {
                    claims.with_zone(&zone, |claim| claim.observe(item.revision, record, time));
                });
            }
            StoredKind::QuotaPart(part) => {
                let desk = &self.core.quota_desk;
                self.put_claim(item, |record, time| {
                    desk.with_claim(part, |claim| claim.observe(item.revision, record, time));
                });
            }
            StoredKind::Other => {}
        }
    }

    fn put_config(&self, item: &StoreItem) {
        match (self.core.dialect.read_config)(&item.key, &item.value) {
            Ok(table) => {
                self.core.copy_watch.note_config(None);
                self.log_unknown_homes(&table);
                let (version, routes) = (table.version(), table.route_count());
                let is_adopted = self.core.install_table(table);
                let result_text = if is_adopted { "in force" } else { "not newer" };
                log::info!(
                    target: "ebonyfork::decision",
                    "config version={version} routes={routes} revision={} {result_text}",
                    item.revision
                );
            }
            // The version in force stays, because part of the new configuration would be worse.
            Err(error) => {
                self.core.copy_watch.note_config(Some(item.revision));
                self.core.metrics.copy.refused_versions.inc();
                log::error!(
                    "config revision={} bytes={} can't be decoded: {error}",
                    item.revision,
                    item.value.len()
                );
            }
        }
    }

    /// Logs routes with a home region that has no availability zone in the settings: an upstream there would be
    /// unknown. The version is put in force anyway, because its other routes are valid.
    fn log_unknown_homes(&self, table: &RouteTable) {
        let zones = &self.core.settings.place.zones;
        for route in table.routes() {
            for region in route.home_regions.regions() {
                if zones.values().any(|known_region| known_region == region) {
                    continue;
                }
                log::warn!(
                    "config version={} route {}: no availability zone is in home region {region}",
                    table.version(),
                    route.name
                );
            }
        }
    }

    fn put_upstream(&self, item: &StoreItem, is_restored: bool) {
        match (self.core.dialect.read_upstream)(&item.key, &item.value) {
            Ok(entry) => {
                let connection_share = self.core.connection_share(&entry.service);
                let registry = &self.core.registry;
                self.queue_cold_notice(&item.key, &entry);
                if is_restored {
                    registry.put_restored(&item.key, entry, now(), connection_share);
                } else {
                    registry.put(&item.key, entry, now(), connection_share);
                }
            }
            // The key's previous entry is no longer in the store, so its upstream is removed. All other entries stay in
            // force.
            Err(error) => {
                self.core.registry.remove_invalid(&item.key);
                log::warn!(
                    target: "ebonyfork::decision",
                    "upstream entry ignored revision={}: {error}", item.revision
                );
            }
        }
    }

    /// Notes that other VMs have to be notified if an entry states that its upstream has become cold. The first read of
    /// the store shows upstreams of which the others know.
    fn queue_cold_notice(&self, key: &CompactString, entry: &UpstreamEntry) {
        let registry = &self.core.registry;
        let stated_cold_before = registry.is_stated_cold(key, now());
        if !registry.is_first_read() && is_notice_due(stated_cold_before, entry.cold_remaining) {
            let instance = entry.instance.as_str();
            self.core
                .queue_cold_notice(&entry.service, instance, entry.cold_remaining);
        }
    }

    /// Puts an evacuation in force; the item's value has no meaning.
    fn evacuate(&self, zone: &PlaceName, item: &StoreItem) {
        if self.core.settings.place.region_of(zone).is_none() {
            log::warn!(
                "evacuation revision={}: no availability zone of the settings is called {zone}",
                item.revision
            );
        }
        self.core.registry.evacuate(zone);
    }

    fn put_claim(&self, item: &StoreItem, observe: impl FnOnce(ClaimRecord, Duration)) {
        match ClaimRecord::decode(&item.value) {
            Ok(record) => observe(record, self.core.running_time()),
            Err(error) => log::error!("claim {} can't be decoded: {error}", item.key),
        }
    }

    fn put_vm(&self, item: &StoreItem) {
        match postcard::from_bytes::<VmRecord>(&item.value) {
            Ok(record) => self.core.vms.put(&item.key, record),
            Err(error) => log::error!("VM record {} can't be decoded: {error}", item.key),
        }
    }
}

/// Names an event in the log.
fn event_label(event: &StoreEvent) -> impl fmt::Display + '_ {
    fmt::from_fn(|f| write!(f, "entry {} revision={}", event.key(), event.revision()))
}

#[cfg(test)]
#[path = "taker_tests.rs"]
mod tests;
