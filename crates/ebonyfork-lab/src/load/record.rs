//! What callers record: every request with each of its tries.

use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::ident::{RunState, ShardNumber, SnapshotVersion, VmAddress};
use ebonyfork::query::QueryCoverage;
use smallvec::SmallVec;

use crate::journal::SelectionHash;
use crate::upstream::ShardRow;

/// An answer as the caller got it.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerRecord {
    /// The snapshot that it claims to reflect.
    pub snapshot: SnapshotVersion,
    /// The coverage that it claims.
    pub coverage: QueryCoverage,
    /// Its rows.
    pub rows: Vec<ShardRow>,
}

/// What came of one try.
#[derive(Debug, Clone, PartialEq)]
pub enum TryOutcome {
    /// An answer.
    Answered(AnswerRecord),
    /// An outcome in the documented error form.
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code.
        code: CompactString,
        /// Whether it ran, as the tier says.
        ran: RunState,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Nothing was sent: the address was gone.
    Unsent,
    /// The connection broke after the request had left.
    Broken,
    /// No answer within the class's bound and a wide margin.
    TimedOut,
    /// Something that is neither an answer nor the error form.
    Malformed,
}

/// One try of a request at one VM. Times are since the start of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct TryRecord {
    /// The VM; none if no address was known.
    pub vm: Option<VmAddress>,
    /// Hash of the selection that was sent.
    pub selection: SelectionHash,
    /// When it was sent.
    pub sent: Duration,
    /// When its outcome was known.
    pub ended: Duration,
    /// The outcome.
    pub outcome: TryOutcome,
}

impl TryRecord {
    /// Tells whether the caller was told that this try did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.outcome,
            TryOutcome::Refused {
                ran: RunState::NotRun,
                ..
            }
        )
    }

    /// Tells whether the request left without any whole outcome coming back.
    pub fn is_cut(&self) -> bool {
        matches!(
            self.outcome,
            TryOutcome::Broken | TryOutcome::TimedOut | TryOutcome::Malformed
        )
    }
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRecord {
    /// Place of the class in the plan.
    pub class: usize,
    /// Place of the stream in the plan.
    pub stream: usize,
    /// When it was to be sent; latency counts from here.
    pub scheduled: Duration,
    /// When its last outcome was known.
    pub ended: Duration,
    /// Its tries, at least one.
    pub tries: SmallVec<[TryRecord; 1]>,
}

impl RequestRecord {
    /// The answer, if it got one.
    pub fn answer(&self) -> Option<&AnswerRecord> {
        match &self.tries.last()?.outcome {
            TryOutcome::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// The caller's latency.
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.scheduled)
    }

    /// The shard that a row is about, for a request with one row.
    pub fn only_shard(&self) -> Option<ShardNumber> {
        match self.answer()?.rows.as_slice() {
            [row] => Some(row.shard),
            _ => None,
        }
    }
}
