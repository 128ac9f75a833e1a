//! What a relay counts.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::ident::ClassName;
use crate::relay::message::ShardVerdict;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    class: String,
    outcome: OutcomeLabel,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
enum OutcomeLabel {
    Rows,
    VersionGone,
    Moved,
    NotRun,
    Failed,
}

impl OutcomeLabel {
    fn of(verdict: &ShardVerdict) -> Self {
        match verdict {
            ShardVerdict::Rows { .. } => Self::Rows,
            ShardVerdict::VersionGone { .. } => Self::VersionGone,
            ShardVerdict::Moved { .. } => Self::Moved,
            ShardVerdict::NotRun(_) => Self::NotRun,
            ShardVerdict::Failed { .. } => Self::Failed,
        }
    }
}

/// The relay's metrics. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct RelayMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
    opened: Counter,
    connections: Gauge,
    queued: Gauge,
    in_flight: Gauge,
}

impl RelayMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "relay_outcomes",
            "Verdicts of shard requests",
            self.outcomes.clone(),
        );
        registry.register(
            "relay_connections_opened",
            "Connections that were opened to upstreams",
            self.opened.clone(),
        );
        registry.register(
            "relay_connections",
            "Connections to upstreams",
            self.connections.clone(),
        );
        registry.register(
            "relay_queued",
            "Shard requests that wait",
            self.queued.clone(),
        );
        registry.register(
            "relay_in_flight",
            "Shard requests at upstreams",
            self.in_flight.clone(),
        );
    }

    pub(super) fn count(&self, class: &ClassName, verdict: &ShardVerdict) {
        let labels = OutcomeLabels {
            class: class.to_string(),
            outcome: OutcomeLabel::of(verdict),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    pub(super) fn opened(&self) {
        self.opened.inc();
    }

    pub(super) fn set_connections(&self, connections: u32) {
        self.connections.set(i64::from(connections));
    }

    pub(super) fn set_occupancy(&self, (queued, in_flight): (usize, usize)) {
        self.queued.set(queued as i64);
        self.in_flight.set(in_flight as i64);
    }
}
