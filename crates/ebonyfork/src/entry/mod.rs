//! The entry: takes one query, pins a version of the index, asks every shard it needs and gathers one truthful answer.
//!
//! [`EntryCore`] holds all decisions as plain code over values: events and the time go in, [`EntryAction`]s come out.
//! A query passes through these, in order:
//!
//! 1. `terms`: the class target, tightened by the caller's deadline.
//! 2. `route`: the pinned version's shards; their number is the denominator of the coverage.
//! 3. `choice`: a replica and a relay for each shard, by what `replica` and `directory` have learnt.
//! 4. `admission`: whether the target can be met at the present load; else a refusal before anything leaves.
//! 5. `canary`: a request that nobody has seen run is tried at one shard first.
//! 6. `run`: attempts; `settle` takes their outcomes, `straggler` hedges those that are late, out of `hedge`'s budget.
//! 7. `gather`: rows at the pinned version, the first per shard.
//! 8. `verdict`: when the query is over, and what the caller is told.
//!
//! [`EntryHandle`] is the actor around it.

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
pub use decision::{DecisionTally, EntryDecision, FinishNote, RouteDecision, SetbackNote};
#[cfg(test)]
mod fault_tests;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod model;
#[cfg(test)]
mod policy_tests;
