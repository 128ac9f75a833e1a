//! The messages between entries and relays.
//!
//! Ids are short on the wire: the link's `Hello` identifies the entry's session once, so that an attempt is identified
//! by the query number and its own number. Times are durations rather than clock readings, because the clocks of two
//! VMs differ.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{
    ClassName, IdempotencyKey, IndexName, OrganisationName, RequestFingerprint, RunState,
    ServiceName, ShardNumber, SnapshotVersion, UpstreamAddress,
};

/// Why an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptPurpose {
    /// The first attempt at a shard.
    First,
    /// A second attempt at a shard while the first is still unanswered.
    Hedge,
    /// A further attempt at a shard after an earlier one ended without rows.
    Retry,
    /// An attempt of a query that was already in flight when an upstream was lost. It is sent while nothing else is in
    /// flight at its upstream, so that a further loss can be attributed to the query.
    AfterLoss,
}

/// One attempt within a [`SubmitBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardTarget {
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// The shard to query.
    pub shard: ShardNumber,
    /// The upstream to send the attempt to.
    pub upstream: UpstreamAddress,
    /// Why the attempt is made.
    pub purpose: AttemptPurpose,
}

/// Attempts of one query for one relay, with the fields that they share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitBatch {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// The query's class.
    pub class: ClassName,
    /// The query's organisation.
    pub organisation: OrganisationName,
    /// The index that is queried.
    pub index: IndexName,
    /// The index version to which the query is pinned.
    pub version: SnapshotVersion,
    /// Time from sending this batch to the query's deadline, in microseconds.
    pub remaining_us: u64,
    /// Fingerprint of the query's class and selection.
    pub fingerprint: RequestFingerprint,
    /// Whether the attempts may run more than once.
    pub idempotent: bool,
    /// Idempotency key of a non-idempotent query.
    pub key: Option<IdempotencyKey>,
    /// The selection as the caller sent it.
    pub selection: Bytes,
    /// The attempts.
    pub targets: SmallVec<[ShardTarget; 4]>,
}

/// Attempts of one query that are no longer wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBatch {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Numbers of the attempts within the query.
    pub attempts: SmallVec<[u32; 8]>,
}

/// Why an attempt has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The upstream stated explicitly that it has not run the attempt, because it sheds load.
    Shed,
    /// The relay's queue was full.
    QueueFull,
    /// The deadline passed, or became too close, before the attempt was sent.
    Expired,
    /// The relay does not own the upstream.
    NotOwner,
    /// The upstream is leaving or unknown.
    Leaving,
    /// No connection to the upstream could be opened, so nothing was sent.
    Unreachable,
    /// The attempt was cancelled before it was sent.
    Cancelled,
    /// The request is quarantined.
    Quarantined,
    /// The relay is stopping or not ready.
    NotReady,
    /// The link to the relay broke before the attempt was sent.
    LinkDown,
}

/// Why an attempt that was sent returned no rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureReason {
    /// The upstream answered with an error status.
    Status,
    /// The connection broke while the attempt was in flight, which counts against the upstream and against the request.
    Broken,
    /// The deadline passed while the attempt was in flight.
    Timeout,
    /// The attempt was cancelled while it was in flight.
    Cancelled,
    /// The answer could not be decoded.
    Malformed,
    /// The link to the relay broke while the attempt was in flight.
    LinkDown,
}

/// The result of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardVerdict {
    /// The attempt ran and returned rows.
    Rows {
        /// The index version that the rows reflect.
        version: SnapshotVersion,
        /// JSON text `{"rows":[…]}` as the upstream sent it.
        body: Bytes,
    },
    /// The attempt has not run, because the upstream does not hold the pinned index version.
    VersionGone {
        /// The newest version that the upstream holds.
        newest: SnapshotVersion,
    },
    /// The attempt has not run, because the shard is now served by another service.
    Moved {
        /// The service that serves the shard.
        service: ServiceName,
    },
    /// The attempt has not run for another reason.
    NotRun(RefusalReason),
    /// The attempt was sent, but no rows were returned.
    Failed {
        /// Whether the attempt ran, as far as known.
        ran: RunState,
        /// Why no rows were returned.
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
    /// The upstream to which the attempt was assigned.
    pub upstream: UpstreamAddress,
    /// The result of the attempt.
    pub verdict: ShardVerdict,
    /// Time that the attempt waited in the relay, in microseconds.
    pub waited_us: u32,
    /// Time from sending the attempt to the upstream to its outcome, in microseconds; zero if it was not sent.
    pub served_us: u32,
}

/// The load of one upstream, as reported by the relay that owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// Expected queueing time of a request that is submitted now, in microseconds.
    pub wait_us: u32,
    /// Median service time at the upstream, in microseconds.
    pub service_us: u32,
    /// The concurrency limit of the upstream in attempts, without the additional attempt of a running trial.
    pub limit: u16,
    /// Whether the upstream is leaving and gets no new attempts.
    pub leaving: bool,
}

/// Outcomes of attempts of one entry, with the loads of the upstreams involved.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBatch {
    /// One outcome per attempt. A relay sends the outcomes of a batch that it refuses as a whole together, in the order
    /// of the batch, and any other outcome by itself.
    pub outcomes: SmallVec<[ShardOutcome; 2]>,
    /// Loads of the upstreams to which the attempts were assigned.
    pub loads: SmallVec<[UpstreamLoad; 2]>,
}
