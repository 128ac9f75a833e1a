//! The relay: owns the connections, the queue and the concurrency limits of a set of upstreams.
//!
//! One relay sees every attempt in flight at an upstream, so its count of them is exact: an upstream with two slots
//! gets two requests, and the other requests wait in the relay's queue. There they can be reordered, cancelled, moved,
//! or refused with the guarantee that they have not run.
//!
//! The decision logic is pure and does no I/O: [`RelayQueue`] orders waiting attempts, [`ConcurrencyLimit`] bounds the
//! attempts in flight, `upstream` combines both with the connection pool, and `state` routes each event to the upstream
//! it concerns. The actor executes the resulting actions on `hyper` connections.

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

pub use clamp::{ClassClamp, LatencyTarget};
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
