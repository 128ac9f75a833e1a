//! Benchmarks of one query on the entry, by number of shards: planning (until the batches are ready) and gathering
//! (from the relays' outcomes to the answer).
//!
//! Also prints the number of allocations per query.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use ebonyfork::catalog::{IndexCatalog, VersionShards};
use ebonyfork::declaration::{
    ClassScope, ClassTarget, DeclaredConfig, OrganisationEntry, TargetPriority,
};
use ebonyfork::entry::{EntryAction, EntryCore, EntryViews};
use ebonyfork::ident::{IncarnationNumber, SessionId, SnapshotVersion, UpstreamAddress, VmAddress};
use ebonyfork::query::QueryRequest;
use ebonyfork::relay::{OutcomeBatch, ShardOutcome, ShardVerdict, SubmitBatch, UpstreamLoad};
use ebonyfork::settings::ExperimentSwitches;
use ebonyfork::topology::{TopologyView, UpstreamEntry, VmEntry};
use ebonyfork::wire::PeerMessage;

/// Numbers of shards per query.
const SHARD_COUNTS: [u32; 4] = [20, 70, 210, 420];
const VM_COUNT: u8 = 9;

/// Allocator that counts allocations.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the pointer came from `alloc` above.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn vm(number: u8) -> VmAddress {
    VmAddress([127, 0, 1, number].into())
}

fn upstream(service: u32, replica: u8) -> UpstreamAddress {
    let [_, _, high, low] = service.to_be_bytes();
    UpstreamAddress(([127, 10 + replica, high, low], 80).into())
}

fn views(shards: u32) -> EntryViews {
    let class = ClassTarget {
        name: "search".parse().unwrap(),
        index: "tenders".parse().unwrap(),
        scope: ClassScope::All,
        latency: Duration::from_millis(59),
        percentile: 99.0,
        coverage: 0.98,
        priority: TargetPriority::CoverageFirst,
        bound: Duration::from_secs(1),
        idempotent: true,
    };
    let organisation = OrganisationEntry {
        name: "roofers".parse().unwrap(),
        classes: vec![class.name.clone()],
    };
    let mut config = DeclaredConfig::default();
    config.classes.insert(class.name.clone(), class);
    config
        .organisations
        .insert(organisation.name.clone(), organisation);
    let zone = |number: u32| format!("zone-{}", number % 3).parse().unwrap();
    let vms = (1..=VM_COUNT).map(|number| VmEntry {
        vm: vm(number),
        zone: zone(number.into()),
        incarnation: None,
        leaving: false,
    });
    let upstreams = (0..shards * 2).map(|number| UpstreamEntry {
        upstream: upstream(number / 2, (number % 2) as u8),
        zone: zone(number),
        service: format!("tender-{:03}", number / 2).parse().unwrap(),
        leaving: false,
    });
    let topology = TopologyView::new(vms, upstreams);
    let services = (0..shards).map(|number| format!("tender-{number:03}").parse().unwrap());
    let version = VersionShards {
        version: SnapshotVersion(17),
        shards: services.collect(),
    };
    let catalog = IndexCatalog {
        epoch: 1,
        versions: vec![version],
    };
    EntryViews {
        topology: Arc::new(topology),
        config: Arc::new(config),
        catalog: Arc::new([("tenders".parse().unwrap(), catalog)].into()),
    }
}

/// An entry and the batches that it has sent for the query in flight.
struct QueryBench {
    core: EntryCore,
    now: Duration,
    sent_batches: Vec<(VmAddress, SubmitBatch)>,
    answered_shards: u32,
}

impl QueryBench {
    fn new(shards: u32) -> Self {
        let session = SessionId::new(vm(1), IncarnationNumber(7));
        let zone = "zone-1".parse().unwrap();
        let mut core = EntryCore::new(session, zone, ExperimentSwitches::default());
        core.refresh(&views(shards));
        let mut bench = Self {
            core,
            now: Duration::from_secs(1),
            sent_batches: Vec::new(),
            answered_shards: 0,
        };
        // The first query of a request sends a canary attempt first. Complete it here, so that it isn't measured.
        bench.plan();
        while !bench.sent_batches.is_empty() {
            let replies = bench.replies();
            bench.gather(replies);
        }
        bench
    }

    fn plan(&mut self) {
        let request = QueryRequest {
            class: "search".parse().unwrap(),
            organisation: "roofers".parse().unwrap(),
            deadline: None,
            record: None,
            selection: Bytes::from_static(b"roofs"),
            key: None,
            caller_id: None,
        };
        self.now += Duration::from_millis(5);
        black_box(self.core.start(self.now, request));
        self.perform_actions();
    }

    fn perform_actions(&mut self) {
        while let Some(action) = self.core.next_action() {
            match action {
                EntryAction::Send { vm, message } => {
                    if let PeerMessage::Submit(batch) = message {
                        self.sent_batches.push((vm, batch));
                    }
                }
                EntryAction::Finish { outcome, .. } => {
                    let answer = black_box(outcome).expect("a whole answer");
                    self.answered_shards += answer.coverage.answered;
                }
            }
        }
    }

    /// Returns the relays' replies to the batches sent, one batch each.
    fn replies(&mut self) -> Vec<(VmAddress, OutcomeBatch)> {
        let to_reply = |(vm, batch): (VmAddress, SubmitBatch)| (vm, reply_batch(&batch));
        self.sent_batches.drain(..).map(to_reply).collect()
    }

    fn gather(&mut self, replies: Vec<(VmAddress, OutcomeBatch)>) {
        self.now += Duration::from_millis(12);
        for (vm, batch) in replies {
            self.core.handle_outcomes(self.now, vm, batch);
            self.perform_actions();
        }
        self.core.run_due_timers(self.now);
    }
}

fn reply_batch(batch: &SubmitBatch) -> OutcomeBatch {
    let outcomes = batch.targets.iter().map(|target| ShardOutcome {
        query: batch.query,
        attempt: target.attempt,
        upstream: target.upstream,
        verdict: ShardVerdict::Rows {
            version: batch.version,
            body: Bytes::from_static(br#"{"rows":["a row of some length"]}"#),
        },
        waited_us: 100,
        served_us: 10_000,
    });
    let loads = batch.targets.iter().map(|target| UpstreamLoad {
        upstream: target.upstream,
        wait_us: 200,
        service_us: 10_000,
        limit: 2,
        leaving: false,
    });
    OutcomeBatch {
        outcomes: outcomes.collect(),
        loads: loads.collect(),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Plan,
    Gather,
}

fn bench_phase(criterion: &mut Criterion, name: &str, phase: Phase) {
    let mut group = criterion.benchmark_group(name);
    for shards in SHARD_COUNTS {
        group.throughput(Throughput::Elements(shards.into()));
        group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
            let mut bench = QueryBench::new(shards);
            bencher.iter_custom(|rounds| {
                let mut measured_time = Duration::ZERO;
                for _ in 0..rounds {
                    let started = Instant::now();
                    bench.plan();
                    let plan_cost = started.elapsed();
                    let replies = bench.replies();
                    let started = Instant::now();
                    bench.gather(replies);
                    let gather_cost = started.elapsed();
                    measured_time += if phase == Phase::Plan {
                        plan_cost
                    } else {
                        gather_cost
                    };
                }
                measured_time
            });
        });
    }
    group.finish();
}

fn plan(criterion: &mut Criterion) {
    bench_phase(criterion, "entry/plan", Phase::Plan);
}

fn gather(criterion: &mut Criterion) {
    bench_phase(criterion, "entry/gather", Phase::Gather);
    print_allocations();
}

fn print_allocations() {
    const ROUNDS: u64 = 200;
    for shards in SHARD_COUNTS {
        let mut bench = QueryBench::new(shards);
        let (mut plan_cost, mut gather_cost) = (0, 0);
        for round in 0..ROUNDS * 2 {
            let allocations_before_plan = ALLOCATIONS.load(Ordering::Relaxed);
            bench.plan();
            let allocations_after_plan = ALLOCATIONS.load(Ordering::Relaxed);
            let replies = bench.replies();
            let allocations_before_gather = ALLOCATIONS.load(Ordering::Relaxed);
            bench.gather(replies);
            if round >= ROUNDS {
                plan_cost += allocations_after_plan - allocations_before_plan;
                gather_cost += ALLOCATIONS.load(Ordering::Relaxed) - allocations_before_gather;
            }
        }
        println!(
            "allocations per query of {shards} shards: plan {:.1}, gather {:.1}",
            plan_cost as f64 / ROUNDS as f64,
            gather_cost as f64 / ROUNDS as f64
        );
    }
}

criterion_group!(benches, plan, gather);
criterion_main!(benches);
