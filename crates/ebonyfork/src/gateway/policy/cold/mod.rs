//! Limits the requests per second that all VMs together send to a cold upstream.
//!
//! An upstream that has just started, or whose zone was evacuated, crashes under the load that it handles when warm.
//! It tolerates a few requests per second, and the share of one VM among tens or hundreds would be less than one. So in
//! each availability zone a single VM sends all requests to cold upstreams ([`StoreClaim`]): a VM in the same zone,
//! which receives requests for them from its own callers and from the queries of other VMs. It counts the requests that
//! it sends in a sliding window of one second ([`SendWindow`]); the other VMs treat a cold upstream as absent.
//!
//! The sum over all VMs stays within the bound, whatever happens to individual VMs:
//!
//! - A claim is one key in the store for each availability zone. It is only written on the condition that it is
//!   unchanged since the writer read it, so the store orders the writes.
//! - The holder may send for a term that starts when it began the write, measured on a clock that keeps running while
//!   the VM is suspended. Without a reply from the store it has no term.
//! - Another VM takes a claim over once the claim has been unchanged for longer than a term and a window, or was given
//!   back; it then waits for one more window before it sends.
//!
//! If the holder is killed, paused or partitioned, or the store is unavailable, cold upstreams are only left unused for
//! some seconds. A VM that the store doesn't answer is notified by other VMs of an upstream that becomes cold
//! ([`ColdMessage`]). The send rate ([`ColdBound::pace`]) is below the bound, which leaves room for requests that were
//! delayed by a pause and for requests from VMs that don't know yet that an upstream is cold.

mod bound;
mod notice;
mod window;

pub use bound::{ColdBound, RequestRate};
pub use notice::{ColdMessage, ColdReport, MAX_COLD_REPORTS, is_notice_due};
pub use window::SendWindow;

use std::time::Duration;

use crate::gateway::policy::claim::ClaimTimings;
#[cfg(doc)]
use crate::gateway::policy::claim::StoreClaim;
use window::WINDOW_LENGTH;

/// Times of the claims on cold upstreams. Two renewals may fail before the term ends.
pub const COLD_CLAIM: ClaimTimings = ClaimTimings {
    term: Duration::from_secs(4),
    renewal_period: Duration::from_millis(1_300),
    takeover_delay: Duration::from_millis(5_500),
    quiet_time: WINDOW_LENGTH,
};
