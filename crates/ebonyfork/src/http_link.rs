//! An outgoing HTTP/1.1 connection, opened within a timeout and used for one exchange at a time.
//!
//! Errors tell callers whether a request may have run: [`LinkError::Unsent`] guarantees that no byte of it was sent;
//! after any other error it may have run.
//!
//! What a peer sends is bounded: the head of an answer and all informational heads before it by [`MAX_HEAD_BYTES`], the
//! body by the limit that the user of the connection states. An answer that breaks off under its framing is an error, and so is
//! a final status outside 200 to 599. A connection whose exchange has failed accepts no other request.

mod head_guard;

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString, format_compact};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;

use self::head_guard::{GuardedStream, HeadBudget, MAX_HEAD_BYTES};
use crate::traffic::LinkTraffic;

/// Status codes of a final answer (RFC 9110, section 15). A peer that sends another one has sent no answer.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Why an exchange returned no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// No byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// Cause of the failure, in words.
        reason: CompactString,
    },
    /// The request was sent at least in part, and no complete answer arrived.
    #[snafu(display("lost: {reason}"))]
    Lost {
        /// Cause of the failure, in words.
        reason: CompactString,
    },
    /// The request was answered, with a body beyond the limit.
    #[snafu(display("answered with more than {limit} bytes"))]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
}

/// The body of an answer, at least its beginning.
#[derive(Debug)]
pub struct LinkBody {
    /// Beginning of the body, or all of it.
    pub beginning: Bytes,
    /// Unread remainder of a body longer than the limit. Until it is read, the connection takes no other request.
    pub rest: Option<Incoming>,
}

/// Sends one request at a time on a connection and limits the heads of the answers.
#[derive(Debug)]
pub(crate) struct GuardedSender {
    request_sender: SendRequest<Full<Bytes>>,
    head_budget: HeadBudget,
    /// Whether the peer has sent a status that is none: nothing that follows can be trusted.
    is_broken: bool,
}

/// Task of a connection; it ends with the connection.
pub(crate) type LinkDriver = Connection<TokioIo<GuardedStream>, Full<Bytes>>;

/// Starts HTTP on a connection. The driver must be polled for the sender to work.
pub(crate) async fn start_http(stream: TcpStream) -> hyper::Result<(GuardedSender, LinkDriver)> {
    let (stream, head_budget) = GuardedStream::new(stream);
    let (request_sender, driver) = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let sender = GuardedSender {
        request_sender,
        head_budget,
        is_broken: false,
    };
    Ok((sender, driver))
}

impl GuardedSender {
    /// Waits until another request can be sent; returns false if the connection is closed instead.
    pub(crate) async fn wait_until_ready(&mut self) -> bool {
        !self.is_broken && self.request_sender.ready().await.is_ok()
    }

    /// Sends a request and reads the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        self.head_budget.begin_head();
        let result = self.request_sender.try_send_request(request).await;
        self.head_budget.end_head();
        match result {
            Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => {
                self.is_broken = true;
                let status = response.status().as_u16();
                Err(lost_error(format_compact!("final status {status}")))
            }
            Ok(response) => Ok(response),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if is_unsent {
                    unsent_error(error)
                } else {
                    lost_error(error)
                })
            }
        }
    }
}

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub struct HttpLink {
    sender: GuardedSender,
}

impl HttpLink {
    /// Opens a connection to an address; fails if this takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, LinkError> {
        match tokio::time::timeout(timeout, Self::connect(address)).await {
            Ok(opened) => opened,
            Err(_elapsed) => Err(unsent_error(format_compact!(
                "no connection within {} ms",
                timeout.as_millis()
            ))),
        }
    }

    async fn connect(address: SocketAddr) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await.map_err(unsent_error)?;
        stream.set_nodelay(true).map_err(unsent_error)?;
        let (sender, connection) = start_http(stream).await.map_err(unsent_error)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Self { sender })
    }

    /// Returns whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        !self.sender.is_broken && self.sender.request_sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_broken || self.sender.request_sender.is_closed()
    }

    /// Sends a request and reads the whole answer, up to `body_limit` bytes. Dropping the future closes the connection.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        body_limit: usize,
    ) -> Result<Response<Bytes>, LinkError> {
        let unused_traffic = LinkTraffic::default();
        self.exchange_counted(request, body_limit, &unused_traffic)
            .await
    }

    /// Like [`HttpLink::exchange`], and counts the received bytes of the body in `traffic`.
    pub async fn exchange_counted(
        &mut self,
        request: Request<Full<Bytes>>,
        body_limit: usize,
        traffic: &LinkTraffic,
    ) -> Result<Response<Bytes>, LinkError> {
        let response = self.sender.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, body_limit, traffic, |_buffer| {}).await?;
        let response = Response::from_parts(head, body);
        let (head, body) = response.into_parts();
        if body.rest.is_some() {
            return Err(LinkError::TooLong { limit: body_limit });
        }
        Ok(Response::from_parts(head, body.beginning))
    }

    /// Sends a request and reads the whole answer if its body has at most `max_bytes` bytes, and the beginning of the
    /// body otherwise. `compact` is called with the bytes that have been read and may drop those that aren't needed.
    /// Dropping the future closes the connection.
    pub async fn begin_exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        compact: impl FnMut(&mut BytesMut),
    ) -> Result<Response<LinkBody>, LinkError> {
        let response = self.sender.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, max_bytes, &LinkTraffic::default(), compact).await?;
        Ok(Response::from_parts(head, body))
    }

    /// Waits until the connection accepts another request after an exchange; returns false if it is closed instead.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.wait_until_ready().await
    }
}

/// Bytes of a body that have been read.
#[derive(Debug, Default)]
struct BodyBuffer {
    /// The only frame with data so far. Most bodies arrive in one frame, which needs no copy.
    first_frame: Bytes,
    /// All bytes, once there were several frames.
    joined_frames: Option<BytesMut>,
}

impl BodyBuffer {
    fn push(&mut self, frame: Bytes, compact: &mut impl FnMut(&mut BytesMut)) {
        if self.first_frame.is_empty() && self.joined_frames.is_none() {
            self.first_frame = frame;
            return;
        }
        let first_frame = std::mem::take(&mut self.first_frame);
        let joined_frames = self
            .joined_frames
            .get_or_insert_with(|| BytesMut::from(first_frame.as_ref()));
        joined_frames.extend_from_slice(&frame);
        compact(joined_frames);
    }

    fn into_bytes(self) -> Bytes {
        self.joined_frames
            .map_or(self.first_frame, BytesMut::freeze)
    }
}

/// Reads a body until it ends or has more than `max_bytes` bytes.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    traffic: &LinkTraffic,
    mut compact: impl FnMut(&mut BytesMut),
) -> Result<LinkBody, LinkError> {
    let mut buffer = BodyBuffer::default();
    let mut received_bytes = 0_usize;
    while let Some(frame) = body.frame().await {
        // Frames other than data are trailers, which aren't used.
        let Ok(data) = frame.map_err(lost_error)?.into_data() else {
            continue;
        };
        traffic.add(data.len());
        received_bytes += data.len();
        buffer.push(data, &mut compact);
        if received_bytes > max_bytes {
            return Ok(LinkBody {
                beginning: buffer.into_bytes(),
                rest: Some(body),
            });
        }
    }
    Ok(LinkBody {
        beginning: buffer.into_bytes(),
        rest: None,
    })
}

fn unsent_error(reason: impl ToCompactString) -> LinkError {
    let reason = reason.to_compact_string();
    LinkError::Unsent { reason }
}

fn lost_error(reason: impl ToCompactString) -> LinkError {
    let reason = reason.to_compact_string();
    LinkError::Lost { reason }
}

#[cfg(test)]
#[path = "http_link_tests.rs"]
mod tests;
