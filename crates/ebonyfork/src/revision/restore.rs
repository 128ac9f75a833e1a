//! Decides which change may replace another, and how to restore a head that lacks the held revision.
//!
//! A VM accepts only a change that descends from the one it holds. The exception is a VM that has just started, because
//! its first revision may come from a store that had lost its last writes. For a while that revision is *provisional*;
//! afterwards the VM is *settled*. A provisional revision is replaced by a settled peer's revision that isn't among its
//! ancestors, and it is never used to restore the store.

use std::time::Duration;

use super::record::{ChangeId, ChangeRecord, HeadRecord};

/// How long the first revision after a start stays provisional. By then the VM has heard from all peers.
pub const PROVISIONAL_TIME: Duration = Duration::from_secs(10);

/// What a watcher does about the store's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RestorePlan {
    /// The head is the held change or descends from it, so nothing has to be done.
    Nothing,
    /// Move the head to this change.
    MoveHead(ChangeRecord),
}

/// Returns whether a change may replace the held one, no matter whether a peer or the store showed it.
pub fn may_replace(held: Option<&ChangeRecord>, provisional: bool, change: &ChangeRecord) -> bool {
    let Some(held) = held else {
        return true;
    };
    change.follows(held.head()) || provisional && change.revision > held.revision
}

/// Returns whether a settled peer's change must replace a provisional one, because it isn't among its ancestors.
pub fn must_adopt(held: &ChangeRecord, settled: HeadRecord) -> bool {
    held.change != settled.change && !held.lineage.contains(&settled.change)
}

/// Plans the repair of the store's head while `held` is in force; `head` is the change that the store shows, if any.
///
/// A head that is an ancestor of the held change is moved back to the held change. If other changes were published
/// after the store had lost the held one, the held files are published again on top of them, as the change `change_id`.
pub fn plan_restore(
    head: Option<&ChangeRecord>,
    held: &ChangeRecord,
    change_id: ChangeId,
    time_ms: u64,
) -> RestorePlan {
    let Some(head) = head else {
        return RestorePlan::MoveHead(held.clone());
    };
    if head.change == held.change || head.follows(held.head()) {
        return RestorePlan::Nothing;
    }
    if held.follows(head.head()) {
        return RestorePlan::MoveHead(held.clone());
    }
    RestorePlan::MoveHead(held.restored_onto(head, change_id, time_ms))
}
