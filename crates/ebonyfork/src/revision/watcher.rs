//! What a zone's watcher does at the store: follow the head, read revisions, move a head that went back forward again.

use compact_str::{CompactString, format_compact};
use snafu::Snafu;
use xtra::WeakAddress;

use crate::store::{KeyWatch, StoreClient, StoreError, StoreRevision};

use super::actor::{HeadSeen, RevisionActor};
use super::assembly::{HeldRevision, RevisionAssembly};
use super::publisher::unix_millis;
use super::record::{ChangeId, ChangeRecord, HEAD_KEY, HeadRecord};
use super::restore::{RestorePlan, plan_restore};
use super::store::{move_head, parse_head, put_once, read_change, read_head, read_part, to_json};

/// Watches the head and reports each version of it until the feed ends.
pub(super) async fn watch_head(client: StoreClient, address: WeakAddress<RevisionActor>) {
    let mut watch = KeyWatch::new(client, HEAD_KEY);
    while address.is_connected() {
        let head = match watch.next().await.map(parse_head).transpose() {
            Ok(stored) => stored.map(|(_revision, head)| head),
            Err(error) => {
                log::warn!("{HEAD_KEY} can't be read, what is in force stays: {error}");
                continue;
            }
        };
        let _ended = address.send(HeadSeen { head }).await;
    }
}

/// Why a revision can't be read from the store.
#[derive(Debug, Snafu)]
pub(super) enum LoadFault {
    /// The call failed; later it may not.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The failure.
        source: StoreError,
    },
    /// The head names something that isn't there: it was written before the head was moved, so the store lost it.
    #[snafu(display("the store has lost {what}"))]
    Lost {
        /// What is missing.
        what: CompactString,
    },
}

/// Reads a revision whole; parts that are held already aren't read again.
pub(super) async fn load_revision(
    client: &StoreClient,
    head: HeadRecord,
    held: Option<&HeldRevision>,
) -> Result<HeldRevision, LoadFault> {
    let lost = |what| LoadFault::Lost { what };
    let change = read_change(client, head.change).await?;
    let change = change.filter(|change| change.head() == head);
    let change = change.ok_or_else(|| lost(format_compact!("the record of {head}")))?;
    let mut assembly = RevisionAssembly::new(change, held);
    for sha256 in assembly.missing() {
        let text = read_part(client, sha256).await?;
        let text = text.ok_or_else(|| lost(format_compact!("part {sha256}")))?;
        assembly.take_part(sha256, text);
    }
    assembly
        .finish()
        .map_err(|_unfinished| lost(format_compact!("a part of {head}")))
}

/// Moves the head forward again if the store has lost what is held, unless somebody else moves it first. Tells
/// whether it did.
pub(super) async fn restore_head(
    client: &StoreClient,
    held: &HeldRevision,
) -> Result<bool, StoreError> {
    let (version, change) = match read_head(client).await? {
        Some((version, head)) => (version, Some(read_known(client, held, head).await?)),
        None => (StoreRevision::ABSENT, None),
    };
    let id = ChangeId::random(&mut rand::rng());
    match plan_restore(change.as_ref(), &held.change, id, unix_millis()) {
        RestorePlan::Nothing => Ok(false),
        RestorePlan::Move(change) => {
            let texts = held.texts.clone();
            move_forward(client, version, HeldRevision { change, texts }).await
        }
    }
}

/// Reads the record of a head. A head is moved only after its record was written, so one without was lost.
async fn read_known(
    client: &StoreClient,
    held: &HeldRevision,
    head: HeadRecord,
) -> Result<ChangeRecord, StoreError> {
    if head == held.head() {
        return Ok(held.change.clone());
    }
    let change = read_change(client, head.change).await?;
    Ok(change.unwrap_or_else(|| ChangeRecord::lost(head)))
}

async fn move_forward(
    client: &StoreClient,
    version: StoreRevision,
    held: HeldRevision,
) -> Result<bool, StoreError> {
    let head = held.head();
    log::warn!(
        target: "ebonyfork::decision",
        "the store has lost what is held here: move its head from version {version} to {head}",
    );
    for (sha256, text) in held.texts {
        put_once(client, sha256.key(), text).await?;
    }
    put_once(client, head.change.key(), to_json(&held.change)).await?;
    move_head(client, version, head).await?;
    Ok(true)
}
