//! Shard requests per second through a whole relay, with the processor time of its threads.
//!
//! The relay has a runtime of its own; upstreams that answer at once run beside it in the same process on other threads.
//! `cargo bench -p ebonyfork --bench relay_load`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyfork::declaration::{DeclaredConfig, ServiceEntry};
use ebonyfork::ident::{
    IncarnationNumber, RequestFingerprint, ServiceName, SessionId, ShardNumber, SnapshotVersion,
    UpstreamAddress, VmAddress, ZoneName,
};
use ebonyfork::relay::{
    AttemptPurpose, RelayHandle, RelaySettings, ShardTarget, ShardVerdict, SubmitBatch,
};
use ebonyfork::settings::{ExperimentSwitches, LimitMode};
use ebonyfork::topology::{TopologyView, UpstreamEntry, VmEntry};
use ebonyfork::views::{NodeReadiness, ViewWriters, view_channels};
use ebonyfork::wire::{LinkEvent, LinkSender, PeerMessage, PeerPool, PoolSettings};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const UPSTREAMS: usize = 8;
/// Attempts of one query that go to one relay.
const BATCH: u32 = 4;
/// Queries kept outstanding.
const OUTSTANDING: u64 = 48;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(5);
const RELAY_THREADS: usize = 4;
const RELAY_NAME: &str = "relay-under-test";

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let others = runtime("others", 4);
    let upstreams: Vec<UpstreamAddress> = (0..UPSTREAMS)
        .map(|_| others.block_on(start_upstream()))
        .collect();
    let relay = runtime(RELAY_NAME, RELAY_THREADS);
    relay.block_on(drive(&upstreams));
}

fn runtime(name: &str, threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).thread_name(name);
    builder.enable_all().build().unwrap()
}

async fn start_upstream() -> UpstreamAddress {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = UpstreamAddress(listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _from)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let builder = hyper::server::conn::http1::Builder::new();
            let serving = builder.serve_connection(TokioIo::new(stream), service_fn(answer));
            tokio::spawn(async move {
                let _served = serving.await;
            });
        }
    });
    address
}

async fn answer(request: Request<Incoming>) -> hyper::Result<Response<Full<Bytes>>> {
    request.into_body().collect().await?;
    let body = Bytes::from_static(br#"{"rows":["roof 17","roof 18"]}"#);
    let mut response = Response::new(Full::new(body));
    let version = http::HeaderValue::from_static("17");
    response.headers_mut().insert("x-index-version", version);
    Ok(response)
}

async fn drive(upstreams: &[UpstreamAddress]) {
    let (writers, views) = view_channels();
    publish(&writers, upstreams);
    let done = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let (link, mut finished, _pool) = link(Arc::clone(&done), Arc::clone(&failed)).await;
    let switches = ExperimentSwitches {
        limit: LimitMode::Static,
        ..Default::default()
    };
    let settings = RelaySettings::new(vm(), zone(), views).with_experiment(switches);
    let relay = RelayHandle::start(settings);
    let started = Instant::now();
    let (mut query, mut base) = (0, None);
    while started.elapsed() < WARM_UP + MEASURED {
        if base.is_none() && started.elapsed() >= WARM_UP {
            base = Some((Instant::now(), done.load(Ordering::Relaxed), relay_time()));
        }
        while query * u64::from(BATCH)
            < done.load(Ordering::Relaxed) + OUTSTANDING * u64::from(BATCH)
        {
            let batch = batch(query, upstreams);
            relay.submit(link.clone(), batch).await;
            query += 1;
        }
        finished.recv().await;
    }
    let (since, before, cpu) = base.unwrap();
    let taken = since.elapsed().as_secs_f64();
    let count = (done.load(Ordering::Relaxed) - before) as f64;
    let cpu = relay_time() - cpu;
    println!(
        "{:.0} shard requests/s, {:.2} cores of the relay's threads, {:.1} us each, {} without rows",
        count / taken,
        cpu / taken,
        cpu / count * 1e6,
        failed.load(Ordering::Relaxed)
    );
}

/// A link to the process itself, so that outcomes come back without a socket between.
async fn link(
    done: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
) -> (LinkSender, mpsc::UnboundedReceiver<()>, PeerPool) {
    let (links, mut opened) = mpsc::unbounded_channel();
    let (finish, finished) = mpsc::unbounded_channel();
    let settings = PoolSettings::new(SessionId::new(vm(), IncarnationNumber(1)), 1);
    let pool = PeerPool::new(settings, CancellationToken::new(), move |event| {
        match event {
            LinkEvent::Message {
                message: PeerMessage::Outcomes(batch),
                ..
            } => {
                let rows = |verdict: &ShardVerdict| matches!(verdict, ShardVerdict::Rows { .. });
                let lost = batch
                    .outcomes
                    .iter()
                    .filter(|outcome| !rows(&outcome.verdict));
                failed.fetch_add(lost.count() as u64, Ordering::Relaxed);
                done.fetch_add(batch.outcomes.len() as u64, Ordering::Relaxed);
                let _sent = finish.send(());
            }
            LinkEvent::Message { from, .. } => {
                let _sent = links.send(from);
            }
            LinkEvent::Down { .. } => {}
        }
        Box::pin(std::future::ready(()))
    });
    let hello = PeerMessage::Submit(batch(0, &[]));
    pool.send(vm(), hello).unwrap();
    (opened.recv().await.unwrap(), finished, pool)
}

fn batch(query: u64, upstreams: &[UpstreamAddress]) -> SubmitBatch {
    let target = |number: u32| ShardTarget {
        attempt: number,
        shard: ShardNumber(number),
        upstream: upstreams[(query as usize + number as usize) % upstreams.len()],
        purpose: AttemptPurpose::First,
    };
    let targets = if upstreams.is_empty() { 0 } else { BATCH };
    SubmitBatch {
        query,
        class: "search".parse().unwrap(),
        organisation: "roofers".parse().unwrap(),
        index: "tenders".parse().unwrap(),
        version: SnapshotVersion(17),
        remaining_us: 5_000_000,
        fingerprint: RequestFingerprint(query),
        idempotent: true,
        key: None,
        selection: Bytes::from_static(b"roof"),
        targets: (0..targets).map(target).collect(),
    }
}

fn publish(writers: &ViewWriters, upstreams: &[UpstreamAddress]) {
    let own = VmEntry {
        vm: vm(),
        zone: zone(),
        incarnation: None,
        leaving: false,
    };
    let service: ServiceName = "tender-00".parse().unwrap();
    let entry = |upstream: &UpstreamAddress| UpstreamEntry {
        upstream: *upstream,
        zone: zone(),
        service: service.clone(),
        leaving: false,
    };
    let topology = TopologyView::new([own], upstreams.iter().map(entry));
    let mut config = DeclaredConfig::default();
    let declared = ServiceEntry {
        name: service.clone(),
        connections: 45,
        drain: Duration::from_secs(1),
    };
    config.services.insert(service.clone(), declared);
    writers.config.send_replace(Arc::new(config));
    writers.topology.send_replace(Arc::new(topology));
    writers.readiness.send_replace(NodeReadiness::Ready);
}

fn vm() -> VmAddress {
    "127.0.0.1".parse().unwrap()
}

fn zone() -> ZoneName {
    "zone-a".parse().unwrap()
}

/// Processor time of the relay's threads so far, in seconds.
fn relay_time() -> f64 {
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let path = task.unwrap().path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        // The kernel keeps 15 characters of a thread's name.
        if !RELAY_NAME.starts_with(name.trim()) {
            continue;
        }
        let stat = std::fs::read_to_string(path.join("stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let mut times = fields.split_whitespace().skip(11);
        for _mode in 0..2 {
            ticks += times
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0_u64);
        }
    }
    // The kernel counts in hundredths of a second.
    ticks as f64 / 100.0
}
