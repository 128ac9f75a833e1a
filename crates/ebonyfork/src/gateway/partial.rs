//! Messages between VMs about shards of a query over many shards.
//!
//! A VM that answers a caller delegates distant shards to a VM next to their upstreams. That VM returns one merged list
//! of records with the signatures of the partial answers instead of one HTTP answer per shard: about 400 bytes instead
//! of 4,500 for seven shards.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Query that asks a VM to gather some shards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialQuery {
    /// Identifies the query between the two VMs.
    pub number: u64,
    /// Digest of the route's name and shards, by which the asked VM finds the route.
    pub digest: u64,
    /// Shards to gather, as indices into the route's list.
    pub shards: SmallVec<[u16; 16]>,
    /// Microseconds for which an answer is of full value; 0 if that time has passed.
    pub answer_left_us: u32,
    /// Microseconds until the query ends.
    pub finish_left_us: u32,
    /// Longest wait that callers of the route have stated to the asking VM, in microseconds; 0 if there was none.
    pub longest_wait_us: u32,
    /// Request of the caller.
    pub request: PartialRequest,
}

/// Caller's request as passed between our VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialRequest {
    /// HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub target: CompactString,
    /// Headers to forward.
    pub headers: Vec<(CompactString, Bytes)>,
    /// Request body.
    pub body: Bytes,
}

/// Metadata of a shard's partial answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSignature {
    /// Shard, as an index into the route's list.
    pub shard: u16,
    /// Signature of the upstream over its partial answer, passed on to the caller.
    pub signature: Bytes,
    /// Duration of the attempt that brought the answer, in microseconds.
    pub took_us: u32,
}

/// Progress of a request at a shard that could not be gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardProgress {
    /// No upstream has received the request: another attempt is a first one.
    Unsent,
    /// Upstreams have declined the request: another attempt is a retry.
    Declined,
    /// An upstream may have run the request.
    Run,
    /// An upstream may have run the request, and its connection broke.
    Broken,
}

/// A shard that could not be gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedShard {
    /// Shard, as an index into the route's list.
    pub shard: u16,
    /// Progress of the request at the shard.
    pub progress: ShardProgress,
    /// Whether the upstream is unreachable or paused for the replying VM, so that another one should be used for a
    /// moment.
    pub avoid: bool,
}

/// Partial answers that have arrived since the previous reply to the same query.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialReply {
    /// Number of the query.
    pub number: u64,
    /// Shards whose records are merged in this reply.
    pub parts: Vec<ShardSignature>,
    /// Greatest records of these shards, merged.
    pub records: Bytes,
    /// Shards that the replying VM can't gather.
    pub failed: Vec<FailedShard>,
}

/// Message between gateways about shards of a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartialMessage {
    /// Asks to gather shards.
    Query(PartialQuery),
    /// Reply with partial answers.
    Reply(PartialReply),
    /// Ends the query with this number.
    Cancel(u64),
}
