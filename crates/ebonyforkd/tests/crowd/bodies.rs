//! Crowds that hold request bodies.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::callers::{CallerCrowd, CallerKind};
use super::*;

/// Guards against bodies that together take more than the VM has: each is within the limit on one, and their sum was not
/// limited.
async fn expect_bounded(name: &str, address: &str, count: usize, kinds: &[CallerKind]) {
    let mut fixture = CrowdFixture::start(name, address, SMALL_VM).await;
    let crowd = CallerCrowd::gather(fixture.gateway.callers, count, kinds).await;
    fixture.expect_whole("beside the crowd").await;
    crowd.leave().await;
    fixture.expect_whole("after the crowd").await;
}

#[gtest]
#[tokio::test]
async fn bodies_one_byte_short() {
    expect_bounded("whole", "127.231.0.1", 400, &[CallerKind::Whole]).await;
}

#[gtest]
#[tokio::test]
async fn bodies_in_pieces_one_byte_short() {
    expect_bounded("pieces", "127.231.0.2", 400, &[CallerKind::Pieces]).await;
}

#[gtest]
#[tokio::test]
async fn bodies_in_large_chunks_one_byte_short() {
    expect_bounded(
        "large-chunks",
        "127.231.0.3",
        400,
        &[CallerKind::LargeChunks],
    )
    .await;
}

#[gtest]
#[tokio::test]
async fn bodies_in_chunks_of_one_byte() {
    expect_bounded(
        "small-chunks",
        "127.231.0.4",
        60,
        &[CallerKind::SmallChunks],
    )
    .await;
}

#[gtest]
#[tokio::test]
async fn bodies_and_heads_of_all_kinds() {
    let kinds = [
        CallerKind::Whole,
        CallerKind::Head,
        CallerKind::Pieces,
        CallerKind::LargeChunks,
        CallerKind::Idle,
        CallerKind::SmallChunks,
    ];
    expect_bounded("all-kinds", "127.231.0.5", 600, &kinds).await;
}

/// Guards against whole bodies that wait for an upstream: they can't be dropped, so later ones must be refused.
#[gtest]
#[tokio::test]
async fn whole_bodies_that_wait_for_an_upstream() {
    let mut fixture = CrowdFixture::start("complete", "127.231.0.6", SMALL_VM).await;
    fixture.upstream.set_faults(UpstreamFaults {
        silent: true,
        ..UpstreamFaults::default()
    });
    let crowd = CallerCrowd::gather(fixture.gateway.callers, 400, &[CallerKind::Complete]).await;
    fixture.upstream.set_faults(UpstreamFaults::default());
    crowd.leave().await;
    fixture.expect_whole("after the crowd").await;
}

/// Sends a body of exactly the limit, framed in one of three ways. Returns the status of the answer.
async fn send_longest_body(address: SocketAddr, framing: &str) -> u16 {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let start =
        "POST /r/1 HTTP/1.1\r\nhost: t.example\r\nrequest-id: longest\r\ndeadline-ms: 60000\r\n";
    let body = "a".repeat(MAX_BODY);
    let request = match framing {
        "length" => format!("{start}content-length: {MAX_BODY}\r\n\r\n{body}"),
        "one chunk" => {
            format!("{start}transfer-encoding: chunked\r\n\r\n{MAX_BODY:x}\r\n{body}\r\n0\r\n\r\n")
        }
        _ => {
            let chunks = "1\r\na\r\n".repeat(MAX_BODY);
            format!("{start}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
        }
    };
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = [0; 1_024];
    let read = stream.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..read]);
    let status = answer.split(' ').nth(1).unwrap_or_default();
    status.parse().unwrap_or_default()
}

/// Guards against a budget that a single request within the limits can't be served from, also after a crowd.
#[gtest]
#[tokio::test]
async fn a_body_of_the_limit_is_served_in_calm_and_after_a_crowd() {
    let fixture = CrowdFixture::start("limit", "127.231.0.7", SMALL_VM).await;
    for when in ["in calm", "after a crowd"] {
        for framing in ["length", "one chunk", "chunks of one byte"] {
            let status = send_longest_body(fixture.gateway.callers, framing).await;
            expect_that!(status, eq(200), "{framing} {when}");
        }
        let crowd = CallerCrowd::gather(fixture.gateway.callers, 200, &[CallerKind::Whole]).await;
        crowd.leave().await;
    }
}

/// Guards against refusals that don't reach their callers: a connection that is closed with unread bytes is reset, and the
/// answer is lost with it.
#[gtest]
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let fixture = CrowdFixture::start("refusal", "127.231.0.8", SMALL_VM).await;
    for _ in 0..20 {
        let mut stream = TcpStream::connect(fixture.gateway.callers)
            .await
            .expect("a connection");
        let head = "POST /none/1 HTTP/1.1\r\nhost: t.example\r\nrequest-id: refused\r\ncontent-length: 200000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("sent");
        let body = vec![b'a'; 20_000];
        for _ in 0..10 {
            stream.write_all(&body).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let mut answer = vec![0; 1_024];
        let read = stream.read(&mut answer).await.expect("an answer");
        let answer = String::from_utf8_lossy(&answer[..read]);
        expect_that!(answer.starts_with("HTTP/1.1 404"), eq(true), "{answer}");
    }
}

/// Guards against an answer that leaves open whether a request ran whose body did not arrive in time.
#[gtest]
#[tokio::test]
async fn a_body_that_does_not_arrive_in_time_has_not_run() {
    let fixture = CrowdFixture::start("late", "127.231.0.9", SMALL_VM).await;
    let mut stream = TcpStream::connect(fixture.gateway.callers)
        .await
        .expect("a connection");
    let request = "POST /r/1 HTTP/1.1\r\nhost: t.example\r\nrequest-id: late\r\ndeadline-ms: 300\r\ncontent-length: 20\r\n\r\na";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 1_024];
    let read = stream.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..read]).to_lowercase();
    expect_that!(answer.starts_with("http/1.1 503"), eq(true), "{answer}");
    expect_that!(answer, contains_substring("retry-after"));
    let arrivals = fixture.upstream.arrivals();
    expect_that!(
        arrivals.iter().any(|arrival| arrival.request == "late"),
        eq(false)
    );
}
