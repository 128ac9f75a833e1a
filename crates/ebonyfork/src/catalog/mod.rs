//! The index catalogue: which versions an index has and which service holds each shard of a version.
//!
//! The users' indexers publish it in the store, as one JSON value per index. The shard list of the pinned version is
//! the denominator of an answer's coverage, so it is kept as published and never merged with that of another version.

mod feed;
mod message;
mod spread;

pub use feed::CatalogHandle;
pub use message::{CatalogEpoch, CatalogMessage};
pub use spread::{CatalogAction, CatalogSpread, catalog_key};

use serde::{Deserialize, Serialize};

use crate::ident::{ServiceName, ShardNumber, SnapshotVersion};

/// The shards of one index version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShards {
    /// The index version.
    pub version: SnapshotVersion,
    /// The services that hold the shards, by shard number.
    pub shards: Vec<ServiceName>,
}

impl VersionShards {
    /// Returns the service that holds a shard.
    pub fn service(&self, shard: ShardNumber) -> Option<&ServiceName> {
        self.shards.get(shard.0 as usize)
    }
}

/// The catalogue of one index, as published.
///
/// # Examples
///
/// ```
/// use ebonyfork::catalog::IndexCatalog;
///
/// let text = br#"{"epoch":5,"versions":[{"version":17,"shards":["tender-00"]}]}"#;
/// let catalog: IndexCatalog = serde_json::from_slice(text)?;
/// assert_eq!(catalog.newest().map(|shards| shards.version.0), Some(17));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexCatalog {
    /// Number that increases with every change of the catalogue; a catalogue with a lower epoch is outdated.
    pub epoch: u64,
    /// The versions that can still be queried, newest first.
    pub versions: Vec<VersionShards>,
}

impl IndexCatalog {
    /// Returns the shards of the newest version.
    pub fn newest(&self) -> Option<&VersionShards> {
        self.versions.first()
    }

    /// Returns the shards of a version if the catalogue still lists it.
    pub fn version(&self, version: SnapshotVersion) -> Option<&VersionShards> {
        self.versions
            .iter()
            .find(|shards| shards.version == version)
    }
}
