//! Metrics of the shares of organisations and of queries that can't be answered.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Decisions about shares of organisations and queries that can't be answered. Refused queries are also counted among
/// the requests, with the outcome `hopeless`, and denied repeats among the unfunded ones, with the outcome `over_share`.
#[derive(Debug, Clone, Default)]
pub struct FairnessMetrics {
    /// Connections given to a request before one of another organisation that was first by deadline.
    pub overtakes: Counter,
    /// Shards without an upstream in queries that were refused because of them.
    pub hopeless_shards: Counter,
}

impl FairnessMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "fair_overtakes",
            "Connections given to an organisation before another one's earlier deadline",
            self.overtakes.clone(),
        );
        registry.register(
            "hopeless_shards",
            "Shards without an upstream in queries refused because of them",
            self.hopeless_shards.clone(),
        );
    }
}
