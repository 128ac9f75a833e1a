//! An outgoing HTTP/1.1 connection, opened within a timeout and used for one exchange at a time.
//!
//! Errors tell callers whether a request may have run: [`LinkError::Unsent`] guarantees that no byte of it was sent;
//! after any other error it may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString, format_compact};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;

use crate::traffic::LinkTraffic;

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
}

/// The body of an answer, at least its beginning.
#[derive(Debug)]
pub struct LinkBody {
    /// Beginning of the body, or all of it.
    pub beginning: Bytes,
    /// Unread remainder of a body longer than the limit. Until it is read, the connection takes no other request.
    pub rest: Option<Incoming>,
}

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub struct HttpLink {
    request_sender: SendRequest<Full<Bytes>>,
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
        let (request_sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(unsent_error)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Self { request_sender })
    }

    /// Returns whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        self.request_sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.request_sender.is_closed()
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
        let response = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, body_limit, traffic).await?;
        let response = Response::from_parts(head, body);
        let (head, body) = response.into_parts();
        if body.rest.is_some() {
            return Err(lost_error(format_compact!(
                "longer than {body_limit} bytes"
            )));
        }
        Ok(Response::from_parts(head, body.beginning))
    }

    /// Sends a request and reads the whole answer if its body has at most `max_bytes` bytes, and the beginning of the
    /// body otherwise. Dropping the future closes the connection.
    pub async fn begin_exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<LinkBody>, LinkError> {
        let response = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, max_bytes, &LinkTraffic::default()).await?;
        Ok(Response::from_parts(head, body))
    }

    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        match self.request_sender.try_send_request(request).await {
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

    /// Waits until the connection accepts another request after an exchange; returns false if it is closed instead.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.request_sender.ready().await.is_ok()
    }
}

/// Reads a body until it ends or has more than `max_bytes` bytes.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    traffic: &LinkTraffic,
) -> Result<LinkBody, LinkError> {
    let mut first_frame = Bytes::new();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Frames other than data are trailers, which aren't used.
        let Ok(data) = frame.map_err(lost_error)?.into_data() else {
            continue;
        };
        traffic.add(data.len());
        if first_frame.is_empty() {
            // Most bodies arrive in one frame, which needs no copy.
            first_frame = data;
        } else {
            if buffer.is_empty() {
                buffer.extend_from_slice(&first_frame);
            }
            buffer.extend_from_slice(&data);
        }
        if first_frame.len().max(buffer.len()) > max_bytes {
            let beginning = read_so_far(first_frame, buffer);
            let rest = Some(body);
            return Ok(LinkBody { beginning, rest });
        }
    }
    let beginning = read_so_far(first_frame, buffer);
    Ok(LinkBody {
        beginning,
        rest: None,
    })
}

/// Returns the bytes read so far: `buffer` contains the first frame too, unless it is empty.
fn read_so_far(first_frame: Bytes, buffer: BytesMut) -> Bytes {
    if buffer.is_empty() {
        first_frame
    } else {
        buffer.freeze()
    }
}

fn unsent_error(reason: impl ToCompactString) -> LinkError {
    let reason = reason.to_compact_string();
    LinkError::Unsent { reason }
}

fn lost_error(reason: impl ToCompactString) -> LinkError {
    let reason = reason.to_compact_string();
    LinkError::Lost { reason }
}
