//! Stand-in for the platform: key-value service and VM list, with faults on demand.
//!
//! The stored state is plain code ([`KeyStore`]); the server beside it counts every call, keeps the rates and plays
//! the faults: it can be down or slow, lose an answer after the change took effect, and restart with older data.

mod fault;
mod server;
mod store;

pub use fault::{CallCounts, CallKind, OutageKind, PlatformFaults, RateLimits};
pub use server::PlatformStandIn;
pub use store::{KeyStore, StoredValue, WriteError, WriteExpectation};
