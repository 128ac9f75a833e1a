//! Runs one request: its attempts at upstreams, hedges, retries, and the moment of its answer.
//!
//! A request to one service is a query over one shard whose part is passed on as it is; so there is one place where
//! attempts are counted, repeated and given up.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;

use crate::gateway::choice::{UpstreamChoice, choose_upstream, probe_upstream};
use crate::gateway::core::{GatewayCore, ServiceState, now};
use crate::gateway::exchange::{AttemptContext, AttemptOutcome, UpstreamAnswer, run_attempt};
use crate::gateway::gather::{GatherEnd, GatherState};
use crate::gateway::hedge::{HedgeQuestion, STRAGGLER_SHARE};
use crate::gateway::ident::{InstanceName, UpstreamService};
use crate::gateway::latency::millis;
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::reply::{CallerReply, RefusalReason, forwarded, gathered, refusal};
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{GatherTerms, RepeatKind, RouteEntry};
use crate::gateway::settings::PlaceDistance;
use crate::gateway::upstream::Upstream;
use crate::quarantine::RequestStanding;

/// What is kept of the target for the way back to the caller and the work on the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// What is kept of the deadline for the same.
const FINISH_MARGIN: Duration = Duration::from_millis(15);
/// How long attempts that are no longer needed may go on, so that their connections can be used again: a new one holds
/// an upstream's slot for some milliseconds. Work for a caller that has left must end within half a second.
const SPARE_TIME: Duration = Duration::from_millis(300);
/// Wait before a shard is sent again to an upstream that has declined it: about one service time.
const DECLINED_PAUSE: Duration = Duration::from_millis(25);
/// Attempts of one shard that upstreams may decline before it is given up.
const DECLINED_LIMIT: usize = 3;
/// Attempts of one shard of which nothing was sent before it is given up.
const UNSENT_LIMIT: usize = 4;
/// Attempts of one shard that may have run before it is given up, on the same upstreams or others.
const SENT_LIMIT: usize = 4;
/// Likelihood of a part in time below which a shard is left out from the start, if enough others remain. What it would
/// add is less than what its work takes from the queries behind it.
const SKIP_LIKELIHOOD: f64 = 0.3;
/// Shards whose connection has broken from which on the request itself is suspected: one more attempt goes first
/// alone.
const SUSPICIOUS_LOSSES: usize = 2;

/// How a request ended.
#[derive(Debug)]
pub struct RunReport {
    /// The answer.
    pub reply: CallerReply,
    /// One word for logs and metrics.
    pub word: &'static str,
    /// What decided it, for logs.
    pub detail: CompactString,
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

/// An attempt that has ended.
struct FinishedAttempt {
    number: usize,
    outcome: AttemptOutcome,
}

/// An attempt that was begun.
#[derive(Debug)]
struct LiveAttempt {
    shard: usize,
    instance: InstanceName,
    /// Whether the request may have run there.
    may_have_run: bool,
    abort: AbortHandle,
    began: Instant,
    distance: PlaceDistance,
    next_look: Instant,
    ended: bool,
}

type AttemptSet = FuturesUnordered<LocalBoxFuture<'static, Option<FinishedAttempt>>>;

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
    /// The last answer that was no success, for requests to one service.
    failure: Option<UpstreamAnswer>,
    /// The shard that goes alone while the request is suspected of crashing upstreams.
    probe: Option<usize>,
    /// Shards that wait for the probe.
    held: SmallVec<[usize; 8]>,
    hedges: usize,
    retries: usize,
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
    run.begin(standing);
    let end = run.drive().await;
    run.finish(end)
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
            RunTarget::Gather(terms) => (terms.shards.len(), terms.least_shards()),
        };
        let answer_by = request.received + route.target.saturating_sub(ANSWER_MARGIN);
        let finish_by = request.finish_by - FINISH_MARGIN;
        let context = AttemptContext {
            core: Rc::clone(core),
            latency: core.latency(route),
            repeat: route.repeat,
        };
        Self {
            context,
            route: Rc::clone(route),
            target,
            request,
            state: GatherState::new(shards, least, answer_by, finish_by),
            live: Vec::with_capacity(shards + shards / 4),
            set: FuturesUnordered::new(),
            cancelled: Rc::default(),
            failure: None,
            probe: None,
            held: SmallVec::new(),
            hedges: 0,
            retries: 0,
        }
    }

    fn begin(&mut self, standing: RequestStanding) {
        let shards = self.state.shards().len();
        let started = self.context.core.uptime();
        for shard in 0..shards {
            let service = self.target.service(shard);
            let mut budget = self.context.core.budget.borrow_mut();
            budget.note_request(service, started);
        }
        if standing == RequestStanding::Suspect && shards > 1 {
            // It may crash what runs it: one shard shows it before the others are put at risk.
            self.request.after_loss.set(true);
            let probe = rand::random_range(0..shards);
            self.probe = Some(probe);
            self.held
                .extend((0..shards).filter(|shard| *shard != probe));
            self.start(probe, Duration::ZERO);
            return;
        }
        let choices: Vec<_> = (0..shards).map(|shard| self.choose(shard, false)).collect();
        self.postpone_hopeless(&choices);
        for (shard, choice) in choices.into_iter().enumerate() {
            self.begin_shard(shard, choice);
        }
    }

    /// Postpones the shards whose parts are least likely to come in time, as far as the others suffice. The least likely
    /// go first, so that the load falls where it is highest.
    fn postpone_hopeless(&mut self, choices: &[Option<UpstreamChoice>]) {
        if self.state.surplus() == 0 {
            return;
        }
        let mut hopeless: SmallVec<[(f64, usize); 8]> = SmallVec::new();
        for (shard, choice) in choices.iter().enumerate() {
            let Some(choice) = choice else { continue };
            let likelihood = self.likelihood(choice);
            if likelihood < SKIP_LIKELIHOOD && self.find_probe(shard, choice).is_none() {
                hopeless.push((likelihood, shard));
            }
        }
        hopeless.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        for (_likelihood, shard) in hopeless {
            if self.state.surplus() == 0 {
                return;
            }
            self.state.shard_mut(shard).postponed = true;
        }
    }

    /// Sends a shard for the first time, unless it is postponed.
    fn begin_shard(&mut self, shard: usize, choice: Option<UpstreamChoice>) {
        if self.state.shards()[shard].postponed {
            return;
        }
        let Some(choice) = choice else {
            self.state.fail(shard);
            return;
        };
        let probe = self.find_probe(shard, &choice);
        self.launch(shard, choice, Duration::ZERO);
        if let Some(probe) = probe
            && self.spend(shard)
        {
            self.launch(shard, probe, Duration::ZERO);
        }
    }

    /// An upstream that is avoided and could be tried beside the chosen one.
    fn find_probe(&self, shard: usize, choice: &UpstreamChoice) -> Option<UpstreamChoice> {
        if self.attempts_allowed() < 2 || self.request.after_loss.get() {
            return None;
        }
        let core = &self.context.core;
        let candidates = core.registry.upstreams(self.target.service(shard));
        probe_upstream(&candidates, choice, &core.settings.place, now())
    }

    /// How likely a part comes while it is of use.
    fn likelihood(&self, choice: &UpstreamChoice) -> f64 {
        let time = now();
        let Some(until) = self.state.useful_until(time) else {
            return 1.0;
        };
        let left = millis(until.saturating_duration_since(time));
        let latency = self.context.latency.borrow();
        let track = latency.track(choice.distance);
        1.0 - track.survival(left / choice.slowness)
    }

    /// Begins an attempt of a shard after a pause; the shard fails if it can't have one and none is out.
    fn start(&mut self, shard: usize, pause: Duration) {
        if self.try_start(shard, pause) || self.state.shards()[shard].out > 0 {
            return;
        }
        self.state.fail(shard);
    }

    fn try_start(&mut self, shard: usize, pause: Duration) -> bool {
        let state = &self.state.shards()[shard];
        if state.ran >= self.sends_allowed() {
            return false;
        }
        let repeat = state.ran > 0 || state.declined > 0;
        let Some(choice) = self.choose(shard, repeat) else {
            return false;
        };
        if repeat && !self.spend(shard) {
            return false;
        }
        self.launch(shard, choice, pause);
        true
    }

    /// Most upstreams on which a shard may run.
    fn attempts_allowed(&self) -> usize {
        match self.route.repeat {
            RepeatKind::Idempotent => self.route.attempts.max(1),
            RepeatKind::Once => 1,
        }
    }

    /// Most attempts of a shard that may run, on the same upstreams or others.
    fn sends_allowed(&self) -> usize {
        match self.route.repeat {
            RepeatKind::Idempotent => SENT_LIMIT,
            RepeatKind::Once => 1,
        }
    }

    /// Attempts of a shard.
    fn attempts_of(&self, shard: usize) -> impl Iterator<Item = &LiveAttempt> {
        self.live
            .iter()
            .filter(move |attempt| attempt.shard == shard)
    }

    /// Upstreams on which a shard may have run.
    fn upstreams_run(&self, shard: usize) -> SmallVec<[&InstanceName; 4]> {
        let mut upstreams = SmallVec::new();
        for attempt in self.attempts_of(shard) {
            if attempt.may_have_run && !upstreams.contains(&&attempt.instance) {
                upstreams.push(&attempt.instance);
            }
        }
        upstreams
    }

    /// Takes a repeat out of the budget.
    fn spend(&self, shard: usize) -> bool {
        let core = &self.context.core;
        let service = self.target.service(shard);
        let funded = core.budget.borrow_mut().spend(service, core.uptime());
        if funded {
            core.metrics.repeats.inc();
        } else {
            core.metrics.unfunded.inc();
        }
        funded
    }

    /// Chooses an upstream that the shard was not sent to; if there is none and no attempt is out, one that it was sent
    /// to, but never more upstreams than the route allows.
    fn choose(&self, shard: usize, repeat: bool) -> Option<UpstreamChoice> {
        let core = &self.context.core;
        let candidates = core.registry.upstreams(self.target.service(shard));
        let latency = self.context.latency.borrow();
        let place = &core.settings.place;
        let time = now();
        if !repeat && self.state.shards()[shard].unsent == 0 {
            return choose_upstream(&candidates, |_, _| true, place, &latency, time);
        }
        let run = self.upstreams_run(shard);
        let more = run.len() < self.attempts_allowed();
        let fresh = |instance: &InstanceName| {
            let mut attempts = self.attempts_of(shard);
            more && !attempts.any(|attempt| attempt.instance == *instance)
        };
        let reachable = |upstream: &Upstream| !upstream.health.borrow().is_ejected(time);
        let alone = self.state.shards()[shard].out == 0;
        let again = |instance: &InstanceName| alone && (more || run.contains(&instance));
        let pick = |allowed: &dyn Fn(&Upstream, &InstanceName) -> bool| {
            choose_upstream(&candidates, allowed, place, &latency, time)
        };
        pick(&|upstream, instance| reachable(upstream) && fresh(instance))
            .or_else(|| pick(&|upstream, instance| reachable(upstream) && again(instance)))
            .or_else(|| pick(&|_upstream, instance| fresh(instance) || again(instance)))
    }

    fn launch(&mut self, shard: usize, choice: UpstreamChoice, pause: Duration) {
        let began = now();
        let number = self.live.len();
        let (abort, registration) = AbortHandle::new_pair();
        let next_look = {
            let latency = self.context.latency.borrow();
            let first = HedgeQuestion::next_look(latency.track(choice.distance), 0.0);
            began + pause + Duration::from_secs_f64(first / 1_000.0)
        };
        self.live.push(LiveAttempt {
            shard,
            began: began + pause,
            distance: choice.distance,
            next_look,
            ended: false,
            instance: choice.upstream.entry().instance.clone(),
            may_have_run: true,
            abort,
        });
        let state = self.state.shard_mut(shard);
        state.out += 1;
        state.ran += 1;
        let context = self.context.clone();
        let request = Rc::clone(&self.request);
        let cancelled = Rc::clone(&self.cancelled);
        let useful_until = self.state.useful_until(began);
        let attempt = async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let may_send = || !cancelled.get();
            let upstream = &choice.upstream;
            let outcome = run_attempt(&context, upstream, &request, useful_until, may_send).await;
            FinishedAttempt { number, outcome }
        };
        let attempt = Abortable::new(attempt, registration);
        self.set.push(Box::pin(async move { attempt.await.ok() }));
    }

    /// Waits for attempts and times until the request has an end.
    async fn drive(&mut self) -> GatherEnd {
        let timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(timer);
        loop {
            let time = now();
            if let Some(end) = self.state.judge(time) {
                return end;
            }
            self.resume_postponed(time);
            self.look_for_stragglers(time);
            let wake = self.next_wake(time);
            timer.as_mut().reset(tokio::time::Instant::from_std(wake));
            tokio::select! {
                Some(finished) = self.set.next() => self.take_ended(finished),
                () = &mut timer => {}
            }
        }
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
        for attempt in &self.live {
            if attempt.ended || !self.state.shards()[attempt.shard].is_open() {
                continue;
            }
            wake = wake.min(attempt.next_look);
        }
        wake
    }

    /// An attempt has ended; one that was aborted belongs to a shard whose part is in.
    fn take_ended(&mut self, finished: Option<FinishedAttempt>) {
        if let Some(finished) = finished {
            self.take_finished(finished);
        }
    }

    fn take_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { number, outcome } = finished;
        let attempt = &mut self.live[number];
        attempt.ended = true;
        attempt.may_have_run = outcome.may_have_run();
        let shard = attempt.shard;
        self.log_attempt(number, &outcome);
        let label = OutcomeLabel(outcome.word());
        let metrics = &self.context.core.metrics;
        metrics.attempts.get_or_create(&label).inc();
        let state = self.state.shard_mut(shard);
        state.out -= 1;
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status.is_success() => {
                self.state.take_part(shard, answer);
                self.clear_probe(shard);
                return;
            }
            AttemptOutcome::Answered(answer) => {
                if self.state.shards()[shard].is_open() {
                    self.failure = Some(answer);
                }
                self.retry(shard, Duration::ZERO);
            }
            AttemptOutcome::Declined(_) => {
                state.ran -= 1;
                state.declined += 1;
                let given_up = state.declined >= DECLINED_LIMIT;
                self.retry_unless(given_up, shard, DECLINED_PAUSE);
            }
            AttemptOutcome::Unsent(_) => {
                state.ran -= 1;
                state.unsent += 1;
                let given_up = state.unsent >= UNSENT_LIMIT;
                self.retry_unless(given_up, shard, Duration::ZERO);
            }
            AttemptOutcome::Lost(_) => {
                state.lost = true;
                self.request.after_loss.set(true);
                self.retry_lost(shard);
            }
        }
    }

    /// Tells of an attempt that brought no answer; the request's own line sums up the others.
    fn log_attempt(&self, number: usize, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Answered(answer) if answer.status.is_success()) {
            return;
        }
        let attempt = &self.live[number];
        let id = self.request.id.to_str().unwrap_or("-");
        log::info!(
            target: "ebonyfork::decision",
            "attempt request={id} service={} instance={} after_ms={} {outcome}",
            self.target.service(attempt.shard),
            attempt.instance,
            now().saturating_duration_since(attempt.began).as_millis()
        );
    }

    fn retry_unless(&mut self, given_up: bool, shard: usize, pause: Duration) {
        if given_up && self.state.shards()[shard].out == 0 {
            self.state.fail(shard);
            return;
        }
        self.retry(shard, pause);
    }

    /// Sends a shard again unless its part is in or another attempt is out.
    fn retry(&mut self, shard: usize, pause: Duration) {
        let state = &self.state.shards()[shard];
        if !state.is_open() || state.out > 0 {
            return;
        }
        self.retries += 1;
        // An upstream that was not tried yet needs no pause.
        let pause = if self.has_untried(shard) {
            Duration::ZERO
        } else {
            pause
        };
        self.start(shard, pause);
    }

    fn has_untried(&self, shard: usize) -> bool {
        let service = self.target.service(shard);
        let candidates = self.context.core.registry.upstreams(service);
        candidates.iter().any(|upstream| {
            let entry = upstream.entry();
            let mut attempts = self.attempts_of(shard);
            !upstream.is_leaving() && !attempts.any(|attempt| attempt.instance == entry.instance)
        })
    }

    /// A connection has broken under a shard. A request under which several have broken may be what crashes the
    /// upstreams: then one shard goes first and the others wait for its answer.
    fn retry_lost(&mut self, shard: usize) {
        if self.probe == Some(shard) {
            // The probe has lost an upstream too.
            for held in std::mem::take(&mut self.held) {
                self.state.fail(held);
            }
            self.state.fail(shard);
            return;
        }
        if self.state.lost() < SUSPICIOUS_LOSSES {
            self.retry(shard, Duration::ZERO);
            return;
        }
        if self.state.shards()[shard].out > 0 || !self.state.shards()[shard].is_open() {
            return;
        }
        if self.probe.is_some() {
            self.held.push(shard);
            return;
        }
        self.probe = Some(shard);
        self.retry(shard, Duration::ZERO);
    }

    /// A part has come in: if it was the probe's, the others may go.
    fn clear_probe(&mut self, shard: usize) {
        if self.probe != Some(shard) {
            return;
        }
        self.probe = None;
        for held in std::mem::take(&mut self.held) {
            self.start(held, Duration::ZERO);
        }
    }

    /// Sends a second attempt beside each first one that has been out for too long, where that is worth it.
    fn look_for_stragglers(&mut self, time: Instant) {
        if self.route.repeat == RepeatKind::Once {
            return;
        }
        for number in 0..self.live.len() {
            let attempt = &self.live[number];
            let shard = attempt.shard;
            if attempt.ended || attempt.next_look > time {
                continue;
            }
            let state = &self.state.shards()[shard];
            if !state.is_open() || state.out > 1 {
                self.look_later(number, time);
                continue;
            }
            self.hedge(number, time);
            self.look_later(number, time);
        }
    }

    fn look_later(&mut self, number: usize, time: Instant) {
        let attempt = &self.live[number];
        let waited = millis(time.saturating_duration_since(attempt.began));
        let next = {
            let latency = self.context.latency.borrow();
            HedgeQuestion::next_look(latency.track(attempt.distance), waited)
        };
        let attempt = &mut self.live[number];
        attempt.next_look = attempt.began + Duration::from_secs_f64(next / 1_000.0);
    }

    fn hedge(&mut self, number: usize, time: Instant) {
        let shard = self.live[number].shard;
        let suspected = self.probe.is_some() || self.request.after_loss.get();
        let full = self.upstreams_run(shard).len() >= self.attempts_allowed();
        if suspected || full || self.state.shards()[shard].ran >= self.sends_allowed() {
            return;
        }
        let Some(choice) = self.choose(shard, true) else {
            return;
        };
        let attempt = &self.live[number];
        let worth = {
            let latency = self.context.latency.borrow();
            let left = self.state.useful_until(time);
            let question = HedgeQuestion {
                waited_ms: millis(time.saturating_duration_since(attempt.began)),
                left_ms: left.map(|until| millis(until.saturating_duration_since(time))),
                original: latency.track(attempt.distance),
                other: latency.track(choice.distance),
                other_slowness: choice.slowness,
            };
            question.is_worth()
        };
        if !worth || !self.spend(shard) {
            return;
        }
        self.hedges += 1;
        self.launch(shard, choice, Duration::ZERO);
    }

    /// Makes the answer.
    fn finish(mut self, end: GatherEnd) -> RunReport {
        let detail = format_compact!(
            "parts={}/{} attempts={} hedges={} retries={} lost={}",
            self.state.answered(),
            self.state.shards().len(),
            self.live.len(),
            self.hedges,
            self.retries,
            self.state.lost()
        );
        let (word, reply) = match end {
            GatherEnd::Whole | GatherEnd::Partial => self.answer(end),
            GatherEnd::TooThin | GatherEnd::Late => self.fail(end),
        };
        RunReport {
            reply,
            word,
            detail,
        }
    }

    fn answer(&mut self, end: GatherEnd) -> (&'static str, CallerReply) {
        let names = &self.context.core.dialect.names;
        if let RunTarget::Gather(terms) = &self.target {
            let word = if end == GatherEnd::Whole {
                "whole"
            } else {
                "partial"
            };
            return (word, gathered(names, &self.state, terms.top));
        }
        match self.state.take_single() {
            Some(answer) => ("answered", forwarded(answer)),
            None => ("unknown", refusal(RefusalReason::Unknown)),
        }
    }

    fn fail(&mut self, end: GatherEnd) -> (&'static str, CallerReply) {
        let one = matches!(self.target, RunTarget::One(_));
        if let Some(failure) = self.failure.take().filter(|_failure| one) {
            return ("failed", forwarded(failure));
        }
        let reason = match (self.state.has_run(), end) {
            (true, GatherEnd::Late) => RefusalReason::Late,
            (true, _) => RefusalReason::Unknown,
            (false, GatherEnd::Late) => RefusalReason::LateUnsent,
            (false, _) => RefusalReason::NoUpstream,
        };
        (reason.word(), refusal(reason))
    }
}

impl Drop for QueryRun {
    /// Attempts that are out may end for a while, so that their connections can be used again.
    fn drop(&mut self) {
        self.cancelled.set(true);
        let time = now();
        for attempt in &self.live {
            let waited = millis(time.saturating_duration_since(attempt.began));
            let latency = self.context.latency.borrow();
            // What is late already waits in a queue or a pause; ending it takes it out of there.
            if waited > latency.track(attempt.distance).quantile(STRAGGLER_SHARE) {
                attempt.abort.abort();
            }
        }
        let mut set = std::mem::take(&mut self.set);
        if set.is_empty() || self.context.core.state() == ServiceState::Finishing {
            return;
        }
        tokio::task::spawn_local(async move {
            let ending = async { while set.next().await.is_some() {} };
            // What takes longer is given up, and its connection with it.
            let _elapsed = tokio::time::timeout(SPARE_TIME, ending).await;
        });
    }
}
