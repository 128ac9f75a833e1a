//! One HTTP/1.1 connection of a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;

/// Why a call brought no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Nothing was sent: the address is gone.
    #[snafu(display("no connection: {message}"))]
    Unsent {
        /// The cause.
        message: String,
    },
    /// The connection broke after the request, or part of it, had left.
    #[snafu(display("the connection broke: {message}"))]
    Broken {
        /// The cause.
        message: String,
    },
}

/// An answer, read whole.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A connection that serves one call at a time.
#[derive(Debug)]
pub struct CallConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl CallConnection {
    /// Connects to an address.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let unsent = |error: &dyn std::error::Error| CallError::Unsent {
            message: error.to_string(),
        };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| unsent(&error))?;
        stream.set_nodelay(true).map_err(|error| unsent(&error))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(&error))?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Tells whether the connection can't serve another call.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a call and reads its whole answer.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<CallReply, CallError> {
        let broken = |error: hyper::Error| CallError::Broken {
            message: error.to_string(),
        };
        if let Err(error) = self.sender.ready().await {
            let message = error.to_string();
            return Err(CallError::Unsent { message });
        }
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|error| {
            let message = error.to_string();
            if error.is_canceled() {
                CallError::Unsent { message }
            } else {
                CallError::Broken { message }
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(broken)?.to_bytes();
        Ok(CallReply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}
