//! Route tables: the service that holds each shard of an index version, by dense id.
//!
//! A table is built once per index version and catalogue epoch and is shared by all queries that pin the version. Its
//! length is the denominator of their coverage.

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
    /// Name of the index.
    pub index: IndexName,
    /// The index version.
    pub version: SnapshotVersion,
    /// The service that holds each shard, by shard number.
    pub shards: Vec<ServiceId>,
}

#[derive(Debug, Default)]
struct IndexRoutes {
    epoch: Option<u64>,
    /// The tables of the catalogue's versions, newest first.
    tables: Vec<Arc<RouteTable>>,
    /// The version that some shard last lacked, and until when another version is pinned instead; `None` if no shard
    /// has lacked a version.
    avoided_version: Option<(SnapshotVersion, Duration)>,
}

/// How long another version is pinned, if there is one, instead of a version that some shard lacked.
const VERSION_AVOID_DURATION: Duration = Duration::from_millis(200);

/// The route tables of all indexes that have been queried.
#[derive(Debug, Default)]
pub struct RouteCache {
    catalogs: Arc<CatalogSet>,
    indexes: FxHashMap<IndexName, IndexRoutes>,
}

impl RouteCache {
    /// Switches to the given catalogues; does nothing if they are unchanged.
    pub fn refresh(&mut self, catalogs: &Arc<CatalogSet>) {
        if !Arc::ptr_eq(&self.catalogs, catalogs) {
            self.catalogs = Arc::clone(catalogs);
        }
    }

    /// Pins the newest version of an index that no shard lacked recently, or the newest version if the catalogue lists
    /// no other.
    pub fn pin_version(
        &mut self,
        index: &IndexName,
        directory: &mut Directory,
        now: Duration,
    ) -> Option<Arc<RouteTable>> {
        let index_routes = self.current_routes(index, directory)?;
        let avoided_version = index_routes
            .avoided_version
            .filter(|(_, until)| now < *until);
        let is_not_avoided = |table: &&Arc<RouteTable>| {
            avoided_version.is_none_or(|(version, _)| table.version != version)
        };
        let newest_table = index_routes.tables.iter().find(is_not_avoided);
        newest_table
            .or_else(|| index_routes.tables.first())
            .map(Arc::clone)
    }

    /// Returns the routes of an index, with a route table for each version in its catalogue, or `None` if the index has
    /// no catalogue. The tables are rebuilt if the catalogue has changed.
    fn current_routes(
        &mut self,
        index: &IndexName,
        directory: &mut Directory,
    ) -> Option<&IndexRoutes> {
        let catalog = self.catalogs.get(index)?;
        if !self.indexes.contains_key(index) {
            self.indexes.insert(index.clone(), IndexRoutes::default());
        }
        let index_routes = self.indexes.get_mut(index)?;
        if index_routes.epoch != Some(catalog.epoch) {
            index_routes.epoch = Some(catalog.epoch);
            index_routes.tables = make_tables(index, catalog, directory);
        }
        Some(index_routes)
    }

    /// Records that some shard lacks a version, so that another version is pinned for [`VERSION_AVOID_DURATION`] if
    /// there is one.
    pub fn avoid_version(&mut self, index: &IndexName, version: SnapshotVersion, now: Duration) {
        if let Some(index_routes) = self.indexes.get_mut(index) {
            index_routes.avoided_version = Some((version, now + VERSION_AVOID_DURATION));
        }
    }

    /// Returns the route table to use instead of the pinned version, which some shard lacks. `available_version` is the
    /// version that this shard holds: if it is newer than the pinned version, the newest version is returned, else the
    /// newest of the older ones. Returns `None` if the catalogue lists no such version.
    pub fn find_alternative_version(
        &mut self,
        index: &IndexName,
        directory: &mut Directory,
        pinned_version: SnapshotVersion,
        available_version: SnapshotVersion,
    ) -> Option<Arc<RouteTable>> {
        let is_same_side = |table: &&Arc<RouteTable>| {
            table.version.cmp(&pinned_version) == available_version.cmp(&pinned_version)
        };
        let index_routes = self.current_routes(index, directory)?;
        let newest_table = index_routes.tables.iter().find(is_same_side)?;
        (newest_table.version != pinned_version).then(|| Arc::clone(newest_table))
    }
}

fn make_tables(
    index: &IndexName,
    catalog: &IndexCatalog,
    directory: &mut Directory,
) -> Vec<Arc<RouteTable>> {
    let make_table = |version_shards: &VersionShards| {
        let services = version_shards.shards.iter();
        let services = services.map(|service| directory.service_id(service));
        Arc::new(RouteTable {
            index: index.clone(),
            version: version_shards.version,
            shards: services.collect(),
        })
    };
    catalog.versions.iter().map(make_table).collect()
}
