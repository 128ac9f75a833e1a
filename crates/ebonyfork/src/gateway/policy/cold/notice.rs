//! Decides what a VM tells others of upstreams that have become cold, and what a VM does with such a notice.
//!
//! The load pattern: a warm upstream becomes cold while one VM is cut off from the store. That VM's copy of the store
//! counts as up to date for seconds, and one VM's usual load on one upstream exceeds what a cold one tolerates. So each
//! VM that reads the store notifies the readers of all zones, and a VM for which that is news passes it on to the VMs
//! that follow it. The others learn of it from their copy of the store as soon.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Largest number of upstreams in one message. Further ones go into further messages.
pub const MAX_COLD_REPORTS: usize = 128;
/// Longest time for which a notice makes a VM treat an upstream as cold. The VM's copy of the store takes over as soon as
/// it is up to date again, so a notice only has to outlast the time for which a VM can be behind.
pub const MAX_NOTICE_TIME: Duration = Duration::from_mins(1);

/// Shortest remaining time that is worth a notice. It exceeds the round trip between two VMs, so that a notice which comes
/// back is no news.
const MIN_NOTICE_TIME: Duration = Duration::from_millis(300);

/// An upstream that has become cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Service of the upstream.
    pub service: CompactString,
    /// Name of the upstream. Its incarnation is left out: the receiver may know an earlier one at the same address.
    pub instance: CompactString,
    /// Time in milliseconds for which it stays cold, from the moment of sending.
    pub remaining_ms: u32,
}

impl ColdReport {
    /// Creates a report of an upstream that stays cold for `remaining`.
    pub fn new(
        service: impl Into<CompactString>,
        instance: impl Into<CompactString>,
        remaining: Duration,
    ) -> Self {
        Self {
            service: service.into(),
            instance: instance.into(),
            remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the time for which the receiver treats the upstream as cold; `None` if it is too short to matter.
    pub fn assumed_time(&self) -> Option<Duration> {
        let remaining = Duration::from_millis(u64::from(self.remaining_ms));
        (remaining >= MIN_NOTICE_TIME).then_some(remaining.min(MAX_NOTICE_TIME))
    }
}

/// Message with which a VM tells another one of upstreams that have become cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdMessage {
    /// Upstreams that have become cold, at most [`MAX_COLD_REPORTS`].
    pub reports: Vec<ColdReport>,
}

impl ColdMessage {
    /// Divides reports into messages.
    pub fn from_reports(reports: &[ColdReport]) -> impl Iterator<Item = Self> {
        reports.chunks(MAX_COLD_REPORTS).map(|reports| Self {
            reports: reports.to_vec(),
        })
    }
}

/// Returns whether other VMs have to be notified of an upstream's entry: it states that the upstream is cold, and the
/// entry before it, if there was one, did not.
pub fn is_notice_due(stated_cold_before: bool, cold_remaining: Duration) -> bool {
    !stated_cold_before && cold_remaining >= MIN_NOTICE_TIME
}

#[cfg(test)]
#[path = "notice_tests.rs"]
mod tests;
