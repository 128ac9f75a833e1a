//! The relay's metrics.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::ident::ClassName;
use crate::relay::message::{FailureReason, RefusalReason, ShardVerdict};

/// A class name as a metric label. Encoding it does not allocate for names of usual length.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClassLabel(ClassName);

impl EncodeLabelValue for ClassLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
        EncodeLabelValue::encode(&self.0.as_str(), encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: ClassLabel,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    class: ClassLabel,
    outcome: &'static str,
    reason: &'static str,
}

/// Returns the values of the `outcome` and `reason` labels for a verdict.
fn outcome_labels(verdict: &ShardVerdict) -> (&'static str, &'static str) {
    match verdict {
        ShardVerdict::Rows { .. } => ("rows", ""),
        ShardVerdict::VersionGone { .. } => ("not-run", "version-gone"),
        ShardVerdict::Moved { .. } => ("not-run", "moved"),
        ShardVerdict::NotRun(reason) => ("not-run", refusal_label(*reason)),
        ShardVerdict::Failed { reason, .. } => ("failed", failure_label(*reason)),
    }
}

fn refusal_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Shed => "shed",
        RefusalReason::QueueFull => "queue-full",
        RefusalReason::Expired => "expired",
        RefusalReason::NotOwner => "not-owner",
        RefusalReason::Leaving => "leaving",
        RefusalReason::Unreachable => "unreachable",
        RefusalReason::Cancelled => "cancelled",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::NotReady => "not-ready",
        RefusalReason::LinkDown => "link-down",
    }
}

fn failure_label(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::Status => "status",
        FailureReason::Broken => "broken",
        FailureReason::Timeout => "timeout",
        FailureReason::Cancelled => "cancelled",
        FailureReason::Malformed => "malformed",
        FailureReason::LinkDown => "link-down",
    }
}

/// Creates a histogram with buckets from 0.5 ms to 8 s.
fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 15))
}

/// The relay's metrics. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct RelayMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
    wait_times: Family<ClassLabels, Histogram>,
    service_times: Family<ClassLabels, Histogram>,
    connections_opened: Counter,
    connections: Gauge,
    waiting_attempts: Gauge,
    attempts_in_flight: Gauge,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        Self {
            outcomes: Family::default(),
            wait_times: Family::new_with_constructor(time_histogram),
            service_times: Family::new_with_constructor(time_histogram),
            connections_opened: Counter::default(),
            connections: Gauge::default(),
            waiting_attempts: Gauge::default(),
            attempts_in_flight: Gauge::default(),
        }
    }
}

impl RelayMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "relay_outcomes",
            "Verdicts of shard requests",
            self.outcomes.clone(),
        );
        registry.register(
            "relay_wait_seconds",
            "Time of shard requests in the relay's queue",
            self.wait_times.clone(),
        );
        registry.register(
            "relay_service_seconds",
            "Time of shard requests at upstreams, of those answered with rows",
            self.service_times.clone(),
        );
        registry.register(
            "relay_connections_opened",
            "Connections that were opened to upstreams",
            self.connections_opened.clone(),
        );
        registry.register(
            "relay_connections",
            "Connections to upstreams",
            self.connections.clone(),
        );
        registry.register(
            "relay_queued",
            "Shard requests that wait",
            self.waiting_attempts.clone(),
        );
        registry.register(
            "relay_in_flight",
            "Shard requests at upstreams",
            self.attempts_in_flight.clone(),
        );
    }

    /// Counts a verdict of an attempt of `class`.
    pub(super) fn count_verdict(&self, class: &ClassName, verdict: &ShardVerdict) {
        let (outcome, reason) = outcome_labels(verdict);
        let labels = OutcomeLabels {
            class: ClassLabel(class.clone()),
            outcome,
            reason,
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Records the wait and service time of an attempt that was answered with rows.
    pub(super) fn observe_times(
        &self,
        class: &ClassName,
        wait_time: Duration,
        service_time: Duration,
    ) {
        let labels = ClassLabels {
            class: ClassLabel(class.clone()),
        };
        let wait_times = self.wait_times.get_or_create(&labels);
        wait_times.observe(wait_time.as_secs_f64());
        let service_times = self.service_times.get_or_create(&labels);
        service_times.observe(service_time.as_secs_f64());
    }

    pub(super) fn count_opened_connection(&self) {
        self.connections_opened.inc();
    }

    pub(super) fn set_connection_count(&self, connections: u32) {
        self.connections.set(i64::from(connections));
    }

    pub(super) fn set_waiting_and_in_flight_counts(
        &self,
        (waiting_count, attempts_in_flight): (usize, usize),
    ) {
        self.waiting_attempts.set(waiting_count as i64);
        self.attempts_in_flight.set(attempts_in_flight as i64);
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
