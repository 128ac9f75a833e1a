//! Decides whether a shard is retried after an attempt without an answer.
//!
//! This handles upstreams that decline requests under load or can't be reached. A few retries find one that has
//! recovered or has capacity; more only add load. The route limits the number of upstreams on which a shard may run,
//! and the retry budget limits the repeats of all VMs; the limits here apply on top of both.

use std::time::Duration;

use crate::gateway::route::Idempotency;

/// Delay before a retry at an upstream that declined the shard: about one service time.
const DECLINED_PAUSE: Duration = Duration::from_millis(25);
/// A shard fails once upstreams have declined this number of its attempts.
const DECLINED_LIMIT: usize = 3;
/// A shard fails once this number of its attempts have ended before anything was sent.
const UNSENT_LIMIT: usize = 4;
/// Maximum number of times that one shard is sent in total, to the same upstream or to different ones. Declined
/// attempts and attempts that ended before anything was sent don't count.
const SENT_LIMIT: usize = 4;

/// Action after an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Start another attempt. The pause only applies to an upstream that was tried before.
    Retry {
        /// Delay before the attempt.
        pause: Duration,
    },
    /// Start no further attempt; the shard fails once none is in flight.
    GiveUp,
}

/// Returns the action after a declined attempt; `declined_attempts` is the shard's number of declined attempts.
pub fn after_declined(declined_attempts: usize) -> RetryStep {
    if declined_attempts >= DECLINED_LIMIT {
        return RetryStep::GiveUp;
    }
    let pause = DECLINED_PAUSE;
    RetryStep::Retry { pause }
}

/// Returns the action after an attempt that was not sent; `unsent_attempts` is the shard's number of such attempts.
pub fn after_unsent(unsent_attempts: usize) -> RetryStep {
    if unsent_attempts >= UNSENT_LIMIT {
        return RetryStep::GiveUp;
    }
    let pause = Duration::ZERO;
    RetryStep::Retry { pause }
}

/// Returns the maximum number of times that one shard is sent in total. Declined attempts and attempts that ended
/// before anything was sent don't count.
pub fn max_sends(idempotency: Idempotency) -> usize {
    match idempotency {
        Idempotency::Idempotent => SENT_LIMIT,
        Idempotency::Once => 1,
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
