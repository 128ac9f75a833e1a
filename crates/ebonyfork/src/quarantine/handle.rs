//! The table shared within a process: the clock, the decision log and the metrics around it.

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
use crate::quarantine::entry::{LostRequest, QuarantineDecision, QuarantineEntry, RequestStanding};
use crate::quarantine::notice::QuarantineNotice;
use crate::quarantine::table::QuarantineTable;

/// Suspects whose last admission is remembered at most.
const ADMISSION_LIMIT: usize = 8_192;
/// Time between two looks for what no longer counts.
const SWEEP_PERIOD: Duration = Duration::from_mins(1);

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
    started: Instant,
    state: Mutex<QuarantineState>,
    /// True while the table remembers nothing: the usual case, answered without the lock.
    empty: AtomicBool,
    news: Notify,
    metrics: QuarantineMetrics,
}

#[derive(Debug)]
struct QuarantineState {
    table: QuarantineTable,
    /// When a suspect was last admitted here, for callers that don't tell when they sent it.
    admitted: FxHashMap<RequestFingerprint, Duration>,
    /// When what no longer counts was forgotten last.
    swept: Duration,
}

#[derive(Debug, Default)]
struct QuarantineMetrics {
    losses: Counter,
    refusals: Counter,
    suspected: Counter,
    quarantined: Counter,
    cleared: Counter,
    lifted: Counter,
    entries: Gauge,
}

impl Default for QuarantineHandle {
    fn default() -> Self {
        Self::new()
    }
}

impl QuarantineHandle {
    /// Makes an empty quarantine.
    pub fn new() -> Self {
        let state = QuarantineState {
            table: QuarantineTable::new(rand::random()),
            admitted: FxHashMap::default(),
            swept: Duration::ZERO,
        };
        let shared = QuarantineShared {
            started: Instant::now(),
            state: Mutex::new(state),
            empty: AtomicBool::new(true),
            news: Notify::new(),
            metrics: QuarantineMetrics::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Tells whether a request that is about to be sent is refused.
    pub fn refuses(&self, fingerprint: RequestFingerprint) -> bool {
        self.admit(fingerprint) == RequestStanding::Quarantined
    }

    /// What a request that is about to be sent may do. A suspect goes only to an upstream at which no other suspect is
    /// in flight, and to one upstream at a time.
    pub fn admit(&self, fingerprint: RequestFingerprint) -> RequestStanding {
        if self.shared.empty.load(Ordering::Acquire) {
            return RequestStanding::Clear;
        }
        let now = self.now();
        let mut state = self.lock();
        let standing = state.table.admit(fingerprint, now);
        match standing {
            RequestStanding::Clear => {}
            RequestStanding::Suspect => state.note_admitted(fingerprint, now),
            RequestStanding::Quarantined => {
                self.shared.metrics.refusals.inc();
            }
        }
        state.sweep(now);
        self.publish(state, &[]);
        if standing == RequestStanding::Quarantined {
            log::info!(target: "ebonyfork::decision", "quarantine refuse request={fingerprint}");
        }
        standing
    }

    /// Reports that an upstream was lost with these requests in flight. Use [`Self::report_broken`] where the times of
    /// sending are known: without them a suspect counts as sent when it was last admitted here.
    pub fn report_loss(&self, upstream: UpstreamAddress, in_flight: &[RequestFingerprint]) {
        let now = self.now();
        let mut lost = Vec::with_capacity(in_flight.len());
        let state = self.lock();
        for fingerprint in in_flight {
            let admitted = state.admitted.get(fingerprint);
            let flight = admitted.map_or(now, |admitted| now.saturating_sub(*admitted));
            lost.push(LostRequest::new(*fingerprint, flight));
        }
        drop(state);
        self.report_broken(upstream, &lost, Duration::ZERO);
    }

    /// Reports that an upstream was lost with these requests in flight, each with the time since it was sent. One call
    /// per lost upstream, with everything that was in flight there, `age` after it was lost.
    pub fn report_broken(&self, upstream: UpstreamAddress, lost: &[LostRequest], age: Duration) {
        self.shared.metrics.losses.inc();
        if lost.is_empty() {
            return;
        }
        let at = self.now().saturating_sub(age);
        let mut state = self.lock();
        let decisions = state.table.report_loss(upstream, lost, at);
        self.publish(state, &decisions);
    }

    /// Reports that an attempt, sent `flight` ago, was answered: a suspect is cleared. Cheap while there is none.
    pub fn report_answer(&self, fingerprint: RequestFingerprint, flight: Duration) {
        if self.shared.empty.load(Ordering::Acquire) {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let decisions = state.table.report_answer(fingerprint, flight, now);
        self.publish(state, &decisions);
    }

    /// Allows a request again, on an operator's word; false if it was neither quarantined nor suspected.
    pub fn lift(&self, fingerprint: RequestFingerprint) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let lifted = state.table.lift(fingerprint, now);
        if lifted {
            self.shared.metrics.lifted.inc();
            log::info!(target: "ebonyfork::decision", "quarantine lift request={fingerprint}");
        }
        self.publish(state, &[]);
        lifted
    }

    /// Quarantined requests, by fingerprint.
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        let now = self.now();
        self.lock().table.entries(now)
    }

    /// Takes the news since the last time, own and heard, for gossip.
    pub fn take_notices(&self) -> Vec<QuarantineNotice> {
        let now = self.now();
        let mut state = self.lock();
        state.table.forget_old(now);
        let entries = state.table.entries(now).len();
        self.shared.metrics.entries.set(entries as i64);
        let notices = state.table.take_notices(now);
        self.publish(state, &[]);
        notices
    }

    /// Everything known, for a VM that has just started or an upstream's relay that is about to get a suspect.
    pub fn all_notices(&self) -> Vec<QuarantineNotice> {
        let now = self.now();
        self.lock().table.all_notices(now)
    }

    /// Waits until there may be news to take.
    pub async fn wait_news(&self) {
        self.shared.news.notified().await;
    }

    /// Takes in news of another VM.
    pub fn merge(&self, notice: QuarantineNotice) {
        let now = self.now();
        let mut state = self.lock();
        let decisions = state.table.merge(notice, now);
        self.publish(state, &decisions);
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
                &metrics.suspected,
            ),
            (
                "quarantined",
                "Requests that were quarantined",
                &metrics.quarantined,
            ),
            ("cleared", "Requests that were cleared", &metrics.cleared),
            (
                "lifted",
                "Quarantines lifted by operators here",
                &metrics.lifted,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("entries", "Requests in quarantine", metrics.entries.clone());
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts and logs decisions, and wakes whoever waits for news.
    fn publish(&self, state: MutexGuard<'_, QuarantineState>, decisions: &[QuarantineDecision]) {
        let has_news = state.table.has_news();
        let empty = state.table.is_empty();
        self.shared.empty.store(empty, Ordering::Release);
        drop(state);
        for decision in decisions {
            self.shared.metrics.count(decision);
            log_decision(decision);
        }
        if has_news {
            self.shared.news.notify_one();
        }
    }
}

impl QuarantineState {
    fn sweep(&mut self, now: Duration) {
        if now > self.swept + SWEEP_PERIOD {
            self.swept = now;
            self.table.forget_old(now);
        }
    }

    fn note_admitted(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.admitted.len() >= ADMISSION_LIMIT {
            self.admitted.clear();
        }
        self.admitted.insert(fingerprint, now);
    }
}

impl QuarantineMetrics {
    fn count(&self, decision: &QuarantineDecision) {
        let counter = match decision {
            QuarantineDecision::Suspect(_) => &self.suspected,
            QuarantineDecision::Quarantine { .. } => &self.quarantined,
            QuarantineDecision::Clear(_) => &self.cleared,
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
                "quarantine convict request={fingerprint} ambiguous={ambiguous}"
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
