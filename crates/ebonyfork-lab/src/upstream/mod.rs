//! Stand-in for an upstream: slots, connections, index versions and the ways in which upstreams misbehave.
//!
//! A request that finds a free slot runs for a drawn service time; the others wait in a small queue of the upstream's
//! own, beyond which it sheds. What started goes on when the caller's connection breaks, as real servers do, so that a
//! doubled run shows in the journal.

mod job;
mod server;
mod service_time;
mod settings;
mod shard;
mod state;

pub use server::UpstreamStandIn;
pub use service_time::ServiceTime;
pub use settings::{
    ColdStart, DelayFunction, StatusMode, StatusReport, UpstreamSettings, UpstreamState,
};
pub use shard::{CRASH_MARK, ShardRow};
