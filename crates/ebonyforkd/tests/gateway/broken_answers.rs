//! Upstreams that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::net::TcpListener;

use super::*;

/// Time for which the callers wait, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Longest answer that these callers take.
const PATIENCE_BYTES: usize = 1 << 30;

/// Starts an upstream that answers each request with a head and then a block without end. The number that it returns
/// counts the answers that the other side has ended.
async fn start_endless(
    store: &StoreServer,
    head: &'static str,
    block: Vec<u8>,
) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let entry = serde_json::json!({
        "service": "s", "address": address.to_string(), "zone": "a-1", "version": "v1", "capacity": 2,
        "state": "ready", "warmupLeftMs": 0, "sequence": 1,
    });
    store.put("servers/i-1", entry.to_string());
    let ended = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&ended);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let (block, counted) = (block.clone(), Arc::clone(&counted));
            tokio::spawn(async move {
                let mut request = vec![0; 4_096];
                let length = stream.read(&mut request).await.unwrap_or_default();
                let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
                let id = request
                    .lines()
                    .find_map(|line| line.strip_prefix("request-id: "));
                let head = head.replace("ID", id.unwrap_or_default());
                let mut sent = stream.write_all(head.as_bytes()).await;
                while sent.is_ok() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    sent = stream.write_all(&block).await;
                }
                counted.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    ended
}

/// Returns the largest memory of a process so far, in bytes.
fn peak_memory(gateway: &GatewayProcess) -> usize {
    let id = gateway.child.id().expect("a running process");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes
        .and_then(|text| text.trim().parse::<usize>().ok())
        .expect("a number")
        * 1_024
}

/// Sends a request and reads what comes. Returns the bytes, and whether the connection was reset.
async fn read_all(gateway: &GatewayProcess, version: &str) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(gateway.callers)
        .await
        .expect("a connection");
    let head = format!(
        "GET /r/1 HTTP/{version}\r\nHost: t.example\r\nRequest-Id: r1\r\nDeadline-Ms: {WAIT_MS}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut begin = Vec::new();
    let (mut end, mut total, mut buffer) = (Vec::new(), 0, vec![0; 65_536]);
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => break,
            Ok(length) => {
                total += length;
                assert!(total < PATIENCE_BYTES, "the answer has no end");
                if begin.is_empty() {
                    begin = buffer[..length].to_vec();
                }
                end = buffer[..length].to_vec();
            }
            Err(_reset) => return ([begin, end].concat(), true),
        }
    }
    ([begin, end].concat(), false)
}

/// Guards against passing on a body without end for longer than its caller waits, against the memory it could take, and
/// against an end that looks like that of a whole answer: a last chunk, or for a caller of HTTP/1.0 the orderly end of
/// the connection.
#[gtest]
#[tokio::test]
async fn a_body_without_end_is_cut_visibly_when_its_caller_stops_waiting() {
    let block = vec![b'a'; 0x8000];
    let chunk = [b"8000\r\n".as_slice(), &block, b"\r\n"].concat();
    let framings = [
        ("transfer-encoding: chunked\r\n", chunk),
        ("content-length: 9000000000000000000\r\n", block.clone()),
        ("", block),
    ];
    for (number, (framing, block)) in framings.into_iter().enumerate() {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(free).await.expect("a store");
        let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-stamp: s\r\n";
        let head = String::leak(format!("{head}{framing}\r\n"));
        start_endless(&store, head, block).await;
        store.put("op/config", config(3, "idempotent"));
        let address = format!("127.230.0.{}", 50 + number);
        let gateway = start_gateway(&format!("endless-{number}"), &address, store.address());
        wait_status(gateway.ready, "/v1/ready", 200).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = peak_memory(&gateway);
        for version in ["1.1", "1.0"] {
            let reading = read_all(&gateway, version);
            let read = tokio::time::timeout(PATIENCE, reading).await;
            let (answer, is_reset) = read.expect("the answer ends");
            expect_that!(answer.starts_with(b"HTTP/1."), eq(true), "{framing:?}");
            expect_that!(answer[8..].starts_with(b" 200"), eq(true), "{framing:?}");
            expect_that!(answer.ends_with(b"0\r\n\r\n"), eq(false), "{framing:?}");
            expect_that!(is_reset || version == "1.1", eq(true), "{framing:?}");
        }
        let grown = peak_memory(&gateway).saturating_sub(before);
        expect_that!(grown, le(8 << 20), "{framing:?}");
    }
}

/// Guards against callers who don't read: they must not hold a connection to an upstream for good.
#[gtest]
#[tokio::test]
async fn a_caller_who_does_not_read_holds_no_upstream_for_good() {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = StoreServer::start(free).await.expect("a store");
    let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-stamp: s\r\n\r\n";
    let ended = start_endless(&store, head, vec![b'a'; 0x8000]).await;
    let config = config(3, "idempotent").replace("\"timeoutMs\":4000", "\"timeoutMs\":1000");
    store.put("op/config", config);
    let gateway = start_gateway("unread", "127.230.0.53", store.address());
    wait_status(gateway.ready, "/v1/ready", 200).await;
    let mut stream = TcpStream::connect(gateway.callers)
        .await
        .expect("a connection");
    let head =
        "GET /r/1 HTTP/1.1\r\nHost: t.example\r\nRequest-Id: r1\r\nDeadline-Ms: 1000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let waiting = async {
        while ended.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    expect_that!(waited.is_ok(), eq(true));
}

/// Status lines that are none in the protocol.
const INVALID_STATUSES: [&str; 8] = [
    "000 X", "099 X", "20 OK", "2000 OK", "-20 X", "199 X", "600 X", "999 X",
];

/// Starts an upstream that answers each request with a status line that is none, and a whole signed body. The number that it
/// returns counts the requests that have run.
async fn start_lying(
    store: &StoreServer,
    instance: &'static str,
    status: &'static str,
) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let entry = serde_json::json!({
        "service": "s", "address": address.to_string(), "zone": "a-1", "version": "v1", "capacity": 2,
        "state": "ready", "warmupLeftMs": 0, "sequence": 1,
    });
    store.put(&format!("servers/{instance}"), entry.to_string());
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                let mut request = vec![0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut request).await {
                    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
                    counted.fetch_add(1, Ordering::Relaxed);
                    let id = request
                        .lines()
                        .find_map(|line| line.strip_prefix("request-id: "));
                    let answer = format!(
                        "HTTP/1.1 {status}\r\nrequest-id: {}\r\nresponse-stamp: s\r\ncontent-length: 16\r\n\r\n{}",
                        id.unwrap_or_default(),
                        "a".repeat(16)
                    );
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    runs
}

/// Guards against passing on a status that is none, from a single upstream and from a shard: its request may have run.
#[gtest]
#[tokio::test]
async fn a_status_that_is_none_reaches_no_caller() {
    for (number, status) in INVALID_STATUSES.into_iter().enumerate() {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(free).await.expect("a store");
        let runs = start_lying(&store, "i-1", status).await;
        let gathered = r#"{"name":"g","host":"t.example","prefix":"/g/","routeType":"idempotent",
            "timeoutMs":1000,"sloMs":500,"maxAttempts":2,"gather":["s"],"topK":2,"minCoverage":0.5},{"name":"r""#;
        let config = config(3, "non_idempotent").replace(r#"{"name":"r""#, gathered);
        store.put("op/config", config);
        let address = format!("127.230.0.{}", 60 + number);
        let gateway = start_gateway(&format!("status-{number}"), &address, store.address());
        wait_status(gateway.ready, "/v1/ready", 200).await;
        let answer = get(gateway.callers, "/r/1", "once").await;
        let answer = answer.expect("an answer");
        expect_that!(answer.status().as_u16(), eq(502), "{status}");
        expect_that!(answer.headers().contains_key("response-stamp"), eq(false));
        expect_that!(runs.load(Ordering::Relaxed), eq(1), "{status}");
        let answer = get(gateway.callers, "/g/1", "gathered").await;
        let answer = answer.expect("an answer");
        expect_that!(answer.status().as_u16(), ge(502), "{status}");
        expect_that!(answer.status().as_u16(), le(504), "{status}");
        expect_that!(answer.headers().contains_key("part-stamps"), eq(false));
    }
}
