//! One outgoing HTTP/1.1 connection: opened within a bound, used for one exchange at a time.
//!
//! What matters to callers is what became of a request: [`LinkError::Unsent`] proves that not a byte of it left,
//! anything else after that may have run.

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

/// Why an exchange brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// Nothing of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// The cause.
        reason: CompactString,
    },
    /// The request was sent, at least in part, and no whole answer came.
    #[snafu(display("lost: {reason}"))]
    Lost {
        /// The cause.
        reason: CompactString,
    },
}

/// The body of an answer, as far as it was read.
#[derive(Debug)]
pub struct LinkBody {
    /// Its beginning, or all of it.
    pub begun: Bytes,
    /// What is still to come, if it is longer than was to be read. The connection takes no other request meanwhile.
    pub rest: Option<Incoming>,
}

/// An open connection.
#[derive(Debug)]
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
}

impl HttpLink {
    /// Connects to an address.
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Self, LinkError> {
        match tokio::time::timeout(within, Self::connect(address)).await {
            Ok(opened) => opened,
            Err(_elapsed) => Err(unsent(format_compact!(
                "no connection within {} ms",
                within.as_millis()
            ))),
        }
    }

    async fn connect(address: SocketAddr) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await.map_err(unsent)?;
        stream.set_nodelay(true).map_err(unsent)?;
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(unsent)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Self { sender })
    }

    /// Whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer, up to `body_limit` bytes. Dropping the future ends the connection.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        body_limit: usize,
    ) -> Result<Response<Bytes>, LinkError> {
        let uncounted = LinkTraffic::default();
        self.exchange_counted(request, body_limit, &uncounted).await
    }

    /// Does an exchange and counts what comes in of the answer's body.
    pub async fn exchange_counted(
        &mut self,
        request: Request<Full<Bytes>>,
        body_limit: usize,
        traffic: &LinkTraffic,
    ) -> Result<Response<Bytes>, LinkError> {
        let response = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = begin_body(body, body_limit, traffic).await?;
        let response = Response::from_parts(head, body);
        let (head, body) = response.into_parts();
        if body.rest.is_some() {
            return Err(lost(format_compact!("longer than {body_limit} bytes")));
        }
        Ok(Response::from_parts(head, body.begun))
    }

    /// Sends a request and reads the answer whole if it has at most `whole` bytes, and its beginning otherwise. Dropping
    /// the future ends the connection.
    pub async fn begin_exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        whole: usize,
    ) -> Result<Response<LinkBody>, LinkError> {
        let response = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = begin_body(body, whole, &LinkTraffic::default()).await?;
        Ok(Response::from_parts(head, body))
    }

    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent_request = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent_request {
                    unsent(error)
                } else {
                    lost(error)
                })
            }
        }
    }

    /// Waits until the connection takes another request after an exchange; false if it has ended.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// Reads a body up to a limit.
async fn begin_body(
    mut body: Incoming,
    whole: usize,
    traffic: &LinkTraffic,
) -> Result<LinkBody, LinkError> {
    let mut first = Bytes::new();
    let mut begun = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // What follows a body, beside its data, concerns the connection only.
        let Ok(data) = frame.map_err(lost)?.into_data() else {
            continue;
        };
        traffic.note(data.len());
        if first.is_empty() {
            // Most answers come in one piece, which needs no copy.
            first = data;
        } else {
            if begun.is_empty() {
                begun.extend_from_slice(&first);
            }
            begun.extend_from_slice(&data);
        }
        if first.len().max(begun.len()) > whole {
            let begun = joined(first, begun);
            let rest = Some(body);
            return Ok(LinkBody { begun, rest });
        }
    }
    let begun = joined(first, begun);
    Ok(LinkBody { begun, rest: None })
}

fn joined(first: Bytes, begun: BytesMut) -> Bytes {
    if begun.is_empty() {
        first
    } else {
        begun.freeze()
    }
}

fn unsent(reason: impl ToCompactString) -> LinkError {
    let reason = reason.to_compact_string();
    LinkError::Unsent { reason }
}

fn lost(reason: impl ToCompactString) -> LinkError {
    let reason = reason.to_compact_string();
    LinkError::Lost { reason }
}
