//! One attempt after another: where it goes, what it is counted as, how it is sent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;

use super::QueryRun;
use crate::gateway::clock::now;
use crate::gateway::exchange::{AttemptOutcome, run_attempt};
use crate::gateway::ident::UpstreamIncarnation;
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::policy::choice::{UpstreamChoice, choose_upstream};
use crate::gateway::policy::hedge::HedgeQuestion;
use crate::gateway::policy::latency::AttemptKind;
use crate::gateway::policy::retry;
use crate::gateway::registry::UpstreamList;
use crate::gateway::settings::PlaceDistance;
use crate::gateway::upstream::Upstream;

/// An attempt that has ended.
pub(super) struct FinishedAttempt {
    /// Its place in the list of attempts.
    pub number: usize,
    /// What became of it.
    pub outcome: AttemptOutcome,
}

/// An attempt that was begun.
#[derive(Debug)]
pub(super) struct LiveAttempt {
    /// The shard it is for.
    pub shard: usize,
    /// The upstream it goes to; for one that another VM gathers, the upstream it would have gone to.
    pub upstream: Rc<Upstream>,
    /// That upstream's life.
    pub life: UpstreamIncarnation,
    /// How it gets there.
    pub kind: AttemptKind,
    /// Whether the request may have run there.
    pub may_have_run: bool,
    /// Whether it has been handed to a connection, or to another VM: until then it waits for one.
    pub sent: Rc<Cell<bool>>,
    /// Ends it.
    pub abort: AbortHandle,
    /// When it was begun.
    pub began: Instant,
    /// When to look whether it is a straggler.
    pub next_look: Instant,
    /// Whether the VM that gathers it has shown that it is late.
    pub known_late: bool,
    /// How long it took, once its answer is in.
    pub took: Option<Duration>,
    /// Whether it has ended.
    pub ended: bool,
}

/// The attempts that are out; one that was aborted ends with nothing.
pub(super) type AttemptSet = FuturesUnordered<LocalBoxFuture<'static, Option<FinishedAttempt>>>;

impl QueryRun {
    /// Begins an attempt of a shard after a pause; the shard fails if it can't have one and none is out.
    pub(super) fn start(&mut self, shard: usize, pause: Duration) {
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
        // The way to another zone is pause enough.
        let delegated = repeat && self.delegate_repeat(shard, &choice);
        if !delegated {
            self.launch(shard, choice, pause);
        }
        true
    }

    /// Most attempts of a shard that may run, on the same upstreams or others.
    pub(super) fn sends_allowed(&self) -> usize {
        retry::sends_allowed(self.route.repeat)
    }

    /// Whether an upstream may have run the request, or may run it yet. An attempt that still waits for a connection is
    /// not sent any more once the request has ended.
    pub(super) fn may_have_run(&self) -> bool {
        let may_have = |attempt: &LiveAttempt| attempt.may_have_run && attempt.sent.get();
        self.live.iter().any(may_have)
    }

    /// Attempts of a shard.
    pub(super) fn attempts_of(&self, shard: usize) -> impl Iterator<Item = &LiveAttempt> {
        self.live
            .iter()
            .filter(move |attempt| attempt.shard == shard)
    }

    /// Upstreams on which a shard may have run. One that another VM has chosen counts as one of its own.
    pub(super) fn upstreams_run(
        &self,
        shard: usize,
    ) -> SmallVec<[(AttemptKind, &UpstreamIncarnation); 4]> {
        let mut upstreams = SmallVec::new();
        for attempt in self.attempts_of(shard) {
            let delegated = attempt.kind == AttemptKind::Delegated;
            let kind = if delegated {
                attempt.kind
            } else {
                AttemptKind::Zone
            };
            let upstream = (kind, &attempt.life);
            if attempt.may_have_run && !upstreams.contains(&upstream) {
                upstreams.push(upstream);
            }
        }
        upstreams
    }

    /// Takes a repeat out of the budget.
    pub(super) fn spend(&self, shard: usize) -> bool {
        let core = &self.context.core;
        let service = self.target.service(shard);
        let funded = core
            .repeats
            .borrow_mut()
            .spend(service, core.running_time());
        match funded {
            Ok(()) => {
                core.metrics.repeats.inc();
            }
            Err(denial) => {
                let label = OutcomeLabel(denial.word());
                core.metrics.unfunded.get_or_create(&label).inc();
                self.unfunded.set(self.unfunded.get() + 1);
                self.denial.set(denial.word());
            }
        }
        funded.is_ok()
    }

    /// Counts the request to a shard in the budget, once.
    pub(super) fn count_request(&mut self, shard: usize) {
        if self.state.shards()[shard].counted {
            return;
        }
        self.state.shard_mut(shard).counted = true;
        let core = &self.context.core;
        let service = self.target.service(shard);
        core.repeats
            .borrow_mut()
            .note_request(service, core.running_time());
    }

    /// The upstreams that a shard may go to: those in the home regions of the route, less cold ones that may get no
    /// request from this VM now.
    pub(super) fn candidates(&self, shard: usize) -> UpstreamList {
        let mut listed = self.at_home(shard);
        listed.retain(|upstream| self.context.core.allows_cold_send(upstream));
        listed
    }

    /// The upstreams in the home regions of the route.
    pub(super) fn at_home(&self, shard: usize) -> UpstreamList {
        let service = self.target.service(shard);
        self.context.core.home_upstreams(&self.route, service)
    }

    /// Chooses an upstream that the shard was not sent to; if there is none and no attempt is out, one that it was sent
    /// to, but never more upstreams than the route allows. For another VM only upstreams beside this one count.
    pub(super) fn choose(&self, shard: usize, repeat: bool) -> Option<UpstreamChoice> {
        let core = &self.context.core;
        let candidates = self.candidates(shard);
        let latency = self.context.latency.borrow();
        let place = &core.settings.place;
        let time = now();
        let beside = |upstream: &Upstream| {
            self.duty.is_none() || place.distance(&upstream.entry().zone) == PlaceDistance::Zone
        };
        let pick = |allowed: &dyn Fn(&Upstream, &UpstreamIncarnation) -> bool| {
            let allowed = |upstream: &Upstream, life: &UpstreamIncarnation| {
                beside(upstream) && allowed(upstream, life)
            };
            choose_upstream(&candidates, allowed, place, &latency, time)
        };
        if !repeat && self.state.shards()[shard].unsent == 0 {
            return pick(&|_, _| true);
        }
        let run = self.upstreams_run(shard);
        let more = run.len() < self.attempts_allowed();
        let fresh = |life: &UpstreamIncarnation| {
            let mut attempts = self.attempts_of(shard);
            more && !attempts.any(|attempt| attempt.life == *life)
        };
        let reachable = |upstream: &Upstream| !upstream.health.borrow().is_ejected(time);
        let alone = self.state.shards()[shard].out == 0;
        let known = |life: &UpstreamIncarnation| run.contains(&(AttemptKind::Zone, life));
        let again = |life: &UpstreamIncarnation| alone && (more || known(life));
        pick(&|upstream, life| reachable(upstream) && fresh(life))
            .or_else(|| pick(&|upstream, life| reachable(upstream) && again(life)))
            .or_else(|| pick(&|_upstream, life| fresh(life) || again(life)))
    }

    /// Notes an attempt as begun; returns its place in the list.
    pub(super) fn note_begun(
        &mut self,
        shard: usize,
        choice: &UpstreamChoice,
        kind: AttemptKind,
        began: Instant,
        abort: AbortHandle,
    ) -> usize {
        let first_look = {
            let latency = self.context.latency.borrow();
            HedgeQuestion::next_look(latency.track(kind), 0.0)
        };
        if kind == AttemptKind::Delegated {
            choice.upstream.health.borrow_mut().begin(began);
        }
        self.live.push(LiveAttempt {
            shard,
            life: choice.upstream.entry().incarnation(),
            upstream: Rc::clone(&choice.upstream),
            kind,
            may_have_run: true,
            sent: Rc::new(Cell::new(kind == AttemptKind::Delegated)),
            abort,
            began,
            next_look: began + Duration::from_secs_f64(first_look / 1_000.0),
            known_late: false,
            took: None,
            ended: false,
        });
        let state = self.state.shard_mut(shard);
        state.out += 1;
        state.ran += 1;
        self.live.len() - 1
    }

    /// Begins an attempt at an upstream after a pause.
    pub(super) fn launch(&mut self, shard: usize, choice: UpstreamChoice, pause: Duration) {
        self.count_request(shard);
        let began = now() + pause;
        let (abort, registration) = AbortHandle::new_pair();
        let kind = AttemptKind::from(choice.distance);
        let number = self.note_begun(shard, &choice, kind, began, abort);
        let context = self.context.clone();
        let request = Rc::clone(&self.request);
        let cancelled = Rc::clone(&self.cancelled);
        let sent = Rc::clone(&self.live[number].sent);
        let useful_until = self.state.useful_until(began);
        let attempt = async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let may_send = || {
                sent.set(!cancelled.get());
                sent.get()
            };
            let upstream = &choice.upstream;
            let outcome = run_attempt(&context, upstream, &request, useful_until, may_send).await;
            FinishedAttempt { number, outcome }
        };
        let attempt = Abortable::new(attempt, registration);
        self.set.push(Box::pin(async move { attempt.await.ok() }));
    }
}
