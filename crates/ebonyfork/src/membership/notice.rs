//! Bounded table of the notices that other subsystems broadcast through gossip.
//!
//! Each notice is broadcast once and removed after [`NOTICE_AGE`]. Ages are rounded up when sent, so that a notice
//! never becomes younger by being forwarded and can't circulate forever.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::membership::snapshot::{GossipNotice, NOTICE_PAYLOAD_LIMIT};

/// Maximum number of notices held; the oldest is evicted first.
pub const NOTICE_LIMIT: usize = 64;
/// Age at which a notice expires.
pub const NOTICE_AGE: Duration = Duration::from_mins(15);

/// A notice with its publication time.
#[derive(Debug, Clone)]
struct HeldNotice {
    /// Time of publication since the start of this process; zero if the notice is older than the process.
    published_at: Duration,
    /// Age that the notice already had when this process started.
    age_at_start: Duration,
    payload: SmallVec<[u8; 64]>,
}

impl HeldNotice {
    /// Returns the time since the notice was published.
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.published_at) + self.age_at_start
    }
}

/// Notices that are known to this process, by notice number.
#[derive(Debug, Default)]
pub struct NoticeTable {
    notices: FxHashMap<u64, HeldNotice>,
}

impl NoticeTable {
    /// Stores a notice; returns false if it was known, expired or too long, or was evicted at once.
    pub fn merge(&mut self, now: Duration, notice: &GossipNotice) -> bool {
        let age = notice.age();
        let is_known = self.notices.contains_key(&notice.number);
        if is_known || age >= NOTICE_AGE || notice.payload.len() > NOTICE_PAYLOAD_LIMIT {
            return false;
        }
        let held_notice = HeldNotice {
            published_at: now.saturating_sub(age),
            age_at_start: age.saturating_sub(now),
            payload: notice.payload.clone(),
        };
        self.notices.insert(notice.number, held_notice);
        self.evict_oldest(now);
        self.notices.contains_key(&notice.number)
    }

    /// Evicts the oldest notices beyond [`NOTICE_LIMIT`].
    fn evict_oldest(&mut self, now: Duration) {
        while self.notices.len() > NOTICE_LIMIT {
            let oldest_entry = self
                .notices
                .iter()
                .max_by_key(|(_, held_notice)| held_notice.age(now));
            let Some(number) = oldest_entry.map(|(number, _)| *number) else {
                return;
            };
            self.notices.remove(&number);
        }
    }

    /// Removes expired notices.
    pub fn remove_expired(&mut self, now: Duration) {
        self.notices
            .retain(|_, held_notice| held_notice.age(now) < NOTICE_AGE);
    }

    /// Returns a notice with its age at `now`, for sending.
    pub fn notice(&self, now: Duration, number: u64) -> Option<GossipNotice> {
        let held_notice = self.notices.get(&number)?;
        let age_s = held_notice.age(now).as_millis().div_ceil(1_000) as u32;
        Some(GossipNotice {
            number,
            age_s,
            payload: held_notice.payload.clone(),
        })
    }

    /// Iterates over the numbers of the stored notices.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.notices.keys().copied()
    }
}

#[cfg(test)]
#[path = "notice_tests.rs"]
mod tests;
