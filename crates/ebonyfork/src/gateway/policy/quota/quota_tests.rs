use googletest::prelude::*;

use super::*;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::cold::RequestRate;
use crate::ident::{IncarnationNumber, RequestFingerprint, SessionId};

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn quota(rate: f64, burst: f64) -> RequestQuota {
    RequestQuota {
        rate: RequestRate(rate),
        burst,
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new("north-office")
}

/// Takes a token every `period` for `seconds` and returns how many were granted.
fn take_all(ledger: &mut PartLedger, terms: PartTerms, from: Duration, seconds: u64) -> usize {
    let mut granted = 0;
    for step in 0..seconds * 100 {
        let now = from + ms(step * 10);
        granted += usize::from(
            ledger
                .take(&organisation(), terms, PartHold::default(), now)
                .is_ok(),
        );
    }
    granted
}

#[gtest]
fn the_parts_of_a_quota_add_up_to_it() {
    for (rate, burst) in [
        (16.0, 16.0),
        (0.5, 1.0),
        (200.0, 40.0),
        (3.0, 0.0),
        (2_000.0, 0.0),
    ] {
        let quota = quota(rate, burst);
        let terms = PartTerms::new(BOUND, quota);
        let parts = terms.part_count as f64;
        // A holder with a fast clock, and grants and transfers that were on their way when the window began.
        let refill_time = BOUND.window.as_secs_f64() * 1.01 + 0.125 + 0.05;
        let in_window = (terms.rate + terms.recovery_rate) * refill_time;
        expect_that!(terms.rate * parts, near(rate, 1e-9));
        expect_that!(terms.capacity, ge(1.0));
        expect_that!(
            (terms.capacity + terms.start_tokens + in_window) * parts,
            le(BOUND.limit(quota)),
            "{quota}"
        );
    }
}

/// A quota without any slack can't be divided into buckets of less than one token.
#[gtest]
fn a_small_quota_without_slack_has_one_part() {
    let terms = PartTerms::new(QuotaBound::default(), quota(1.0, 1.0));
    expect_that!(terms.part_count, eq(1));
    let mut ledger = PartLedger::new();
    expect_that!(take_all(&mut ledger, terms, ms(5_000), 10), eq(10));
}

#[gtest]
fn small_quotas_are_spread_over_the_parts() {
    let terms = PartTerms::new(QuotaBound::default(), quota(1.0, 1.0));
    let mut organisations_of_part = [0; QUOTA_PARTS];
    for number in 0..600 {
        let name = OrganisationName::new(format!("organisation-{number}"));
        for part in terms.parts_of(&name) {
            organisations_of_part[usize::from(part)] += 1;
        }
    }
    expect_that!(organisations_of_part, each(ge(50)));
}

#[gtest]
fn a_lowered_quota_binds_at_once() {
    let mut ledger = PartLedger::new();
    let before = PartTerms::new(BOUND, quota(60.0, 60.0));
    expect_that!(take_all(&mut ledger, before, ms(30_000), 1), ge(19));
    let after = PartTerms::new(BOUND, quota(6.0, 6.0));
    let most = (after.capacity + after.rate * 10.0).ceil() as usize;
    expect_that!(take_all(&mut ledger, after, ms(31_000), 10), le(most));
}

#[gtest]
fn a_returned_token_is_granted_again_only_in_the_same_hold() {
    let terms = PartTerms::new(QuotaBound::default(), quota(1.0, 1.0));
    let mut ledger = PartLedger::new();
    let hold = PartHold {
        since: ms(1_000),
        has_allowance: false,
    };
    let take = |ledger: &mut PartLedger| {
        ledger
            .take(&organisation(), terms, hold, ms(20_000))
            .is_ok()
    };
    expect_that!(take(&mut ledger), eq(true));
    expect_that!(take(&mut ledger), eq(false));
    let now = ms(20_000);
    ledger.give_back(&organisation(), terms, hold.since, now, now);
    expect_that!(take(&mut ledger), eq(true));
    ledger.give_back(&organisation(), terms, ms(999), now, now);
    expect_that!(take(&mut ledger), eq(false));
}

#[gtest]
fn the_stated_wait_ends_with_a_token() {
    let terms = PartTerms::new(QuotaBound::default(), quota(1.0, 1.0));
    let mut ledger = PartLedger::new();
    let now = ms(20_000);
    let take = |ledger: &mut PartLedger, now| {
        ledger.take(&organisation(), terms, PartHold::default(), now)
    };
    expect_that!(take(&mut ledger, now), ok(eq(())));
    let wait = take(&mut ledger, now).expect_err("the part is empty");
    expect_that!(
        take(&mut ledger, (now + wait).saturating_sub(ms(1))),
        err(anything())
    );
    expect_that!(take(&mut ledger, now + wait + ms(1)), ok(eq(())));
}

#[gtest]
fn full_buckets_are_removed() {
    let terms = PartTerms::new(BOUND, quota(6.0, 6.0));
    let mut ledger = PartLedger::new();
    for number in 0..100 {
        let name = OrganisationName::new(format!("organisation-{number}"));
        expect_that!(
            ledger.take(&name, terms, PartHold::default(), ms(20_000)),
            ok(eq(()))
        );
    }
    ledger.remove_full(ms(20_500));
    expect_that!(ledger.bucket_count(), eq(100));
    ledger.remove_full(ms(21_001));
    expect_that!(ledger.bucket_count(), eq(0));
}

/// Load pattern: one organisation sends many times its quota, and its callers return when they are told to. If all of
/// them were told the time of the next token, most of them would be refused again at once.
#[gtest]
fn refused_callers_return_one_by_one() {
    let quota = quota(10.0, 10.0);
    let replay = |spreads_returns: bool| {
        let terms = PartTerms::new(QuotaBound::default(), quota);
        let mut ledger = PartLedger::new();
        let mut last_return = None;
        let mut refused_again = 0;
        let mut waiting = Vec::new();
        for step in 0..400 {
            let now = ms(20_000 + step * 10);
            // 30 new requests per second during the first two seconds.
            let returned = waiting.extract_if(.., |at| *at <= now).count();
            let new = usize::from(step < 200 && step % 3 == 0);
            for request in 0..returned + new {
                let Err(wait) = ledger.take(&organisation(), terms, PartHold::default(), now)
                else {
                    continue;
                };
                refused_again += usize::from(request < returned);
                let next_token = now + wait;
                let at = if spreads_returns {
                    next_return(last_return, quota, next_token)
                } else {
                    next_token
                };
                last_return = Some(at);
                waiting.push(at);
            }
        }
        refused_again
    };
    let (spread, together) = (replay(true), replay(false));
    expect_that!(spread, lt(together / 3), "{spread} of {together}");
}

/// Guards against granting a burst twice: under a quota that is lowered for a moment the bucket is full at once, and if
/// its account were removed then, the restored quota would begin with a full bucket.
#[gtest]
fn a_quota_that_is_lowered_and_restored_grants_one_burst() {
    let quotas = [quota(20.0, 150.0), quota(20.0, 1.0)];
    let [high, low] = quotas.map(|quota| PartTerms::new(BOUND, quota));
    for lowered_ms in [1_000, 2_000, 4_000] {
        let mut ledger = PartLedger::new();
        let start = ms(60_000);
        let mut granted = take_all(&mut ledger, high, start, 1);
        let lowered_at = start + ms(1_000);
        let restored_at = lowered_at + ms(lowered_ms);
        let hold = PartHold::default();
        let taken = ledger.take(&organisation(), low, hold, lowered_at);
        granted += usize::from(taken.is_ok());
        ledger.remove_full(restored_at);
        granted += take_all(&mut ledger, high, restored_at, 1);
        let elapsed = 2.0 + lowered_ms as f64 / 1_000.0;
        let allowed = high.capacity + high.rate * elapsed + 1.0;
        expect_that!(granted as f64, le(allowed), "lowered for {lowered_ms} ms");
    }
}

/// An account goes once its bucket would be full under any of its quotas.
#[gtest]
fn an_account_of_a_lowered_quota_is_removed_in_time() {
    let quotas = [quota(20.0, 150.0), quota(20.0, 1.0)];
    let [high, low] = quotas.map(|quota| PartTerms::new(BOUND, quota));
    let mut ledger = PartLedger::new();
    let start = ms(60_000);
    take_all(&mut ledger, high, start, 1);
    let hold = PartHold::default();
    let lowered_at = start + ms(1_200);
    expect_that!(
        ledger.take(&organisation(), low, hold, lowered_at),
        ok(eq(()))
    );
    let refill_time = Duration::from_secs_f64(high.capacity / high.rate + 1.0);
    ledger.remove_full(lowered_at + ms(1_000));
    expect_that!(ledger.bucket_count(), eq(1));
    ledger.remove_full(lowered_at + refill_time);
    expect_that!(ledger.bucket_count(), eq(0));
}

/// A wait of 584 billion years in another VM's message overflowed the addition to the present time, which ended the task
/// that answers the VMs.
#[gtest]
fn a_stated_wait_that_no_clock_can_add_is_bounded() {
    let stated = TokenRequest {
        priority: 0,
        longest_wait: Duration::MAX,
        longest_stay: Duration::MAX,
        fingerprint: RequestFingerprint(1),
    };
    let bytes = postcard::to_stdvec(&stated).expect("encoded");
    let request: TokenRequest = postcard::from_bytes(&bytes).expect("decoded");
    let terms = PartTerms::new(BOUND, quota(2.0, 1.0));
    let hold = PartHold::default();
    let mut ledger = PartLedger::new();
    for number in 0..200 {
        let requester = RequesterKey {
            session: SessionId::new(
                "127.0.0.1".parse().expect("an address"),
                IncarnationNumber(1),
            ),
            number,
        };
        let _decision = ledger.decide(
            &organisation(),
            terms,
            hold,
            (requester, request),
            ms(9_000),
        );
    }
    let check = ledger.check_waiting(&organisation(), terms, hold, ms(10_000));
    expect_that!(check.next_check, some(gt(ms(10_000))));
}
