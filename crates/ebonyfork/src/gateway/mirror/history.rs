//! What has changed of long values, as patches from one revision to the next, for VMs that hold an older one.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::pack::compress;
use crate::store::{StoreItem, StoreRevision};

/// The patches of a value together are at most this part of it: compressed as a whole it takes about a ninth.
const CHAIN_PART: usize = 8;

/// How a value came out of the one before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Revision of the value before.
    pub base: StoreRevision,
    /// Revision of the value.
    pub revision: StoreRevision,
    /// Length of the value.
    pub size: usize,
    /// The value, compressed on the one before.
    pub bytes: Bytes,
}

/// The last patches of long values, oldest first; each one begins where the one before it ends.
#[derive(Debug, Default)]
pub struct PatchHistory {
    chains: FxHashMap<CompactString, VecDeque<ValuePatch>>,
}

impl PatchHistory {
    /// Notes that a value has taken the place of another.
    pub fn note(&mut self, old: &StoreItem, new: &StoreItem) {
        let bytes = match compress(&old.value, &new.value) {
            Ok(bytes) => bytes,
            Err(error) => {
                // Then the value is sent as a whole.
                log::warn!("no patch of {} revision={}: {error}", new.key, new.revision);
                self.forget(&new.key);
                return;
            }
        };
        let chain = self.chains.entry(new.key.clone()).or_default();
        if chain
            .back()
            .is_some_and(|last| last.revision != old.revision)
        {
            chain.clear();
        }
        chain.push_back(ValuePatch {
            base: old.revision,
            revision: new.revision,
            size: new.value.len(),
            bytes,
        });
        let mut total: usize = chain.iter().map(|patch| patch.bytes.len()).sum();
        while total > new.value.len() / CHAIN_PART {
            let Some(oldest) = chain.pop_front() else {
                break;
            };
            total -= oldest.bytes.len();
        }
    }

    /// Forgets what has changed of a value.
    pub fn forget(&mut self, key: &CompactString) {
        self.chains.remove(key);
    }

    /// The patches that lead from one revision of a value to another, if they are kept.
    pub fn between(
        &self,
        key: &CompactString,
        base: StoreRevision,
        revision: StoreRevision,
    ) -> Option<Vec<&ValuePatch>> {
        let chain = self.chains.get(key)?;
        if chain.back()?.revision != revision {
            return None;
        }
        let first = chain.iter().position(|patch| patch.base == base)?;
        Some(chain.iter().skip(first).collect())
    }
}

#[cfg(test)]
#[path = "history_tests.rs"]
mod tests;
