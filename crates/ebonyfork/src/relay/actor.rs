//! The actor that drives a relay's decision state: it owns the connections and timers, executes the actions and logs
//! them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cranelift_entity::SecondaryMap;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::Instant;
use xtra::{Context, Handler, WeakAddress};

use crate::ident::{AttemptId, QueryId, SessionId, UpstreamAddress};
use crate::quarantine::RequestStanding;
use crate::relay::action::{RelayAction, WorkSuspicion};
use crate::relay::answer::shard_request;
use crate::relay::canceller::{CANCEL_QUEUE, run_canceller};
use crate::relay::connection::{ConnectionJob, UpstreamRoute, run_connection};
use crate::relay::decision;
use crate::relay::ids::{ConnectionId, UpstreamId, WorkId};
use crate::relay::message::{
    AttemptPurpose, CancelBatch, OutcomeBatch, RefusalReason, ShardOutcome, ShardTarget,
    ShardVerdict, SubmitBatch, UpstreamLoad,
};
use crate::relay::metrics::RelayMetrics;
use crate::relay::settings::RelaySettings;
use crate::relay::state::{AttemptKey, ConnectionEvent, RelayState, ViewPair, WorkRequest};
use crate::wire::{LinkSender, PeerMessage};

/// Interval at which expired attempts and idle connections are checked while there are any.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The data of an attempt that is kept until its verdict is returned.
#[derive(Debug, Clone)]
pub(super) struct PendingAttempt {
    pub(super) from: LinkSender,
    pub(super) session: SessionId,
    pub(super) batch: Arc<SubmitBatch>,
    pub(super) target: ShardTarget,
    pub(super) submitted: Instant,
    pub(super) sent: Option<Instant>,
}

impl PendingAttempt {
    pub(super) fn attempt(&self) -> AttemptId {
        AttemptId {
            query: QueryId {
                session: self.session,
                number: self.batch.query,
            },
            number: self.target.attempt,
        }
    }

    fn deadline(&self) -> Instant {
        self.submitted + Duration::from_micros(self.batch.remaining_us)
    }
}

/// The relay's actor.
#[derive(xtra::Actor)]
pub(super) struct RelayActor {
    settings: RelaySettings,
    state: RelayState,
    started: Instant,
    pending: SecondaryMap<WorkId, Option<PendingAttempt>>,
    /// Senders of the jobs of each connection. Dropping a sender closes its connection.
    connections: SecondaryMap<ConnectionId, Option<mpsc::Sender<ConnectionJob>>>,
    /// Queues of the tasks that send cancellations, by upstream.
    cancellers: FxHashMap<UpstreamAddress, mpsc::Sender<AttemptId>>,
    /// Buffer that is empty between events and kept for its allocation.
    actions: Vec<RelayAction>,
    /// Whether a [`Tick`] is scheduled.
    ticking: bool,
    /// Number of attempts without an outcome, shared with the handle.
    outstanding: Arc<AtomicUsize>,
    metrics: RelayMetrics,
}

/// Submits a batch of attempts.
pub(super) struct Submit {
    pub(super) from: LinkSender,
    pub(super) batch: SubmitBatch,
}

/// Cancels attempts that are no longer wanted.
pub(super) struct Cancel {
    pub(super) session: SessionId,
    pub(super) batch: CancelBatch,
}

/// Reports an event on a connection.
pub(super) struct Report {
    pub(super) connection: ConnectionId,
    pub(super) event: ConnectionEvent,
}

/// Runs the time-based work.
pub(super) struct Tick;

/// Tells the actor that a view has changed.
pub(super) struct ViewsChanged;

/// Requests the loads of all upstreams.
pub(super) struct Loads;

impl RelayActor {
    pub(super) fn new(
        settings: RelaySettings,
        outstanding: Arc<AtomicUsize>,
        metrics: RelayMetrics,
    ) -> Self {
        Self {
            state: RelayState::new(settings.vm, settings.experiment),
            settings,
            started: Instant::now(),
            pending: SecondaryMap::new(),
            connections: SecondaryMap::new(),
            cancellers: FxHashMap::default(),
            actions: Vec::new(),
            ticking: false,
            outstanding,
            metrics,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn submit_batch(&mut self, from: LinkSender, batch: SubmitBatch, address: &WeakAddress<Self>) {
        let refusal = self.refusal(&from, &batch);
        let session = match (from.peer(), refusal) {
            (Some(session), None) => session,
            (_, reason) => {
                let reason = reason.unwrap_or(RefusalReason::NotReady);
                self.refuse_batch(&from, &batch, reason);
                return;
            }
        };
        let topology = Arc::clone(&self.settings.views.topology.borrow());
        let config = Arc::clone(&self.settings.views.config.borrow());
        let organisation = self.state.organisation(&batch.organisation);
        let class = self.state.class(&batch.class, &config);
        let batch = Arc::new(batch);
        let submitted = Instant::now();
        let views = ViewPair {
            topology: &topology,
            config: &config,
        };
        for target in &batch.targets {
            let pending = PendingAttempt {
                from: from.clone(),
                session,
                batch: Arc::clone(&batch),
                target: target.clone(),
                submitted,
                sent: None,
            };
            let request = WorkRequest {
                key: AttemptKey {
                    session,
                    query: batch.query,
                    attempt: target.attempt,
                },
                upstream: target.upstream,
                organisation,
                class,
                deadline: pending.deadline().duration_since(self.started),
                fingerprint: batch.fingerprint,
                suspicion: self.suspicion(&batch, target),
            };
            self.submit_one(views, &request, pending, address);
        }
    }

    fn submit_one(
        &mut self,
        views: ViewPair<'_>,
        request: &WorkRequest,
        pending: PendingAttempt,
        address: &WeakAddress<Self>,
    ) {
        let now = self.now();
        let Some(work) = self.state.submit(now, views, request) else {
            return;
        };
        self.pending[work] = Some(pending);
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        self.run_actions(address);
    }

    /// Returns why a whole batch has to be refused, if there is a reason.
    fn refusal(&self, from: &LinkSender, batch: &SubmitBatch) -> Option<RefusalReason> {
        if from.peer().is_none() || !self.settings.views.readiness.borrow().takes_work() {
            return Some(RefusalReason::NotReady);
        }
        if (self.settings.refuses)(batch.fingerprint) {
            return Some(RefusalReason::Quarantined);
        }
        None
    }

    fn suspicion(&self, batch: &SubmitBatch, target: &ShardTarget) -> WorkSuspicion {
        if target.purpose == AttemptPurpose::AfterLoss {
            return WorkSuspicion::AfterLoss;
        }
        match (self.settings.standing)(batch.fingerprint) {
            RequestStanding::Clear => WorkSuspicion::Clear,
            RequestStanding::Suspect | RequestStanding::Quarantined => WorkSuspicion::Suspect,
        }
    }

    fn refuse_batch(&self, from: &LinkSender, batch: &SubmitBatch, reason: RefusalReason) {
        let mut outcomes = OutcomeBatch::default();
        for target in &batch.targets {
            let verdict = ShardVerdict::NotRun(reason);
            decision::log_refusal(self.settings.vm, from.peer(), batch, target, reason);
            self.metrics.count(&batch.class, &verdict);
            outcomes.outcomes.push(ShardOutcome {
                query: batch.query,
                attempt: target.attempt,
                upstream: target.upstream,
                verdict,
                waited_us: 0,
                served_us: 0,
            });
        }
        send_outcomes(from, outcomes);
    }

    /// Executes actions until there are none left: some issue further ones.
    fn run_actions(&mut self, address: &WeakAddress<Self>) {
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            self.state.take_actions(&mut actions);
            let done = actions.is_empty();
            for action in actions.drain(..) {
                self.run_action(action, address);
            }
            self.actions = actions;
            if done {
                break;
            }
        }
        self.schedule_tick(address);
    }

    fn run_action(&mut self, action: RelayAction, address: &WeakAddress<Self>) {
        match action {
            RelayAction::Open {
                upstream,
                connection,
            } => self.open(upstream, connection, address),
            RelayAction::Close { connection } => self.connections[connection] = None,
            RelayAction::Send {
                connection, work, ..
            } => self.send(connection, work),
            RelayAction::CancelSent { upstream, work } => self.cancel_sent(upstream, work),
            RelayAction::Finish { work, verdict } => self.finish(work, verdict),
            RelayAction::ReportLoss(loss) => (self.settings.report_loss)(loss),
            RelayAction::ReportAnswer {
                fingerprint,
                flight,
            } => (self.settings.report_answer)(fingerprint, flight),
            RelayAction::ReportLeaving(upstream) => (self.settings.report_leaving)(upstream),
        }
    }

    fn open(
        &mut self,
        upstream: UpstreamId,
        connection: ConnectionId,
        address: &WeakAddress<Self>,
    ) {
        let (sender, jobs) = mpsc::channel(1);
        self.connections[connection] = Some(sender);
        self.metrics.opened();
        let route = self.route(upstream);
        let address = address.clone();
        tokio::spawn(run_connection(route, jobs, async move |event| {
            let report = Report { connection, event };
            // If the relay has ended, no one waits for the event.
            let _delivered = address.send(report).detach().await;
        }));
    }

    fn send(&mut self, connection: ConnectionId, work: WorkId) {
        let now = self.now();
        let Some(pending) = self.pending[work].as_mut() else {
            return;
        };
        if pending.from.is_closed() {
            self.state.refuse_unsent(now, work, RefusalReason::LinkDown);
            return;
        }
        if (self.settings.refuses)(pending.batch.fingerprint) {
            self.state
                .refuse_unsent(now, work, RefusalReason::Quarantined);
            return;
        }
        let standing = (self.settings.standing)(pending.batch.fingerprint);
        if standing == RequestStanding::Suspect && !self.state.is_suspect(work) {
            self.state.isolate(now, work);
            return;
        }
        let deadline = pending.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::max(1, remaining.as_millis() as u64);
        let attempt = pending.attempt();
        let request = shard_request(&pending.batch, &pending.target, attempt, remaining_ms);
        let Some(request) = request else {
            self.state.refuse_unsent(now, work, RefusalReason::NotReady);
            return;
        };
        let job = ConnectionJob {
            work,
            request,
            deadline,
        };
        let sender = self.connections[connection].as_ref();
        if sender.is_none_or(|sender| sender.try_send(job).is_err()) {
            self.state.unsent(now, work);
            return;
        }
        pending.sent = Some(Instant::now());
        decision::log_dispatch(self.settings.vm, pending);
    }

    fn route(&self, upstream: UpstreamId) -> UpstreamRoute {
        UpstreamRoute {
            from: self.settings.vm,
            to: self.state.address(upstream),
        }
    }

    fn cancel_sent(&mut self, upstream: UpstreamId, work: WorkId) {
        let Some(pending) = &self.pending[work] else {
            return;
        };
        if !self.state.may_cancel(upstream) {
            return;
        }
        let route = self.route(upstream);
        let canceller = self.cancellers.entry(route.to);
        let canceller = canceller.or_insert_with(|| spawn_canceller(route));
        // Best effort: an attempt that can't be cancelled ends at its deadline.
        let _queued = canceller.try_send(pending.attempt());
    }

    fn finish(&mut self, work: WorkId, verdict: ShardVerdict) {
        let Some(pending) = self.pending[work].take() else {
            return;
        };
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
        self.metrics.count(&pending.batch.class, &verdict);
        decision::log_verdict(self.settings.vm, &pending, &verdict);
        let finished = Instant::now();
        let sent = pending.sent.unwrap_or(finished);
        let (waited, served) = (sent - pending.submitted, finished - sent);
        if matches!(verdict, ShardVerdict::Rows { .. }) {
            self.metrics.observe(&pending.batch.class, waited, served);
        }
        let outcome = ShardOutcome {
            query: pending.batch.query,
            attempt: pending.target.attempt,
            upstream: pending.target.upstream,
            verdict,
            waited_us: micros(waited),
            served_us: micros(served),
        };
        let mut batch = OutcomeBatch::default();
        batch.outcomes.push(outcome);
        let load = self.state.load(self.now(), pending.target.upstream);
        batch.loads.extend(load);
        send_outcomes(&pending.from, batch);
    }

    /// Schedules the next [`Tick`] if none is scheduled and there is time-based work.
    fn schedule_tick(&mut self, address: &WeakAddress<Self>) {
        if self.ticking || !self.state.needs_tick() {
            return;
        }
        self.ticking = true;
        let address = address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(TICK_INTERVAL).await;
            let _delivered = address.send(Tick).detach().await;
        });
    }
}

fn spawn_canceller(route: UpstreamRoute) -> mpsc::Sender<AttemptId> {
    let (sender, attempts) = mpsc::channel(CANCEL_QUEUE);
    tokio::spawn(run_canceller(route, attempts));
    sender
}

/// Returns outcomes to the entry. If its link is gone, the entry already counts the attempts as lost with the link.
fn send_outcomes(link: &LinkSender, outcomes: OutcomeBatch) {
    if let Err(error) = link.send(PeerMessage::Outcomes(outcomes)) {
        log::debug!("outcomes dropped: {error}");
    }
}

fn micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

impl Handler<Submit> for RelayActor {
    type Return = ();

    async fn handle(&mut self, message: Submit, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.submit_batch(message.from, message.batch, &address);
    }
}

impl Handler<Cancel> for RelayActor {
    type Return = ();

    async fn handle(&mut self, message: Cancel, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        for attempt in message.batch.attempts {
            let key = AttemptKey {
                session: message.session,
                query: message.batch.query,
                attempt,
            };
            self.state.cancel(self.now(), key);
            self.run_actions(&address);
        }
    }
}

impl Handler<Report> for RelayActor {
    type Return = ();

    async fn handle(&mut self, message: Report, ctx: &mut Context<Self>) {
        let now = self.now();
        self.state
            .connection_event(now, message.connection, message.event);
        self.run_actions(&ctx.mailbox().address());
    }
}

impl Handler<Tick> for RelayActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, ctx: &mut Context<Self>) {
        self.ticking = false;
        self.state.tick(self.now());
        self.metrics.set_occupancy(self.state.occupancy());
        self.metrics.set_connections(self.state.connections());
        self.run_actions(&ctx.mailbox().address());
    }
}

impl Handler<ViewsChanged> for RelayActor {
    type Return = ();

    async fn handle(&mut self, _changed: ViewsChanged, ctx: &mut Context<Self>) {
        let topology = Arc::clone(&self.settings.views.topology.borrow());
        let config = Arc::clone(&self.settings.views.config.borrow());
        let views = ViewPair {
            topology: &topology,
            config: &config,
        };
        self.state.apply_views(self.now(), views);
        let listed = &topology.upstreams;
        self.cancellers
            .retain(|address, _| listed.contains_key(address));
        self.run_actions(&ctx.mailbox().address());
    }
}

impl Handler<Loads> for RelayActor {
    type Return = Vec<UpstreamLoad>;

    async fn handle(&mut self, _loads: Loads, _ctx: &mut Context<Self>) -> Vec<UpstreamLoad> {
        self.state.loads(self.now())
    }
}
