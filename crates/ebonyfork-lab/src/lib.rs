//! Stand-ins for what surrounds the tier, and the tool that measures it.
//!
//! The platform and the upstreams are small HTTP servers that behave as `docs/PROTOCOLS.md` says, with faults on
//! demand, and record what reaches them. The load generator plays the callers. The judge reads the records of both
//! and never asks the tier: a violation is something that the tier can't talk its way out of.

pub mod clock;
pub mod command;
pub mod config_fleet;
pub mod error;
pub mod experiment;
pub mod http_client;
pub mod http_server;
pub mod journal;
pub mod judge;
pub mod load;
pub mod platform;
pub mod publish_model;
pub mod scenario;
pub mod soak;
pub mod spread;
pub mod upstream;
