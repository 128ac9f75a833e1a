//! Which change may replace which, and what becomes of a head that lacks what is held: plain code over records.
//!
//! A VM takes only a change that follows what it holds. The one exception is a VM that has just started: what it took
//! first may come from a store that had lost its last writes. For a while its revision is *provisional*: it gives way
//! to whatever a settled peer holds on another line, and is never used to restore the store.

use std::time::Duration;

use super::record::{ChangeId, ChangeRecord, HeadRecord};

/// How long the first revision after a start stays provisional: long enough to have heard of all peers.
pub const PROVISIONAL_TIME: Duration = Duration::from_secs(10);

/// What a watcher does about the store's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RestorePlan {
    /// The head is what is held, or follows it.
    Nothing,
    /// Move the head to this change.
    Move(ChangeRecord),
}

/// Tells whether a change may replace what is held, whoever showed it.
pub fn may_take(held: Option<&ChangeRecord>, provisional: bool, change: &ChangeRecord) -> bool {
    let Some(held) = held else {
        return true;
    };
    change.follows(held.head()) || provisional && change.revision > held.revision
}

/// Tells whether what a settled peer holds must replace a provisional revision: it stands on another line.
pub fn must_adopt(held: &ChangeRecord, settled: HeadRecord) -> bool {
    held.change != settled.change && !held.lineage.contains(&settled.change)
}

/// Plans what to do when the store shows the change `head`, or none, and `held` is in force.
///
/// A head that went back along the held revision's own lineage is moved straight to it again. If the lost number has
/// been published anew in the meantime, the held files are published once more on top of that, as the change `id`.
pub fn plan_restore(
    head: Option<&ChangeRecord>,
    held: &ChangeRecord,
    id: ChangeId,
    time_ms: u64,
) -> RestorePlan {
    let Some(head) = head else {
        return RestorePlan::Move(held.clone());
    };
    if head.change == held.change || head.follows(held.head()) {
        return RestorePlan::Nothing;
    }
    if held.follows(head.head()) {
        return RestorePlan::Move(held.clone());
    }
    RestorePlan::Move(held.restored_onto(head, id, time_ms))
}
