//! Runs a publishing against the store.

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
use super::store::{move_head, put_once, read_change, read_evidence, read_head, to_json};

/// First and longest wait after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Milliseconds since the Unix epoch by this machine's clock.
pub fn unix_millis() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| passed.as_millis() as u64)
}

/// Publishes declarations onto whatever head there is.
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

/// Checks declarations and prepares their publishing as a new change.
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
    /// Publishes only onto the head that the author has seen.
    #[must_use]
    pub fn with_base(mut self, base: Option<HeadRecord>) -> Self {
        self.base = ExpectedBase::Exactly(base);
        self
    }
}

/// Publishes a prepared change.
pub async fn publish_prepared(client: &StoreClient, request: PublishRequest) -> PublishOutcome {
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
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
            PublishAction::PutPart(number) => {
                let (digest, text) = run.part(number);
                PublishReply::Written(put_once(client, digest.key(), text).await)
            }
            PublishAction::PutChange(change) => {
                let key = change.change.key();
                PublishReply::Written(put_once(client, key, to_json(&change)).await)
            }
            PublishAction::MoveHead(version, head) => {
                PublishReply::Moved(move_head(client, version, head).await)
            }
        };
        if reply.is_answered() {
            backoff.reset();
        }
        action = run.take(reply);
    }
}
