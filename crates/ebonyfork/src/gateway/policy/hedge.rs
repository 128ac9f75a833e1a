//! Whether a second attempt is worth its load: by what is known of the first one and of a fresh one elsewhere.

use crate::gateway::policy::latency::{LatencyTrack, STRAGGLER_SHARE};

/// Gain in the likelihood of an answer in time for which a hedge is sent. A hedge loads an upstream and may cross
/// regions, which costs about a fifth of what a shard in time is worth.
const LEAST_GAIN: f64 = 0.2;
/// Shortest time between two looks at a straggler, in milliseconds.
const LOOK_STEP_MS: f64 = 4.0;

/// An attempt that is out, and the one that could be sent beside it. Times are in milliseconds.
#[derive(Debug)]
pub struct HedgeQuestion<'a> {
    /// How long the attempt has been out.
    pub waited_ms: f64,
    /// How long an answer is still of full use; `None` once that has passed.
    pub left_ms: Option<f64>,
    /// Times of such attempts.
    pub original: &'a LatencyTrack,
    /// Times of attempts like the one that could be sent.
    pub other: &'a LatencyTrack,
    /// How much slower than usual the other upstream is expected to be.
    pub other_slowness: f64,
    /// Whether the attempt is known to be late, whatever its time.
    pub known_late: bool,
}

impl HedgeQuestion<'_> {
    /// When an attempt is looked at next, in milliseconds after it was begun.
    pub fn next_look(original: &LatencyTrack, waited_ms: f64) -> f64 {
        let first = original.quantile(STRAGGLER_SHARE);
        if waited_ms < first {
            return first;
        }
        waited_ms + (waited_ms / 6.0).max(LOOK_STEP_MS)
    }

    /// Whether to send the other attempt.
    pub fn is_worth(&self) -> bool {
        let usual = self.original.quantile(STRAGGLER_SHARE);
        if self.waited_ms < usual && !self.known_late {
            return false;
        }
        let left = self.left_ms.unwrap_or_else(|| {
            // The target has passed: what counts is whether the other one is likely to be first.
            self.other.quantile(STRAGGLER_SHARE) * self.other_slowness
        });
        let original = self.original.ends_within(self.waited_ms, left);
        let other = 1.0 - self.other.survival(left / self.other_slowness);
        (1.0 - original) * other >= LEAST_GAIN
    }
}

#[cfg(test)]
#[path = "hedge_tests.rs"]
mod tests;
