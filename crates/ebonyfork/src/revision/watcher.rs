//! What a zone's watcher does at the store: follow the head, read revisions, move a head that went back forward again.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use snafu::Snafu;
use xtra::WeakAddress;

use crate::platform::{Backoff, PlatformClient, PlatformError, StoredVersion, WatchChange};

use super::actor::{HeadSeen, RevisionActor};
use super::assembly::{HeldRevision, RevisionAssembly};
use super::publisher::unix_millis;
use super::record::{ChangeId, ChangeRecord, HEAD_KEY, HeadRecord};
use super::restore::{RestorePlan, plan_restore};
use super::store::{move_head, parse_head, put_once, read_change, read_head, read_part, to_json};

/// How long one watch of the head waits.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// First and longest wait after a failed call.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Watches the head and reports each version of it until the feed ends.
pub(super) async fn watch_head(client: PlatformClient, address: WeakAddress<RevisionActor>) {
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
    let mut seen = None;
    while address.is_connected() {
        match watch_once(&client, seen).await {
            Ok(Some((version, changed))) => {
                backoff.reset();
                seen = Some(version);
                let _ended = address.send(changed).await;
            }
            Ok(None) => backoff.reset(),
            Err(error) => {
                log::debug!("watch of {HEAD_KEY}: {error}");
                // A store that restarts with older data may count up to the same version again: read, don't watch.
                seen = None;
                tokio::time::sleep(backoff.next_wait(&mut rng)).await;
            }
        }
    }
}

/// Waits for a version other than the one seen. The first time it reads instead, so that a missing head shows too.
async fn watch_once(
    client: &PlatformClient,
    seen: Option<StoredVersion>,
) -> Result<Option<(StoredVersion, HeadSeen)>, PlatformError> {
    let changed = match seen {
        Some(seen) => client.watch(HEAD_KEY, seen, WATCH_WAIT).await?,
        None => Some(match client.get(HEAD_KEY).await? {
            Some(stored) => WatchChange::Changed(stored),
            None => WatchChange::Deleted,
        }),
    };
    match changed {
        None => Ok(None),
        Some(WatchChange::Deleted) => Ok(Some((StoredVersion::ABSENT, HeadSeen { head: None }))),
        Some(WatchChange::Changed(stored)) => {
            let (version, head) = parse_head(stored)?;
            let head = Some(head);
            Ok(Some((version, HeadSeen { head })))
        }
    }
}

/// Why a revision can't be read from the store.
#[derive(Debug, Snafu)]
pub(super) enum LoadFault {
    /// The call failed; later it may not.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The failure.
        source: PlatformError,
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
    client: &PlatformClient,
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
    client: &PlatformClient,
    held: &HeldRevision,
) -> Result<bool, PlatformError> {
    let (version, change) = match read_head(client).await? {
        Some((version, head)) => (version, Some(read_known(client, held, head).await?)),
        None => (StoredVersion::ABSENT, None),
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
    client: &PlatformClient,
    held: &HeldRevision,
    head: HeadRecord,
) -> Result<ChangeRecord, PlatformError> {
    if head == held.head() {
        return Ok(held.change.clone());
    }
    let change = read_change(client, head.change).await?;
    Ok(change.unwrap_or_else(|| ChangeRecord::lost(head)))
}

async fn move_forward(
    client: &PlatformClient,
    version: StoredVersion,
    held: HeldRevision,
) -> Result<bool, PlatformError> {
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
