//! The operators' port: health, readiness, metrics and what this process knows.
//!
//! It stands apart from the callers' port, so that a flood of queries can't hide the state of a process from those who
//! watch it. Everything here reads; the one change it takes is to lift a quarantine.

mod server;
mod status;

pub use server::{OperatorService, serve_operators};
pub use status::{
    CatalogStatus, InFlightStatus, NodeStatus, QuarantineStatus, UpstreamStatus, VmStatus,
};
