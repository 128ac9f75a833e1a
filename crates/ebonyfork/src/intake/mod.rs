//! What callers make a process hold, and the budget for it.
//!
//! A VM has a fixed amount of memory and descriptors ([`VmCapacity`]). Callers share them with the process itself and with
//! its connections to upstreams, other VMs and the store, so they get a part
//! ([`IntakeBudget`](crate::gateway::IntakeBudget)), which each of their connections, bodies and unread answers draws on
//! before it takes any of it ([`IntakeTable`]).

mod body;
mod capacity;
mod linger;
mod listener;
mod metrics;
mod table;

pub use body::{BodyError, receive_body};
pub use capacity::VmCapacity;
pub use linger::LingerRead;
pub use listener::{connection_bytes, open_listener};
pub use metrics::IntakeMetrics;
pub use table::{IntakeRefusal, IntakeSlot, IntakeTable, WorkMemory};

/// Returns the time of the monotonic clock, which is virtual in tests.
fn now() -> std::time::Instant {
    tokio::time::Instant::now().into_std()
}
