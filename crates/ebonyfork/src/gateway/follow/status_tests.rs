use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};

/// Guards against a task that ends or stands still without anything outside it showing that.
#[gtest]
fn the_state_of_a_run_outlives_the_run() {
    let core = Rc::new(GatewayCore::new(settings(), dialect()));
    let bound = settings().change_bound;
    let age = Some(Duration::from_millis(1));
    let state = |time| core.follower.state(time, bound, age);
    let run = FollowerRun::begin(&core);
    let time = now();
    expect_that!(state(time), eq(FollowerState::Active));
    expect_that!(state(time + bound * 2), eq(FollowerState::Stalled));
    core.follower
        .note_check(ChangeSource::Store, time + bound * 2);
    expect_that!(state(time + bound * 2), eq(FollowerState::Active));
    core.relay.set_store_failing(true);
    drop(run);
    expect_that!(state(time), eq(FollowerState::Ended));
    expect_that!(core.follower.source(), eq("store"));
    // The next run needs to know of an outage: entries may have expired in it.
    expect_that!(core.relay.is_store_failing(), eq(true));
    let _next_run = FollowerRun::begin(&core);
    // A task that ends again and again runs most of the time, but never confirms the copy.
    let state = |age| core.follower.state(now(), bound, age);
    expect_that!(state(None), eq(FollowerState::Restarted));
    expect_that!(state(Some(bound)), eq(FollowerState::Restarted));
    expect_that!(state(Some(Duration::ZERO)), eq(FollowerState::Active));
}
