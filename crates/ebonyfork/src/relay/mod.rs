//! The relay: owns the connections, the queue and the limits of a few upstreams.
//!
//! Because one relay sees all the work in flight on an upstream, its queue is exact: an upstream with two slots gets
//! two requests, and the rest wait where they can be ordered, cancelled, moved or refused truthfully as not run.

mod message;

pub use message::{
    AttemptPurpose, CancelBatch, FailureReason, OutcomeBatch, RefusalReason, ShardOutcome,
    ShardTarget, ShardVerdict, SubmitBatch, UpstreamLoad,
};
