use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};

/// Guards against a task that ends or stands still without anything outside it showing that.
#[gtest]
fn the_state_of_a_run_outlives_the_run() {
    let core = Rc::new(GatewayCore::new(settings(), dialect()));
    let bound = settings().change_bound;
    let state = |time| core.follower.state(time, bound);
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
    expect_that!(core.relay.is_store_failing(), eq(false));
    let _next_run = FollowerRun::begin(&core);
    expect_that!(state(now()), eq(FollowerState::Active));
}
