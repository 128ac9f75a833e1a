//! Actor around [`EntryCore`]: owns the clock and the callers' reply channels, and performs the actions that the core
//! requests.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use prometheus_client::registry::Registry;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use xtra::prelude::*;

use super::core::{EntryAction, EntryCore, EntryViews};
use super::metrics::EntryMetrics;
use crate::ident::{RequestFingerprint, RunState, SessionId, VmAddress, ZoneName};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::relay::{OutcomeBatch, SubmitBatch};
use crate::settings::ExperimentSwitches;
use crate::views::NodeViews;
use crate::wire::{LinkError, PeerMessage};

/// Interval between updates of the decision metrics.
const METRICS_PERIOD: Duration = Duration::from_millis(200);
/// Shortest interval between checks for callers that have disconnected.
const CALLER_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Log target of the decision log.
const DECISION_TARGET: &str = "ebonyfork::decision";

type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;
type FingerprintPredicate = dyn Fn(RequestFingerprint) -> bool + Send + Sync;

/// Settings of an entry, the views that it reads, and the callbacks that connect it to the quarantine.
#[derive(Clone)]
pub struct EntrySettings {
    session: SessionId,
    zone: ZoneName,
    views: NodeViews,
    experiment: ExperimentSwitches,
    is_quarantined: Arc<FingerprintPredicate>,
    is_suspect: Arc<FingerprintPredicate>,
}

impl fmt::Debug for EntrySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntrySettings")
            .field("own", &self.session)
            .field("zone", &self.zone)
            .field("experiment", &self.experiment)
            .finish_non_exhaustive()
    }
}

impl EntrySettings {
    /// Creates the settings of the entry in process incarnation `session`, with default switches and without
    /// quarantine.
    pub fn new(session: SessionId, zone: ZoneName, views: NodeViews) -> Self {
        Self {
            session,
            zone,
            views,
            experiment: ExperimentSwitches::default(),
            is_quarantined: Arc::new(|_fingerprint| false),
            is_suspect: Arc::new(|_fingerprint| false),
        }
    }

    /// Replaces the experiment switches.
    #[must_use]
    pub fn with_experiment(mut self, experiment: ExperimentSwitches) -> Self {
        self.experiment = experiment;
        self
    }

    /// Sets the quarantine check. A request for which `is_quarantined` returns true is refused before anything is sent.
    #[must_use]
    pub fn with_quarantine(
        mut self,
        is_quarantined: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.is_quarantined = Arc::new(is_quarantined);
        self
    }

    /// Sets the suspicion check. A request for which `is_suspect` returns true was in flight when an upstream was lost;
    /// it is sent to a single shard before the others.
    #[must_use]
    pub fn with_suspicion(
        mut self,
        is_suspect: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.is_suspect = Arc::new(is_suspect);
        self
    }
}

/// Handle to the entry of this process. Cheap to clone.
#[derive(Clone)]
pub struct EntryHandle {
    address: Address<EntryActor>,
    queries_in_flight: Arc<AtomicUsize>,
    metrics: EntryMetrics,
    is_quarantined: Arc<FingerprintPredicate>,
    is_suspect: Arc<FingerprintPredicate>,
}

impl fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryHandle")
            .field("in_flight", &self.queries_in_flight)
            .finish_non_exhaustive()
    }
}

impl EntryHandle {
    /// Starts the entry. `send` passes a message to the link of a VM without blocking.
    pub fn start(
        settings: EntrySettings,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let queries_in_flight = Arc::new(AtomicUsize::new(0));
        let metrics = EntryMetrics::default();
        let is_quarantined = Arc::clone(&settings.is_quarantined);
        let is_suspect = Arc::clone(&settings.is_suspect);
        let (timer, timer_updates) = watch::channel(None);
        let actor = EntryActor {
            core: EntryCore::new(settings.session, settings.zone, settings.experiment),
            views: settings.views,
            epoch: Instant::now(),
            send: Box::new(send),
            callers: FxHashMap::default(),
            queries_in_flight: Arc::clone(&queries_in_flight),
            metrics: metrics.clone(),
            metrics_updated_at: Duration::ZERO,
            callers_checked_at: Duration::ZERO,
            timer,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(run_timer(address.downgrade(), timer_updates));
        Self {
            address,
            queries_in_flight,
            metrics,
            is_quarantined,
            is_suspect,
        }
    }

    /// Runs one query to completion. A non-idempotent query must be passed in at most once per idempotency key.
    pub async fn run(&self, request: QueryRequest) -> QueryOutcome {
        let fingerprint = RequestFingerprint::new(&request.class, &request.selection);
        if (self.is_quarantined)(fingerprint) {
            let message = "the request has crashed upstreams";
            let refusal = QueryRefusal::new(RefusalCode::Quarantined, RunState::NotRun, message);
            self.metrics.record_refusal(&request.class, &refusal);
            return Err(refusal);
        }
        let (reply, outcome_receiver) = oneshot::channel();
        let is_suspect = (self.is_suspect)(fingerprint);
        let start_query = StartQuery {
            request,
            is_suspect,
            reply,
        };
        let send_result = self.address.send(start_query).detach().await;
        if send_result.is_err() {
            return Err(stopping_refusal(RunState::NotRun));
        }
        // The actor accepted the query and ended without answering it, so its attempts may have run.
        outcome_receiver
            .await
            .unwrap_or_else(|_closed| Err(stopping_refusal(RunState::Unknown)))
    }

    /// Passes the outcomes reported by the relay in process incarnation `relay_session` to the actor.
    pub async fn handle_outcomes(&self, relay_session: SessionId, batch: OutcomeBatch) {
        let report = RelayReport {
            vm: relay_session.vm,
            batch,
        };
        // The actor lives as long as this handle; if it has ended, so have its queries.
        drop(self.address.send(report).detach().await);
    }

    /// Reports that the link to a VM broke: the messages in `unsent_messages` were not transmitted, other attempts
    /// sent over the link may have run.
    pub async fn handle_link_down(&self, vm: VmAddress, unsent_messages: VecDeque<PeerMessage>) {
        drop(
            self.address
                .send(LinkDown {
                    vm,
                    unsent_messages,
                })
                .detach()
                .await,
        );
    }

    /// Returns the number of queries in flight.
    pub fn queries_in_flight(&self) -> usize {
        self.queries_in_flight.load(Ordering::Relaxed)
    }

    /// Registers the entry's metrics.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}

fn stopping_refusal(run_state: RunState) -> QueryRefusal {
    QueryRefusal::new(RefusalCode::Stopping, run_state, "this VM is stopping")
}

/// Sends [`TimerFired`] to the actor at the time most recently published in `timer_updates`.
async fn run_timer(
    address: Address<EntryActor, xtra::refcount::Weak>,
    mut timer_updates: watch::Receiver<Option<Instant>>,
) {
    loop {
        let wake_at = *timer_updates.borrow_and_update();
        let timer_future = async {
            match wake_at {
                Some(wake_at) => tokio::time::sleep_until(wake_at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = timer_future => {
                if address.send(TimerFired).await.is_err() {
                    return;
                }
            }
            change_result = timer_updates.changed() => {
                if change_result.is_err() {
                    return;
                }
            }
        }
    }
}

/// Asks the actor to run a query and to send its outcome to `reply`.
struct StartQuery {
    request: QueryRequest,
    is_suspect: bool,
    reply: oneshot::Sender<QueryOutcome>,
}

/// Passes the outcomes reported by the relay on `vm` to the actor.
struct RelayReport {
    vm: VmAddress,
    batch: OutcomeBatch,
}

/// Tells the actor that the link to `vm` broke, with the messages that were not transmitted.
struct LinkDown {
    vm: VmAddress,
    unsent_messages: VecDeque<PeerMessage>,
}

/// Tells the actor that its timer is due.
struct TimerFired;

/// What is needed to answer a caller whose query is in flight.
struct WaitingCaller {
    reply: oneshot::Sender<QueryOutcome>,
    class: crate::ident::ClassName,
    started_at: Duration,
}

#[derive(xtra::Actor)]
struct EntryActor {
    core: EntryCore,
    views: NodeViews,
    /// Start of the core's clock: times are passed to the core as durations since then.
    epoch: Instant,
    send: Box<SendFunction>,
    /// Callers of the queries in flight, by query number.
    callers: FxHashMap<u64, WaitingCaller>,
    queries_in_flight: Arc<AtomicUsize>,
    metrics: EntryMetrics,
    /// When the decision metrics were last updated.
    metrics_updated_at: Duration,
    /// When callers were last checked for disconnects.
    callers_checked_at: Duration,
    /// Passes the timer task the time at which the actor must be woken next; `None` if it need not be woken.
    timer: watch::Sender<Option<Instant>>,
}

impl EntryActor {
    /// Refreshes the core's views and settings before an event, and returns the current time.
    fn begin_event(&mut self) -> Duration {
        let views = EntryViews {
            topology: Arc::clone(&self.views.topology.borrow()),
            config: Arc::clone(&self.views.config.borrow()),
            catalog: Arc::clone(&self.views.catalog.borrow()),
        };
        self.core.refresh(&views);
        let is_logging_enabled = log::log_enabled!(target: DECISION_TARGET, log::Level::Info);
        self.core.set_decision_logging(is_logging_enabled);
        self.epoch.elapsed()
    }

    /// Performs the requested actions and sets the timer.
    fn run_actions(&mut self, now: Duration) {
        while let Some(action) = self.core.next_action() {
            match action {
                EntryAction::Send { vm, message } => self.send_message(now, vm, message),
                EntryAction::Finish { query, outcome } => self.send_outcome(now, query, outcome),
            }
        }
        for decision in self.core.take_decisions() {
            log::info!(target: DECISION_TARGET, "{decision}");
        }
        self.update_metrics(now);
        self.queries_in_flight
            .store(self.core.queries_in_flight(), Ordering::Relaxed);
        let next_wake = self.core.next_wake().map(|wake_at| self.epoch + wake_at);
        self.timer.send_if_modified(|timer| {
            let is_changed = *timer != next_wake;
            *timer = next_wake;
            is_changed
        });
    }

    /// Updates the decision metrics every [`METRICS_PERIOD`], and whenever no query is in flight.
    fn update_metrics(&mut self, now: Duration) {
        if now < self.metrics_updated_at + METRICS_PERIOD && self.core.queries_in_flight() > 0 {
            return;
        }
        self.metrics_updated_at = now;
        for (class, counts) in self.core.decision_counts() {
            self.metrics.update_decision_counts(class, counts);
        }
    }

    /// Abandons the queries whose callers have disconnected.
    fn abandon_closed_queries(&mut self, now: Duration) {
        if now < self.callers_checked_at + CALLER_CHECK_PERIOD {
            return;
        }
        self.callers_checked_at = now;
        let core = &mut self.core;
        for (query_number, caller) in &self.callers {
            if caller.reply.is_closed() {
                core.abandon_query(now, *query_number);
            }
        }
        self.callers.retain(|_, caller| !caller.reply.is_closed());
    }

    /// Passes a message to the link of a VM; attempts that the link does not accept are reported to the core.
    fn send_message(&mut self, now: Duration, vm: VmAddress, message: PeerMessage) {
        let attempts = match &message {
            PeerMessage::Submit(batch) => Some((batch.query, attempt_numbers(batch))),
            _ => None,
        };
        let Err(error) = (self.send)(vm, message) else {
            return;
        };
        log::debug!("sending to {vm} failed: {error}");
        if let Some((query, attempts)) = attempts {
            self.core.handle_unsent_attempts(now, vm, query, &attempts);
        }
    }

    /// Sends the outcome of a query to its caller and records it in the metrics.
    fn send_outcome(&mut self, now: Duration, query: u64, outcome: QueryOutcome) {
        let Some(caller) = self.callers.remove(&query) else {
            return;
        };
        let duration = now.saturating_sub(caller.started_at);
        self.metrics
            .record_outcome(&caller.class, &outcome, duration);
        // A caller that has disconnected needs no answer.
        drop(caller.reply.send(outcome));
    }
}

/// Returns the numbers of the attempts in a batch.
fn attempt_numbers(batch: &SubmitBatch) -> SmallVec<[u32; 8]> {
    batch.targets.iter().map(|target| target.attempt).collect()
}

impl Handler<StartQuery> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: StartQuery, _ctx: &mut Context<Self>) {
        let now = self.begin_event();
        let caller = WaitingCaller {
            reply: message.reply,
            class: message.request.class.clone(),
            started_at: now,
        };
        let query_number = self
            .core
            .start_with_suspicion(now, message.request, message.is_suspect);
        self.callers.insert(query_number, caller);
        self.run_actions(now);
    }
}

impl Handler<RelayReport> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: RelayReport, _ctx: &mut Context<Self>) {
        let now = self.begin_event();
        self.core.handle_outcomes(now, message.vm, message.batch);
        self.run_actions(now);
    }
}

impl Handler<LinkDown> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: LinkDown, _ctx: &mut Context<Self>) {
        let now = self.begin_event();
        self.core
            .handle_link_down(now, message.vm, message.unsent_messages);
        self.run_actions(now);
    }
}

impl Handler<TimerFired> for EntryActor {
    type Return = ();

    async fn handle(&mut self, _message: TimerFired, _ctx: &mut Context<Self>) {
        let now = self.begin_event();
        self.core.run_due_timers(now);
        self.abandon_closed_queries(now);
        self.run_actions(now);
    }
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
