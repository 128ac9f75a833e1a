//! Runs one request: its attempts at upstreams, its hedges and retries, and the decision when to answer.
//!
//! A request to a single service is treated as a query over one shard whose part is passed on unchanged, so attempts
//! are counted, repeated and abandoned in one place. Shards whose upstreams are in other zones are gathered by a VM in
//! the zone of the upstreams ([`group`]); that VM runs the same code for them and replies with merged parts.

mod attempt;
mod begin;
mod finish;
mod group;
mod hopeless;
mod retry;
mod settle;
mod straggler;
mod suspicion;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::delegate::GroupEvent;
use crate::gateway::exchange::{AnswerUse, AttemptContext, UpstreamAnswer};
use crate::gateway::ident::UpstreamService;
use crate::gateway::partial::PartialReply;
use crate::gateway::policy::gather::{GatherEnd, GatherState};
use crate::gateway::policy::latency::STRAGGLER_QUANTILE;
use crate::gateway::policy::latency::millis;
use crate::gateway::policy::shutdown::ShutdownCut;
use crate::gateway::reply::CallerReply;
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{GatherTerms, Idempotency, RouteEntry};
use crate::quarantine::QuarantineStatus;

use self::attempt::{AttemptSet, StartedAttempt};
use self::group::{PartialDelivery, ShardGroup};
use self::suspicion::{LOSS_CHECK_INTERVAL, RunSuspicion};

/// Time reserved before the deadline for sending the answer.
const FINISH_MARGIN: Duration = Duration::from_millis(15);
/// Time for which attempts that are no longer needed may continue so that their connections can be reused; a new
/// connection occupies an upstream's slot for some milliseconds. Work for a caller that has disconnected must end
/// within 500 ms.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Result of running a request.
#[derive(Debug)]
pub struct RunReport {
    /// Reply to the caller.
    pub reply: CallerReply,
    /// Outcome as it appears in logs and metrics.
    pub outcome: &'static str,
    /// Details of the outcome for the log.
    pub detail: CompactString,
    /// Time at which a gathered answer was decided; `None` for all other answers.
    pub answer_decided_at: Option<Instant>,
}

/// Upstreams that a request is for.
#[derive(Debug, Clone)]
pub enum RunTarget {
    /// One upstream of a service.
    One(UpstreamService),
    /// One upstream of each shard.
    Gather(GatherTerms),
}

impl RunTarget {
    fn service(&self, shard: usize) -> &UpstreamService {
        match self {
            Self::One(service) => service,
            Self::Gather(gather_terms) => &gather_terms.shards[shard],
        }
    }
}

/// State of a running request.
struct QueryRun {
    /// Data that all attempts of the request share.
    context: AttemptContext,
    route: Rc<RouteEntry>,
    target: RunTarget,
    request: Rc<ForwardRequest>,
    /// Parts that have arrived, and the outcome of each shard.
    state: GatherState,
    /// All attempts started so far, direct and delegated, including those that have ended.
    attempts: Vec<StartedAttempt>,
    /// Direct attempts in flight.
    in_flight: AttemptSet,
    /// Set when the request has ended; attempts that still wait for a connection are then not sent.
    is_cancelled: Rc<Cell<bool>>,
    /// Successful answer to a request to a single service.
    single_answer: Option<UpstreamAnswer>,
    /// Last answer with an error status, for requests to a single service.
    failed_answer: Option<UpstreamAnswer>,
    /// Connections that broke during the request, and the shards held back because of them.
    suspicion: RunSuspicion,
    /// Digest by which other VMs identify the route's list of shards; computed for the first group.
    shard_digest: OnceCell<u64>,
    /// Groups of shards that other VMs gather.
    groups: Vec<ShardGroup>,
    /// Receives the replies for the groups and the losses of the links to their VMs.
    event_receiver: mpsc::UnboundedReceiver<GroupEvent>,
    /// Sender that is cloned for each group.
    event_sender: mpsc::UnboundedSender<GroupEvent>,
    /// Progress of the replies to the VM for which this VM gathers the parts; `None` for a request from a caller.
    delivery: Option<PartialDelivery>,
    /// Whether the query ends early because the process is about to exit.
    is_cut: bool,
    hedge_count: usize,
    retry_count: usize,
    /// Number of repeats that the retry budget denied.
    denied_repeats: Cell<usize>,
    /// Number of shards that were postponed at the start.
    postponed_count: usize,
    /// Time after which the caller should return, if the query can't be answered.
    hopeless_return: Option<Duration>,
    /// Reason for the last denied repeat.
    last_denial: Cell<&'static str>,
    /// Time before its send deadline at which a gathered answer is decided.
    answer_margin: Duration,
}

/// Runs a request to its end. Dropping the future abandons the request.
pub async fn run_request(
    core: &Rc<GatewayCore>,
    route: &Rc<RouteEntry>,
    target: RunTarget,
    request: Rc<ForwardRequest>,
    quarantine_status: QuarantineStatus,
) -> RunReport {
    let mut run = QueryRun::new(core, route, target, request);
    tokio::select! {
        () = run.wait_for_upstreams() => run.begin(quarantine_status),
        () = core.unsent_cut() => {}
    }
    let end = run.drive().await;
    run.finish(end)
}

/// Gathers shards for another VM and passes the parts to `reply` as they arrive. Dropping the future abandons the
/// query.
pub async fn run_partial(
    core: &Rc<GatewayCore>,
    route: &Rc<RouteEntry>,
    gather_terms: GatherTerms,
    request: Rc<ForwardRequest>,
    answer_by: Instant,
    mut reply: impl FnMut(PartialReply),
) {
    let shards = gather_terms.shards.len();
    let mut run = QueryRun::new(core, route, RunTarget::Gather(gather_terms), request);
    run.state = GatherState::new(shards, 0, answer_by, run.request.finish_by).waiting_for_all();
    run.delivery = Some(PartialDelivery::new(shards));
    run.begin_partial();
    run.flush(&mut reply);
    run.drive_with(&mut reply).await;
    run.flush(&mut reply);
}

impl QueryRun {
    fn new(
        core: &Rc<GatewayCore>,
        route: &Rc<RouteEntry>,
        target: RunTarget,
        request: Rc<ForwardRequest>,
    ) -> Self {
        let (shard_count, required_count) = match &target {
            RunTarget::One(_) => (1, 1),
            RunTarget::Gather(gather_terms) => {
                (gather_terms.shards.len(), gather_terms.min_shards())
            }
        };
        let answer_margin = core.answer_lag.borrow().margin();
        let margin = request.caller_overhead + answer_margin;
        let answer_by = request.received + route.target.saturating_sub(margin);
        let finish_by = request.finish_by.checked_sub(FINISH_MARGIN);
        let finish_by = finish_by.unwrap_or(request.received);
        let context = AttemptContext {
            core: Rc::clone(core),
            latency: core.latency(route),
            idempotency: route.idempotency,
            route_priority: route.priority,
            answer_use: match &target {
                RunTarget::One(_) => AnswerUse::Forward {
                    timeout: route.timeout,
                },
                RunTarget::Gather(gather_terms) => AnswerUse::Merge {
                    max_records: gather_terms.max_records,
                },
            },
        };
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        Self {
            context,
            route: Rc::clone(route),
            target,
            request,
            state: GatherState::new(shard_count, required_count, answer_by, finish_by),
            attempts: Vec::with_capacity(shard_count + shard_count / 4),
            in_flight: FuturesUnordered::new(),
            is_cancelled: Rc::default(),
            single_answer: None,
            failed_answer: None,
            suspicion: RunSuspicion::default(),
            shard_digest: OnceCell::new(),
            groups: Vec::new(),
            event_receiver,
            event_sender,
            delivery: None,
            is_cut: false,
            hedge_count: 0,
            retry_count: 0,
            denied_repeats: Cell::default(),
            postponed_count: 0,
            hopeless_return: None,
            last_denial: Cell::new("-"),
            answer_margin,
        }
    }

    /// Returns the maximum number of upstreams on which a shard may run.
    fn max_upstreams(&self) -> usize {
        match self.route.idempotency {
            Idempotency::Idempotent if self.delivery.is_none() => self.route.attempts.max(1),
            // If this VM gathers parts for another VM, that VM may use the other upstreams itself.
            Idempotency::Idempotent | Idempotency::Once => 1,
        }
    }

    /// Processes finished attempts, group events and timers until the query ends.
    async fn drive(&mut self) -> GatherEnd {
        self.drive_with(&mut |_reply| {}).await
    }

    /// Does the work of [`Self::drive`]; passes the parts for another VM to `reply` as they arrive.
    async fn drive_with(&mut self, reply: &mut impl FnMut(PartialReply)) -> GatherEnd {
        let timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(timer);
        let mut cuts = self.context.core.shutdown_cuts();
        loop {
            let current_time = now();
            self.apply_cut(*cuts.borrow_and_update(), current_time);
            if let Some(end) = self.state.check_end(current_time) {
                return end;
            }
            self.resume_held();
            self.resume_postponed(current_time);
            self.check_stragglers(current_time);
            self.flush(reply);
            let wake_time = self.next_wake(current_time);
            timer
                .as_mut()
                .reset(tokio::time::Instant::from_std(wake_time));
            tokio::select! {
                Some(finished) = self.in_flight.next() => self.handle_ended(finished),
                Some(event) = self.event_receiver.recv() => self.handle_event(event),
                Ok(()) = cuts.changed() => {}
                () = &mut timer => self.record_timer_delay(wake_time.max(current_time)),
            }
        }
    }

    /// Ends the query now if the process is about to exit and can't complete it.
    fn apply_cut(&mut self, cut: ShutdownCut, current_time: Instant) {
        if cut == ShutdownCut::Nothing || self.delivery.is_some() {
            return;
        }
        if cut.includes(self.may_have_run()) {
            self.is_cut = true;
            self.state.shorten(current_time);
        }
    }

    fn record_timer_delay(&self, planned_time: Instant) {
        let current_time = now();
        let delay = current_time.saturating_duration_since(planned_time);
        let mut lag = self.context.core.answer_lag.borrow_mut();
        lag.record_timer_delay(delay, current_time);
    }

    /// Sends postponed shards: one for each missing shard, or all of them once the target has passed without enough
    /// parts.
    fn resume_postponed(&mut self, current_time: Instant) {
        while self.state.needs_postponed() || self.state.useful_until(current_time).is_none() {
            let Some(shard) = self.state.resume_next_postponed() else {
                return;
            };
            self.start(shard, Duration::ZERO);
        }
    }

    /// Returns the time at which [`Self::drive`] must run again if no attempt ends and no event arrives before.
    fn next_wake(&self, current_time: Instant) -> Instant {
        let mut wake_time = self.state.next_end_check(current_time);
        if self.suspicion.awaits_checks() {
            wake_time = wake_time.min(current_time + LOSS_CHECK_INTERVAL);
        }
        if self.route.idempotency == Idempotency::Once {
            // Requests that may run only once are never hedged, so stragglers aren't checked and their check times
            // don't advance. With these times each such request would busy-loop from its 90th percentile latency until
            // its answer.
            return wake_time;
        }
        for attempt in &self.attempts {
            if attempt.ended || !self.state.shards()[attempt.shard].is_open() {
                continue;
            }
            wake_time = wake_time.min(attempt.next_check);
        }
        wake_time
    }
}

impl Drop for QueryRun {
    /// Lets attempts in flight continue for a while so that their connections can be reused.
    fn drop(&mut self) {
        self.is_cancelled.set(true);
        self.end_groups();
        let current_time = now();
        for attempt in &self.attempts {
            let waited_ms = millis(current_time.saturating_duration_since(attempt.began));
            let latency = self.context.latency.borrow();
            // A late attempt probably waits in an upstream's queue or for the end of a pause; aborting it takes it out
            // of the queue.
            if waited_ms > latency.histogram(attempt.kind).quantile(STRAGGLER_QUANTILE) {
                attempt.abort_handle.abort();
            }
        }
        let mut in_flight = std::mem::take(&mut self.in_flight);
        if in_flight.is_empty() || self.context.core.state() == ServiceState::Draining {
            return;
        }
        tokio::task::spawn_local(async move {
            let all_ended = async { while in_flight.next().await.is_some() {} };
            // Attempts that take longer are aborted, which closes their connections.
            let _elapsed = tokio::time::timeout(LINGER_TIME, all_ended).await;
        });
    }
}

#[cfg(test)]
#[path = "broken_answer_tests.rs"]
mod broken_answer_tests;

#[cfg(test)]
#[path = "run_tests.rs"]
mod tests;
