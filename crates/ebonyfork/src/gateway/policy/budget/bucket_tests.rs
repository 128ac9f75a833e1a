use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};

fn service() -> UpstreamService {
    UpstreamService::new("shard")
}

/// The previous process may have spent the whole bound, so a new one only has what its own requests earn; it may spend
/// that at once.
#[gtest]
fn a_new_process_starts_with_an_empty_bucket() {
    let mut budget = RetryBudget::new(CONFIG);
    budget.set_vm_count(9, Duration::ZERO);
    let now = Duration::from_millis(10);
    expect_that!(budget.spend(&service(), now), eq(false));
    for _ in 0..6 {
        budget.record_request(&service(), now);
    }
    expect_that!(budget.spend(&service(), now), eq(true));
    expect_that!(budget.spend(&service(), now), eq(false));
}

/// Guards against saving up tokens: however long the VM was idle and however many requests it counted, it spends no
/// more than its part of the slack in a window without requests. It can spend all of that part.
#[gtest]
fn the_slack_is_shared_among_all_vms() {
    let mut budget = RetryBudget::new(CONFIG);
    budget.set_vm_count(9, Duration::ZERO);
    let begin = Duration::from_secs(20);
    for _ in 0..1_000 {
        budget.record_request(&service(), begin);
    }
    let mut spent = 0;
    for step in 0..100 {
        let now = begin + CONFIG.window.mul_f64(f64::from(step) / 100.0);
        while budget.spend(&service(), now) {
            spent += 1;
        }
    }
    expect_that!(spent, eq(5));
}

/// Tokens of shares that a process gives up are lost; shares that it gains start without tokens.
#[gtest]
fn a_bucket_follows_the_shares_that_are_held() {
    let mut budget = RetryBudget::new(CONFIG);
    budget.set_vm_count(9, Duration::ZERO);
    let idle = Duration::from_secs(30);
    let single_share = budget.available(&service(), idle);
    budget.set_held_shares(4, idle);
    expect_that!(budget.available(&service(), idle), le(single_share));
    let later = idle + CONFIG.window * 2;
    expect_that!(
        budget.available(&service(), later),
        near(single_share * 4.0, 1e-9)
    );
    budget.set_held_shares(1, later);
    expect_that!(
        budget.available(&service(), later),
        near(single_share, 1e-9)
    );
    budget.set_held_shares(0, later);
    expect_that!(budget.available(&service(), later + CONFIG.window), eq(0.0));
}

#[gtest]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(CONFIG);
    let now = Duration::ZERO;
    for _ in 0..100 {
        budget.record_request(&service(), now);
    }
    expect_that!(budget.spend(&UpstreamService::new("other"), now), eq(false));
    expect_that!(budget.spend(&service(), now), eq(true));
}

/// Many VMs that restart at random spend all the tokens they have; no window may exceed the bound for all VMs together.
#[gtest]
fn no_window_exceeds_the_bound_over_all_vms() {
    const STEP: Duration = Duration::from_millis(50);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = rng.random_range(1..=12_usize);
        let mut budgets: Vec<(RetryBudget, Duration)> = Vec::new();
        for _ in 0..vms {
            budgets.push((RetryBudget::new(CONFIG), Duration::ZERO));
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
                    *budget = RetryBudget::new(CONFIG);
                    *started = now;
                }
                budget.set_vm_count(vms, now.checked_sub(*started).unwrap());
                let age = now.checked_sub(*started).unwrap();
                for _ in 0..rng.random_range(0..=load) {
                    budget.record_request(&service(), age);
                    requests.push(now);
                }
                while budget.spend(&service(), age) {
                    repeats.push(now);
                }
            }
        }
        check_windows(CONFIG, seed, &requests, &repeats);
    }
}

/// Checks the bound over every window. Requests are counted in the same window, the preceding one or the one starting
/// half a window earlier, whichever has the most.
pub(in crate::gateway::policy::budget) fn check_windows(
    config: RetryBudgetConfig,
    seed: u64,
    requests: &[Duration],
    repeats: &[Duration],
) {
    // Both lists are sorted by time.
    let count = |times: &[Duration], from: Duration, to: Duration| {
        let before = |moment: Duration| times.partition_point(|time| *time < moment);
        before(to) - before(from)
    };
    let window = config.window;
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
        let bound = most as f64 * config.ratio + config.slack;
        expect_that!(spent as f64, le(bound), "seed {seed} from {start:?}");
    }
}

/// Model of one VM: the budget of its current process and the time at which that process started.
struct ModelVm {
    budget: RetryBudget,
    started: Duration,
    /// Speed of the VM's clock relative to model time.
    rate: f64,
    /// Relative share of the callers that use this VM.
    callers: f64,
    /// Time until which the VM takes no requests after a restart.
    away_until: Duration,
}

impl ModelVm {
    fn new(started: Duration, rate: f64) -> Self {
        Self {
            budget: RetryBudget::new(CONFIG),
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

/// VMs join, stop, restart and take over one another's callers while an upstream declines requests; each VM spends all
/// its tokens as soon as that begins. A request counts on the VM that accepted it and is repeated there or by a VM that
/// gathers parts. Clocks are up to 1 % too fast or too slow.
#[gtest]
fn no_window_exceeds_the_bound_while_vms_join_and_restart() {
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
            let declining = (now.as_secs() / 9) % 2 == 1;
            if vms.len() < most && rng.random_bool(0.01) {
                let rate = skew(&mut rng);
                vms.push(ModelVm::new(now, rate));
            }
            let count = vms.len();
            for vm in &mut vms {
                if rng.random_bool(0.004) {
                    // The VM stops, and its callers use the others for a while.
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
                vms[number].budget.set_vm_count(count, age);
                for _ in 0..7 {
                    if rng.random_bool(share.min(1.0)) {
                        vms[number].budget.record_request(&service(), age);
                        requests.push(now);
                    }
                }
                let gatherer = rng.random_range(0..count);
                for spender in [number, gatherer] {
                    let age = vms[spender].uptime(now);
                    while declining && vms[spender].budget.spend(&service(), age) {
                        repeats.push(now);
                    }
                }
            }
        }
        check_windows(CONFIG, seed, &requests, &repeats);
    }
}

#[gtest]
fn idle_services_are_removed() {
    let mut budget = RetryBudget::new(CONFIG);
    budget.record_request(&service(), Duration::from_secs(1));
    budget.remove_idle(Duration::from_secs(5));
    expect_that!(budget.services.len(), eq(1));
    budget.remove_idle(Duration::from_secs(30));
    expect_that!(budget.services.len(), eq(0));
}
