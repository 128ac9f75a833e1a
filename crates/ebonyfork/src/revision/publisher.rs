//! Runs a [`PublishRun`] against the store.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compact_str::{CompactString, ToCompactString};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::declaration::DeclaredFile;
use crate::finding::FindingList;
use crate::store::{Backoff, StoreClient};

use super::publish::{
    ExpectedBase, PublishAction, PublishOutcome, PublishReply, PublishRequest, PublishRun,
};
use super::record::{ChangeId, HeadRecord, PartSet};
use super::store::{move_head, put_if_absent, read_change, read_evidence, read_head, to_json};

/// Wait after the first failed store call; it doubles with each further failure.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(100);
/// Maximum wait after a failed store call.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);

/// Returns the milliseconds since the Unix epoch by this machine's clock.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Publishes declarations on top of whatever the current head is.
///
/// # Examples
///
/// ```no_run
/// use ebonyfork::declaration::DeclaredFile;
/// use ebonyfork::store::StoreClient;
/// use ebonyfork::revision::publish;
///
/// # async fn example(client: StoreClient) {
/// let files = [DeclaredFile::new("main.ini", "[service tender-00]\nconnections = 25\ndrain = 10s\n")];
/// let outcome = publish(&client, &files, "kim", "first services").await;
/// println!("{outcome:?}");
/// # }
/// ```
pub async fn publish(
    client: &StoreClient,
    files: &[DeclaredFile],
    author: impl ToCompactString,
    note: impl ToCompactString,
) -> PublishOutcome {
    match publish_request(files, author, note) {
        Ok(request) => publish_prepared(client, request).await,
        Err(findings) => PublishOutcome::Invalid { findings },
    }
}

/// Checks declarations and prepares a request that publishes them as a new change.
pub fn publish_request(
    files: &[DeclaredFile],
    author: impl ToCompactString,
    note: impl ToCompactString,
) -> Result<PublishRequest, FindingList> {
    let (author, note): (CompactString, CompactString) =
        (author.to_compact_string(), note.to_compact_string());
    Ok(PublishRequest {
        parts: PartSet::new(files)?,
        change: ChangeId::random(&mut rand::rng()),
        author,
        note,
        time_ms: unix_millis(),
        base: ExpectedBase::Any,
    })
}

impl PublishRequest {
    /// Sets the head that the author has seen; `None` means that the store had no head yet. If the store has another
    /// head when the change is published, the outcome is a conflict; if it has lost its head, nothing is published.
    #[must_use]
    pub fn with_base(mut self, base: Option<HeadRecord>) -> Self {
        self.base = ExpectedBase::Exactly(base);
        self
    }
}

/// Publishes a prepared request.
pub async fn publish_prepared(client: &StoreClient, request: PublishRequest) -> PublishOutcome {
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut backoff = Backoff::new(FIRST_RETRY_WAIT, MAX_RETRY_WAIT);
    let mut run = PublishRun::new(request);
    let mut action = run.start();
    loop {
        let reply = match action {
            PublishAction::Finish(outcome) => return outcome,
            PublishAction::Pause => {
                tokio::time::sleep(backoff.next_wait(&mut rng)).await;
                PublishReply::Paused
            }
            PublishAction::ReadHead => PublishReply::Head(read_head(client).await),
            PublishAction::ReadEvidence => PublishReply::Evidence(read_evidence(client).await),
            PublishAction::ReadChange(change) => {
                PublishReply::Change(read_change(client, change).await)
            }
            PublishAction::PutPart(index) => {
                let (digest, text) = run.part(index);
                PublishReply::Written(put_if_absent(client, digest.key(), text).await)
            }
            PublishAction::PutChange(change) => {
                let key = change.change.key();
                PublishReply::Written(put_if_absent(client, key, to_json(&change)).await)
            }
            PublishAction::MoveHead(version, head) => {
                PublishReply::Moved(move_head(client, version, head).await)
            }
        };
        if reply.is_success() {
            backoff.reset();
        }
        action = run.apply_reply(reply);
    }
}
