//! Callers that hold connections, heads, bodies or answers.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::process::settle;
use super::{MAX_BODY, PATIENCE};

/// Length of a body of one-byte chunks, in bytes.
const SMALL_CHUNKS: usize = 240_000;

/// What a caller sends before it stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// Nothing.
    Idle,
    /// A head that lacks its end.
    Head,
    /// A body with a length, but for its last byte.
    Whole,
    /// The same in 16 pieces.
    Pieces,
    /// A body in large chunks, but for its last byte.
    LargeChunks,
    /// A body in chunks of one byte, but for its end.
    SmallChunks,
    /// A whole body.
    Complete,
    /// A request with a long head to many shards.
    Gathered,
    /// Whole requests one after the other whose answers it doesn't read.
    Unread,
}

/// Callers that keep their connections until they are dropped.
pub struct CallerCrowd {
    callers: JoinSet<()>,
}

impl CallerCrowd {
    /// Starts `count` callers, who take turns through `kinds`, and waits until each has sent what it can.
    pub async fn gather(address: SocketAddr, count: usize, kinds: &[CallerKind]) -> Self {
        let (sender, mut sent) = tokio::sync::mpsc::channel(count);
        let mut callers = JoinSet::new();
        for number in 0..count {
            let kind = kinds[number % kinds.len()];
            let sender = sender.clone();
            callers.spawn(async move {
                let stream = tokio::time::timeout(PATIENCE, send(address, number, kind)).await;
                let _told = sender.send(()).await;
                // A connection that ended on its way was refused.
                if let Ok(Some(stream)) = stream {
                    hold(stream, kind).await;
                }
            });
        }
        for _ in 0..count {
            sent.recv().await;
        }
        settle(address.ip()).await;
        Self { callers }
    }

    /// Closes all connections.
    pub async fn leave(mut self) {
        self.callers.shutdown().await;
    }
}

/// Keeps a connection open until the other side closes it.
async fn hold(mut stream: TcpStream, kind: CallerKind) {
    if kind == CallerKind::Unread {
        std::future::pending::<()>().await;
    }
    let mut answer = [0; 4_096];
    while stream.read(&mut answer).await.is_ok_and(|read| read > 0) {}
}

/// Opens a connection on which the kernels buffer little of an answer.
fn connect_narrow(address: SocketAddr) -> Option<TcpStream> {
    const RECEIVE_BUFFER: usize = 4_096;
    /// The buffer of the sending side grows with the segment size.
    const SEGMENT: u32 = 536;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a buffer size");
    socket.set_tcp_mss(SEGMENT).expect("a segment size");
    socket.connect(&address.into()).ok()?;
    socket
        .set_nonblocking(true)
        .expect("a socket of the runtime");
    TcpStream::from_std(socket.into()).ok()
}

/// Sends what a kind sends; `None` if the other side closes the connection before.
async fn send(address: SocketAddr, number: usize, kind: CallerKind) -> Option<TcpStream> {
    let mut stream = match kind {
        CallerKind::Unread => connect_narrow(address)?,
        _ => TcpStream::connect(address).await.ok()?,
    };
    let start = format!(
        "POST /r/1 HTTP/1.1\r\nhost: t.example\r\nrequest-id: crowd-{number}\r\ndeadline-ms: 120000\r\n"
    );
    let with_length = format!("{start}content-length: {MAX_BODY}\r\n\r\n");
    let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
    let body = vec![b'a'; MAX_BODY - 1];
    match kind {
        CallerKind::Idle => {}
        CallerKind::Head => {
            let head = format!("{start}x-fill: {}", "a".repeat(15_000));
            stream.write_all(head.as_bytes()).await.ok()?;
        }
        CallerKind::Whole | CallerKind::Complete => {
            stream.write_all(with_length.as_bytes()).await.ok()?;
            stream.write_all(&body).await.ok()?;
            if kind == CallerKind::Complete {
                stream.write_all(b"a").await.ok()?;
            }
        }
        CallerKind::Pieces => {
            stream.write_all(with_length.as_bytes()).await.ok()?;
            for piece in body.chunks(MAX_BODY / 16) {
                stream.write_all(piece).await.ok()?;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        CallerKind::LargeChunks => {
            stream.write_all(chunked.as_bytes()).await.ok()?;
            for chunk in body.chunks(MAX_BODY / 4) {
                let head = format!("{:x}\r\n", chunk.len());
                stream.write_all(head.as_bytes()).await.ok()?;
                stream.write_all(chunk).await.ok()?;
                stream.write_all(b"\r\n").await.ok()?;
            }
        }
        CallerKind::SmallChunks => {
            stream.write_all(chunked.as_bytes()).await.ok()?;
            let block = b"1\r\na\r\n".repeat(1_000);
            for _ in 0..SMALL_CHUNKS / 1_000 {
                stream.write_all(&block).await.ok()?;
            }
        }
        CallerKind::Gathered => {
            let start = start.replace("/r/1", "/g/1");
            let head = format!("{start}x-fill: {}\r\n\r\n", "a".repeat(15_000));
            stream.write_all(head.as_bytes()).await.ok()?;
        }
        CallerKind::Unread => {
            for _ in 0..4 {
                let request = format!("{start}content-length: 0\r\n\r\n");
                stream.write_all(request.as_bytes()).await.ok()?;
            }
        }
    }
    Some(stream)
}
