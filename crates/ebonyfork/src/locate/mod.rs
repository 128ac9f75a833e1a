//! Which addresses a caller should use.
//!
//! Callers have no balancer before them: they ask any VM and keep the answer for its time to live. The answer names VMs
//! that stay, nearest first, and the session of the first. Each organisation's callers get a stable subset of a large
//! fleet, so that a VM serves few organisations and holds state for the services of those alone.

mod answer;

pub use answer::{LocateSettings, locate_addresses};
