//! Route tables: which service holds each shard of one index version, in dense ids.
//!
//! A table is made once per index version and catalogue epoch and shared by all queries that pin it. Its length is the
//! denominator of their coverage.

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::directory::{Directory, ServiceId};
use crate::catalog::{IndexCatalog, VersionShards};
use crate::ident::{IndexName, SnapshotVersion};
use crate::views::CatalogSet;

/// The shards of one index version.
#[derive(Debug, PartialEq, Eq)]
pub struct RouteTable {
    /// The index.
    pub index: IndexName,
    /// The version.
    pub version: SnapshotVersion,
    /// The service of each shard.
    pub shards: Vec<ServiceId>,
}

#[derive(Debug, Default)]
struct IndexRoutes {
    epoch: Option<u64>,
    /// Newest version first.
    tables: Vec<Arc<RouteTable>>,
    /// A version that some shard lacked lately, and until when it is not pinned.
    avoided: Option<(SnapshotVersion, Duration)>,
}

/// How long a version that some shard lacked is not pinned while there is another.
const VERSION_PAUSE: Duration = Duration::from_millis(200);

/// The tables of all indexes that have been asked for.
#[derive(Debug, Default)]
pub struct RouteCache {
    catalogs: Arc<CatalogSet>,
    indexes: FxHashMap<IndexName, IndexRoutes>,
}

impl RouteCache {
    /// Takes the current catalogues; costs nothing if they are still the same.
    pub fn refresh(&mut self, catalogs: &Arc<CatalogSet>) {
        if !Arc::ptr_eq(&self.catalogs, catalogs) {
            self.catalogs = Arc::clone(catalogs);
        }
    }

    /// Pins the newest version of an index that no shard lacked a moment ago, else the newest.
    pub fn pin(
        &mut self,
        index: &IndexName,
        directory: &mut Directory,
        now: Duration,
    ) -> Option<Arc<RouteTable>> {
        let routes = self.current(index, directory)?;
        let avoided = routes.avoided.filter(|(_, until)| now < *until);
        let covers =
            |table: &&Arc<RouteTable>| avoided.is_none_or(|(version, _)| table.version != version);
        let newest = routes.tables.iter().find(covers);
        newest.or_else(|| routes.tables.first()).map(Arc::clone)
    }

    /// The tables of an index, made anew if its catalogue has changed.
    fn current(&mut self, index: &IndexName, directory: &mut Directory) -> Option<&IndexRoutes> {
        let catalog = self.catalogs.get(index)?;
        if !self.indexes.contains_key(index) {
            self.indexes.insert(index.clone(), IndexRoutes::default());
        }
        let routes = self.indexes.get_mut(index)?;
        if routes.epoch != Some(catalog.epoch) {
            routes.epoch = Some(catalog.epoch);
            routes.tables = make_tables(index, catalog, directory);
        }
        Some(routes)
    }

    /// Notes that some shard lacks a version.
    pub fn avoid(&mut self, index: &IndexName, version: SnapshotVersion, now: Duration) {
        if let Some(routes) = self.indexes.get_mut(index) {
            routes.avoided = Some((version, now + VERSION_PAUSE));
        }
    }

    /// The newest version on the side of `pinned` where the shard that lacks it stands: newer if `held` is newer.
    pub fn other(
        &mut self,
        index: &IndexName,
        directory: &mut Directory,
        pinned: SnapshotVersion,
        held: SnapshotVersion,
    ) -> Option<Arc<RouteTable>> {
        let same_side = |table: &&Arc<RouteTable>| table.version.cmp(&pinned) == held.cmp(&pinned);
        let routes = self.current(index, directory)?;
        let newest = routes.tables.iter().find(same_side)?;
        (newest.version != pinned).then(|| Arc::clone(newest))
    }
}

fn make_tables(
    index: &IndexName,
    catalog: &IndexCatalog,
    directory: &mut Directory,
) -> Vec<Arc<RouteTable>> {
    let make = |shards: &VersionShards| {
        let services = shards.shards.iter();
        let services = services.map(|service| directory.service_id(service));
        Arc::new(RouteTable {
            index: index.clone(),
            version: shards.version,
            shards: services.collect(),
        })
    };
    catalog.versions.iter().map(make).collect()
}
