//! What an entry decides: events for the log and the metrics, as values.

use std::fmt;

use crate::ident::{ShardNumber, UpstreamAddress, VmAddress};
use crate::relay::AttemptPurpose;

use super::choice::ChoiceReason;

/// One routing decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecision {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// The shard.
    pub shard: ShardNumber,
    /// The upstream chosen.
    pub upstream: UpstreamAddress,
    /// The relay that it goes through.
    pub relay: VmAddress,
    /// Whether that is the upstream's standby relay.
    pub standby: bool,
    /// Why the attempt is made.
    pub purpose: AttemptPurpose,
    /// Why this upstream.
    pub reason: ChoiceReason,
}

impl fmt::Display for RouteDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let purpose = match self.purpose {
            AttemptPurpose::First => "first",
            AttemptPurpose::Hedge => "hedge",
            AttemptPurpose::Retry => "retry",
            AttemptPurpose::AfterLoss => "after-loss",
        };
        let role = if self.standby { "standby" } else { "primary" };
        write!(
            f,
            "query=q{} attempt=a{} shard={} upstream={} relay={} role={role} purpose={purpose} reason={}",
            self.query, self.attempt, self.shard, self.upstream, self.relay, self.reason
        )
    }
}
