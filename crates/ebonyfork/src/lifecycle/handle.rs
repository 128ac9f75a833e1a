//! Handle of the lifecycle: reads the clocks, publishes the readiness, counts requests and performs the planned stop.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ident::{RevisionNumber, RunState};
use crate::lifecycle::fence::{ContactSource, FenceCause, FenceState};
use crate::lifecycle::pause::{ClockReading, PauseDetector};
use crate::lifecycle::settings::LifecycleSettings;
use crate::lifecycle::stopping::{StopPhase, StopPlan, StopRun};
use crate::once::HandoverReport;
use crate::query::{QueryOutcome, QueryRefusal, RefusalCode};
use crate::views::{NodeReadiness, NodeViews};

/// Log target of the decision log.
const DECISION_LOG: &str = "ebonyfork::decision";
/// Interval at which a planned stop counts the work in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay given to callers whose request is refused.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time left for abandoned requests to write their answers before the process ends.
const ABANDONED_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Result of a planned stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopReport {
    /// Number of requests abandoned at the time limit or at a second signal.
    pub given_up: usize,
    /// Time from the announcement of the stop to its end.
    pub took: Duration,
    /// Result of the handover of sealed outcomes; `None` if there was no successor.
    pub handover: Option<HandoverReport>,
}

impl fmt::Display for StopReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} given up, took {:?}", self.given_up, self.took)?;
        match &self.handover {
            Some(handover) => write!(f, ", {handover}"),
            None => f.write_str(", no successor"),
        }
    }
}

/// Operations that a planned stop calls, and the signal that cuts it short.
#[derive(Debug)]
pub struct StopSteps<A, F, H> {
    /// Announces to the other VMs that this process is leaving.
    pub announce: A,
    /// Returns the number of work items in flight besides the requests counted by [`LifecycleHandle::serve`].
    pub in_flight: F,
    /// Seals the session of this process and hands its outcomes to a successor.
    pub hand_over: H,
    /// Cancelled by a second signal: the stop waits no longer for work in flight.
    pub skip_waiting: CancellationToken,
}

/// Readiness, fencing and the planned stop of one process. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LifecycleHandle {
    shared: Arc<LifecycleShared>,
}

/// State shared by all clones of a [`LifecycleHandle`].
#[derive(Debug)]
struct LifecycleShared {
    started_at: Instant,
    settings: LifecycleSettings,
    views: NodeViews,
    state: Mutex<LifecycleState>,
    /// Number of requests that are being served.
    serving: AtomicUsize,
    /// Cancelled when the planned stop abandons the requests in flight.
    give_up: CancellationToken,
    metrics: LifecycleMetrics,
}

/// Inputs that determine the readiness of the process, and the channel that publishes it.
#[derive(Debug)]
struct LifecycleState {
    pause_detector: PauseDetector,
    fence: FenceState,
    /// Whether the views have been complete at least once.
    views_complete: bool,
    /// Phase of the planned stop, once it has begun.
    stop_phase: Option<StopPhase>,
    readiness: watch::Sender<NodeReadiness>,
}

#[derive(Debug, Default)]
struct LifecycleMetrics {
    pauses: Counter,
    cut_offs: Counter,
    refusals: Counter,
}

/// Decrements the number of requests being served when dropped.
struct ServingGuard<'a>(&'a AtomicUsize);

impl Drop for ServingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LifecycleHandle {
    /// Starts to observe the clocks and the views; the readiness is published through `writer`.
    pub fn start(
        settings: LifecycleSettings,
        writer: watch::Sender<NodeReadiness>,
        views: NodeViews,
    ) -> Self {
        let state = LifecycleState {
            pause_detector: PauseDetector::new(settings.pause_limit),
            fence: FenceState::new(settings.fence_limits, Duration::ZERO),
            views_complete: false,
            stop_phase: None,
            readiness: writer,
        };
        let shared = LifecycleShared {
            started_at: Instant::now(),
            settings,
            views,
            state: Mutex::new(state),
            serving: AtomicUsize::new(0),
            give_up: CancellationToken::new(),
            metrics: LifecycleMetrics::default(),
        };
        let shared = Arc::new(shared);
        tokio::spawn(update_periodically(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Records that the store answered.
    pub fn record_store_contact(&self) {
        self.shared.record_contact(ContactSource::Store);
    }

    /// Records that a message from a peer arrived.
    pub fn record_peer_contact(&self) {
        self.shared.record_contact(ContactSource::Peer);
    }

    /// Reads the clocks, then updates and returns the readiness. Called for each request too, so that a pause is
    /// detected even if a request arrives before the periodic update.
    pub fn update_readiness(&self) -> NodeReadiness {
        self.shared.update_readiness()
    }

    /// Returns why new work is refused, if the process is fenced.
    pub fn fence(&self) -> Option<FenceCause> {
        self.shared.lock().fence.cause()
    }

    /// Returns the number of requests that are being served.
    pub fn serving(&self) -> usize {
        self.shared.serving.load(Ordering::SeqCst)
    }

    /// Runs a caller's request and counts it as in flight. While the process accepts no work, a request is refused as
    /// not run, except one with an idempotency key: it may be a resend of a query that ran, so
    /// [`OnceHandle`](crate::once::OnceHandle) decides. When the planned stop abandons the requests in flight, this one
    /// is answered at once.
    pub async fn serve(
        &self,
        keyed: bool,
        run: impl Future<Output = QueryOutcome>,
    ) -> QueryOutcome {
        let serving_count = &self.shared.serving;
        // Counted before the readiness is read: a stop changes the readiness before it counts, so it misses no request.
        serving_count.fetch_add(1, Ordering::SeqCst);
        let _guard = ServingGuard(serving_count);
        let readiness = self.update_readiness();
        if !keyed && !readiness.accepts_work() {
            self.shared.metrics.refusals.inc();
            return Err(readiness_refusal(readiness));
        }
        tokio::select! {
            biased;
            outcome = run => outcome,
            () = self.shared.give_up.cancelled() => Err(abandoned_refusal(keyed)),
        }
    }

    /// Performs a planned stop, and returns when the process may end.
    pub async fn stop<A, F, H, R>(&self, plan: StopPlan, steps: StopSteps<A, F, H>) -> StopReport
    where
        A: FnOnce(),
        F: Fn() -> usize,
        H: FnOnce() -> R,
        R: Future<Output = Option<HandoverReport>>,
    {
        let mut stop_run = StopRun::new(plan, self.shared.now());
        self.shared.set_stop_phase(StopPhase::Leaving);
        (steps.announce)();
        log::info!(
            "leaving: work is accepted for {:?} more",
            plan.locate_ttl + StopPlan::LOCATE_MARGIN
        );
        loop {
            let in_flight = self.serving() + (steps.in_flight)();
            let skip_waiting = steps.skip_waiting.is_cancelled();
            let phase = stop_run.advance(self.shared.now(), in_flight, skip_waiting);
            self.shared.set_stop_phase(phase);
            if phase == StopPhase::HandingOver {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(STOP_POLL_INTERVAL) => {}
                () = steps.skip_waiting.cancelled() => {}
            }
        }
        if stop_run.given_up() > 0 {
            log::warn!("{} requests in flight are abandoned", stop_run.given_up());
            self.shared.give_up.cancel();
        }
        let handover = (steps.hand_over)().await;
        if stop_run.given_up() > 0 {
            tokio::time::sleep(ABANDONED_ANSWER_TIME).await;
        }
        StopReport {
            given_up: stop_run.given_up(),
            took: stop_run.elapsed(self.shared.now()),
            handover,
        }
    }

    /// Registers the metrics of the lifecycle.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("lifecycle");
        let metrics = &self.shared.metrics;
        let counters = [
            (
                "pauses",
                "Times that the process was found to have been paused",
                &metrics.pauses,
            ),
            (
                "cut_offs",
                "Times that neither store nor peers were heard",
                &metrics.cut_offs,
            ),
            (
                "refusals",
                "Requests refused because the process takes no work",
                &metrics.refusals,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}

impl LifecycleShared {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, LifecycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_clocks(&self) -> ClockReading {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        ClockReading {
            monotonic: self.now(),
            wall: since_epoch.unwrap_or_default(),
        }
    }

    fn record_contact(&self, source: ContactSource) {
        let now = self.now();
        self.lock().fence.record_contact(source, now);
    }

    fn update_readiness(&self) -> NodeReadiness {
        let clock_reading = self.read_clocks();
        let now = clock_reading.monotonic;
        let mut state = self.lock();
        if let Some(gap) = state.pause_detector.observe(clock_reading) {
            state.fence.record_pause(now);
            self.metrics.pauses.inc();
            log::warn!("process was paused for {gap:?}: fenced until synchronised");
        }
        if let Some(contact) = (self.settings.last_peer_contact)() {
            let contact_at = contact.saturating_duration_since(self.started_at);
            state.fence.record_contact(ContactSource::Peer, contact_at);
        }
        if self.views.topology.borrow().vms.len() > 1 {
            state.fence.record_peer_known();
        }
        let previous_cause = state.fence.cause();
        let new_cause = state.fence.evaluate(now, (self.settings.caught_up)());
        if previous_cause.is_none() && new_cause == Some(FenceCause::CutOff) {
            self.metrics.cut_offs.inc();
        }
        if previous_cause != new_cause {
            log_fence(new_cause);
        }
        state.views_complete = state.views_complete || views_are_complete(&self.views);
        state.publish()
    }

    fn set_stop_phase(&self, phase: StopPhase) {
        let mut state = self.lock();
        state.stop_phase = Some(phase);
        state.publish();
    }
}

impl LifecycleState {
    fn current_readiness(&self) -> NodeReadiness {
        match (self.stop_phase, self.fence.cause()) {
            (Some(StopPhase::Finishing | StopPhase::HandingOver), _) => NodeReadiness::Stopping,
            _ if !self.views_complete => NodeReadiness::Starting,
            (_, Some(_)) => NodeReadiness::Fenced,
            (Some(StopPhase::Leaving), None) => NodeReadiness::Leaving,
            (None, None) => NodeReadiness::Ready,
        }
    }

    fn publish(&self) -> NodeReadiness {
        let readiness = self.current_readiness();
        self.readiness.send_if_modified(|current| {
            let changed = *current != readiness;
            if changed {
                log::info!(target: DECISION_LOG, "lifecycle readiness={readiness:?} was={current:?}");
            }
            *current = readiness;
            changed
        });
        readiness
    }
}

/// Returns whether the configuration, the catalogues of all its classes and at least one upstream are known.
fn views_are_complete(views: &NodeViews) -> bool {
    let config = views.config.borrow();
    if config.revision == RevisionNumber::default() {
        return false;
    }
    let catalog = views.catalog.borrow();
    let mut classes = config.classes.values();
    classes.all(|class| catalog.contains_key(&class.index))
        && !views.topology.borrow().upstreams.is_empty()
}

async fn update_periodically(shared: Weak<LifecycleShared>) {
    loop {
        tokio::time::sleep(PauseDetector::CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        shared.update_readiness();
    }
}

fn log_fence(cause: Option<FenceCause>) {
    match cause {
        Some(cause) => log::warn!(target: DECISION_LOG, "lifecycle fence cause={cause}"),
        None => log::info!(target: DECISION_LOG, "lifecycle unfence"),
    }
}

fn readiness_refusal(readiness: NodeReadiness) -> QueryRefusal {
    let (code, message) = match readiness {
        NodeReadiness::Stopping => (RefusalCode::Stopping, "this VM is stopping"),
        NodeReadiness::Fenced => (RefusalCode::NotReady, "this VM has to synchronise again"),
        _ => (RefusalCode::NotReady, "this VM has not synchronised yet"),
    };
    QueryRefusal::new(code, RunState::NotRun, message).with_retry_after(REFUSAL_RETRY_DELAY)
}

fn abandoned_refusal(keyed: bool) -> QueryRefusal {
    let (code, message) = if keyed {
        let message = "this VM stops before the outcome is known; send the same key to another";
        (RefusalCode::OutcomeUnknown, message)
    } else {
        (
            RefusalCode::UpstreamFailed,
            "this VM stops before the answer has come; ask another",
        )
    };
    QueryRefusal::new(code, RunState::Unknown, message)
}

#[cfg(test)]
#[path = "handle_tests.rs"]
mod tests;
