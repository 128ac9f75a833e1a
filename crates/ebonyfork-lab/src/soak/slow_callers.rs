//! Callers who read long answers slowly and use a locate answer for as long as they may.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::time::Instant;

use crate::soak::callers::{CallEnd, CallRecord, ask_directory, request};
use crate::soak::world::ZONES;

/// Callers that read slowly.
pub(super) const SLOW_CALLERS: usize = 6;
/// How long a locate answer is used: three times its time to live.
const SLOW_KEEP: Duration = Duration::from_secs(3);
/// Pause between two requests.
const SLOW_PAUSE: Duration = Duration::from_millis(200);
/// Receive buffer and segment size, in bytes, with which neither kernel buffers much of an answer.
const RECEIVE_BUFFER: u32 = 4_096;
const SEGMENT: u32 = 536;
/// Bytes that the HTTP library reads ahead.
const READ_AHEAD: usize = 8_192;
/// Pause after each frame of a body: some 300 kB a second.
const FRAME_PAUSE: Duration = Duration::from_millis(24);
/// Longest time for one request.
const SLOW_WAIT: Duration = Duration::from_secs(8);

/// A caller who reads slowly.
pub(super) struct SlowCaller {
    pub(super) directories: Vec<SocketAddr>,
    pub(super) turn: usize,
    pub(super) records: Arc<Mutex<Vec<CallRecord>>>,
    pub(super) next: Arc<AtomicU64>,
}

impl SlowCaller {
    pub(super) async fn run(mut self) {
        loop {
            tokio::time::sleep(SLOW_PAUSE).await;
            let directory = self.directories[self.turn % self.directories.len()];
            let zone = ZONES[self.turn % ZONES.len()];
            self.turn += 1;
            let Some(located) = ask_directory(directory, zone).await else {
                continue;
            };
            let located_at = Instant::now();
            while located_at.elapsed() < SLOW_KEEP {
                let Some(vm) = located.get(self.turn % located.len().max(1)) else {
                    break;
                };
                self.turn += 1;
                self.call(*vm).await;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
        }
    }

    async fn call(&self, vm: SocketAddr) {
        let id = format!("s{:x}", self.next.fetch_add(1, Ordering::Relaxed));
        let from = Instant::now();
        let end = tokio::time::timeout(SLOW_WAIT, exchange_slowly(vm, &id)).await;
        let record = CallRecord {
            id,
            route: "long",
            vm,
            from,
            until: Instant::now(),
            end: end.unwrap_or(CallEnd::Silent),
        };
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }
}

/// Sends one request on a connection of its own and reads the answer slowly.
async fn exchange_slowly(vm: SocketAddr, id: &str) -> CallEnd {
    let Ok(socket) = TcpSocket::new_v4() else {
        return CallEnd::Unsent;
    };
    let is_small = socket.set_recv_buffer_size(RECEIVE_BUFFER).is_ok()
        && SockRef::from(&socket).set_tcp_mss(SEGMENT).is_ok();
    let Ok(stream) = socket.connect(vm).await else {
        return CallEnd::Unsent;
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_AHEAD);
    let Ok((mut sender, connection)) = builder.handshake(TokioIo::new(stream)).await else {
        return CallEnd::Unsent;
    };
    if !is_small {
        return CallEnd::Unsent;
    }
    let exchange = async {
        match sender.try_send_request(request("long", id)).await {
            Ok(response) => read_slowly(response).await,
            Err(mut error) => match error.take_message() {
                Some(_unsent) => CallEnd::Unsent,
                None => CallEnd::Broken(error.into_error().to_string()),
            },
        }
    };
    // The connection ends after the exchange, because the sender is dropped with this function.
    let drive = async {
        let _ended = connection.await;
        std::future::pending().await
    };
    tokio::select! {
        end = exchange => end,
        end = drive => end,
    }
}

async fn read_slowly(response: Response<Incoming>) -> CallEnd {
    let (head, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(error) => return CallEnd::Broken(error.to_string()),
        }
        tokio::time::sleep(FRAME_PAUSE).await;
    }
    CallEnd::Answered {
        status: head.status.as_u16(),
        headers: head.headers,
        body: bytes.freeze(),
    }
}
