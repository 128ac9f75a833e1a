//! Reading what the tier answers.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::ident::{RunState, SessionId, ShardNumber, SnapshotVersion};
use ebonyfork::query::QueryCoverage;
use serde::Deserialize;

use crate::http_client::CallReply;
use crate::load::record::{AnswerRecord, TryOutcome};

#[derive(Debug, Deserialize)]
struct LocateBody {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
    session: CompactString,
}

/// A locate answer.
#[derive(Debug, Clone)]
pub(super) struct LocateReply {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) ttl: Duration,
    pub(super) session: SessionId,
}

impl LocateReply {
    pub(super) fn read(reply: &CallReply) -> Option<Self> {
        if !reply.status.is_success() {
            return None;
        }
        let body: LocateBody = serde_json::from_slice(&reply.body).ok()?;
        if body.addresses.is_empty() {
            return None;
        }
        Some(Self {
            addresses: body.addresses,
            ttl: Duration::from_millis(body.ttl_ms),
            session: body.session.parse().ok()?,
        })
    }
}

#[derive(Debug, Deserialize)]
struct AnswerBody {
    snapshot: SnapshotVersion,
    coverage: CoverageBody,
    rows: Vec<CompactString>,
}

#[derive(Debug, Deserialize)]
struct CoverageBody {
    answered: u32,
    total: u32,
    missing: Vec<ShardNumber>,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: RefusalText,
}

#[derive(Debug, Deserialize)]
struct RefusalText {
    code: CompactString,
    ran: RunState,
    retry_after_ms: Option<u64>,
}

/// Reads the answer to a query.
pub(super) fn read_outcome(reply: &CallReply) -> TryOutcome {
    let outcome = if reply.status.is_success() {
        read_answer(reply)
    } else {
        read_refusal(reply)
    };
    outcome.unwrap_or(TryOutcome::Malformed)
}

fn read_answer(reply: &CallReply) -> Option<TryOutcome> {
    let body: AnswerBody = serde_json::from_slice(&reply.body).ok()?;
    let mut rows = Vec::with_capacity(body.rows.len());
    for row in &body.rows {
        rows.push(row.parse().ok()?);
    }
    let coverage = QueryCoverage {
        answered: body.coverage.answered,
        total: body.coverage.total,
        missing: body.coverage.missing,
    };
    Some(TryOutcome::Answered(AnswerRecord {
        snapshot: body.snapshot,
        coverage,
        rows,
    }))
}

fn read_refusal(reply: &CallReply) -> Option<TryOutcome> {
    let body: RefusalBody = serde_json::from_slice(&reply.body).ok()?;
    Some(TryOutcome::Refused {
        status: reply.status.as_u16(),
        code: body.error.code,
        ran: body.error.ran,
        retry_after: body.error.retry_after_ms.map(Duration::from_millis),
    })
}
