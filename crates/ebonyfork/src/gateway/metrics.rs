//! Counters and histograms of the gateway.

mod copy;
mod fairness;
mod placement;
mod tasks;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

pub use self::copy::CopyMetrics;
pub use self::fairness::FairnessMetrics;
use crate::gateway::quota::QuotaMetrics;
use crate::store::StoreRevision;

pub use placement::PlacementMetrics;
pub use tasks::{TaskLabel, TaskMetrics};

/// Bucket bounds of the latency histogram, in seconds: finer around the targets, which lie between 0.1 and 1 s.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.6, 1.2, 5.0,
];

/// Label that states an outcome in one word.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OutcomeLabel(pub &'static str);

impl EncodeLabelSet for OutcomeLabel {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        [("outcome", self.0)].encode(encoder)
    }
}

/// Metrics of the gateway.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    /// Callers' requests, by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Attempts at upstreams, by outcome.
    pub attempts: Family<OutcomeLabel, Counter>,
    /// Hedges and retries sent.
    pub repeats: Counter,
    /// Hedges and retries denied, by reason.
    pub unfunded: Family<OutcomeLabel, Counter>,
    /// Shares of the retry budget's slack that this VM has on lease from others.
    pub borrowed_shares: Gauge<u64, AtomicU64>,
    /// Requests whose caller disconnected before the answer.
    pub abandoned: Counter,
    /// Time from receiving a request head to answering it, in seconds.
    pub latency: Histogram,
    /// Time since this VM's copy of the store was known to be up to date, in seconds.
    pub copy_age: Gauge<f64, AtomicU64>,
    /// Revision of the store up to which the copy is complete: its number within the era.
    pub copy_revision: Gauge<u64, AtomicU64>,
    /// Era of the store up to which the copy is complete.
    pub copy_era: Gauge<u64, AtomicU64>,
    /// State of the copy of the store and of the configuration.
    pub copy: CopyMetrics,
    /// Bytes of the store's changes sent to VMs that follow this one.
    pub sent_change_bytes: Counter,
    /// Decisions on tokens of organisations' quotas.
    pub quota: QuotaMetrics,
    /// Shares of organisations, and queries that can't be answered.
    pub fairness: FairnessMetrics,
    /// Placement decisions.
    pub placement: PlacementMetrics,
    /// Ends of long-lived tasks.
    pub tasks: TaskMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            attempts: Family::default(),
            repeats: Counter::default(),
            unfunded: Family::default(),
            borrowed_shares: Gauge::default(),
            abandoned: Counter::default(),
            latency: Histogram::new(LATENCY_BOUNDS),
            copy_age: Gauge::default(),
            copy_revision: Gauge::default(),
            copy_era: Gauge::default(),
            copy: CopyMetrics::default(),
            sent_change_bytes: Counter::default(),
            quota: QuotaMetrics::default(),
            fairness: FairnessMetrics::default(),
            placement: PlacementMetrics::default(),
            tasks: TaskMetrics::default(),
        }
    }
}

impl GatewayMetrics {
    /// Records the state of the copy of the store; `age` is `None` before the copy was first up to date.
    pub fn record_copy_state(&self, age: Option<Duration>, revision: StoreRevision) {
        self.copy_age
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        self.copy_revision.set(revision.number());
        self.copy_era.set(revision.era().0);
    }

    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("ebonyfork_gateway");
        self.fairness.register(registry);
        registry.register("requests", "Callers' requests", self.requests.clone());
        registry.register("attempts", "Attempts at upstreams", self.attempts.clone());
        registry.register("repeats", "Hedges and retries sent", self.repeats.clone());
        registry.register(
            "unfunded_repeats",
            "Hedges and retries not sent for want of budget",
            self.unfunded.clone(),
        );
        registry.register(
            "borrowed_repeat_shares",
            "Shares of the repeats' slack on lease from other VMs",
            self.borrowed_shares.clone(),
        );
        registry.register("abandoned", "Callers that left", self.abandoned.clone());
        registry.register(
            "request_seconds",
            "Time from a request's head to its answer",
            self.latency.clone(),
        );
        registry.register(
            "store_copy_age_seconds",
            "Time since the copy of the store was known to be up to date",
            self.copy_age.clone(),
        );
        registry.register(
            "store_copy_revision",
            "The store's revision up to which the copy is whole",
            self.copy_revision.clone(),
        );
        registry.register(
            "store_copy_era",
            "The store's era up to which the copy is whole",
            self.copy_era.clone(),
        );
        registry.register(
            "store_told_bytes",
            "Bytes told to the VMs that follow this one",
            self.sent_change_bytes.clone(),
        );
        self.copy.register(registry);
        self.quota.register(registry);
        self.placement.register(registry);
        self.tasks.register(registry);
    }
}
