//! One shard request: what was asked, and the row that answers it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use ebonyfork::ident::{IdentError, IndexName, ShardNumber, SnapshotVersion};
use http::HeaderMap;

use crate::http_server::{header_text, header_value};
use crate::journal::{ExecutionEnd, ExecutionRecord, SelectionHash};

/// A selection that starts with this crashes the upstream that runs it.
pub const CRASH_MARK: &[u8] = b"crash";

/// The row that an upstream answers with: everything the judge needs to tell a wrong one.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::upstream::ShardRow;
///
/// let row: ShardRow = "tender/17/3/00000000000000ff".parse()?;
/// assert_eq!(row.shard.0, 3);
/// assert_eq!(row.to_string(), "tender/17/3/00000000000000ff");
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardRow {
    /// The index.
    pub index: IndexName,
    /// The version that it reflects.
    pub version: SnapshotVersion,
    /// The shard.
    pub shard: ShardNumber,
    /// Whose request it answers.
    pub selection: SelectionHash,
}

impl fmt::Display for ShardRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            index,
            version,
            shard,
            selection,
        } = self;
        write!(f, "{index}/{version}/{shard}/{selection}")
    }
}

impl FromStr for ShardRow {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = || IdentError::new(text, "row", "<index>/<version>/<shard>/<selection hash>");
        let mut parts = text.split('/');
        let mut part = || parts.next().ok_or_else(error);
        let index = part()?.parse()?;
        let version = part()?.parse()?;
        let shard = part()?.parse()?;
        let selection = u64::from_str_radix(part()?, 16).map_err(|_error| error())?;
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(Self {
            index,
            version,
            shard,
            selection: SelectionHash(selection),
        })
    }
}

/// One shard request as it arrived.
#[derive(Debug, Clone)]
pub(super) struct ShardCall {
    pub(super) row: ShardRow,
    pub(super) attempt: CompactString,
    pub(super) key: Option<CompactString>,
    pub(super) remaining: Option<Duration>,
    pub(super) crashes: bool,
}

impl ShardCall {
    /// Reads a request from `{index}/{shard}`, its headers and its body.
    pub(super) fn read(path: &str, headers: &HeaderMap, selection: &Bytes) -> Option<Self> {
        let (index, shard) = path.split_once('/')?;
        let row = ShardRow {
            index: index.parse().ok()?,
            version: header_value(headers, "x-index-version")?,
            shard: shard.parse().ok()?,
            selection: SelectionHash::new(selection),
        };
        let remaining = header_value(headers, "x-deadline-ms").map(Duration::from_millis);
        Some(Self {
            row,
            attempt: header_text(headers, "x-attempt")?.into(),
            key: header_text(headers, "idempotency-key").map(CompactString::new),
            remaining,
            crashes: selection.starts_with(CRASH_MARK),
        })
    }

    /// Returns its record at the time of its arrival.
    pub(super) fn record(&self, arrived: Duration) -> ExecutionRecord {
        ExecutionRecord {
            attempt: self.attempt.clone(),
            selection: self.row.selection,
            key: self.key.clone(),
            index: self.row.index.clone(),
            version: self.row.version,
            shard: self.row.shard,
            arrived,
            started: None,
            ended: None,
            end: ExecutionEnd::Open,
        }
    }
}
