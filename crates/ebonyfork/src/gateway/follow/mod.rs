//! Follows the store: configuration, upstreams and our own VMs, all from one mirror, so that one call at a time waits.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use rustc_hash::FxHashSet;
use tokio::sync::watch;

use crate::gateway::core::{GatewayCore, now};
use crate::gateway::dialect::StoredKind;
use crate::gateway::vms::VmRecord;
use crate::ident::VmAddress;
use crate::store::{MirrorChange, MirrorFeed, MirrorSettings, StoreEvent, StoreItem, StorePort};

/// Everything the gateway reads stands below the store's root.
const PREFIX: &str = "";

/// Puts the store's changes in force until the future is dropped.
pub async fn follow_store(
    core: Rc<GatewayCore>,
    port: impl StorePort,
    seeds: watch::Sender<Arc<[VmAddress]>>,
) {
    let away = Rc::new(Cell::new(false));
    let feed = MirrorFeed::new(port, MirrorSettings::new(PREFIX));
    let taker = StoreTaker {
        core: Rc::clone(&core),
        seeds,
    };
    let take = |change| taker.take(change);
    let tell = |answers: bool| {
        let was_away = away.replace(!answers);
        if answers && was_away {
            core.registry.note_return(now());
        }
    };
    feed.run(take, tell).await;
}

/// Takes the store's changes in.
struct StoreTaker {
    core: Rc<GatewayCore>,
    seeds: watch::Sender<Arc<[VmAddress]>>,
}

impl StoreTaker {
    fn take(&self, change: MirrorChange) {
        match change {
            MirrorChange::Replaced(items) => self.replace(&items),
            MirrorChange::Changed(events) => {
                for event in &events {
                    self.take_event(event);
                }
            }
        }
        self.core.share_connections();
        let seeds: Arc<[VmAddress]> = self.core.vms.seeds().into();
        self.seeds.send_if_modified(|current| {
            let differs = *current != seeds;
            *current = seeds;
            differs
        });
    }

    fn replace(&self, items: &[StoreItem]) {
        for item in items {
            self.put(item);
        }
        let present: FxHashSet<CompactString> = items.iter().map(|item| item.key.clone()).collect();
        self.core.registry.retain(&present, now());
        self.core.vms.retain(&present);
        log::info!(
            "store read items={} upstreams={} vms={}",
            items.len(),
            self.core.registry.len(),
            self.core.vms.count()
        );
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
            Err(error) => log::error!("upstream revision={} not read: {error}", item.revision),
        }
    }

    fn put_vm(&self, item: &StoreItem) {
        match postcard::from_bytes::<VmRecord>(&item.value) {
            Ok(record) => self.core.vms.put(&item.key, record),
            Err(error) => log::error!("VM record {} not read: {error}", item.key),
        }
    }
}
