//! Metrics of the budget for callers.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::gateway::{IntakeBudget, ScarceResource};

/// Label that states what has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResourceLabel(&'static str);

impl EncodeLabelSet for ResourceLabel {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        [("resource", self.0)].encode(encoder)
    }
}

/// What callers hold, and how often they held all of it.
#[derive(Debug, Clone, Default)]
pub struct IntakeMetrics {
    /// Open connections of callers.
    pub connections: Gauge<u64, AtomicU64>,
    /// Memory of these connections, in bytes.
    pub connection_bytes: Gauge<u64, AtomicU64>,
    /// Memory of request bodies and of attempts at many shards, in bytes.
    pub request_bytes: Gauge<u64, AtomicU64>,
    /// Memory of answers that are not written yet, in bytes.
    pub answer_bytes: Gauge<u64, AtomicU64>,
    /// The limits on these four.
    limits: [Gauge<u64, AtomicU64>; 4],
    /// Connections and bodies that gave way to others.
    yielded: Family<ResourceLabel, Counter>,
    /// Connections and bodies that were refused.
    refused: Family<ResourceLabel, Counter>,
}

impl IntakeMetrics {
    /// Creates metrics that state the limits of a budget.
    pub fn new(budget: &IntakeBudget) -> Self {
        let metrics = Self::default();
        let limits = [
            budget.connections,
            budget.connection_bytes,
            budget.request_bytes,
            budget.answer_bytes,
        ];
        for (gauge, limit) in metrics.limits.iter().zip(limits) {
            gauge.set(limit as u64);
        }
        metrics
    }

    pub(super) fn count_yield(&self, resource: ScarceResource) {
        let label = ResourceLabel(resource.label());
        self.yielded.get_or_create(&label).inc();
    }

    pub(super) fn count_refusal(&self, resource: ScarceResource) {
        let label = ResourceLabel(resource.label());
        self.refused.get_or_create(&label).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let [connections, connection_bytes, request_bytes, answer_bytes] = &self.limits;
        for (name, help, gauge, limit) in [
            (
                "connections",
                "Open connections of callers",
                &self.connections,
                connections,
            ),
            (
                "connection_bytes",
                "Memory of callers' connections",
                &self.connection_bytes,
                connection_bytes,
            ),
            (
                "request_bytes",
                "Memory of request bodies and of attempts at many shards",
                &self.request_bytes,
                request_bytes,
            ),
            (
                "answer_bytes",
                "Memory of answers that are not written yet",
                &self.answer_bytes,
                answer_bytes,
            ),
        ] {
            registry.register(format!("intake_{name}"), help, gauge.clone());
            let help = format!("Limit: {help}");
            registry.register(format!("intake_{name}_limit"), help, limit.clone());
        }
        registry.register(
            "intake_yielded",
            "Connections and bodies that gave way to others",
            self.yielded.clone(),
        );
        registry.register(
            "intake_refused",
            "Connections and bodies that were refused",
            self.refused.clone(),
        );
    }
}
