use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};

fn service() -> UpstreamService {
    UpstreamService::new("shard")
}

#[gtest]
fn a_new_process_leaves_the_slack_alone() {
    let mut budget = RetryBudget::new(TERMS);
    expect_that!(budget.spend(&service(), Duration::from_secs(9)), eq(false));
    expect_that!(budget.spend(&service(), Duration::from_secs(11)), eq(true));
}

#[gtest]
fn the_slack_is_shared_among_all_vms() {
    let mut budget = RetryBudget::new(TERMS);
    budget.share_among(9);
    let now = Duration::from_secs(20);
    let spent = (0..100).filter(|_n| budget.spend(&service(), now)).count();
    expect_that!(spent, eq(5));
}

#[gtest]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(TERMS);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        budget.note_request(&service(), now);
    }
    expect_that!(budget.spend(&UpstreamService::new("other"), now), eq(false));
    expect_that!(budget.spend(&service(), now), eq(true));
}

/// Many VMs that come, go and start again spend all they can; no span may hold more than the bound for all of them.
#[gtest]
fn no_span_exceeds_the_bound_over_all_vms() {
    const STEP: Duration = Duration::from_millis(50);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = rng.random_range(1..=12_usize);
        let mut budgets: Vec<(RetryBudget, Duration)> = Vec::new();
        for _ in 0..vms {
            budgets.push((RetryBudget::new(TERMS), Duration::ZERO));
        }
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_mins(1) {
            now += STEP;
            let load = if (now.as_secs() / 7).is_multiple_of(2) {
                4
            } else {
                0
            };
            for (budget, started) in &mut budgets {
                if rng.random_bool(0.002) {
                    *budget = RetryBudget::new(TERMS);
                    *started = now;
                }
                budget.share_among(vms);
                let age = now.checked_sub(*started).unwrap();
                for _ in 0..rng.random_range(0..=load) {
                    budget.note_request(&service(), age);
                    requests.push(now);
                }
                while budget.spend(&service(), age) {
                    repeats.push(now);
                }
            }
        }
        check_spans(seed, &requests, &repeats);
    }
}

/// Requests count in the span, the one before it or the one half a span before it, whichever has most.
fn check_spans(seed: u64, requests: &[Duration], repeats: &[Duration]) {
    let count = |times: &[Duration], from: Duration, to: Duration| {
        times
            .iter()
            .filter(|time| **time >= from && **time < to)
            .count()
    };
    let window = TERMS.window;
    for start in (0..500_u64).map(|step| Duration::from_millis(step * 100)) {
        let spent = count(repeats, start, start + window);
        let earlier = [Duration::ZERO, window / 2, window];
        let most = earlier
            .iter()
            .map(|back| {
                let from = start.saturating_sub(*back);
                count(requests, from, from + window)
            })
            .max()
            .unwrap_or_default();
        let bound = most as f64 * TERMS.ratio + TERMS.slack;
        expect_that!(spent as f64, le(bound), "seed {seed} from {start:?}");
    }
}

#[gtest]
fn idle_services_are_forgotten() {
    let mut budget = RetryBudget::new(TERMS);
    budget.note_request(&service(), Duration::from_secs(1));
    budget.forget_idle(Duration::from_secs(5));
    expect_that!(budget.services.len(), eq(1));
    budget.forget_idle(Duration::from_secs(30));
    expect_that!(budget.services.len(), eq(0));
}
