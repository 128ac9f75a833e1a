//! What is known about how long attempts take: one decaying histogram for each kind of attempt.
//!
//! A kind is a route and a distance. The histogram answers the two questions of a hedge: how likely is an attempt that
//! has been out for a while to end before a given moment, and how likely is a fresh one.

use std::time::{Duration, Instant};

use crate::gateway::settings::PlaceDistance;

/// Share of the attempts that have ended when one is first looked at as a straggler: early enough for a second attempt where
/// both upstreams of a shard are in other regions.
pub const STRAGGLER_SHARE: f64 = 0.8;
/// Buckets of a histogram. With [`GROWTH`] they reach from [`FIRST_MS`] to about 30 s.
const BUCKETS: usize = 64;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_MS: f64 = 0.5;
/// Ratio of the bounds of two neighbouring buckets: a quantile is off by at most a fifth.
const GROWTH: f64 = 1.19;
/// Time in which samples lose half of their weight. Slow phases of upstreams last some seconds; with a longer memory they
/// would count as usual long after they have passed, and hedges come too late.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight below which samples are no longer forgotten: some picture must remain of a route with few requests.
const WEIGHT_LEAST: f64 = 24.0;
/// Weight of the assumed samples a new histogram begins with; a few dozen real ones outweigh them.
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
    /// By way of one of our VMs beside the upstream.
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

/// A histogram over attempt times. Its figures are in milliseconds.
#[derive(Debug, Clone)]
pub struct LatencyTrack {
    weights: [f64; BUCKETS],
    total: f64,
    /// Since when no weight was taken away; `None` before the first sample.
    aged: Option<Instant>,
}

impl LatencyTrack {
    /// Starts from an assumed latency, which real samples soon outweigh.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use ebonyfork::gateway::LatencyTrack;
    ///
    /// let mut track = LatencyTrack::new(Duration::from_millis(50));
    /// for _ in 0..200 {
    ///     track.record(Duration::from_millis(10), Instant::now());
    /// }
    /// assert!(track.quantile(0.5) < 13.0);
    /// assert!(track.survival(20.0) < 0.1);
    /// ```
    pub fn new(assumed: Duration) -> Self {
        let mut track = Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            aged: None,
        };
        // Spread over a factor of four, since nothing is known yet.
        for factor in [0.5, 0.75, 1.0, 2.0] {
            track.add(millis(assumed) * factor, PRIOR_WEIGHT / 4.0);
        }
        track
    }

    /// Takes in how long an attempt took that ended at `now`.
    pub fn record(&mut self, took: Duration, now: Instant) {
        self.age(now);
        self.add(millis(took), 1.0);
    }

    /// Takes in that an attempt was given up after a time. If it was late it counts as one that would have taken as long
    /// again. Without it pauses, which mostly end that way, vanished from the picture, and hedges with them.
    pub fn record_abandoned(&mut self, waited: Duration, now: Instant) {
        if millis(waited) > self.quantile(STRAGGLER_SHARE) {
            self.record(waited * 2, now);
        }
    }

    fn add(&mut self, took_ms: f64, weight: f64) {
        self.weights[bucket(took_ms)] += weight;
        self.total += weight;
    }

    /// Halves the weights for each half-life that has passed.
    fn age(&mut self, now: Instant) {
        let since = *self.aged.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed < HALF_LIFE {
            return;
        }
        self.aged = Some(now);
        let kept = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let kept = kept.max((WEIGHT_LEAST / self.total).min(1.0));
        for weight in &mut self.weights {
            *weight *= kept;
        }
        self.total *= kept;
    }

    /// The time within which a share of the attempts end, in milliseconds.
    pub fn quantile(&self, share: f64) -> f64 {
        let wanted = self.total * share;
        let mut passed = 0.0;
        for (number, weight) in self.weights.iter().enumerate() {
            passed += weight;
            if passed >= wanted {
                return bound(number);
            }
        }
        bound(BUCKETS - 1)
    }

    /// The share of the attempts that take longer than a time, in milliseconds.
    pub fn survival(&self, time_ms: f64) -> f64 {
        if time_ms <= 0.0 {
            return 1.0;
        }
        let number = bucket(time_ms);
        let longer: f64 = self.weights[number + 1..].iter().sum();
        let low = if number == 0 { 0.0 } else { bound(number - 1) };
        let inside = ((bound(number) - time_ms) / (bound(number) - low)).clamp(0.0, 1.0);
        (longer + self.weights[number] * inside) / self.total
    }

    /// How likely an attempt that has been out for `waited_ms` ends within the next `left_ms`.
    pub fn ends_within(&self, waited_ms: f64, left_ms: f64) -> f64 {
        /// An attempt that has outlasted all samples says nothing; it is taken as unlikely to end soon.
        const UNSEEN: f64 = 1e-4;
        let alive = self.survival(waited_ms).max(UNSEEN);
        let later = self.survival(waited_ms + left_ms.max(0.0));
        (1.0 - later / alive).clamp(0.0, 1.0)
    }
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn bucket(time_ms: f64) -> usize {
    if time_ms <= FIRST_MS {
        return 0;
    }
    let number = ((time_ms / FIRST_MS).ln() / GROWTH.ln()).ceil() as usize;
    number.min(BUCKETS - 1)
}

fn bound(number: usize) -> f64 {
    FIRST_MS * GROWTH.powi(number as i32)
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod tests;
