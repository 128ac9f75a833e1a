//! Statistics of one upstream, and the expected cost of sending it the next request.
//!
//! There are two sources: the outcomes of the entry's own attempts, and the queue wait that the relay owning the
//! upstream reports from its exact queue. Between reports, the reported wait is reduced by the time that has passed,
//! and the requests submitted by this entry since the report are added. Load figures from status endpoints are not
//! used, so a server that misreports its load attracts no traffic.
//!
//! A server that fails is avoided for a backoff that doubles with each further failure, and is then probed with one
//! request.

use std::time::Duration;

use crate::relay::UpstreamLoad;

/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Backoff after a server shed a request.
const SHED_BACKOFF: Duration = Duration::from_millis(20);
/// Time after which a probe without an outcome no longer blocks the next probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of consecutive overdue attempts after which a silent server counts as failed.
const MAX_CONSECUTIVE_OVERDUE_ATTEMPTS: u32 = 3;
/// Number of service times without any outcome after which a server counts as silent.
const SILENCE_SERVICE_TIMES: u32 = 8;
/// Lower bound of the time after which a server counts as silent.
const MIN_SILENCE_DURATION: Duration = Duration::from_millis(100);
/// Service time assumed for a server without measurements.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time without outcomes in which a measured service time loses half of its excess over the default.
const SERVICE_TIME_HALF_LIFE: Duration = Duration::from_secs(2);
/// The weight of a new service time in the moving average is one divided by this number.
const SERVICE_TIME_SMOOTHING: u32 = 8;

/// Whether a server may be chosen for a request, as far as its failures decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// No recent failure is known.
    Healthy,
    /// The server has failed, its backoff is over and it is due for a probe.
    ProbeDue,
    /// The server has failed recently and is only used if there is no other.
    BackingOff,
}

/// Health and load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    /// Queue wait in the last report of the relay.
    reported_wait: Duration,
    /// When `reported_wait` was received.
    reported_at: Duration,
    /// When the last outcome arrived from the server.
    last_outcome_at: Duration,
    /// Requests submitted by this entry since the last report, less those that have ended.
    submitted_count_since_report: u32,
    /// Moving average of the time that the upstream takes for a request that returns rows. A relay's report replaces
    /// the average if the report states a service time. None before the first of either.
    service_time: Option<Duration>,
    concurrency_limit: u16,
    is_leaving: bool,
    consecutive_failures: u32,
    consecutive_overdue_attempts: u32,
    backoff_until: Duration,
    /// When the probe that is in flight was sent; `None` if no probe is in flight.
    probe_sent_at: Option<Duration>,
}

impl ReplicaHealth {
    /// Records a load report from the relay that owns the upstream.
    pub fn record_load_report(&mut self, now: Duration, load: &UpstreamLoad) {
        self.reported_wait = Duration::from_micros(load.wait_us.into());
        self.reported_at = now;
        self.submitted_count_since_report = 0;
        self.concurrency_limit = load.limit;
        self.is_leaving = load.leaving;
        if load.service_us > 0 {
            self.service_time = Some(Duration::from_micros(load.service_us.into()));
        }
    }

    /// Records that this entry has submitted a request.
    pub fn record_submission(&mut self, now: Duration) {
        self.submitted_count_since_report += 1;
        if self.consecutive_failures > 0 {
            self.probe_sent_at = Some(now);
        }
    }

    /// Reverts [`ReplicaHealth::record_submission`] for a request that is not sent after all.
    pub fn undo_submission(&mut self) {
        self.submitted_count_since_report = self.submitted_count_since_report.saturating_sub(1);
        self.probe_sent_at = None;
    }

    /// Records that a submitted request was cancelled, which says nothing about the server.
    pub fn record_cancellation(&mut self) {
        self.submitted_count_since_report = self.submitted_count_since_report.saturating_sub(1);
    }

    /// Records that the outcome of a submitted request has arrived, whatever it is.
    pub fn record_outcome(&mut self, now: Duration) {
        self.last_outcome_at = now;
        self.consecutive_overdue_attempts = 0;
        self.submitted_count_since_report = self.submitted_count_since_report.saturating_sub(1);
    }

    /// Records rows and the time that the upstream took for them.
    pub fn record_success(&mut self, upstream_time: Duration) {
        let previous_average = self.service_time.unwrap_or(upstream_time);
        let new_average = (previous_average * (SERVICE_TIME_SMOOTHING - 1) + upstream_time)
            / SERVICE_TIME_SMOOTHING;
        self.service_time = Some(new_average);
        self.consecutive_failures = 0;
        self.probe_sent_at = None;
    }

    /// Records a failure and starts a backoff twice as long as the previous one.
    pub fn record_failure(&mut self, now: Duration) {
        let doublings = self.consecutive_failures.min(10);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.backoff_until = now + backoff;
        self.probe_sent_at = None;
    }

    /// Records that the server shed a request, and avoids it for a short time.
    pub fn record_shed_request(&mut self, now: Duration) {
        self.consecutive_failures = self.consecutive_failures.max(1);
        self.backoff_until = self.backoff_until.max(now + SHED_BACKOFF);
        self.probe_sent_at = None;
    }

    /// Records that an attempt is overdue. Several in a row count as a failure if the server has been silent meanwhile.
    /// A server that is merely slow still returns outcomes, and its expected wait accounts for that.
    pub fn record_overdue_attempt(&mut self, now: Duration) {
        self.consecutive_overdue_attempts += 1;
        let silence_duration = now.saturating_sub(self.last_outcome_at);
        let silence_threshold =
            (self.service_time(now) * SILENCE_SERVICE_TIMES).max(MIN_SILENCE_DURATION);
        if self.consecutive_overdue_attempts >= MAX_CONSECUTIVE_OVERDUE_ATTEMPTS
            && silence_duration >= silence_threshold
        {
            self.consecutive_overdue_attempts = 0;
            self.record_failure(now);
        }
    }

    /// Returns whether the relay has reported that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the concurrency limit reported last, at least 1.
    pub fn concurrency_limit(&self) -> u16 {
        self.concurrency_limit.max(1)
    }

    /// Returns whether the server may be chosen at `now`.
    pub fn status(&self, now: Duration) -> ReplicaStatus {
        if self.consecutive_failures == 0 {
            return ReplicaStatus::Healthy;
        }
        let is_probe_in_flight = self
            .probe_sent_at
            .is_some_and(|sent_at| now < sent_at + PROBE_TIMEOUT);
        if now < self.backoff_until || is_probe_in_flight {
            ReplicaStatus::BackingOff
        } else {
            ReplicaStatus::ProbeDue
        }
    }

    /// Returns when the backoff of the server ends.
    pub fn backoff_until(&self) -> Duration {
        self.backoff_until
    }

    /// Returns the time that the upstream is expected to take for one request.
    pub fn service_time(&self, now: Duration) -> Duration {
        let Some(service_time) = self.service_time else {
            return DEFAULT_SERVICE_TIME;
        };
        let Some(excess_time) = service_time.checked_sub(DEFAULT_SERVICE_TIME) else {
            return service_time;
        };
        let outcome_age = now.saturating_sub(self.last_outcome_at);
        if outcome_age < SERVICE_TIME_HALF_LIFE / 4 {
            return service_time;
        }
        let halvings = outcome_age.as_secs_f64() / SERVICE_TIME_HALF_LIFE.as_secs_f64();
        DEFAULT_SERVICE_TIME + excess_time.mul_f64(0.5_f64.powf(halvings))
    }

    /// Returns the time that a request submitted now is expected to wait at the relay.
    pub fn expected_wait(&self, now: Duration) -> Duration {
        let remaining_backlog = self
            .reported_wait
            .saturating_sub(now.saturating_sub(self.reported_at));
        let own_backlog = self.service_time(now) * self.submitted_count_since_report
            / u32::from(self.concurrency_limit());
        let concurrency = u32::from(self.concurrency_limit());
        if self.submitted_count_since_report < concurrency && remaining_backlog.is_zero() {
            return Duration::ZERO;
        }
        remaining_backlog + own_backlog
    }
}
