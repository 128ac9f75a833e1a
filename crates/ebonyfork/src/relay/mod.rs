//! The relay: owns the connections, the queue and the limits of a few upstreams.
//!
//! Because one relay sees all the work in flight on an upstream, its queue is exact: an upstream with two slots gets
//! two requests, and the rest wait where they can be ordered, cancelled, moved or refused truthfully as not run.
//!
//! The decisions are plain code: [`RelayQueue`] orders what waits, [`ConcurrencyLimit`] says how much may be at the
//! upstream, `upstream` joins them with the connections, and `state` finds the upstream that an event concerns. The
//! actor runs their actions on `hyper` connections.

mod action;
mod actor;
mod answer;
mod canceller;
mod clamp;
mod connection;
mod decision;
mod handle;
mod ids;
mod limit;
mod loss;
mod message;
mod metrics;
mod pool;
mod queue;
mod service;
mod settings;
mod state;
mod suspects;
mod trial;
mod upstream;

pub use clamp::{ClassClamp, ClassGoal};
pub use handle::RelayHandle;
pub use ids::{ClassId, OrganisationId, WorkId};
pub use limit::{ConcurrencyLimit, LimitEpoch, LimitSample};
pub use loss::UpstreamLoss;
pub use message::{
    AttemptPurpose, CancelBatch, FailureReason, OutcomeBatch, RefusalReason, ShardOutcome,
    ShardTarget, ShardVerdict, SubmitBatch, UpstreamLoad,
};
pub use queue::{
    FAIR_QUANTUM, ORGANISATION_LIMIT, PushResult, QUEUE_LIMIT, QueueEntry, RelayQueue,
};
pub use settings::RelaySettings;
