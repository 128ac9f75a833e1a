//! Metrics of the placement of requests: advice about upstreams' speed.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use super::OutcomeLabel;

/// Counters of placement decisions.
#[derive(Debug, Clone, Default)]
pub struct PlacementMetrics {
    /// Changes of upstreams' speed: sent ones by what changed (`slow`, `normal`), received ones by use (`applied`,
    /// `ended`, `ignored`).
    pub speed_advice: Family<OutcomeLabel, Counter>,
}

impl PlacementMetrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "speed_advice",
            "Advice about upstreams' speed, sent and received",
            self.speed_advice.clone(),
        );
    }
}
