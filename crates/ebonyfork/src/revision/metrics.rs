//! Metrics of the revision feed.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of the `revision_taken` counter: whether a revision came from a peer or the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct SourceLabels {
    pub(super) source: &'static str,
}

/// Metrics about the revisions that a process holds and has seen.
#[derive(Debug, Clone, Default)]
pub(super) struct RevisionMetrics {
    pub(super) held_revision: Gauge,
    pub(super) highest_revision: Gauge,
    pub(super) is_watching: Gauge,
    pub(super) lagging_vms: Gauge,
    pub(super) revisions_taken: Family<SourceLabels, Counter>,
    pub(super) rejected_revisions: Counter,
    pub(super) divergences: Counter,
    pub(super) restored_heads: Counter,
    pub(super) refused_parts: Counter,
}

impl RevisionMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "revision_held",
            "Revision of the configuration that is in force on this VM",
            self.held_revision.clone(),
        );
        registry.register(
            "revision_highest",
            "Highest revision of the configuration that any peer or the store has shown",
            self.highest_revision.clone(),
        );
        registry.register(
            "revision_watching",
            "Whether this VM watches the store for its zone, 1 or 0",
            self.is_watching.clone(),
        );
        registry.register(
            "revision_lagging_vms",
            "VMs of the zone below this VM's revision, on the zone's watchers",
            self.lagging_vms.clone(),
        );
        registry.register(
            "revision_taken",
            "Revisions put in force, by where they came from",
            self.revisions_taken.clone(),
        );
        registry.register(
            "revision_rejected",
            "Revisions fetched whole that this VM can't read",
            self.rejected_revisions.clone(),
        );
        registry.register(
            "revision_diverged",
            "Times another change was seen under the number of the one in force",
            self.divergences.clone(),
        );
        registry.register(
            "revision_restored",
            "Times this VM moved the store's head forward again after it had gone back",
            self.restored_heads.clone(),
        );
        registry.register(
            "revision_refused_parts",
            "Parts not given to a peer because the budget of bytes was used up",
            self.refused_parts.clone(),
        );
    }
}
