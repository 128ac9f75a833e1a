//! Encodes shard requests to upstreams and decodes their answers.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::ident::{AttemptId, RunState, ServiceName, SnapshotVersion};
use crate::relay::connection::{Answer, UpstreamRequest};
use crate::relay::message::{FailureReason, RefusalReason, ShardTarget, ShardVerdict, SubmitBatch};

/// Maximum size of an upstream's answer, in bytes.
pub(super) const BODY_LIMIT: usize = 1 << 20;

const VERSION_HEADER: &str = "x-index-version";
const MOVED_HEADER: &str = "x-moved-to";
const NOT_RUN_HEADER: &str = "x-not-run";
const DRAINING_HEADER: &str = "x-draining";

/// Builds the request for one attempt, or returns `None` if a name can't be encoded in a header.
pub(super) fn shard_request(
    batch: &SubmitBatch,
    target: &ShardTarget,
    attempt: AttemptId,
    remaining_ms: u64,
) -> Option<UpstreamRequest> {
    let mut builder = Request::post(format!("/v1/shard/{}/{}", batch.index, target.shard))
        .header(http::header::HOST, target.upstream.to_string())
        .header(VERSION_HEADER, batch.version.0)
        .header("x-deadline-ms", remaining_ms)
        .header("x-attempt", attempt.to_string())
        .header("x-query-id", attempt.query.to_string())
        .header("x-organisation", batch.organisation.as_str())
        .header("x-class", batch.class.as_str());
    if let Some(key) = batch.key {
        builder = builder.header("idempotency-key", key.to_string());
    }
    builder.body(Full::new(batch.selection.clone())).ok()
}

/// Returns whether the upstream says that it is leaving.
pub(super) fn is_draining(headers: &HeaderMap) -> bool {
    is_header_set(headers, DRAINING_HEADER)
}

/// Derives the verdict from a complete answer. An attempt counts as not run only if the upstream states so explicitly.
pub(super) fn read_answer(answer: Answer) -> ShardVerdict {
    let (head, body) = answer.into_parts();
    let version = parse_number(&head.headers, VERSION_HEADER).map(SnapshotVersion);
    match head.status {
        StatusCode::OK => match (version, body.filter(has_rows)) {
            (Some(version), Some(body)) => ShardVerdict::Rows { version, body },
            _ => failed_verdict(RunState::Ran, FailureReason::Malformed),
        },
        StatusCode::CONFLICT => match version {
            Some(newest) => ShardVerdict::VersionGone { newest },
            None => failed_verdict(RunState::Unknown, FailureReason::Malformed),
        },
        StatusCode::MISDIRECTED_REQUEST => match parse_moved_to(&head.headers) {
            Some(service) => ShardVerdict::Moved { service },
            None => failed_verdict(RunState::Unknown, FailureReason::Malformed),
        },
        StatusCode::SERVICE_UNAVAILABLE if is_header_set(&head.headers, NOT_RUN_HEADER) => {
            ShardVerdict::NotRun(RefusalReason::Shed)
        }
        _ => failed_verdict(RunState::Unknown, FailureReason::Status),
    }
}

fn failed_verdict(ran: RunState, reason: FailureReason) -> ShardVerdict {
    ShardVerdict::Failed { ran, reason }
}

fn is_header_set(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|value| value == "1")
}

fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn parse_moved_to(headers: &HeaderMap) -> Option<ServiceName> {
    headers.get(MOVED_HEADER)?.to_str().ok()?.parse().ok()
}

/// The expected JSON body. The rows themselves are opaque to the relay.
#[derive(Deserialize)]
struct RowsBody {
    #[serde(rename = "rows")]
    _rows: Vec<IgnoredAny>,
}

fn has_rows(body: &Bytes) -> bool {
    serde_json::from_slice::<RowsBody>(body).is_ok()
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
