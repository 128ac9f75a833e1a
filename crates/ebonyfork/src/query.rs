//! A caller's query and its outcome, as passed between the callers' port and the entry.
//!
//! A non-idempotent query that belongs to the session of another VM is forwarded to that VM, so these types are also
//! sent between VMs. Every outcome says whether the query ran.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

use crate::ident::{
    ClassName, IdempotencyKey, OrganisationName, RunState, ShardNumber, SnapshotVersion,
};

/// Largest selection, in bytes.
pub const MAX_SELECTION_BYTES: usize = 64 << 10;
/// Longest record name, in bytes. The record selects the shard for a class whose queries go to one shard.
pub const MAX_RECORD_BYTES: usize = 256;

/// One caller's query, with all sizes already checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// Class of the query, which sets its targets.
    pub class: ClassName,
    /// Organisation on whose behalf the query is sent.
    pub organisation: OrganisationName,
    /// The caller's own time limit; it can only shorten the time limit of the class.
    pub deadline: Option<Duration>,
    /// Record that selects the shard, for a class whose queries go to one shard.
    pub record: Option<CompactString>,
    /// Request body sent to every shard, opaque to the tier.
    pub selection: Bytes,
    /// Idempotency key of a non-idempotent query.
    pub key: Option<IdempotencyKey>,
    /// The caller's own id of the query, repeated in the answer and in logs.
    pub caller_id: Option<CompactString>,
}

/// How much of the index an answer covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryCoverage {
    /// Number of shards whose rows are in the answer.
    pub answered: u32,
    /// Number of shards of the pinned index version that the query needs.
    pub total: u32,
    /// Shards whose rows are missing, in ascending order.
    pub missing: Vec<ShardNumber>,
}

impl QueryCoverage {
    /// Returns whether any shard is missing.
    pub fn is_incomplete(&self) -> bool {
        self.answered < self.total
    }

    /// Returns the fraction of shards that answered, from 0 to 1; it is 1 for an empty index.
    pub fn share(&self) -> f64 {
        if self.total == 0 {
            1.0
        } else {
            f64::from(self.answered) / f64::from(self.total)
        }
    }
}

impl fmt::Display for QueryCoverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.answered, self.total)
    }
}

/// The answer to one query, from one snapshot of the index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Id of the query: the caller's own, or else the text form of its `QueryId`.
    pub query: CompactString,
    /// Index version that every row reflects.
    pub snapshot: SnapshotVersion,
    /// How much of the index the answer covers.
    pub coverage: QueryCoverage,
    /// JSON text `{"rows":[…]}` from the upstream of each shard that answered, in shard order.
    pub bodies: Vec<Bytes>,
}

/// Stable code that tells callers why a query was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// A field of the request is malformed or missing.
    BadRequest,
    /// The organisation is not declared, or may not use the class.
    UnknownOrganisation,
    /// The class is not declared.
    UnknownClass,
    /// The HTTP path does not exist.
    NotFound,
    /// The outcome of this idempotency key can't be determined.
    OutcomeUnknown,
    /// A header or the body exceeds its size limit.
    TooLarge,
    /// The request is quarantined because it has crashed upstreams.
    Quarantined,
    /// Upstreams failed to answer.
    UpstreamFailed,
    /// The class's target can't be met at the current load.
    Overloaded,
    /// This VM has not synchronised yet, or is fenced.
    NotReady,
    /// This VM is stopping.
    Stopping,
    /// No upstream is available for the query.
    NoUpstream,
    /// No answer with sufficient coverage was ready in time.
    Deadline,
}

impl RefusalCode {
    /// Returns the code as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownOrganisation => "unknown-organisation",
            Self::UnknownClass => "unknown-class",
            Self::NotFound => "not-found",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::TooLarge => "too-large",
            Self::Quarantined => "quarantined",
            Self::UpstreamFailed => "upstream-failed",
            Self::Overloaded => "overloaded",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no-upstream",
            Self::Deadline => "deadline",
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The outcome of a query without an answer: it was refused, or it failed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::ident::RunState;
/// use ebonyfork::query::{QueryRefusal, RefusalCode};
///
/// let refusal = QueryRefusal::new(RefusalCode::Overloaded, RunState::NotRun, "queue is full")
///     .with_retry_after(Duration::from_millis(250));
/// assert_eq!(refusal.to_string(), "overloaded (not-run): queue is full");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryRefusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// Whether the query ran.
    pub ran: RunState,
    /// Explanation for the caller.
    pub message: CompactString,
    /// Name of the malformed field, if that is the reason.
    pub field: Option<CompactString>,
    /// Delay after which the caller may retry, if known.
    pub retry_after: Option<Duration>,
}

impl QueryRefusal {
    /// Creates a refusal without field and retry delay.
    pub fn new(code: RefusalCode, ran: RunState, message: impl ToCompactString) -> Self {
        let message = message.to_compact_string();
        Self {
            code,
            ran,
            message,
            field: None,
            retry_after: None,
        }
    }

    /// Sets the name of the malformed field.
    #[must_use]
    pub fn with_field(mut self, field: impl ToCompactString) -> Self {
        self.field = Some(field.to_compact_string());
        self
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl fmt::Display for QueryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.ran, self.message)
    }
}

impl std::error::Error for QueryRefusal {}

/// Outcome of a query: an answer or a refusal.
pub type QueryOutcome = Result<QueryAnswer, QueryRefusal>;
