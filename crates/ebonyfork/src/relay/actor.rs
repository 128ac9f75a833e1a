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
use crate::quarantine::QuarantineStatus;
use crate::relay::action::{RelayAction, WorkSuspicion};
use crate::relay::answer::shard_request;
use crate::relay::canceller::{CANCEL_QUEUE_LIMIT, run_canceller};
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

/// Interval of the time-based work: expired attempts, idle connections and losses are checked while there are any.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// An attempt whose verdict has not been returned to its entry yet.
#[derive(Debug, Clone)]
pub(super) struct PendingAttempt {
    /// The link to the entry that submitted the attempt.
    pub(super) link: LinkSender,
    /// The session of that entry.
    pub(super) session: SessionId,
    pub(super) batch: Arc<SubmitBatch>,
    pub(super) target: ShardTarget,
    pub(super) submitted_at: Instant,
    /// When the attempt was last handed to a connection, or `None` if it never was.
    pub(super) sent_at: Option<Instant>,
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
        self.submitted_at + Duration::from_micros(self.batch.remaining_us)
    }
}

/// The relay's actor.
#[derive(xtra::Actor)]
pub(super) struct RelayActor {
    settings: RelaySettings,
    state: RelayState,
    started_at: Instant,
    /// The attempts whose verdict is outstanding.
    pending_attempts: SecondaryMap<WorkId, Option<PendingAttempt>>,
    /// Senders of the jobs of each connection. Dropping a sender closes its connection.
    connections: SecondaryMap<ConnectionId, Option<mpsc::Sender<ConnectionJob>>>,
    /// Queues of the tasks that send cancellations, by upstream.
    cancellers: FxHashMap<UpstreamAddress, mpsc::Sender<AttemptId>>,
    /// Buffer for the actions being executed; empty between events and kept for its allocation.
    actions: Vec<RelayAction>,
    /// Whether a [`Tick`] is scheduled and was not handled yet.
    is_tick_scheduled: bool,
    /// Number of attempts without an outcome, shared with the handle.
    outstanding_attempt_count: Arc<AtomicUsize>,
    metrics: RelayMetrics,
}

/// Submits a batch of attempts.
pub(super) struct Submit {
    pub(super) link: LinkSender,
    pub(super) batch: SubmitBatch,
}

/// Cancels attempts that are no longer wanted.
pub(super) struct Cancel {
    pub(super) session: SessionId,
    pub(super) batch: CancelBatch,
}

/// Reports an event on a connection.
pub(super) struct ConnectionReport {
    pub(super) connection: ConnectionId,
    pub(super) event: ConnectionEvent,
}

/// Makes the relay do its time-based work, such as refusing expired attempts.
pub(super) struct Tick;

/// Notifies the actor that a view has changed.
pub(super) struct ViewsChanged;

/// Requests the loads of the upstreams that the relay has used.
pub(super) struct LoadsRequest;

impl RelayActor {
    pub(super) fn new(
        settings: RelaySettings,
        outstanding_attempt_count: Arc<AtomicUsize>,
        metrics: RelayMetrics,
    ) -> Self {
        Self {
            state: RelayState::new(settings.vm, settings.experiment),
            settings,
            started_at: Instant::now(),
            pending_attempts: SecondaryMap::new(),
            connections: SecondaryMap::new(),
            cancellers: FxHashMap::default(),
            actions: Vec::new(),
            is_tick_scheduled: false,
            outstanding_attempt_count,
            metrics,
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn submit_batch(&mut self, link: LinkSender, batch: SubmitBatch, address: &WeakAddress<Self>) {
        let refusal_reason = self.refusal_reason(&link, &batch);
        let session = match (link.peer(), refusal_reason) {
            (Some(session), None) => session,
            (_, reason) => {
                let reason = reason.unwrap_or(RefusalReason::NotReady);
                self.refuse_batch(&link, &batch, reason);
                return;
            }
        };
        let topology = Arc::clone(&self.settings.views.topology.borrow());
        let config = Arc::clone(&self.settings.views.config.borrow());
        let organisation = self.state.intern_organisation(&batch.organisation);
        let class = self.state.intern_class(&batch.class, &config);
        let batch = Arc::new(batch);
        let submitted_at = Instant::now();
        let views = ViewPair {
            topology: &topology,
            config: &config,
        };
        for target in &batch.targets {
            let pending_attempt = PendingAttempt {
                link: link.clone(),
                session,
                batch: Arc::clone(&batch),
                target: target.clone(),
                submitted_at,
                sent_at: None,
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
                deadline: pending_attempt.deadline().duration_since(self.started_at),
                fingerprint: batch.fingerprint,
                suspicion: self.suspicion(&batch, target),
            };
            self.submit_attempt(views, &request, pending_attempt, address);
        }
    }

    fn submit_attempt(
        &mut self,
        views: ViewPair<'_>,
        request: &WorkRequest,
        pending_attempt: PendingAttempt,
        address: &WeakAddress<Self>,
    ) {
        let now = self.now();
        let Some(work) = self.state.submit(now, views, request) else {
            return;
        };
        self.pending_attempts[work] = Some(pending_attempt);
        self.outstanding_attempt_count
            .fetch_add(1, Ordering::Relaxed);
        self.run_actions(address);
    }

    /// Returns why a whole batch has to be refused, if there is a reason.
    fn refusal_reason(&self, link: &LinkSender, batch: &SubmitBatch) -> Option<RefusalReason> {
        if link.peer().is_none() || !self.settings.views.readiness.borrow().accepts_work() {
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
        match (self.settings.quarantine_status)(batch.fingerprint) {
            QuarantineStatus::Clear => WorkSuspicion::Clear,
            QuarantineStatus::Suspect | QuarantineStatus::Quarantined => WorkSuspicion::Suspect,
        }
    }

    fn refuse_batch(&self, link: &LinkSender, batch: &SubmitBatch, reason: RefusalReason) {
        let mut outcome_batch = OutcomeBatch::default();
        for target in &batch.targets {
            let verdict = ShardVerdict::NotRun(reason);
            decision::log_refusal(self.settings.vm, link.peer(), batch, target, reason);
            self.metrics.count_verdict(&batch.class, &verdict);
            outcome_batch.outcomes.push(ShardOutcome {
                query: batch.query,
                attempt: target.attempt,
                upstream: target.upstream,
                verdict,
                waited_us: 0,
                served_us: 0,
            });
        }
        send_outcomes(link, outcome_batch);
    }

    /// Executes the issued actions, and then the further actions that these issue, until none are left.
    fn run_actions(&mut self, address: &WeakAddress<Self>) {
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            self.state.take_actions(&mut actions);
            let is_done = actions.is_empty();
            for action in actions.drain(..) {
                self.run_action(action, address);
            }
            self.actions = actions;
            if is_done {
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
            } => self.open_connection(upstream, connection, address),
            RelayAction::Close { connection } => self.connections[connection] = None,
            RelayAction::Send {
                connection, work, ..
            } => self.send_attempt(connection, work),
            RelayAction::CancelSent { upstream, work } => self.cancel_sent_attempt(upstream, work),
            RelayAction::Finish { work, verdict } => self.finish_attempt(work, verdict),
            RelayAction::ReportLoss(loss) => (self.settings.report_loss)(loss),
            RelayAction::ReportAnswer {
                fingerprint,
                time_in_flight,
            } => (self.settings.report_answer)(fingerprint, time_in_flight),
            RelayAction::ReportLeaving(upstream) => (self.settings.report_leaving)(upstream),
        }
    }

    fn open_connection(
        &mut self,
        upstream: UpstreamId,
        connection: ConnectionId,
        address: &WeakAddress<Self>,
    ) {
        let (sender, jobs) = mpsc::channel(1);
        self.connections[connection] = Some(sender);
        self.metrics.count_opened_connection();
        let route = self.route_to(upstream);
        let address = address.clone();
        tokio::spawn(run_connection(route, jobs, async move |event| {
            let report = ConnectionReport { connection, event };
            // If the relay has ended, no one waits for the event.
            let _send_result = address.send(report).detach().await;
        }));
    }

    fn send_attempt(&mut self, connection: ConnectionId, work: WorkId) {
        let now = self.now();
        let Some(pending_attempt) = self.pending_attempts[work].as_mut() else {
            return;
        };
        if pending_attempt.link.is_closed() {
            self.state
                .refuse_unsent_work(now, work, RefusalReason::LinkDown);
            return;
        }
        if (self.settings.refuses)(pending_attempt.batch.fingerprint) {
            self.state
                .refuse_unsent_work(now, work, RefusalReason::Quarantined);
            return;
        }
        let quarantine_status =
            (self.settings.quarantine_status)(pending_attempt.batch.fingerprint);
        if quarantine_status == QuarantineStatus::Suspect && !self.state.is_suspect(work) {
            self.state.isolate(now, work);
            return;
        }
        let deadline = pending_attempt.deadline();
        let remaining_time = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::max(1, remaining_time.as_millis() as u64);
        let attempt = pending_attempt.attempt();
        let request = shard_request(
            &pending_attempt.batch,
            &pending_attempt.target,
            attempt,
            remaining_ms,
        );
        let Some(request) = request else {
            self.state
                .refuse_unsent_work(now, work, RefusalReason::NotReady);
            return;
        };
        let job = ConnectionJob {
            work,
            request,
            deadline,
        };
        let sender = self.connections[connection].as_ref();
        if sender.is_none_or(|sender| sender.try_send(job).is_err()) {
            self.state.requeue_unsent_work(now, work);
            return;
        }
        pending_attempt.sent_at = Some(Instant::now());
        decision::log_dispatch(self.settings.vm, pending_attempt);
    }

    fn route_to(&self, upstream: UpstreamId) -> UpstreamRoute {
        UpstreamRoute {
            vm: self.settings.vm,
            upstream: self.state.address(upstream),
        }
    }

    fn cancel_sent_attempt(&mut self, upstream: UpstreamId, work: WorkId) {
        let Some(pending_attempt) = &self.pending_attempts[work] else {
            return;
        };
        if !self.state.may_cancel(upstream) {
            return;
        }
        let route = self.route_to(upstream);
        let canceller = self.cancellers.entry(route.upstream);
        let canceller = canceller.or_insert_with(|| spawn_canceller(route));
        // Best effort: an attempt that can't be cancelled ends at its deadline.
        let _send_result = canceller.try_send(pending_attempt.attempt());
    }

    fn finish_attempt(&mut self, work: WorkId, verdict: ShardVerdict) {
        let Some(pending_attempt) = self.pending_attempts[work].take() else {
            return;
        };
        self.outstanding_attempt_count
            .fetch_sub(1, Ordering::Relaxed);
        self.metrics
            .count_verdict(&pending_attempt.batch.class, &verdict);
        decision::log_verdict(self.settings.vm, &pending_attempt, &verdict);
        let finished_at = Instant::now();
        let sent_at = pending_attempt.sent_at.unwrap_or(finished_at);
        let (wait_time, service_time) = (
            sent_at - pending_attempt.submitted_at,
            finished_at - sent_at,
        );
        if matches!(verdict, ShardVerdict::Rows { .. }) {
            self.metrics
                .observe_times(&pending_attempt.batch.class, wait_time, service_time);
        }
        let outcome = ShardOutcome {
            query: pending_attempt.batch.query,
            attempt: pending_attempt.target.attempt,
            upstream: pending_attempt.target.upstream,
            verdict,
            waited_us: saturating_micros(wait_time),
            served_us: saturating_micros(service_time),
        };
        let mut batch = OutcomeBatch::default();
        batch.outcomes.push(outcome);
        let load = self.state.load(self.now(), pending_attempt.target.upstream);
        batch.loads.extend(load);
        send_outcomes(&pending_attempt.link, batch);
    }

    /// Schedules the next [`Tick`] if none is scheduled and there is time-based work.
    fn schedule_tick(&mut self, address: &WeakAddress<Self>) {
        if self.is_tick_scheduled || !self.state.needs_tick() {
            return;
        }
        self.is_tick_scheduled = true;
        let address = address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(TICK_INTERVAL).await;
            let _send_result = address.send(Tick).detach().await;
        });
    }
}

fn spawn_canceller(route: UpstreamRoute) -> mpsc::Sender<AttemptId> {
    let (sender, attempts) = mpsc::channel(CANCEL_QUEUE_LIMIT);
    tokio::spawn(run_canceller(route, attempts));
    sender
}

/// Sends outcomes to the entry. If the link to the entry is gone, the entry already counts the attempts as lost with
/// the link.
fn send_outcomes(link: &LinkSender, outcomes: OutcomeBatch) {
    if let Err(error) = link.send(PeerMessage::Outcomes(outcomes)) {
        log::debug!("outcomes dropped: {error}");
    }
}

fn saturating_micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

impl Handler<Submit> for RelayActor {
    type Return = ();

    async fn handle(&mut self, message: Submit, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.submit_batch(message.link, message.batch, &address);
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

impl Handler<ConnectionReport> for RelayActor {
    type Return = ();

    async fn handle(&mut self, message: ConnectionReport, ctx: &mut Context<Self>) {
        let now = self.now();
        self.state
            .handle_connection_event(now, message.connection, message.event);
        self.run_actions(&ctx.mailbox().address());
    }
}

impl Handler<Tick> for RelayActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, ctx: &mut Context<Self>) {
        self.is_tick_scheduled = false;
        self.state.tick(self.now());
        self.metrics
            .set_waiting_and_in_flight_counts(self.state.waiting_and_in_flight_counts());
        self.metrics
            .set_connection_count(self.state.connection_count());
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
        let listed_upstreams = &topology.upstreams;
        self.cancellers
            .retain(|address, _| listed_upstreams.contains_key(address));
        self.run_actions(&ctx.mailbox().address());
    }
}

impl Handler<LoadsRequest> for RelayActor {
    type Return = Vec<UpstreamLoad>;

    async fn handle(
        &mut self,
        _loads: LoadsRequest,
        _ctx: &mut Context<Self>,
    ) -> Vec<UpstreamLoad> {
        self.state.loads(self.now())
    }
}
