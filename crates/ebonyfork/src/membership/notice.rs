//! Notices of other duties: a small board that every member holds.
//!
//! A notice is told to everybody once and then forgotten after [`NOTICE_AGE`]. Ages are rounded up when told, so that a
//! notice can only grow older on its way and never keeps itself alive by going round.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::membership::snapshot::{GossipNotice, NOTICE_PAYLOAD_LIMIT};

/// Most notices that are held; the oldest goes first.
pub const NOTICE_LIMIT: usize = 64;
/// Age at which a notice is forgotten.
pub const NOTICE_AGE: Duration = Duration::from_mins(15);

#[derive(Debug, Clone)]
struct HeldNotice {
    /// When it was published, on this process's clock; at its start if it was earlier.
    published: Duration,
    /// How old it was when this process started, beyond what `published` can say.
    elder: Duration,
    payload: SmallVec<[u8; 64]>,
}

impl HeldNotice {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.published) + self.elder
    }
}

/// The notices that this process holds.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    held: FxHashMap<u64, HeldNotice>,
}

impl NoticeBoard {
    /// Takes a notice and tells whether it was news.
    pub fn merge(&mut self, now: Duration, notice: &GossipNotice) -> bool {
        let age = notice.age();
        let known = self.held.contains_key(&notice.number);
        if known || age >= NOTICE_AGE || notice.payload.len() > NOTICE_PAYLOAD_LIMIT {
            return false;
        }
        let held = HeldNotice {
            published: now.saturating_sub(age),
            elder: age.saturating_sub(now),
            payload: notice.payload.clone(),
        };
        self.held.insert(notice.number, held);
        self.bound(now);
        self.held.contains_key(&notice.number)
    }

    fn bound(&mut self, now: Duration) {
        while self.held.len() > NOTICE_LIMIT {
            let oldest = self.held.iter().max_by_key(|(_, held)| held.age(now));
            let Some(number) = oldest.map(|(number, _)| *number) else {
                return;
            };
            self.held.remove(&number);
        }
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Duration) {
        self.held.retain(|_, held| held.age(now) < NOTICE_AGE);
    }

    /// What is told to others.
    pub fn notice(&self, now: Duration, number: u64) -> Option<GossipNotice> {
        let held = self.held.get(&number)?;
        let age_s = held.age(now).as_millis().div_ceil(1_000) as u32;
        Some(GossipNotice {
            number,
            age_s,
            payload: held.payload.clone(),
        })
    }

    /// The notices that are held.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.held.keys().copied()
    }
}

#[cfg(test)]
#[path = "notice_tests.rs"]
mod tests;
