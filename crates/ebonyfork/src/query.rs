//! A caller's query and what comes of it: the values that pass between the caller's border and the entry.
//!
//! They are also what one VM hands to another when a non-idempotent query belongs to that VM's session, so they have a
//! wire form. Every outcome says whether the query ran.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

use crate::ident::{
    ClassName, IdempotencyKey, OrganisationName, RunState, ShardNumber, SnapshotVersion,
};

/// Largest selection, in bytes.
pub const SELECTION_LIMIT: usize = 64 << 10;
/// Longest record name that selects the shard of a one-shard class, in bytes.
pub const RECORD_LIMIT: usize = 256;

/// One caller's query, with bounds already checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// Class of work.
    pub class: ClassName,
    /// The organisation it is for.
    pub organisation: OrganisationName,
    /// The caller's own bound; it can only tighten the class's.
    pub deadline: Option<Duration>,
    /// Selects the shard of a one-shard class.
    pub record: Option<CompactString>,
    /// What every shard is asked, opaque to the tier.
    pub selection: Bytes,
    /// Key of a non-idempotent query.
    pub key: Option<IdempotencyKey>,
    /// The caller's own name for the query, echoed in answer and logs.
    pub caller_id: Option<CompactString>,
}

/// How much of the index an answer covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryCoverage {
    /// Shards whose rows are in the answer.
    pub answered: u32,
    /// Shards of the pinned version that the query needs.
    pub total: u32,
    /// Shards without rows, ascending.
    pub missing: Vec<ShardNumber>,
}

impl QueryCoverage {
    /// Tells whether any shard is missing.
    pub fn is_thin(&self) -> bool {
        self.answered < self.total
    }

    /// The answered share, 0 to 1; an empty index is covered whole.
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
    /// The tier's name for the query: a `QueryId`, or the caller's own.
    pub query: CompactString,
    /// The snapshot that every row reflects.
    pub snapshot: SnapshotVersion,
    /// How much is covered.
    pub coverage: QueryCoverage,
    /// Per answered shard, in shard order, the JSON text `{"rows":[…]}` of its upstream.
    pub bodies: Vec<Bytes>,
}

/// Stable code of an outcome without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// A field of the request is malformed or missing.
    BadRequest,
    /// The organisation is not declared, or may not use the class.
    UnknownOrganisation,
    /// The class is not declared.
    UnknownClass,
    /// There is nothing at this path.
    NotFound,
    /// The outcome of this key can no longer be known.
    OutcomeUnknown,
    /// A header or the body exceeds its bound.
    TooLarge,
    /// The request has crashed upstreams.
    Quarantined,
    /// Upstreams failed.
    UpstreamFailed,
    /// The target can't be met at the present load.
    Overloaded,
    /// This VM has not synchronised yet, or is fenced.
    NotReady,
    /// This VM is stopping.
    Stopping,
    /// No upstream can take the work.
    NoUpstream,
    /// No answer good enough in time.
    Deadline,
}

impl RefusalCode {
    /// The code's text form, as callers see it.
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

/// An outcome without an answer.
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
    /// Why.
    pub code: RefusalCode,
    /// Whether it ran.
    pub ran: RunState,
    /// In words.
    pub message: CompactString,
    /// The malformed field.
    pub field: Option<CompactString>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl QueryRefusal {
    /// Makes a refusal.
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

    /// Names the malformed field.
    #[must_use]
    pub fn with_field(mut self, field: impl ToCompactString) -> Self {
        self.field = Some(field.to_compact_string());
        self
    }

    /// Tells when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for QueryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.ran, self.message)
    }
}

impl std::error::Error for QueryRefusal {}

/// What comes of a query.
pub type QueryOutcome = Result<QueryAnswer, QueryRefusal>;
