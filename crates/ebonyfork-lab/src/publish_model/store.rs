//! The store of the model: what it holds, and what happens to a call.

use std::collections::BTreeMap;

use ebonyfork::revision::{ChangeId, ChangeRecord, HeadRecord, HeldEvidence, StoredHead};
use ebonyfork::store::{StoreError, StoreRevision};

#[derive(Debug, Clone, Default)]
pub(super) struct ModelStore {
    pub(super) counter: u64,
    pub(super) head: StoredHead,
    pub(super) changes: BTreeMap<ChangeId, ChangeRecord>,
    pub(super) evidence: Option<HeldEvidence>,
}

impl ModelStore {
    pub(super) fn version(&self) -> StoreRevision {
        self.head
            .map_or(StoreRevision::ABSENT, |(version, _)| version)
    }

    pub(super) fn swap(
        &mut self,
        expected: StoreRevision,
        head: HeadRecord,
    ) -> Result<StoreRevision, StoreError> {
        let current = self.version();
        if current != expected {
            return Err(StoreError::Conflict { current });
        }
        self.counter += 1;
        let version = StoreRevision::new(self.counter);
        self.head = Some((version, head));
        Ok(version)
    }

    /// The head's record, or what stands for a lost one.
    pub(super) fn head_or_lost(&self) -> Option<ChangeRecord> {
        let (_, head) = self.head?;
        let change = self.changes.get(&head.change).cloned();
        Some(change.unwrap_or_else(|| ChangeRecord::placeholder(head)))
    }

    pub(super) fn head_change(&self) -> Option<&ChangeRecord> {
        let (_, head) = self.head?;
        self.changes.get(&head.change)
    }
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFate {
    Answered,
    Refused,
    LostBefore,
    LostAfter,
    /// The caller gives up; the call takes effect later.
    Late,
}
