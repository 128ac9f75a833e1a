//! Counts what became of requests for tokens lately, for the operators. No decision depends on these counts.
//!
//! A table counts in periods of [`COUNT_PERIOD`] and keeps the current and the last one, so an entry costs the same
//! whatever the traffic. Entries without a count in either period are removed.

use std::cell::RefCell;
use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName};
use crate::gateway::policy::quota::QuotaAnswer;
use crate::gateway::refusal::RefusalReason;

/// Length of a period. The counts of two periods tell what happened in the last one to two minutes, about the time that an
/// operator takes to look.
const COUNT_PERIOD: Duration = Duration::from_mins(1);
/// Largest number of entries of a table. At about 65 bytes each, 100,000 organisations take 8 MB, and only while all of
/// them send requests.
const MAX_ENTRIES: usize = 100_000;

/// Outcome of a caller's request for which a token was needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The request got a token.
    Granted,
    /// The quota was used up.
    OverQuota,
    /// The holders were unknown or did not answer.
    QuotaUnknown,
    /// The request was refused for another reason while it needed a token.
    Other,
}

/// What this process did as the holder of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HolderOutcome {
    /// A token was granted.
    Granted,
    /// The part had no token.
    Refused,
    /// A granted token came back unused.
    GivenBack,
}

/// Number of each outcome in the current and the last period.
pub(super) type OutcomeCounts = [u32; 4];

/// Counts of one entry.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCounts {
    /// Number of the period of `current`, from the start of the process.
    period: u32,
    current: OutcomeCounts,
    previous: OutcomeCounts,
}

impl RecentCounts {
    /// Shifts the counts, so that `current` are those of a period.
    fn advance(&mut self, period: u32) {
        let elapsed_periods = period.saturating_sub(self.period);
        if elapsed_periods == 0 {
            return;
        }
        self.previous = if elapsed_periods == 1 {
            self.current
        } else {
            OutcomeCounts::default()
        };
        self.current = OutcomeCounts::default();
        self.period = period;
    }

    /// Returns whether there is a count in a period or the one before it.
    fn is_recent(&self, period: u32) -> bool {
        period <= self.period.saturating_add(1)
    }
}

/// Counts of recent outcomes by key. Once the table is full, outcomes of further keys are only counted together.
#[derive(Debug)]
pub(super) struct RecentTable<K> {
    entries: FxHashMap<K, RecentCounts>,
    max_entries: usize,
    uncounted: u64,
}

impl<K: Hash + Eq> RecentTable<K> {
    /// Creates an empty table.
    pub(super) fn new(max_entries: usize) -> Self {
        Self {
            entries: FxHashMap::default(),
            max_entries,
            uncounted: 0,
        }
    }

    /// Counts an outcome, given by its index.
    pub(super) fn count(&mut self, key: K, outcome: usize, now: Duration) {
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            self.uncounted += 1;
            return;
        }
        let counts = self.entries.entry(key).or_default();
        counts.advance(period_of(now));
        let count = &mut counts.current[outcome];
        *count = count.saturating_add(1);
    }

    /// Returns the counts of a key in the current and the last period.
    pub(super) fn counts(&self, key: &K, now: Duration) -> OutcomeCounts {
        let Some(counts) = self.entries.get(key) else {
            return OutcomeCounts::default();
        };
        let mut counts = *counts;
        counts.advance(period_of(now));
        std::array::from_fn(|index| counts.current[index].saturating_add(counts.previous[index]))
    }

    /// Removes entries without recent counts.
    pub(super) fn remove_idle(&mut self, now: Duration) {
        let period = period_of(now);
        self.entries.retain(|_key, counts| counts.is_recent(period));
    }
}

fn period_of(now: Duration) -> u32 {
    (now.as_secs() / COUNT_PERIOD.as_secs()) as u32
}

/// Returns the time that recent counts cover. Times are durations since the start of the process.
pub(super) fn counted_time(now: Duration) -> Duration {
    let last_period = period_of(now).saturating_sub(1);
    now.saturating_sub(COUNT_PERIOD * last_period)
}

/// Recent outcomes at this VM: of its callers' requests, and of requests to the parts that it holds.
#[derive(Debug)]
pub(super) struct QuotaUsage {
    requests: RefCell<RecentTable<OrganisationName>>,
    parts: RefCell<RecentTable<(u8, OrganisationName)>>,
}

impl Default for QuotaUsage {
    fn default() -> Self {
        Self {
            requests: RefCell::new(RecentTable::new(MAX_ENTRIES)),
            parts: RefCell::new(RecentTable::new(MAX_ENTRIES)),
        }
    }
}

impl QuotaUsage {
    /// Counts the outcome of a caller's request.
    pub(super) fn count_request(
        &self,
        organisation: &OrganisationName,
        outcome: RequestOutcome,
        now: Duration,
    ) {
        let mut requests = self.requests.borrow_mut();
        requests.count(organisation.clone(), outcome as usize, now);
    }

    /// Counts what this process did as the holder of a part.
    pub(super) fn count_part(
        &self,
        part: u8,
        organisation: &OrganisationName,
        outcome: HolderOutcome,
        now: Duration,
    ) {
        let mut parts = self.parts.borrow_mut();
        parts.count((part, organisation.clone()), outcome as usize, now);
    }

    /// Counts this process's answer as the holder of a part. An answer that it doesn't hold the part is not counted.
    pub(super) fn count_answer(
        &self,
        part: u8,
        organisation: &OrganisationName,
        answer: QuotaAnswer,
        now: Duration,
    ) {
        let outcome = match answer {
            QuotaAnswer::Granted { .. } => HolderOutcome::Granted,
            QuotaAnswer::Refused { .. } => HolderOutcome::Refused,
            QuotaAnswer::Waiting { .. } | QuotaAnswer::Unknown => return,
        };
        self.count_part(part, organisation, outcome, now);
    }

    /// Returns the recent outcomes of an organisation's requests, indexed by [`RequestOutcome`].
    pub(super) fn request_counts(
        &self,
        organisation: &OrganisationName,
        now: Duration,
    ) -> OutcomeCounts {
        self.requests.borrow().counts(organisation, now)
    }

    /// Returns the recent outcomes at a part, indexed by [`HolderOutcome`].
    pub(super) fn part_counts(
        &self,
        part: u8,
        organisation: &OrganisationName,
        now: Duration,
    ) -> OutcomeCounts {
        let key = (part, organisation.clone());
        self.parts.borrow().counts(&key, now)
    }

    /// Returns the number of outcomes that were not counted by organisation since the start, because a table was full.
    pub(super) fn uncounted(&self) -> u64 {
        self.requests.borrow().uncounted + self.parts.borrow().uncounted
    }

    /// Removes entries without recent counts.
    pub(super) fn remove_idle(&self, now: Duration) {
        self.requests.borrow_mut().remove_idle(now);
        self.parts.borrow_mut().remove_idle(now);
    }
}

impl GatewayCore {
    /// Counts whether a caller's request got a token. Organisations without a limit are not counted.
    pub fn count_quota_use(
        &self,
        organisation: &OrganisationEntry,
        outcome: &Result<(), RefusalReason>,
    ) {
        if organisation.quota.is_none() {
            return;
        }
        let outcome = match outcome {
            Ok(()) => RequestOutcome::Granted,
            Err(RefusalReason::OverQuota(_)) => RequestOutcome::OverQuota,
            Err(RefusalReason::QuotaUnknown) => RequestOutcome::QuotaUnknown,
            Err(_reason) => RequestOutcome::Other,
        };
        let now = self.running_time();
        let usage = &self.quota_desk.usage;
        usage.count_request(&organisation.name, outcome, now);
    }
}

#[cfg(test)]
#[path = "usage_tests.rs"]
mod tests;
