//! The index catalogue: which versions an index has and which service holds each shard of a version.
//!
//! The users' indexers publish it in the store, one JSON value per index. The pinned version's shard list
//! is the denominator of an answer's coverage, so it is kept as published and never merged with another version's.

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
    /// The version.
    pub version: SnapshotVersion,
    /// The service that holds shard *i*, for every *i*.
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
    /// Raised with every change; a lower one is stale.
    pub epoch: u64,
    /// The versions that may still be asked for, newest first.
    pub versions: Vec<VersionShards>,
}

impl IndexCatalog {
    /// Returns the newest version's shards.
    pub fn newest(&self) -> Option<&VersionShards> {
        self.versions.first()
    }

    /// Returns the shards of a version, if it is still listed.
    pub fn version(&self, version: SnapshotVersion) -> Option<&VersionShards> {
        self.versions
            .iter()
            .find(|shards| shards.version == version)
    }
}
