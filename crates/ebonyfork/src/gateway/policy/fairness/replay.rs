//! Replay of the queue for one upstream's connections in virtual time.

use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::collections::{BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::{FlowKey, NextWaiter, QueueShare, SlotOrder, SlotPriority};

/// Connections of the model's VM to the upstream. With [`SERVICE_TIME`] they serve 400 requests per second.
const CONNECTIONS: usize = 4;
/// Mean service time of the upstream.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time during which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(5);
/// Time from the start in which the requests that count arrive. Requests that arrive later compete with fewer others at
/// the end of the replay.
const MEASURED_PERIOD: Duration = Duration::from_secs(3);
/// Target and total wait of each kind of request, the most urgent first.
pub const KINDS: [(Duration, Duration); 3] = [
    (Duration::from_millis(100), Duration::from_millis(1_200)),
    (Duration::from_millis(300), Duration::from_secs(2)),
    (Duration::from_millis(1_500), Duration::from_secs(8)),
];

/// Requests that one organisation sends. Their kinds alternate.
#[derive(Debug, Clone, Copy)]
pub struct OrganisationDemand {
    /// Requests per second.
    rate: f64,
    priority: Option<u8>,
    service_time: Duration,
    longest_first: bool,
}

impl OrganisationDemand {
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            priority: None,
            service_time: SERVICE_TIME,
            longest_first: false,
        }
    }

    pub fn with_priority(self, priority: Option<u8>) -> Self {
        Self { priority, ..self }
    }

    /// Makes the kind with the longest target the most urgent one.
    pub fn with_longest_first(self) -> Self {
        Self {
            longest_first: true,
            ..self
        }
    }

    pub fn with_service_time(self, service_time: Duration) -> Self {
        Self {
            service_time,
            ..self
        }
    }
}

/// Order in which the replay serves requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayOrder {
    /// By deadline alone.
    Deadline,
    /// The order of this module.
    FairTurns,
    /// The order of this module for a configuration without organisations.
    Unshared,
    /// Deficit round robin over organisations.
    DeficitRoundRobin,
}

/// Deficit round robin over organisations, for comparison.
#[derive(Debug, Default)]
struct DeficitRoundRobin {
    active_flows: VecDeque<FlowKey>,
    /// Microseconds of service that each active organisation may still use in its round.
    deficits: FxHashMap<FlowKey, u64>,
}

impl DeficitRoundRobin {
    fn next_waiter(&mut self, waiters: &[ReplayRequest], now: Instant) -> Option<NextWaiter> {
        let is_late = |waiter: &ReplayRequest| waiter.priority.deadline_rank(now).0;
        let all_late = waiters.iter().all(is_late);
        // The most urgent request of each organisation.
        let mut heads: FxHashMap<FlowKey, usize> = FxHashMap::default();
        let rank = |index: usize| {
            let priority = &waiters[index].priority;
            (priority.share.route_priority, priority.deadline_rank(now))
        };
        for (index, waiter) in waiters.iter().enumerate() {
            if is_late(waiter) != all_late {
                continue;
            }
            let flow = waiter.priority.share.flow;
            let head = heads.entry(flow).or_insert(index);
            if rank(index) < rank(*head) {
                *head = index;
            }
            if let Entry::Vacant(deficit) = self.deficits.entry(flow) {
                deficit.insert(0);
                self.active_flows.push_back(flow);
            }
        }
        loop {
            let flow = *self.active_flows.front()?;
            let Some(index) = heads.get(&flow).copied() else {
                self.active_flows.pop_front();
                self.deficits.remove(&flow);
                continue;
            };
            let priority = &waiters[index].priority;
            let cost = priority.service_time.as_micros() as u64;
            let deficit = self.deficits.get_mut(&flow)?;
            if *deficit >= cost {
                *deficit -= cost;
                return Some(NextWaiter {
                    index,
                    is_late: all_late,
                    has_overtaken: false,
                });
            }
            *deficit += SERVICE_TIME.as_micros() as u64 * priority.share.weight;
            self.active_flows.rotate_left(1);
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ReplayRequest {
    number: usize,
    organisation: usize,
    kind: usize,
    is_measured: bool,
    finish_by: Instant,
    service_time: Duration,
    priority: SlotPriority,
}

/// Outcome of one organisation's requests of one kind.
#[derive(Debug, Clone, Default)]
struct KindReport {
    requests: usize,
    in_time: usize,
    late: usize,
    waits: Vec<Duration>,
}

/// Outcome of a replay.
#[derive(Debug)]
pub struct ReplayReport {
    organisations: Vec<[KindReport; KINDS.len()]>,
    served_counts: Vec<usize>,
    served_order: Vec<usize>,
}

impl ReplayReport {
    /// Returns the mean value of an organisation's requests: 1 for an answer in time, a tenth for a late one.
    pub fn value(&self, organisation: usize) -> f64 {
        let kinds = &self.organisations[organisation];
        let requests: usize = kinds.iter().map(|kind| kind.requests).sum();
        let in_time: usize = kinds.iter().map(|kind| kind.in_time).sum();
        let late: usize = kinds.iter().map(|kind| kind.late).sum();
        (in_time as f64 + 0.1 * late as f64) / requests as f64
    }

    /// Returns the number of requests for which an organisation got a connection in the measured period.
    pub fn served(&self, organisation: usize) -> usize {
        self.served_counts[organisation]
    }

    /// Returns the fraction of the requests of one kind that were answered in time.
    pub fn served_fraction(&self, organisations: Range<usize>, kind: usize) -> f64 {
        let reports = self.organisations[organisations].iter();
        let reports: Vec<_> = reports.map(|kinds| &kinds[kind]).collect();
        let requests: usize = reports.iter().map(|report| report.requests).sum();
        let in_time: usize = reports.iter().map(|report| report.in_time).sum();
        in_time as f64 / requests as f64
    }

    /// Returns the times for which an organisation's answered requests waited for a connection.
    pub fn waits(&self, organisation: usize) -> impl Iterator<Item = Duration> {
        let kinds = self.organisations[organisation].iter();
        kinds.flat_map(|kind| kind.waits.iter().copied())
    }

    /// Returns the numbers of the requests in the order in which they were served.
    pub fn into_served_order(self) -> Vec<usize> {
        self.served_order
    }
}

/// Replay of requests at one upstream.
pub struct FairReplay {
    start: Instant,
    order: ReplayOrder,
    turns: SlotOrder,
    round_robin: DeficitRoundRobin,
    arrivals: VecDeque<ReplayRequest>,
    waiters: Vec<ReplayRequest>,
    /// Times at which connections in use become free.
    busy_until: BinaryHeap<Reverse<Instant>>,
    report: ReplayReport,
}

impl FairReplay {
    /// Draws the requests of each organisation from its own random sequence.
    pub fn new(demands: &[OrganisationDemand], order: ReplayOrder, seed: u64) -> Self {
        let start = Instant::now();
        let mut arrivals = Vec::new();
        for (organisation, demand) in demands.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + organisation as u64);
            let name = organisation.to_string();
            let mut at = Duration::ZERO;
            for kind in (0..KINDS.len()).cycle() {
                let gap = -(1.0 - rng.random::<f64>()).ln() / demand.rate;
                at = at.saturating_add(Duration::try_from_secs_f64(gap).unwrap_or(Duration::MAX));
                if at >= ARRIVAL_PERIOD {
                    break;
                }
                let route_priority = if demand.longest_first {
                    KINDS.len() - 1 - kind
                } else {
                    kind
                };
                let share =
                    QueueShare::new(FlowKey::new(&name), demand.priority, route_priority as u8);
                let is_shared = order != ReplayOrder::Unshared;
                let (target, wait) = KINDS[kind];
                let received = start + at;
                arrivals.push(ReplayRequest {
                    number: 0,
                    organisation,
                    kind,
                    is_measured: at < MEASURED_PERIOD,
                    finish_by: received + wait,
                    service_time: demand.service_time.mul_f64(rng.random_range(0.5..1.5)),
                    priority: SlotPriority {
                        useful_until: Some(received + target),
                        service_time: demand.service_time,
                        received,
                        share: if is_shared {
                            share
                        } else {
                            QueueShare::default()
                        },
                    },
                });
            }
        }
        arrivals.sort_by_key(|request| request.priority.received);
        for (number, request) in arrivals.iter_mut().enumerate() {
            request.number = number;
        }
        Self {
            start,
            order,
            turns: SlotOrder::default(),
            round_robin: DeficitRoundRobin::default(),
            arrivals: arrivals.into(),
            waiters: Vec::new(),
            busy_until: BinaryHeap::new(),
            report: ReplayReport {
                organisations: vec![Default::default(); demands.len()],
                served_counts: vec![0; demands.len()],
                served_order: Vec::new(),
            },
        }
    }

    /// Runs the replay until all requests have been served or have given up.
    pub fn run(mut self) -> ReplayReport {
        while let Some(now) = self.next_event() {
            while self.busy_until.peek().is_some_and(|until| until.0 <= now) {
                self.busy_until.pop();
            }
            while let Some(request) = self.arrivals.front() {
                if request.priority.received > now {
                    break;
                }
                let kind = &mut self.report.organisations[request.organisation][request.kind];
                kind.requests += usize::from(request.is_measured);
                self.waiters.extend(self.arrivals.pop_front());
            }
            while self.serve_next(now) {}
        }
        self.report
    }

    fn next_event(&self) -> Option<Instant> {
        let arrival = self.arrivals.front();
        let arrival = arrival.map(|request| request.priority.received);
        let free = self.busy_until.peek().map(|until| until.0);
        arrival.into_iter().chain(free).min()
    }

    /// Gives a free connection to the next request; returns false if there is none.
    fn serve_next(&mut self, now: Instant) -> bool {
        if self.busy_until.len() >= CONNECTIONS {
            return false;
        }
        self.waiters.retain(|request| now < request.finish_by);
        let Some(next) = self.next_waiter(now) else {
            return false;
        };
        if next.is_late && self.busy_until.len() >= CONNECTIONS / 2 {
            return false;
        }
        let request = self.waiters.remove(next.index);
        let waiter_count = self.waiters.len();
        self.turns
            .record_grant(&request.priority, next.is_late, waiter_count);
        self.record(&request, now);
        self.busy_until.push(Reverse(now + request.service_time));
        true
    }

    fn next_waiter(&mut self, now: Instant) -> Option<NextWaiter> {
        let priorities = self.waiters.iter().map(|request| &request.priority);
        match self.order {
            ReplayOrder::FairTurns | ReplayOrder::Unshared => {
                self.turns.next_waiter(priorities, now)
            }
            ReplayOrder::DeficitRoundRobin => self.round_robin.next_waiter(&self.waiters, now),
            ReplayOrder::Deadline => {
                let ranks = priorities.map(|priority| priority.deadline_rank(now));
                let (index, (is_late, _time)) = ranks.enumerate().min_by_key(|(_, rank)| *rank)?;
                Some(NextWaiter {
                    index,
                    is_late,
                    has_overtaken: false,
                })
            }
        }
    }

    fn record(&mut self, request: &ReplayRequest, now: Instant) {
        let report = &mut self.report;
        report.served_order.push(request.number);
        if now < self.start + MEASURED_PERIOD {
            report.served_counts[request.organisation] += 1;
        }
        if !request.is_measured {
            return;
        }
        let kind = &mut report.organisations[request.organisation][request.kind];
        let answered_at = now + request.service_time;
        kind.waits
            .push(now.saturating_duration_since(request.priority.received));
        if request.priority.useful_until >= Some(answered_at) {
            kind.in_time += 1;
        } else if answered_at <= request.finish_by {
            kind.late += 1;
        }
    }
}
