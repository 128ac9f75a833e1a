//! Metrics of the entry, per class.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::decision::DecisionCounts;
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

/// Metrics of an entry. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct EntryMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
    latency_seconds: LatencyFamily,
    attempts: Family<AttemptLabels, Counter>,
    denied_attempts: Family<ClassLabels, Counter>,
    replans: Family<ClassLabels, Counter>,
    shards_needed: Family<ClassLabels, Counter>,
    shards_answered: Family<ClassLabels, Counter>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            outcomes: Family::default(),
            latency_seconds: LatencyFamily::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.001, 1.5, 24))
            }),
            attempts: Family::default(),
            denied_attempts: Family::default(),
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
            self.latency_seconds.clone(),
        );
        registry.register(
            "entry_attempts",
            "Shard requests sent to relays, by class and purpose: first, hedge, retry",
            self.attempts.clone(),
        );
        registry.register(
            "entry_attempts_denied",
            "Hedges and retries for which the budget held nothing",
            self.denied_attempts.clone(),
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

    /// Records the outcome of a query that was passed to the core.
    pub(super) fn record_outcome(
        &self,
        class: &ClassName,
        outcome: &QueryOutcome,
        duration: Duration,
    ) {
        let labels = class_labels(class);
        match outcome {
            Ok(answer) => {
                let outcome_kind = if answer.coverage.is_incomplete() {
                    "thin"
                } else {
                    "whole"
                };
                self.count_outcome(class, outcome_kind);
                let coverage = &answer.coverage;
                self.shards_needed
                    .get_or_create(&labels)
                    .inc_by(coverage.total.into());
                self.shards_answered
                    .get_or_create(&labels)
                    .inc_by(coverage.answered.into());
                self.latency_seconds
                    .get_or_create(&labels)
                    .observe(duration.as_secs_f64());
            }
            Err(refusal) => self.record_refusal(class, refusal),
        }
    }

    /// Raises the decision counters of a class to the given totals.
    pub(super) fn update_decision_counts(&self, class: &ClassName, counts: DecisionCounts) {
        let purposes = [
            ("first", counts.first_attempts),
            ("hedge", counts.hedges),
            ("retry", counts.retries),
        ];
        for (purpose, total) in purposes {
            let labels = AttemptLabels {
                class: class.as_str().to_owned(),
                purpose,
            };
            raise_counter_to(&self.attempts.get_or_create(&labels), total);
        }
        let labels = class_labels(class);
        raise_counter_to(
            &self.denied_attempts.get_or_create(&labels),
            counts.denied_attempts,
        );
        raise_counter_to(&self.replans.get_or_create(&labels), counts.replans);
    }

    /// Counts a query that was refused, under the code of its refusal.
    pub(super) fn record_refusal(&self, class: &ClassName, refusal: &QueryRefusal) {
        self.count_outcome(class, refusal.code.as_str());
    }

    fn count_outcome(&self, class: &ClassName, outcome: &'static str) {
        let labels = OutcomeLabels {
            class: class.as_str().to_owned(),
            outcome,
        };
        self.outcomes.get_or_create(&labels).inc();
    }
}

/// Raises a counter to a total that never decreases.
fn raise_counter_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn class_labels(class: &ClassName) -> ClassLabels {
    ClassLabels {
        class: class.as_str().to_owned(),
    }
}
