//! One log line per dispatch, refusal and verdict, on the target that operators switch.

use crate::ident::{SessionId, VmAddress};
use crate::relay::actor::WorkTicket;
use crate::relay::message::{RefusalReason, ShardTarget, ShardVerdict, SubmitBatch};

const TARGET: &str = "ebonyfork::decision";

pub(super) fn log_dispatch(relay: VmAddress, ticket: &WorkTicket) {
    if !log::log_enabled!(target: TARGET, log::Level::Info) {
        return;
    }
    let waited = ticket.submitted.elapsed();
    log::info!(
        target: TARGET,
        "relay={relay} query={} attempt={} shard={} upstream={} decision=send reason={:?} waited={waited:?}",
        ticket.attempt().query, ticket.target.attempt, ticket.target.shard, ticket.target.upstream,
        ticket.target.purpose
    );
}

pub(super) fn log_verdict(relay: VmAddress, ticket: &WorkTicket, verdict: &ShardVerdict) {
    let (decision, reason): (_, &dyn std::fmt::Debug) = match verdict {
        ShardVerdict::NotRun(reason) => ("refuse", reason),
        ShardVerdict::Failed { reason, .. } => ("fail", reason),
        // The rows' way was logged when they were sent for.
        ShardVerdict::Rows { .. } => return,
        ShardVerdict::VersionGone { newest } => ("version-gone", newest),
        ShardVerdict::Moved { service } => ("moved", service),
    };
    if !log::log_enabled!(target: TARGET, log::Level::Info) {
        return;
    }
    log::info!(
        target: TARGET,
        "relay={relay} query={} attempt={} shard={} upstream={} decision={decision} reason={reason:?}",
        ticket.attempt().query, ticket.target.attempt, ticket.target.shard, ticket.target.upstream
    );
}

pub(super) fn log_refusal(
    relay: VmAddress,
    session: Option<SessionId>,
    batch: &SubmitBatch,
    target: &ShardTarget,
    reason: RefusalReason,
) {
    if !log::log_enabled!(target: TARGET, log::Level::Info) {
        return;
    }
    let session = session.map(|session| session.to_string());
    log::info!(
        target: TARGET,
        "relay={relay} query={}.q{} attempt={} shard={} upstream={} decision=refuse reason={reason:?}",
        session.unwrap_or_default(), batch.query, target.attempt, target.shard, target.upstream
    );
}
