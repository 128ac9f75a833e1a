//! Whether a shard is sent again after an attempt that brought no answer.
//!
//! Answers it: upstreams that decline under load, and ones that can't be reached. A few tries find one that is back or has
//! room; more only add to the load. The route bounds on how many upstreams a shard may run, the budget how often all VMs
//! send again; the limits here end what those still allow.

use std::time::Duration;

use crate::gateway::route::RepeatKind;

/// Wait before a shard is sent again to an upstream that has declined it: about one service time.
const DECLINED_PAUSE: Duration = Duration::from_millis(25);
/// Attempts of one shard that upstreams may decline before it is given up.
const DECLINED_LIMIT: usize = 3;
/// Attempts of one shard of which nothing was sent before it is given up.
const UNSENT_LIMIT: usize = 4;
/// Attempts of one shard that may have run before it is given up, on the same upstreams or others.
const SENT_LIMIT: usize = 4;

/// What follows an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Another attempt; the pause holds for an upstream that was tried already.
    Again {
        /// How long to wait.
        pause: Duration,
    },
    /// None, unless one is still out.
    GiveUp,
}

/// Decides after an upstream has declined an attempt, the `declined`th of the shard.
pub fn after_declined(declined: usize) -> RetryStep {
    if declined >= DECLINED_LIMIT {
        return RetryStep::GiveUp;
    }
    let pause = DECLINED_PAUSE;
    RetryStep::Again { pause }
}

/// Decides after an attempt of which nothing was sent, the `unsent`th of the shard.
pub fn after_unsent(unsent: usize) -> RetryStep {
    if unsent >= UNSENT_LIMIT {
        return RetryStep::GiveUp;
    }
    let pause = Duration::ZERO;
    RetryStep::Again { pause }
}

/// Most attempts of a shard that may run.
pub fn sends_allowed(repeat: RepeatKind) -> usize {
    match repeat {
        RepeatKind::Idempotent => SENT_LIMIT,
        RepeatKind::Once => 1,
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
