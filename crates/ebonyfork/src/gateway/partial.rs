//! What VMs say to one another about parts of a query over many shards.
//!
//! A VM that answers a caller asks a VM beside far upstreams to gather those shards. What comes back is one merged
//! list of records with the signatures of the parts, instead of one HTTP answer a shard: about 400 bytes for seven
//! shards instead of 4,500.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Asks a VM to gather some shards of a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialQuery {
    /// Names the query between the two VMs.
    pub number: u64,
    /// Names the route and its shards.
    pub mark: u64,
    /// Shards to gather, by their place in the route's list.
    pub shards: SmallVec<[u16; 16]>,
    /// Microseconds for which an answer is of full use; 0 if that has passed.
    pub answer_left_us: u32,
    /// Microseconds until the query ends.
    pub finish_left_us: u32,
    /// The longest wait that callers of the route have stated to the asking VM, in microseconds; 0 if there was none.
    pub longest_wait_us: u32,
    /// The caller's request.
    pub request: PartialRequest,
}

/// A caller's request between our VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialRequest {
    /// Method.
    pub method: CompactString,
    /// Path and query.
    pub target: CompactString,
    /// Headers that are passed on.
    pub headers: Vec<(CompactString, Bytes)>,
    /// Body.
    pub body: Bytes,
}

/// A part that is in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSignature {
    /// The shard, by its place in the route's list.
    pub shard: u16,
    /// The upstream's signature.
    pub signature: Bytes,
    /// Microseconds that the upstream took.
    pub took_us: u32,
}

/// How far a request got with a shard that could not be gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReach {
    /// It has reached no upstream: another attempt is a first one.
    Unsent,
    /// Upstreams have declined it: another attempt is a repeat.
    Declined,
    /// An upstream may have run it.
    Run,
    /// An upstream may have run it, and a connection broke under it.
    Broken,
}

/// A shard that could not be gathered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedShard {
    /// The shard, by its place in the route's list.
    pub shard: u16,
    /// How far the request got.
    pub reach: ShardReach,
    /// Whether the upstream here can't be reached or pauses: another one should be taken for a moment.
    pub avoid: bool,
}

/// Parts that have come in since the last reply to the same query.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialReply {
    /// The query.
    pub number: u64,
    /// The parts whose records are merged in this reply.
    pub parts: Vec<ShardSignature>,
    /// The greatest records of these parts.
    pub records: Bytes,
    /// Shards that won't come.
    pub failed: Vec<FailedShard>,
}

/// One message between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartialMessage {
    /// Asks for parts.
    Query(PartialQuery),
    /// Parts.
    Reply(PartialReply),
    /// The query with this number has ended.
    Cancel(u64),
}
