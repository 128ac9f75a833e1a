//! What the HTTP stand-ins share: replies, bounded bodies and one served connection.

use std::fmt;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Reply of a stand-in.
pub type StandInReply = Response<Full<Bytes>>;

/// Makes the connection break without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenConnection;

impl fmt::Display for BrokenConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in breaks this connection")
    }
}

impl std::error::Error for BrokenConnection {}

/// Makes a reply without a body.
pub fn empty_reply(status: StatusCode) -> StandInReply {
    body_reply(status, Bytes::new())
}

/// Makes a reply with a body.
pub fn body_reply(status: StatusCode, body: impl Into<Bytes>) -> StandInReply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// Sets a header whose value is plain text.
pub fn set_header(reply: &mut StandInReply, name: &'static str, value: impl fmt::Display) {
    let Ok(value) = value.to_string().parse() else {
        return;
    };
    reply.headers_mut().insert(name, value);
}

/// Reads a header as text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a header as a value.
pub fn header_value<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

/// Reads a body up to a limit; none beyond it, or when the connection breaks.
pub async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    let collected = Limited::new(body, limit).collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Serves the requests of one connection until either side closes it.
pub async fn serve_connection<F>(
    stream: TcpStream,
    handler: impl Fn(Request<Incoming>) -> F + Clone,
) where
    F: Future<Output = Result<StandInReply, BrokenConnection>>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(handler);
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error here is the peer's or a fault on demand; neither concerns the stand-in.
    drop(connection.await);
}
