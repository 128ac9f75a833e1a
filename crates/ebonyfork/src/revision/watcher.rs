//! What a zone's watcher does at the store: follow the head, read revisions, move a head that went back forward again.

use std::time::Duration;

use compact_str::format_compact;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use xtra::WeakAddress;

use crate::platform::{Backoff, PlatformClient, PlatformError, StoredVersion, WatchChange};

use super::actor::{HeadSeen, RevisionActor};
use super::assembly::{HeldRevision, RevisionAssembly};
use super::publisher::unix_millis;
use super::record::{ChangeId, HEAD_KEY, HeadRecord};
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

/// Reads a revision whole; parts that are held already aren't read again.
pub(super) async fn load_revision(
    client: &PlatformClient,
    head: HeadRecord,
    held: Option<&HeldRevision>,
) -> Result<HeldRevision, PlatformError> {
    let missing = |what| PlatformError::Malformed { reason: what };
    let change = read_change(client, head.change).await?;
    let change = change.ok_or_else(|| missing(format_compact!("{head} has no record")))?;
    if change.head() != head {
        return Err(missing(format_compact!(
            "the record of {head} names another revision"
        )));
    }
    let mut assembly = RevisionAssembly::new(change, held);
    for sha256 in assembly.missing() {
        let text = read_part(client, sha256).await?;
        let text = text.ok_or_else(|| missing(format_compact!("part {sha256} is missing")))?;
        assembly.take_part(sha256, text);
    }
    assembly
        .finish()
        .map_err(|_unfinished| missing(format_compact!("{head} is not whole")))
}

/// Moves the head forward again if the store has lost what is held, unless somebody else moves it first. Tells
/// whether it did.
///
/// A head that went back along the held revision's own lineage is moved straight to it. If the lost number has been
/// published anew in the meantime, the held files are published once more on top of that.
pub(super) async fn restore_head(
    client: &PlatformClient,
    held: &HeldRevision,
) -> Result<bool, PlatformError> {
    let Some((version, head)) = read_head(client).await? else {
        return move_forward(client, StoredVersion::ABSENT, held.clone()).await;
    };
    let own = &held.change;
    if head == held.head() {
        return Ok(false);
    }
    if head.revision < own.revision && own.lineage.contains(&head.change) {
        return move_forward(client, version, held.clone()).await;
    }
    let Some(change) = read_change(client, head.change).await? else {
        let reason = format_compact!("{head} has no record");
        return Err(PlatformError::Malformed { reason });
    };
    if change.follows(held.head()) {
        return Ok(false);
    }
    let id = ChangeId::random(&mut rand::rng());
    let restored = HeldRevision {
        change: own.restored_onto(&change, id, unix_millis()),
        texts: held.texts.clone(),
    };
    move_forward(client, version, restored).await
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
