//! Actor that performs the actions of [`OnceState`], writes the decision log and updates the metrics.

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
use crate::once::message::{OnceMessage, OnceOutcome, replace_oversized};
use crate::once::state::{NodeConditions, OnceAction, OnceActions, OnceState, WaiterId};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::topology::TopologyView;
use crate::views::{NodeReadiness, NodeViews};
use crate::wire::{LinkError, LinkSender, PeerMessage};

/// Log target of the decision log.
const DECISION_LOG: &str = "ebonyfork::decision";

/// Runs a query; the outcome must say correctly whether it ran.
pub(super) type ExecuteFunction =
    dyn Fn(QueryRequest) -> BoxFuture<'static, QueryOutcome> + Send + Sync;
/// Queues a message on the link to a VM.
pub(super) type SendFunction =
    dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

/// Metrics of the actor, shared with [`OnceHandle`](crate::once::OnceHandle).
#[derive(Debug, Default)]
pub(super) struct OnceMetrics {
    /// Number of running queries and of callers that wait for another VM.
    pub(super) in_flight: AtomicUsize,
    pub(super) runs: Counter,
    pub(super) forwards: Counter,
    pub(super) unknown_outcomes: Counter,
    pub(super) adopted_sessions: Counter,
    pub(super) kept_outcomes: Gauge,
    pub(super) kept_bytes: Gauge,
}

/// Where the outcome of a query goes: to the caller, or to the peer that forwarded the query.
enum OutcomeReceiver {
    Caller(oneshot::Sender<QueryOutcome>),
    Peer { link: LinkSender, forward_id: u64 },
}

/// A handover that the successor has not yet confirmed in full.
struct PendingHandover {
    unconfirmed_sessions: BTreeSet<SessionId>,
    on_confirmed: Option<oneshot::Sender<()>>,
}

#[derive(xtra::Actor)]
pub(super) struct OnceActor {
    state: OnceState,
    views: NodeViews,
    execute: Arc<ExecuteFunction>,
    send_to_vm: Arc<SendFunction>,
    receivers: FxHashMap<WaiterId, OutcomeReceiver>,
    next_waiter: u64,
    started_at: Instant,
    metrics: Arc<OnceMetrics>,
    pending_handover: Option<PendingHandover>,
}

/// Message to the actor: submit a caller's query with an idempotency key.
pub(super) struct SubmitQuery {
    pub(super) key: IdempotencyKey,
    pub(super) request: QueryRequest,
    pub(super) timeout: Duration,
    pub(super) reply: oneshot::Sender<QueryOutcome>,
}

/// Message to the actor: handle a message from a peer.
pub(super) struct HandlePeerMessage {
    pub(super) from: LinkSender,
    pub(super) message: OnceMessage,
}

/// Message to the actor: the link to a VM broke.
pub(super) struct LinkDown(pub(super) VmAddress);

/// Message to the actor: the run of a query has ended.
struct FinishRun {
    key: IdempotencyKey,
    outcome: QueryOutcome,
}

/// Message to the actor: seal the own session and send all outcomes to a successor.
pub(super) struct StartHandover {
    pub(super) successor: VmAddress,
    pub(super) on_confirmed: oneshot::Sender<()>,
}

/// Numbers of sessions and outcomes sent to a successor, and of runs that had not ended by then.
pub(super) struct SentHandover {
    pub(super) session_count: usize,
    pub(super) outcome_count: usize,
    pub(super) abandoned_runs: usize,
}

/// Message to the actor: remove expired outcomes, sessions and receivers.
pub(super) struct ExpireTick;

impl OnceActor {
    pub(super) fn new(
        own_session: SessionId,
        views: NodeViews,
        execute: Arc<ExecuteFunction>,
        send_to_vm: Arc<SendFunction>,
        metrics: Arc<OnceMetrics>,
    ) -> Self {
        Self {
            state: OnceState::new(own_session),
            views,
            execute,
            send_to_vm,
            receivers: FxHashMap::default(),
            next_waiter: 0,
            started_at: Instant::now(),
            metrics,
            pending_handover: None,
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn add_receiver(&mut self, receiver: OutcomeReceiver) -> WaiterId {
        let waiter = WaiterId(self.next_waiter);
        self.next_waiter += 1;
        self.receivers.insert(waiter, receiver);
        waiter
    }

    fn topology(&self) -> Arc<TopologyView> {
        let view = self.views.topology.borrow();
        Arc::clone(&view)
    }

    fn new_work_refusal(&self) -> Option<RefusalCode> {
        match *self.views.readiness.borrow() {
            NodeReadiness::Ready | NodeReadiness::Leaving => None,
            NodeReadiness::Starting | NodeReadiness::Fenced => Some(RefusalCode::NotReady),
            NodeReadiness::Stopping => Some(RefusalCode::Stopping),
        }
    }

    /// Applies `decide` to the state and performs the actions it returns.
    fn apply_to_state(
        &mut self,
        own_address: &WeakAddress<Self>,
        decide: impl FnOnce(&mut OnceState, &NodeConditions<'_>) -> OnceActions,
    ) {
        let view = self.topology();
        let conditions = NodeConditions {
            now: self.now(),
            view: &view,
            new_work_refusal: self.new_work_refusal(),
        };
        let mut actions = decide(&mut self.state, &conditions);
        while let Some(action) = actions.pop() {
            let follow_ups = self.run_action(own_address, action, &conditions);
            actions.extend(follow_ups);
        }
        self.update_metrics();
    }

    fn run_action(
        &mut self,
        own_address: &WeakAddress<Self>,
        action: OnceAction,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        match action {
            OnceAction::Execute(request) => self.execute(own_address, request),
            OnceAction::Answer { waiter, outcome } => self.answer(waiter, outcome),
            OnceAction::Send { vm, message } => return self.send_message(vm, message, conditions),
        }
        OnceActions::new()
    }

    fn execute(&self, own_address: &WeakAddress<Self>, request: QueryRequest) {
        let Some(key) = request.key else {
            return;
        };
        self.metrics.runs.inc();
        log::info!(target: DECISION_LOG, "once run key={key} class={}", request.class);
        let run_task = tokio::spawn((self.execute)(request));
        let own_address = own_address.clone();
        tokio::spawn(async move {
            let outcome = run_task.await.unwrap_or_else(|error| {
                log::error!("run of key {key} failed: {error}");
                let message = "the run broke off";
                Err(QueryRefusal::new(
                    RefusalCode::UpstreamFailed,
                    RunState::Unknown,
                    message,
                ))
            });
            // Sending fails only if the actor has ended with the process; then no receiver waits.
            let _ended = own_address.send(FinishRun { key, outcome }).await;
        });
    }

    fn answer(&mut self, waiter: WaiterId, outcome: OnceOutcome) {
        if let OnceOutcome::Known(Err(refusal)) = &outcome
            && refusal.code == RefusalCode::OutcomeUnknown
        {
            self.metrics.unknown_outcomes.inc();
        }
        match (self.receivers.remove(&waiter), outcome) {
            (Some(OutcomeReceiver::Caller(reply)), OnceOutcome::Known(outcome)) => {
                // A caller that no longer waits gets the outcome when it sends the key again.
                let _gone = reply.send(outcome);
            }
            (Some(OutcomeReceiver::Peer { link, forward_id }), outcome) => {
                let outcome = match outcome {
                    OnceOutcome::Known(outcome) => OnceOutcome::Known(replace_oversized(outcome)),
                    OnceOutcome::NotHeld => OnceOutcome::NotHeld,
                };
                reply_peer(
                    &link,
                    OnceMessage::Outcome {
                        forward_id,
                        outcome,
                    },
                );
            }
            (Some(OutcomeReceiver::Caller(_)), OnceOutcome::NotHeld) | (None, _) => {}
        }
    }

    fn send_message(
        &mut self,
        vm: VmAddress,
        message: OnceMessage,
        conditions: &NodeConditions<'_>,
    ) -> OnceActions {
        let OnceMessage::Forward {
            forward_id,
            request,
        } = &message
        else {
            return OnceActions::new();
        };
        let forward_id = *forward_id;
        if let Some(key) = request.key {
            log::info!(target: DECISION_LOG, "once forward key={key} vm={vm} ticket={forward_id}");
        }
        self.metrics.forwards.inc();
        match (self.send_to_vm)(vm, PeerMessage::Once(message)) {
            Ok(()) => OnceActions::new(),
            Err(error) => {
                log::debug!("could not forward to {vm}: {error}");
                self.state.handle_send_failure(forward_id, conditions)
            }
        }
    }

    fn update_metrics(&self) {
        let in_flight = self.state.running_count() + self.state.waiting_count();
        self.metrics.in_flight.store(in_flight, Ordering::Release);
        let table = self.state.table();
        self.metrics.kept_outcomes.set(table.kept_count() as i64);
        self.metrics.kept_bytes.set(table.kept_bytes() as i64);
    }

    fn record_confirmation(&mut self, session: SessionId) {
        let Some(pending_handover) = &mut self.pending_handover else {
            return;
        };
        pending_handover.unconfirmed_sessions.remove(&session);
        if pending_handover.unconfirmed_sessions.is_empty()
            && let Some(on_confirmed) = pending_handover.on_confirmed.take()
        {
            // The requester may have timed out.
            let _gone = on_confirmed.send(());
        }
    }
}

fn reply_peer(link: &LinkSender, message: OnceMessage) {
    if let Err(error) = link.send(PeerMessage::Once(message)) {
        log::debug!("could not reply to {:?}: {error}", link.peer());
    }
}

impl Handler<SubmitQuery> for OnceActor {
    type Return = ();

    async fn handle(&mut self, message: SubmitQuery, ctx: &mut Context<Self>) {
        let own_address = ctx.mailbox().address();
        let waiter = self.add_receiver(OutcomeReceiver::Caller(message.reply));
        let expires_at = self.now() + message.timeout;
        self.apply_to_state(&own_address, |state, conditions| {
            state.submit(waiter, message.key, message.request, expires_at, conditions)
        });
    }
}

impl Handler<HandlePeerMessage> for OnceActor {
    type Return = ();

    async fn handle(&mut self, message: HandlePeerMessage, ctx: &mut Context<Self>) {
        let own_address = ctx.mailbox().address();
        let HandlePeerMessage { from, message } = message;
        match message {
            OnceMessage::Forward {
                forward_id,
                request,
            } => {
                let receiver = OutcomeReceiver::Peer {
                    link: from,
                    forward_id,
                };
                let waiter = self.add_receiver(receiver);
                self.apply_to_state(&own_address, |state, conditions| {
                    state.handle_forward(waiter, request, conditions)
                });
            }
            OnceMessage::Outcome {
                forward_id,
                outcome,
            } => {
                self.apply_to_state(&own_address, |state, conditions| {
                    state.handle_outcome(forward_id, outcome, conditions)
                });
            }
            // A process that has handed over must not adopt further sessions: they would be lost when it ends.
            OnceMessage::Handover(_) if self.pending_handover.is_some() => {}
            OnceMessage::Handover(part) => {
                let session = part.session;
                let now = self.now();
                if self.state.add_part(part, now) {
                    self.metrics.adopted_sessions.inc();
                    log::info!(target: DECISION_LOG, "once adopt session={session}");
                    reply_peer(&from, OnceMessage::HandoverConfirmed { session });
                }
            }
            OnceMessage::HandoverConfirmed { session } => self.record_confirmation(session),
        }
    }
}

impl Handler<LinkDown> for OnceActor {
    type Return = ();

    async fn handle(&mut self, LinkDown(vm): LinkDown, ctx: &mut Context<Self>) {
        let own_address = ctx.mailbox().address();
        self.apply_to_state(&own_address, |state, conditions| {
            state.handle_link_down(vm, conditions)
        });
    }
}

impl Handler<FinishRun> for OnceActor {
    type Return = ();

    async fn handle(&mut self, message: FinishRun, ctx: &mut Context<Self>) {
        let own_address = ctx.mailbox().address();
        let FinishRun { key, outcome } = message;
        self.apply_to_state(&own_address, |state, conditions| {
            state.finish(key.sequence, outcome, conditions.now)
        });
    }
}

impl Handler<StartHandover> for OnceActor {
    type Return = SentHandover;

    async fn handle(&mut self, message: StartHandover, _: &mut Context<Self>) -> SentHandover {
        let parts = self.state.seal();
        let mut sessions = BTreeSet::new();
        let mut outcome_count = 0;
        for part in parts {
            sessions.insert(part.session);
            outcome_count += part.outcomes.len();
            let part = PeerMessage::Once(OnceMessage::Handover(part));
            if let Err(error) = (self.send_to_vm)(message.successor, part) {
                log::warn!(
                    "could not send a handover part to {}: {error}",
                    message.successor
                );
            }
        }
        let sent_handover = SentHandover {
            session_count: sessions.len(),
            outcome_count,
            abandoned_runs: self.state.running_count(),
        };
        self.pending_handover = Some(PendingHandover {
            unconfirmed_sessions: sessions,
            on_confirmed: Some(message.on_confirmed),
        });
        sent_handover
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
        self.update_metrics();
    }
}
