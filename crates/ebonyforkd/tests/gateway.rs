//! The gateway as a process, with stand-ins of store and upstreams around it.

#[path = "gateway/broken_answers.rs"]
mod broken_answers;
#[path = "gateway/credentials.rs"]
mod credentials;
#[path = "gateway/local.rs"]
mod local;
#[path = "gateway/odd_entries.rs"]
mod odd_entries;
#[path = "gateway/panicking_entries.rs"]
mod panicking_entries;
#[path = "gateway/quotas.rs"]
mod quotas;
#[path = "gateway/readiness.rs"]
mod readiness;
#[path = "gateway/shutdown.rs"]
mod shutdown;
#[path = "gateway/starved.rs"]
mod starved;
#[path = "gateway/supervision.rs"]
mod supervision;
#[path = "gateway/versions.rs"]
mod versions;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use ebonyfork::http_link::HttpLink;
use ebonyfork_stand_in::store_server::StoreServer;
use ebonyfork_stand_in::upstream::{UpstreamFaults, UpstreamServer};
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::Instant;

/// Longest wait for a process to do what it should; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longest answer, in bytes.
const LIMIT: usize = 1 << 20;

/// A folder that goes when it is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let id = std::process::id();
        let path = std::env::temp_dir().join(format!("ebonyfork-{name}-{id}"));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _left = std::fs::remove_dir_all(&self.0);
    }
}

struct GatewayProcess {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    _folder: TestFolder,
}

/// Starts a gateway on an address of its own, so that fixed ports don't meet those of other tests, nor those of a soak on this
/// machine, which takes loopback networks from 10 to 209: on one of these a soak's VMs answered for the gateways of six tests.
fn start_gateway(name: &str, address: &str, store: SocketAddr) -> GatewayProcess {
    start_gateway_for(name, address, store, Duration::from_secs(4))
}

/// Like [`start_gateway`], with the time that a planned stop may take.
fn start_gateway_for(
    name: &str,
    address: &str,
    store: SocketAddr,
    grace: Duration,
) -> GatewayProcess {
    start_gateway_with(name, address, store, (grace, "a-1", "a-1 = a"), "")
}

/// Like [`start_gateway`], in a zone of a deployment whose zones are given as lines of the settings.
fn start_gateway_in(
    name: &str,
    address: &str,
    store: SocketAddr,
    (zone, zones): (&str, &str),
) -> GatewayProcess {
    let grace = Duration::from_secs(4);
    start_gateway_with(name, address, store, (grace, zone, zones), "")
}

/// Like [`start_gateway`], with all that differs between tests; `bounds` are further lines of that section.
fn start_gateway_with(
    name: &str,
    address: &str,
    store: SocketAddr,
    (grace, zone, zones): (Duration, &str, &str),
    bounds: &str,
) -> GatewayProcess {
    let folder = TestFolder::new(name);
    let path = folder.0.join("gateway.ini");
    let text = settings_text(name, address, store, (grace, zone, zones)) + bounds;
    std::fs::write(&path, text).expect("written settings");
    let child = Command::new(env!("CARGO_BIN_EXE_ebonyfork-gateway"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("a process");
    let at = |port: u16| format!("{address}:{port}").parse().expect("an address");
    GatewayProcess {
        child,
        callers: at(7100),
        ready: at(7101),
        _folder: folder,
    }
}

/// Returns the settings of a gateway, as text.
fn settings_text(
    name: &str,
    address: &str,
    store: SocketAddr,
    (grace, zone, zones): (Duration, &str, &str),
) -> String {
    let region = zone.split('-').next().unwrap_or_default();
    format!(
        "[node]\nname = {name}\naddress = {address}\nzone = {zone}\nregion = {region}\ncpu-share = 1\ncpu-cores = 1\n\
         [zones]\n{zones}\n[listen]\ncallers = {address}:7100\nready = {address}:7101\n\
         directory = {address}:7102\nmetrics = {address}:7103\npeer-port = 7104\n\
         [store]\naddress = {store}\n[bounds]\ngrace-s = {}\nconfig-in-force-ms = 3000\nretry-ratio = 0.2\nretry-slack = 54\n\
         retry-window-s = 10\n",
        grace.as_secs()
    )
}

/// Starts a planned stop.
fn terminate(gateway: &GatewayProcess) {
    let id = gateway.child.id().expect("a running process") as i32;
    // SAFETY: `kill` takes two integers; the child has not been waited for, so the id is its own.
    let sent = unsafe { libc::kill(id, libc::SIGTERM) };
    assert_eq!(sent, 0, "the signal was not sent");
}

async fn get(address: SocketAddr, target: &str, id: &str) -> Option<Response<bytes::Bytes>> {
    get_with(address, target, id, &[]).await
}

/// Like [`get`], with more headers.
async fn get_with(
    address: SocketAddr,
    target: &str,
    id: &str,
    headers: &[(&str, &str)],
) -> Option<Response<bytes::Bytes>> {
    let mut link = HttpLink::open(address, Duration::from_secs(1)).await.ok()?;
    let mut request = Request::get(target)
        .header("host", "t.example")
        .header("request-id", id)
        .header("deadline-ms", "5000");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::default()).ok()?;
    link.exchange(request, LIMIT).await.ok()
}

/// Asks again until an answer has the wanted status.
async fn wait_status(address: SocketAddr, target: &str, status: u16) {
    let waiting = async {
        let mut number = 0;
        loop {
            number += 1;
            let answer = get(address, target, &format!("wait{number}")).await;
            if answer.is_some_and(|answer| answer.status() == status) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "no {status} from {address}{target}");
}

async fn store_and_upstream() -> (StoreServer, UpstreamServer) {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = StoreServer::start(free).await.expect("a store");
    let work = Duration::from_millis(5);
    let upstream = UpstreamServer::start(free, "i-1", "s", work).await;
    let upstream = upstream.expect("an upstream");
    store.put("servers/i-1", upstream.entry("a-1", "ready"));
    (store, upstream)
}

fn config(version: u64, kind: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"t.example","prefix":"/r/","routeType":"{kind}",
        "timeoutMs":4000,"sloMs":500,"maxAttempts":2,"service":"s"}}],"services":[{{"name":"s","maxConns":20}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

#[gtest]
#[tokio::test]
async fn a_process_without_configuration_promises_that_nothing_ran() {
    let (store, upstream) = store_and_upstream().await;
    let gateway = start_gateway("early", "127.230.0.1", store.address());
    wait_status(gateway.callers, "/r/1", 503).await;
    wait_status(gateway.ready, "/v1/ready", 503).await;
    store.put("op/config", config(3, "idempotent"));
    wait_status(gateway.ready, "/v1/ready", 200).await;
    wait_status(gateway.callers, "/r/1", 200).await;
    wait_status(gateway.callers, "/none/1", 404).await;
    expect_that!(upstream.arrivals().len(), ge(1));
}

/// The store comes back without the newest configuration and without the gateway's registration, and gives their revisions
/// out again.
#[gtest]
#[tokio::test]
async fn a_gateway_goes_on_with_a_store_that_came_back_older() {
    let routed_at = |version, prefix: &str| config(version, "idempotent").replace("/r/", prefix);
    let (store, _upstream) = store_and_upstream().await;
    store.put("op/config", routed_at(3, "/a/"));
    let copy = store.backup();
    let gateway = start_gateway("older", "127.230.0.9", store.address());
    wait_status(gateway.callers, "/a/1", 200).await;
    let registrations = || store.keys("ebonyfork/").len();
    store.put("op/config", routed_at(4, "/b/"));
    wait_status(gateway.callers, "/b/1", 200).await;
    expect_that!(registrations(), eq(1));
    store.restore(copy);
    expect_that!(registrations(), eq(0));
    let again = async {
        while registrations() == 0 {
            let answer = get(gateway.callers, "/b/2", "gap").await;
            let status = answer.map(|answer| answer.status().as_u16());
            expect_that!(status, some(eq(200)), "never back");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let again = tokio::time::timeout(PATIENCE, again).await;
    expect_that!(again.is_ok(), eq(true), "registered again");
    store.put("op/config", routed_at(5, "/c/"));
    wait_status(gateway.callers, "/c/1", 200).await;
    wait_status(gateway.callers, "/b/3", 404).await;
}

#[gtest]
#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again() {
    let (store, upstream) = store_and_upstream().await;
    store.put("op/config", config(3, "non_idempotent"));
    let gateway = start_gateway("once", "127.230.0.2", store.address());
    wait_status(gateway.callers, "/r/1", 200).await;
    upstream.set_faults(UpstreamFaults {
        lose: 1.0,
        ..UpstreamFaults::default()
    });
    let answer = get(gateway.callers, "/r/2", "lost")
        .await
        .expect("an answer");
    expect_that!(answer.status().as_u16(), eq(502));
    upstream.set_faults(UpstreamFaults {
        shed: 1.0,
        ..UpstreamFaults::default()
    });
    let answer = get(gateway.callers, "/r/3", "declined")
        .await
        .expect("an answer");
    expect_that!(answer.status().as_u16(), eq(503));
    let runs = |id: &str| {
        let arrivals = upstream.arrivals();
        let ran = arrivals
            .iter()
            .filter(|arrival| arrival.request == id && arrival.ran);
        ran.count()
    };
    expect_that!(runs("lost"), eq(1));
    expect_that!(runs("declined"), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_ends_its_request() {
    let (store, upstream) = store_and_upstream().await;
    store.put("op/config", config(3, "idempotent"));
    let gateway = start_gateway("leaves", "127.230.0.5", store.address());
    wait_status(gateway.callers, "/r/1", 200).await;
    upstream.set_faults(UpstreamFaults {
        silent: true,
        ..UpstreamFaults::default()
    });
    let short = Duration::from_millis(200);
    let left = tokio::time::timeout(short, get(gateway.callers, "/r/2", "leaves")).await;
    expect_that!(left.is_err(), eq(true));
    // The upstream never answers, so only the caller's close can have ended the request.
    let metrics = "127.230.0.5:7103".parse().expect("an address");
    let told = async {
        loop {
            let text = get(metrics, "/metrics", "m").await.map(Response::into_body);
            let text = text.map(|body| String::from_utf8_lossy(&body).into_owned());
            if text.is_some_and(|text| text.contains("ebonyfork_gateway_abandoned_total 1")) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let told = tokio::time::timeout(Duration::from_secs(3), told).await;
    expect_that!(told.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let (store, upstream) = store_and_upstream().await;
    store.put("op/config", config(3, "non_idempotent"));
    let gateway = start_gateway("foreign", "127.230.0.3", store.address());
    wait_status(gateway.callers, "/r/1", 200).await;
    upstream.set_faults(UpstreamFaults {
        foreign: 1.0,
        ..UpstreamFaults::default()
    });
    let answer = get(gateway.callers, "/r/2", "mine")
        .await
        .expect("an answer");
    expect_that!(answer.status().as_u16(), eq(502));
}

/// A head that doesn't come to its end is not waited for beyond the operators' limit, on a new connection or a used one.
#[gtest]
#[tokio::test]
async fn a_request_whose_head_takes_too_long_ends_its_connection() {
    let (store, upstream) = store_and_upstream().await;
    store.put("op/config", config(3, "idempotent"));
    let gateway = start_gateway("slow-head", "127.230.0.6", store.address());
    wait_status(gateway.callers, "/r/1", 200).await;
    let whole =
        "GET /r/2 HTTP/1.1\r\nHost: t.example\r\nRequest-Id: used\r\nDeadline-Ms: 4000\r\n\r\n";
    for first in ["", whole] {
        let mut stream = TcpStream::connect(gateway.callers)
            .await
            .expect("a connection");
        stream.write_all(first.as_bytes()).await.expect("sent");
        let mut answer = vec![0; 4_096];
        if !first.is_empty() {
            let length = stream.read(&mut answer).await.expect("an answer");
            expect_that!(answer[..length].starts_with(b"HTTP/1.1 200"), eq(true));
        }
        let began = Instant::now();
        let head = b"GET /r/3 HTTP/1.1\r\nHost: t.example\r\nRequest-Id: slow\r\nX-Slow: ";
        stream.write_all(head).await.expect("sent");
        // One more byte every half second, as a caller does that wants to hold the connection.
        let ended = loop {
            let pause = Duration::from_millis(500);
            match tokio::time::timeout(pause, stream.read(&mut answer)).await {
                Err(_elapsed) => drop(stream.write_all(b"x").await),
                Ok(_closed) => break began.elapsed(),
            }
        };
        expect_that!(ended, ge(Duration::from_secs(3)));
        expect_that!(ended, le(Duration::from_secs(6)));
    }
    let ran = upstream.arrivals();
    expect_that!(
        ran.iter().any(|arrival| arrival.request == "slow"),
        eq(false)
    );
}

/// A head longer than the operators allow is refused, one of just that length is not.
#[gtest]
#[tokio::test]
async fn a_head_beyond_the_limit_is_refused() {
    const LIMIT: usize = 16_384;
    let (store, _upstream) = store_and_upstream().await;
    store.put("op/config", config(3, "idempotent"));
    let gateway = start_gateway("long-head", "127.230.0.7", store.address());
    wait_status(gateway.callers, "/r/1", 200).await;
    for (length, status) in [(LIMIT, "200"), (LIMIT + 1, "431")] {
        let mut stream = TcpStream::connect(gateway.callers)
            .await
            .expect("a connection");
        let start = "GET /r/4 HTTP/1.1\r\nHost: t.example\r\nRequest-Id: long\r\nX-Long: ";
        let fill = "x".repeat(length - start.len() - 4);
        let head = format!("{start}{fill}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("sent");
        let mut answer = vec![0; 4_096];
        let read = stream.read(&mut answer).await.expect("an answer");
        let answer = String::from_utf8_lossy(&answer[..read]);
        expect_that!(answer.split(' ').nth(1), some(eq(status)), "{length}");
    }
}

#[gtest]
#[tokio::test]
async fn a_planned_stop_sends_callers_away_and_serves_until_they_are_gone() {
    let (store, _upstream) = store_and_upstream().await;
    store.put("op/config", config(3, "idempotent"));
    let mut gateway = start_gateway("stop", "127.230.0.4", store.address());
    wait_status(gateway.callers, "/r/1", 200).await;
    terminate(&gateway);
    wait_status(gateway.ready, "/v1/ready", 503).await;
    let answer = get(gateway.callers, "/r/2", "late")
        .await
        .expect("an answer");
    expect_that!(answer.status().as_u16(), eq(200));
    let connection = answer.headers()["connection"].to_str().unwrap_or_default();
    expect_that!(connection, eq("close"));
    let ended = tokio::time::timeout(PATIENCE, gateway.child.wait()).await;
    let status = ended.expect("ended in time").expect("waited for");
    expect_that!(status.success(), eq(true));
    expect_that!(store.keys("ebonyfork/").len(), eq(0));
}
