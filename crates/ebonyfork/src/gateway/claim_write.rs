//! Writes claims to the store. The rules are in [`crate::gateway::policy::claim`].

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use crate::gateway::core::GatewayCore;
use crate::gateway::policy::claim::ClaimWrite;
use crate::store::{StoreError, StorePort, StoreRevision, StoreWrite, answer_within};

/// Longest wait for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Key of a claim, and what it is for.
#[derive(Debug, Clone)]
pub struct ClaimTarget {
    /// Key in the store.
    pub key: CompactString,
    /// What the claim is for, for the log.
    pub label: CompactString,
}

/// Write that the store has applied.
#[derive(Debug, Clone, Copy)]
pub struct AppliedWrite {
    /// The write.
    pub write: ClaimWrite,
    /// Revision of the key after the write.
    pub revision: StoreRevision,
    /// Time at which the write began, since the start of the process.
    pub begun_at: Duration,
    /// Time at which the answer arrived.
    pub answered_at: Duration,
}

/// Writes a claim, and passes the result to `record` if the store has applied it.
pub async fn write_claim(
    core: Rc<GatewayCore>,
    port: impl StorePort,
    target: ClaimTarget,
    write: ClaimWrite,
    record: impl FnOnce(AppliedWrite),
) {
    let begun_at = core.running_time();
    let value = match postcard::to_stdvec(&write.record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            log::error!("{} claim can't be encoded: {error}", target.label);
            return;
        }
    };
    let store_write = StoreWrite {
        key: target.key,
        value,
        expected: Some(write.expected_revision),
        lease: None,
    };
    let result = answer_within(STORE_TIMEOUT, port.write(store_write)).await;
    let outcome = match &result {
        Ok(revision) => {
            core.enter_era(revision.era());
            record(AppliedWrite {
                write,
                revision: *revision,
                begun_at,
                answered_at: core.running_time(),
            });
            let void = write.expected_revision.era() != revision.era();
            format_compact!("revision={revision} void={void}")
        }
        Err(StoreError::Conflict { current }) => {
            core.enter_era(current.era());
            format_compact!("another VM wrote first, current revision {current}")
        }
        Err(error) => format_compact!("failed: {error}"),
    };
    let holder = write.record.holder.map(|holder| holder.to_string());
    log::info!(
        target: "ebonyfork::decision",
        "{} claim holder={} expected={} {outcome}",
        target.label,
        holder.as_deref().unwrap_or("-"),
        write.expected_revision
    );
}
