//! Benchmarks of encoding and decoding messages between entry and relay, by number of attempts per batch.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use ebonyfork::wire::PeerMessage;

#[path = "support/codec_messages.rs"]
mod codec_messages;

use codec_messages::{outcomes, submit};

/// Numbers of attempts per batch.
const BATCH_SIZES: [u32; 4] = [1, 4, 21, 210];
fn bench_codec(criterion: &mut Criterion, name: &str, message: impl Fn(u32) -> PeerMessage) {
    let mut group = criterion.benchmark_group(name);
    for batch_size in BATCH_SIZES {
        let message = message(batch_size);
        let encoded = postcard::to_stdvec(&message).expect("a message encodes");
        println!("{name} of {batch_size}: {} bytes", encoded.len());
        group.throughput(Throughput::Elements(u64::from(batch_size)));
        group.bench_function(BenchmarkId::new("encode", batch_size), |bencher| {
            bencher.iter(|| postcard::to_stdvec(black_box(&message)));
        });
        group.bench_function(BenchmarkId::new("decode", batch_size), |bencher| {
            bencher.iter(|| postcard::from_bytes::<PeerMessage>(black_box(&encoded)));
        });
    }
    group.finish();
}

fn bench_all(criterion: &mut Criterion) {
    bench_codec(criterion, "submit", submit);
    bench_codec(criterion, "outcomes", outcomes);
}

criterion_group!(benches, bench_all);
criterion_main!(benches);
