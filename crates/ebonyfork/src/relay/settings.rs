//! The settings of a relay, and the callbacks that connect it to the quarantine and the topology.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ident::{RequestFingerprint, UpstreamAddress, VmAddress, ZoneName};
use crate::quarantine::RequestStanding;
use crate::relay::loss::UpstreamLoss;
use crate::settings::ExperimentSwitches;
use crate::views::NodeViews;

type RefusalCheck = dyn Fn(RequestFingerprint) -> bool + Send + Sync;
type LossReport = dyn Fn(UpstreamLoss) + Send + Sync;
type StandingCheck = dyn Fn(RequestFingerprint) -> RequestStanding + Send + Sync;
type AnswerReport = dyn Fn(RequestFingerprint, Duration) + Send + Sync;
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
    pub(super) standing: Arc<StandingCheck>,
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
            standing: Arc::new(|_fingerprint| RequestStanding::Clear),
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

    /// Calls `refuses` for each batch before it is queued and for each attempt before it is sent, and `report_loss`
    /// when connections broke with attempts in flight.
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

    /// Calls `standing` for each attempt when it is submitted and before it is sent, sends attempts of suspects alone,
    /// and calls `report_answer` when one was answered with rows, with the time since it was sent.
    #[must_use]
    pub fn with_suspicion(
        mut self,
        standing: impl Fn(RequestFingerprint) -> RequestStanding + Send + Sync + 'static,
        report_answer: impl Fn(RequestFingerprint, Duration) + Send + Sync + 'static,
    ) -> Self {
        self.standing = Arc::new(standing);
        self.report_answer = Arc::new(report_answer);
        self
    }

    /// Calls `report` for each upstream that says it is leaving.
    #[must_use]
    pub fn with_leaving_report(
        mut self,
        report: impl Fn(UpstreamAddress) + Send + Sync + 'static,
    ) -> Self {
        self.report_leaving = Arc::new(report);
        self
    }
}
