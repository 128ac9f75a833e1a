//! Keeps patches between successive versions of long values, for VMs that hold an older version.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::pack::compress;
use crate::store::{StoreItem, StoreRevision};

/// The patches of a value together take at most the value's size divided by this number. The whole value compresses to
/// about a ninth of its size, so more patches would be no smaller than sending the value.
const PATCH_BUDGET_DIVISOR: usize = 8;

/// A patch from one version of a value to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Revision of the previous version.
    pub base_revision: StoreRevision,
    /// Revision of the new version.
    pub revision: StoreRevision,
    /// Size of the new version in bytes, uncompressed.
    pub size: usize,
    /// The new version, compressed with the previous one as the dictionary.
    pub bytes: Bytes,
}

/// The most recent patches of long values, oldest first. The base of each patch is the version that the patch before it
/// results in.
#[derive(Debug, Default)]
pub struct PatchHistory {
    /// The consecutive patches of each value, by key.
    chains: FxHashMap<CompactString, VecDeque<ValuePatch>>,
}

impl PatchHistory {
    /// Adds the patch from the old version of a value to the new one, and drops the oldest patches beyond the size
    /// limit.
    pub fn record(&mut self, old_item: &StoreItem, new_item: &StoreItem) {
        let bytes = match compress(&old_item.value, &new_item.value) {
            Ok(bytes) => bytes,
            Err(error) => {
                // Without a patch the value is sent in full.
                log::warn!(
                    "no patch for {} revision={}: {error}",
                    new_item.key,
                    new_item.revision
                );
                self.forget_patches(&new_item.key);
                return;
            }
        };
        let chain = self.chains.entry(new_item.key.clone()).or_default();
        if chain
            .back()
            .is_some_and(|last_patch| last_patch.revision != old_item.revision)
        {
            chain.clear();
        }
        chain.push_back(ValuePatch {
            base_revision: old_item.revision,
            revision: new_item.revision,
            size: new_item.value.len(),
            bytes,
        });
        let mut total_bytes: usize = chain.iter().map(|patch| patch.bytes.len()).sum();
        while total_bytes > new_item.value.len() / PATCH_BUDGET_DIVISOR {
            let Some(oldest_patch) = chain.pop_front() else {
                break;
            };
            total_bytes -= oldest_patch.bytes.len();
        }
    }

    /// Drops all patches of a value.
    pub fn forget_patches(&mut self, key: &CompactString) {
        self.chains.remove(key);
    }

    /// Returns the patches from the version of a value at `base_revision` to the one at `revision`; none if `revision`
    /// is not the newest version or the patches do not reach back to `base_revision`.
    pub fn patches_between(
        &self,
        key: &CompactString,
        base_revision: StoreRevision,
        revision: StoreRevision,
    ) -> Option<Vec<&ValuePatch>> {
        let chain = self.chains.get(key)?;
        if chain.back()?.revision != revision {
            return None;
        }
        let first_index = chain
            .iter()
            .position(|patch| patch.base_revision == base_revision)?;
        Some(chain.iter().skip(first_index).collect())
    }
}

#[cfg(test)]
#[path = "history_tests.rs"]
mod tests;
