use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};

/// Guards against an organisation whose waiting requests are never answered because an earlier timer ended without being
/// removed, for example by a panic.
#[gtest]
#[tokio::test]
async fn a_timer_that_ends_early_makes_room_for_the_next() {
    let core = Rc::new(GatewayCore::new(settings(), dialect()));
    let organisation = OrganisationName::new("o");
    expect_that!(core.quota_desk.start_timer(0, &organisation), eq(true));
    expect_that!(core.quota_desk.start_timer(0, &organisation), eq(false));
    let timer = WaitTimer {
        core: Rc::clone(&core),
        part: 0,
        organisation: organisation.clone(),
    };
    drop(timer);
    expect_that!(core.quota_desk.start_timer(0, &organisation), eq(true));
}
