//! Non-idempotent queries: each runs at most once, and a resend gets the first outcome.
//!
//! A key names the *session* that may run it: one process incarnation. That process keeps the outcome in memory and
//! gives it again to resends; nobody else ever runs the key. So no lease is needed, and a pause or a lost link can't
//! lead to a second run. Sent to another VM, the query is forwarded. When the process has stopped as planned, its
//! *sealed* outcomes are with a successor; when it has crashed, the outcome is unknown and is said to be.
//!
//! - [`OutcomeTable`]: the keys of the own session.
//! - [`AdoptedSessions`]: sealed sessions of processes that have stopped.
//! - [`OnceState`]: both, and the queries that wait for an answer of another VM. Pure: it returns [`OnceAction`]s.
//! - [`OnceHandle`]: the running part.

mod actor;
mod adopted;
mod aged;
mod handle;
mod message;
mod route;
mod state;
mod table;

pub use adopted::{ADOPTED_BYTES, ADOPTED_WINDOW, AdoptedSessions};
pub use aged::{AgedKeys, SequenceRange};
pub use handle::{HandoverReport, OnceHandle};
pub use message::{HandoverPart, OnceMessage, OnceOutcome, SealedOutcome, TransferId};
pub use route::{session_candidates, session_successor};
pub use state::{OnceAction, OnceContext, OnceState, WaiterId};
pub use table::{
    BeginVerdict, OUTCOME_BYTES, OUTCOME_COUNT, OUTCOME_WINDOW, OutcomeLimits, OutcomeTable,
    RequestDigest,
};

#[cfg(test)]
#[path = "model_tests.rs"]
mod model_tests;
