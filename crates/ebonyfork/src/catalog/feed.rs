//! The part of a process that learns index catalogues.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::catalog::IndexCatalog;
use crate::ident::IndexName;
use crate::platform::{Backoff, PlatformClient, PlatformError, StoredVersion, WatchChange};
use crate::views::{CatalogSet, NodeViews};

/// How long one watch of a catalogue waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The feed of index catalogues. Cheap to clone.
#[derive(Debug, Clone)]
pub struct CatalogHandle;

impl CatalogHandle {
    /// Starts to follow the catalogue of each index that a declared class names.
    pub fn start(
        client: PlatformClient,
        views: NodeViews,
        writer: watch::Sender<Arc<CatalogSet>>,
    ) -> Self {
        tokio::spawn(follow_indexes(client, views, writer));
        Self
    }
}

async fn follow_indexes(
    client: PlatformClient,
    views: NodeViews,
    writer: watch::Sender<Arc<CatalogSet>>,
) {
    let mut config = views.config.clone();
    let mut followed = BTreeSet::new();
    let mut tasks = JoinSet::new();
    loop {
        let named = config.borrow_and_update().clone();
        for class in named.classes.values() {
            if followed.insert(class.index.clone()) {
                tasks.spawn(follow_index(
                    client.clone(),
                    class.index.clone(),
                    writer.clone(),
                ));
            }
        }
        if config.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_index(
    client: PlatformClient,
    index: IndexName,
    writer: watch::Sender<Arc<CatalogSet>>,
) {
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
    let mut seen = StoredVersion::ABSENT;
    loop {
        match follow_once(&client, &index, &writer, &mut seen).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!("catalogue of {index}: {error}");
                tokio::time::sleep(backoff.next_wait(&mut rng)).await;
            }
        }
    }
}

async fn follow_once(
    client: &PlatformClient,
    index: &IndexName,
    writer: &watch::Sender<Arc<CatalogSet>>,
    seen: &mut StoredVersion,
) -> Result<(), PlatformError> {
    let key = format!("index/{index}");
    match client.watch(&key, *seen, WATCH_WAIT).await? {
        Some(WatchChange::Changed(stored)) => {
            *seen = stored.version;
            match serde_json::from_slice::<IndexCatalog>(&stored.value) {
                Ok(catalog) => put_in_force(writer, index, catalog),
                Err(error) => log::error!("catalogue of {index}: {error}"),
            }
        }
        Some(WatchChange::Deleted) => *seen = StoredVersion::ABSENT,
        None => {}
    }
    Ok(())
}

/// Replaces an index's catalogue by one of a higher epoch.
fn put_in_force(writer: &watch::Sender<Arc<CatalogSet>>, index: &IndexName, catalog: IndexCatalog) {
    writer.send_if_modified(|catalogs| {
        let held = catalogs.get(index).map(|held| held.epoch);
        if held.is_some_and(|held| held >= catalog.epoch) {
            return false;
        }
        let mut next = CatalogSet::clone(catalogs);
        next.insert(index.clone(), catalog);
        *catalogs = Arc::new(next);
        true
    });
}
