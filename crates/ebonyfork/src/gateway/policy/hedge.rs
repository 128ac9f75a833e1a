//! Decides whether a second attempt (a hedge) is worth its load, from the latencies of the first attempt and of a new
//! one at another upstream.

use crate::gateway::policy::latency::{LatencyHistogram, STRAGGLER_QUANTILE};

/// Minimum gain in the probability of an answer in time for a hedge to be sent. A hedge loads an upstream and may cross
/// regions, which costs about a fifth of the value of a shard in time.
const MIN_GAIN: f64 = 0.2;
/// Shortest time between two checks whether a late attempt is worth a hedge, in milliseconds.
const MIN_CHECK_INTERVAL_MS: f64 = 4.0;

/// Attempt in flight and the possible hedge. Times are in milliseconds.
#[derive(Debug)]
pub struct HedgeCandidate<'a> {
    /// Time for which the attempt has been in flight.
    pub waited_ms: f64,
    /// Time for which an answer still has its full value; `None` once that time has passed.
    pub left_ms: Option<f64>,
    /// Latency of attempts like the one in flight.
    pub original_latency: &'a LatencyHistogram,
    /// Latency of attempts like the hedge.
    pub hedge_latency: &'a LatencyHistogram,
    /// Time that the hedge's upstream is expected to take, as a multiple of the usual time.
    pub hedge_slowness_factor: f64,
    /// Whether the attempt in flight is known to be late, regardless of its time in flight, because the VM that gathers
    /// its part has replied without the part.
    pub known_late: bool,
}

impl HedgeCandidate<'_> {
    /// Returns when to check an attempt next, in milliseconds after its start.
    pub fn next_check_ms(original_latency: &LatencyHistogram, waited_ms: f64) -> f64 {
        let first_check_ms = original_latency.quantile(STRAGGLER_QUANTILE);
        if waited_ms < first_check_ms {
            return first_check_ms;
        }
        waited_ms + (waited_ms / 6.0).max(MIN_CHECK_INTERVAL_MS)
    }

    /// Returns whether to send the hedge.
    pub fn is_worthwhile(&self) -> bool {
        let usual_ms = self.original_latency.quantile(STRAGGLER_QUANTILE);
        if self.waited_ms < usual_ms && !self.known_late {
            return false;
        }
        let left_ms = self.left_ms.unwrap_or_else(|| {
            // The target has passed, so compare over the time in which the hedge probably ends.
            self.hedge_latency.quantile(STRAGGLER_QUANTILE) * self.hedge_slowness_factor
        });
        let original_likelihood = self.original_latency.ends_within(self.waited_ms, left_ms);
        let hedge_likelihood = 1.0
            - self
                .hedge_latency
                .survival(left_ms / self.hedge_slowness_factor);
        (1.0 - original_likelihood) * hedge_likelihood >= MIN_GAIN
    }
}

#[cfg(test)]
#[path = "hedge_tests.rs"]
mod tests;
