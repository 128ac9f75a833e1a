//! Shares the quarantine table within a process, and adds the clock, the decision log and the metrics.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::ident::{RequestFingerprint, UpstreamAddress};
use crate::quarantine::entry::{
    LostRequest, QuarantineDecision, QuarantineEntry, QuarantineStatus,
};
use crate::quarantine::notice::QuarantineNotice;
use crate::quarantine::table::QuarantineTable;

/// Maximum number of suspects whose last admission is stored; when it is reached, all stored admissions are discarded.
const ADMISSION_LIMIT: usize = 8_192;
/// Minimum interval between two removals of outdated records by [`QuarantineHandle::admit`].
const REMOVAL_INTERVAL: Duration = Duration::from_mins(1);

/// The quarantine of one process. Cheap to clone.
///
/// # Examples
///
/// ```
/// use ebonyfork::ident::RequestFingerprint;
/// use ebonyfork::quarantine::QuarantineHandle;
///
/// let quarantine = QuarantineHandle::new();
/// assert!(!quarantine.refuses(RequestFingerprint(7)));
/// ```
#[derive(Clone, Debug)]
pub struct QuarantineHandle {
    shared: Arc<QuarantineShared>,
}

#[derive(Debug)]
struct QuarantineShared {
    started_at: Instant,
    state: Mutex<QuarantineState>,
    /// Whether the table has no records. In this usual case requests are admitted without taking the lock.
    table_is_empty: AtomicBool,
    /// Wakes the task that waits in [`QuarantineHandle::wait_for_notices`].
    notices_ready: Notify,
    metrics: QuarantineMetrics,
}

#[derive(Debug)]
struct QuarantineState {
    table: QuarantineTable,
    /// When each suspect was last admitted by this process, used when a loss is reported without the times of sending.
    last_admissions: FxHashMap<RequestFingerprint, Duration>,
    /// Time of the last removal of outdated records.
    last_removal_at: Duration,
}

#[derive(Debug, Default)]
struct QuarantineMetrics {
    losses: Counter,
    refusals: Counter,
    suspected_requests: Counter,
    quarantined_requests: Counter,
    cleared_requests: Counter,
    lifted_quarantines: Counter,
    entries: Gauge,
}

impl Default for QuarantineHandle {
    fn default() -> Self {
        Self::new()
    }
}

impl QuarantineHandle {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        let state = QuarantineState {
            table: QuarantineTable::new(rand::random()),
            last_admissions: FxHashMap::default(),
            last_removal_at: Duration::ZERO,
        };
        let shared = QuarantineShared {
            started_at: Instant::now(),
            state: Mutex::new(state),
            table_is_empty: AtomicBool::new(true),
            notices_ready: Notify::new(),
            metrics: QuarantineMetrics::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns whether a request that is about to be sent is refused.
    pub fn refuses(&self, fingerprint: RequestFingerprint) -> bool {
        self.admit(fingerprint) == QuarantineStatus::Quarantined
    }

    /// Returns how a request that is about to be sent is treated. A suspect may be sent only to an upstream at which no
    /// other suspect is in flight, and to one upstream at a time.
    pub fn admit(&self, fingerprint: RequestFingerprint) -> QuarantineStatus {
        if self.shared.table_is_empty.load(Ordering::Acquire) {
            return QuarantineStatus::Clear;
        }
        let now = self.now();
        let mut state = self.lock();
        let quarantine_status = state.table.admit(fingerprint, now);
        match quarantine_status {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Suspect => state.record_admission(fingerprint, now),
            QuarantineStatus::Quarantined => {
                self.shared.metrics.refusals.inc();
            }
        }
        state.remove_outdated_records_if_due(now);
        self.finish_update(state, &[]);
        if quarantine_status == QuarantineStatus::Quarantined {
            log::info!(target: "ebonyfork::decision", "quarantine refuse request={fingerprint}");
        }
        quarantine_status
    }

    /// Reports the loss of an upstream with these requests in flight. Prefer [`Self::report_loss_at`] if the times of
    /// sending are known. This function assumes that a request was sent when this process last admitted it as a
    /// suspect. A request without a stored admission is taken to have been sent before any loss.
    pub fn report_loss(&self, upstream: UpstreamAddress, fingerprints: &[RequestFingerprint]) {
        let now = self.now();
        let mut lost_requests = Vec::with_capacity(fingerprints.len());
        let state = self.lock();
        for fingerprint in fingerprints {
            let last_admission = state.last_admissions.get(fingerprint);
            let time_in_flight =
                last_admission.map_or(now, |admitted_at| now.saturating_sub(*admitted_at));
            lost_requests.push(LostRequest::new(*fingerprint, time_in_flight));
        }
        drop(state);
        self.report_loss_at(upstream, &lost_requests, Duration::ZERO);
    }

    /// Reports the loss of an upstream `age` ago with these requests in flight, each with the time since it was sent.
    /// Call this once per lost upstream, with all requests that were in flight there.
    pub fn report_loss_at(
        &self,
        upstream: UpstreamAddress,
        lost_requests: &[LostRequest],
        age: Duration,
    ) {
        self.shared.metrics.losses.inc();
        if lost_requests.is_empty() {
            return;
        }
        let lost_at = self.now().saturating_sub(age);
        let mut state = self.lock();
        let decisions = state.table.report_loss(upstream, lost_requests, lost_at);
        self.finish_update(state, &decisions);
    }

    /// Reports that an attempt sent `time_in_flight` ago was answered, which clears the request of earlier losses.
    /// Takes no lock while the table has no records.
    pub fn report_answer(&self, fingerprint: RequestFingerprint, time_in_flight: Duration) {
        if self.shared.table_is_empty.load(Ordering::Acquire) {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let decisions = state.table.report_answer(fingerprint, time_in_flight, now);
        self.finish_update(state, &decisions);
    }

    /// Lifts the quarantine or suspicion of a request for an operator. Returns false if the request is neither
    /// quarantined nor suspected.
    pub fn lift(&self, fingerprint: RequestFingerprint) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let is_lifted = state.table.lift(fingerprint, now);
        if is_lifted {
            self.shared.metrics.lifted_quarantines.inc();
            log::info!(target: "ebonyfork::decision", "quarantine lift request={fingerprint}");
        }
        self.finish_update(state, &[]);
        is_lifted
    }

    /// Returns the quarantined requests, ordered by fingerprint.
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        let now = self.now();
        self.lock().table.entries(now)
    }

    /// Takes the notices queued since the last call, this process's own and forwarded ones, for gossip.
    pub fn take_notices(&self) -> Vec<QuarantineNotice> {
        let now = self.now();
        let mut state = self.lock();
        state.table.remove_outdated_records(now);
        let entries = state.table.entries(now).len();
        self.shared.metrics.entries.set(entries as i64);
        let notices = state.table.take_notices(now);
        self.finish_update(state, &[]);
        notices
    }

    /// Returns notices of the whole state, for a VM that has just started or for a relay that is about to receive a
    /// suspect.
    pub fn all_notices(&self) -> Vec<QuarantineNotice> {
        let now = self.now();
        self.lock().table.all_notices(now)
    }

    /// Waits until notices may be queued to be taken by [`Self::take_notices`].
    pub async fn wait_for_notices(&self) {
        self.shared.notices_ready.notified().await;
    }

    /// Merges a notice from another VM.
    pub fn merge(&self, notice: QuarantineNotice) {
        let now = self.now();
        let mut state = self.lock();
        let decisions = state.table.merge(notice, now);
        self.finish_update(state, &decisions);
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("quarantine");
        let metrics = &self.shared.metrics;
        let counters = [
            ("losses", "Upstreams lost under requests", &metrics.losses),
            (
                "refusals",
                "Quarantined requests refused",
                &metrics.refusals,
            ),
            (
                "suspected",
                "Requests that became suspects",
                &metrics.suspected_requests,
            ),
            (
                "quarantined",
                "Requests that were quarantined",
                &metrics.quarantined_requests,
            ),
            (
                "cleared",
                "Requests that were cleared",
                &metrics.cleared_requests,
            ),
            (
                "lifted",
                "Quarantines lifted by operators here",
                &metrics.lifted_quarantines,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("entries", "Requests in quarantine", metrics.entries.clone());
    }

    fn now(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases the lock after a possible change of the table: records whether the table is empty, counts and logs the
    /// decisions, and wakes the task that waits for notices.
    fn finish_update(
        &self,
        state: MutexGuard<'_, QuarantineState>,
        decisions: &[QuarantineDecision],
    ) {
        let has_notices = state.table.has_notices();
        let is_empty = state.table.is_empty();
        self.shared
            .table_is_empty
            .store(is_empty, Ordering::Release);
        drop(state);
        for decision in decisions {
            self.shared.metrics.count(decision);
            log_decision(decision);
        }
        if has_notices {
            self.shared.notices_ready.notify_one();
        }
    }
}

impl QuarantineState {
    fn remove_outdated_records_if_due(&mut self, now: Duration) {
        if now > self.last_removal_at + REMOVAL_INTERVAL {
            self.last_removal_at = now;
            self.table.remove_outdated_records(now);
        }
    }

    fn record_admission(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.last_admissions.len() >= ADMISSION_LIMIT {
            self.last_admissions.clear();
        }
        self.last_admissions.insert(fingerprint, now);
    }
}

impl QuarantineMetrics {
    fn count(&self, decision: &QuarantineDecision) {
        let counter = match decision {
            QuarantineDecision::Suspect(_) => &self.suspected_requests,
            QuarantineDecision::Quarantine { .. } => &self.quarantined_requests,
            QuarantineDecision::Clear(_) => &self.cleared_requests,
        };
        counter.inc();
    }
}

fn log_decision(decision: &QuarantineDecision) {
    if !log::log_enabled!(target: "ebonyfork::decision", log::Level::Info) {
        return;
    }
    match decision {
        QuarantineDecision::Suspect(fingerprint) => {
            log::info!(target: "ebonyfork::decision", "quarantine suspect request={fingerprint}");
        }
        QuarantineDecision::Quarantine {
            fingerprint,
            ambiguous,
        } => {
            log::info!(
                target: "ebonyfork::decision",
                "quarantine add request={fingerprint} ambiguous={ambiguous}"
            );
        }
        QuarantineDecision::Clear(fingerprint) => {
            log::info!(target: "ebonyfork::decision", "quarantine clear request={fingerprint}");
        }
    }
}

#[cfg(test)]
#[path = "handle_tests.rs"]
mod tests;
