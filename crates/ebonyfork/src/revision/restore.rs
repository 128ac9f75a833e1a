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
pub fn may_replace(
    held_change: Option<&ChangeRecord>,
    is_provisional: bool,
    change: &ChangeRecord,
) -> bool {
    let Some(held_change) = held_change else {
        return true;
    };
    change.follows(held_change.head()) || is_provisional && change.revision > held_change.revision
}

/// Returns whether a settled peer's change must replace a provisional one, because it isn't among its ancestors.
pub fn must_adopt(held_change: &ChangeRecord, settled_head: HeadRecord) -> bool {
    held_change.change != settled_head.change && !held_change.lineage.contains(&settled_head.change)
}

/// Plans the repair of the store's head while `held_change` is in force; `head` is the change that the store shows, if
/// any.
///
/// A head that is an ancestor of the held change is moved back to the held change. If other changes were published
/// after the store had lost the held one, the held files are published again on top of them, as the change `change_id`.
pub fn plan_restore(
    head: Option<&ChangeRecord>,
    held_change: &ChangeRecord,
    change_id: ChangeId,
    time_ms: u64,
) -> RestorePlan {
    let Some(head) = head else {
        return RestorePlan::MoveHead(held_change.clone());
    };
    if head.change == held_change.change || head.follows(held_change.head()) {
        return RestorePlan::Nothing;
    }
    if held_change.follows(head.head()) {
        return RestorePlan::MoveHead(held_change.clone());
    }
    RestorePlan::MoveHead(held_change.restored_onto(head, change_id, time_ms))
}
