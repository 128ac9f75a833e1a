//! The entry: accepts a query, pins an index version, sends a request to every shard that the query needs and merges
//! the rows into one answer with its true coverage.
//!
//! [`EntryCore`] makes all decisions without I/O: it is given events with the current time and returns
//! [`EntryAction`]s. A query passes through these modules, in order:
//!
//! 1. `terms`: the class target, tightened by the caller's deadline.
//! 2. `route`: the shards of the pinned version; their number is the denominator of the coverage.
//! 3. `choice`: a replica and a relay for each shard, based on the statistics kept in `replica` and `directory`.
//! 4. `admission`: refuses the query before anything is sent if the present load does not allow its target to be met.
//! 5. `canary`: sends a request that has not returned rows recently to a single shard first, because it may crash
//!    upstreams.
//! 6. `run`: sends attempts; `settle` handles their outcomes, and `straggler` hedges late ones from the budget in
//!    `hedge`.
//! 7. `gather`: collects rows at the pinned version, the first response of each shard.
//! 8. `verdict`: determines when the query is complete and what the caller receives.
//!
//! [`EntryHandle`] wraps the core in an actor.

mod actor;
mod admission;
mod canary;
mod choice;
mod core;
mod decision;
mod directory;
mod gather;
mod hedge;
mod metrics;
mod outbox;
mod replica;
mod route;
mod run;
mod settle;
mod straggler;
mod terms;
mod tools;
mod verdict;

pub use self::core::{EntryAction, EntryCore, EntryViews};
pub use actor::{EntryHandle, EntrySettings};
pub use choice::ChoiceReason;
pub use decision::{DecisionCounts, EntryDecision, FailedAttempt, FinishedQuery, RouteDecision};
#[cfg(test)]
mod fault_tests;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod model;
#[cfg(test)]
mod policy_tests;
