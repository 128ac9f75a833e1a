use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};

/// Guards against answering 404 from a stale copy of the store: the route may have been added since the copy was
/// current.
#[gtest]
fn a_vm_with_a_stale_copy_does_not_deny_a_route() {
    let core = GatewayCore::new(settings(), dialect());
    expect_that!(
        core.no_route_reason(),
        eq(RefusalReason::OldConfig),
        "never read"
    );
    let Some(long_ago) = now().checked_sub(settings().change_bound) else {
        return;
    };
    core.relay.note_up_to_date(long_ago);
    expect_that!(core.no_route_reason(), eq(RefusalReason::OldConfig));
    core.relay.note_up_to_date(now());
    expect_that!(core.no_route_reason(), eq(RefusalReason::NoRoute));
}
