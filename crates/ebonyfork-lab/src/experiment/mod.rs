//! Experiments: brings up a scenario on loopback, loads it, plays its faults, judges and reports.
//!
//! The nodes are started by the same library call as the daemon, each in a runtime of its own, so that one can be
//! killed (its runtime is dropped, its sockets close) or frozen (its workers block) without touching the others.

mod address;
mod backends;
mod callers;
mod fleet;
mod node;
mod processor;
mod race;
mod report;
mod runner;
mod summary;
mod table;
mod timeline;

pub use report::{ClassReport, RunReport};
pub use runner::{ProgressFunction, run_scenario, send_load};
pub use table::write_table;
