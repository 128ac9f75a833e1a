//! Keeps patches between successive versions of long values, for VMs that hold an older version.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::pack::compress;
use crate::store::{StoreItem, StoreRevision};

/// The patches of a value together take at most its length divided by this; the whole value compresses to about a
/// ninth.
const PATCH_BUDGET_DIVISOR: usize = 8;

/// A patch from one version of a value to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Revision of the previous version.
    pub base: StoreRevision,
    /// Revision of the new version.
    pub revision: StoreRevision,
    /// Length of the new version in bytes.
    pub size: usize,
    /// The new version, compressed with the previous one as the dictionary.
    pub bytes: Bytes,
}

/// The most recent patches of long values, oldest first. Each patch starts from the result of the one before it.
#[derive(Debug, Default)]
pub struct PatchHistory {
    chains: FxHashMap<CompactString, VecDeque<ValuePatch>>,
}

impl PatchHistory {
    /// Records that a new version of a value replaced the old one.
    pub fn record(&mut self, old: &StoreItem, new: &StoreItem) {
        let bytes = match compress(&old.value, &new.value) {
            Ok(bytes) => bytes,
            Err(error) => {
                // Without a patch the value is sent in full.
                log::warn!(
                    "no patch for {} revision={}: {error}",
                    new.key,
                    new.revision
                );
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
        while total > new.value.len() / PATCH_BUDGET_DIVISOR {
            let Some(oldest) = chain.pop_front() else {
                break;
            };
            total -= oldest.bytes.len();
        }
    }

    /// Drops the patches of a value.
    pub fn forget(&mut self, key: &CompactString) {
        self.chains.remove(key);
    }

    /// Returns the patches from one revision of a value to another, or none if they are not all kept.
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
