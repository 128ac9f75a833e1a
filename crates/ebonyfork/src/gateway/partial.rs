//! Messages between VMs about shards of a query over many shards.
//!
//! A VM that answers a caller delegates distant shards to a VM next to their upstreams. That VM returns one merged list
//! of records with the signatures of the partial answers instead of one HTTP answer per shard: about 400 bytes instead
//! of 4,500 for seven shards.
//!
//! The two VMs may have different versions of the configuration. The query therefore states all that decides over the
//! content of the parts, and the other VM uses that instead of its own configuration.
//!
//! # Earlier releases
//!
//! Both messages end with a field that earlier releases neither send nor read. A decoder ignores what follows the fields
//! that it knows, and [`RecordCut::Unstated`] stands for a field that is missing.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize};
use smallvec::SmallVec;

use crate::gateway::merge::RECORD_BYTES;

/// Number of greatest records to which a merged list is cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordCut {
    /// The sender's release doesn't state it.
    #[default]
    Unstated,
    /// The list holds at least the greatest records of this number, or all records.
    Greatest(u32),
}

impl RecordCut {
    /// Creates the cut to a number of records.
    pub fn to_greatest(records: usize) -> Self {
        Self::Greatest(u32::try_from(records).unwrap_or(u32::MAX))
    }

    /// Returns the number of records to keep. All are kept if the number is unknown: the list is then right for any.
    pub fn kept_records(self) -> usize {
        match self {
            Self::Unstated => usize::MAX,
            Self::Greatest(records) => records as usize,
        }
    }

    /// Returns whether a list of `records` records that was cut in this way holds all that `wanted` asks for.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::RecordCut;
    ///
    /// let wanted = RecordCut::to_greatest(20);
    /// // There were only three records.
    /// assert!(RecordCut::to_greatest(20).suffices(3, wanted));
    /// assert!(!RecordCut::to_greatest(5).suffices(5, wanted));
    /// assert!(RecordCut::Unstated.suffices(20, wanted));
    /// assert!(!RecordCut::Unstated.suffices(5, wanted));
    /// ```
    pub fn suffices(self, records: usize, wanted: Self) -> bool {
        match (self, wanted) {
            (_, Self::Unstated) => true,
            (Self::Greatest(cut), Self::Greatest(wanted)) if cut >= wanted => true,
            // A longer list than wanted is complete, whatever it was cut to.
            (_, Self::Greatest(wanted)) => records >= wanted as usize,
        }
    }
}

/// Reads the last field of a message, which earlier releases don't send.
#[expect(
    clippy::unnecessary_wraps,
    reason = "serde calls a function with this signature"
)]
fn unstated_if_absent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<RecordCut, D::Error> {
    Ok(RecordCut::deserialize(deserializer).unwrap_or_default())
}

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
    /// Records that the asking VM needs of each reply.
    #[serde(deserialize_with = "unstated_if_absent")]
    pub wanted: RecordCut,
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
    /// Cut of the merged records.
    #[serde(deserialize_with = "unstated_if_absent")]
    pub cut: RecordCut,
}

impl PartialReply {
    /// Returns whether the merged records hold all that the query asks for.
    pub fn is_complete(&self, wanted: RecordCut) -> bool {
        let records = self.records.len() / RECORD_BYTES;
        self.parts.is_empty() || self.cut.suffices(records, wanted)
    }

    /// Turns the parts into failed shards that may have run, because records are missing from the merged list.
    pub fn discard_parts(&mut self) {
        for part in self.parts.drain(..) {
            self.failed.push(FailedShard {
                shard: part.shard,
                progress: ShardProgress::Run,
                avoid: false,
            });
        }
        self.records = Bytes::new();
    }
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

#[cfg(test)]
#[path = "partial_tests.rs"]
mod tests;
