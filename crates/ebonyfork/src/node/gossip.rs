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
    members: &MemberHandle,
    dispatch: &PeerDispatch,
    quarantine: &QuarantineHandle,
    views: &NodeViews,
) {
    tasks.spawn(publish_digest(
        members.clone(),
        dispatch.clone(),
        views.clone(),
    ));
    tasks.spawn(follow_digests(members.clone(), dispatch.revision.clone()));
    tasks.spawn(publish_notices(members.clone(), quarantine.clone()));
    tasks.spawn(receive_notices(members.clone(), quarantine.clone()));
}

/// Updates the digest of this process when its revision or load changes.
async fn publish_digest(members: MemberHandle, dispatch: PeerDispatch, mut views: NodeViews) {
    let mut published = MemberDigest::default();
    loop {
        let load =
            dispatch.entry.queries_in_flight().min(FULL_LOAD_QUERIES) * 1_000 / FULL_LOAD_QUERIES;
        let revision = views.config.borrow_and_update().revision;
        let digest = MemberDigest {
            revision,
            load: load as u16,
        };
        if digest != published {
            members.set_digest(digest);
            published = digest;
        }
        tokio::select! {
            changed = views.config.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(LOAD_UPDATE_PERIOD) => {}
        }
    }
}

/// Passes the revisions that the members hold to the configuration subsystem.
async fn follow_digests(members: MemberHandle, revision: RevisionHandle) {
    let mut snapshot = members.snapshot();
    loop {
        let current = snapshot.borrow_and_update().clone();
        revision.record_gossiped_revisions(held_revisions(&current));
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the revision that each running member holds.
fn held_revisions(
    snapshot: &Arc<MemberSnapshot>,
) -> impl Iterator<Item = (VmAddress, RevisionNumber)> {
    let running = snapshot
        .members()
        .iter()
        .filter(|member| member.state.is_present());
    running.map(|member| (member.vm, member.digest.revision))
}

/// Returns the newest revision that any member holds.
pub(super) fn newest_revision(snapshot: &MemberSnapshot) -> RevisionNumber {
    let revisions = snapshot
        .members()
        .iter()
        .map(|member| member.digest.revision);
    revisions.max().unwrap_or_default()
}
