use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};

/// Only a VM that knows what the store held lately can say that there is no route.
#[gtest]
fn a_vm_whose_copy_is_old_does_not_deny_a_route() {
    let core = GatewayCore::new(settings(), dialect());
    expect_that!(core.no_route(), eq(RefusalReason::OldConfig), "never read");
    let Some(long_ago) = now().checked_sub(settings().change_bound) else {
        return;
    };
    core.relay.note_up_to_date(long_ago);
    expect_that!(core.no_route(), eq(RefusalReason::OldConfig));
    core.relay.note_up_to_date(now());
    expect_that!(core.no_route(), eq(RefusalReason::NoRoute));
}
