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

/// The previous process on the VM may have sent all repeats that the bound allows, so a new process only has the tokens
/// that its own requests earn; it may spend those at once.
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

/// The slack of 54 repeats is divided equally among 9 VMs, so each may send 6 of them in a window, of which the usable
/// fraction leaves 5 whole ones. Guards against a VM that saves up more tokens than that: it was idle for two windows
/// and has counted 1,000 requests, and still sends exactly 5 repeats in the window that follows.
#[gtest]
fn the_slack_is_shared_among_all_vms() {
    let mut budget = RetryBudget::new(CONFIG);
    budget.set_vm_count(9, Duration::ZERO);
    let window_start = Duration::from_secs(20);
    for _ in 0..1_000 {
        budget.record_request(&service(), window_start);
    }
    let mut repeat_count = 0;
    for step in 0..100 {
        let now = window_start + CONFIG.window.mul_f64(f64::from(step) / 100.0);
        while budget.spend(&service(), now) {
            repeat_count += 1;
        }
    }
    expect_that!(repeat_count, eq(5));
}

/// Tokens of shares that a process gives up are lost; shares that it gains start without tokens.
#[gtest]
fn a_bucket_follows_the_shares_that_are_held() {
    let mut budget = RetryBudget::new(CONFIG);
    budget.set_vm_count(9, Duration::ZERO);
    let idle_until = Duration::from_secs(30);
    let single_share = budget.available_repeats(&service(), idle_until);
    budget.set_held_shares(4, idle_until);
    expect_that!(
        budget.available_repeats(&service(), idle_until),
        le(single_share)
    );
    let two_windows_later = idle_until + CONFIG.window * 2;
    expect_that!(
        budget.available_repeats(&service(), two_windows_later),
        near(single_share * 4.0, 1e-9)
    );
    budget.set_held_shares(1, two_windows_later);
    expect_that!(
        budget.available_repeats(&service(), two_windows_later),
        near(single_share, 1e-9)
    );
    budget.set_held_shares(0, two_windows_later);
    expect_that!(
        budget.available_repeats(&service(), two_windows_later + CONFIG.window),
        eq(0.0)
    );
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
            let max_requests = if (now.as_secs() / 7).is_multiple_of(2) {
                4
            } else {
                0
            };
            for (budget, started_at) in &mut budgets {
                if rng.random_bool(0.002) {
                    *budget = RetryBudget::new(CONFIG);
                    *started_at = now;
                }
                budget.set_vm_count(vms, now.checked_sub(*started_at).unwrap());
                let uptime = now.checked_sub(*started_at).unwrap();
                for _ in 0..rng.random_range(0..=max_requests) {
                    budget.record_request(&service(), uptime);
                    requests.push(now);
                }
                while budget.spend(&service(), uptime) {
                    repeats.push(now);
                }
            }
        }
        check_windows(CONFIG, seed, &requests, &repeats);
    }
}

/// Checks for windows that start every 100 ms that the number of repeats in the window is at most `ratio` times the
/// number of requests plus `slack`. The requests are counted in the window itself and in the windows that start half a
/// window and a whole window earlier; the highest of these counts applies.
pub(in crate::gateway::policy::budget) fn check_windows(
    config: RetryBudgetConfig,
    seed: u64,
    requests: &[Duration],
    repeats: &[Duration],
) {
    // Both lists are sorted by time.
    let count_between = |times: &[Duration], begin: Duration, end: Duration| {
        let count_before = |moment: Duration| times.partition_point(|time| *time < moment);
        count_before(end) - count_before(begin)
    };
    let window = config.window;
    for start in (0..500_u64).map(|step| Duration::from_millis(step * 100)) {
        let repeat_count = count_between(repeats, start, start + window);
        let shifts = [Duration::ZERO, window / 2, window];
        let max_requests = shifts
            .iter()
            .map(|shift| {
                let shifted_start = start.saturating_sub(*shift);
                count_between(requests, shifted_start, shifted_start + window)
            })
            .max()
            .unwrap_or_default();
        let bound = max_requests as f64 * config.ratio + config.slack;
        expect_that!(repeat_count as f64, le(bound), "seed {seed} from {start:?}");
    }
}

/// Model of one VM: the budget of its current process, and when that process started.
struct ModelVm {
    budget: RetryBudget,
    started_at: Duration,
    /// Speed of the VM's clock relative to model time.
    clock_rate: f64,
    /// Weight of this VM when requests are distributed among the VMs.
    caller_weight: f64,
    /// Time until which the VM takes no requests after a restart.
    away_until: Duration,
}

impl ModelVm {
    fn new(started_at: Duration, clock_rate: f64) -> Self {
        Self {
            budget: RetryBudget::new(CONFIG),
            started_at,
            clock_rate,
            caller_weight: 1.0,
            away_until: started_at,
        }
    }

    fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }
}

/// VMs join, stop, restart and take over one another's callers. During every other period of 9 s an upstream declines
/// requests, and each VM spends all its tokens as soon as such a period begins. A request counts on the VM that
/// accepted it and is repeated there or by a VM that gathers parts. Clocks are up to 1 % too fast or too slow.
#[gtest]
fn no_window_exceeds_the_bound_while_vms_join_and_restart() {
    const STEP: Duration = Duration::from_millis(50);
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max_vms = rng.random_range(4..=14_usize);
        let random_rate = |rng: &mut ChaCha8Rng| 1.0 + rng.random_range(-0.01..0.01);
        let mut vms: Vec<ModelVm> = Vec::new();
        for _ in 0..max_vms.div_ceil(2) {
            let clock_rate = random_rate(&mut rng);
            vms.push(ModelVm::new(Duration::ZERO, clock_rate));
        }
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_mins(1) {
            now += STEP;
            let upstream_declines = (now.as_secs() / 9) % 2 == 1;
            if vms.len() < max_vms && rng.random_bool(0.01) {
                let clock_rate = random_rate(&mut rng);
                vms.push(ModelVm::new(now, clock_rate));
            }
            let vm_count = vms.len();
            for vm in &mut vms {
                if rng.random_bool(0.004) {
                    // The VM stops, and its callers use the others for a while.
                    *vm = ModelVm::new(now, vm.clock_rate);
                    vm.away_until = now + Duration::from_secs(rng.random_range(1..6));
                }
                if rng.random_bool(0.01) {
                    vm.caller_weight = rng.random_range(0.0..3.0);
                }
            }
            let active_weight = |vm: &ModelVm| {
                if vm.away_until > now {
                    0.0
                } else {
                    vm.caller_weight
                }
            };
            let total_weight: f64 = vms.iter().map(active_weight).sum();
            for number in 0..vm_count {
                let share = active_weight(&vms[number]) / total_weight.max(0.001);
                let uptime = vms[number].uptime(now);
                vms[number].budget.set_vm_count(vm_count, uptime);
                for _ in 0..7 {
                    if rng.random_bool(share.min(1.0)) {
                        vms[number].budget.record_request(&service(), uptime);
                        requests.push(now);
                    }
                }
                let gatherer = rng.random_range(0..vm_count);
                for spender in [number, gatherer] {
                    let uptime = vms[spender].uptime(now);
                    while upstream_declines && vms[spender].budget.spend(&service(), uptime) {
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
    expect_that!(budget.buckets.len(), eq(1));
    budget.remove_idle(Duration::from_secs(30));
    expect_that!(budget.buckets.len(), eq(0));
}
