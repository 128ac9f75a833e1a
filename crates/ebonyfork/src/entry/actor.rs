//! The entry's actor: owns the clock and the callers' reply channels, runs what the decisions ask for.

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

/// How often the metrics of the decisions are brought up to date.
const COUNT_PERIOD: Duration = Duration::from_millis(200);
/// How often callers are looked at for having gone away.
const SWEEP_PERIOD: Duration = Duration::from_millis(10);
/// Target of the decision log.
const DECISION_TARGET: &str = "ebonyfork::decision";

type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;
type QuarantineFunction = dyn Fn(RequestFingerprint) -> bool + Send + Sync;

/// What an entry needs to know.
#[derive(Clone)]
pub struct EntrySettings {
    own: SessionId,
    zone: ZoneName,
    views: NodeViews,
    experiment: ExperimentSwitches,
    quarantine: Arc<QuarantineFunction>,
    suspicion: Arc<QuarantineFunction>,
}

impl fmt::Debug for EntrySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntrySettings")
            .field("own", &self.own)
            .field("zone", &self.zone)
            .field("experiment", &self.experiment)
            .finish_non_exhaustive()
    }
}

impl EntrySettings {
    /// Settings of the entry of one process incarnation.
    pub fn new(own: SessionId, zone: ZoneName, views: NodeViews) -> Self {
        Self {
            own,
            zone,
            views,
            experiment: ExperimentSwitches::default(),
            quarantine: Arc::new(|_fingerprint| false),
            suspicion: Arc::new(|_fingerprint| false),
        }
    }

    /// Replaces the experiment switches.
    #[must_use]
    pub fn with_experiment(mut self, experiment: ExperimentSwitches) -> Self {
        self.experiment = experiment;
        self
    }

    /// Asks `refuses` about each request before anything leaves.
    #[must_use]
    pub fn with_quarantine(
        mut self,
        refuses: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.quarantine = Arc::new(refuses);
        self
    }

    /// Asks `suspects` about each request: one that was in flight when an upstream was lost is tried at one shard before
    /// the others are asked.
    #[must_use]
    pub fn with_suspicion(
        mut self,
        suspects: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.suspicion = Arc::new(suspects);
        self
    }
}

/// The entry of this process. Cheap to clone.
#[derive(Clone)]
pub struct EntryHandle {
    address: Address<EntryActor>,
    in_flight: Arc<AtomicUsize>,
    metrics: EntryMetrics,
    quarantine: Arc<QuarantineFunction>,
    suspicion: Arc<QuarantineFunction>,
}

impl fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryHandle")
            .field("in_flight", &self.in_flight)
            .finish_non_exhaustive()
    }
}

impl EntryHandle {
    /// Starts the entry; `send` hands a message to the link of a VM without waiting.
    pub fn start(
        settings: EntrySettings,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let in_flight = Arc::new(AtomicUsize::new(0));
        let metrics = EntryMetrics::default();
        let quarantine = Arc::clone(&settings.quarantine);
        let suspicion = Arc::clone(&settings.suspicion);
        let (alarm, alarms) = watch::channel(None);
        let actor = EntryActor {
            core: EntryCore::new(settings.own, settings.zone, settings.experiment),
            views: settings.views,
            epoch: Instant::now(),
            send: Box::new(send),
            callers: FxHashMap::default(),
            in_flight: Arc::clone(&in_flight),
            metrics: metrics.clone(),
            counted: Duration::ZERO,
            swept: Duration::ZERO,
            alarm,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(ring(address.downgrade(), alarms));
        Self {
            address,
            in_flight,
            metrics,
            quarantine,
            suspicion,
        }
    }

    /// Runs one query, whole. A non-idempotent one must be handed in at most once per key.
    pub async fn run(&self, request: QueryRequest) -> QueryOutcome {
        let fingerprint = RequestFingerprint::new(&request.class, &request.selection);
        if (self.quarantine)(fingerprint) {
            let message = "the request has crashed upstreams";
            let refusal = QueryRefusal::new(RefusalCode::Quarantined, RunState::NotRun, message);
            self.metrics.refused(&request.class, &refusal);
            return Err(refusal);
        }
        let (reply, outcome) = oneshot::channel();
        let suspect = (self.suspicion)(fingerprint);
        let query = StartQuery {
            request,
            suspect,
            reply,
        };
        let accepted = self.address.send(query).detach().await;
        if accepted.is_err() {
            return Err(gone(RunState::NotRun));
        }
        // The actor took the query and ended without an answer: its attempts may have run.
        outcome
            .await
            .unwrap_or_else(|_closed| Err(gone(RunState::Unknown)))
    }

    /// Takes the verdicts that a relay reports.
    pub async fn take_outcomes(&self, from: SessionId, batch: OutcomeBatch) {
        let report = RelayReport { vm: from.vm, batch };
        // The actor lives as long as this handle; if it is gone, so are its queries.
        drop(self.address.send(report).detach().await);
    }

    /// The link to a VM broke: what is in `unsent` was not run, the rest in flight there may have.
    pub async fn link_down(&self, vm: VmAddress, unsent: VecDeque<PeerMessage>) {
        drop(self.address.send(LinkLoss { vm, unsent }).detach().await);
    }

    /// Queries in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Registers the entry's metrics.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}

fn gone(ran: RunState) -> QueryRefusal {
    QueryRefusal::new(RefusalCode::Stopping, ran, "this VM is stopping")
}

/// Wakes the actor at the time that it last asked for.
async fn ring(
    address: Address<EntryActor, xtra::refcount::Weak>,
    mut alarms: watch::Receiver<Option<Instant>>,
) {
    loop {
        let at = *alarms.borrow_and_update();
        let due = async {
            match at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {
                if address.send(AlarmRing).await.is_err() {
                    return;
                }
            }
            changed = alarms.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

struct StartQuery {
    request: QueryRequest,
    suspect: bool,
    reply: oneshot::Sender<QueryOutcome>,
}

struct RelayReport {
    vm: VmAddress,
    batch: OutcomeBatch,
}

struct LinkLoss {
    vm: VmAddress,
    unsent: VecDeque<PeerMessage>,
}

struct AlarmRing;

struct WaitingCaller {
    reply: oneshot::Sender<QueryOutcome>,
    class: crate::ident::ClassName,
    since: Duration,
}

#[derive(xtra::Actor)]
struct EntryActor {
    core: EntryCore,
    views: NodeViews,
    epoch: Instant,
    send: Box<SendFunction>,
    callers: FxHashMap<u64, WaitingCaller>,
    in_flight: Arc<AtomicUsize>,
    metrics: EntryMetrics,
    /// When the metrics were last brought up to date.
    counted: Duration,
    /// When callers were last looked at for having gone away.
    swept: Duration,
    alarm: watch::Sender<Option<Instant>>,
}

impl EntryActor {
    /// Makes the decisions ready for an event and returns the time.
    fn prepare(&mut self) -> Duration {
        let views = EntryViews {
            topology: Arc::clone(&self.views.topology.borrow()),
            config: Arc::clone(&self.views.config.borrow()),
            catalog: Arc::clone(&self.views.catalog.borrow()),
        };
        self.core.refresh(&views);
        let noting = log::log_enabled!(target: DECISION_TARGET, log::Level::Info);
        self.core.note_decisions(noting);
        self.epoch.elapsed()
    }

    /// Does what the decisions ask for, and sets the alarm.
    fn perform(&mut self, now: Duration) {
        while let Some(action) = self.core.next_action() {
            match action {
                EntryAction::Send { vm, message } => self.send_message(now, vm, message),
                EntryAction::Finish { query, outcome } => self.finish(now, query, outcome),
            }
        }
        for decision in self.core.take_decisions() {
            log::info!(target: DECISION_TARGET, "{decision}");
        }
        self.count(now);
        self.in_flight
            .store(self.core.in_flight(), Ordering::Relaxed);
        let next = self.core.next_wake().map(|at| self.epoch + at);
        self.alarm.send_if_modified(|alarm| {
            let changed = *alarm != next;
            *alarm = next;
            changed
        });
    }

    /// Brings the metrics up to date, now and then and when nothing is in flight.
    fn count(&mut self, now: Duration) {
        if now < self.counted + COUNT_PERIOD && self.core.in_flight() > 0 {
            return;
        }
        self.counted = now;
        for (class, tally) in self.core.tallies() {
            self.metrics.tally(class, tally);
        }
    }

    /// Gives up the queries whose callers have gone away.
    fn drop_abandoned(&mut self, now: Duration) {
        if now < self.swept + SWEEP_PERIOD {
            return;
        }
        self.swept = now;
        let core = &mut self.core;
        for (number, caller) in &self.callers {
            if caller.reply.is_closed() {
                core.abandon(now, *number);
            }
        }
        self.callers.retain(|_, caller| !caller.reply.is_closed());
    }

    fn send_message(&mut self, now: Duration, vm: VmAddress, message: PeerMessage) {
        let attempts = match &message {
            PeerMessage::Submit(batch) => Some((batch.query, attempts_of(batch))),
            _ => None,
        };
        let Err(error) = (self.send)(vm, message) else {
            return;
        };
        log::debug!("to {vm}: {error}");
        if let Some((query, attempts)) = attempts {
            self.core.not_sent(now, vm, query, &attempts);
        }
    }

    fn finish(&mut self, now: Duration, query: u64, outcome: QueryOutcome) {
        let Some(caller) = self.callers.remove(&query) else {
            return;
        };
        let took = now.saturating_sub(caller.since);
        self.metrics.finished(&caller.class, &outcome, took);
        // A caller that has gone away needs no answer.
        drop(caller.reply.send(outcome));
    }
}

fn attempts_of(batch: &SubmitBatch) -> SmallVec<[u32; 8]> {
    batch.targets.iter().map(|target| target.attempt).collect()
}

impl Handler<StartQuery> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: StartQuery, _ctx: &mut Context<Self>) {
        let now = self.prepare();
        let caller = WaitingCaller {
            reply: message.reply,
            class: message.request.class.clone(),
            since: now,
        };
        let number = self
            .core
            .start_suspect(now, message.request, message.suspect);
        self.callers.insert(number, caller);
        self.perform(now);
    }
}

impl Handler<RelayReport> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: RelayReport, _ctx: &mut Context<Self>) {
        let now = self.prepare();
        self.core.take_outcomes(now, message.vm, message.batch);
        self.perform(now);
    }
}

impl Handler<LinkLoss> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: LinkLoss, _ctx: &mut Context<Self>) {
        let now = self.prepare();
        self.core.link_down(now, message.vm, message.unsent);
        self.perform(now);
    }
}

impl Handler<AlarmRing> for EntryActor {
    type Return = ();

    async fn handle(&mut self, _message: AlarmRing, _ctx: &mut Context<Self>) {
        let now = self.prepare();
        self.core.wake(now);
        self.drop_abandoned(now);
        self.perform(now);
    }
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
