//! Selection of the addresses that a caller should use.
//!
//! There is no load balancer in front of the VMs: callers ask any VM and cache the answer for its time to live. The
//! answer lists VMs that are not leaving, those in the same zone first, and the session of the first VM. In a large
//! deployment the callers of each organisation use a stable subset of the VMs, so that a VM serves few organisations
//! and holds state only for the services of those.

mod answer;

pub use answer::{LocateSettings, locate_addresses};
