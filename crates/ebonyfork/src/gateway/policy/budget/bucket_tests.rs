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

/// Earlier lives of the process may have spent all there was; what it earns itself it may spend at once.
#[gtest]
fn a_new_process_begins_with_nothing_but_what_its_requests_earn() {
    let mut budget = RetryBudget::new(TERMS);
    budget.share_among(9, Duration::ZERO);
    let now = Duration::from_millis(10);
    expect_that!(budget.spend(&service(), now), eq(false));
    for _ in 0..6 {
        budget.note_request(&service(), now);
    }
    expect_that!(budget.spend(&service(), now), eq(true));
    expect_that!(budget.spend(&service(), now), eq(false));
}

/// However long the calm, and however many requests have earned: what is spent in a span without requests is no more than
/// the VM's part of the slack, and all of that can be spent.
#[gtest]
fn the_slack_is_shared_among_all_vms() {
    let mut budget = RetryBudget::new(TERMS);
    budget.share_among(9, Duration::ZERO);
    let begin = Duration::from_secs(20);
    for _ in 0..1_000 {
        budget.note_request(&service(), begin);
    }
    let mut spent = 0;
    for step in 0..100 {
        let now = begin + TERMS.window.mul_f64(f64::from(step) / 100.0);
        while budget.spend(&service(), now) {
            spent += 1;
        }
    }
    expect_that!(spent, eq(5));
}

/// Shares that a process no longer holds take their tokens along; those that it comes to hold begin empty.
#[gtest]
fn a_bucket_follows_the_shares_that_are_held() {
    let mut budget = RetryBudget::new(TERMS);
    budget.share_among(9, Duration::ZERO);
    let calm = Duration::from_secs(30);
    let one = budget.left(&service(), calm);
    budget.hold_shares(4, calm);
    expect_that!(budget.left(&service(), calm), le(one));
    let later = calm + TERMS.window * 2;
    expect_that!(budget.left(&service(), later), near(one * 4.0, 1e-9));
    budget.hold_shares(1, later);
    expect_that!(budget.left(&service(), later), near(one, 1e-9));
    budget.hold_shares(0, later);
    expect_that!(budget.left(&service(), later + TERMS.window), eq(0.0));
}

#[gtest]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(TERMS);
    let now = Duration::ZERO;
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
                budget.share_among(vms, now.checked_sub(*started).unwrap());
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
        check_spans(TERMS, seed, &requests, &repeats);
    }
}

/// Requests count in the span, the one before it or the one half a span before it, whichever has most.
pub(in crate::gateway::policy::budget) fn check_spans(
    terms: BudgetTerms,
    seed: u64,
    requests: &[Duration],
    repeats: &[Duration],
) {
    // Both lists are in order of time.
    let count = |times: &[Duration], from: Duration, to: Duration| {
        let before = |moment: Duration| times.partition_point(|time| *time < moment);
        before(to) - before(from)
    };
    let window = terms.window;
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
        let bound = most as f64 * terms.ratio + terms.slack;
        expect_that!(spent as f64, le(bound), "seed {seed} from {start:?}");
    }
}

/// One VM of the model: its life's budget and when that life began.
struct ModelVm {
    budget: RetryBudget,
    started: Duration,
    /// How fast its clock runs.
    rate: f64,
    /// Share of the callers that use it.
    callers: f64,
    /// When it takes its next callers' requests, after a stop.
    away_until: Duration,
}

impl ModelVm {
    fn new(started: Duration, rate: f64) -> Self {
        Self {
            budget: RetryBudget::new(TERMS),
            started,
            rate,
            callers: 1.0,
            away_until: started,
        }
    }

    fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started).mul_f64(self.rate)
    }
}

/// VMs join, stop, start again and take their callers from one another while an upstream declines: each spends all that it
/// may as soon as trouble begins. Requests count where a caller's request was taken, and are repeated there or by a VM
/// that gathers parts. Clocks run up to a hundredth too fast or too slow.
#[gtest]
fn no_span_exceeds_the_bound_while_vms_join_and_start_again() {
    const STEP: Duration = Duration::from_millis(50);
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let most = rng.random_range(4..=14_usize);
        let skew = |rng: &mut ChaCha8Rng| 1.0 + rng.random_range(-0.01..0.01);
        let mut vms: Vec<ModelVm> = Vec::new();
        for _ in 0..most.div_ceil(2) {
            let rate = skew(&mut rng);
            vms.push(ModelVm::new(Duration::ZERO, rate));
        }
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_mins(1) {
            now += STEP;
            let trouble = (now.as_secs() / 9) % 2 == 1;
            if vms.len() < most && rng.random_bool(0.01) {
                let rate = skew(&mut rng);
                vms.push(ModelVm::new(now, rate));
            }
            let count = vms.len();
            for vm in &mut vms {
                if rng.random_bool(0.004) {
                    // A stop: its callers go to the others for a while.
                    *vm = ModelVm::new(now, vm.rate);
                    vm.away_until = now + Duration::from_secs(rng.random_range(1..6));
                }
                if rng.random_bool(0.01) {
                    vm.callers = rng.random_range(0.0..3.0);
                }
            }
            let taking = |vm: &ModelVm| if vm.away_until > now { 0.0 } else { vm.callers };
            let all: f64 = vms.iter().map(taking).sum();
            for number in 0..count {
                let share = taking(&vms[number]) / all.max(0.001);
                let age = vms[number].uptime(now);
                vms[number].budget.share_among(count, age);
                for _ in 0..7 {
                    if rng.random_bool(share.min(1.0)) {
                        vms[number].budget.note_request(&service(), age);
                        requests.push(now);
                    }
                }
                let gatherer = rng.random_range(0..count);
                for spender in [number, gatherer] {
                    let age = vms[spender].uptime(now);
                    while trouble && vms[spender].budget.spend(&service(), age) {
                        repeats.push(now);
                    }
                }
            }
        }
        check_spans(TERMS, seed, &requests, &repeats);
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
