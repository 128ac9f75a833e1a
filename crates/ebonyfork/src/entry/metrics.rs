//! Metrics of the entry, per class.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::decision::DecisionTally;
use crate::ident::ClassName;
use crate::query::{QueryOutcome, QueryRefusal};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    class: String,
    purpose: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    class: String,
    outcome: &'static str,
}

type LatencyFamily = Family<ClassLabels, Histogram, fn() -> Histogram>;

/// Counters of an entry. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct EntryMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
    latency: LatencyFamily,
    attempts: Family<AttemptLabels, Counter>,
    denied: Family<ClassLabels, Counter>,
    replans: Family<ClassLabels, Counter>,
    shards_needed: Family<ClassLabels, Counter>,
    shards_answered: Family<ClassLabels, Counter>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            outcomes: Family::default(),
            latency: LatencyFamily::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.001, 1.5, 24))
            }),
            attempts: Family::default(),
            denied: Family::default(),
            replans: Family::default(),
            shards_needed: Family::default(),
            shards_answered: Family::default(),
        }
    }
}

impl EntryMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "entry_queries",
            "Queries by class and outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "entry_latency_seconds",
            "Time from taking a query in to its outcome",
            self.latency.clone(),
        );
        registry.register(
            "entry_attempts",
            "Shard requests sent to relays, by class and purpose: first, hedge, retry",
            self.attempts.clone(),
        );
        registry.register(
            "entry_attempts_denied",
            "Hedges and retries for which the budget held nothing",
            self.denied.clone(),
        );
        registry.register(
            "entry_replans",
            "Queries planned again at another version of the index",
            self.replans.clone(),
        );
        registry.register(
            "entry_shards_needed",
            "Shards that answered queries needed",
            self.shards_needed.clone(),
        );
        registry.register(
            "entry_shards_answered",
            "Shards whose rows were in answers",
            self.shards_answered.clone(),
        );
    }

    /// Counts a query that was planned or refused by the decisions.
    pub(super) fn finished(&self, class: &ClassName, outcome: &QueryOutcome, took: Duration) {
        let labels = class_labels(class);
        match outcome {
            Ok(answer) => {
                let kind = if answer.coverage.is_incomplete() {
                    "thin"
                } else {
                    "whole"
                };
                self.count(class, kind);
                let coverage = &answer.coverage;
                self.shards_needed
                    .get_or_create(&labels)
                    .inc_by(coverage.total.into());
                self.shards_answered
                    .get_or_create(&labels)
                    .inc_by(coverage.answered.into());
                self.latency
                    .get_or_create(&labels)
                    .observe(took.as_secs_f64());
            }
            Err(refusal) => self.refused(class, refusal),
        }
    }

    /// Brings the counters of a class up to what its decisions have come to.
    pub(super) fn tally(&self, class: &ClassName, tally: DecisionTally) {
        let purposes = [
            ("first", tally.first),
            ("hedge", tally.hedges),
            ("retry", tally.retries),
        ];
        for (purpose, total) in purposes {
            let labels = AttemptLabels {
                class: class.as_str().to_owned(),
                purpose,
            };
            raise_to(&self.attempts.get_or_create(&labels), total);
        }
        let labels = class_labels(class);
        raise_to(&self.denied.get_or_create(&labels), tally.denied);
        raise_to(&self.replans.get_or_create(&labels), tally.replans);
    }

    /// Counts a refusal.
    pub(super) fn refused(&self, class: &ClassName, refusal: &QueryRefusal) {
        self.count(class, refusal.code.as_str());
    }

    fn count(&self, class: &ClassName, outcome: &'static str) {
        let labels = OutcomeLabels {
            class: class.as_str().to_owned(),
            outcome,
        };
        self.outcomes.get_or_create(&labels).inc();
    }
}

/// Raises a counter to a total that only grows.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn class_labels(class: &ClassName) -> ClassLabels {
    ClassLabels {
        class: class.as_str().to_owned(),
    }
}
