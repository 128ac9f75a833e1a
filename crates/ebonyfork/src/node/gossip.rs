//! Connects membership to the subsystems that exchange state with other members through gossip.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::ident::{RevisionNumber, VmAddress};
use crate::membership::{MemberDigest, MemberHandle, MemberSnapshot};
use crate::node::dispatch::PeerDispatch;
use crate::quarantine::{QuarantineHandle, publish_notices, receive_notices};
use crate::revision::RevisionHandle;
use crate::views::NodeViews;

/// Time between two updates of the load in the digest.
const LOAD_UPDATE_PERIOD: Duration = Duration::from_secs(1);
/// Number of queries in flight that is reported as full load in the digest.
const FULL_LOAD_QUERIES: usize = 512;

/// Starts the tasks that exchange digests and notices between membership and the other subsystems.
pub(super) fn connect_gossip(
    tasks: &mut JoinSet<()>,
    membership: &MemberHandle,
    dispatch: &PeerDispatch,
    quarantine: &QuarantineHandle,
    views: &NodeViews,
) {
    tasks.spawn(publish_digest(
        membership.clone(),
        dispatch.clone(),
        views.clone(),
    ));
    tasks.spawn(follow_digests(
        membership.clone(),
        dispatch.revision.clone(),
    ));
    tasks.spawn(publish_notices(membership.clone(), quarantine.clone()));
    tasks.spawn(receive_notices(membership.clone(), quarantine.clone()));
}

/// Updates the digest of this process when its revision or load changes.
async fn publish_digest(membership: MemberHandle, dispatch: PeerDispatch, mut views: NodeViews) {
    let mut published_digest = MemberDigest::default();
    loop {
        let load =
            dispatch.entry.queries_in_flight().min(FULL_LOAD_QUERIES) * 1_000 / FULL_LOAD_QUERIES;
        let revision = views.config.borrow_and_update().revision;
        let digest = MemberDigest {
            revision,
            load: load as u16,
        };
        if digest != published_digest {
            membership.set_digest(digest);
            published_digest = digest;
        }
        tokio::select! {
            change_result = views.config.changed() => {
                if change_result.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(LOAD_UPDATE_PERIOD) => {}
        }
    }
}

/// Passes the revisions that the members hold to the configuration subsystem.
async fn follow_digests(membership: MemberHandle, revision: RevisionHandle) {
    let mut snapshot = membership.snapshot();
    loop {
        let current_snapshot = snapshot.borrow_and_update().clone();
        revision.record_gossiped_revisions(held_revisions(&current_snapshot));
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the revision that each running member holds.
fn held_revisions(
    snapshot: &Arc<MemberSnapshot>,
) -> impl Iterator<Item = (VmAddress, RevisionNumber)> {
    let running_members = snapshot
        .members()
        .iter()
        .filter(|member| member.state.is_present());
    running_members.map(|member| (member.vm, member.digest.revision))
}

/// Returns the newest revision that any member holds.
pub(super) fn newest_revision(snapshot: &MemberSnapshot) -> RevisionNumber {
    let revisions = snapshot
        .members()
        .iter()
        .map(|member| member.digest.revision);
    revisions.max().unwrap_or_default()
}
