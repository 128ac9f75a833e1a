//! Runs one request: its attempts at upstreams, hedges, retries, and the moment of its answer.
//!
//! A request to one service is a query over one shard whose part is passed on as it is; so there is one place where
//! attempts are counted, repeated and given up. Shards whose upstreams are elsewhere are gathered by a VM beside them
//! ([`group`]); that VM runs the same code for them and replies with merged parts.

mod attempt;
mod begin;
mod finish;
mod group;
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
use crate::gateway::exchange::{AttemptContext, UpstreamAnswer};
use crate::gateway::ident::UpstreamService;
use crate::gateway::partial::PartialReply;
use crate::gateway::policy::gather::{GatherEnd, GatherState};
use crate::gateway::policy::latency::STRAGGLER_SHARE;
use crate::gateway::policy::latency::millis;
use crate::gateway::reply::CallerReply;
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{GatherTerms, RepeatKind, RouteEntry};
use crate::quarantine::RequestStanding;

use self::attempt::{AttemptSet, LiveAttempt};
use self::group::{PartialDuty, ShardGroup};
use self::suspicion::{LOSS_LOOK, RunSuspicion};

/// What is kept of the deadline for the same.
const FINISH_MARGIN: Duration = Duration::from_millis(15);
/// How long attempts that are no longer needed may go on, so that their connections can be used again: a new one holds
/// an upstream's slot for some milliseconds. Work for a caller that has left must end within half a second.
const SPARE_TIME: Duration = Duration::from_millis(300);

/// How a request ended.
#[derive(Debug)]
pub struct RunReport {
    /// The answer.
    pub reply: CallerReply,
    /// One word for logs and metrics.
    pub word: &'static str,
    /// What decided it, for logs.
    pub detail: CompactString,
    /// When a gathered answer was decided on.
    pub decided: Option<Instant>,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub enum RunTarget {
    /// To one upstream of a service.
    One(UpstreamService),
    /// To one upstream of each shard.
    Gather(GatherTerms),
}

impl RunTarget {
    fn service(&self, shard: usize) -> &UpstreamService {
        match self {
            Self::One(service) => service,
            Self::Gather(terms) => &terms.shards[shard],
        }
    }
}

/// A request as it runs.
struct QueryRun {
    context: AttemptContext,
    route: Rc<RouteEntry>,
    target: RunTarget,
    request: Rc<ForwardRequest>,
    state: GatherState,
    live: Vec<LiveAttempt>,
    set: AttemptSet,
    /// Set when the request has ended: attempts that still wait for a connection are not sent.
    cancelled: Rc<Cell<bool>>,
    /// The answer to a request to one service.
    single: Option<UpstreamAnswer>,
    /// The last answer that was no success, for requests to one service.
    failure: Option<UpstreamAnswer>,
    /// What is known of the request as the cause of lost upstreams, and the shards that wait for it.
    suspicion: RunSuspicion,
    /// Names the route's shards to other VMs; reckoned with the first group.
    mark: OnceCell<u64>,
    /// Shards that other VMs gather.
    groups: Vec<ShardGroup>,
    news: mpsc::UnboundedReceiver<GroupEvent>,
    news_sender: mpsc::UnboundedSender<GroupEvent>,
    /// Set if this VM gathers parts for another one.
    duty: Option<PartialDuty>,
    hedges: usize,
    retries: usize,
    /// Repeats for which there was no budget.
    unfunded: Cell<usize>,
    /// Shards that were postponed at the beginning.
    postponed: usize,
    /// Why the last of them was denied.
    denial: Cell<&'static str>,
    /// How much sooner than it must be on its way the answer is decided on.
    lag: Duration,
}

/// Runs a request to its end. Dropping the future gives it up.
pub async fn run_request(
    core: &Rc<GatewayCore>,
    route: &Rc<RouteEntry>,
    target: RunTarget,
    request: Rc<ForwardRequest>,
    standing: RequestStanding,
) -> RunReport {
    let mut run = QueryRun::new(core, route, target, request);
    run.await_upstreams().await;
    run.begin(standing);
    let end = run.drive().await;
    run.finish(end)
}

/// Gathers shards for another VM; `reply` gets the parts as they come in. Dropping the future gives it up.
pub async fn run_partial(
    core: &Rc<GatewayCore>,
    route: &Rc<RouteEntry>,
    terms: GatherTerms,
    request: Rc<ForwardRequest>,
    answer_by: Instant,
    mut reply: impl FnMut(PartialReply),
) {
    let shards = terms.shards.len();
    let mut run = QueryRun::new(core, route, RunTarget::Gather(terms), request);
    run.state = GatherState::new(shards, 0, answer_by, run.request.finish_by).with_patience();
    run.duty = Some(PartialDuty::new(shards));
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
        let (shards, least) = match &target {
            RunTarget::One(_) => (1, 1),
            RunTarget::Gather(terms) => (terms.shards.len(), terms.min_shards()),
        };
        let lag = core.lag.borrow().margin();
        let margin = request.caller_time + lag;
        let answer_by = request.received + route.target.saturating_sub(margin);
        let finish_by = request.finish_by.checked_sub(FINISH_MARGIN);
        let finish_by = finish_by.unwrap_or(request.received);
        let context = AttemptContext {
            core: Rc::clone(core),
            latency: core.latency(route),
            repeat: route.repeat,
            stream_idle_timeout: matches!(target, RunTarget::One(_)).then_some(route.timeout),
        };
        let (news_sender, news) = mpsc::unbounded_channel();
        Self {
            context,
            route: Rc::clone(route),
            target,
            request,
            state: GatherState::new(shards, least, answer_by, finish_by),
            live: Vec::with_capacity(shards + shards / 4),
            set: FuturesUnordered::new(),
            cancelled: Rc::default(),
            single: None,
            failure: None,
            suspicion: RunSuspicion::default(),
            mark: OnceCell::new(),
            groups: Vec::new(),
            news,
            news_sender,
            duty: None,
            hedges: 0,
            retries: 0,
            unfunded: Cell::default(),
            postponed: 0,
            denial: Cell::new("-"),
            lag,
        }
    }

    /// Most upstreams on which a shard may run.
    fn attempts_allowed(&self) -> usize {
        match self.route.repeat {
            RepeatKind::Idempotent if self.duty.is_none() => self.route.attempts.max(1),
            // The asking VM may use the others.
            RepeatKind::Idempotent | RepeatKind::Once => 1,
        }
    }

    /// Waits for attempts and times until the request has an end.
    async fn drive(&mut self) -> GatherEnd {
        self.drive_with(&mut |_reply| {}).await
    }

    async fn drive_with(&mut self, reply: &mut impl FnMut(PartialReply)) -> GatherEnd {
        let timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(timer);
        loop {
            let time = now();
            if let Some(end) = self.state.judge(time) {
                return end;
            }
            self.resume_held();
            self.resume_postponed(time);
            self.look_for_stragglers(time);
            self.flush(reply);
            let wake = self.next_wake(time);
            timer.as_mut().reset(tokio::time::Instant::from_std(wake));
            tokio::select! {
                Some(finished) = self.set.next() => self.take_ended(finished),
                Some(event) = self.news.recv() => self.take_news(event),
                () = &mut timer => self.note_timer(wake.max(time)),
            }
        }
    }

    fn note_timer(&self, due: Instant) {
        let time = now();
        let late = time.saturating_duration_since(due);
        let mut lag = self.context.core.lag.borrow_mut();
        lag.note_timer(late, time);
    }

    /// Sends postponed shards after all: as many as have failed, and all once the target has passed without enough.
    fn resume_postponed(&mut self, time: Instant) {
        while self.state.lacks() || self.state.useful_until(time).is_none() {
            let Some(shard) = self.state.resume_one() else {
                return;
            };
            self.start(shard, Duration::ZERO);
        }
    }

    fn next_wake(&self, time: Instant) -> Instant {
        let mut wake = self.state.next_judgement(time);
        if self.suspicion.waits() {
            wake = wake.min(time + LOSS_LOOK);
        }
        if self.route.repeat == RepeatKind::Once {
            // No second attempt is ever sent beside the first, so nobody looks for stragglers. With their times in here
            // each such request kept the processor busy from its 90th percentile to its answer.
            return wake;
        }
        for attempt in &self.live {
            if attempt.ended || !self.state.shards()[attempt.shard].is_open() {
                continue;
            }
            wake = wake.min(attempt.next_look);
        }
        wake
    }
}

impl Drop for QueryRun {
    /// Attempts that are out may end for a while, so that their connections can be used again.
    fn drop(&mut self) {
        self.cancelled.set(true);
        self.end_groups();
        let time = now();
        for attempt in &self.live {
            let waited = millis(time.saturating_duration_since(attempt.began));
            let latency = self.context.latency.borrow();
            // What is late already waits in a queue or a pause; ending it takes it out of there.
            if waited > latency.track(attempt.kind).quantile(STRAGGLER_SHARE) {
                attempt.abort.abort();
            }
        }
        let mut set = std::mem::take(&mut self.set);
        if set.is_empty() || self.context.core.state() == ServiceState::Draining {
            return;
        }
        tokio::task::spawn_local(async move {
            let ending = async { while set.next().await.is_some() {} };
            // What takes longer is given up, and its connection with it.
            let _elapsed = tokio::time::timeout(SPARE_TIME, ending).await;
        });
    }
}

#[cfg(test)]
#[path = "run_tests.rs"]
mod tests;
