//! One log line per dispatch and per verdict without rows, under a log target that operators can enable.

use crate::ident::{SessionId, VmAddress};
use crate::relay::actor::PendingAttempt;
use crate::relay::message::{RefusalReason, ShardTarget, ShardVerdict, SubmitBatch};

const LOG_TARGET: &str = "ebonyfork::decision";

pub(super) fn log_dispatch(vm: VmAddress, pending_attempt: &PendingAttempt) {
    if !log::log_enabled!(target: LOG_TARGET, log::Level::Info) {
        return;
    }
    let wait_time = pending_attempt.submitted_at.elapsed();
    log::info!(
        target: LOG_TARGET,
        "relay={vm} query={} attempt={} shard={} upstream={} decision=send reason={:?} waited={wait_time:?}",
        pending_attempt.attempt().query, pending_attempt.target.attempt, pending_attempt.target.shard,
        pending_attempt.target.upstream,
        pending_attempt.target.purpose
    );
}

pub(super) fn log_verdict(vm: VmAddress, pending_attempt: &PendingAttempt, verdict: &ShardVerdict) {
    let (decision, reason): (_, &dyn std::fmt::Debug) = match verdict {
        ShardVerdict::NotRun(reason) => ("refuse", reason),
        ShardVerdict::Failed { reason, .. } => ("fail", reason),
        // The dispatch of this attempt was already logged.
        ShardVerdict::Rows { .. } => return,
        ShardVerdict::VersionGone { newest } => ("version-gone", newest),
        ShardVerdict::Moved { service } => ("moved", service),
    };
    if !log::log_enabled!(target: LOG_TARGET, log::Level::Info) {
        return;
    }
    log::info!(
        target: LOG_TARGET,
        "relay={vm} query={} attempt={} shard={} upstream={} decision={decision} reason={reason:?}",
        pending_attempt.attempt().query, pending_attempt.target.attempt, pending_attempt.target.shard,
        pending_attempt.target.upstream
    );
}

pub(super) fn log_refusal(
    vm: VmAddress,
    session: Option<SessionId>,
    batch: &SubmitBatch,
    target: &ShardTarget,
    reason: RefusalReason,
) {
    if !log::log_enabled!(target: LOG_TARGET, log::Level::Info) {
        return;
    }
    let session = session.map(|session| session.to_string());
    log::info!(
        target: LOG_TARGET,
        "relay={vm} query={}.q{} attempt={} shard={} upstream={} decision=refuse reason={reason:?}",
        session.unwrap_or_default(), batch.query, target.attempt, target.shard, target.upstream
    );
}
