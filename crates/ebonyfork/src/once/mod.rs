//! At-most-once execution of non-idempotent queries: a resend of a query gets the outcome of its first run.
//!
//! An idempotency key names the *session* that may run its query: one incarnation of a process. Only that process runs
//! the query; it keeps the outcome in memory and returns it to resends. So no lease is needed, and neither a pause nor
//! a lost link can lead to a second run. A VM that receives a query of another session forwards it. After a planned
//! stop of the process, a successor holds its *sealed* outcomes; after a crash, the outcome is reported as unknown.
//!
//! - [`OutcomeTable`]: the keys of this process's own session.
//! - [`AdoptedSessions`]: sealed sessions of processes that have stopped.
//! - [`OnceState`]: both of these and the queries forwarded to other VMs. It does no I/O; it returns [`OnceAction`]s.
//! - [`OnceHandle`]: the interface to the actor that performs these actions.

mod actor;
mod adopted;
mod aged;
mod handle;
mod message;
mod route;
mod state;
mod table;

pub use adopted::{ADOPTED_TTL, AdoptedSessions, MAX_ADOPTED_BYTES};
pub use aged::{EvictedKeys, SequenceRange};
pub use handle::{HandoverReport, OnceHandle};
pub use message::{HandoverPart, OnceMessage, OnceOutcome, SealedOutcome, TransferId};
pub use route::{session_candidates, session_successor};
pub use state::{NodeConditions, OnceAction, OnceState, WaiterId};
pub use table::{
    BeginVerdict, MAX_KEPT_BYTES, MAX_KEPT_OUTCOMES, OUTCOME_TTL, OutcomeLimits, OutcomeTable,
    RequestDigest,
};

#[cfg(test)]
#[path = "model_tests.rs"]
mod model_tests;
