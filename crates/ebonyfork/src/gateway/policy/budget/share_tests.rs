use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::ident::UpstreamService;
use crate::gateway::policy::budget::bucket::{RepeatDenial, RetryBudget, RetryBudgetConfig};

const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};
/// Number of organisations in addition to the one with the high demand.
const OTHERS: usize = 20;
/// Requests per second of each of them.
const OTHER_RATE: f64 = 2.0;
/// Fraction of the requests that need a repeat while the service fails.
const FAILURE_RATE: f64 = 0.5;

fn service() -> UpstreamService {
    UpstreamService::new("shard")
}

fn spender(number: usize) -> RepeatSpender {
    RepeatSpender::new(FlowKey::new(&number.to_string()), None)
}

/// Replays a service that fails for a minute. Returns the fraction of the repeats that was granted to the organisation
/// with the high demand and to the others.
fn granted_fractions(multiple: f64, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(CONFIG);
    let others_rate = OTHER_RATE * OTHERS as f64;
    let total_rate = others_rate * (1.0 + multiple);
    // Wanted and granted repeats of the busy organisation and of the others.
    let mut counts = [[0.0; 2]; 2];
    let mut now = Duration::from_secs(30);
    while now < Duration::from_secs(90) {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / total_rate);
        let is_busy = rng.random_bool(multiple / (1.0 + multiple));
        let organisation = if is_busy {
            OTHERS
        } else {
            rng.random_range(0..OTHERS)
        };
        budget.record_request(&service(), now);
        if !rng.random_bool(FAILURE_RATE) {
            continue;
        }
        let result = budget.spend_for(&service(), Some(spender(organisation)), now);
        let count = &mut counts[usize::from(!is_busy)];
        count[0] += 1.0;
        count[1] += f64::from(u8::from(result.is_ok()));
    }
    (counts[0][1] / counts[0][0], counts[1][1] / counts[1][0])
}

/// Guards against an organisation whose repeats leave none for the others.
#[gtest]
fn the_organisation_with_the_most_repeats_is_denied_first() {
    for seed in 0..5 {
        let (busy, others) = granted_fractions(10.0, seed);
        expect_that!(others, ge(0.95), "{seed}: busy {busy}");
        // Nothing is lost: the busy organisation gets what the others leave.
        expect_that!(busy, ge(0.25), "{seed}: others {others}");
    }
}

/// An organisation that was the only one to need repeats leaves half of the bucket to the next one, and without
/// organisations nothing is left.
#[gtest]
fn half_of_the_bucket_is_left_for_the_next_organisation() {
    for has_organisations in [true, false] {
        let mut budget = RetryBudget::new(CONFIG);
        let now = Duration::from_mins(1);
        let capacity = budget.available_repeats(&service(), now);
        let first_spender = has_organisations.then(|| spender(1));
        let denial = loop {
            if let Err(denial) = budget.spend_for(&service(), first_spender, now) {
                break denial;
            }
        };
        let left = budget.available_repeats(&service(), now);
        if has_organisations {
            expect_that!(denial, eq(RepeatDenial::OverShare));
            expect_that!(left, all![gt(capacity / 2.0 - 1.0), lt(capacity / 2.0)]);
            let next = budget.spend_for(&service(), Some(spender(2)), now);
            expect_that!(next, ok(eq(())));
        } else {
            expect_that!(denial, eq(RepeatDenial::Empty));
            expect_that!(left, lt(1.0));
        }
    }
}

/// Organisations that spend equally are not denied before the bucket is empty.
#[gtest]
fn equal_organisations_use_the_whole_bucket() {
    let mut budget = RetryBudget::new(CONFIG);
    let now = Duration::from_mins(1);
    let mut number = 0;
    while budget
        .spend_for(&service(), Some(spender(number % 7)), now)
        .is_ok()
    {
        number += 1;
    }
    expect_that!(budget.available_repeats(&service(), now), lt(1.0));
}

/// Repeats count for one window, in proportion to the weight of the organisation.
#[gtest]
fn repeats_count_for_one_window_and_by_weight() {
    let window = CONFIG.window;
    let mut shares = RepeatShares::default();
    let urgent = RepeatSpender::new(FlowKey::new("urgent"), Some(0));
    for _ in 0..30 {
        shares.record(urgent);
    }
    for _ in 0..10 {
        shares.record(spender(1));
    }
    let now = Duration::from_secs(1);
    expect_that!(shares.is_over_share(urgent, window, now), eq(false));
    expect_that!(shares.is_over_share(spender(1), window, now), eq(true));
    expect_that!(shares.is_over_share(spender(2), window, now), eq(false));
    shares.update(window, window * 2);
    shares.update(window, window * 3);
    expect_that!(shares.spender_count(), eq(0));
}

/// Guards against state that grows with the number of organisations, of which there may be 100,000.
#[gtest]
fn state_is_bounded() {
    let mut shares = RepeatShares::default();
    for number in 0..100_000 {
        shares.record(spender(number));
    }
    expect_that!(shares.spender_count(), eq(MAX_SPENDERS));
}
