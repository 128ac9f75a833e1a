//! The store calls of a zone's watcher: watching the head, loading revisions, and restoring the head
//! after the store has lost its last writes.

use compact_str::{CompactString, format_compact};
use snafu::Snafu;
use xtra::WeakAddress;

use crate::store::{KeyWatch, StoreClient, StoreError, StoreRevision};

use super::actor::{HeadObserved, RevisionActor};
use super::assembly::{HeldRevision, RevisionAssembly};
use super::publisher::unix_millis;
use super::record::{ChangeId, ChangeRecord, HEAD_KEY, HeadRecord};
use super::restore::{RestorePlan, plan_restore};
use super::store::{
    move_head, parse_head, put_if_absent, read_change, read_head, read_part, to_json,
};

/// Watches the head and reports each of its versions to the actor until the feed ends.
pub(super) async fn watch_head(client: StoreClient, address: WeakAddress<RevisionActor>) {
    let mut watch = KeyWatch::new(client, HEAD_KEY);
    while address.is_connected() {
        let head = match watch.next().await.map(parse_head).transpose() {
            Ok(stored_head) => stored_head.map(|(_revision, head)| head),
            Err(error) => {
                log::warn!("{HEAD_KEY} can't be read, the revision in force stays: {error}");
                continue;
            }
        };
        let _send_result = address.send(HeadObserved { head }).await;
    }
}

/// Why a revision couldn't be loaded from the store.
#[derive(Debug, Snafu)]
pub(super) enum LoadError {
    /// A store call failed; a later attempt may succeed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The error of the store call.
        source: StoreError,
    },
    /// The head names a record or part that the store doesn't have. They are written before the head is moved, so the
    /// store has lost them.
    #[snafu(display("the store has lost {missing_item}"))]
    Lost {
        /// The missing record or part.
        missing_item: CompactString,
    },
}

/// Loads a revision with all of its parts; parts that are already held aren't read again.
pub(super) async fn load_revision(
    client: &StoreClient,
    head: HeadRecord,
    held_revision: Option<&HeldRevision>,
) -> Result<HeldRevision, LoadError> {
    let lost_error = |missing_item| LoadError::Lost { missing_item };
    let change = read_change(client, head.change).await?;
    let change = change.filter(|change| change.head() == head);
    let change = change.ok_or_else(|| lost_error(format_compact!("the record of {head}")))?;
    let mut assembly = RevisionAssembly::new(change, held_revision);
    for sha256 in assembly.missing_parts() {
        let text = read_part(client, sha256).await?;
        let text = text.ok_or_else(|| lost_error(format_compact!("part {sha256}")))?;
        assembly.add_part(sha256, text);
    }
    assembly
        .finish()
        .map_err(|_unfinished| lost_error(format_compact!("a part of {head}")))
}

/// Moves the head forward again if the store has lost the held revision, unless somebody else moves the head first.
/// Returns whether the head was moved.
pub(super) async fn restore_head(
    client: &StoreClient,
    held_revision: &HeldRevision,
) -> Result<bool, StoreError> {
    let (version, change) = match read_head(client).await? {
        Some((version, head)) => (
            version,
            Some(read_head_change(client, held_revision, head).await?),
        ),
        None => (StoreRevision::ABSENT, None),
    };
    let change_id = ChangeId::random(&mut rand::rng());
    match plan_restore(
        change.as_ref(),
        &held_revision.change,
        change_id,
        unix_millis(),
    ) {
        RestorePlan::Nothing => Ok(false),
        RestorePlan::MoveHead(change) => {
            let texts = held_revision.texts.clone();
            move_head_forward(client, version, HeldRevision { change, texts }).await
        }
    }
}

/// Reads the change record of a head. The record is written before the head is moved, so a missing one was lost by the
/// store.
async fn read_head_change(
    client: &StoreClient,
    held_revision: &HeldRevision,
    head: HeadRecord,
) -> Result<ChangeRecord, StoreError> {
    if head == held_revision.head() {
        return Ok(held_revision.change.clone());
    }
    let change = read_change(client, head.change).await?;
    Ok(change.unwrap_or_else(|| ChangeRecord::placeholder(head)))
}

/// Writes the parts and the record of a revision if the store lacks them, then moves the head to it. Fails if the
/// head's key is no longer at `version`.
async fn move_head_forward(
    client: &StoreClient,
    version: StoreRevision,
    restored_revision: HeldRevision,
) -> Result<bool, StoreError> {
    let head = restored_revision.head();
    log::warn!(
        target: "ebonyfork::decision",
        "the store has lost the held revision: move its head from version {version} to {head}",
    );
    for (sha256, text) in restored_revision.texts {
        put_if_absent(client, sha256.key(), text).await?;
    }
    put_if_absent(
        client,
        head.change.key(),
        to_json(&restored_revision.change),
    )
    .await?;
    move_head(client, version, head).await?;
    Ok(true)
}
