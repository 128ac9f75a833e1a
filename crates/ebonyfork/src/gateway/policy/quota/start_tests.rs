//! Load pattern: all holders are killed at the same moment and start again a second later, while 80 organisations send
//! half of their limit.

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::claim::{ClaimRecord, StoreClaim};
use crate::gateway::policy::cold::RequestRate;
use crate::ident::{IncarnationNumber, SessionId, VmAddress};
use crate::store::StoreRevision;

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
/// Time by which the model advances in each step.
const STEP: Duration = Duration::from_millis(10);

/// Holder of one part, and the claim's record in the store.
struct Holder {
    incarnation: u64,
    claim: StoreClaim,
    ledger: PartLedger,
    stored: Option<(u64, ClaimRecord)>,
    dead_until: Duration,
    /// Number of holds that have started with an allowance.
    allowances: usize,
}

fn new_claim(number: usize, incarnation: u64) -> StoreClaim {
    let address = VmAddress([10, 0, 0, number as u8].into());
    let session = SessionId::new(address, IncarnationNumber(incarnation));
    StoreClaim::new(session, QUOTA_CLAIM).with_allowance(BOUND.window)
}

impl Holder {
    fn new(number: usize) -> Self {
        Self {
            incarnation: 1,
            claim: new_claim(number, 1),
            ledger: PartLedger::new(),
            stored: None,
            dead_until: Duration::ZERO,
            allowances: 0,
        }
    }

    fn kill(&mut self, number: usize, dead_until: Duration) {
        self.incarnation += 1;
        self.claim = new_claim(number, self.incarnation);
        self.ledger = PartLedger::new();
        self.dead_until = dead_until;
    }

    fn write_claim(&mut self, offers_allowance: bool, now: Duration) {
        if now < self.dead_until {
            return;
        }
        if let Some((revision, record)) = self.stored {
            self.claim
                .observe(StoreRevision::new(revision), record, now);
        }
        let Some(mut write) = self.claim.next_write(true, now) else {
            return;
        };
        write.record.offers_allowance &= offers_allowance;
        let revision = self.stored.map_or(1, |(revision, _record)| revision + 1);
        self.stored = Some((revision, write.record));
        let had_hold = self.claim.is_usable(now);
        let revision = StoreRevision::new(revision);
        self.claim.record_write(write, revision, now, now);
        self.allowances += usize::from(!had_hold && self.claim.has_allowance());
    }

    fn take(&mut self, name: &OrganisationName, terms: PartTerms, now: Duration) -> bool {
        let hold = PartHold::of_claim(&self.claim, now);
        let hold = hold.filter(|_hold| now >= self.dead_until);
        hold.is_some_and(|hold| self.ledger.take(name, terms, hold, now).is_ok())
    }
}

/// What has become of the requests of all organisations.
#[derive(Debug, Default)]
struct Outcome {
    /// Number of refusals later than one second after the first kill.
    late_refusals: usize,
    /// Largest share of its limit that any organisation has used in a window.
    busiest: f64,
    /// Largest number of starts with an allowance of a part.
    allowances: usize,
}

/// Kills all holders for a second at each of the times, in seconds.
fn replay(kills: &[f64], offers_allowance: bool) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut holders: Vec<Holder> = (0..QUOTA_PARTS).map(Holder::new).collect();
    let mut outcome = Outcome::default();
    let mut grants = vec![Vec::new(); 80];
    let first_kill = Duration::from_secs_f64(kills[0]);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(40) {
        now += STEP;
        let kill = |at: &f64| Duration::from_secs_f64(*at).abs_diff(now) < STEP / 2;
        for (number, holder) in holders.iter_mut().enumerate() {
            if kills.iter().any(kill) {
                holder.kill(number, now + Duration::from_secs(1));
            }
            holder.write_claim(offers_allowance, now);
        }
        for (number, grants) in grants.iter_mut().enumerate() {
            let rate = [0.5, 2.0, 8.0, 40.0][number % 4];
            let quota = RequestQuota {
                rate: RequestRate(rate),
                burst: rate.ceil(),
            };
            if !rng.random_bool(rate * 0.5 * STEP.as_secs_f64()) {
                continue;
            }
            let terms = PartTerms::new(BOUND, quota);
            let name = OrganisationName::new(format!("organisation-{number}"));
            // Callers in all zones: any of the holders may be the nearest.
            let mut parts: Vec<u8> = terms.parts_of(&name).collect();
            let nearest = rng.random_range(0..parts.len());
            parts.rotate_left(nearest);
            let mut parts = parts.into_iter();
            if parts.any(|part| holders[usize::from(part)].take(&name, terms, now)) {
                grants.push(now);
                let in_window = grants.iter().filter(|at| **at + BOUND.window > now);
                let share = in_window.count() as f64 / BOUND.limit(quota);
                outcome.busiest = outcome.busiest.max(share);
            } else if now > first_kill + Duration::from_secs(1) {
                outcome.late_refusals += 1;
            }
        }
    }
    let allowances = holders.iter().map(|holder| holder.allowances).max();
    outcome.allowances = allowances.unwrap_or_default();
    outcome
}

#[gtest]
fn no_organisation_below_its_limit_is_refused_after_all_holders_were_killed() {
    let outcome = replay(&[20.0], true);
    expect_that!(outcome.late_refusals, eq(0));
    expect_that!(outcome.allowances, eq(1));
    expect_that!(outcome.busiest, le(1.0));
    let without = replay(&[20.0], false);
    expect_that!(without.late_refusals, ge(20));
}

/// Guards against a second allowance within a window.
#[gtest]
fn a_second_kill_within_a_window_gives_no_second_allowance() {
    let outcome = replay(&[20.0, 22.5], true);
    expect_that!(outcome.allowances, eq(1));
    expect_that!(outcome.busiest, le(1.0));
    let outcome = replay(&[20.0, 32.0], true);
    expect_that!(outcome.allowances, eq(2));
}
