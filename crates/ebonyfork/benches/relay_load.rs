//! Measures the shard requests per second through a whole relay, and the processor time of its threads.
//!
//! The relay has its own runtime. Upstreams that answer at once run in the same process, on other threads.
//! Run it with `cargo bench -p ebonyfork --bench relay_load`.

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

const UPSTREAM_COUNT: usize = 8;
/// Number of attempts in the batch of one query.
const ATTEMPTS_PER_BATCH: u32 = 4;
/// Number of queries in flight at any time.
const QUERIES_IN_FLIGHT: u64 = 48;
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// Length of the measurement after the warm-up.
const MEASURE_TIME: Duration = Duration::from_secs(5);
const RELAY_THREADS: usize = 4;
/// Name of the relay's threads.
const RELAY_THREAD_NAME: &str = "relay-under-test";

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let upstream_runtime = runtime("others", 4);
    let upstreams: Vec<UpstreamAddress> = (0..UPSTREAM_COUNT)
        .map(|_| upstream_runtime.block_on(start_upstream()))
        .collect();
    let relay = runtime(RELAY_THREAD_NAME, RELAY_THREADS);
    relay.block_on(measure(&upstreams));
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

async fn measure(upstreams: &[UpstreamAddress]) {
    let (writers, views) = view_channels();
    publish_views(&writers, upstreams);
    let finished_attempts = Arc::new(AtomicU64::new(0));
    let attempts_without_rows = Arc::new(AtomicU64::new(0));
    let (link, mut outcome_events, _pool) = open_local_link(
        Arc::clone(&finished_attempts),
        Arc::clone(&attempts_without_rows),
    )
    .await;
    let switches = ExperimentSwitches {
        limit: LimitMode::Static,
        ..Default::default()
    };
    let settings = RelaySettings::new(own_vm(), own_zone(), views).with_experiment(switches);
    let relay = RelayHandle::start(settings);
    let started = Instant::now();
    let (mut query, mut measurement_start) = (0, None);
    while started.elapsed() < WARM_UP_TIME + MEASURE_TIME {
        if measurement_start.is_none() && started.elapsed() >= WARM_UP_TIME {
            measurement_start = Some((
                Instant::now(),
                finished_attempts.load(Ordering::Relaxed),
                relay_cpu_seconds(),
            ));
        }
        while query * u64::from(ATTEMPTS_PER_BATCH)
            < finished_attempts.load(Ordering::Relaxed)
                + QUERIES_IN_FLIGHT * u64::from(ATTEMPTS_PER_BATCH)
        {
            let batch = batch(query, upstreams);
            relay.submit(link.clone(), batch).await;
            query += 1;
        }
        outcome_events.recv().await;
    }
    let (started_measuring, attempts_before, cpu_s) = measurement_start.unwrap();
    let elapsed_s = started_measuring.elapsed().as_secs_f64();
    let attempt_count = (finished_attempts.load(Ordering::Relaxed) - attempts_before) as f64;
    let cpu_s = relay_cpu_seconds() - cpu_s;
    println!(
        "{:.0} shard requests/s, {:.2} cores of the relay's threads, {:.1} us each, {} without rows",
        attempt_count / elapsed_s,
        cpu_s / elapsed_s,
        cpu_s / attempt_count * 1e6,
        attempts_without_rows.load(Ordering::Relaxed)
    );
}

/// Opens a link from the process to itself, so that outcomes come back without a socket.
async fn open_local_link(
    finished_attempts: Arc<AtomicU64>,
    attempts_without_rows: Arc<AtomicU64>,
) -> (LinkSender, mpsc::UnboundedReceiver<()>, PeerPool) {
    let (link_sender, mut opened_links) = mpsc::unbounded_channel();
    let (outcome_sender, outcome_events) = mpsc::unbounded_channel();
    let settings = PoolSettings::new(SessionId::new(own_vm(), IncarnationNumber(1)), 1);
    let pool = PeerPool::new(settings, CancellationToken::new(), move |event| {
        match event {
            LinkEvent::Message {
                message: PeerMessage::Outcomes(batch),
                ..
            } => {
                let has_rows =
                    |verdict: &ShardVerdict| matches!(verdict, ShardVerdict::Rows { .. });
                let without_rows = batch
                    .outcomes
                    .iter()
                    .filter(|outcome| !has_rows(&outcome.verdict));
                attempts_without_rows.fetch_add(without_rows.count() as u64, Ordering::Relaxed);
                finished_attempts.fetch_add(batch.outcomes.len() as u64, Ordering::Relaxed);
                let _sent = outcome_sender.send(());
            }
            LinkEvent::Message { from, .. } => {
                let _sent = link_sender.send(from);
            }
            LinkEvent::Down { .. } => {}
        }
        Box::pin(std::future::ready(()))
    });
    let first_message = PeerMessage::Submit(batch(0, &[]));
    pool.send(own_vm(), first_message).unwrap();
    (opened_links.recv().await.unwrap(), outcome_events, pool)
}

fn batch(query: u64, upstreams: &[UpstreamAddress]) -> SubmitBatch {
    let target = |number: u32| ShardTarget {
        attempt: number,
        shard: ShardNumber(number),
        upstream: upstreams[(query as usize + number as usize) % upstreams.len()],
        purpose: AttemptPurpose::First,
    };
    let targets = if upstreams.is_empty() {
        0
    } else {
        ATTEMPTS_PER_BATCH
    };
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

fn publish_views(writers: &ViewWriters, upstreams: &[UpstreamAddress]) {
    let vm_entry = VmEntry {
        vm: own_vm(),
        zone: own_zone(),
        incarnation: None,
        leaving: false,
    };
    let service: ServiceName = "tender-00".parse().unwrap();
    let entry = |upstream: &UpstreamAddress| UpstreamEntry {
        upstream: *upstream,
        zone: own_zone(),
        service: service.clone(),
        leaving: false,
    };
    let topology = TopologyView::new([vm_entry], upstreams.iter().map(entry));
    let mut config = DeclaredConfig::default();
    let service_entry = ServiceEntry {
        name: service.clone(),
        connections: 45,
        drain: Duration::from_secs(1),
    };
    config.services.insert(service.clone(), service_entry);
    writers.config.send_replace(Arc::new(config));
    writers.topology.send_replace(Arc::new(topology));
    writers.readiness.send_replace(NodeReadiness::Ready);
}

fn own_vm() -> VmAddress {
    "127.0.0.1".parse().unwrap()
}

fn own_zone() -> ZoneName {
    "zone-a".parse().unwrap()
}

/// Returns the processor time that the relay's threads have used so far, in seconds.
fn relay_cpu_seconds() -> f64 {
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let path = task.unwrap().path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        // The kernel truncates thread names to 15 characters.
        if !RELAY_THREAD_NAME.starts_with(name.trim()) {
            continue;
        }
        let stat = std::fs::read_to_string(path.join("stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let mut cpu_times = fields.split_whitespace().skip(11);
        for _mode in 0..2 {
            ticks += cpu_times
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0_u64);
        }
    }
    // The kernel reports ticks of 1/100 s.
    ticks as f64 / 100.0
}
