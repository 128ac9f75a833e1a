//! Starts attempts: selects the upstream, spends the retry budget and sends the request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;

use super::QueryRun;
use crate::gateway::clock::now;
use crate::gateway::exchange::{AttemptOutcome, run_attempt};
use crate::gateway::ident::{UpstreamIncarnation, UpstreamService};
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::policy::budget::{RepeatDenial, RepeatSpender};
use crate::gateway::policy::choice::{UpstreamChoice, choose_upstream};
use crate::gateway::policy::fairness::FlowKey;
use crate::gateway::policy::hedge::HedgeCandidate;
use crate::gateway::policy::latency::AttemptKind;
use crate::gateway::policy::retry;
use crate::gateway::registry::UpstreamList;
use crate::gateway::settings::PlaceDistance;
use crate::gateway::upstream::Upstream;

/// Attempt that has finished, with its outcome.
pub(super) struct FinishedAttempt {
    /// Index of the attempt in the request's list of attempts.
    pub attempt_index: usize,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
}

/// Attempt that was started; it may have ended.
#[derive(Debug)]
pub(super) struct StartedAttempt {
    /// Shard that the attempt is for.
    pub shard: usize,
    /// Upstream that the attempt is sent to. For a delegated attempt, the upstream that this VM would have used.
    pub upstream: Rc<Upstream>,
    /// Incarnation of the upstream at the time when the attempt was started.
    pub incarnation: UpstreamIncarnation,
    /// How the attempt reaches the upstream.
    pub kind: AttemptKind,
    /// Whether the request may have run at the upstream.
    pub may_have_run: bool,
    /// Whether the attempt was handed to a connection or to another VM; before that it waits for a connection.
    pub is_sent: Rc<Cell<bool>>,
    /// Handle that aborts the attempt.
    pub abort_handle: AbortHandle,
    /// Time at which the attempt began.
    pub began: Instant,
    /// Time of the next check whether the attempt is a straggler that is worth a hedge.
    pub next_check: Instant,
    /// Whether the attempt was delegated to a VM that has sent a reply for the same group without this attempt's
    /// outcome, so that the attempt is known to be late.
    pub known_late: bool,
    /// Time that the attempt took; `None` until it has ended, and for delegated attempts.
    pub took: Option<Duration>,
    /// Whether the attempt has ended.
    pub ended: bool,
}

/// Attempts in flight; an aborted one yields `None`.
pub(super) type AttemptSet = FuturesUnordered<LocalBoxFuture<'static, Option<FinishedAttempt>>>;

impl QueryRun {
    /// Starts an attempt of a shard after a pause. Marks the shard as failed if no attempt is possible and none is in
    /// flight.
    pub(super) fn start(&mut self, shard: usize, pause: Duration) {
        if self.try_start(shard, pause) || self.state.shards()[shard].in_flight > 0 {
            return;
        }
        self.state.fail(shard);
    }

    fn try_start(&mut self, shard: usize, pause: Duration) -> bool {
        let shard_state = &self.state.shards()[shard];
        if shard_state.possible_runs >= self.max_sends() {
            return false;
        }
        let is_repeat = shard_state.possible_runs > 0 || shard_state.declined_attempts > 0;
        let Some(choice) = self.choose(shard, is_repeat) else {
            return false;
        };
        if is_repeat && !self.spend(shard) {
            return false;
        }
        // A delegated attempt needs no pause: the network time to the other zone is pause enough.
        let is_delegated = is_repeat && self.delegate_repeat(shard, &choice);
        if !is_delegated {
            self.launch(shard, choice, pause);
        }
        true
    }

    /// Returns the maximum number of times that one shard is sent in total, to the same upstream or to different ones.
    /// Declined attempts and attempts that ended before anything was sent don't count.
    pub(super) fn max_sends(&self) -> usize {
        retry::max_sends(self.route.idempotency)
    }

    /// Returns whether an upstream may have run the request, or may still run it. An attempt that waits for a
    /// connection isn't sent any more once the request has ended.
    pub(super) fn may_have_run(&self) -> bool {
        let may_have_run = |attempt: &StartedAttempt| attempt.may_have_run && attempt.is_sent.get();
        self.attempts.iter().any(may_have_run)
    }

    /// Returns the attempts of a shard.
    pub(super) fn attempts_of(&self, shard: usize) -> impl Iterator<Item = &StartedAttempt> {
        self.attempts
            .iter()
            .filter(move |attempt| attempt.shard == shard)
    }

    /// Returns the upstreams on which a shard may have run. An upstream that another VM selected counts separately,
    /// even if it is the same one.
    pub(super) fn upstreams_run(
        &self,
        shard: usize,
    ) -> SmallVec<[(AttemptKind, &UpstreamIncarnation); 4]> {
        let mut upstreams = SmallVec::new();
        for attempt in self.attempts_of(shard) {
            let is_delegated = attempt.kind == AttemptKind::Delegated;
            let kind = if is_delegated {
                attempt.kind
            } else {
                AttemptKind::Zone
            };
            let upstream = (kind, &attempt.incarnation);
            if attempt.may_have_run && !upstreams.contains(&upstream) {
                upstreams.push(upstream);
            }
        }
        upstreams
    }

    /// Spends one repeat of the retry budget; returns false if it is denied.
    pub(super) fn spend(&self, shard: usize) -> bool {
        let core = &self.context.core;
        let service = self.target.service(shard);
        let spender = self.repeat_spender();
        let spend_result =
            core.retry_budget
                .borrow_mut()
                .spend_for(service, spender, core.running_time());
        match spend_result {
            Ok(()) => {
                core.metrics.repeats.inc();
            }
            Err(denial) => {
                let label = OutcomeLabel(denial.label());
                core.metrics.unfunded.get_or_create(&label).inc();
                if denial == RepeatDenial::OverShare {
                    self.log_over_share(service);
                }
                self.denied_repeats.set(self.denied_repeats.get() + 1);
                self.last_denial.set(denial.label());
            }
        }
        spend_result.is_ok()
    }

    /// Returns the organisation that repeats are sent for, if there are several that share the retry budget.
    fn repeat_spender(&self) -> Option<RepeatSpender> {
        let table = self.context.core.table()?;
        let has_several = table.organisations()?.len() > 1;
        let name = self.request.organisation.as_ref()?;
        let flow = FlowKey::new(name.as_str());
        has_several.then(|| RepeatSpender::new(flow, self.organisation_priority()))
    }

    /// Logs that a repeat was denied because of the organisation's share, once for each request and reason in a row.
    fn log_over_share(&self, service: &UpstreamService) {
        if self.last_denial.get() == RepeatDenial::OverShare.label() {
            return;
        }
        log::info!(
            target: "ebonyfork::decision",
            "repeat denied request={} organisation={} service={service} reason={}",
            self.request.id.to_str().unwrap_or("-"),
            self.request.organisation.as_ref().map_or("-", |name| name.as_str()),
            RepeatDenial::OverShare.label()
        );
    }

    /// Counts the request to a shard in the retry budget, once.
    pub(super) fn count_request(&mut self, shard: usize) {
        if self.state.shards()[shard].request_counted {
            return;
        }
        self.state.shard_mut(shard).request_counted = true;
        let core = &self.context.core;
        let service = self.target.service(shard);
        core.retry_budget
            .borrow_mut()
            .record_request(service, core.running_time());
    }

    /// Returns the upstreams that a shard may be sent to: those in the home regions of the route, except cold ones that
    /// may get no request from this VM now.
    pub(super) fn candidates(&self, shard: usize) -> UpstreamList {
        let mut upstreams = self.home_upstreams(shard);
        upstreams.retain(|upstream| self.context.core.allows_cold_send(upstream));
        upstreams
    }

    /// Returns the upstreams in the home regions of the route.
    pub(super) fn home_upstreams(&self, shard: usize) -> UpstreamList {
        let service = self.target.service(shard);
        self.context
            .core
            .home_region_upstreams(&self.route, service)
    }

    /// Selects the upstream for an attempt of a shard: the best of all candidates for the first one. If `is_repeat` is
    /// set, or an earlier attempt was not sent, selects an upstream that the shard was not sent to. If there is none
    /// and no attempt is in flight, selects one that it was sent to, without exceeding the route's limit on upstreams.
    /// If this VM gathers the part for another VM, only upstreams in this VM's zone are used.
    pub(super) fn choose(&self, shard: usize, is_repeat: bool) -> Option<UpstreamChoice> {
        let core = &self.context.core;
        let candidates = self.candidates(shard);
        let latency = self.context.latency.borrow();
        let place = &core.settings.place;
        let current_time = now();
        let in_own_zone = |upstream: &Upstream| {
            self.delivery.is_none() || place.distance(&upstream.entry().zone) == PlaceDistance::Zone
        };
        let pick_upstream = |is_allowed: &dyn Fn(&Upstream, &UpstreamIncarnation) -> bool| {
            let is_allowed = |upstream: &Upstream, incarnation: &UpstreamIncarnation| {
                in_own_zone(upstream) && is_allowed(upstream, incarnation)
            };
            choose_upstream(&candidates, is_allowed, place, &latency, current_time)
        };
        if !is_repeat && self.state.shards()[shard].unsent_attempts == 0 {
            return pick_upstream(&|_, _| true);
        }
        let run_upstreams = self.upstreams_run(shard);
        let may_use_more = run_upstreams.len() < self.max_upstreams();
        let is_untried = |incarnation: &UpstreamIncarnation| {
            let mut attempts = self.attempts_of(shard);
            may_use_more && !attempts.any(|attempt| attempt.incarnation == *incarnation)
        };
        let is_reachable = |upstream: &Upstream| !upstream.health.borrow().is_ejected(current_time);
        let none_in_flight = self.state.shards()[shard].in_flight == 0;
        let has_run_on = |incarnation: &UpstreamIncarnation| {
            run_upstreams.contains(&(AttemptKind::Zone, incarnation))
        };
        let may_repeat = |incarnation: &UpstreamIncarnation| {
            none_in_flight && (may_use_more || has_run_on(incarnation))
        };
        pick_upstream(&|upstream, incarnation| is_reachable(upstream) && is_untried(incarnation))
            .or_else(|| {
                pick_upstream(&|upstream, incarnation| {
                    is_reachable(upstream) && may_repeat(incarnation)
                })
            })
            .or_else(|| {
                pick_upstream(&|_upstream, incarnation| {
                    is_untried(incarnation) || may_repeat(incarnation)
                })
            })
    }

    /// Records the start of an attempt; returns its index in the list.
    pub(super) fn record_begun(
        &mut self,
        shard: usize,
        choice: &UpstreamChoice,
        kind: AttemptKind,
        began: Instant,
        abort_handle: AbortHandle,
    ) -> usize {
        let first_check_ms = {
            let latency = self.context.latency.borrow();
            HedgeCandidate::next_check_ms(latency.histogram(kind), 0.0)
        };
        if kind == AttemptKind::Delegated {
            choice.upstream.health.borrow_mut().record_start(began);
        }
        self.attempts.push(StartedAttempt {
            shard,
            incarnation: choice.upstream.entry().incarnation(),
            upstream: Rc::clone(&choice.upstream),
            kind,
            may_have_run: true,
            is_sent: Rc::new(Cell::new(kind == AttemptKind::Delegated)),
            abort_handle,
            began,
            next_check: began + Duration::from_secs_f64(first_check_ms / 1_000.0),
            known_late: false,
            took: None,
            ended: false,
        });
        let shard_state = self.state.shard_mut(shard);
        shard_state.in_flight += 1;
        shard_state.possible_runs += 1;
        self.attempts.len() - 1
    }

    /// Starts an attempt at an upstream after a pause.
    pub(super) fn launch(&mut self, shard: usize, choice: UpstreamChoice, pause: Duration) {
        self.count_request(shard);
        let began = now() + pause;
        let (abort_handle, registration) = AbortHandle::new_pair();
        let kind = AttemptKind::from(choice.distance);
        let attempt_index = self.record_begun(shard, &choice, kind, began, abort_handle);
        let context = self.context.clone();
        let request = Rc::clone(&self.request);
        let is_cancelled = Rc::clone(&self.is_cancelled);
        let is_sent = Rc::clone(&self.attempts[attempt_index].is_sent);
        let useful_until = self.state.useful_until(began);
        let attempt = async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let may_send = || {
                is_sent.set(!is_cancelled.get());
                is_sent.get()
            };
            let upstream = &choice.upstream;
            let outcome = run_attempt(&context, upstream, &request, useful_until, may_send).await;
            FinishedAttempt {
                attempt_index,
                outcome,
            }
        };
        let attempt = Abortable::new(attempt, registration);
        self.in_flight
            .push(Box::pin(async move { attempt.await.ok() }));
    }
}
