//! The actor beside the relay's decisions: it owns connections and timers, runs the actions and logs them.

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

/// How often expiry and idle connections are looked at while there are any.
const TICK: Duration = Duration::from_millis(10);

/// What is kept of an attempt until its verdict is handed back.
#[derive(Debug, Clone)]
pub(super) struct WorkTicket {
    pub(super) from: LinkSender,
    pub(super) session: SessionId,
    pub(super) batch: Arc<SubmitBatch>,
    pub(super) target: ShardTarget,
    pub(super) submitted: Instant,
    pub(super) sent: Option<Instant>,
}

impl WorkTicket {
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
    tickets: SecondaryMap<WorkId, Option<WorkTicket>>,
    connections: SecondaryMap<ConnectionId, Option<mpsc::Sender<ConnectionJob>>>,
    cancellers: FxHashMap<UpstreamAddress, mpsc::Sender<AttemptId>>,
    /// Emptied after each event; kept for its allocation.
    actions: Vec<RelayAction>,
    ticking: bool,
    held: Arc<AtomicUsize>,
    metrics: RelayMetrics,
}

/// Attempts to run.
pub(super) struct Submit {
    pub(super) from: LinkSender,
    pub(super) batch: SubmitBatch,
}

/// Attempts no longer wanted.
pub(super) struct Cancel {
    pub(super) session: SessionId,
    pub(super) batch: CancelBatch,
}

/// What a connection reports.
pub(super) struct Report {
    pub(super) connection: ConnectionId,
    pub(super) event: ConnectionEvent,
}

/// Time has passed.
pub(super) struct Tick;

/// A view has changed.
pub(super) struct ViewsChanged;

/// Asks for the loads of all upstreams.
pub(super) struct Loads;

impl RelayActor {
    pub(super) fn new(
        settings: RelaySettings,
        held: Arc<AtomicUsize>,
        metrics: RelayMetrics,
    ) -> Self {
        Self {
            state: RelayState::new(settings.vm, settings.experiment),
            settings,
            started: Instant::now(),
            tickets: SecondaryMap::new(),
            connections: SecondaryMap::new(),
            cancellers: FxHashMap::default(),
            actions: Vec::new(),
            ticking: false,
            held,
            metrics,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn submit_batch(&mut self, from: LinkSender, batch: SubmitBatch, own: &WeakAddress<Self>) {
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
            let ticket = WorkTicket {
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
                deadline: ticket.deadline().duration_since(self.started),
                fingerprint: batch.fingerprint,
                suspicion: self.suspicion(&batch, target),
            };
            self.submit_one(views, &request, ticket, own);
        }
    }

    fn submit_one(
        &mut self,
        views: ViewPair<'_>,
        request: &WorkRequest,
        ticket: WorkTicket,
        own: &WeakAddress<Self>,
    ) {
        let now = self.now();
        let Some(work) = self.state.submit(now, views, request) else {
            return;
        };
        self.tickets[work] = Some(ticket);
        self.held.fetch_add(1, Ordering::Relaxed);
        self.run_actions(own);
    }

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
        send_back(from, outcomes);
    }

    /// Runs actions until none is left: some lead to further ones.
    fn run_actions(&mut self, own: &WeakAddress<Self>) {
        loop {
            let mut actions = std::mem::take(&mut self.actions);
            self.state.take_actions(&mut actions);
            let done = actions.is_empty();
            for action in actions.drain(..) {
                self.run_action(action, own);
            }
            self.actions = actions;
            if done {
                break;
            }
        }
        self.keep_ticking(own);
    }

    fn run_action(&mut self, action: RelayAction, own: &WeakAddress<Self>) {
        match action {
            RelayAction::Open {
                upstream,
                connection,
            } => self.open(upstream, connection, own),
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
            RelayAction::NoteLeaving(upstream) => (self.settings.note_leaving)(upstream),
        }
    }

    fn open(&mut self, upstream: UpstreamId, connection: ConnectionId, own: &WeakAddress<Self>) {
        let (sender, jobs) = mpsc::channel(1);
        self.connections[connection] = Some(sender);
        self.metrics.opened();
        let route = self.route(upstream);
        let own = own.clone();
        tokio::spawn(run_connection(route, jobs, async move |event| {
            let report = Report { connection, event };
            // The relay may be gone: then nobody waits for the event.
            let _delivered = own.send(report).detach().await;
        }));
    }

    fn send(&mut self, connection: ConnectionId, work: WorkId) {
        let now = self.now();
        let Some(ticket) = self.tickets[work].as_mut() else {
            return;
        };
        if ticket.from.is_closed() {
            self.state.withhold(now, work, RefusalReason::LinkDown);
            return;
        }
        if (self.settings.refuses)(ticket.batch.fingerprint) {
            self.state.withhold(now, work, RefusalReason::Quarantined);
            return;
        }
        let standing = (self.settings.standing)(ticket.batch.fingerprint);
        if standing == RequestStanding::Suspect && !self.state.is_suspect(work) {
            self.state.isolate(now, work);
            return;
        }
        let deadline = ticket.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::max(1, remaining.as_millis() as u64);
        let attempt = ticket.attempt();
        let request = shard_request(&ticket.batch, &ticket.target, attempt, remaining_ms);
        let Some(request) = request else {
            self.state.withhold(now, work, RefusalReason::NotReady);
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
        ticket.sent = Some(Instant::now());
        decision::log_dispatch(self.settings.vm, ticket);
    }

    fn route(&self, upstream: UpstreamId) -> UpstreamRoute {
        UpstreamRoute {
            from: self.settings.vm,
            to: self.state.address(upstream),
        }
    }

    fn cancel_sent(&mut self, upstream: UpstreamId, work: WorkId) {
        let Some(ticket) = &self.tickets[work] else {
            return;
        };
        if !self.state.may_cancel(upstream) {
            return;
        }
        let route = self.route(upstream);
        let canceller = self.cancellers.entry(route.to);
        let canceller = canceller.or_insert_with(|| spawn_canceller(route));
        // Best effort: the deadline ends what can't be cancelled.
        let _queued = canceller.try_send(ticket.attempt());
    }

    fn finish(&mut self, work: WorkId, verdict: ShardVerdict) {
        let Some(ticket) = self.tickets[work].take() else {
            return;
        };
        self.held.fetch_sub(1, Ordering::Relaxed);
        self.metrics.count(&ticket.batch.class, &verdict);
        decision::log_verdict(self.settings.vm, &ticket, &verdict);
        let finished = Instant::now();
        let sent = ticket.sent.unwrap_or(finished);
        let (waited, served) = (sent - ticket.submitted, finished - sent);
        if matches!(verdict, ShardVerdict::Rows { .. }) {
            self.metrics.observe(&ticket.batch.class, waited, served);
        }
        let outcome = ShardOutcome {
            query: ticket.batch.query,
            attempt: ticket.target.attempt,
            upstream: ticket.target.upstream,
            verdict,
            waited_us: micros(waited),
            served_us: micros(served),
        };
        let mut batch = OutcomeBatch::default();
        batch.outcomes.push(outcome);
        let load = self.state.load(self.now(), ticket.target.upstream);
        batch.loads.extend(load);
        send_back(&ticket.from, batch);
    }

    fn keep_ticking(&mut self, own: &WeakAddress<Self>) {
        if self.ticking || !self.state.needs_tick() {
            return;
        }
        self.ticking = true;
        let own = own.clone();
        tokio::spawn(async move {
            tokio::time::sleep(TICK).await;
            let _delivered = own.send(Tick).detach().await;
        });
    }
}

fn spawn_canceller(route: UpstreamRoute) -> mpsc::Sender<AttemptId> {
    let (sender, attempts) = mpsc::channel(CANCEL_QUEUE);
    tokio::spawn(run_canceller(route, attempts));
    sender
}

/// Hands outcomes to the entry. If its link is gone it already counts the attempts as lost with the link.
fn send_back(link: &LinkSender, outcomes: OutcomeBatch) {
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
        let own = ctx.mailbox().address();
        self.submit_batch(message.from, message.batch, &own);
    }
}

impl Handler<Cancel> for RelayActor {
    type Return = ();

    async fn handle(&mut self, message: Cancel, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        for attempt in message.batch.attempts {
            let key = AttemptKey {
                session: message.session,
                query: message.batch.query,
                attempt,
            };
            self.state.cancel(self.now(), key);
            self.run_actions(&own);
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
