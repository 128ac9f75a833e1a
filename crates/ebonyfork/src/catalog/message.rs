//! What processes say to each other about index catalogues.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ident::IndexName;

/// The epoch of one index's catalogue; zero if none is held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogEpoch {
    /// The index.
    pub index: IndexName,
    /// The epoch.
    pub epoch: u64,
}

/// One message about catalogues. Variants are only ever appended: their order is their code on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogMessage {
    /// The sender holds these.
    Held(Vec<CatalogEpoch>),
    /// Asks for whatever the receiver holds above these.
    Ask(Vec<CatalogEpoch>),
    /// A catalogue as published.
    Value {
        /// The index.
        index: IndexName,
        /// The published JSON text.
        text: Bytes,
    },
}
