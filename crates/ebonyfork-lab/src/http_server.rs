//! What the lab's HTTP stand-ins share beside what all stand-ins do: headers and bounded bodies.

use std::fmt;

use bytes::Bytes;
pub use ebonyfork_stand_in::http_side::{
    BrokenConnection, StandInReply, body_reply, serve_connection,
};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

/// Makes a reply without a body.
pub fn empty_reply(status: StatusCode) -> StandInReply {
    body_reply(status, Bytes::new())
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
