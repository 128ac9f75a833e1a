//! The actor: runs the actions of [`OnceState`], writes the decision log, keeps the timers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::BoxFuture;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::ident::{IdempotencyKey, RunState, SessionId, VmAddress};
use crate::once::message::{OnceMessage, OnceOutcome, fit_frame};
use crate::once::state::{OnceAction, OnceActions, OnceContext, OnceState, WaiterId};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::topology::TopologyView;
use crate::views::{NodeReadiness, NodeViews};
use crate::wire::{LinkError, LinkSender, PeerMessage};

const DECISION: &str = "ebonyfork::decision";

/// Runs a query; always says truthfully whether it ran.
pub(super) type ExecuteFunction =
    dyn Fn(QueryRequest) -> BoxFuture<'static, QueryOutcome> + Send + Sync;
/// Hands a message to a VM's link.
pub(super) type SendFunction =
    dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

/// Counts, shared with the handle.
#[derive(Debug, Default)]
pub(super) struct OnceMetrics {
    /// Keys that run, and callers that wait for another VM.
    pub(super) in_flight: AtomicUsize,
    pub(super) runs: Counter,
    pub(super) forwards: Counter,
    pub(super) unknown: Counter,
    pub(super) adopted: Counter,
    pub(super) kept: Gauge,
    pub(super) kept_bytes: Gauge,
}

/// Whom an outcome goes to.
enum OutcomeReceiver {
    Caller(oneshot::Sender<QueryOutcome>),
    Peer { link: LinkSender, ticket: u64 },
}

/// Sessions that a successor has not yet confirmed.
struct PendingHandover {
    sessions: BTreeSet<SessionId>,
    done: Option<oneshot::Sender<()>>,
}

#[derive(xtra::Actor)]
pub(super) struct OnceActor {
    state: OnceState,
    views: NodeViews,
    execute: Arc<ExecuteFunction>,
    send: Arc<SendFunction>,
    receivers: FxHashMap<WaiterId, OutcomeReceiver>,
    next_waiter: u64,
    started: Instant,
    metrics: Arc<OnceMetrics>,
    handover: Option<PendingHandover>,
}

/// A caller's query under a key.
pub(super) struct SubmitQuery {
    pub(super) key: IdempotencyKey,
    pub(super) request: QueryRequest,
    pub(super) patience: Duration,
    pub(super) reply: oneshot::Sender<QueryOutcome>,
}

/// A peer's message.
pub(super) struct TakeMessage {
    pub(super) from: LinkSender,
    pub(super) message: OnceMessage,
}

/// The link to a VM broke.
pub(super) struct LinkDown(pub(super) VmAddress);

/// A run has ended.
struct FinishRun {
    key: IdempotencyKey,
    outcome: QueryOutcome,
}

/// Seal, and hand everything to a successor.
pub(super) struct StartHandover {
    pub(super) successor: VmAddress,
    pub(super) done: oneshot::Sender<()>,
}

/// What was sent to a successor.
pub(super) struct SentHandover {
    pub(super) sessions: usize,
    pub(super) outcomes: usize,
    pub(super) abandoned: usize,
}

/// Time to look at what has aged.
pub(super) struct ExpireTick;

impl OnceActor {
    pub(super) fn new(
        own: SessionId,
        views: NodeViews,
        execute: Arc<ExecuteFunction>,
        send: Arc<SendFunction>,
        metrics: Arc<OnceMetrics>,
    ) -> Self {
        Self {
            state: OnceState::new(own),
            views,
            execute,
            send,
            receivers: FxHashMap::default(),
            next_waiter: 0,
            started: Instant::now(),
            metrics,
            handover: None,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn add_receiver(&mut self, receiver: OutcomeReceiver) -> WaiterId {
        let waiter = WaiterId(self.next_waiter);
        self.next_waiter += 1;
        self.receivers.insert(waiter, receiver);
        waiter
    }

    fn view(&self) -> Arc<TopologyView> {
        let view = self.views.topology.borrow();
        Arc::clone(&view)
    }

    fn gate(&self) -> Option<RefusalCode> {
        match *self.views.readiness.borrow() {
            NodeReadiness::Ready | NodeReadiness::Leaving => None,
            NodeReadiness::Starting | NodeReadiness::Fenced => Some(RefusalCode::NotReady),
            NodeReadiness::Stopping => Some(RefusalCode::Stopping),
        }
    }

    /// Lets the state decide and runs what it returns.
    fn decide(
        &mut self,
        own: &WeakAddress<Self>,
        decide: impl FnOnce(&mut OnceState, &OnceContext<'_>) -> OnceActions,
    ) {
        let view = self.view();
        let context = OnceContext {
            now: self.now(),
            view: &view,
            gate: self.gate(),
        };
        let mut actions = decide(&mut self.state, &context);
        while let Some(action) = actions.pop() {
            let more = self.run_action(own, action, &context);
            actions.extend(more);
        }
        self.report();
    }

    fn run_action(
        &mut self,
        own: &WeakAddress<Self>,
        action: OnceAction,
        context: &OnceContext<'_>,
    ) -> OnceActions {
        match action {
            OnceAction::Execute(request) => self.execute(own, request),
            OnceAction::Answer { waiter, outcome } => self.answer(waiter, outcome),
            OnceAction::Send { vm, message } => return self.send_message(vm, message, context),
        }
        OnceActions::new()
    }

    fn execute(&self, own: &WeakAddress<Self>, request: QueryRequest) {
        let Some(key) = request.key else {
            return;
        };
        self.metrics.runs.inc();
        log::info!(target: DECISION, "once run key={key} class={}", request.class);
        let run = tokio::spawn((self.execute)(request));
        let own = own.clone();
        tokio::spawn(async move {
            let outcome = run.await.unwrap_or_else(|error| {
                log::error!("run of key {key}: {error}");
                let message = "the run broke off";
                Err(QueryRefusal::new(
                    RefusalCode::UpstreamFailed,
                    RunState::Unknown,
                    message,
                ))
            });
            // The actor outlives its runs unless the process is ending; then nobody waits any more.
            let _ended = own.send(FinishRun { key, outcome }).await;
        });
    }

    fn answer(&mut self, waiter: WaiterId, outcome: OnceOutcome) {
        if let OnceOutcome::Known(Err(refusal)) = &outcome
            && refusal.code == RefusalCode::OutcomeUnknown
        {
            self.metrics.unknown.inc();
        }
        match (self.receivers.remove(&waiter), outcome) {
            (Some(OutcomeReceiver::Caller(reply)), OnceOutcome::Known(outcome)) => {
                // A caller that has gone away finds its outcome when it sends the key again.
                let _gone = reply.send(outcome);
            }
            (Some(OutcomeReceiver::Peer { link, ticket }), outcome) => {
                let outcome = match outcome {
                    OnceOutcome::Known(outcome) => OnceOutcome::Known(fit_frame(outcome)),
                    OnceOutcome::NotHere => OnceOutcome::NotHere,
                };
                reply_peer(&link, OnceMessage::Outcome { ticket, outcome });
            }
            (Some(OutcomeReceiver::Caller(_)), OnceOutcome::NotHere) | (None, _) => {}
        }
    }

    fn send_message(
        &mut self,
        vm: VmAddress,
        message: OnceMessage,
        context: &OnceContext<'_>,
    ) -> OnceActions {
        let OnceMessage::Forward { ticket, request } = &message else {
            return OnceActions::new();
        };
        let ticket = *ticket;
        if let Some(key) = request.key {
            log::info!(target: DECISION, "once forward key={key} vm={vm} ticket={ticket}");
        }
        self.metrics.forwards.inc();
        match (self.send)(vm, PeerMessage::Once(message)) {
            Ok(()) => OnceActions::new(),
            Err(error) => {
                log::debug!("forward to {vm}: {error}");
                self.state.send_failed(ticket, context)
            }
        }
    }

    fn report(&self) {
        let in_flight = self.state.running() + self.state.waiting();
        self.metrics.in_flight.store(in_flight, Ordering::Release);
        let table = self.state.table();
        self.metrics.kept.set(table.kept() as i64);
        self.metrics.kept_bytes.set(table.kept_bytes() as i64);
    }

    fn take_confirmation(&mut self, session: SessionId) {
        let Some(pending) = &mut self.handover else {
            return;
        };
        pending.sessions.remove(&session);
        if pending.sessions.is_empty()
            && let Some(done) = pending.done.take()
        {
            // Whoever asked may have given up waiting.
            let _gone = done.send(());
        }
    }
}

fn reply_peer(link: &LinkSender, message: OnceMessage) {
    if let Err(error) = link.send(PeerMessage::Once(message)) {
        log::debug!("reply to {:?}: {error}", link.peer());
    }
}

impl Handler<SubmitQuery> for OnceActor {
    type Return = ();

    async fn handle(&mut self, message: SubmitQuery, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        let waiter = self.add_receiver(OutcomeReceiver::Caller(message.reply));
        let until = self.now() + message.patience;
        self.decide(&own, |state, context| {
            state.submit(waiter, message.key, message.request, until, context)
        });
    }
}

impl Handler<TakeMessage> for OnceActor {
    type Return = ();

    async fn handle(&mut self, message: TakeMessage, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        let TakeMessage { from, message } = message;
        match message {
            OnceMessage::Forward { ticket, request } => {
                let receiver = OutcomeReceiver::Peer { link: from, ticket };
                let waiter = self.add_receiver(receiver);
                self.decide(&own, |state, context| {
                    state.take_forward(waiter, request, context)
                });
            }
            OnceMessage::Outcome { ticket, outcome } => {
                self.decide(&own, |state, context| {
                    state.take_outcome(ticket, outcome, context)
                });
            }
            // A process that has handed over takes nothing any more: what it took now would end with it.
            OnceMessage::Handover(_) if self.handover.is_some() => {}
            OnceMessage::Handover(part) => {
                let session = part.session;
                let now = self.now();
                if self.state.take_part(part, now) {
                    self.metrics.adopted.inc();
                    log::info!(target: DECISION, "once adopt session={session}");
                    reply_peer(&from, OnceMessage::HandoverTaken { session });
                }
            }
            OnceMessage::HandoverTaken { session } => self.take_confirmation(session),
        }
    }
}

impl Handler<LinkDown> for OnceActor {
    type Return = ();

    async fn handle(&mut self, LinkDown(vm): LinkDown, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        self.decide(&own, |state, context| state.link_down(vm, context));
    }
}

impl Handler<FinishRun> for OnceActor {
    type Return = ();

    async fn handle(&mut self, message: FinishRun, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        let FinishRun { key, outcome } = message;
        self.decide(&own, |state, context| {
            state.finish(key.sequence, outcome, context.now)
        });
    }
}

impl Handler<StartHandover> for OnceActor {
    type Return = SentHandover;

    async fn handle(&mut self, message: StartHandover, _: &mut Context<Self>) -> SentHandover {
        let parts = self.state.seal();
        let mut sessions = BTreeSet::new();
        let mut outcomes = 0;
        for part in parts {
            sessions.insert(part.session);
            outcomes += part.outcomes.len();
            let part = PeerMessage::Once(OnceMessage::Handover(part));
            if let Err(error) = (self.send)(message.successor, part) {
                log::warn!("handover to {}: {error}", message.successor);
            }
        }
        let sent = SentHandover {
            sessions: sessions.len(),
            outcomes,
            abandoned: self.state.running(),
        };
        self.handover = Some(PendingHandover {
            sessions,
            done: Some(message.done),
        });
        sent
    }
}

impl Handler<ExpireTick> for OnceActor {
    type Return = ();

    async fn handle(&mut self, _: ExpireTick, _: &mut Context<Self>) {
        let now = self.now();
        self.state.expire(now);
        self.receivers.retain(|_waiter, receiver| match receiver {
            OutcomeReceiver::Caller(reply) => !reply.is_closed(),
            OutcomeReceiver::Peer { link, .. } => !link.is_closed(),
        });
        self.report();
    }
}
