//! Puts the store's changes in force: configuration, upstreams, our own VMs.
//!
//! Changes come from the store or from other VMs, one after another, and a source may be behind an earlier one. Each key
//! has the revision of its last change, so what is older is passed over: nothing goes back.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::watch;

use crate::gateway::core::{GatewayCore, now};
use crate::gateway::dialect::StoredKind;
use crate::gateway::vms::VmRecord;
use crate::ident::VmAddress;
use crate::store::{MirrorChange, StoreEvent, StoreItem, StoreRevision};

/// Keys whose revisions are remembered; beyond that those that no longer exist are forgotten.
const KEY_LIMIT: usize = 200_000;

/// What of a change was news, to be passed on.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum TakenNews {
    /// All of it: the whole range as it is now.
    Whole(Vec<StoreItem>),
    /// These keys; the others are known as they are, or newer.
    Events(Vec<StoreEvent>),
}

/// Takes the store's changes in.
pub(super) struct StoreTaker {
    core: Rc<GatewayCore>,
    seeds: watch::Sender<Arc<[VmAddress]>>,
    /// Revision of the last change of each key, removed ones included.
    known: RefCell<FxHashMap<CompactString, StoreRevision>>,
    /// The newest revision up to which everything is known.
    complete: Cell<StoreRevision>,
}

impl StoreTaker {
    pub(super) fn new(core: Rc<GatewayCore>, seeds: watch::Sender<Arc<[VmAddress]>>) -> Self {
        Self {
            core,
            seeds,
            known: RefCell::default(),
            complete: Cell::default(),
        }
    }

    /// The newest revision up to which everything is known.
    pub(super) fn complete(&self) -> StoreRevision {
        self.complete.get()
    }

    /// Takes in a change that is complete up to a revision; returns what of it was news.
    pub(super) fn take(&self, change: MirrorChange, revision: StoreRevision) -> TakenNews {
        let news = match change {
            MirrorChange::Replaced(items) => self.replace(items, revision),
            MirrorChange::Changed(events) => TakenNews::Events(self.take_events(events)),
        };
        self.complete.set(self.complete.get().max(revision));
        self.core.share_connections();
        let seeds: Arc<[VmAddress]> = self.core.vms.seeds().into();
        self.seeds.send_if_modified(|current| {
            let differs = *current != seeds;
            *current = seeds;
            differs
        });
        news
    }

    /// Whether a change of a key is newer than what is known of it; from then on it is known.
    fn is_news(&self, key: &CompactString, revision: StoreRevision) -> bool {
        let mut known = self.known.borrow_mut();
        let before = known.get(key).copied().unwrap_or_default();
        if revision <= before {
            return false;
        }
        known.insert(key.clone(), revision);
        true
    }

    fn replace(&self, items: Vec<StoreItem>, revision: StoreRevision) -> TakenNews {
        let mut news = Vec::new();
        for item in &items {
            if self.is_news(&item.key, item.revision) {
                self.put(item);
                news.push(StoreEvent::Written(item.clone()));
            }
        }
        if revision < self.complete.get() {
            // A source that is behind: what it lacks may have come since.
            return TakenNews::Events(news);
        }
        let present: FxHashSet<CompactString> = items.iter().map(|item| item.key.clone()).collect();
        self.core.registry.note_read(now());
        self.core.registry.retain(&present, now());
        self.core.vms.retain(&present);
        let mut known = self.known.borrow_mut();
        if known.len() > KEY_LIMIT {
            known.retain(|key, _revision| present.contains(key));
        }
        log::info!(
            "store read items={} upstreams={} vms={} revision={revision}",
            items.len(),
            self.core.registry.len(),
            self.core.vms.count()
        );
        TakenNews::Whole(items)
    }

    fn take_events(&self, mut events: Vec<StoreEvent>) -> Vec<StoreEvent> {
        events.retain(|event| self.is_news(event.key(), event.revision()));
        for event in &events {
            self.take_event(event);
        }
        events
    }

    fn take_event(&self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(item) => self.put(item),
            StoreEvent::Removed { key, .. } => match (self.core.dialect.classify)(key) {
                StoredKind::Upstream => self.core.registry.remove(key, now()),
                StoredKind::Vm => self.core.vms.remove(key),
                StoredKind::Config | StoredKind::Other => {}
            },
        }
    }

    fn put(&self, item: &StoreItem) {
        match (self.core.dialect.classify)(&item.key) {
            StoredKind::Config => self.put_config(item),
            StoredKind::Upstream => self.put_upstream(item),
            StoredKind::Vm => self.put_vm(item),
            StoredKind::Other => {}
        }
    }

    fn put_config(&self, item: &StoreItem) {
        match (self.core.dialect.read_config)(&item.key, &item.value) {
            Ok(table) => {
                let (version, routes) = (table.version(), table.route_count());
                let adopted = self.core.adopt_table(table);
                let word = if adopted { "in force" } else { "not newer" };
                log::info!(
                    target: "ebonyfork::decision",
                    "config version={version} routes={routes} revision={} {word}",
                    item.revision
                );
            }
            // The version in force stays: half a configuration would be worse.
            Err(error) => log::error!("config revision={} not read: {error}", item.revision),
        }
    }

    fn put_upstream(&self, item: &StoreItem) {
        match (self.core.dialect.read_upstream)(&item.key, &item.value) {
            Ok(entry) => {
                let share = self.core.connection_share(&entry.service);
                self.core.registry.put(&item.key, entry, now(), share);
            }
            // Whatever stood there before is no longer stated by anybody; all other entries hold.
            Err(error) => {
                self.core.registry.disown(&item.key);
                log::warn!(
                    target: "ebonyfork::decision",
                    "upstream entry ignored revision={}: {error}", item.revision
                );
            }
        }
    }

    fn put_vm(&self, item: &StoreItem) {
        match postcard::from_bytes::<VmRecord>(&item.value) {
            Ok(record) => self.core.vms.put(&item.key, record),
            Err(error) => log::error!("VM record {} not read: {error}", item.key),
        }
    }
}

#[cfg(test)]
#[path = "taker_tests.rs"]
mod tests;
