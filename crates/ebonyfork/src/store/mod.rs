//! Port to a persistent store that offers items with revisions, watches, conditional writes and leases.
//!
//! The trait [`StorePort`] states what is needed of a store; an adapter implements it for the protocol of a particular
//! store. [`MirrorState`] decides how a copy of a key range is kept, [`MirrorFeed`] runs it over a port, and
//! [`KeyWatch`] uses that to watch one key. [`StoreClient`] limits and counts the calls of a whole process.

mod backoff;
mod call_budget;
mod client;
mod feed;
mod key_watch;
mod mirror;
mod revision;

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::traffic::LinkTraffic;

pub use backoff::Backoff;
pub use call_budget::CallBudget;
pub use client::{StoreClient, VALUE_LIMIT};
pub use feed::{FeedStep, MirrorFeed, MirrorSettings};
pub use key_watch::KeyWatch;
#[cfg(test)]
pub(crate) use mirror::newest_events;
pub use mirror::{MirrorChange, MirrorState, MirrorStep};
pub use revision::{ParseRevisionError, StoreEra, StoreRevision};

/// Identity of a lease. Keys written under a lease are removed when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A key and its value as of the key's last change. Its `Debug` form shows the length of the value only, because a value
/// may contain what must not be logged.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// The item's key.
    pub key: CompactString,
    /// The bytes stored under the key.
    pub value: Bytes,
    /// The store revision of the key's last change.
    pub revision: StoreRevision,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// The key was written; holds the new item.
    Written(StoreItem),
    /// The key was removed, or its lease ended.
    Removed {
        /// The removed key.
        key: CompactString,
        /// The store revision of the removal.
        revision: StoreRevision,
    },
}

impl fmt::Debug for StoreItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreItem")
            .field("key", &self.key)
            .field("value", &format_args!("{} bytes", self.value.len()))
            .field("revision", &self.revision)
            .finish()
    }
}

impl StoreItem {
    /// Returns the item with the era of its revision replaced.
    #[must_use]
    pub fn with_era(mut self, era: StoreEra) -> Self {
        self.revision = self.revision.with_era(era);
        self
    }
}

impl StoreEvent {
    /// Returns the event with the era of its revision replaced.
    #[must_use]
    pub fn with_era(self, era: StoreEra) -> Self {
        match self {
            Self::Written(item) => Self::Written(item.with_era(era)),
            Self::Removed { key, revision } => Self::Removed {
                key,
                revision: revision.with_era(era),
            },
        }
    }

    /// Returns the key that changed.
    pub fn key(&self) -> &CompactString {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns whether the key was removed.
    pub fn is_removal(&self) -> bool {
        matches!(self, Self::Removed { .. })
    }

    /// Returns the store revision of the change.
    pub fn revision(&self) -> StoreRevision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// One page of a key range. Several pages are not a snapshot, because keys may change between the reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePage {
    /// Items of the page, in key order.
    pub items: Vec<StoreItem>,
    /// Whether there are further keys after the last item.
    pub has_more: bool,
    /// The store revision at which the page was read.
    pub revision: StoreRevision,
}

impl StorePage {
    /// Returns the page with the era of all its revisions replaced.
    #[must_use]
    pub fn with_era(mut self, era: StoreEra) -> Self {
        self.revision = self.revision.with_era(era);
        self.items = self
            .items
            .into_iter()
            .map(|item| item.with_era(era))
            .collect();
        self
    }
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWatch {
    /// Changes after the requested revision, oldest first; empty if there were none while the watch waited.
    pub events: Vec<StoreEvent>,
    /// The store revision from which the next watch continues.
    pub revision: StoreRevision,
}

impl StoreWatch {
    /// Returns the watch result with the era of all its revisions replaced.
    #[must_use]
    pub fn with_era(mut self, era: StoreEra) -> Self {
        self.revision = self.revision.with_era(era);
        self.events = self
            .events
            .into_iter()
            .map(|event| event.with_era(era))
            .collect();
        self
    }
}

/// A lease as granted by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identity of the lease.
    pub lease: LeaseId,
    /// How long the lease lasts without being renewed. The store may grant a different time than was requested.
    pub ttl: Duration,
}

/// A write of one key, which may be conditional on the key's revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key to write.
    pub key: CompactString,
    /// The value to store under the key.
    pub value: Bytes,
    /// The revision that the key must have for the write to take effect; `None` writes unconditionally.
    pub expected: Option<StoreRevision>,
    /// The lease to attach the key to, if any.
    pub lease: Option<LeaseId>,
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store states that it did nothing, because it is overloaded, is down or rejects this VM.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// The reason that the store stated.
        reason: CompactString,
    },
    /// No connection could be made, so the call had no effect.
    #[snafu(display("the store can't be reached: {reason}"))]
    Unreachable {
        /// Why the connection failed.
        reason: CompactString,
    },
    /// The call was sent and no answer arrived: it may have been executed, or may still be executed later.
    #[snafu(display("no answer from the store: {reason}"))]
    Lost {
        /// Why no answer arrived.
        reason: CompactString,
    },
    /// The store no longer holds the changes after the requested revision, so the range has to be read again.
    #[snafu(display("the store no longer holds the history that was asked for"))]
    HistoryGone,
    /// The store answered with more bytes than this process reads. Changes that don't fit into an answer have to be read
    /// as the range that they lead to.
    #[snafu(display("the store's answer has more than {limit} bytes"))]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
    /// The key is not at the revision that the write expects.
    #[snafu(display("the key has changed meanwhile, it is at revision {current}"))]
    Conflict {
        /// The key's current revision, 0 if the key does not exist.
        current: StoreRevision,
    },
    /// The store's answer violates the protocol.
    #[snafu(display("the store's answer is malformed: {reason}"))]
    Malformed {
        /// What is wrong in the answer, and where.
        reason: CompactString,
    },
}

impl StoreError {
    /// Returns whether a write that failed with this error may still have taken effect, or may do so later.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::store::StoreError;
    ///
    /// assert!(StoreError::Lost { reason: "connection reset".into() }.is_ambiguous());
    /// assert!(!StoreError::Refused { reason: "503".into() }.is_ambiguous());
    /// ```
    pub fn is_ambiguous(&self) -> bool {
        matches!(
            self,
            Self::Lost { .. } | Self::Malformed { .. } | Self::TooLong { .. }
        )
    }

    /// Returns whether the call certainly had no effect, so that repeating it is safe.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unreachable { .. })
    }
}

/// What the product requires of a store. An implementation sends one call per method and neither retries nor caches.
/// The revisions in an answer carry the era that the answer states, but a call carries only the number of a revision.
/// So only the era of the answer shows whether the call was executed in the intended history.
///
/// The returned futures are `Send`, so that actors on a multi-threaded runtime can hold a port.
pub trait StorePort: Clone + Send + Sync + 'static {
    /// Returns a port that counts the bytes received in answers, including incomplete ones, so that a long answer can
    /// be told from a missing one. A port that can't count returns itself.
    #[must_use]
    fn with_traffic(self, _traffic: LinkTraffic) -> Self {
        self
    }

    /// Reads one item; returns `None` if the key does not exist.
    fn read_item(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoreItem>, StoreError>> + Send;

    /// Reads the next page of items whose keys begin with `prefix` and follow the key `after`.
    fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<StorePage, StoreError>> + Send;

    /// Reads a page that may be some seconds old, which costs the store less. Its revision is that of its content. A port
    /// that has no such call reads the latest page.
    fn read_stale_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<StorePage, StoreError>> + Send {
        self.read_page(prefix, after)
    }

    /// Waits up to `wait` for changes of keys that begin with `prefix`, after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreWatch, StoreError>> + Send;

    /// Writes one key and returns its new revision.
    fn write(
        &self,
        write: StoreWrite,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>> + Send;

    /// Opens a lease that lasts `ttl` without being renewed.
    fn open_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseGrant, StoreError>> + Send;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease and removes its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Limits the wait for a store call. A call without an answer in this time counts as lost, because it may have been
/// executed.
pub async fn answer_within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_elapsed) => Err(timeout_error(timeout)),
    }
}

/// Longest time for which an answer may arrive, after the wait for its first bytes: the longest page over a link of 0.2
/// Mbit/s.
const LONGEST_ARRIVAL: Duration = Duration::from_mins(1);

/// Limits the wait for the first bytes of an answer to `first_timeout`, and the wait between further bytes to
/// `silence_timeout`. A long answer over a slow link must not time out while it arrives, because the repeated answer
/// would be as long. One that doesn't end counts as lost after [`LONGEST_ARRIVAL`].
pub async fn answer_while_receiving<T>(
    first_timeout: Duration,
    silence_timeout: Duration,
    traffic: &LinkTraffic,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::pin!(call);
    let longest_wait = first_timeout + LONGEST_ARRIVAL;
    let give_up_at = tokio::time::Instant::now() + longest_wait;
    let mut wait = first_timeout;
    loop {
        let byte_count = traffic.received_bytes();
        match tokio::time::timeout(wait, &mut call).await {
            Ok(result) => return result,
            Err(_elapsed) if traffic.received_bytes() == byte_count => {
                return Err(timeout_error(wait));
            }
            Err(_elapsed) if tokio::time::Instant::now() >= give_up_at => {
                return Err(timeout_error(longest_wait));
            }
            Err(_elapsed) => wait = silence_timeout,
        }
    }
}

fn timeout_error(timeout: Duration) -> StoreError {
    StoreError::Lost {
        reason: compact_str::format_compact!("no answer within {} ms", timeout.as_millis()),
    }
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
