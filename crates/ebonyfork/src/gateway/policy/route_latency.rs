//! Latency of the attempts of one route, by distance of the upstream.

use std::time::{Duration, Instant};

use crate::gateway::caller_time::WaitTrack;
use crate::gateway::policy::latency::{AttemptKind, LatencyHistogram};
use crate::gateway::settings::PlaceDistance;

/// Assumed latency of attempts in the same zone before any was measured.
const ASSUMED_NEAR: Duration = Duration::from_millis(30);
/// Assumed latency of attempts in another zone of the region before any was measured.
const ASSUMED_REGION: Duration = Duration::from_millis(35);
/// Assumed latency of attempts in another region before any was measured; regions are 10 to 20 ms apart one way.
const ASSUMED_FAR: Duration = Duration::from_millis(70);

/// Latency of the attempts of one route, by kind.
#[derive(Debug)]
pub struct RouteLatency {
    /// One histogram for each [`AttemptKind`].
    histograms: [LatencyHistogram; 4],
    /// How long the route's callers wait in total, as they state it in their requests.
    pub waits: WaitTrack,
    /// Times from the decision to send a request until its answer.
    answer_times: LatencyHistogram,
}

impl Default for RouteLatency {
    fn default() -> Self {
        Self {
            histograms: [ASSUMED_NEAR, ASSUMED_REGION, ASSUMED_FAR, ASSUMED_FAR]
                .map(LatencyHistogram::new),
            waits: WaitTrack::default(),
            answer_times: LatencyHistogram::new(ASSUMED_FAR),
        }
    }
}

impl RouteLatency {
    /// Returns the latency histogram of a kind of attempt.
    pub fn histogram(&self, kind: impl Into<AttemptKind>) -> &LatencyHistogram {
        &self.histograms[kind.into() as usize]
    }

    /// Returns the median latency of attempts of a kind, in milliseconds.
    pub fn median_ms(&self, kind: impl Into<AttemptKind>) -> f64 {
        self.histogram(kind).quantile(0.5)
    }

    /// Returns the network time that the distance adds to an attempt, in milliseconds.
    pub fn network_ms(&self, kind: impl Into<AttemptKind>) -> f64 {
        (self.median_ms(kind) - self.median_ms(AttemptKind::Zone)).max(0.0)
    }

    /// Returns the time an upstream took for an attempt, without the network time, divided by the median time of
    /// attempts in the same zone.
    pub fn slowness(&self, kind: impl Into<AttemptKind>, took_ms: f64) -> f64 {
        let upstream_ms = (took_ms - self.network_ms(kind)).max(0.0);
        upstream_ms / self.median_ms(AttemptKind::Zone)
    }

    /// Returns the fastest kind of attempt at a distance: direct or delegated.
    pub fn fastest(&self, distance: PlaceDistance) -> AttemptKind {
        let direct_kind = AttemptKind::from(distance);
        let is_in_same_zone = distance == PlaceDistance::Zone;
        if is_in_same_zone || self.median_ms(direct_kind) <= self.median_ms(AttemptKind::Delegated)
        {
            return direct_kind;
        }
        AttemptKind::Delegated
    }

    /// Records the time from the decision to send a request until its answer.
    pub fn record_answer(&mut self, elapsed: Duration, now: Instant) {
        self.answer_times.record(elapsed, now);
    }

    /// Returns the time that the route usually takes for an answer. An answer gathered from many shards is often held
    /// until its time runs out, so it counts as done when nearly all attempts have ended.
    pub fn usual_time(&self, is_gathered: bool) -> Duration {
        /// Quantile of the attempts by which an answer has enough shards.
        const GATHERED_QUANTILE: f64 = 0.95;
        let mut usual_ms = self.answer_times.quantile(0.5);
        if is_gathered {
            let kinds = [
                AttemptKind::Zone,
                AttemptKind::Region,
                AttemptKind::Delegated,
            ];
            let slowest_ms = kinds
                .map(|kind| self.histogram(kind).quantile(GATHERED_QUANTILE))
                .into_iter()
                .fold(0.0, f64::max);
            usual_ms = usual_ms.min(slowest_ms);
        }
        Duration::from_secs_f64(usual_ms / 1_000.0)
    }

    /// Returns the latency histogram of a kind of attempt for updates.
    pub fn histogram_mut(&mut self, kind: impl Into<AttemptKind>) -> &mut LatencyHistogram {
        &mut self.histograms[kind.into() as usize]
    }
}

#[cfg(test)]
#[path = "route_latency_tests.rs"]
mod tests;
