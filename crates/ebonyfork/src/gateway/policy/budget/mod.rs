//! Limits how many repeats (retries and hedges) all VMs together may send.
//!
//! For each service, the repeats that all VMs together send in any window of the configured length are bounded by a
//! ratio of the requests plus a fixed number of repeats, the slack. Each VM owns an equal share of the slack, which its
//! token buckets turn into repeats ([`RetryBudget`]). A VM that takes no requests can't use its share, and the share of
//! one VM among hundreds is less than one or two repeats, so VMs that take no requests lease their shares to VMs that
//! do ([`ShareLeases`]). [`LeasedRetryBudget`] combines both; requests spend from it.
//!
//! The sum over all VMs stays within the bound, whatever happens to individual VMs:
//!
//! - A share has one holder at a time. The owner doesn't use it for a whole lease term after granting it; the borrower
//!   uses it for a shorter term that starts when it sent the request. Both measure time on a clock that keeps running
//!   while the VM is suspended.
//! - A process doesn't use its own share until it has run for one lease term, because its predecessor on the VM may
//!   have leased the share out.
//! - A process that starts to hold a share starts with an empty bucket, so it needn't know what the previous holder
//!   spent.
//!
//! Organisations share the tokens of each VM: while few are left, those that have spent more than their share are denied
//! first ([`RepeatSpender`]).
//!
//! A lost message, a network partition or a killed VM only leaves a share unused for one term. No VM keeps accounts for
//! the others, nothing is written to the store, and one message per second leases a share for all services.

mod account;
mod bucket;
mod lease;
mod message;
mod share;

pub use account::LeasedRetryBudget;
pub use bucket::{RepeatDenial, RetryBudget, RetryBudgetConfig};
pub use lease::ShareLeases;
pub use message::ShareMessage;
pub use share::RepeatSpender;
