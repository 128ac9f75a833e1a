//! The way in: every caller's query, every peer's message about keys, the planned stop.

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
    ExecuteFunction, ExpireTick, LinkDown, OnceActor, OnceMetrics, StartHandover, SubmitQuery,
    TakeMessage,
};
use crate::once::message::OnceMessage;
use crate::once::route::session_successors;
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::views::NodeViews;
use crate::wire::{LinkError, LinkSender, PeerMessage};

/// Header that carries the key; named in refusals.
const KEY_FIELD: &str = "idempotency-key";
/// Added to a query's bound before its outcome is given up as unknown: the run's own deadline answer comes first.
const BOUND_MARGIN: Duration = Duration::from_millis(250);
/// Bound of a keyed query whose class is no longer declared.
const LOST_CLASS_BOUND: Duration = Duration::from_secs(10);
/// Longest wait for a successor's confirmation.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks at what has aged.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// What came of a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverReport {
    /// Sessions sent: the own one and those adopted.
    pub sessions: usize,
    /// Outcomes sent.
    pub outcomes: usize,
    /// Keys that still ran; the successor answers for them as unknown.
    pub abandoned: usize,
    /// Whether the successor has confirmed all of it.
    pub taken: bool,
}

impl fmt::Display for HandoverReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let taken = if self.taken {
            "confirmed"
        } else {
            "not confirmed"
        };
        write!(
            f,
            "{} sessions with {} outcomes handed over, {} runs given up, {taken}",
            self.sessions, self.outcomes, self.abandoned
        )
    }
}

/// Runs queries, those under a key at most once. Cheap to clone.
#[derive(Clone)]
pub struct OnceHandle {
    own: SessionId,
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
    /// Starts the session `own`. `execute` runs a query and says truthfully whether it ran; `send` hands a message to a
    /// VM's link.
    pub fn start(
        own: SessionId,
        views: NodeViews,
        execute: impl Fn(QueryRequest) -> BoxFuture<'static, QueryOutcome> + Send + Sync + 'static,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let execute: Arc<ExecuteFunction> = Arc::new(execute);
        let metrics = Arc::new(OnceMetrics::default());
        let actor = OnceActor::new(
            own,
            views.clone(),
            Arc::clone(&execute),
            Arc::new(send),
            Arc::clone(&metrics),
        );
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(tick(actor.downgrade()));
        Self {
            own,
            actor,
            views,
            execute,
            metrics,
        }
    }

    /// Runs a caller's query. An idempotent class passes straight through. Any other needs a key, and is run by the
    /// key's session alone, at most once. The run goes on when this future is dropped, and a resend finds its outcome.
    pub async fn run(&self, request: QueryRequest) -> QueryOutcome {
        let target = self.class_bound(&request);
        match (target, request.key) {
            (Some((true, _)), _) | (None, None) => (self.execute)(request).await,
            (Some((false, _)), None) => Err(missing_key_refusal()),
            (Some((false, bound)), Some(key)) => self.run_keyed(key, request, bound).await,
            (None, Some(key)) => self.run_keyed(key, request, LOST_CLASS_BOUND).await,
        }
    }

    /// Takes in a peer's message.
    pub async fn take_message(&self, from: LinkSender, message: OnceMessage) {
        // The actor ends with the process; a message that comes later has no receiver and needs none.
        let _ended = self.actor.send(TakeMessage { from, message }).await;
    }

    /// Takes in that the link to a VM broke. What was never sent is asked elsewhere like what was not answered, so
    /// `unsent` needs no look: that a forward was never sent does not show that an earlier send of its key did not run.
    pub async fn link_down(&self, vm: VmAddress, unsent: VecDeque<PeerMessage>) {
        drop(unsent);
        let _ended = self.actor.send(LinkDown(vm)).await;
    }

    /// Planned stop: seals the session, so that this process never runs a key again, and hands all outcomes to a
    /// successor. If it does not confirm, perhaps because it stops as well, the next VMs in rank are asked.
    pub async fn hand_over(&self, successor: VmAddress) -> HandoverReport {
        let mut report = self.try_successor(successor).await;
        let view = self.views.topology.borrow().clone();
        for next in session_successors(&view, self.own) {
            if report.taken {
                break;
            }
            if next != successor {
                log::warn!("handover: {report}; {next} is next");
                report = self.try_successor(next).await;
            }
        }
        report
    }

    async fn try_successor(&self, successor: VmAddress) -> HandoverReport {
        let (done, confirmed) = oneshot::channel();
        let sent = self.actor.send(StartHandover { successor, done }).await;
        let Ok(sent) = sent else {
            return HandoverReport {
                sessions: 0,
                outcomes: 0,
                abandoned: 0,
                taken: false,
            };
        };
        let confirmed = tokio::time::timeout(HANDOVER_TIMEOUT, confirmed).await;
        HandoverReport {
            sessions: sent.sessions,
            outcomes: sent.outcomes,
            abandoned: sent.abandoned,
            taken: matches!(confirmed, Ok(Ok(()))),
        }
    }

    /// Keys that run here now, and callers that wait for another VM.
    pub fn in_flight(&self) -> usize {
        self.metrics.in_flight.load(Ordering::Acquire)
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("once");
        let metrics = &self.metrics;
        let counters = [
            ("runs", "Keys run here", &metrics.runs),
            ("forwards", "Keys asked of another VM", &metrics.forwards),
            (
                "unknown",
                "Outcomes that can no longer be known",
                &metrics.unknown,
            ),
            ("adopted", "Sealed sessions taken over", &metrics.adopted),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("kept", "Outcomes kept", metrics.kept.clone());
        registry.register(
            "kept_bytes",
            "Bytes of outcomes kept",
            metrics.kept_bytes.clone(),
        );
    }

    fn class_bound(&self, request: &QueryRequest) -> Option<(bool, Duration)> {
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
        let patience = bound + BOUND_MARGIN;
        let (reply, outcome) = oneshot::channel();
        let submit = SubmitQuery {
            key,
            request,
            patience,
            reply,
        };
        if self.actor.send(submit).await.is_err() {
            return Err(lost_refusal());
        }
        match tokio::time::timeout(patience, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_dropped)) => Err(lost_refusal()),
            Err(_elapsed) => Err(late_refusal()),
        }
    }
}

async fn tick(actor: WeakAddress<OnceActor>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        if actor.send(ExpireTick).await.is_err() {
            return;
        }
    }
}

fn missing_key_refusal() -> QueryRefusal {
    let message = "a class that is not idempotent needs a key: <session>.<sequence>";
    QueryRefusal::new(RefusalCode::BadRequest, RunState::NotRun, message).with_field(KEY_FIELD)
}

fn lost_refusal() -> QueryRefusal {
    let message = "this process is ending; send the same key again";
    QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message)
}

fn late_refusal() -> QueryRefusal {
    let message = "no outcome in time; send the same key again to learn it";
    QueryRefusal::new(RefusalCode::Deadline, RunState::Unknown, message)
}

#[cfg(test)]
#[path = "handle_tests.rs"]
mod tests;
