//! Counters of the decisions on tokens.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::gateway::metrics::OutcomeLabel;

/// Decision on a request for a token that got none at once, on a transfer or on a start. The label is the word that logs and metrics show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaEvent {
    /// A request got its token after a wait.
    Waited,
    /// A request was refused without a promise.
    Refused,
    /// A request was refused, and a token was set aside for its return.
    Promised,
    /// A request returned as promised and got its token.
    PromiseKept,
    /// A request returned as promised and found no token.
    PromiseBroken,
    /// A token was set aside for a request that did not return.
    PromiseExpired,
    /// A reservation was not met.
    WaitFailed,
    /// Tokens arrived from another part.
    TransferReceived,
    /// Tokens from another part were dropped.
    TransferDropped,
    /// Tokens were given to another part.
    TransferGiven,
    /// A part was taken over with start tokens.
    StartAllowance,
}

impl QuotaEvent {
    /// Returns the event as one word.
    pub fn label(self) -> &'static str {
        match self {
            Self::Waited => "waited",
            Self::Refused => "refused",
            Self::Promised => "promised",
            Self::PromiseKept => "promise-kept",
            Self::PromiseBroken => "promise-broken",
            Self::PromiseExpired => "promise-expired",
            Self::WaitFailed => "wait-failed",
            Self::TransferReceived => "transfer-received",
            Self::TransferDropped => "transfer-dropped",
            Self::TransferGiven => "transfer-given",
            Self::StartAllowance => "start-allowance",
        }
    }
}

/// Metrics of the quotas, counted by the holders.
#[derive(Debug, Clone, Default)]
pub struct QuotaMetrics {
    events: Family<OutcomeLabel, Counter>,
}

impl QuotaMetrics {
    /// Counts a decision.
    pub fn count(&self, event: QuotaEvent) {
        self.events
            .get_or_create(&OutcomeLabel(event.label()))
            .inc();
    }

    /// Returns how often a decision was taken.
    #[cfg(test)]
    pub fn total(&self, event: QuotaEvent) -> u64 {
        self.events
            .get_or_create(&OutcomeLabel(event.label()))
            .get()
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "quota_decisions",
            "Decisions of this holder on requests that got no token at once, on transfers and on starts",
            self.events.clone(),
        );
    }
}
