//! Answers to callers: an upstream's own, a gathered one, or a refusal of ours with what it promises.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use hyper::body::Body;

use crate::gateway::dialect::WireNames;
use crate::gateway::exchange::UpstreamAnswer;
use crate::gateway::gather::GatherState;
use crate::gateway::merge::merge_records;
use crate::gateway::reply_body::ReplyBody;
use crate::gateway::request::strip_hop_headers;

/// An answer to a caller.
pub type CallerReply = Response<ReplyBody>;

/// Why a request is refused or has failed without an upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request lacks something or is malformed.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The body is longer than callers may send.
    TooLarge,
    /// The head is longer than callers may send.
    HeadTooLarge,
    /// No configuration is known yet.
    NoConfig,
    /// No route matches, but the configuration may be an old one.
    OldConfig,
    /// This process is about to end.
    Stopping,
    /// The request crashes upstreams.
    Quarantined,
    /// No upstream took it.
    NoUpstream,
    /// It may have run, and no answer came.
    Unknown,
    /// It may have run, and time ran out.
    Late,
    /// It has not run, and time ran out.
    LateUnsent,
}

impl RefusalReason {
    /// The status. 503 promises that the request has not run and won't; 502 and 504 promise nothing.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::NoConfig
            | Self::OldConfig
            | Self::Stopping
            | Self::Quarantined
            | Self::NoUpstream
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// One word for logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::TooLarge => "too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::NoConfig => "no-config",
            Self::OldConfig => "old-config",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::NoUpstream => "no-upstream",
            Self::Unknown => "unknown",
            Self::Late => "late",
            Self::LateUnsent => "late-unsent",
        }
    }

    /// When the caller should come back.
    fn retry_after(self) -> Option<Duration> {
        match self {
            // Another VM takes it at once.
            Self::Stopping => Some(Duration::ZERO),
            // The store answers within milliseconds when it is up.
            Self::NoConfig | Self::OldConfig => Some(Duration::from_millis(300)),
            // A queue at an upstream drains within some service times.
            Self::NoUpstream | Self::LateUnsent => Some(Duration::from_millis(100)),
            Self::Quarantined => Some(Duration::from_mins(1)),
            Self::Malformed
            | Self::NoRoute
            | Self::TooLarge
            | Self::HeadTooLarge
            | Self::Unknown
            | Self::Late => None,
        }
    }
}

/// Makes the answer for a refusal.
pub fn refusal(reason: RefusalReason) -> CallerReply {
    let mut reply = Response::new(Bytes::from_static(reason.word().as_bytes()).into());
    *reply.status_mut() = reason.status();
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    if let Some(wait) = reason.retry_after() {
        set_retry_after(&mut reply, wait);
    }
    reply
}

/// States when the caller should come back.
pub fn set_retry_after(reply: &mut CallerReply, wait: Duration) {
    match HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        Ok(value) => {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
        Err(error) => log::error!("{wait:?} as a header: {error}"),
    }
}

/// Passes an upstream's answer on as it is, less what concerns its connection.
pub fn forwarded(answer: UpstreamAnswer) -> CallerReply {
    let mut headers = answer.headers;
    strip_hop_headers(&mut headers);
    let body = answer.body;
    if !body.is_end_stream() {
        // The body states its length itself. An answer without one, as to HEAD, keeps what it says.
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut reply = Response::new(body);
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = headers;
    reply
}

/// Makes the answer of a query over many shards from the parts that are in.
pub fn gathered(names: &WireNames, state: &GatherState, top: usize) -> CallerReply {
    let body = merge_records(state.records(), top);
    let mut reply = Response::new(body.into());
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/octet-stream"),
    );
    let mut signatures = Vec::new();
    for signature in state.signatures() {
        if !signatures.is_empty() {
            signatures.push(b',');
        }
        signatures.extend_from_slice(signature.as_bytes());
    }
    match HeaderValue::from_maybe_shared(Bytes::from(signatures)) {
        Ok(value) => {
            headers.insert(names.part_signatures.clone(), value);
        }
        Err(error) => log::error!("signatures that are header values don't make one: {error}"),
    }
    let missing = state.shards().len() - state.answered();
    headers.insert(names.missing_parts.clone(), HeaderValue::from(missing));
    reply
}

#[cfg(test)]
#[path = "reply_tests.rs"]
mod tests;
