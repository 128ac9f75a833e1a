//! Notices about requests that crash upstreams: a small board that every member holds.
//!
//! One notice per request: the one whose event is later. Ages are rounded up when told, so that a notice can only grow
//! older on its way and never keeps itself alive by going round.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::RequestFingerprint;
use crate::membership::snapshot::GossipNotice;

/// Most notices that are held; the oldest goes first.
pub const NOTICE_LIMIT: usize = 64;
/// Age at which a notice is forgotten.
pub const NOTICE_AGE: Duration = Duration::from_mins(15);
/// An event counts as later if it is by this much; ages travel in whole seconds.
const LATER_BY: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct HeldNotice {
    /// When the event was, on this process's clock. Events before its start count as at its start.
    event: Duration,
    /// How old the event was when this process started, beyond what `event` can say.
    elder: Duration,
    lifted: bool,
}

impl HeldNotice {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.event) + self.elder
    }
}

/// The notices that this process holds.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    held: FxHashMap<RequestFingerprint, HeldNotice>,
}

impl NoticeBoard {
    /// Takes a notice and tells whether it was news.
    pub fn merge(&mut self, now: Duration, notice: GossipNotice) -> bool {
        let age = Duration::from_secs(u64::from(notice.age_s));
        if age >= NOTICE_AGE {
            return false;
        }
        if let Some(held) = self.held.get(&notice.fingerprint) {
            let later = age + LATER_BY <= held.age(now);
            // A lift and the evidence it answers may be seconds apart; the lift then wins.
            let lifts = notice.lifted && !held.lifted && age <= held.age(now);
            if !later && !lifts {
                return false;
            }
        }
        let held = HeldNotice {
            event: now.saturating_sub(age),
            elder: age.saturating_sub(now),
            lifted: notice.lifted,
        };
        self.held.insert(notice.fingerprint, held);
        self.bound(now);
        self.held.contains_key(&notice.fingerprint)
    }

    fn bound(&mut self, now: Duration) {
        while self.held.len() > NOTICE_LIMIT {
            let oldest = self.held.iter().max_by_key(|(_, held)| held.age(now));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.held.remove(&fingerprint);
        }
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Duration) {
        self.held.retain(|_, held| held.age(now) < NOTICE_AGE);
    }

    /// What is told to others about a request.
    pub fn notice(&self, now: Duration, fingerprint: RequestFingerprint) -> Option<GossipNotice> {
        let held = self.held.get(&fingerprint)?;
        Some(GossipNotice {
            fingerprint,
            age_s: held.age(now).as_millis().div_ceil(1_000) as u32,
            lifted: held.lifted,
        })
    }

    /// The requests that notices are held about.
    pub fn fingerprints(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.held.keys().copied()
    }
}

#[cfg(test)]
#[path = "notice_tests.rs"]
mod tests;
