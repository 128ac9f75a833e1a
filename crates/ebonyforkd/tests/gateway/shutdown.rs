//! Planned stops while answers are on their way to callers who read slowly.

use std::io::Write;

use socket2::{Domain, Socket, Type};

use super::*;

/// Receive buffer of a caller who reads slowly, in bytes: far less than an answer.
const SLOW_BUFFER: usize = 4_096;
/// Segment size of a caller who reads slowly, in bytes. The buffer of the sending side grows with it.
const SLOW_SEGMENT: u32 = 536;
/// Bytes that a caller who reads slowly takes at a time, and the pause after it.
const SLOW_READ: usize = 4_096;
const SLOW_PAUSE: Duration = Duration::from_millis(2);

/// Opens a connection on which the kernels buffer little and sends a request on it.
fn send_slowly(gateway: SocketAddr, target: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(SLOW_BUFFER)
        .expect("a buffer size");
    socket.set_tcp_mss(SLOW_SEGMENT).expect("a segment size");
    socket.connect(&gateway.into()).expect("a connection");
    let mut stream = std::net::TcpStream::from(socket);
    let head = format!(
        "GET {target} HTTP/1.1\r\nhost: t.example\r\nrequest-id: {target}\r\ndeadline-ms: 20000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a sent request");
    stream
        .set_nonblocking(true)
        .expect("a socket of the runtime");
    TcpStream::from_std(stream).expect("a stream")
}

/// Reads an answer to its end. Returns the length that it states and the length of the body that arrived.
async fn read_answer(mut stream: TcpStream) -> (usize, usize) {
    let mut bytes = Vec::new();
    let mut buffer = [0; SLOW_READ];
    loop {
        tokio::time::sleep(SLOW_PAUSE).await;
        let read = stream.read(&mut buffer).await.unwrap_or_default();
        bytes.extend_from_slice(&buffer[..read]);
        let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            assert!(read > 0, "the connection ended before an answer");
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
        let stated = head.split("content-length: ").nth(1);
        let stated = stated.and_then(|rest| rest.lines().next());
        let stated = stated.and_then(|length| length.parse().ok()).unwrap_or(0);
        let arrived = bytes.len() - head_end - 4;
        if read == 0 || arrived >= stated {
            return (stated, arrived);
        }
    }
}

/// Guards against a planned stop that cuts answers: callers who read slowly get answers whole that were buffered whole or
/// streamed, though the process has decided on them long before.
#[gtest]
#[tokio::test]
async fn a_planned_stop_delivers_answers_that_are_read_slowly() {
    // Lengths of an answer that is passed on whole and of one that is streamed, in bytes.
    for (name, address, bytes) in [
        ("stop-whole", "127.230.0.40", 240_000),
        ("stop-stream", "127.230.0.41", 1 << 20),
    ] {
        let (store, upstream) = store_and_upstream().await;
        upstream.set_least_bytes(bytes);
        let config = config(3, "idempotent").replace("\"timeoutMs\":4000", "\"timeoutMs\":20000");
        store.put("op/config", config);
        let mut gateway =
            start_gateway_for(name, address, store.address(), Duration::from_secs(12));
        wait_status(gateway.ready, "/v1/ready", 200).await;
        let callers = [
            send_slowly(gateway.callers, "/r/slow-1"),
            send_slowly(gateway.callers, "/r/slow-2"),
        ];
        wait_runs(&upstream, callers.len()).await;
        terminate(&gateway);
        wait_refusal(gateway.callers).await;
        // Long enough for a process that waits for nothing more to exit.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let [first, second] = callers;
        let (first, second) = tokio::join!(read_answer(first), read_answer(second));
        expect_that!([first, second], eq([(bytes, bytes); 2]), "{name}");
        let ended = tokio::time::timeout(PATIENCE, gateway.child.wait()).await;
        let status = ended.expect("ended in time").expect("waited for");
        expect_that!(status.success(), eq(true), "{name}");
    }
}

async fn wait_runs(upstream: &UpstreamServer, count: usize) {
    let waiting = async {
        while upstream.arrivals().len() < count {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "the requests have not run");
}

/// Waits until a gateway refuses requests, or accepts no more connections.
async fn wait_refusal(callers: SocketAddr) {
    let waiting = async {
        loop {
            let answer = get(callers, "/r/probe", "probe").await;
            if answer.is_none_or(|answer| answer.status() == 503) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "the gateway goes on serving");
}

/// Guards against a planned stop that ends requests without an answer. Those that wait for an upstream are refused as not
/// run, and then must not run; those at work are answered before the exit.
#[gtest]
#[tokio::test]
async fn a_planned_stop_answers_requests_that_wait_for_an_upstream() {
    const REQUESTS: usize = 8;
    let (store, upstream) = store_and_upstream().await;
    // Longer than the stop takes.
    upstream.set_faults(UpstreamFaults {
        slow: 4_000.0,
        ..UpstreamFaults::default()
    });
    store.put("op/config", config(3, "non_idempotent"));
    let mut gateway = start_gateway("stop-waiting", "127.230.0.42", store.address());
    wait_status(gateway.ready, "/v1/ready", 200).await;
    let callers = gateway.callers;
    let mut answers = tokio::task::JoinSet::new();
    for number in 0..REQUESTS {
        answers.spawn(async move { get(callers, "/r/wait", &format!("w{number}")).await });
    }
    wait_runs(&upstream, 1).await;
    terminate(&gateway);
    let answers = answers.join_all().await;
    let statuses: Vec<u16> = answers
        .iter()
        .map(|answer| answer.as_ref().map_or(0, |answer| answer.status().as_u16()))
        .collect();
    expect_that!(statuses, each(any![eq(&502), eq(&503)]));
    let refused = statuses.iter().filter(|status| **status == 503).count();
    expect_that!(refused, gt(0));
    let ran = upstream.arrivals().iter().filter(|run| run.ran).count();
    expect_that!(ran + refused, le(REQUESTS));
    let ended = tokio::time::timeout(PATIENCE, gateway.child.wait()).await;
    let status = ended.expect("ended in time").expect("waited for");
    expect_that!(status.success(), eq(true));
}
