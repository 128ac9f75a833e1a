//! Fakes at the entry's borders for tests under load: relays with exact queues before upstreams with slots, and callers
//! in an open loop, in virtual time from one seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::fixture::{EntryFixture, ms, request, rows};
use super::{EntryAction, EntryCore};
use crate::declaration::ClassTarget;
use crate::ident::{IncarnationNumber, OrganisationName, SessionId, UpstreamAddress};
use crate::query::{QueryOutcome, QueryRequest};
use crate::relay::{
    AttemptPurpose, OutcomeBatch, RefusalReason, ShardOutcome, ShardVerdict, SubmitBatch,
    UpstreamLoad,
};
use crate::settings::ExperimentSwitches;
use crate::wire::PeerMessage;

/// One way between entry and relay.
const LINK_DELAY: Duration = Duration::from_micros(500);
/// Requests that an upstream runs at once.
const SLOTS: usize = 2;
/// Seconds at the start that are not counted.
const WARM_UP: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Job {
    entry: usize,
    query: u64,
    attempt: u32,
    organisation: OrganisationName,
    arrived: Duration,
    useful_until: Duration,
    /// Whether its query came after the warm-up.
    counted: bool,
}

impl Job {
    fn key(&self) -> (usize, u64, u32) {
        (self.entry, self.query, self.attempt)
    }
}

#[derive(Debug, Default)]
struct FakeUpstream {
    queue: VecDeque<Job>,
    busy: usize,
    /// Work done for each organisation, for fairness.
    shares: BTreeMap<OrganisationName, f64>,
    /// Factor on its service times; infinite: it never answers.
    slowness: f64,
}

#[expect(
    clippy::large_enum_variant,
    reason = "the large variant is nearly every event"
)]
enum Event {
    Caller {
        organisation: usize,
    },
    Arrive {
        upstream: UpstreamAddress,
        job: Job,
    },
    Cancel {
        entry: usize,
        query: u64,
        attempt: u32,
    },
    Done {
        upstream: UpstreamAddress,
        job: Job,
        served: Duration,
    },
    Deliver {
        entry: usize,
        vm: crate::ident::VmAddress,
        batch: OutcomeBatch,
    },
    Wake {
        entry: usize,
    },
}

/// One organisation's callers.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrganisationLoad {
    pub(super) name: &'static str,
    /// Queries a second.
    pub(super) rate: f64,
}

/// What came of one organisation's queries.
#[derive(Debug, Default, Clone)]
pub(super) struct OrganisationResult {
    pub(super) latencies: Vec<Duration>,
    pub(super) queries: u32,
    pub(super) refused: u32,
    pub(super) failed: u32,
    pub(super) thin: u32,
    /// Answers within latency and coverage target.
    pub(super) good: u32,
}

impl OrganisationResult {
    pub(super) fn quantile(&self, share: f64) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        let rank = (sorted.len() as f64 * share) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(rank.min(last)).copied().unwrap_or_default()
    }
}

/// A tier of fakes around some entries.
pub(super) struct LoadModel {
    class: ClassTarget,
    entries: Vec<EntryCore>,
    upstreams: BTreeMap<UpstreamAddress, FakeUpstream>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: FxHashMap<u64, Event>,
    /// The wake that is scheduled for each entry.
    armed: Vec<Duration>,
    /// Where each attempt waits or runs.
    held: FxHashMap<(usize, u64, u32), UpstreamAddress>,
    sequence: u64,
    now: Duration,
    /// Draws the callers' arrivals, so that they are the same whatever the tier does.
    arrivals: ChaCha8Rng,
    rng: ChaCha8Rng,
    organisations: Vec<OrganisationLoad>,
    started: BTreeMap<(usize, u64), (usize, Duration)>,
    pub(super) results: Vec<OrganisationResult>,
    /// Requests that upstreams began to run.
    pub(super) runs: u64,
    /// Requests that admitted queries needed.
    pub(super) needed: u64,
    /// Share of requests that straggle.
    pub(super) stragglers: f64,
    /// Whether every query asks for something else.
    pub(super) novel: bool,
}

impl LoadModel {
    pub(super) fn new(
        shards: usize,
        switches: ExperimentSwitches,
        organisations: &[OrganisationLoad],
        change: impl Fn(&mut ClassTarget),
    ) -> Self {
        let fixture = EntryFixture::new(shards, change);
        let class = fixture
            .views
            .config
            .classes
            .values()
            .next()
            .unwrap()
            .clone();
        let mut entries = Vec::new();
        for number in 1..=3 {
            let session = SessionId::new(super::fixture::vm(number), IncarnationNumber(7));
            let zone = format!("zone-{}", number - 1).parse().unwrap();
            let mut core = EntryCore::new(session, zone, switches);
            core.refresh(&fixture.views);
            core.remember(&request());
            entries.push(core);
        }
        let upstreams = fixture.views.topology.upstreams.keys().map(|&address| {
            let upstream = FakeUpstream {
                slowness: 1.0,
                ..FakeUpstream::default()
            };
            (address, upstream)
        });
        Self {
            class,
            entries,
            upstreams: upstreams.collect(),
            events: BinaryHeap::new(),
            pending: FxHashMap::default(),
            armed: vec![Duration::MAX; 3],
            held: FxHashMap::default(),
            sequence: 0,
            now: Duration::ZERO,
            arrivals: ChaCha8Rng::seed_from_u64(13),
            rng: ChaCha8Rng::seed_from_u64(11),
            organisations: organisations.to_vec(),
            started: BTreeMap::new(),
            results: vec![OrganisationResult::default(); organisations.len()],
            runs: 0,
            needed: 0,
            stragglers: 0.01,
            novel: false,
        }
    }

    /// Queries a second that the slots can carry.
    pub(super) fn capacity(shards: usize) -> f64 {
        let slots = (shards * 2 * SLOTS) as f64;
        slots / (MEAN_SERVICE * STRAGGLER_MEAN) / shards as f64
    }

    /// Slows an upstream down; an infinite factor silences it.
    pub(super) fn slow(&mut self, upstream: UpstreamAddress, factor: f64) {
        self.upstreams.get_mut(&upstream).unwrap().slowness = factor;
    }

    /// Runs for a span of virtual time.
    pub(super) fn run(&mut self, span: Duration) {
        for organisation in 0..self.organisations.len() {
            self.schedule_caller(organisation);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > span {
                break;
            }
            self.now = at;
            let event = self.pending.remove(&number).unwrap();
            self.handle(event);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn schedule_caller(&mut self, organisation: usize) {
        let uniform: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        let gap = -uniform.ln() / self.organisations[organisation].rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Caller { organisation });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller { organisation } => self.call(organisation),
            Event::Arrive { upstream, job } => {
                self.enqueue(upstream, job);
                self.work(upstream);
            }
            Event::Cancel {
                entry,
                query,
                attempt,
            } => {
                let key = (entry, query, attempt);
                let Some(upstream) = self.held.remove(&key) else {
                    return;
                };
                let fake = self.upstreams.get_mut(&upstream).unwrap();
                let before = fake.queue.len();
                fake.queue.retain(|job| job.key() != key);
                if fake.queue.len() == before {
                    fake.busy -= 1;
                    self.work(upstream);
                }
            }
            Event::Done {
                upstream,
                job,
                served,
            } => {
                if self.held.remove(&job.key()).is_none() {
                    return;
                }
                let fake = self.upstreams.get_mut(&upstream).unwrap();
                fake.busy -= 1;
                *fake.shares.entry(job.organisation.clone()).or_default() += served.as_secs_f64();
                self.reply(upstream, &job, rows(17), served);
                self.work(upstream);
            }
            Event::Deliver { entry, vm, batch } => {
                self.entries[entry].take_outcomes(self.now, vm, batch);
                self.perform(entry);
            }
            Event::Wake { entry } => {
                self.armed[entry] = Duration::MAX;
                self.entries[entry].wake(self.now);
                self.perform(entry);
            }
        }
    }

    fn call(&mut self, organisation: usize) {
        self.schedule_caller(organisation);
        let entry = self.arrivals.random_range(0..self.entries.len());
        let mut request = QueryRequest {
            organisation: self.organisations[organisation].name.parse().unwrap(),
            ..request()
        };
        if self.novel {
            request.selection = self.sequence.to_be_bytes().to_vec().into();
        }
        let number = self.entries[entry].start(self.now, request);
        self.started
            .insert((entry, number), (organisation, self.now));
        self.perform(entry);
    }

    fn perform(&mut self, entry: usize) {
        while let Some(action) = self.entries[entry].next_action() {
            match action {
                EntryAction::Send { vm, message } => self.send(entry, vm, message),
                EntryAction::Finish { query, outcome } => self.count(entry, query, &outcome),
            }
        }
        let next = self.entries[entry].next_wake().unwrap_or(Duration::MAX);
        if next < self.armed[entry] {
            self.armed[entry] = next;
            let after = next.saturating_sub(self.now);
            self.schedule(after, Event::Wake { entry });
        }
    }

    fn send(&mut self, entry: usize, _vm: crate::ident::VmAddress, message: PeerMessage) {
        match message {
            PeerMessage::Submit(batch) => self.submit(entry, &batch),
            PeerMessage::Cancel(batch) => {
                for attempt in batch.attempts {
                    let query = batch.query;
                    let event = Event::Cancel {
                        entry,
                        query,
                        attempt,
                    };
                    self.schedule(LINK_DELAY, event);
                }
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn submit(&mut self, entry: usize, batch: &SubmitBatch) {
        let (_, started) = self.started[&(entry, batch.query)];
        let counted = started >= WARM_UP;
        for target in &batch.targets {
            let first = target.purpose == AttemptPurpose::First;
            self.needed += u64::from(counted && first);
            let job = Job {
                entry,
                query: batch.query,
                attempt: target.attempt,
                organisation: batch.organisation.clone(),
                arrived: self.now + LINK_DELAY,
                useful_until: self.now + Duration::from_micros(batch.remaining_us),
                counted,
            };
            let upstream = target.upstream;
            self.schedule(LINK_DELAY, Event::Arrive { upstream, job });
        }
    }

    fn enqueue(&mut self, upstream: UpstreamAddress, job: Job) {
        let fake = self.upstreams.get_mut(&upstream).unwrap();
        let present = fake
            .queue
            .iter()
            .any(|other| other.organisation == job.organisation);
        if !present {
            // One that has been away starts level with the least served of those that wait.
            let served = |job: &Job| {
                fake.shares
                    .get(&job.organisation)
                    .copied()
                    .unwrap_or_default()
            };
            let least = fake.queue.iter().map(served).fold(f64::INFINITY, f64::min);
            let own = fake.shares.entry(job.organisation.clone()).or_default();
            if least.is_finite() {
                *own = own.max(least);
            }
        }
        self.held.insert(job.key(), upstream);
        fake.queue.push_back(job);
    }

    /// Starts queued work while there are slots.
    fn work(&mut self, upstream: UpstreamAddress) {
        loop {
            let fake = self.upstreams.get_mut(&upstream).unwrap();
            if fake.busy >= SLOTS || fake.queue.is_empty() {
                return;
            }
            let share = |job: &Job| {
                fake.shares
                    .get(&job.organisation)
                    .copied()
                    .unwrap_or_default()
            };
            let (next, _) = fake
                .queue
                .iter()
                .enumerate()
                .min_by(|(_, a), (_, b)| share(a).total_cmp(&share(b)))
                .unwrap();
            let job = fake.queue.remove(next).unwrap();
            if job.useful_until <= self.now {
                self.held.remove(&job.key());
                let verdict = ShardVerdict::NotRun(RefusalReason::Expired);
                self.reply(upstream, &job, verdict, Duration::ZERO);
                continue;
            }
            fake.busy += 1;
            let slowness = fake.slowness;
            self.runs += u64::from(job.counted);
            if slowness.is_infinite() {
                continue;
            }
            let served = self.service_time().mul_f64(slowness);
            self.schedule(
                served,
                Event::Done {
                    upstream,
                    job,
                    served,
                },
            );
        }
    }

    fn service_time(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let body = MEAN_SERVICE * (0.6 - 0.4 * uniform.ln());
        let straggles = self.rng.random_bool(self.stragglers);
        Duration::from_secs_f64(if straggles { body * 10.0 } else { body })
    }

    fn reply(
        &mut self,
        upstream: UpstreamAddress,
        job: &Job,
        verdict: ShardVerdict,
        served: Duration,
    ) {
        let fake = &self.upstreams[&upstream];
        let ahead = (fake.queue.len() + fake.busy + 1).saturating_sub(SLOTS);
        let wait = ahead as f64 * MEAN_SERVICE * STRAGGLER_MEAN / SLOTS as f64;
        let load = UpstreamLoad {
            upstream,
            wait_us: (wait * 1e6) as u32,
            service_us: (MEAN_SERVICE * 1e6) as u32,
            limit: SLOTS as u16,
            leaving: false,
        };
        let waited = self.now.saturating_sub(job.arrived).saturating_sub(served);
        let outcome = ShardOutcome {
            query: job.query,
            attempt: job.attempt,
            upstream,
            verdict,
            waited_us: waited.as_micros() as u32,
            served_us: served.as_micros() as u32,
        };
        let batch = OutcomeBatch {
            outcomes: [outcome].into_iter().collect(),
            loads: [load].into_iter().collect(),
        };
        let (entry, vm) = (job.entry, super::fixture::vm(1));
        self.schedule(LINK_DELAY, Event::Deliver { entry, vm, batch });
    }

    fn count(&mut self, entry: usize, query: u64, outcome: &QueryOutcome) {
        let known = self.started.remove(&(entry, query));
        let (organisation, started) = known.expect("each query finishes once");
        if started < WARM_UP {
            return;
        }
        let took = self.now.saturating_sub(started);
        let result = &mut self.results[organisation];
        result.queries += 1;
        match outcome {
            Ok(answer) => {
                result.latencies.push(took);
                result.thin += u32::from(answer.coverage.is_incomplete());
                let covered = answer.coverage.share() >= self.class.coverage;
                result.good += u32::from(covered && took <= self.class.latency);
            }
            Err(refusal) if refusal.ran == crate::ident::RunState::NotRun => result.refused += 1,
            Err(_refusal) => result.failed += 1,
        }
    }

    /// Extra load on upstreams: requests run over the fewest needed.
    pub(super) fn extra_load(&self) -> f64 {
        self.runs as f64 / self.needed.max(1) as f64 - 1.0
    }
}

/// Mean service time without stragglers, in seconds.
const MEAN_SERVICE: f64 = 0.010;
/// What stragglers make of the mean: one in a hundred takes ten times as long.
const STRAGGLER_MEAN: f64 = 1.09;

/// Switches with one mechanism off.
pub(super) fn without(change: impl FnOnce(&mut ExperimentSwitches)) -> ExperimentSwitches {
    let mut switches = ExperimentSwitches::default();
    change(&mut switches);
    switches
}

/// The span of a run, the warm-up included.
pub(super) const RUN_SPAN: Duration = Duration::from_secs(5);

/// Runs one organisation's load at a share of the capacity.
pub(super) fn run_at(
    share: f64,
    switches: ExperimentSwitches,
    change: impl Fn(&mut ClassTarget),
) -> LoadModel {
    let rate = LoadModel::capacity(20) * share;
    let organisations = [OrganisationLoad {
        name: "roofers",
        rate,
    }];
    let mut model = LoadModel::new(20, switches, &organisations, |class| {
        class.latency = ms(150);
        change(class);
    });
    model.run(RUN_SPAN);
    model
}
