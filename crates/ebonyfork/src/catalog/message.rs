//! Messages that VMs exchange about index catalogues.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ident::IndexName;

/// An index and the epoch of its catalogue on the sender; zero if the sender holds none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogEpoch {
    /// Name of the index.
    pub index: IndexName,
    /// Epoch of the index's catalogue.
    pub epoch: u64,
}

/// A message about index catalogues. New variants are only ever appended, because a variant's position is its code on
/// the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogMessage {
    /// The sender holds catalogues with these epochs.
    Held(Vec<CatalogEpoch>),
    /// Asks for the catalogues of these indexes that the receiver holds with a higher epoch.
    Ask(Vec<CatalogEpoch>),
    /// A catalogue as it was published in the store.
    Value {
        /// Name of the index.
        index: IndexName,
        /// The published JSON text of the catalogue.
        text: Bytes,
    },
}
