//! How many requests a cold upstream gets: a bound for each second, over all VMs together.
//!
//! An upstream that has just started, or has been emptied, crashes under the requests that it takes when it is warm. Its
//! bound is a few requests a second, and a VM's part of it, among tens or hundreds of VMs, is less than one. So one VM
//! sends for all ([`ZoneClaim`]): a VM beside the upstreams, whose own callers and the queries of other VMs bring it
//! requests for them. It counts what it sends in every second ([`SendWindow`]); the other VMs treat a cold upstream as if
//! it were not there.
//!
//! The sum keeps to the bound by construction, whatever the VMs do:
//!
//! - A claim is one key of the store for each availability zone, and only ever written on the condition that it is as its
//!   writer has seen it. The store puts these writes in an order.
//! - The holder sends for a term from the moment at which it began to write, on a clock that goes on while the VM is
//!   suspended. Without an answer it has no term.
//! - Another VM takes a claim over once it has seen it unchanged for longer than a term and a window, or given back, and
//!   then waits for a window.
//!
//! A killed, paused or cut off holder, or an absent store, only leaves cold upstreams unused for some seconds. The pace
//! ([`ColdBound::pace`]) is below the bound, which leaves room for requests that a pause has held up, and for VMs that
//! could not hear in time that an upstream is cold.

mod bound;
mod claim;
mod window;

pub use bound::{ColdBound, RequestRate};
pub use claim::{ClaimRecord, ClaimWrite, ZoneClaim};
pub use window::SendWindow;
