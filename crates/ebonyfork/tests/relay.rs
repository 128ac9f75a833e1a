//! The relay against a small HTTP server on loopback.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use ebonyfork::declaration::{DeclaredConfig, ServiceEntry};
use ebonyfork::ident::{
    IncarnationNumber, RequestFingerprint, RunState, ServiceName, SessionId, ShardNumber,
    SnapshotVersion, UpstreamAddress, VmAddress,
};
use ebonyfork::relay::{
    AttemptPurpose, CancelBatch, FailureReason, RefusalReason, RelayHandle, RelaySettings,
    ShardOutcome, ShardTarget, ShardVerdict, SubmitBatch, UpstreamLoss,
};
use ebonyfork::topology::{TopologyView, UpstreamEntry, VmEntry};
use ebonyfork::views::{NodeReadiness, ViewWriters, view_channels};
use ebonyfork::wire::{LinkEvent, LinkSender, PeerMessage, PeerPool, PoolSettings};
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// What the server has seen: paths in order, and connections accepted.
#[derive(Debug, Default)]
struct SeenCalls {
    paths: Vec<String>,
    headers: Vec<http::HeaderMap>,
    connections: usize,
}

/// An upstream whose answer is chosen by the shard's number.
struct FakeUpstream {
    address: UpstreamAddress,
    seen: Arc<Mutex<SeenCalls>>,
}

impl FakeUpstream {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = UpstreamAddress(listener.local_addr().unwrap());
        let seen = Arc::new(Mutex::new(SeenCalls::default()));
        tokio::spawn(accept_all(listener, Arc::clone(&seen)));
        Self { address, seen }
    }

    fn paths(&self) -> Vec<String> {
        self.seen.lock().unwrap().paths.clone()
    }
}

async fn accept_all(listener: TcpListener, seen: Arc<Mutex<SeenCalls>>) {
    while let Ok((stream, _from)) = listener.accept().await {
        seen.lock().unwrap().connections += 1;
        let seen = Arc::clone(&seen);
        let service = service_fn(move |request| answer(request, Arc::clone(&seen)));
        tokio::spawn(async move {
            let builder = hyper::server::conn::http1::Builder::new();
            // A broken connection is what some cases are about.
            let _served = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

#[derive(Debug)]
struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for CloseConnection {}

async fn answer(
    request: Request<Incoming>,
    seen: Arc<Mutex<SeenCalls>>,
) -> std::result::Result<Response<Full<Bytes>>, CloseConnection> {
    let path = request.uri().path().to_owned();
    if path == "/v1/status" {
        return Ok(reply(200, &[], r#"{"state":"ready","load":0.0}"#));
    }
    note_call(&seen, &request);
    let version = ("x-index-version", "17");
    let rows = r#"{"rows":["a"]}"#;
    match path.rsplit('/').next().unwrap_or_default() {
        "0" => Ok(reply(200, &[version], rows)),
        "1" => Ok(reply(409, &[("x-index-version", "18")], "")),
        "2" => Ok(reply(421, &[("x-moved-to", "notice-01")], "")),
        "3" => Ok(reply(503, &[("x-not-run", "1")], "")),
        "4" => Ok(reply(500, &[], "")),
        "5" => Err(CloseConnection),
        "6" => std::future::pending().await,
        "7" => Ok(reply(200, &[("x-index-version", "16")], rows)),
        "8" => Ok(reply(200, &[version, ("x-draining", "1")], rows)),
        "9" => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Ok(reply(200, &[version], rows))
        }
        _ => Ok(reply(204, &[], "")),
    }
}

fn note_call(seen: &Mutex<SeenCalls>, request: &Request<Incoming>) {
    let mut seen = seen.lock().unwrap();
    seen.paths.push(request.uri().path().to_owned());
    seen.headers.push(request.headers().clone());
}

fn reply(status: u16, headers: &[(&str, &str)], body: &str) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap()
}

/// A relay with its link and views.
struct RelayBench {
    relay: RelayHandle,
    link: LinkSender,
    outcomes: mpsc::UnboundedReceiver<ShardOutcome>,
    losses: Arc<Mutex<Vec<UpstreamLoss>>>,
    leaving: Arc<Mutex<Vec<UpstreamAddress>>>,
    _writers: ViewWriters,
    _pool: PeerPool,
}

fn vm() -> VmAddress {
    "127.0.0.1".parse().unwrap()
}

fn publish(writers: &ViewWriters, upstream: UpstreamAddress) {
    let own = VmEntry {
        vm: vm(),
        zone: "zone-a".parse().unwrap(),
        incarnation: None,
        leaving: false,
    };
    let service: ServiceName = "tender-00".parse().unwrap();
    let entry = UpstreamEntry {
        upstream,
        zone: "zone-a".parse().unwrap(),
        service: service.clone(),
        leaving: false,
    };
    let mut config = DeclaredConfig::default();
    let declared = ServiceEntry {
        name: service.clone(),
        connections: 25,
        drain: Duration::from_secs(1),
    };
    config.services.insert(service, declared);
    writers.config.send_replace(Arc::new(config));
    let topology = TopologyView::new([own], [entry]);
    writers.topology.send_replace(Arc::new(topology));
    writers.readiness.send_replace(NodeReadiness::Ready);
}

/// A link of the process to itself: what is sent back on it comes out of the handler.
async fn local_link() -> (PeerPool, LinkSender, mpsc::UnboundedReceiver<PeerMessage>) {
    let (events, mut seen) = mpsc::unbounded_channel();
    let settings = PoolSettings::new(SessionId::new(vm(), IncarnationNumber(1)), 1);
    let pool = PeerPool::new(settings, CancellationToken::new(), move |event| {
        let _sent = events.send(event);
        Box::pin(std::future::ready(()))
    });
    let cancel = CancelBatch {
        query: 0,
        attempts: smallvec::smallvec![],
    };
    pool.send(vm(), PeerMessage::Cancel(cancel)).unwrap();
    let Some(LinkEvent::Message { from, .. }) = seen.recv().await else {
        panic!("no link");
    };
    let (messages, back) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(LinkEvent::Message { message, .. }) = seen.recv().await {
            let _sent = messages.send(message);
        }
    });
    (pool, from, back)
}

impl RelayBench {
    async fn start(upstream: UpstreamAddress) -> Self {
        let (writers, views) = view_channels();
        publish(&writers, upstream);
        let (pool, link, mut messages) = local_link().await;
        let losses = Arc::new(Mutex::new(Vec::new()));
        let leaving = Arc::new(Mutex::new(Vec::new()));
        let (lost, left) = (Arc::clone(&losses), Arc::clone(&leaving));
        let settings = RelaySettings::new(vm(), "zone-a".parse().unwrap(), views)
            .with_quarantine(
                |fingerprint| fingerprint.0 == 666,
                move |loss| lost.lock().unwrap().push(loss),
            )
            .with_leaving_report(move |upstream| left.lock().unwrap().push(upstream));
        let relay = RelayHandle::start(settings);
        let (sender, outcomes) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(message) = messages.recv().await {
                let PeerMessage::Outcomes(batch) = message else {
                    continue;
                };
                for outcome in batch.outcomes {
                    let _sent = sender.send(outcome);
                }
            }
        });
        Self {
            relay,
            link,
            outcomes,
            losses,
            leaving,
            _writers: writers,
            _pool: pool,
        }
    }

    async fn submit(
        &self,
        query: u64,
        upstream: UpstreamAddress,
        shards: &[u32],
        within: Duration,
    ) {
        let batch = batch(query, upstream, shards, within);
        self.relay.submit(self.link.clone(), batch).await;
    }

    async fn outcomes(&mut self, count: usize) -> BTreeMap<u32, ShardVerdict> {
        let mut verdicts = BTreeMap::new();
        while verdicts.len() < count {
            let outcome = self.outcomes.recv().await.unwrap();
            let twin = verdicts.insert(outcome.attempt, outcome.verdict);
            assert_eq!(twin, None, "attempt {} came back twice", outcome.attempt);
        }
        verdicts
    }
}

fn batch(query: u64, upstream: UpstreamAddress, shards: &[u32], within: Duration) -> SubmitBatch {
    let target = |shard: &u32| ShardTarget {
        attempt: *shard,
        shard: ShardNumber(*shard),
        upstream,
        purpose: AttemptPurpose::First,
    };
    SubmitBatch {
        query,
        class: "search".parse().unwrap(),
        organisation: "roofers".parse().unwrap(),
        index: "tenders".parse().unwrap(),
        version: SnapshotVersion(17),
        remaining_us: within.as_micros() as u64,
        fingerprint: RequestFingerprint(query),
        idempotent: true,
        key: None,
        selection: Bytes::from_static(b"roof"),
        targets: shards.iter().map(target).collect(),
    }
}

const SOON: Duration = Duration::from_secs(5);

fn rows(version: u64) -> ShardVerdict {
    ShardVerdict::Rows {
        version: SnapshotVersion(version),
        body: Bytes::from_static(br#"{"rows":["a"]}"#),
    }
}

fn unknown(reason: FailureReason) -> ShardVerdict {
    let ran = RunState::Unknown;
    ShardVerdict::Failed { ran, reason }
}

#[gtest]
#[tokio::test]
async fn each_answer_gets_its_verdict() {
    let upstream = FakeUpstream::start().await;
    let mut bench = RelayBench::start(upstream.address).await;
    let shards = [0, 1, 2, 3, 4, 5, 7];
    bench.submit(1, upstream.address, &shards, SOON).await;
    let verdicts = bench.outcomes(shards.len()).await;
    expect_that!(verdicts[&0], eq(&rows(17)));
    let newest = SnapshotVersion(18);
    expect_that!(verdicts[&1], eq(&ShardVerdict::VersionGone { newest }));
    let service = "notice-01".parse().unwrap();
    expect_that!(verdicts[&2], eq(&ShardVerdict::Moved { service }));
    expect_that!(verdicts[&3], eq(&ShardVerdict::NotRun(RefusalReason::Shed)));
    expect_that!(verdicts[&4], eq(&unknown(FailureReason::Status)));
    expect_that!(verdicts[&5], eq(&unknown(FailureReason::Broken)));
    expect_that!(verdicts[&7], eq(&rows(16)));
    expect_that!(bench.losses.lock().unwrap().len(), eq(1));
    expect_that!(bench.relay.in_flight(), eq(0));
    let seen = upstream.seen.lock().unwrap();
    expect_that!(
        seen.headers[0]["x-attempt"].to_str().unwrap(),
        eq("127.0.0.1-1.q1.a0")
    );
    expect_that!(
        seen.headers[0]["x-index-version"].to_str().unwrap(),
        eq("17")
    );
}

#[gtest]
#[tokio::test]
async fn connections_are_reused_and_bounded() {
    let upstream = FakeUpstream::start().await;
    let mut bench = RelayBench::start(upstream.address).await;
    for query in 0..20 {
        bench.submit(query, upstream.address, &[0, 9], SOON).await;
        bench.outcomes(2).await;
    }
    expect_that!(upstream.seen.lock().unwrap().connections, le(7));
}

#[gtest]
#[tokio::test]
async fn cancelled_and_overdue_attempts_end_at_once() {
    let upstream = FakeUpstream::start().await;
    let mut bench = RelayBench::start(upstream.address).await;
    let within = Duration::from_millis(60);
    bench.submit(1, upstream.address, &[6], SOON).await;
    while upstream.paths().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let cancel = CancelBatch {
        query: 1,
        attempts: smallvec::smallvec![6],
    };
    bench.relay.cancel(&bench.link, cancel).await;
    let verdicts = bench.outcomes(1).await;
    expect_that!(verdicts[&6], eq(&unknown(FailureReason::Cancelled)));
    let cancelled = "/v1/cancel/127.0.0.1-1.q1.a6".to_owned();
    while !upstream.paths().contains(&cancelled) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let calls = upstream
        .paths()
        .iter()
        .filter(|path| **path == cancelled)
        .count();
    expect_that!(calls, eq(1));
    bench.submit(2, upstream.address, &[6], within).await;
    let verdicts = bench.outcomes(1).await;
    expect_that!(verdicts[&6], eq(&unknown(FailureReason::Timeout)));
}

#[gtest]
#[tokio::test]
async fn refusals_are_truthful() {
    let upstream = FakeUpstream::start().await;
    let mut bench = RelayBench::start(upstream.address).await;
    let stranger = "127.0.0.1:1".parse().unwrap();
    bench.submit(1, stranger, &[0], SOON).await;
    let verdict = bench.outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Leaving)))
    );
    bench.submit(666, upstream.address, &[0], SOON).await;
    let verdict = bench.outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Quarantined)))
    );
    bench.submit(2, upstream.address, &[8], SOON).await;
    expect_that!(bench.outcomes(1).await.remove(&8), eq(&Some(rows(17))));
    bench.submit(3, upstream.address, &[0], SOON).await;
    let verdict = bench.outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Leaving)))
    );
    expect_that!(*bench.leaving.lock().unwrap(), eq(&vec![upstream.address]));
    expect_that!(upstream.paths().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn refused_connection_is_not_run() {
    // An address that no other test listens on, so that nobody takes the port once it is free.
    let closed = TcpListener::bind("127.0.0.91:0").await.unwrap();
    let address = UpstreamAddress(closed.local_addr().unwrap());
    drop(closed);
    let mut bench = RelayBench::start(address).await;
    bench.submit(1, address, &[0], SOON).await;
    let verdict = bench.outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Unreachable)))
    );
}

/// An upstream beyond its connection limit accepts and closes at once: that is no crash, and nothing ran.
#[gtest]
#[tokio::test]
async fn connection_closed_at_once_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = UpstreamAddress(listener.local_addr().unwrap());
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let mut bench = RelayBench::start(address).await;
    bench.submit(1, address, &[0], SOON).await;
    let verdict = bench.outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Unreachable)))
    );
    expect_that!(bench.losses.lock().unwrap().len(), eq(0));
}
