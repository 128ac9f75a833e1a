//! Bodies sent to callers: answers, errors and locate answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{RunState, SessionId, ShardNumber};
use crate::query::{QueryAnswer, QueryRefusal, RefusalCode};

/// Addresses that a caller should use.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::caller::LocateAnswer;
///
/// let text = r#"{"addresses":["127.0.0.1:7100"],"ttl_ms":5000,"session":"127.0.0.1-17"}"#;
/// let answer: LocateAnswer = serde_json::from_str(text)?;
/// assert_eq!(answer.ttl, Duration::from_secs(5));
/// assert_eq!(serde_json::to_string(&answer)?, text);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateAnswer {
    /// Addresses for callers, preferred first.
    pub addresses: SmallVec<[SocketAddr; 4]>,
    /// How long the caller may cache the answer.
    #[serde(rename = "ttl_ms", with = "millis")]
    pub ttl: Duration,
    /// Session of the process at the first address: its VM and incarnation.
    #[serde(with = "session_text")]
    pub session: SessionId,
}

mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        duration: &Duration,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(duration.as_millis() as u64)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

mod session_text {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::ident::SessionId;

    pub(super) fn serialize<S: Serializer>(
        session: &SessionId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(session)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<SessionId, D::Error> {
        let text = compact_str::CompactString::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// JSON body of an outcome without an answer.
#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorDetails<'a>,
}

/// The object `error` in the JSON body of an outcome without an answer.
#[derive(Serialize)]
struct ErrorDetails<'a> {
    code: &'static str,
    ran: RunState,
    message: &'a str,
    field: Option<&'a str>,
    retry_after_ms: Option<u64>,
    query: Option<&'a str>,
}

/// Returns the JSON body of an outcome without an answer.
pub(super) fn refusal_body(refusal: &QueryRefusal, query: Option<&str>) -> Bytes {
    let retry_after = refusal.retry_after;
    let response = ErrorResponse {
        error: ErrorDetails {
            code: refusal.code.as_str(),
            ran: refusal.ran,
            message: &refusal.message,
            field: refusal.field.as_deref(),
            retry_after_ms: retry_after.map(|duration| duration.as_millis() as u64),
            query,
        },
    };
    // Serialising strings and numbers to memory can't fail.
    serde_json::to_vec(&response).unwrap_or_default().into()
}

/// Returns the HTTP status of a refusal.
pub(super) fn refusal_status(code: RefusalCode) -> http::StatusCode {
    use http::StatusCode;
    match code {
        RefusalCode::BadRequest => StatusCode::BAD_REQUEST,
        RefusalCode::UnknownOrganisation => StatusCode::FORBIDDEN,
        RefusalCode::UnknownClass | RefusalCode::NotFound => StatusCode::NOT_FOUND,
        RefusalCode::OutcomeUnknown => StatusCode::CONFLICT,
        RefusalCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalCode::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::UpstreamFailed => StatusCode::BAD_GATEWAY,
        RefusalCode::Overloaded
        | RefusalCode::NotReady
        | RefusalCode::Stopping
        | RefusalCode::NoUpstream => StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::Deadline => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Fields of an answer's JSON body that precede the rows.
#[derive(Serialize)]
struct AnswerFields<'a> {
    query: &'a str,
    snapshot: u64,
    coverage: CoverageFields<'a>,
}

/// Coverage of an answer, with the numbers of the missing shards.
#[derive(Serialize)]
struct CoverageFields<'a> {
    answered: u32,
    total: u32,
    missing: &'a [ShardNumber],
}

/// The rows of one shard, as unparsed JSON text.
#[derive(Deserialize)]
struct ShardRows<'a> {
    #[serde(borrow)]
    rows: &'a serde_json::value::RawValue,
}

/// Returns the JSON body of an answer. The rows of the shards are concatenated without being parsed individually.
pub(super) fn answer_body(answer: &QueryAnswer) -> Result<Bytes, QueryRefusal> {
    let fields = AnswerFields {
        query: &answer.query,
        snapshot: answer.snapshot.0,
        coverage: CoverageFields {
            answered: answer.coverage.answered,
            total: answer.coverage.total,
            missing: &answer.coverage.missing,
        },
    };
    let mut body = serde_json::to_vec(&fields).unwrap_or_default();
    let rows_size: usize = answer.bodies.iter().map(Bytes::len).sum();
    body.reserve(rows_size + ROWS_PREFIX.len() + 2);
    body.pop();
    body.extend_from_slice(ROWS_PREFIX);
    let mut is_first_row_list = true;
    for shard_body in &answer.bodies {
        let Some(rows) = rows_text(shard_body) else {
            return Err(malformed_rows_refusal());
        };
        if rows.is_empty() {
            continue;
        }
        if !is_first_row_list {
            body.push(b',');
        }
        is_first_row_list = false;
        body.extend_from_slice(rows.as_bytes());
    }
    body.extend_from_slice(b"]}");
    Ok(body.into())
}

/// JSON text between the other fields of an answer and its rows.
const ROWS_PREFIX: &[u8] = b",\"rows\":[";

/// Returns the text between the brackets of a shard's `rows`, or `None` if the body is malformed.
fn rows_text(shard_body: &[u8]) -> Option<&str> {
    let shard_rows: ShardRows<'_> = serde_json::from_slice(shard_body).ok()?;
    let rows = shard_rows.rows.get().trim();
    let rows = rows.strip_prefix('[')?.strip_suffix(']')?;
    Some(rows.trim())
}

fn malformed_rows_refusal() -> QueryRefusal {
    let message = CompactString::const_new("an upstream's rows are malformed");
    QueryRefusal::new(RefusalCode::UpstreamFailed, RunState::Ran, message)
}
