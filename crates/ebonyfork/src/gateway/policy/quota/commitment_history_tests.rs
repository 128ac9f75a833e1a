use std::collections::BTreeMap;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::cold::RequestRate;
use crate::ident::{IncarnationNumber, RequestFingerprint, SessionId, VmAddress};

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const QUOTA: RequestQuota = RequestQuota {
    rate: RequestRate(60.0),
    burst: 60.0,
};
/// Time by which the model advances in each step.
const STEP: Duration = Duration::from_millis(10);
/// Time for which a VM waits for a grant: longer than the longest delay.
const PENDING_TIME: Duration = Duration::from_secs(12);
const ASKER_COUNT: usize = 6;

/// Guard that is left out of a history, to show that its judge notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeftOut {
    Nothing,
    /// Grants are used however long they were on the way.
    Transit,
    /// Grants are put back however long ago they were.
    GiveBackAge,
    /// A promised return takes no token.
    PromisedToken,
    /// A released request gives a token back, whether it was granted one or not.
    ReleasedToken,
}

/// Start of the hold in which a token was granted, and time of the grant.
type HeldGrant = (Duration, Duration);

/// Message between an asking VM and the holder.
#[derive(Debug, Clone, Copy)]
enum Transit {
    Ask(u64, TokenRequest),
    Release(u64),
    GiveBack(HeldGrant),
    Grant {
        number: u64,
        grant: HeldGrant,
        waited: Duration,
    },
}

/// Model of one part of one organisation: VMs ask its holder for more tokens than there are, with waits and returns.
/// Requests leave, grants are delayed together, other messages are late, and holders change.
struct CommitmentHistory {
    rng: ChaCha8Rng,
    left_out: LeftOut,
    terms: PartTerms,
    organisation: OrganisationName,
    now: Duration,
    held_since: Duration,
    ledger: PartLedger,
    /// Messages by the time of their arrival and the VM that asks.
    transit: Vec<(Duration, usize, Transit)>,
    /// Time until which no grant reaches a VM.
    delayed_until: [Duration; ASKER_COUNT],
    /// Requests that wait for a token, with the VM that asks and the time.
    pending: BTreeMap<u64, (usize, Duration)>,
    last_number: u64,
    /// Send times of all requests, in order.
    sends: Vec<Duration>,
    kept_promises: usize,
}

impl CommitmentHistory {
    fn run(seed: u64, left_out: LeftOut, length: Duration) -> Self {
        let start = Duration::from_mins(1);
        let mut history = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            left_out,
            terms: PartTerms::new(BOUND, QUOTA),
            organisation: OrganisationName::new("north-office"),
            now: start,
            held_since: Duration::from_secs(1),
            ledger: PartLedger::new(),
            transit: Vec::new(),
            delayed_until: [Duration::ZERO; ASKER_COUNT],
            pending: BTreeMap::new(),
            last_number: 0,
            sends: Vec::new(),
            kept_promises: 0,
        };
        while history.now < start + length {
            history.now += STEP;
            history.inject_faults();
            history.deliver();
            history.check();
            history.run_callers();
        }
        history
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.0005) {
            self.held_since = self.now;
        }
        for asker in 0..ASKER_COUNT {
            if self.rng.random_bool(0.0005) {
                let delay = Duration::from_millis(self.rng.random_range(500..8_000));
                self.delayed_until[asker] = self.now + delay;
            }
        }
    }

    fn send(&mut self, asker: usize, message: Transit) {
        let is_slow = self.rng.random_bool(0.05);
        let delay = self.rng.random_range(1..if is_slow { 4_000 } else { 40 });
        let at = self.now + Duration::from_millis(delay);
        self.transit.push((at, asker, message));
    }

    fn deliver(&mut self) {
        let (now, delayed_until) = (self.now, self.delayed_until);
        let arrived: Vec<_> = self
            .transit
            .extract_if(.., |(at, asker, message)| {
                let is_delayed =
                    matches!(message, Transit::Grant { .. }) && now < delayed_until[*asker];
                *at <= now && !is_delayed
            })
            .collect();
        for (_at, asker, message) in arrived {
            match message {
                Transit::Ask(number, request) => self.decide(asker, number, request),
                Transit::Release(number) => {
                    self.ledger.release(&self.organisation, requester(number));
                    if self.left_out == LeftOut::ReleasedToken {
                        self.give_back((self.held_since, self.now));
                    }
                }
                Transit::GiveBack(grant) => self.give_back(grant),
                Transit::Grant {
                    number,
                    grant,
                    waited,
                } => self.take_grant(asker, number, grant, waited),
            }
        }
    }

    fn give_back(&mut self, (held_since, granted_at): HeldGrant) {
        let granted_at = match self.left_out {
            LeftOut::GiveBackAge => self.now,
            _ => granted_at,
        };
        let (organisation, terms) = (&self.organisation, self.terms);
        self.ledger
            .give_back(organisation, terms, held_since, granted_at, self.now);
    }

    fn decide(&mut self, asker: usize, number: u64, request: TokenRequest) {
        let held_since = self.held_since;
        let hold = PartHold {
            since: held_since,
            has_allowance: false,
        };
        let asked = (requester(number), request);
        let (organisation, terms) = (&self.organisation, self.terms);
        let decision = self
            .ledger
            .decide(organisation, terms, hold, asked, self.now);
        if let TokenDecision::Granted { is_kept_promise } = decision {
            self.kept_promises += usize::from(is_kept_promise);
            if is_kept_promise && self.left_out == LeftOut::PromisedToken {
                self.give_back((held_since, self.now));
            }
            let waited = Duration::ZERO;
            self.send(
                asker,
                Transit::Grant {
                    number,
                    grant: (held_since, self.now),
                    waited,
                },
            );
        }
    }

    fn check(&mut self) {
        let held_since = self.held_since;
        let hold = PartHold {
            since: held_since,
            has_allowance: false,
        };
        let (organisation, terms) = (&self.organisation, self.terms);
        let check = self
            .ledger
            .check_waiting(organisation, terms, hold, self.now);
        for end in check.ended {
            if !end.is_granted {
                continue;
            }
            let number = end.requester.number;
            let grant = Transit::Grant {
                number,
                grant: (held_since, self.now),
                waited: end.waited,
            };
            self.send(number as usize % ASKER_COUNT, grant);
        }
    }

    fn take_grant(&mut self, asker: usize, number: u64, grant: HeldGrant, waited: Duration) {
        // Requests that were refused have no answer in the model.
        let now = self.now;
        self.pending
            .retain(|_number, (_asker, asked_at)| now.saturating_sub(*asked_at) < PENDING_TIME);
        let asked_at = self
            .pending
            .remove(&number)
            .map(|(_asker, asked_at)| asked_at);
        let is_usable = asked_at.is_some_and(|asked_at| {
            self.left_out == LeftOut::Transit || is_timely(now.saturating_sub(asked_at), waited)
        });
        if is_usable {
            self.sends.push(self.now);
        } else {
            self.send(asker, Transit::GiveBack(grant));
        }
    }

    fn run_callers(&mut self) {
        for asker in 0..ASKER_COUNT {
            if self.rng.random_bool(0.02) {
                let mut of_asker = self.pending.iter().filter(|entry| entry.1.0 == asker);
                if let Some(number) = of_asker.next_back().map(|(number, _pending)| *number) {
                    self.pending.remove(&number);
                    self.send(asker, Transit::Release(number));
                }
            }
            if self.rng.random_bool(0.08) {
                self.ask(asker);
            }
        }
    }

    fn ask(&mut self, asker: usize) {
        // The number also tells which VM asks.
        self.last_number += 1;
        let number = self.last_number * ASKER_COUNT as u64 + asker as u64;
        let waits = [0, 30, 150, 1_200];
        let wait = waits[self.rng.random_range(0..waits.len())];
        let request = TokenRequest {
            priority: self.rng.random_range(0..4),
            longest_wait: Duration::from_millis(wait),
            longest_stay: Duration::from_millis(700),
            // Few fingerprints, so that requests often return to a promise.
            fingerprint: RequestFingerprint(self.rng.random_range(0..40)),
        };
        self.pending.insert(number, (asker, self.now));
        self.send(asker, Transit::Ask(number, request));
    }

    /// Returns the largest number of requests in any window, counted apart from the code under test.
    fn busiest_window(&self) -> usize {
        let mut busiest = 0;
        let mut first = 0;
        for (index, at) in self.sends.iter().enumerate() {
            while self.sends[first] + BOUND.window < *at {
                first += 1;
            }
            busiest = busiest.max(index + 1 - first);
        }
        busiest
    }
}

fn requester(number: u64) -> RequesterKey {
    let address = VmAddress([10, 0, 0, (number % ASKER_COUNT as u64) as u8].into());
    let session = SessionId::new(address, IncarnationNumber(1));
    RequesterKey { session, number }
}

/// Returns how many of some histories exceed one part's share of the bound.
fn count_exceeding(seeds: std::ops::Range<u64>, left_out: LeftOut) -> usize {
    let limit = BOUND.limit(QUOTA) / QUOTA_PARTS as f64;
    let mut exceeding = 0;
    for seed in seeds {
        let history = CommitmentHistory::run(seed, left_out, Duration::from_mins(2));
        exceeding += usize::from(history.busiest_window() as f64 > limit);
    }
    exceeding
}

/// Guards against reservations and promises that let more requests through than the bound allows.
#[gtest]
fn commitments_stay_within_the_bound() {
    expect_that!(count_exceeding(0..8, LeftOut::Nothing), eq(0));
    let history = CommitmentHistory::run(1, LeftOut::Nothing, Duration::from_mins(2));
    expect_that!(history.kept_promises, ge(50));
    // The part is used up; late grants and new holders lose the rest.
    let served = history.sends.len() as f64 / (history.terms.rate * 120.0);
    expect_that!(served, ge(0.7));
}

/// Shows that the judge of the histories notices each guard that is left out.
#[gtest]
fn each_guard_of_commitments_is_needed() {
    for left_out in [
        LeftOut::Transit,
        LeftOut::GiveBackAge,
        LeftOut::PromisedToken,
        LeftOut::ReleasedToken,
    ] {
        expect_that!(count_exceeding(0..8, left_out), gt(0), "{left_out:?}");
    }
}
