//! What entries and relays say to each other.
//!
//! Ids are short on the wire: the link's `Hello` names the entry's session once, so that an attempt is only the
//! query's number and its own. Times are spans, never clock readings, because the clocks of two VMs differ.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{
    ClassName, IdempotencyKey, IndexName, OrganisationName, RequestFingerprint, RunState,
    ServiceName, ShardNumber, SnapshotVersion, UpstreamAddress,
};

/// Why an attempt was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptPurpose {
    /// The first attempt at a shard.
    First,
    /// A second one while the first is still out.
    Hedge,
    /// A further one after an earlier came back without rows.
    Retry,
    /// One that is sent although the query has lost an upstream before: it runs alone, and is to blame for a further loss.
    AfterLoss,
}

/// One attempt within a [`SubmitBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardTarget {
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// The shard.
    pub shard: ShardNumber,
    /// The upstream to run it.
    pub upstream: UpstreamAddress,
    /// Why it is made.
    pub purpose: AttemptPurpose,
}

/// Attempts of one query for one relay; what they share is said once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitBatch {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Its class.
    pub class: ClassName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// The index.
    pub index: IndexName,
    /// The pinned version.
    pub version: SnapshotVersion,
    /// Microseconds left until the query's deadline when this was sent.
    pub remaining_us: u64,
    /// Fingerprint of class and selection.
    pub fingerprint: RequestFingerprint,
    /// Whether the attempts may run more than once.
    pub idempotent: bool,
    /// Key of a non-idempotent request.
    pub key: Option<IdempotencyKey>,
    /// The caller's selection.
    pub selection: Bytes,
    /// The attempts.
    pub targets: SmallVec<[ShardTarget; 4]>,
}

/// Attempts of one query that are no longer wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBatch {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// The attempts.
    pub attempts: SmallVec<[u32; 8]>,
}

/// Why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The upstream said so: it sheds load.
    Shed,
    /// The relay's queue is full.
    QueueFull,
    /// The deadline passed, or came too near, before it was sent.
    Expired,
    /// The relay does not own the upstream.
    NotOwner,
    /// The upstream is leaving or unknown.
    Leaving,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// Cancelled before it was sent.
    Cancelled,
    /// The request is quarantined.
    Quarantined,
    /// The relay is stopping or not ready.
    NotReady,
    /// The link to the relay broke before it was sent.
    LinkDown,
}

/// Why an attempt that was sent brought no rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureReason {
    /// The upstream answered with an error.
    Status,
    /// The connection broke under the request: evidence against the upstream and the request.
    Broken,
    /// The deadline passed while it was out.
    Timeout,
    /// Cancelled while it was out.
    Cancelled,
    /// The answer could not be read.
    Malformed,
    /// The link to the relay broke while it was out.
    LinkDown,
}

/// What became of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardVerdict {
    /// It ran; the upstream's JSON body at that version.
    Rows {
        /// The version that the rows reflect.
        version: SnapshotVersion,
        /// JSON text `{"rows":[…]}` as the upstream sent it.
        body: Bytes,
    },
    /// Not run: the upstream does not hold the pinned version.
    VersionGone {
        /// The newest version it holds.
        newest: SnapshotVersion,
    },
    /// Not run: another service holds the shard now.
    Moved {
        /// That service.
        service: ServiceName,
    },
    /// Not run.
    NotRun(RefusalReason),
    /// Sent, but without rows.
    Failed {
        /// Whether it ran, as far as known.
        ran: RunState,
        /// What happened.
        reason: FailureReason,
    },
}

/// The verdict of one attempt, with its times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOutcome {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// What became of it.
    pub verdict: ShardVerdict,
    /// Microseconds in the relay's queue.
    pub waited_us: u32,
    /// Microseconds at the upstream.
    pub served_us: u32,
}

/// What a relay says about one upstream it owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// Microseconds that a request submitted now would wait before it is sent.
    pub wait_us: u32,
    /// Microseconds that requests take at the upstream (median).
    pub service_us: u32,
    /// Concurrency limit in force.
    pub limit: u16,
    /// Whether it is leaving: no new work.
    pub leaving: bool,
}

/// Verdicts for one entry, with the load of the upstreams concerned.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBatch {
    /// Verdicts.
    pub outcomes: SmallVec<[ShardOutcome; 2]>,
    /// Loads of the upstreams.
    pub loads: SmallVec<[UpstreamLoad; 2]>,
}
