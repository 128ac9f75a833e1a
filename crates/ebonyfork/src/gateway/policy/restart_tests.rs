use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::*;

/// Replays a task whose runs last as long as given. Returns the wait after each run.
fn replay(run_times: &[Duration], seed: u64) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut state = RestartState::new(TaskRecovery::Restart, now);
    let mut waits = Vec::new();
    for run_time in run_times {
        now += *run_time;
        let action = state.record_end(TaskEnd::Failed, false, now, &mut rng);
        let EndAction::RestartAfter(wait) = action else {
            panic!("{action:?} after {waits:?}");
        };
        now += wait;
        state.record_start(now);
        waits.push(wait);
    }
    waits
}

/// Guards against a task that ends at its start and is restarted in a loop that takes the VM's processor or sends the store
/// a full read each time: at most 30 starts in the first minute (five short waits, then at least 2.5 s each), and one in half of the longest wait
/// from then on.
#[gtest]
fn a_crash_loop_does_not_spin() {
    for seed in 0..20 {
        let waits = replay(&[Duration::ZERO; 100], seed);
        let mut elapsed = Duration::ZERO;
        let starts_in_a_minute = waits
            .iter()
            .take_while(|wait| {
                elapsed += **wait;
                elapsed < Duration::from_mins(1)
            })
            .count();
        expect_that!(starts_in_a_minute, le(30), "seed {seed}");
        for wait in &waits[10..] {
            expect_that!(*wait, ge(MAX_RESTART_WAIT / 2), "seed {seed}");
            expect_that!(*wait, le(MAX_RESTART_WAIT), "seed {seed}");
        }
    }
}

/// Guards against a VM that stays without a task for seconds after a single fault.
#[gtest]
fn a_task_that_ran_long_restarts_at_once() {
    let hour = Duration::from_hours(1);
    for seed in 0..20 {
        let mut run_times = vec![hour];
        run_times.extend([Duration::ZERO; 10]);
        run_times.extend([hour, Duration::ZERO]);
        let waits = replay(&run_times, seed);
        expect_that!(waits[0], eq(Duration::ZERO));
        expect_that!(waits[1], le(MIN_RESTART_WAIT));
        expect_that!(waits[11], eq(Duration::ZERO), "after a crash loop");
        expect_that!(waits[12], le(MIN_RESTART_WAIT), "the first short run again");
    }
}

/// Guards against a task that returns without a reason and is taken for one that has done its part, and against a planned
/// stop that is held up by tasks that return in it. A listener that fails in a planned stop is still needed.
#[gtest]
fn a_return_is_expected_in_a_planned_stop_only() {
    use TaskRecovery::{EndProcess, Restart};
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut action = |recovery, end, is_stopping| {
        RestartState::new(recovery, now).record_end(end, is_stopping, now, &mut rng)
    };
    expect_that!(
        action(Restart, TaskEnd::Returned, false),
        pat!(EndAction::RestartAfter(_))
    );
    expect_that!(
        action(Restart, TaskEnd::Returned, true),
        eq(EndAction::Nothing)
    );
    expect_that!(
        action(Restart, TaskEnd::Failed, true),
        pat!(EndAction::RestartAfter(_))
    );
    expect_that!(
        action(EndProcess, TaskEnd::Returned, false),
        eq(EndAction::EndProcess)
    );
    expect_that!(
        action(EndProcess, TaskEnd::Failed, true),
        eq(EndAction::Nothing)
    );
}
