//! Parsing of callers' requests. Every header value is bounded, and the refusal of a malformed request names the
//! header.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;

use crate::ident::{ClassName, OrganisationName, RunState};
use crate::query::{MAX_RECORD_BYTES, QueryRefusal, QueryRequest, RefusalCode};

/// Header with the name of the organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header with the time to the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the idempotency key of a non-idempotent query.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's own id of the query.
pub const QUERY_ID_HEADER: &str = "x-query-id";
/// Header with the record name that selects the shard of a one-shard class.
pub const RECORD_HEADER: &str = "x-record";
/// Maximum length of a caller's query id, in bytes.
pub const MAX_QUERY_ID_BYTES: usize = 128;
/// Longest time to the deadline that a caller may set.
const MAX_TIME_TO_DEADLINE: Duration = Duration::from_hours(24);

/// Builds a query from the class in the request path, the headers and `selection`, the request body that selects the
/// rows; refuses a malformed class or header. The size of `selection` is not checked.
pub(super) fn read_query(
    class: &str,
    headers: &HeaderMap,
    selection: Bytes,
) -> Result<QueryRequest, QueryRefusal> {
    let class: ClassName = class
        .parse()
        .map_err(|error| bad_request_refusal("class", error))?;
    let organisation = parse_header(headers, ORGANISATION_HEADER)?;
    let organisation = organisation
        .ok_or_else(|| bad_request_refusal(ORGANISATION_HEADER, "the header is missing"))?;
    Ok(QueryRequest {
        class,
        organisation,
        deadline: read_deadline(headers)?,
        record: read_bounded_header(headers, RECORD_HEADER, MAX_RECORD_BYTES)?,
        selection,
        key: parse_header(headers, IDEMPOTENCY_KEY_HEADER)?,
        caller_id: read_bounded_header(headers, QUERY_ID_HEADER, MAX_QUERY_ID_BYTES)?,
    })
}

/// Reads the optional organisation of a locate request.
pub(super) fn read_organisation(
    headers: &HeaderMap,
) -> Result<Option<OrganisationName>, QueryRefusal> {
    parse_header(headers, ORGANISATION_HEADER)
}

/// Reads the caller's query id; returns `None` if it is missing or invalid.
pub(super) fn read_query_id(headers: &HeaderMap) -> Option<CompactString> {
    read_bounded_header(headers, QUERY_ID_HEADER, MAX_QUERY_ID_BYTES).unwrap_or_default()
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, QueryRefusal> {
    let Some(millis) = parse_header::<u64>(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let time_to_deadline = Duration::from_millis(millis);
    if time_to_deadline > MAX_TIME_TO_DEADLINE {
        return Err(bad_request_refusal(
            DEADLINE_HEADER,
            "expected at most a day",
        ));
    }
    Ok(Some(time_to_deadline))
}

/// Parses the value of a header; returns `None` if the header is missing.
fn parse_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, QueryRefusal>
where
    T: FromStr<Err: Display>,
{
    let Some(text) = read_unique_header(headers, name)? else {
        return Ok(None);
    };
    let value = text.parse();
    value
        .map(Some)
        .map_err(|error| bad_request_refusal(name, error))
}

/// Returns the value of a header if it has 1 to `limit` bytes, or `None` if the header is missing.
fn read_bounded_header(
    headers: &HeaderMap,
    name: &'static str,
    limit: usize,
) -> Result<Option<CompactString>, QueryRefusal> {
    let Some(text) = read_unique_header(headers, name)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > limit {
        return Err(bad_request_refusal(
            name,
            format_args!("expected 1 to {limit} bytes"),
        ));
    }
    Ok(Some(CompactString::new(text)))
}

/// Returns the value of a header, or `None` if it is missing; refuses a header that occurs more than once.
fn read_unique_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, QueryRefusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request_refusal(
            name,
            "the header stands more than once",
        ));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_error| bad_request_refusal(name, "expected visible ASCII characters"))
}

fn bad_request_refusal(field: &'static str, problem: impl Display) -> QueryRefusal {
    let message = compact_str::format_compact!("{problem}");
    QueryRefusal::new(RefusalCode::BadRequest, RunState::NotRun, message).with_field(field)
}
