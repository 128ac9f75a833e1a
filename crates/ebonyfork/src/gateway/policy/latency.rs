//! Latency of attempts: one decaying histogram for each kind of attempt of a route.
//!
//! A kind is a distance, or delegation to another VM. The histogram answers the two questions that decide on a hedge:
//! how likely an attempt that has been in flight for some time is to end by a given time, and how likely a new attempt
//! is to end by then.

use std::time::{Duration, Instant};

use crate::gateway::settings::PlaceDistance;

/// Quantile of the latency from which an attempt in flight counts as a straggler and is first checked for a hedge:
/// early enough for a second attempt if both upstreams of a shard are in other regions.
pub const STRAGGLER_QUANTILE: f64 = 0.8;
/// Number of buckets in a histogram. With [`GROWTH`] they cover [`FIRST_MS`] to about 30 s.
const BUCKETS: usize = 64;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_MS: f64 = 0.5;
/// Ratio of the upper bounds of neighbouring buckets; quantiles are off by at most a fifth.
const GROWTH: f64 = 1.19;
/// Half-life of the samples' weight. Slow phases of upstreams last some seconds; with a longer half-life they would
/// still count as usual long after they have ended, and hedges would be sent too late.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Total weight below which samples no longer decay, so that a route with few requests keeps an estimate.
const MIN_WEIGHT: f64 = 24.0;
/// Weight of the assumed samples in a new histogram; a few dozen real ones outweigh them.
const PRIOR_WEIGHT: f64 = 8.0;

/// How an attempt reaches its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptKind {
    /// Directly, in the same availability zone.
    Zone,
    /// Directly, in another zone of the region.
    Region,
    /// Directly, in another region.
    Far,
    /// Through another VM, in the zone of the upstream.
    Delegated,
}

impl From<PlaceDistance> for AttemptKind {
    fn from(distance: PlaceDistance) -> Self {
        match distance {
            PlaceDistance::Zone => Self::Zone,
            PlaceDistance::Region => Self::Region,
            PlaceDistance::Far => Self::Far,
        }
    }
}

/// Decaying histogram of attempt times in milliseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    /// Decayed number of samples in each bucket.
    weights: [f64; BUCKETS],
    /// Sum of the weights of all buckets.
    total_weight: f64,
    /// Time of the last decay; `None` before the first sample.
    last_decay: Option<Instant>,
}

impl LatencyHistogram {
    /// Creates a histogram from an assumed latency, which real samples soon outweigh.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use ebonyfork::gateway::LatencyHistogram;
    ///
    /// let mut histogram = LatencyHistogram::new(Duration::from_millis(50));
    /// for _ in 0..200 {
    ///     histogram.record(Duration::from_millis(10), Instant::now());
    /// }
    /// assert!(histogram.quantile(0.5) < 13.0);
    /// assert!(histogram.survival(20.0) < 0.1);
    /// ```
    pub fn new(assumed_latency: Duration) -> Self {
        let mut histogram = Self {
            weights: [0.0; BUCKETS],
            total_weight: 0.0,
            last_decay: None,
        };
        // Spread the assumption over a factor of four to reflect its uncertainty.
        for factor in [0.5, 0.75, 1.0, 2.0] {
            histogram.add(millis(assumed_latency) * factor, PRIOR_WEIGHT / 4.0);
        }
        histogram
    }

    /// Adds a sample for an attempt that ended at `now`.
    pub fn record(&mut self, elapsed_time: Duration, now: Instant) {
        self.decay(now);
        self.add(millis(elapsed_time), 1.0);
    }

    /// Adds a sample for an attempt that was abandoned after `time_in_flight`, if the attempt was late by then: it
    /// counts as taking twice that time. Without this, pauses would disappear from the histogram, because most attempts
    /// that meet one are abandoned, and then no hedges would be sent.
    pub fn record_abandoned(&mut self, time_in_flight: Duration, now: Instant) {
        if millis(time_in_flight) > self.quantile(STRAGGLER_QUANTILE) {
            self.record(time_in_flight * 2, now);
        }
    }

    fn add(&mut self, took_ms: f64, weight: f64) {
        self.weights[bucket_index(took_ms)] += weight;
        self.total_weight += weight;
    }

    /// Halves the weights for each half-life that has passed.
    fn decay(&mut self, now: Instant) {
        let decayed_at = *self.last_decay.get_or_insert(now);
        let elapsed = now.saturating_duration_since(decayed_at);
        if elapsed < HALF_LIFE {
            return;
        }
        self.last_decay = Some(now);
        let retention = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let retention = retention.max((MIN_WEIGHT / self.total_weight).min(1.0));
        for weight in &mut self.weights {
            *weight *= retention;
        }
        self.total_weight *= retention;
    }

    /// Returns the latency in milliseconds within which a `fraction` of the attempts end.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let wanted_weight = self.total_weight * fraction;
        let mut cumulative_weight = 0.0;
        for (bucket, weight) in self.weights.iter().enumerate() {
            cumulative_weight += weight;
            if cumulative_weight >= wanted_weight {
                return bucket_bound(bucket);
            }
        }
        bucket_bound(BUCKETS - 1)
    }

    /// Returns the fraction of the attempts that take longer than `time_ms` milliseconds.
    pub fn survival(&self, time_ms: f64) -> f64 {
        if time_ms <= 0.0 {
            return 1.0;
        }
        let bucket = bucket_index(time_ms);
        let longer_weight: f64 = self.weights[bucket + 1..].iter().sum();
        let lower_bound = if bucket == 0 {
            0.0
        } else {
            bucket_bound(bucket - 1)
        };
        let fraction_above = ((bucket_bound(bucket) - time_ms)
            / (bucket_bound(bucket) - lower_bound))
            .clamp(0.0, 1.0);
        (longer_weight + self.weights[bucket] * fraction_above) / self.total_weight
    }

    /// Returns the probability that an attempt which has been in flight for `waited_ms` ends within the next `left_ms`.
    pub fn ends_within(&self, waited_ms: f64, left_ms: f64) -> f64 {
        /// Fraction of attempts below which the samples say nothing about the time that an attempt still takes.
        const MIN_SURVIVAL: f64 = 1e-4;
        let total_ms = waited_ms + left_ms.max(0.0);
        let survival_so_far = self.survival(waited_ms);
        if survival_so_far < MIN_SURVIVAL {
            // An attempt that has outlasted all samples is likely to take as long again as it has taken already.
            return 1.0 - waited_ms / total_ms;
        }
        (1.0 - self.survival(total_ms) / survival_so_far).clamp(0.0, 1.0)
    }
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn bucket_index(time_ms: f64) -> usize {
    if time_ms <= FIRST_MS {
        return 0;
    }
    let bucket = ((time_ms / FIRST_MS).ln() / GROWTH.ln()).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn bucket_bound(bucket: usize) -> f64 {
    FIRST_MS * GROWTH.powi(bucket as i32)
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod tests;
