//! A small discrete-event model of upstreams and VMs in virtual time. It exercises the gateway's decisions under load:
//! which upstream gets a shard, what is retried or hedged, and when a query ends. It uses no sockets and no tasks; a
//! run is determined by its seed.
//!
//! It replays observed failures over randomly drawn deployments, to reveal limits that only suit one deployment.

mod deployment;
mod speed;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gateway::fixture::{entry, place};
use crate::gateway::ident::{PlaceName, UpstreamService};
use crate::gateway::policy::budget::RetryBudget;
use crate::gateway::policy::choice::{UpstreamChoice, choose_upstream};
use crate::gateway::policy::gather::{GatherEnd, GatherState};
use crate::gateway::policy::hedge::HedgeCandidate;
use crate::gateway::policy::latency::{AttemptKind, millis};
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::settings::{NodePlace, PlaceDistance};
use crate::gateway::upstream::Upstream;

pub use deployment::{FaultPhase, ModelDeployment, ModelFault, ReplayReport};
pub use speed::{SpeedSharing, TurnFault, TurnPattern};

/// One-way latency between two regions.
const INTER_REGION_LATENCY: Duration = Duration::from_millis(12);
/// One-way latency within a zone.
const INTRA_ZONE_LATENCY: Duration = Duration::from_micros(100);
/// Number of requests queued at an upstream from which it declines further ones.
const MAX_QUEUED: usize = 12;
/// Number of requests that an upstream runs concurrently.
const SLOTS: usize = 2;
/// Shortest time between two hedging checks of an attempt.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Largest number of attempts per shard.
const MAX_ATTEMPTS: usize = 4;

struct ModelServer {
    /// Time at which each slot becomes free.
    free_at: [Instant; SLOTS],
    queued_starts: Vec<Instant>,
}

struct ModelVm {
    place: NodePlace,
    upstreams: Vec<Vec<Rc<Upstream>>>,
    latency: RouteLatency,
    budget: RetryBudget,
}

struct ModelAttempt {
    query: usize,
    shard: usize,
    replica: usize,
    kind: AttemptKind,
    began: Instant,
    ended: bool,
}

struct ModelQuery {
    vm: usize,
    began: Instant,
    state: GatherState,
    /// Whether an attempt was sent to each upstream of each shard.
    sent: Vec<[bool; 2]>,
    done: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Begin,
    Answer(usize),
    Fail(usize),
    CheckHedge(usize),
    Decide(usize),
    SendAdvice(usize),
    ReceiveAdvice(usize),
}

/// Replay of a fault pattern on a deployment.
pub struct LoadReplay {
    deployment: ModelDeployment,
    phases: Vec<FaultPhase>,
    rng: ChaCha8Rng,
    start: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, ModelEvent)>>,
    event_count: u64,
    servers: Vec<[ModelServer; 2]>,
    is_faulty: Vec<[bool; 2]>,
    vms: Vec<ModelVm>,
    queries: Vec<ModelQuery>,
    attempts: Vec<ModelAttempt>,
    speed: speed::SpeedModel,
    /// Times of the retries and hedges of each shard.
    pub repeats: Vec<Vec<Instant>>,
    /// Value of the queries that began in each second.
    pub seconds: Vec<ReplayReport>,
}

impl LoadReplay {
    /// Simulates the given number of seconds of load on a deployment, with the faults that `phases` lists.
    pub fn run(
        deployment: ModelDeployment,
        phases: impl Into<Vec<FaultPhase>>,
        seconds: usize,
        seed: u64,
    ) -> Self {
        let mut replay = Self::new(deployment, phases, seconds, seed);
        replay.run_to_end();
        replay
    }

    /// Creates a replay whose first query is about to begin.
    fn new(
        deployment: ModelDeployment,
        phases: impl Into<Vec<FaultPhase>>,
        seconds: usize,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let server = || ModelServer {
            free_at: [start; SLOTS],
            queued_starts: Vec::new(),
        };
        let servers = (0..deployment.shards)
            .map(|_| [server(), server()])
            .collect();
        let draw_fault = |rng: &mut ChaCha8Rng| rng.random_bool(0.125);
        let is_faulty = (0..deployment.shards)
            .map(|_| [draw_fault(&mut rng), draw_fault(&mut rng)])
            .collect();
        let vms = (0..deployment.vms)
            .map(|number| model_vm(&deployment, number, start))
            .collect();
        let mut replay = Self {
            deployment,
            phases: phases.into(),
            rng,
            start,
            events: BinaryHeap::new(),
            event_count: 0,
            servers,
            is_faulty,
            vms,
            queries: Vec::new(),
            attempts: Vec::new(),
            speed: speed::SpeedModel::default(),
            repeats: vec![Vec::new(); deployment.shards],
            seconds: vec![ReplayReport::default(); seconds],
        };
        replay.push(start, ModelEvent::Begin);
        replay
    }

    /// Handles the events of all seconds.
    fn run_to_end(&mut self) {
        let end = self.start + Duration::from_secs(self.seconds.len() as u64);
        while let Some(Reverse((now, _number, event))) = self.events.pop() {
            if now >= end {
                break;
            }
            self.take(now, event);
        }
    }

    fn push(&mut self, at: Instant, event: ModelEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn second(&self, at: Instant) -> usize {
        let second = at.saturating_duration_since(self.start).as_secs() as usize;
        second.min(self.seconds.len() - 1)
    }

    fn take(&mut self, now: Instant, event: ModelEvent) {
        match event {
            ModelEvent::Begin => self.begin(now),
            ModelEvent::Answer(attempt) => self.answer(attempt, now),
            ModelEvent::Fail(attempt) => self.fail(attempt, now),
            ModelEvent::CheckHedge(attempt) => self.check_hedge(attempt, now),
            ModelEvent::Decide(query) => self.decide(query, now),
            ModelEvent::SendAdvice(vm) => self.send_advice(vm, now),
            ModelEvent::ReceiveAdvice(message) => self.receive_advice(message, now),
        }
    }

    fn begin(&mut self, now: Instant) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.deployment.rate();
        self.push(now + Duration::from_secs_f64(gap), ModelEvent::Begin);
        let second = self.second(now);
        self.seconds[second].queries += 1.0;
        let (shards, min_shards) = (self.deployment.shards, self.deployment.min_shards());
        let answer_by = now + self.deployment.target;
        let finish_by = now + self.deployment.target * 4;
        let query = self.queries.len();
        self.queries.push(ModelQuery {
            vm: self.rng.random_range(0..self.vms.len()),
            began: now,
            state: GatherState::new(shards, min_shards, answer_by, finish_by),
            sent: vec![[false; 2]; shards],
            done: false,
        });
        for shard in 0..shards {
            let vm = self.queries[query].vm;
            let uptime = now.saturating_duration_since(self.start);
            self.vms[vm].budget.record_request(&service(shard), uptime);
            if let Some(choice) = self.choose(query, shard, now) {
                self.send(query, shard, &choice, now);
            }
        }
        self.push(answer_by, ModelEvent::Decide(query));
        self.push(finish_by, ModelEvent::Decide(query));
    }

    fn choose(&self, query: usize, shard: usize, now: Instant) -> Option<UpstreamChoice> {
        let vm = &self.vms[self.queries[query].vm];
        let was_sent = |upstream: &Upstream| self.queries[query].sent[shard][replica(upstream)];
        let candidates = &vm.upstreams[shard];
        let choose_from = |only_unused: bool| {
            let allowed = |upstream: &Upstream, _: &_| !only_unused || !was_sent(upstream);
            choose_upstream(candidates, allowed, &vm.place, &vm.latency, now)
        };
        if self.queries[query].state.shards()[shard].possible_runs == 0 {
            return choose_from(false);
        }
        choose_from(true).or_else(|| choose_from(false))
    }

    fn spend(&mut self, query: usize, shard: usize, now: Instant) -> bool {
        let uptime = now.saturating_duration_since(self.start);
        let vm = self.queries[query].vm;
        let is_funded = self.vms[vm].budget.spend(&service(shard), uptime);
        if is_funded {
            self.repeats[shard].push(now);
        }
        is_funded
    }

    /// Sends an attempt. Its outcome at the upstream is computed immediately.
    fn send(&mut self, query: usize, shard: usize, choice: &UpstreamChoice, now: Instant) {
        let is_near = choice.distance == PlaceDistance::Zone;
        let (one_way, kind) = if is_near {
            (INTRA_ZONE_LATENCY, AttemptKind::Zone)
        } else {
            (INTER_REGION_LATENCY, AttemptKind::Delegated)
        };
        let replica = replica(&choice.upstream);
        choice.upstream.health.borrow_mut().record_start(now);
        let state = self.queries[query].state.shard_mut(shard);
        state.in_flight += 1;
        state.possible_runs += 1;
        self.queries[query].sent[shard][replica] = true;
        let number = self.attempts.len();
        self.attempts.push(ModelAttempt {
            query,
            shard,
            replica,
            kind,
            began: now,
            ended: false,
        });
        let (completes_at, is_answered) = self.serve(shard, replica, now + one_way);
        let event = if is_answered {
            ModelEvent::Answer(number)
        } else {
            ModelEvent::Fail(number)
        };
        self.push(completes_at + one_way, event);
        let vm = &self.vms[self.queries[query].vm];
        let first_check_ms = HedgeCandidate::next_check_ms(vm.latency.histogram(kind), 0.0);
        let check_at = now + Duration::from_secs_f64(first_check_ms / 1_000.0);
        self.push(check_at, ModelEvent::CheckHedge(number));
    }

    /// Returns when an upstream completes a request that arrives at `at`, and whether it answers it.
    fn serve(&mut self, shard: usize, replica: usize, at: Instant) -> (Instant, bool) {
        let second = at.saturating_duration_since(self.start).as_secs();
        let is_faulty = self.is_faulty[shard][replica];
        let active_phases = self.phases.iter().filter(|phase| {
            let is_active = (phase.from..phase.until).contains(&second);
            is_active && phase.replica.map_or(is_faulty, |number| number == replica)
        });
        let faults: Vec<ModelFault> = active_phases.map(|phase| phase.fault).collect();
        let (mut factor, mut breaks) = (1.0, false);
        for fault in faults {
            match fault {
                ModelFault::Declines(ratio) if self.rng.random_bool(ratio) => return (at, false),
                ModelFault::Declines(_) => {}
                ModelFault::Slow(multiple) => factor *= multiple,
                ModelFault::Breaks(ratio) => breaks = self.rng.random_bool(ratio),
            }
        }
        let variation = self.rng.random_range(0.5..1.5);
        let server = &mut self.servers[shard][replica];
        server.queued_starts.retain(|starts_at| *starts_at > at);
        if server.queued_starts.len() >= MAX_QUEUED {
            return (at, false);
        }
        let slot = usize::from(server.free_at[1] < server.free_at[0]);
        let starts_at = server.free_at[slot].max(at);
        let run_time = self.deployment.service_time.mul_f64(factor * variation);
        let (starts_at, ends_at) = self.turn_times(shard * 2 + replica, starts_at, run_time);
        let server = &mut self.servers[shard][replica];
        server.free_at[slot] = ends_at;
        server.queued_starts.push(starts_at);
        (ends_at, !breaks)
    }

    /// Marks an attempt as ended. Returns its query, shard and VM unless it had already ended.
    fn end(&mut self, number: usize) -> Option<(usize, usize, usize)> {
        let attempt = &mut self.attempts[number];
        if std::mem::replace(&mut attempt.ended, true) {
            return None;
        }
        let (query, shard) = (attempt.query, attempt.shard);
        self.queries[query].state.shard_mut(shard).in_flight -= 1;
        Some((query, shard, self.queries[query].vm))
    }

    fn answer(&mut self, number: usize, now: Instant) {
        let Some((query, shard, vm)) = self.end(number) else {
            return;
        };
        let attempt = &self.attempts[number];
        let elapsed = now.saturating_duration_since(attempt.began);
        let vm = &mut self.vms[vm];
        vm.latency.histogram_mut(attempt.kind).record(elapsed, now);
        let slowness = vm.latency.slowness(attempt.kind, millis(elapsed));
        let upstream = &vm.upstreams[shard][attempt.replica];
        let mut health = upstream.health.borrow_mut();
        health.record_answer(attempt.began, now, slowness);
        drop(health);
        self.share_speed(number, now, slowness);
        let signature = http::HeaderValue::from_static("s");
        let state = &mut self.queries[query].state;
        state.add_part(shard, signature, bytes::Bytes::new());
        self.decide(query, now);
    }

    fn fail(&mut self, number: usize, now: Instant) {
        let Some((query, shard, vm)) = self.end(number) else {
            return;
        };
        let attempt = &self.attempts[number];
        let upstream = &self.vms[vm].upstreams[shard][attempt.replica];
        let mut health = upstream.health.borrow_mut();
        health.record_failure(attempt.began, now);
        drop(health);
        self.retry(query, shard, now);
        self.decide(query, now);
    }

    fn retry(&mut self, query: usize, shard: usize, now: Instant) {
        let state = &self.queries[query].state.shards()[shard];
        if self.queries[query].done || !state.is_open() || state.in_flight > 0 {
            return;
        }
        let choice = self.choose(query, shard, now);
        let attempts_left = state.possible_runs < MAX_ATTEMPTS;
        match choice {
            Some(choice) if attempts_left && self.spend(query, shard, now) => {
                self.send(query, shard, &choice, now);
            }
            _ => self.queries[query].state.fail(shard),
        }
    }

    fn check_hedge(&mut self, number: usize, now: Instant) {
        let attempt = &self.attempts[number];
        let (query, shard, kind) = (attempt.query, attempt.shard, attempt.kind);
        let state = &self.queries[query].state;
        let is_open = state.shards()[shard].is_open() && state.shards()[shard].in_flight == 1;
        if attempt.ended || self.queries[query].done || !is_open {
            return;
        }
        let waited_ms = millis(now.saturating_duration_since(attempt.began));
        let useful_until = state.useful_until(now);
        let left_ms = useful_until.map(|until| millis(until.saturating_duration_since(now)));
        let latency = &self.vms[self.queries[query].vm].latency;
        let next_check_ms = HedgeCandidate::next_check_ms(latency.histogram(kind), waited_ms);
        let check_at = attempt.began + Duration::from_secs_f64(next_check_ms / 1_000.0);
        let Some(choice) = self.choose(query, shard, now) else {
            return;
        };
        let other_kind = match choice.distance {
            PlaceDistance::Zone => AttemptKind::Zone,
            PlaceDistance::Region | PlaceDistance::Far => AttemptKind::Delegated,
        };
        let candidate = HedgeCandidate {
            waited_ms,
            left_ms,
            original_latency: latency.histogram(kind),
            hedge_latency: latency.histogram(other_kind),
            hedge_slowness_factor: choice.slowness,
            known_late: false,
        };
        let should_hedge =
            candidate.is_worthwhile() && replica(&choice.upstream) != attempt.replica;
        // When rounded to nanoseconds, the next check may coincide with this one.
        self.push(
            check_at.max(now + MIN_CHECK_INTERVAL),
            ModelEvent::CheckHedge(number),
        );
        if should_hedge && self.spend(query, shard, now) {
            self.send(query, shard, &choice, now);
        }
    }

    fn decide(&mut self, number: usize, now: Instant) {
        let query = &mut self.queries[number];
        if query.done {
            return;
        }
        let Some(end) = query.state.check_end(now) else {
            return;
        };
        query.done = true;
        let coverage = query.state.answered_count() as f64 / query.state.shards().len() as f64;
        let is_late = now > query.began + self.deployment.target;
        let timeliness = if is_late { 0.1 } else { 1.0 };
        let second = self.second(self.queries[number].began);
        let is_answered = matches!(end, GatherEnd::Whole | GatherEnd::Partial);
        if is_late || !is_answered {
            self.seconds[second].late += 1.0;
        }
        if is_answered {
            self.seconds[second].value += coverage * coverage * timeliness;
        }
    }
}

fn service(shard: usize) -> UpstreamService {
    UpstreamService::new(format!("s{shard}"))
}

/// Returns the index of an upstream within its shard.
fn replica(upstream: &Upstream) -> usize {
    usize::from(upstream.entry().instance.as_str() == "b")
}

/// Creates a VM in one of two regions. Each shard has an upstream in both.
fn model_vm(deployment: &ModelDeployment, number: usize, now: Instant) -> ModelVm {
    let mut place = place();
    if number % 2 == 1 {
        place.zone = PlaceName::new("south-a");
        place.region = PlaceName::new("south");
    }
    let upstream = |shard: usize, name: &str, zone: &str| {
        let address = ([127, 0, 0, 1], 1).into();
        let entry = entry(name, service(shard).as_str(), zone, address);
        Rc::new(Upstream::new(entry, now, SLOTS))
    };
    let upstreams = (0..deployment.shards)
        .map(|shard| {
            vec![
                upstream(shard, "a", "north-a"),
                upstream(shard, "b", "south-a"),
            ]
        })
        .collect();
    let mut budget = RetryBudget::new(deployment.budget);
    budget.set_vm_count(deployment.vms, Duration::ZERO);
    ModelVm {
        place,
        upstreams,
        latency: RouteLatency::default(),
        budget,
    }
}
