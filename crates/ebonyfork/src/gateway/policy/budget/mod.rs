//! How many repeats may be sent: hedges and retries out of one bound that holds for all VMs together.
//!
//! The bound is a ratio of the requests plus a slack, for each service and for every span of a given length. Each VM owns
//! an equal share of the slack ([`RetryBudget`]). A VM that only stands by can't use its share, and the share of one VM
//! among hundreds is less than a repeat or two: so VMs that stand by lease their shares to the ones that serve
//! ([`ShareLeases`]). [`RepeatAccount`] joins both; it is what requests spend from.
//!
//! The sum keeps to the bound by construction, whatever the VMs do:
//!
//! - A share has one holder at a time. The owner leaves it alone from its grant for a whole term; the borrower
//!   counts a shorter term from the moment at which it asked, on a clock that goes on while the VM is suspended.
//! - A process does not touch its own share before it has run for a term: an earlier life may have leased it out.
//! - Whoever begins to hold a share begins with an empty bucket, so what the holder before has spent needs no memory.
//!
//! A lost message, a partition or a killed VM only leaves a share unused for a term. There is no VM that keeps an account
//! for others, nothing is written to the store, and one message a second leases a share for all services.

mod account;
mod bucket;
mod lease;
mod message;

pub use account::RepeatAccount;
pub use bucket::{BudgetTerms, RetryBudget};
pub use lease::ShareLeases;
pub use message::ShareMessage;
