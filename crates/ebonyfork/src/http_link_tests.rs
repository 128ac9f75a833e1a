use std::time::Instant;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::*;

/// Longest body that the tests read.
const BODY_LIMIT: usize = 100_000;
/// Much longer than any exchange that ends by itself.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a peer does after it has sent the scripted bytes.
#[derive(Debug, Clone, Copy)]
enum ScriptEnd {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Repeats these bytes until the other side closes.
    Repeat(&'static [u8]),
}

/// Starts a peer that answers one request with a script. Its task returns how many bytes it could send.
async fn start_peer(script: Vec<u8>, end: ScriptEnd) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let _length = stream.read(&mut head).await.expect("a request");
        stream.write_all(&script).await.expect("sent");
        let mut sent_bytes = script.len();
        match end {
            ScriptEnd::Close => {}
            ScriptEnd::Reset => stream.set_zero_linger().expect("an open socket"),
            ScriptEnd::Repeat(bytes) => {
                let block = bytes.repeat(1 + 4_096 / bytes.len());
                while let Ok(length) = stream.write(&block).await {
                    sent_bytes += length;
                }
            }
        }
        sent_bytes
    });
    (address, task)
}

/// Sends a request to a scripted peer. Also returns whether the connection takes another request.
async fn exchange(script: &[u8], end: ScriptEnd) -> (Result<Response<Bytes>, LinkError>, bool) {
    let (address, _task) = start_peer(script.to_vec(), end).await;
    let mut link = HttpLink::open(address, PATIENCE).await.expect("open");
    let request = Request::get("/a").header("host", "t.example");
    let request = request.body(Full::default()).expect("a request");
    let exchange = link.exchange(request, BODY_LIMIT);
    let result = tokio::time::timeout(PATIENCE, exchange).await;
    let result = result.expect("the exchange ends");
    tokio::task::yield_now().await;
    (result, link.is_ready())
}

fn is_too_long(result: &Result<Response<Bytes>, LinkError>) -> bool {
    matches!(result, Err(LinkError::TooLong { .. }))
}

fn is_lost(result: &Result<Response<Bytes>, LinkError>) -> bool {
    matches!(result, Err(LinkError::Lost { .. }))
}

const FRAMED: &str =
    "HTTP/1.1 200 OK\r\nx-signature: signed\r\ncontent-length: 20\r\n\r\naaaaaaaaaabbbbbbbbbb";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-signature: signed\r\ntransfer-encoding: chunked\r\ntrailer: x-end\r\n\r\n\
    a\r\naaaaaaaaaa\r\nA;ext=1\r\nbbbbbbbbbb\r\n0\r\nx-end: 1\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-signature: signed\r\n\r\naaaaaaaaaabbbbbbbbbb";

/// Guards against answers that look whole though their upstream stopped in the middle of the head or body: under each
/// framing, cut at every byte, in the status line, a name, a value, between CR and LF, in a chunk's size and in a trailer.
#[gtest]
#[tokio::test]
async fn an_answer_cut_at_any_byte_is_lost() {
    for (answer, min_whole) in [
        (FRAMED, FRAMED.len()),
        (CHUNKED, CHUNKED.len()),
        // Without a length, the body may end anywhere.
        (UNFRAMED, UNFRAMED.find("\r\n\r\n").unwrap_or_default() + 4),
    ] {
        for length in 0..=answer.len() {
            let script = &answer.as_bytes()[..length];
            let (result, _is_ready) = exchange(script, ScriptEnd::Close).await;
            expect_that!(
                is_lost(&result),
                eq(length < min_whole),
                "{length} {answer}"
            );
            if length < min_whole {
                continue;
            }
            let body = result.expect("an answer").into_body();
            let whole_body = b"aaaaaaaaaabbbbbbbbbb";
            expect_that!(whole_body.starts_with(&body), eq(true), "{length} {answer}");
        }
    }
}

/// Guards against taking an answer without a length for whole if its connection is reset.
#[gtest]
#[tokio::test]
async fn a_reset_is_not_the_end_of_an_answer() {
    for answer in [FRAMED, CHUNKED, UNFRAMED] {
        for length in 0..=answer.len() {
            let script = &answer.as_bytes()[..length];
            let (result, is_ready) = exchange(script, ScriptEnd::Reset).await;
            // A reset may arrive after a framed answer that is whole.
            let is_framed_whole = answer != UNFRAMED && length == answer.len();
            expect_that!(
                is_lost(&result) || is_framed_whole,
                eq(true),
                "{length} {answer}"
            );
            expect_that!(is_ready && is_lost(&result), eq(false), "{length} {answer}");
        }
    }
}

/// Guards against reading without end: heads, chunk sizes, extensions and trailers that don't come to their end, and bytes
/// that are no answer. The connection is closed and takes no other request.
#[gtest]
#[tokio::test]
async fn bytes_without_end_are_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let extension = format!("{chunked}5;a=");
    let trailers = format!("{chunked}5\r\naaaaa\r\n0\r\n");
    let trailer_line = format!("{trailers}x-end: ");
    let cases: [(&str, &[u8]); 12] = [
        ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("", b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\nx-long: ", b"a"),
        ("HTTP/1.1 200 OK\r\n", b"a"),
        ("HTTP/1.1 200 ", b"O"),
        ("HTTP/1.1 ", b"2"),
        ("", b"\r\n"),
        ("", b"\0\xff rubbish \n"),
        (&extension, b"a"),
        (&trailers, b"x-more: 1\r\n"),
        (&trailer_line, b"a"),
    ];
    for (script, bytes) in cases {
        let (address, task) = start_peer(script.into(), ScriptEnd::Repeat(bytes)).await;
        let mut link = HttpLink::open(address, PATIENCE).await.expect("open");
        let request = Request::get("/a").header("host", "t.example");
        let request = request.body(Full::default()).expect("a request");
        let begun = Instant::now();
        let exchange = link.exchange(request, BODY_LIMIT);
        let result = tokio::time::timeout(PATIENCE, exchange).await;
        let text = String::from_utf8_lossy(bytes);
        let result = result.unwrap_or_else(|_| panic!("{script:?} and {text:?} never end"));
        expect_that!(is_lost(&result), eq(true), "{script:?} {text:?}");
        expect_that!(link.wait_until_ready().await, eq(false));
        let sent_bytes = tokio::time::timeout(PATIENCE, task).await;
        let sent_bytes = sent_bytes.expect("closed").expect("no panic");
        // What was read, and what socket buffers take.
        expect_that!(sent_bytes, le(16 << 20), "{script:?} {text:?}");
        expect_that!(begun.elapsed(), le(PATIENCE));
    }
}

/// A body is read up to the limit, whatever its framing says, and the connection is not used again.
#[gtest]
#[tokio::test]
async fn a_body_beyond_the_limit_is_told_apart() {
    for framing in ["content-length: 9000000000000000000\r\n", ""] {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
        let end = ScriptEnd::Repeat(b"a");
        let (result, is_ready) = exchange(head.as_bytes(), end).await;
        expect_that!(is_too_long(&result), eq(true), "{framing:?}");
        expect_that!(is_ready, eq(false), "{framing:?}");
    }
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let end = ScriptEnd::Repeat(b"5\r\naaaaa\r\n");
    let (result, is_ready) = exchange(chunked, end).await;
    expect_that!(is_too_long(&result), eq(true));
    expect_that!(is_ready, eq(false));
}

/// Guards against taking an informational status, after which no answer comes, for the answer.
#[gtest]
#[tokio::test]
async fn a_switch_of_protocols_is_no_answer() {
    let script = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
    let (result, is_ready) = exchange(script, ScriptEnd::Close).await;
    expect_that!(is_lost(&result), eq(true));
    expect_that!(is_ready, eq(false));
}

/// Guards against status lines that the protocol doesn't know: whatever follows them is no answer, also if it is whole.
#[gtest]
#[tokio::test]
async fn a_status_that_is_none_is_no_answer() {
    let invalid = [
        "000 X",
        "000",
        "001 X",
        "099 X",
        "20 OK",
        "2000 OK",
        "-20 X",
        "+20 X",
        "0x1 X",
        "2 0 X",
        " 200 X",
        "100 X",
        "101 X",
        "199 X",
        "600 X",
        "601",
        "999 X",
        "99999999999999999999 X",
        "",
        "\u{663}00 X",
    ];
    for status in invalid {
        let script = format!(
            "HTTP/1.1 {status}\r\ncontent-length: 20\r\n\r\n{}",
            "a".repeat(20)
        );
        let (result, is_ready) = exchange(script.as_bytes(), ScriptEnd::Close).await;
        expect_that!(is_lost(&result), eq(true), "{status}");
        expect_that!(is_ready, eq(false), "{status}");
    }
    for status in ["200", "299", "404", "599"] {
        let script = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: 20\r\n\r\n{}",
            "a".repeat(20)
        );
        let (result, _is_ready) = exchange(script.as_bytes(), ScriptEnd::Close).await;
        expect_that!(result, ok(anything()), "{status}");
    }
}

/// Informational heads before an answer are skipped.
#[gtest]
#[tokio::test]
async fn an_answer_may_follow_informational_heads() {
    let script = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(20) + FRAMED;
    let (result, _is_ready) = exchange(script.as_bytes(), ScriptEnd::Close).await;
    let answer = result.expect("an answer");
    expect_that!(answer.status().as_u16(), eq(200));
    expect_that!(answer.body().len(), eq(20));
}
