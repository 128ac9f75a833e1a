use std::time::Duration;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::bucket::PartLedger;
use super::super::request::{RequesterKey, TokenDecision, TokenRequest, WaitEnd};
use super::super::terms::{PartHold, PartTerms, QuotaBound, RequestQuota};
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::cold::RequestRate;
use crate::ident::{IncarnationNumber, RequestFingerprint, SessionId, VmAddress};

const HOLD: PartHold = PartHold {
    since: Duration::from_secs(1),
    has_allowance: false,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the terms of a part, of which there are six.
fn part_terms(rate: f64, capacity: f64) -> PartTerms {
    let quota = RequestQuota {
        rate: RequestRate(6.0 * rate),
        burst: 6.0 * capacity,
    };
    PartTerms::new(QuotaBound::default(), quota)
}

fn key(number: u64) -> RequesterKey {
    let address = VmAddress([10, 0, 0, 1].into());
    let session = SessionId::new(address, IncarnationNumber(1));
    RequesterKey { session, number }
}

/// One part's ledger with one organisation.
struct Part {
    ledger: PartLedger,
    organisation: OrganisationName,
    terms: PartTerms,
    last_number: u64,
}

impl Part {
    /// Creates a part whose bucket is empty at `now`.
    fn new_empty(terms: PartTerms, now: Duration) -> Self {
        let mut part = Self {
            ledger: PartLedger::new(),
            organisation: OrganisationName::new("north-office"),
            terms,
            last_number: 0,
        };
        part.ledger
            .give_away(&part.organisation, terms, HOLD, u32::MAX, now);
        part
    }

    fn decide(&mut self, request: TokenRequest, now: Duration) -> (u64, TokenDecision) {
        self.last_number += 1;
        let asked = (key(self.last_number), request);
        let organisation = &self.organisation;
        let decision = self
            .ledger
            .decide(organisation, self.terms, HOLD, asked, now);
        (self.last_number, decision)
    }

    fn check(&mut self, now: Duration) -> Vec<WaitEnd> {
        let check = self
            .ledger
            .check_waiting(&self.organisation, self.terms, HOLD, now);
        check.ended
    }
}

fn request(priority: u8, wait_ms: u64, stay_ms: u64, fingerprint: u64) -> TokenRequest {
    TokenRequest {
        priority,
        longest_wait: ms(wait_ms),
        longest_stay: ms(stay_ms),
        fingerprint: RequestFingerprint(fingerprint),
    }
}

/// Guards against refusing a request whose token is due within its wait, and against accepting one more than can be
/// served in time.
#[gtest]
fn a_request_waits_only_for_a_token_that_is_due_in_time() {
    let now = ms(20_000);
    let mut part = Part::new_empty(part_terms(10.0, 4.0), now);
    let waits = |decision| matches!(decision, TokenDecision::WaitUntil { .. });
    expect_that!(waits(part.decide(request(0, 99, 0, 1), now).1), eq(false));
    expect_that!(waits(part.decide(request(0, 250, 0, 2), now).1), eq(true));
    expect_that!(waits(part.decide(request(0, 110, 0, 3), now).1), eq(true));
    // A third one would make the second miss its token.
    expect_that!(waits(part.decide(request(0, 150, 0, 4), now).1), eq(false));
    let numbers = |ended: Vec<WaitEnd>| -> Vec<(u64, bool)> {
        let number = |end: &WaitEnd| (end.requester.number, end.is_granted);
        ended.iter().map(number).collect()
    };
    expect_that!(part.check(now + ms(99)), is_empty());
    // The one that can wait the shortest time goes first.
    expect_that!(numbers(part.check(now + ms(101))), eq(&vec![(3, true)]));
    expect_that!(numbers(part.check(now + ms(201))), eq(&vec![(2, true)]));
}

/// Guards against a token that is lost because the caller of a waiting request has left.
#[gtest]
fn a_released_reservation_goes_to_the_next_request() {
    let now = ms(20_000);
    let mut part = Part::new_empty(part_terms(10.0, 4.0), now);
    let (number, _waits) = part.decide(request(0, 120, 0, 1), now);
    let organisation = part.organisation.clone();
    expect_that!(part.ledger.release(&organisation, key(number)), eq(true));
    expect_that!(part.ledger.release(&organisation, key(number)), eq(false));
    let (_number, decision) = part.decide(request(0, 120, 0, 2), now);
    expect_that!(decision, matches_pattern!(TokenDecision::WaitUntil { .. }));
    expect_that!(part.check(now + ms(101)).len(), eq(1));
}

/// Guards against unbounded state for one organisation.
#[gtest]
fn the_number_of_waiting_requests_and_promises_is_bounded() {
    let now = ms(20_000);
    let mut part = Part::new_empty(part_terms(1_000.0, 4.0), now);
    for number in 0..1_000 {
        part.decide(request(0, 2_000, 2_000, number), now);
    }
    let waiting = part.ledger.waiting_count(&part.organisation);
    expect_that!(waiting, eq(super::MAX_WAITING));
    let wanted = part.ledger.wanted_tokens(&part.organisation) as usize;
    expect_that!(wanted, le(super::MAX_WAITING + super::MAX_PROMISES));
}

/// Guards against a promised token that goes to another request, and against one that is kept for ever.
#[gtest]
fn a_promised_token_is_kept_for_the_return_for_some_time() {
    let now = ms(20_000);
    let promise_to = |part: &mut Part, fingerprint| {
        let (_number, decision) = part.decide(request(0, 0, 500, fingerprint), now);
        let TokenDecision::Refused(refusal) = decision else {
            panic!("the bucket is empty: {decision:?}");
        };
        refusal
    };
    let is_granted = |decision| matches!(decision, TokenDecision::Granted { .. });
    let mut part = Part::new_empty(part_terms(10.0, 4.0), now);
    let refusal = promise_to(&mut part, 1);
    expect_that!(refusal.is_promised, eq(true));
    let later = refusal.return_at + ms(30);
    expect_that!(
        is_granted(part.decide(request(0, 0, 0, 2), later).1),
        eq(false)
    );
    let kept = TokenDecision::Granted {
        is_kept_promise: true,
    };
    expect_that!(part.decide(request(0, 0, 0, 1), later).1, eq(kept));
    // Without a return, the token goes back.
    let mut part = Part::new_empty(part_terms(1.0, 4.0), now);
    let (_number, _refused) = part.decide(request(0, 0, 1_500, 1), now);
    let due = now + ms(1_001);
    expect_that!(
        is_granted(part.decide(request(0, 0, 0, 2), due).1),
        eq(false)
    );
    part.check(due + ms(301));
    let (_number, decision) = part.decide(request(0, 0, 0, 2), due + ms(301));
    expect_that!(is_granted(decision), eq(true));
}

/// Guards against reservations and promises that outlive the hold in which they were made.
#[gtest]
fn a_new_hold_has_no_commitments_of_an_earlier_one() {
    let now = ms(20_000);
    let mut part = Part::new_empty(part_terms(10.0, 4.0), now);
    part.decide(request(0, 150, 0, 1), now);
    part.decide(request(0, 0, 500, 2), now);
    let later = now + ms(500);
    let new_hold = PartHold {
        since: later,
        has_allowance: false,
    };
    let organisation = part.organisation.clone();
    let check = part
        .ledger
        .check_waiting(&organisation, part.terms, new_hold, later);
    expect_that!(check.ended, is_empty());
    expect_that!(part.ledger.wanted_tokens(&organisation), eq(0));
}

/// Guards against giving away tokens that are reserved or promised, and against a bucket above its capacity.
#[gtest]
fn only_spare_tokens_are_given_away_and_only_as_many_received_as_fit() {
    let now = ms(20_000);
    let mut part = Part::new_empty(part_terms(10.0, 4.0), now);
    let name = part.organisation.clone();
    let terms = part.terms;
    part.decide(request(0, 0, 500, 1), now);
    expect_that!(part.ledger.wanted_tokens(&name), eq(1));
    let later = now + ms(250);
    let given = part.ledger.give_away(&name, terms, HOLD, 5, later);
    expect_that!(given, eq(1), "of 2.5 tokens, one of which is promised");
    part.ledger.receive(&name, terms, HOLD, 9, later);
    let given = part.ledger.give_away(&name, terms, HOLD, 9, later);
    expect_that!(given, eq(3), "of four tokens, one of which is promised");
}

/// Decision that is left out of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Requests don't wait at the holder.
    Waiting,
    /// Returns are not recognised.
    Promises,
    /// All kinds count as one class.
    Shares,
}

/// Kind of request: wait for a token, time for which its caller waits in total, and arrivals per second.
#[derive(Debug, Clone, Copy)]
struct Kind {
    wait_ms: u64,
    caller_ms: u64,
    arrivals: f64,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    kind: usize,
    number: u64,
    began_at: Duration,
    /// Whether the caller returns as promised.
    is_promised: bool,
}

/// What happened to the callers of each kind.
#[derive(Debug, Default, Clone)]
struct Outcome {
    callers: Vec<usize>,
    served: Vec<usize>,
    granted: usize,
    refusals: usize,
    missed_waits: usize,
    promised_returns: usize,
    kept_promises: usize,
}

impl Outcome {
    fn served_part(&self, kind: usize) -> f64 {
        self.served[kind] as f64 / self.callers[kind].max(1) as f64
    }

    fn kept_part(&self) -> f64 {
        self.kept_promises as f64 / self.promised_returns.max(1) as f64
    }
}

/// Callers of one organisation at one part. They obey a stay of up to a third of the time that they still wait, and
/// return 2 to 30 ms later than they are told.
struct Replay {
    rng: ChaCha8Rng,
    part: Part,
    without: Without,
    kinds: Vec<Kind>,
    waiting: Vec<(u64, Caller)>,
    returning: Vec<(Duration, Caller)>,
    outcome: Outcome,
}

impl Replay {
    fn run(terms: PartTerms, kinds: &[Kind], seconds: u64, without: Without) -> Outcome {
        let start = ms(20_000);
        let mut replay = Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            part: Part::new_empty(terms, start),
            without,
            kinds: kinds.to_vec(),
            waiting: Vec::new(),
            returning: Vec::new(),
            outcome: Outcome {
                callers: vec![0; kinds.len()],
                served: vec![0; kinds.len()],
                ..Outcome::default()
            },
        };
        for step in 0..seconds * 1_000 {
            replay.step(start + ms(step));
        }
        replay.outcome
    }

    fn step(&mut self, now: Duration) {
        for end in self.part.check(now) {
            let is_ended = |entry: &mut (u64, Caller)| entry.0 == end.requester.number;
            let ended = self.waiting.extract_if(.., is_ended).next();
            let (_number, caller) = ended.expect("the request waits");
            self.outcome.missed_waits += usize::from(!end.is_granted);
            self.end(caller, end.is_granted);
        }
        let returned: Vec<_> = self
            .returning
            .extract_if(.., |(at, _caller)| *at <= now)
            .collect();
        for (_at, caller) in returned {
            self.ask(caller, now);
        }
        for kind in 0..self.kinds.len() {
            if !self.rng.random_bool(self.kinds[kind].arrivals / 1_000.0) {
                continue;
            }
            self.outcome.callers[kind] += 1;
            let caller = Caller {
                kind,
                number: self.outcome.callers.iter().sum::<usize>() as u64,
                began_at: now,
                is_promised: false,
            };
            self.ask(caller, now);
        }
    }

    fn end(&mut self, caller: Caller, is_granted: bool) {
        if is_granted {
            self.outcome.served[caller.kind] += 1;
            self.outcome.granted += 1;
            self.outcome.kept_promises += usize::from(caller.is_promised);
        }
    }

    fn ask(&mut self, caller: Caller, now: Duration) {
        let kind = self.kinds[caller.kind];
        let left = (caller.began_at + ms(kind.caller_ms)).saturating_sub(now);
        self.outcome.promised_returns += usize::from(caller.is_promised);
        let is_recognised = self.without != Without::Promises || !caller.is_promised;
        let fingerprint = caller.number + if is_recognised { 0 } else { 1_000_000 };
        let priority = match self.without {
            Without::Shares => 0,
            _ => caller.kind as u8,
        };
        let wait_ms = match self.without {
            Without::Waiting => 0,
            _ => kind.wait_ms,
        };
        let stay = left / 3;
        let request = TokenRequest {
            longest_stay: stay,
            ..request(priority, wait_ms, 0, fingerprint)
        };
        let (number, decision) = self.part.decide(request, now);
        match decision {
            TokenDecision::Granted { .. } => self.end(caller, true),
            TokenDecision::WaitUntil { .. } => self.waiting.push((number, caller)),
            TokenDecision::Refused(refusal) => {
                self.outcome.refusals += 1;
                if refusal.return_at > now + stay {
                    return;
                }
                let travel = ms(self.rng.random_range(2..30));
                let caller = Caller {
                    is_promised: refusal.is_promised,
                    ..caller
                };
                self.returning.push((refusal.return_at + travel, caller));
            }
        }
    }
}

/// Three kinds, each with the same demand, that together ask for four times the limit of a part.
fn kinds_above(rate: f64) -> [Kind; 3] {
    [(30, 1_200), (150, 2_000), (1_200, 8_000)].map(|(wait_ms, caller_ms)| Kind {
        wait_ms,
        caller_ms,
        arrivals: 4.0 * rate / 3.0,
    })
}

/// Load pattern: one organisation at four times its limit, with three kinds of requests. Its limit has to be used, the
/// most urgent kind served best and none starved, and what was promised has to be kept.
#[gtest]
fn an_organisation_far_above_its_limit_is_served_by_urgency() {
    for (rate, capacity) in [(20.0, 10.0), (5.0, 5.0), (2.7, 5.4), (60.0, 10.0)] {
        let kinds = kinds_above(rate);
        let outcome = Replay::run(part_terms(rate, capacity), &kinds, 10, Without::Nothing);
        let message = format!("rate {rate}: {outcome:?}");
        expect_that!(outcome.granted as f64, ge(0.95 * rate * 10.0), "{message}");
        expect_that!(outcome.missed_waits, eq(0), "{message}");
        expect_that!(outcome.kept_part(), ge(0.9), "{message}");
        expect_that!(
            outcome.served_part(0),
            gt(outcome.served_part(1)),
            "{message}"
        );
        expect_that!(
            outcome.served_part(1),
            gt(outcome.served_part(2)),
            "{message}"
        );
        let least_share = rate * 10.0 / 7.0;
        expect_that!(outcome.served[2] as f64, ge(0.8 * least_share), "{message}");
    }
}

/// Shows that the returns are served because of the promises: without them, a return finds a token only by chance.
#[gtest]
fn returns_are_served_because_tokens_are_set_aside() {
    let kinds = kinds_above(20.0);
    let replay = |without| Replay::run(part_terms(20.0, 10.0), &kinds, 10, without);
    expect_that!(replay(Without::Nothing).kept_part(), ge(0.9));
    expect_that!(replay(Without::Promises).kept_part(), lt(0.5));
}

/// Shows that urgent requests are served because of the shares: without them, requests that can wait a second reserve
/// each token before an urgent one can.
#[gtest]
fn urgent_requests_are_served_because_of_their_share() {
    let kinds = kinds_above(20.0);
    let replay = |without| Replay::run(part_terms(20.0, 10.0), &kinds, 10, without);
    let (with_shares, without) = (replay(Without::Nothing), replay(Without::Shares));
    let message = format!("{with_shares:?} {without:?}");
    expect_that!(with_shares.served_part(0), ge(0.3), "{message}");
    expect_that!(
        without.served_part(0),
        lt(without.served_part(2)),
        "{message}"
    );
}

/// Load pattern: few urgent requests compete with many that can wait. What the urgent class doesn't use has to go to the
/// others.
#[gtest]
fn a_share_that_is_not_used_goes_to_the_other_classes() {
    let kind = |wait_ms, caller_ms, arrivals| Kind {
        wait_ms,
        caller_ms,
        arrivals,
    };
    let kinds = [
        kind(30, 1_200, 2.0),
        kind(0, 0, 0.0),
        kind(1_200, 8_000, 60.0),
    ];
    let replay = |without| Replay::run(part_terms(20.0, 10.0), &kinds, 10, without);
    let (with_shares, without) = (replay(Without::Nothing), replay(Without::Shares));
    let message = format!("{with_shares:?} {without:?}");
    expect_that!(with_shares.granted as f64, ge(0.95 * 200.0), "{message}");
    expect_that!(with_shares.served_part(0), ge(0.95), "{message}");
    expect_that!(without.served_part(0), lt(0.7), "{message}");
}

/// Load pattern: an organisation just within its limit whose requests arrive at random. Most of those that find the
/// bucket empty can wait for the next token.
#[gtest]
fn requests_that_can_wait_are_not_refused_for_a_moment_without_tokens() {
    let kinds = [Kind {
        wait_ms: 300,
        caller_ms: 2_000,
        arrivals: 16.0,
    }];
    let replay = |without| Replay::run(part_terms(20.0, 2.0), &kinds, 60, without);
    let (waiting, without) = (replay(Without::Nothing), replay(Without::Waiting));
    let message = format!("{waiting:?} {without:?}");
    expect_that!(waiting.refusals, lt(without.refusals / 5), "{message}");
    expect_that!(waiting.missed_waits, eq(0), "{message}");
}
