//! Cost of the codec between entry and relay, by attempts per batch.

use std::hint::black_box;

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use ebonyfork::ident::{RequestFingerprint, ShardNumber, SnapshotVersion, UpstreamAddress};
use ebonyfork::relay::{
    AttemptPurpose, OutcomeBatch, ShardOutcome, ShardTarget, ShardVerdict, SubmitBatch,
};
use ebonyfork::wire::PeerMessage;

const SIZES: [u32; 4] = [1, 4, 21, 210];
const SELECTION_BYTES: usize = 200;
const ROWS_BYTES: usize = 300;

fn upstream(number: u32) -> UpstreamAddress {
    UpstreamAddress(([10, 0, (number >> 8) as u8, number as u8], 8080).into())
}

fn submit(targets: u32) -> PeerMessage {
    let class = "tender-search".parse().expect("a valid name");
    let selection = Bytes::from(vec![b'x'; SELECTION_BYTES]);
    let target = |attempt| ShardTarget {
        attempt,
        shard: ShardNumber(attempt),
        upstream: upstream(attempt),
        purpose: AttemptPurpose::First,
    };
    PeerMessage::Submit(SubmitBatch {
        query: 1_000_000,
        fingerprint: RequestFingerprint::new(&class, &selection),
        class,
        customer: "roofers-of-tartu".parse().expect("a valid name"),
        index: "tenders".parse().expect("a valid name"),
        version: SnapshotVersion(17),
        remaining_us: 300_000,
        idempotent: true,
        key: None,
        selection,
        targets: (0..targets).map(target).collect(),
    })
}

fn outcomes(count: u32) -> PeerMessage {
    let outcome = |attempt| ShardOutcome {
        query: 1_000_000,
        attempt,
        upstream: upstream(attempt),
        verdict: ShardVerdict::Rows {
            version: SnapshotVersion(17),
            body: Bytes::from(vec![b'r'; ROWS_BYTES]),
        },
        waited_us: 900,
        served_us: 10_000,
    };
    let outcomes = (0..count).map(outcome).collect();
    PeerMessage::Outcomes(OutcomeBatch {
        outcomes,
        ..OutcomeBatch::default()
    })
}

fn bench_codec(criterion: &mut Criterion, name: &str, message: impl Fn(u32) -> PeerMessage) {
    let mut group = criterion.benchmark_group(name);
    for size in SIZES {
        let message = message(size);
        let encoded = postcard::to_stdvec(&message).expect("a message encodes");
        println!("{name} of {size}: {} bytes", encoded.len());
        group.throughput(Throughput::Elements(u64::from(size)));
        group.bench_function(BenchmarkId::new("encode", size), |bencher| {
            bencher.iter(|| postcard::to_stdvec(black_box(&message)));
        });
        group.bench_function(BenchmarkId::new("decode", size), |bencher| {
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
