//! Handle to the at-most-once actor: callers' queries, peers' messages about keys, and the handover at a planned stop.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::BoxFuture;
use prometheus_client::registry::Registry;
use tokio::sync::oneshot;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::ident::{IdempotencyKey, RunState, SessionId, VmAddress};
use crate::once::actor::{
    ExecuteFunction, ExpireTick, HandlePeerMessage, LinkDown, OnceActor, OnceMetrics,
    StartHandover, SubmitQuery,
};
use crate::once::message::OnceMessage;
use crate::once::route::session_successors;
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::views::NodeViews;
use crate::wire::{LinkError, LinkSender, PeerMessage};

/// Header that carries the idempotency key; named in refusals.
const KEY_HEADER: &str = "idempotency-key";
/// Added to a query's time limit before its outcome is reported as unknown, so that the run's own deadline refusal
/// arrives first.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// Time limit of a query with a key whose class is no longer declared.
const UNDECLARED_CLASS_BOUND: Duration = Duration::from_secs(10);
/// Longest wait for a successor to confirm a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between removals of expired outcomes and sessions.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a handover to a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverReport {
    /// Number of sessions sent: the own session and the adopted ones.
    pub sessions: usize,
    /// Number of outcomes sent.
    pub outcomes: usize,
    /// Number of keys that were still running; the successor reports their outcomes as unknown.
    pub abandoned: usize,
    /// Whether the successor has confirmed in time that all parts of all sessions arrived.
    pub taken: bool,
}

impl fmt::Display for HandoverReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let confirmation = if self.taken {
            "confirmed"
        } else {
            "not confirmed"
        };
        write!(
            f,
            "{} sessions with {} outcomes handed over, {} runs given up, {confirmation}",
            self.sessions, self.outcomes, self.abandoned
        )
    }
}

/// Runs queries; a query with an idempotency key runs at most once. Cheap to clone.
#[derive(Clone)]
pub struct OnceHandle {
    own_session: SessionId,
    actor: Address<OnceActor>,
    views: NodeViews,
    execute: Arc<ExecuteFunction>,
    metrics: Arc<OnceMetrics>,
}

impl fmt::Debug for OnceHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OnceHandle").finish_non_exhaustive()
    }
}

impl OnceHandle {
    /// Starts the actor for the session `own_session`. `execute` runs a query and must say correctly whether it ran;
    /// `send` queues a message on the link to a VM.
    pub fn start(
        own_session: SessionId,
        views: NodeViews,
        execute: impl Fn(QueryRequest) -> BoxFuture<'static, QueryOutcome> + Send + Sync + 'static,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let execute: Arc<ExecuteFunction> = Arc::new(execute);
        let metrics = Arc::new(OnceMetrics::default());
        let actor = OnceActor::new(
            own_session,
            views.clone(),
            Arc::clone(&execute),
            Arc::new(send),
            Arc::clone(&metrics),
        );
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(send_expire_ticks(actor.downgrade()));
        Self {
            own_session,
            actor,
            views,
            execute,
            metrics,
        }
    }

    /// Runs a caller's query. A query of an idempotent class is run directly. Any other query needs a key and is run at
    /// most once, by the session that the key names. The run continues if this future is dropped, and a resend gets its
    /// outcome.
    pub async fn run(&self, request: QueryRequest) -> QueryOutcome {
        let class_info = self.idempotent_and_bound(&request);
        match (class_info, request.key) {
            (Some((true, _)), _) | (None, None) => (self.execute)(request).await,
            (Some((false, _)), None) => Err(missing_key_refusal()),
            (Some((false, bound)), Some(key)) => self.run_keyed(key, request, bound).await,
            (None, Some(key)) => self.run_keyed(key, request, UNDECLARED_CLASS_BOUND).await,
        }
    }

    /// Handles a message from a peer.
    pub async fn handle_message(&self, from: LinkSender, message: OnceMessage) {
        // Sending fails only if the actor has ended with the process; the message can be dropped then.
        let _ended = self.actor.send(HandlePeerMessage { from, message }).await;
    }

    /// Handles a broken link to a VM. Unsent forwards are repeated like unanswered ones, so `unsent` is not examined: a
    /// forward that was never sent doesn't prove that an earlier send of its key did not run.
    pub async fn handle_link_down(&self, vm: VmAddress, unsent: VecDeque<PeerMessage>) {
        drop(unsent);
        let _ended = self.actor.send(LinkDown(vm)).await;
    }

    /// Seals the session at a planned stop, so that this process starts no further keys, and hands all outcomes to a
    /// successor. If the successor doesn't confirm, perhaps because it is stopping too, the next VMs in rank are tried.
    pub async fn hand_over(&self, successor: VmAddress) -> HandoverReport {
        let mut report = self.hand_over_to(successor).await;
        let view = self.views.topology.borrow().clone();
        for next_successor in session_successors(&view, self.own_session) {
            if report.taken {
                break;
            }
            if next_successor != successor {
                log::warn!("handover failed: {report}; trying {next_successor}");
                report = self.hand_over_to(next_successor).await;
            }
        }
        report
    }

    async fn hand_over_to(&self, successor: VmAddress) -> HandoverReport {
        let (on_confirmed, confirmation) = oneshot::channel();
        let sent_handover = self
            .actor
            .send(StartHandover {
                successor,
                on_confirmed,
            })
            .await;
        let Ok(sent_handover) = sent_handover else {
            return HandoverReport {
                sessions: 0,
                outcomes: 0,
                abandoned: 0,
                taken: false,
            };
        };
        let confirmation = tokio::time::timeout(HANDOVER_TIMEOUT, confirmation).await;
        HandoverReport {
            sessions: sent_handover.session_count,
            outcomes: sent_handover.outcome_count,
            abandoned: sent_handover.abandoned_runs,
            taken: matches!(confirmation, Ok(Ok(()))),
        }
    }

    /// Returns the number of keys running here and of callers that wait for another VM.
    pub fn in_flight(&self) -> usize {
        self.metrics.in_flight.load(Ordering::Acquire)
    }

    /// Registers the metrics of keyed queries.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("once");
        let metrics = &self.metrics;
        let counters = [
            ("runs", "Keys run here", &metrics.runs),
            ("forwards", "Keys asked of another VM", &metrics.forwards),
            (
                "unknown",
                "Outcomes that can no longer be known",
                &metrics.unknown_outcomes,
            ),
            (
                "adopted",
                "Sealed sessions taken over",
                &metrics.adopted_sessions,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("kept", "Outcomes kept", metrics.kept_outcomes.clone());
        registry.register(
            "kept_bytes",
            "Bytes of outcomes kept",
            metrics.kept_bytes.clone(),
        );
    }

    fn idempotent_and_bound(&self, request: &QueryRequest) -> Option<(bool, Duration)> {
        let config = self.views.config.borrow();
        let target = config.classes.get(&request.class)?;
        Some((target.idempotent, target.bound))
    }

    async fn run_keyed(
        &self,
        key: IdempotencyKey,
        request: QueryRequest,
        bound: Duration,
    ) -> QueryOutcome {
        let bound = request
            .deadline
            .map_or(bound, |deadline| deadline.min(bound));
        let timeout = bound + TIMEOUT_MARGIN;
        let (reply, outcome) = oneshot::channel();
        let message = SubmitQuery {
            key,
            request,
            timeout,
            reply,
        };
        if self.actor.send(message).await.is_err() {
            return Err(process_ending_refusal());
        }
        match tokio::time::timeout(timeout, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_dropped)) => Err(process_ending_refusal()),
            Err(_elapsed) => Err(outcome_timeout_refusal()),
        }
    }
}

async fn send_expire_ticks(actor: WeakAddress<OnceActor>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        if actor.send(ExpireTick).await.is_err() {
            return;
        }
    }
}

fn missing_key_refusal() -> QueryRefusal {
    let message = "a class that is not idempotent needs a key: <session>.<sequence>";
    QueryRefusal::new(RefusalCode::BadRequest, RunState::NotRun, message).with_field(KEY_HEADER)
}

fn process_ending_refusal() -> QueryRefusal {
    let message = "this process is ending; send the same key again";
    QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message)
}

fn outcome_timeout_refusal() -> QueryRefusal {
    let message = "no outcome in time; send the same key again to learn it";
    QueryRefusal::new(RefusalCode::Deadline, RunState::Unknown, message)
}

#[cfg(test)]
#[path = "handle_tests.rs"]
mod tests;
