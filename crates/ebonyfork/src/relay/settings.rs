//! The settings of a relay, and the callbacks that connect it to the quarantine and the topology.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ident::{RequestFingerprint, UpstreamAddress, VmAddress, ZoneName};
use crate::quarantine::QuarantineStatus;
use crate::relay::loss::UpstreamLoss;
use crate::settings::ExperimentSwitches;
use crate::views::NodeViews;

/// Returns whether a request is quarantined and has to be refused.
type RefusalCheck = dyn Fn(RequestFingerprint) -> bool + Send + Sync;
/// Reports the loss of an upstream to the quarantine.
type LossReport = dyn Fn(UpstreamLoss) + Send + Sync;
/// Returns how the quarantine treats a request.
type StatusCheck = dyn Fn(RequestFingerprint) -> QuarantineStatus + Send + Sync;
/// Reports to the quarantine that a suspected request was answered, with the time since the attempt was sent.
type AnswerReport = dyn Fn(RequestFingerprint, Duration) + Send + Sync;
/// Reports to the topology that an upstream said it is leaving.
type LeavingReport = dyn Fn(UpstreamAddress) + Send + Sync;

/// Settings of a relay.
#[derive(Clone)]
pub struct RelaySettings {
    pub(super) vm: VmAddress,
    pub(super) zone: ZoneName,
    pub(super) views: NodeViews,
    pub(super) experiment: ExperimentSwitches,
    pub(super) refuses: Arc<RefusalCheck>,
    pub(super) report_loss: Arc<LossReport>,
    pub(super) quarantine_status: Arc<StatusCheck>,
    pub(super) report_answer: Arc<AnswerReport>,
    pub(super) report_leaving: Arc<LeavingReport>,
}

impl fmt::Debug for RelaySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelaySettings")
            .field("vm", &self.vm)
            .field("zone", &self.zone)
            .field("experiment", &self.experiment)
            .finish_non_exhaustive()
    }
}

impl RelaySettings {
    /// Creates the settings of the relay on one VM, without a quarantine.
    pub fn new(vm: VmAddress, zone: ZoneName, views: NodeViews) -> Self {
        Self {
            vm,
            zone,
            views,
            experiment: ExperimentSwitches::default(),
            refuses: Arc::new(|_fingerprint| false),
            report_loss: Arc::new(|_loss| ()),
            quarantine_status: Arc::new(|_fingerprint| QuarantineStatus::Clear),
            report_answer: Arc::new(|_fingerprint, _flight| ()),
            report_leaving: Arc::new(|_upstream| ()),
        }
    }

    /// Replaces the experiment switches.
    #[must_use]
    pub fn with_experiment(mut self, experiment: ExperimentSwitches) -> Self {
        self.experiment = experiment;
        self
    }

    /// Connects the relay to the quarantine. `refuses` returns whether a request is quarantined; the relay calls it for
    /// each batch before it queues the attempts, and again for each attempt before it sends it. The relay calls
    /// `report_loss` when connections to an upstream broke while attempts were in flight on them.
    #[must_use]
    pub fn with_quarantine(
        mut self,
        refuses: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
        report_loss: impl Fn(UpstreamLoss) + Send + Sync + 'static,
    ) -> Self {
        self.refuses = Arc::new(refuses);
        self.report_loss = Arc::new(report_loss);
        self
    }

    /// Lets the relay isolate requests that are suspected of crashing upstreams. `quarantine_status` returns how the
    /// quarantine treats a request; the relay calls it when an attempt is submitted, unless the entry has marked the
    /// attempt as [`AfterLoss`](crate::relay::AttemptPurpose::AfterLoss), and again before it sends the attempt. An
    /// attempt of a suspected request is sent only while nothing else is in flight at the upstream, so that a loss of
    /// the upstream can be attributed to that request. When such an attempt was answered with rows, the relay calls
    /// `report_answer` with the request and the time since the attempt was sent, so that the quarantine can clear the
    /// request.
    #[must_use]
    pub fn with_suspicion(
        mut self,
        quarantine_status: impl Fn(RequestFingerprint) -> QuarantineStatus + Send + Sync + 'static,
        report_answer: impl Fn(RequestFingerprint, Duration) + Send + Sync + 'static,
    ) -> Self {
        self.quarantine_status = Arc::new(quarantine_status);
        self.report_answer = Arc::new(report_answer);
        self
    }

    /// Makes the relay call `report` with each upstream that says it is leaving.
    #[must_use]
    pub fn with_leaving_report(
        mut self,
        report: impl Fn(UpstreamAddress) + Send + Sync + 'static,
    ) -> Self {
        self.report_leaving = Arc::new(report);
        self
    }
}
