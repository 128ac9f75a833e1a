//! Tests of the relay against a fake upstream, a small HTTP server on loopback.

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

/// Requests and connections that a [`FakeUpstream`] has received.
#[derive(Debug, Default)]
struct ReceivedRequests {
    /// Paths of the requests, in order of arrival.
    paths: Vec<String>,
    headers: Vec<http::HeaderMap>,
    /// Number of accepted connections.
    connections: usize,
}

/// An upstream that answers each shard request according to the shard's number.
struct FakeUpstream {
    address: UpstreamAddress,
    received: Arc<Mutex<ReceivedRequests>>,
}

impl FakeUpstream {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = UpstreamAddress(listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(ReceivedRequests::default()));
        tokio::spawn(accept_all(listener, Arc::clone(&received)));
        Self { address, received }
    }

    fn paths(&self) -> Vec<String> {
        self.received.lock().unwrap().paths.clone()
    }
}

async fn accept_all(listener: TcpListener, received: Arc<Mutex<ReceivedRequests>>) {
    while let Ok((stream, _from)) = listener.accept().await {
        received.lock().unwrap().connections += 1;
        let received = Arc::clone(&received);
        let service = service_fn(move |request| answer_request(request, Arc::clone(&received)));
        tokio::spawn(async move {
            let builder = hyper::server::conn::http1::Builder::new();
            // Some tests break the connection on purpose.
            let _served = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Error that makes the server close the connection without an answer.
#[derive(Debug)]
struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for CloseConnection {}

async fn answer_request(
    request: Request<Incoming>,
    received: Arc<Mutex<ReceivedRequests>>,
) -> std::result::Result<Response<Full<Bytes>>, CloseConnection> {
    let path = request.uri().path().to_owned();
    if path == "/v1/status" {
        return Ok(build_response(200, &[], r#"{"state":"ready","load":0.0}"#));
    }
    record_request(&received, &request);
    let version = ("x-index-version", "17");
    let rows = r#"{"rows":["a"]}"#;
    match path.rsplit('/').next().unwrap_or_default() {
        "0" => Ok(build_response(200, &[version], rows)),
        "1" => Ok(build_response(409, &[("x-index-version", "18")], "")),
        "2" => Ok(build_response(421, &[("x-moved-to", "notice-01")], "")),
        "3" => Ok(build_response(503, &[("x-not-run", "1")], "")),
        "4" => Ok(build_response(500, &[], "")),
        "5" => Err(CloseConnection),
        "6" => std::future::pending().await,
        "7" => Ok(build_response(200, &[("x-index-version", "16")], rows)),
        "8" => Ok(build_response(200, &[version, ("x-draining", "1")], rows)),
        "9" => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Ok(build_response(200, &[version], rows))
        }
        _ => Ok(build_response(204, &[], "")),
    }
}

fn record_request(received: &Mutex<ReceivedRequests>, request: &Request<Incoming>) {
    let mut received = received.lock().unwrap();
    received.paths.push(request.uri().path().to_owned());
    received.headers.push(request.headers().clone());
}

fn build_response(status: u16, headers: &[(&str, &str)], body: &str) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap()
}

/// A relay with the link that it answers on, and everything it has reported.
struct TestRelay {
    handle: RelayHandle,
    link: LinkSender,
    outcomes: mpsc::UnboundedReceiver<ShardOutcome>,
    losses: Arc<Mutex<Vec<UpstreamLoss>>>,
    leaving: Arc<Mutex<Vec<UpstreamAddress>>>,
    _writers: ViewWriters,
    _pool: PeerPool,
}

fn own_vm() -> VmAddress {
    "127.0.0.1".parse().unwrap()
}

fn publish_views(writers: &ViewWriters, upstream: UpstreamAddress) {
    let vm_entry = VmEntry {
        vm: own_vm(),
        zone: "zone-a".parse().unwrap(),
        incarnation: None,
        leaving: false,
    };
    let service: ServiceName = "tender-00".parse().unwrap();
    let upstream_entry = UpstreamEntry {
        upstream,
        zone: "zone-a".parse().unwrap(),
        service: service.clone(),
        leaving: false,
    };
    let mut config = DeclaredConfig::default();
    let service_entry = ServiceEntry {
        name: service.clone(),
        connections: 25,
        drain: Duration::from_secs(1),
    };
    config.services.insert(service, service_entry);
    writers.config.send_replace(Arc::new(config));
    let topology = TopologyView::new([vm_entry], [upstream_entry]);
    writers.topology.send_replace(Arc::new(topology));
    writers.readiness.send_replace(NodeReadiness::Ready);
}

/// Opens a link from the process to itself; returns it with the messages that arrive on it.
async fn local_link() -> (PeerPool, LinkSender, mpsc::UnboundedReceiver<PeerMessage>) {
    let (events, mut received) = mpsc::unbounded_channel();
    let settings = PoolSettings::new(SessionId::new(own_vm(), IncarnationNumber(1)), 1);
    let pool = PeerPool::new(settings, CancellationToken::new(), move |event| {
        let _sent = events.send(event);
        Box::pin(std::future::ready(()))
    });
    let cancel = CancelBatch {
        query: 0,
        attempts: smallvec::smallvec![],
    };
    pool.send(own_vm(), PeerMessage::Cancel(cancel)).unwrap();
    let Some(LinkEvent::Message { from, .. }) = received.recv().await else {
        panic!("the link delivered no message");
    };
    let (messages, incoming) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(LinkEvent::Message { message, .. }) = received.recv().await {
            let _sent = messages.send(message);
        }
    });
    (pool, from, incoming)
}

impl TestRelay {
    async fn start(upstream: UpstreamAddress) -> Self {
        let (writers, views) = view_channels();
        publish_views(&writers, upstream);
        let (pool, link, mut messages) = local_link().await;
        let losses = Arc::new(Mutex::new(Vec::new()));
        let leaving = Arc::new(Mutex::new(Vec::new()));
        let (loss_sink, leaving_sink) = (Arc::clone(&losses), Arc::clone(&leaving));
        let settings = RelaySettings::new(own_vm(), "zone-a".parse().unwrap(), views)
            .with_quarantine(
                |fingerprint| fingerprint.0 == 666,
                move |loss| loss_sink.lock().unwrap().push(loss),
            )
            .with_leaving_report(move |upstream| leaving_sink.lock().unwrap().push(upstream));
        let handle = RelayHandle::start(settings);
        let (sender, outcomes) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(message) = messages.recv().await {
                let PeerMessage::Outcomes(outcome_batch) = message else {
                    continue;
                };
                for outcome in outcome_batch.outcomes {
                    let _sent = sender.send(outcome);
                }
            }
        });
        Self {
            handle,
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
        timeout: Duration,
    ) {
        let submit_batch = submit_batch(query, upstream, shards, timeout);
        self.handle.submit(self.link.clone(), submit_batch).await;
    }

    async fn wait_for_outcomes(&mut self, count: usize) -> BTreeMap<u32, ShardVerdict> {
        let mut verdicts = BTreeMap::new();
        while verdicts.len() < count {
            let outcome = self.outcomes.recv().await.unwrap();
            let previous = verdicts.insert(outcome.attempt, outcome.verdict);
            assert_eq!(
                previous, None,
                "attempt {} has two outcomes",
                outcome.attempt
            );
        }
        verdicts
    }
}

fn submit_batch(
    query: u64,
    upstream: UpstreamAddress,
    shards: &[u32],
    timeout: Duration,
) -> SubmitBatch {
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
        remaining_us: timeout.as_micros() as u64,
        fingerprint: RequestFingerprint(query),
        idempotent: true,
        key: None,
        selection: Bytes::from_static(b"roof"),
        targets: shards.iter().map(target).collect(),
    }
}

/// Time limit that no attempt reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(5);

fn rows_verdict(version: u64) -> ShardVerdict {
    ShardVerdict::Rows {
        version: SnapshotVersion(version),
        body: Bytes::from_static(br#"{"rows":["a"]}"#),
    }
}

fn unknown_failure(reason: FailureReason) -> ShardVerdict {
    let ran = RunState::Unknown;
    ShardVerdict::Failed { ran, reason }
}

#[gtest]
#[tokio::test]
async fn each_upstream_answer_gets_its_verdict() {
    let upstream = FakeUpstream::start().await;
    let mut relay = TestRelay::start(upstream.address).await;
    let shards = [0, 1, 2, 3, 4, 5, 7];
    relay
        .submit(1, upstream.address, &shards, LONG_TIMEOUT)
        .await;
    let verdicts = relay.wait_for_outcomes(shards.len()).await;
    expect_that!(verdicts[&0], eq(&rows_verdict(17)));
    let newest = SnapshotVersion(18);
    expect_that!(verdicts[&1], eq(&ShardVerdict::VersionGone { newest }));
    let service = "notice-01".parse().unwrap();
    expect_that!(verdicts[&2], eq(&ShardVerdict::Moved { service }));
    expect_that!(verdicts[&3], eq(&ShardVerdict::NotRun(RefusalReason::Shed)));
    expect_that!(verdicts[&4], eq(&unknown_failure(FailureReason::Status)));
    expect_that!(verdicts[&5], eq(&unknown_failure(FailureReason::Broken)));
    expect_that!(verdicts[&7], eq(&rows_verdict(16)));
    expect_that!(relay.losses.lock().unwrap().len(), eq(1));
    expect_that!(relay.handle.in_flight(), eq(0));
    let received = upstream.received.lock().unwrap();
    expect_that!(
        received.headers[0]["x-attempt"].to_str().unwrap(),
        eq("127.0.0.1-1.q1.a0")
    );
    expect_that!(
        received.headers[0]["x-index-version"].to_str().unwrap(),
        eq("17")
    );
}

#[gtest]
#[tokio::test]
async fn connections_are_reused_and_bounded() {
    let upstream = FakeUpstream::start().await;
    let mut relay = TestRelay::start(upstream.address).await;
    for query in 0..20 {
        relay
            .submit(query, upstream.address, &[0, 9], LONG_TIMEOUT)
            .await;
        relay.wait_for_outcomes(2).await;
    }
    expect_that!(upstream.received.lock().unwrap().connections, le(7));
}

#[gtest]
#[tokio::test]
async fn cancelled_and_timed_out_attempts_end_at_once() {
    let upstream = FakeUpstream::start().await;
    let mut relay = TestRelay::start(upstream.address).await;
    let timeout = Duration::from_millis(60);
    relay.submit(1, upstream.address, &[6], LONG_TIMEOUT).await;
    while upstream.paths().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let cancel = CancelBatch {
        query: 1,
        attempts: smallvec::smallvec![6],
    };
    relay.handle.cancel(&relay.link, cancel).await;
    let verdicts = relay.wait_for_outcomes(1).await;
    expect_that!(verdicts[&6], eq(&unknown_failure(FailureReason::Cancelled)));
    let cancel_path = "/v1/cancel/127.0.0.1-1.q1.a6".to_owned();
    while !upstream.paths().contains(&cancel_path) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let cancel_count = upstream
        .paths()
        .iter()
        .filter(|path| **path == cancel_path)
        .count();
    expect_that!(cancel_count, eq(1));
    relay.submit(2, upstream.address, &[6], timeout).await;
    let verdicts = relay.wait_for_outcomes(1).await;
    expect_that!(verdicts[&6], eq(&unknown_failure(FailureReason::Timeout)));
}

#[gtest]
#[tokio::test]
async fn refused_attempts_are_not_sent_to_the_upstream() {
    let upstream = FakeUpstream::start().await;
    let mut relay = TestRelay::start(upstream.address).await;
    let unknown_upstream = "127.0.0.1:1".parse().unwrap();
    relay.submit(1, unknown_upstream, &[0], LONG_TIMEOUT).await;
    let verdict = relay.wait_for_outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Leaving)))
    );
    relay
        .submit(666, upstream.address, &[0], LONG_TIMEOUT)
        .await;
    let verdict = relay.wait_for_outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Quarantined)))
    );
    relay.submit(2, upstream.address, &[8], LONG_TIMEOUT).await;
    expect_that!(
        relay.wait_for_outcomes(1).await.remove(&8),
        eq(&Some(rows_verdict(17)))
    );
    relay.submit(3, upstream.address, &[0], LONG_TIMEOUT).await;
    let verdict = relay.wait_for_outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Leaving)))
    );
    expect_that!(*relay.leaving.lock().unwrap(), eq(&vec![upstream.address]));
    expect_that!(upstream.paths().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn an_attempt_whose_connection_is_refused_has_not_run() {
    // No other test listens on this address, so no other test takes the port after it is closed.
    let listener = TcpListener::bind("127.0.0.91:0").await.unwrap();
    let address = UpstreamAddress(listener.local_addr().unwrap());
    drop(listener);
    let mut relay = TestRelay::start(address).await;
    relay.submit(1, address, &[0], LONG_TIMEOUT).await;
    let verdict = relay.wait_for_outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Unreachable)))
    );
}

/// An upstream at its connection limit accepts a connection and closes it at once. That is not a crash, and the request
/// did not run.
#[gtest]
#[tokio::test]
async fn an_attempt_whose_connection_is_closed_at_once_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = UpstreamAddress(listener.local_addr().unwrap());
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let mut relay = TestRelay::start(address).await;
    relay.submit(1, address, &[0], LONG_TIMEOUT).await;
    let verdict = relay.wait_for_outcomes(1).await.remove(&0);
    expect_that!(
        verdict,
        eq(&Some(ShardVerdict::NotRun(RefusalReason::Unreachable)))
    );
    expect_that!(relay.losses.lock().unwrap().len(), eq(0));
}
