//! Reading a caller's request: every header has a bound, and a malformed one is named.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;

use crate::ident::{ClassName, OrganisationName, RunState};
use crate::query::{MAX_RECORD_BYTES, QueryRefusal, QueryRequest, RefusalCode};

/// Header that names the organisation.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header with the caller's bound, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the key of a non-idempotent query.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's own name for the query.
pub const QUERY_HEADER: &str = "x-query-id";
/// Header that selects the shard of a one-shard class.
pub const RECORD_HEADER: &str = "x-record";
/// Longest caller's name for a query, in bytes.
pub const QUERY_ID_LIMIT: usize = 128;
/// Longest deadline that a caller may state: a day.
const DEADLINE_LIMIT: Duration = Duration::from_hours(24);

/// Reads the headers of a query. The selection is added once its bound has been checked.
pub(super) fn read_query(
    class: &str,
    headers: &HeaderMap,
    selection: Bytes,
) -> Result<QueryRequest, QueryRefusal> {
    let class: ClassName = class.parse().map_err(|error| bad("class", error))?;
    let organisation = read_parsed(headers, ORGANISATION_HEADER)?;
    let organisation =
        organisation.ok_or_else(|| bad(ORGANISATION_HEADER, "the header is missing"))?;
    Ok(QueryRequest {
        class,
        organisation,
        deadline: read_deadline(headers)?,
        record: read_text(headers, RECORD_HEADER, MAX_RECORD_BYTES)?,
        selection,
        key: read_parsed(headers, KEY_HEADER)?,
        caller_id: read_text(headers, QUERY_HEADER, QUERY_ID_LIMIT)?,
    })
}

/// Reads the optional organisation of a locate request.
pub(super) fn read_organisation(
    headers: &HeaderMap,
) -> Result<Option<OrganisationName>, QueryRefusal> {
    read_parsed(headers, ORGANISATION_HEADER)
}

/// Reads the caller's name for the query, if it is acceptable.
pub(super) fn caller_id(headers: &HeaderMap) -> Option<CompactString> {
    read_text(headers, QUERY_HEADER, QUERY_ID_LIMIT).unwrap_or_default()
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, QueryRefusal> {
    let Some(millis) = read_parsed::<u64>(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let deadline = Duration::from_millis(millis);
    if deadline > DEADLINE_LIMIT {
        return Err(bad(DEADLINE_HEADER, "expected at most a day"));
    }
    Ok(Some(deadline))
}

fn read_parsed<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, QueryRefusal>
where
    T: FromStr<Err: Display>,
{
    let Some(text) = read_single(headers, name)? else {
        return Ok(None);
    };
    let value = text.parse();
    value.map(Some).map_err(|error| bad(name, error))
}

fn read_text(
    headers: &HeaderMap,
    name: &'static str,
    limit: usize,
) -> Result<Option<CompactString>, QueryRefusal> {
    let Some(text) = read_single(headers, name)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > limit {
        return Err(bad(name, format_args!("expected 1 to {limit} bytes")));
    }
    Ok(Some(CompactString::new(text)))
}

fn read_single<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, QueryRefusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(name, "the header stands more than once"));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_error| bad(name, "expected visible ASCII characters"))
}

fn bad(field: &'static str, problem: impl Display) -> QueryRefusal {
    let message = compact_str::format_compact!("{problem}");
    QueryRefusal::new(RefusalCode::BadRequest, RunState::NotRun, message).with_field(field)
}
