use googletest::prelude::*;

use super::*;

const BOUND: Duration = Duration::from_secs(3);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn view(copy_age: f64) -> CopyView {
    CopyView {
        copy_age: seconds(copy_age),
        follower: FollowerState::Active,
        is_store_failing: false,
        behind_for: None,
        news_age: None,
        is_config_refused: false,
    }
}

/// Guards against a VM that follows nothing and counts as ready for ever, and against a store outage that takes all VMs out.
#[gtest]
fn callers_are_sent_away_only_if_others_are_better_off() {
    use FollowerState::{Active, Ended, Restarted, Stalled};
    let none = None::<UnfitReason>;
    for copy_age in [0.0, 2.9, 3.1, 20.0, 86_400.0] {
        let is_unconfirmed = copy_age > 3.0;
        for follower in [Active, Stalled, Restarted, Ended] {
            let view = CopyView {
                follower,
                ..view(copy_age)
            };
            // One cause may end the task on all VMs: then nobody is better off, and somebody has to serve.
            expect_that!(view.unfit_reason(BOUND), eq(none), "{view:?}");
            let behind = CopyView {
                behind_for: Some(seconds(3.5)),
                news_age: Some(seconds(copy_age)),
                ..view
            };
            let is_unfit = is_unconfirmed && follower != Active;
            let expected = is_unfit.then_some(UnfitReason::NotFollowing);
            if follower != Active {
                expect_that!(behind.unfit_reason(BOUND), eq(expected), "{behind:?}");
            }
        }
        // The store is away for everyone, and a task that was restarted meanwhile can't confirm the copy.
        for follower in [Active, Restarted] {
            let view = CopyView {
                follower,
                is_store_failing: true,
                ..view(copy_age)
            };
            expect_that!(view.unfit_reason(BOUND), eq(none), "{view:?}");
        }
        // A version reached some VMs just before the store went away.
        let view = CopyView {
            is_store_failing: true,
            behind_for: Some(seconds(copy_age)),
            news_age: Some(seconds(copy_age)),
            ..view(copy_age)
        };
        expect_that!(view.unfit_reason(BOUND), eq(none), "{view:?}");
    }
    let behind = CopyView {
        behind_for: Some(seconds(3.5)),
        news_age: Some(seconds(0.2)),
        ..view(6.5)
    };
    let expected = Some(UnfitReason::BehindOthers);
    expect_that!(behind.unfit_reason(BOUND), eq(expected), "store answers");
    let confirmed = CopyView {
        copy_age: seconds(1.0),
        ..behind
    };
    expect_that!(confirmed.unfit_reason(BOUND), eq(none), "confirmed since");
    let recent = CopyView {
        behind_for: Some(seconds(2.0)),
        ..behind
    };
    expect_that!(recent.unfit_reason(BOUND), eq(none), "not overdue");
    let cut_off = CopyView {
        is_store_failing: true,
        ..behind
    };
    expect_that!(
        cut_off.unfit_reason(BOUND),
        eq(expected),
        "others went on reading the store"
    );
}

/// Guards against a VM whose software refuses a configuration that others have put in force; if all refuse it, nobody is
/// better off.
#[gtest]
fn a_refused_configuration_counts_if_others_have_it() {
    let refused = CopyView {
        is_config_refused: true,
        ..view(0.5)
    };
    expect_that!(refused.unfit_reason(BOUND), none());
    for (behind_for, expected) in [(2.9, None), (3.0, Some(UnfitReason::RefusedConfig))] {
        let view = CopyView {
            behind_for: Some(seconds(behind_for)),
            ..refused
        };
        expect_that!(view.unfit_reason(BOUND), eq(expected), "{behind_for} s");
    }
}

/// Guards against a readiness check that changes at every observation, and against one that fails for a moment after a pause
/// of the process: the first observation then comes before the copy could be confirmed.
#[gtest]
fn evidence_has_to_last() {
    let unfit = Some(UnfitReason::NotFollowing);
    let mut state = ReadinessState::default();
    for _ in 0..10 {
        expect_that!(state.observe(unfit), eq(false));
        expect_that!(state.observe(None), eq(false));
    }
    expect_that!(state.reason(), none());
    expect_that!(state.observe(unfit), eq(false));
    expect_that!(state.observe(unfit), eq(true));
    for _ in 0..10 {
        for reason in [None, None, None, unfit] {
            expect_that!(state.observe(reason), eq(false));
        }
    }
    expect_that!(state.reason(), eq(unfit));
    let changes = [None; 4].map(|reason| state.observe(reason));
    expect_that!(changes, eq([false, false, false, true]));
    expect_that!(state.reason(), none());
}
