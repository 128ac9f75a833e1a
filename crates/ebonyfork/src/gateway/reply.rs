//! Answers to callers: forwarded from an upstream, gathered from shards, or refusals.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::header::{self, HeaderValue};
use hyper::body::Body;

use crate::gateway::dialect::WireNames;
use crate::gateway::exchange::UpstreamAnswer;
use crate::gateway::merge::merge_records;
use crate::gateway::policy::gather::GatherState;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::reply_body::ReplyBody;
use crate::gateway::request::strip_hop_headers;

/// Answer to a caller.
pub type CallerReply = Response<ReplyBody>;

/// Builds the answer for a refusal.
pub fn refusal_reply(reason: RefusalReason) -> CallerReply {
    let mut reply = Response::new(Bytes::from_static(reason.label().as_bytes()).into());
    *reply.status_mut() = reason.status();
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    if reason == RefusalReason::Unauthorised {
        let scheme = HeaderValue::from_static("Bearer");
        headers.insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(wait) = reason.retry_after() {
        set_retry_after(&mut reply, wait);
    }
    reply
}

/// Sets the `Retry-After` header, in seconds.
pub fn set_retry_after(reply: &mut CallerReply, wait: Duration) {
    match HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        Ok(value) => {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
        Err(error) => log::error!("retry-after of {wait:?} is not a valid header value: {error}"),
    }
}

/// Forwards an upstream's answer without its hop-by-hop headers.
pub fn forwarded_reply(answer: UpstreamAnswer) -> CallerReply {
    let mut headers = answer.headers;
    strip_hop_headers(&mut headers);
    let body = answer.body;
    if !body.is_end_stream() {
        // The body determines the length. An answer without a body, as to HEAD, keeps its header.
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut reply = Response::new(body);
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = headers;
    reply
}

/// Builds the answer of a query over many shards from the partial answers received so far.
pub fn gathered_reply(names: &WireNames, state: &GatherState, max_records: usize) -> CallerReply {
    let body = merge_records(state.records(), max_records);
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
        Err(error) => log::error!("joined signatures are not a valid header value: {error}"),
    }
    let missing_count = state.shards().len() - state.answered_count();
    headers.insert(
        names.missing_parts.clone(),
        HeaderValue::from(missing_count),
    );
    reply
}

#[cfg(test)]
#[path = "reply_tests.rs"]
mod tests;
