//! Metrics of this VM's copy of the store and of the configuration in force.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// State of the copy and of the configuration. The gauges are set when the metrics are read, so that they are right whether
/// or not the task that follows the store still runs.
#[derive(Debug, Clone, Default)]
pub struct CopyMetrics {
    /// 1 if the copy has not been confirmed within the time in which a change must be in force, otherwise 0.
    pub unconfirmed: Gauge<u64, AtomicU64>,
    /// 1 while the task that follows the store runs, otherwise 0.
    pub follower_running: Gauge<u64, AtomicU64>,
    /// 1 if callers are sent here, otherwise 0.
    pub ready: Gauge<u64, AtomicU64>,
    /// Configuration version in force; 0 if there is none.
    pub version: Gauge<u64, AtomicU64>,
    /// Newest configuration version that another VM announces.
    pub newest_version: Gauge<u64, AtomicU64>,
    /// Configurations that could not be decoded.
    pub refused_versions: Counter,
    /// Answers of the store that could not be decoded.
    pub malformed_answers: Counter,
}

impl CopyMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "store_copy_unconfirmed",
            "Whether the copy is older than a change may take",
            self.unconfirmed.clone(),
        );
        registry.register(
            "store_follower_running",
            "Whether the task that follows the store runs",
            self.follower_running.clone(),
        );
        registry.register("ready", "Whether callers are sent here", self.ready.clone());
        registry.register(
            "config_version",
            "Configuration version in force",
            self.version.clone(),
        );
        registry.register(
            "config_newest_announced",
            "Newest configuration version that another VM announces",
            self.newest_version.clone(),
        );
        registry.register(
            "config_refused",
            "Configurations that could not be decoded",
            self.refused_versions.clone(),
        );
        registry.register(
            "store_malformed_answers",
            "Answers of the store that could not be decoded",
            self.malformed_answers.clone(),
        );
    }
}
