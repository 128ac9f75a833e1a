//! What the slices of a node tell other members, and what they hear from them.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::ident::{RevisionNumber, VmAddress};
use crate::membership::{MemberDigest, MemberHandle, MemberSnapshot};
use crate::node::dispatch::PeerDispatch;
use crate::quarantine::{QuarantineHandle, publish_notices, receive_notices};
use crate::revision::RevisionHandle;
use crate::views::NodeViews;

/// Time between two looks at the load that the digest tells.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// Queries in flight that count as a full load in the digest.
const FULL_LOAD: usize = 512;

/// Joins membership to the slices that speak through it.
pub(super) fn join_gossip(
    tasks: &mut JoinSet<()>,
    members: &MemberHandle,
    dispatch: &PeerDispatch,
    quarantine: &QuarantineHandle,
    views: &NodeViews,
) {
    tasks.spawn(tell_digest(
        members.clone(),
        dispatch.clone(),
        views.clone(),
    ));
    tasks.spawn(hear_digests(members.clone(), dispatch.revision.clone()));
    tasks.spawn(publish_notices(members.clone(), quarantine.clone()));
    tasks.spawn(receive_notices(members.clone(), quarantine.clone()));
}

async fn tell_digest(members: MemberHandle, dispatch: PeerDispatch, mut views: NodeViews) {
    let mut told = MemberDigest::default();
    loop {
        let load = dispatch.entry.in_flight().min(FULL_LOAD) * 1_000 / FULL_LOAD;
        let revision = views.config.borrow_and_update().revision;
        let digest = MemberDigest {
            revision,
            load: load as u16,
        };
        if digest != told {
            members.set_digest(digest);
            told = digest;
        }
        tokio::select! {
            changed = views.config.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(LOAD_PERIOD) => {}
        }
    }
}

async fn hear_digests(members: MemberHandle, revision: RevisionHandle) {
    let mut snapshot = members.snapshot();
    loop {
        let seen = snapshot.borrow_and_update().clone();
        revision.record_gossiped_revisions(held_revisions(&seen));
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

fn held_revisions(
    snapshot: &Arc<MemberSnapshot>,
) -> impl Iterator<Item = (VmAddress, RevisionNumber)> {
    let present = snapshot
        .members()
        .iter()
        .filter(|member| member.state.is_present());
    present.map(|member| (member.vm, member.digest.revision))
}

/// The newest revision that any member holds.
pub(super) fn newest_revision(snapshot: &MemberSnapshot) -> RevisionNumber {
    let revisions = snapshot
        .members()
        .iter()
        .map(|member| member.digest.revision);
    revisions.max().unwrap_or_default()
}
