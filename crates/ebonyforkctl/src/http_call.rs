//! One HTTP call to a VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{ToCompactString, format_compact};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::error::CtlError;

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Sends one request on a connection of its own.
pub(crate) async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    within: Duration,
) -> Result<Response<Bytes>, CtlError> {
    match tokio::time::timeout(within, call_once(address, request)).await {
        Ok(answered) => answered,
        Err(_elapsed) => Err(CtlError::Call {
            address,
            reason: format_compact!("no answer within {within:?}"),
        }),
    }
}

async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CtlError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| failed(address, error))?;
    let shaken = handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.map_err(|error| failed(address, error))?;
    let running = tokio::spawn(connection);
    let response = sender.send_request(request).await;
    let (head, body) = response
        .map_err(|error| failed(address, error))?
        .into_parts();
    let body = Limited::new(body, ANSWER_LIMIT).collect().await;
    let body = body.map_err(|error| failed(address, error))?;
    running.abort();
    Ok(Response::from_parts(head, body.to_bytes()))
}

fn failed(address: SocketAddr, error: impl ToCompactString) -> CtlError {
    let reason = error.to_compact_string();
    CtlError::Call { address, reason }
}
