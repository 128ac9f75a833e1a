//! HTTP/1.1 connections to the platform's service, kept open between calls.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::{ToCompactString, format_compact};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::client::VALUE_LIMIT;
use super::error::PlatformError;

/// Connections that are kept open while no call uses them.
const IDLE_LIMIT: usize = 4;
/// Largest answer that is read: a value, or a list of a thousand keys, with room to spare.
const ANSWER_LIMIT: usize = 2 * VALUE_LIMIT;

type Connection = SendRequest<Full<Bytes>>;

/// Opens, keeps and reuses connections.
#[derive(Debug)]
pub(super) struct Transport {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Transport {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends one request and reads the whole answer. `within` bounds the connecting and the answering each.
    pub(super) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut request = request;
        while let Some(connection) = self.take_idle() {
            match self.send(connection, request, within).await? {
                Sending::Answered(response) => return Ok(response),
                Sending::NotSent(unsent) => request = unsent,
            }
        }
        let connection = self.connect(within).await?;
        match self.send(connection, request, within).await? {
            Sending::Answered(response) => Ok(response),
            Sending::NotSent(_) => Err(refused("the connection was closed before the request")),
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_LIMIT && !connection.is_closed() {
            idle.push(connection);
        }
    }

    /// Opens a connection. Nothing has been sent when this fails, so the call provably did nothing.
    async fn connect(&self, within: Duration) -> Result<Connection, PlatformError> {
        let opening = async {
            let stream = TcpStream::connect(self.address).await.map_err(refused)?;
            stream.set_nodelay(true).map_err(refused)?;
            let io = TokioIo::new(stream);
            let (sender, connection) = handshake(io).await.map_err(refused)?;
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("connection to the platform: {error}");
                }
            });
            Ok(sender)
        };
        match tokio::time::timeout(within, opening).await {
            Ok(opened) => opened,
            Err(_elapsed) => Err(refused(format_compact!("no connection within {within:?}"))),
        }
    }

    async fn send(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Sending, PlatformError> {
        let answering = async {
            let response = match connection.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => {
                    return match error.take_message() {
                        Some(unsent) => Ok(Sending::NotSent(unsent)),
                        None => Err(lost(error.into_error())),
                    };
                }
            };
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT);
            let body = body.collect().await.map_err(lost)?;
            Ok(Sending::Answered(Response::from_parts(
                head,
                body.to_bytes(),
            )))
        };
        let answered = match tokio::time::timeout(within, answering).await {
            Ok(answered) => answered?,
            Err(_elapsed) => return Err(PlatformError::Timeout { within }),
        };
        if let Sending::Answered(_) = &answered {
            self.give_back(connection);
        }
        Ok(answered)
    }
}

/// What became of a request that was handed to a connection.
#[derive(Debug)]
enum Sending {
    Answered(Response<Bytes>),
    /// The connection was closed; nothing of the request was written.
    NotSent(Request<Full<Bytes>>),
}

fn refused(reason: impl ToCompactString) -> PlatformError {
    let reason = reason.to_compact_string();
    PlatformError::Refused { reason }
}

fn lost(reason: impl ToCompactString) -> PlatformError {
    let reason = reason.to_compact_string();
    PlatformError::Lost { reason }
}
