//! The operators' port: health, readiness, metrics and the state of this process.
//!
//! It is separate from the callers' port, so that operators can observe a process that is flooded with queries. All
//! requests are read-only except the one that lifts a quarantine.

mod server;
mod status;

pub use server::{OperatorService, serve_operators};
pub use status::{
    CatalogStatus, InFlightStatus, NodeStatus, QuarantineStatus, UpstreamStatus, VmStatus,
};
