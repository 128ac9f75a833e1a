//! The running part: looks at the clocks, writes the readiness, counts what is in flight, runs the planned stop.

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

const DECISION: &str = "ebonyfork::decision";
/// Time between two looks at what is in flight during a stop.
const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// When a caller should come back that was refused.
const REFUSED_RETRY: Duration = Duration::from_secs(1);
/// How long given-up requests have to write their answers.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// How a planned stop went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were given up because the bound or a second signal came first.
    pub given_up: usize,
    /// Time from the announcement to the end.
    pub took: Duration,
    /// What became of the sealed outcomes; none if nobody was there to take them.
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

/// What a planned stop does at its steps, and what it looks at.
#[derive(Debug)]
pub struct StopSteps<A, F, H> {
    /// Tells the others that this process leaves.
    pub announce: A,
    /// Counts work in flight besides the requests that [`LifecycleHandle::serve`] counts.
    pub in_flight: F,
    /// Seals and hands over.
    pub hand_over: H,
    /// Cancelled by a second signal.
    pub hurry: CancellationToken,
}

/// Readiness, fencing and the planned stop of one process. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LifecycleHandle {
    shared: Arc<LifecycleShared>,
}

#[derive(Debug)]
struct LifecycleShared {
    started: Instant,
    settings: LifecycleSettings,
    views: NodeViews,
    state: Mutex<LifecycleState>,
    serving: AtomicUsize,
    give_up: CancellationToken,
    metrics: LifecycleMetrics,
}

#[derive(Debug)]
struct LifecycleState {
    detector: PauseDetector,
    fence: FenceState,
    filled: bool,
    stop: Option<StopPhase>,
    writer: watch::Sender<NodeReadiness>,
}

#[derive(Debug, Default)]
struct LifecycleMetrics {
    pauses: Counter,
    cut_offs: Counter,
    refusals: Counter,
}

/// Counts one request for as long as it lives.
struct ServingGuard<'a>(&'a AtomicUsize);

impl Drop for ServingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LifecycleHandle {
    /// Starts to follow the views and the clocks; `writer` receives the readiness.
    pub fn start(
        settings: LifecycleSettings,
        writer: watch::Sender<NodeReadiness>,
        views: NodeViews,
    ) -> Self {
        let state = LifecycleState {
            detector: PauseDetector::new(settings.pause),
            fence: FenceState::new(settings.limits, Duration::ZERO),
            filled: false,
            stop: None,
            writer,
        };
        let shared = LifecycleShared {
            started: Instant::now(),
            settings,
            views,
            state: Mutex::new(state),
            serving: AtomicUsize::new(0),
            give_up: CancellationToken::new(),
            metrics: LifecycleMetrics::default(),
        };
        let shared = Arc::new(shared);
        tokio::spawn(look_often(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Notes that the store answered.
    pub fn note_store_contact(&self) {
        self.shared.note_contact(ContactSource::Store);
    }

    /// Notes that a peer was heard.
    pub fn note_peer_contact(&self) {
        self.shared.note_contact(ContactSource::Peer);
    }

    /// Looks at the clocks and decides. A request that arrives before the timers have found out about a pause finds out
    /// here.
    pub fn look(&self) -> NodeReadiness {
        self.shared.look()
    }

    /// Why new work is refused, if the process is fenced.
    pub fn fence(&self) -> Option<FenceCause> {
        self.shared.lock().fence.cause()
    }

    /// Requests that are being served.
    pub fn serving(&self) -> usize {
        self.shared.serving.load(Ordering::SeqCst)
    }

    /// Runs a caller's request and counts it as in flight. New work is refused as not run unless the process takes work; a
    /// request under a key passes, because it may be a resend of what ran, and whoever keeps the keys decides. When the
    /// planned stop gives up waiting, the request is answered at once.
    pub async fn serve(
        &self,
        keyed: bool,
        run: impl Future<Output = QueryOutcome>,
    ) -> QueryOutcome {
        let serving = &self.shared.serving;
        // Counted before the look: the stop refuses first and counts afterwards, so that no request is missed.
        serving.fetch_add(1, Ordering::SeqCst);
        let _guard = ServingGuard(serving);
        let readiness = self.look();
        if !keyed && !readiness.takes_work() {
            self.shared.metrics.refusals.inc();
            return Err(refusal_of(readiness));
        }
        tokio::select! {
            biased;
            outcome = run => outcome,
            () = self.shared.give_up.cancelled() => Err(given_up_refusal(keyed)),
        }
    }

    /// Stops as planned and returns when the process may end.
    pub async fn stop<A, F, H, R>(&self, plan: StopPlan, steps: StopSteps<A, F, H>) -> StopReport
    where
        A: FnOnce(),
        F: Fn() -> usize,
        H: FnOnce() -> R,
        R: Future<Output = Option<HandoverReport>>,
    {
        let mut run = StopRun::new(plan, self.shared.now());
        self.shared.set_stop(StopPhase::Leaving);
        (steps.announce)();
        log::info!(
            "leaving: work is taken for {:?} more",
            plan.locate_ttl + StopPlan::MARGIN
        );
        loop {
            let in_flight = self.serving() + (steps.in_flight)();
            let hurry = steps.hurry.is_cancelled();
            let phase = run.advance(self.shared.now(), in_flight, hurry);
            self.shared.set_stop(phase);
            if phase == StopPhase::HandingOver {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(LOOK_PERIOD) => {}
                () = steps.hurry.cancelled() => {}
            }
        }
        if run.given_up() > 0 {
            log::warn!("{} requests in flight are given up", run.given_up());
            self.shared.give_up.cancel();
        }
        let handover = (steps.hand_over)().await;
        if run.given_up() > 0 {
            tokio::time::sleep(ANSWER_TIME).await;
        }
        StopReport {
            given_up: run.given_up(),
            took: run.took(self.shared.now()),
            handover,
        }
    }

    /// Registers the metrics.
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
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, LifecycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reading(&self) -> ClockReading {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        ClockReading {
            monotonic: self.now(),
            wall: wall.unwrap_or_default(),
        }
    }

    fn note_contact(&self, source: ContactSource) {
        let now = self.now();
        self.lock().fence.note_contact(source, now);
    }

    fn look(&self) -> NodeReadiness {
        let reading = self.reading();
        let now = reading.monotonic;
        let mut state = self.lock();
        if let Some(gap) = state.detector.observe(reading) {
            state.fence.note_pause(now);
            self.metrics.pauses.inc();
            log::warn!("paused for {gap:?}: fenced until synchronised");
        }
        if let Some(heard) = (self.settings.peer_contact)() {
            let at = heard.saturating_duration_since(self.started);
            state.fence.note_contact(ContactSource::Peer, at);
        }
        if self.views.topology.borrow().vms.len() > 1 {
            state.fence.note_peer_known();
        }
        let before = state.fence.cause();
        let after = state.fence.evaluate(now, (self.settings.caught_up)());
        if before.is_none() && after == Some(FenceCause::CutOff) {
            self.metrics.cut_offs.inc();
        }
        if before != after {
            log_fence(after);
        }
        state.filled = state.filled || is_filled(&self.views);
        state.write()
    }

    fn set_stop(&self, phase: StopPhase) {
        let mut state = self.lock();
        state.stop = Some(phase);
        state.write();
    }
}

impl LifecycleState {
    fn readiness(&self) -> NodeReadiness {
        match (self.stop, self.fence.cause()) {
            (Some(StopPhase::Finishing | StopPhase::HandingOver), _) => NodeReadiness::Stopping,
            _ if !self.filled => NodeReadiness::Starting,
            (_, Some(_)) => NodeReadiness::Fenced,
            (Some(StopPhase::Leaving), None) => NodeReadiness::Leaving,
            (None, None) => NodeReadiness::Ready,
        }
    }

    fn write(&self) -> NodeReadiness {
        let readiness = self.readiness();
        self.writer.send_if_modified(|current| {
            let changed = *current != readiness;
            if changed {
                log::info!(target: DECISION, "lifecycle readiness={readiness:?} was={current:?}");
            }
            *current = readiness;
            changed
        });
        readiness
    }
}

/// Tells whether configuration, the catalogues of all its classes and at least one upstream are known.
fn is_filled(views: &NodeViews) -> bool {
    let config = views.config.borrow();
    if config.revision == RevisionNumber::default() {
        return false;
    }
    let catalog = views.catalog.borrow();
    let mut classes = config.classes.values();
    classes.all(|class| catalog.contains_key(&class.index))
        && !views.topology.borrow().upstreams.is_empty()
}

async fn look_often(shared: Weak<LifecycleShared>) {
    loop {
        tokio::time::sleep(PauseDetector::PERIOD).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        shared.look();
    }
}

fn log_fence(cause: Option<FenceCause>) {
    match cause {
        Some(cause) => log::warn!(target: DECISION, "lifecycle fence cause={cause}"),
        None => log::info!(target: DECISION, "lifecycle unfence"),
    }
}

fn refusal_of(readiness: NodeReadiness) -> QueryRefusal {
    let (code, message) = match readiness {
        NodeReadiness::Stopping => (RefusalCode::Stopping, "this VM is stopping"),
        NodeReadiness::Fenced => (RefusalCode::NotReady, "this VM has to synchronise again"),
        _ => (RefusalCode::NotReady, "this VM has not synchronised yet"),
    };
    QueryRefusal::new(code, RunState::NotRun, message).with_retry_after(REFUSED_RETRY)
}

fn given_up_refusal(keyed: bool) -> QueryRefusal {
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
