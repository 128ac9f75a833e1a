//! Versions of the quota in a random history: it is lowered and restored, and each VM learns of that at another moment.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::PartTerms;
use super::history_fixture::{HistoryTerms, QuotaHistory, ms};

/// Longest time between two changes of the quota.
const MAX_CHANGE_PERIOD_MS: u64 = 6_000;
/// Time between two removals of full buckets on a VM.
const CLEANUP_PERIOD: Duration = Duration::from_secs(1);

impl QuotaHistory {
    /// Returns the terms of a part as a VM knows them. Each VM learns of a change up to three seconds later.
    pub(super) fn part_terms(&self, number: usize) -> PartTerms {
        let lag = ms(number as u64 * 370 % 3_000);
        let known_changes = self
            .quota_changes
            .iter()
            .filter(|at| **at + lag <= self.now);
        let quota = match self.terms.lowered {
            Some(lowered) if known_changes.count() % 2 == 1 => lowered,
            _ => self.terms.quota,
        };
        PartTerms::new(self.terms.bound, quota)
    }

    /// Lets all VMs remove full buckets from time to time, if the quota changes.
    pub(super) fn clean_up(&mut self) {
        let now = self.now;
        let is_due = now.as_millis().is_multiple_of(CLEANUP_PERIOD.as_millis());
        if !is_due || self.terms.lowered.is_none() {
            return;
        }
        for vm in &mut self.vms {
            let clock = vm.clock(now);
            for ledger in &mut vm.ledgers {
                ledger.remove_full(clock);
            }
        }
    }
}

/// Draws when the quota changes.
pub(super) fn draw_changes(seed: u64, terms: HistoryTerms) -> Vec<Duration> {
    /// Longer than any history that changes its quota.
    const END: Duration = Duration::from_mins(5);
    let mut changes = Vec::new();
    if terms.lowered.is_none() {
        return changes;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(1);
    let mut at = Duration::ZERO;
    while at < END {
        at += ms(rng.random_range(300..MAX_CHANGE_PERIOD_MS));
        changes.push(at);
    }
    changes
}
