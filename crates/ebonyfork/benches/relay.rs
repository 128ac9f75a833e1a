//! Benchmarks of the relay's queue and concurrency limit.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonyfork::relay::{
    ClassId, ConcurrencyLimit, LimitSample, OrganisationId, QueueEntry, RelayQueue, WorkId,
};
use ebonyfork::settings::{LimitMode, QueueOrder};

/// Number of attempts that wait in the queue during a measurement.
const QUEUED_ATTEMPTS: u32 = 512;

fn queue_entry(work: u32, organisations: u32, now: Duration) -> QueueEntry {
    // Deadlines are spread from 60 to 315 ms from now by a multiplicative hash.
    let spread_ms = u64::from(work.wrapping_mul(2_654_435_761) >> 24);
    QueueEntry {
        work: WorkId::from_u32(work),
        organisation: OrganisationId::from_u32(work % organisations),
        class: ClassId::from_u32(0),
        deadline: now + Duration::from_millis(60 + spread_ms),
        cost: Duration::from_millis(8),
    }
}

/// Measures adding one attempt to the queue and removing one, with [`QUEUED_ATTEMPTS`] attempts queued.
fn push_and_pop(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue/push+pop");
    for organisations in [1, 8, 64, 256] {
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            let mut queue = RelayQueue::new(QueueOrder::Slack);
            let mut expired = Vec::new();
            let mut now = Duration::ZERO;
            for work in 0..QUEUED_ATTEMPTS {
                queue.push(queue_entry(work, organisations, now));
            }
            let mut next_work = WorkId::from_u32(QUEUED_ATTEMPTS);
            bencher.iter(|| {
                now += Duration::from_micros(100);
                queue.push(queue_entry(next_work.as_u32(), organisations, now));
                let popped = queue.pop(now, usize::MAX, |_| true, &mut expired);
                next_work = popped.or_else(|| expired.pop()).unwrap_or(next_work);
                expired.clear();
            });
        });
    }
    group.finish();
}

/// Measures adding one attempt to the queue and cancelling it, with [`QUEUED_ATTEMPTS`] attempts queued.
fn push_and_cancel(criterion: &mut Criterion) {
    criterion.bench_function("queue/push+cancel", |bencher| {
        let mut queue = RelayQueue::new(QueueOrder::Slack);
        for work in 0..QUEUED_ATTEMPTS {
            queue.push(queue_entry(work, 64, Duration::ZERO));
        }
        let new_entry = queue_entry(QUEUED_ATTEMPTS, 64, Duration::ZERO);
        bencher.iter(|| {
            queue.push(black_box(new_entry));
            queue.cancel(black_box(new_entry.work))
        });
    });
}

/// Measures recording one answer in the concurrency limit.
fn record_sample(criterion: &mut Criterion) {
    criterion.bench_function("limit/record", |bencher| {
        let mut limit = ConcurrencyLimit::new(LimitMode::Adaptive, 7);
        let mut now = Duration::ZERO;
        bencher.iter(|| {
            now += Duration::from_micros(100);
            limit.record_sent(limit.current_limit());
            let sample = LimitSample {
                epoch: limit.epoch(),
                in_flight: limit.current_limit(),
                log_service_time: 9.0 + f64::from(now.subsec_micros() % 1_000) / 2_000.0,
                has_backlog: true,
            };
            limit.record(now, black_box(sample));
            limit.current_limit()
        });
    });
}

criterion_group!(benches, push_and_pop, push_and_cancel, record_sample);
criterion_main!(benches);
