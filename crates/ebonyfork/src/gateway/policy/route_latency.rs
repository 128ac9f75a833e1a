//! How long the attempts of one route take, by where they go.

use std::time::Duration;

use crate::gateway::caller_time::WaitTrack;
use crate::gateway::policy::latency::{AttemptKind, LatencyTrack};
use crate::gateway::settings::PlaceDistance;

/// Latency that is assumed of an attempt in the same zone before any was measured.
const ASSUMED_NEAR: Duration = Duration::from_millis(30);
/// The same for another zone of the region.
const ASSUMED_REGION: Duration = Duration::from_millis(35);
/// The same for another region: the stated distances are 10 to 20 ms one way.
const ASSUMED_FAR: Duration = Duration::from_millis(70);
/// How long the attempts of one route take, by kind.
#[derive(Debug)]
pub struct RouteLatency {
    tracks: [LatencyTrack; 4],
    /// How long its callers wait in all.
    pub waits: WaitTrack,
}

impl Default for RouteLatency {
    fn default() -> Self {
        Self {
            tracks: [ASSUMED_NEAR, ASSUMED_REGION, ASSUMED_FAR, ASSUMED_FAR].map(LatencyTrack::new),
            waits: WaitTrack::default(),
        }
    }
}

impl RouteLatency {
    /// The attempts of a kind.
    pub fn track(&self, kind: impl Into<AttemptKind>) -> &LatencyTrack {
        &self.tracks[kind.into() as usize]
    }

    /// How long attempts of a kind usually take, in milliseconds.
    pub fn usual_ms(&self, kind: impl Into<AttemptKind>) -> f64 {
        self.track(kind).quantile(0.5)
    }

    /// What the way to the upstream adds to the time of an attempt, in milliseconds.
    pub fn way_ms(&self, kind: impl Into<AttemptKind>) -> f64 {
        (self.usual_ms(kind) - self.usual_ms(AttemptKind::Zone)).max(0.0)
    }

    /// The time that an upstream took for an attempt over the time that one beside this VM usually takes.
    pub fn slowness(&self, kind: impl Into<AttemptKind>, took_ms: f64) -> f64 {
        let own_ms = (took_ms - self.way_ms(kind)).max(0.0);
        own_ms / self.usual_ms(AttemptKind::Zone)
    }

    /// The quickest kind of attempt at a distance.
    pub fn quickest(&self, distance: PlaceDistance) -> AttemptKind {
        let direct = AttemptKind::from(distance);
        let near = distance == PlaceDistance::Zone;
        if near || self.usual_ms(direct) <= self.usual_ms(AttemptKind::Delegated) {
            return direct;
        }
        AttemptKind::Delegated
    }

    /// The attempts of a kind.
    pub fn track_mut(&mut self, kind: impl Into<AttemptKind>) -> &mut LatencyTrack {
        &mut self.tracks[kind.into() as usize]
    }
}

#[cfg(test)]
#[path = "route_latency_tests.rs"]
mod tests;
