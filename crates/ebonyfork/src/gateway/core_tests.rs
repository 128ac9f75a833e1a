use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn slowness_leaves_out_the_way() {
    let now = now();
    let mut latency = RouteLatency::default();
    for _ in 0..500 {
        latency.track_mut(AttemptKind::Zone).record(ms(20), now);
        latency.track_mut(AttemptKind::Far).record(ms(44), now);
        latency
            .track_mut(AttemptKind::Delegated)
            .record(ms(50), now);
    }
    expect_that!(
        latency.slowness(AttemptKind::Zone, 20.0),
        all![gt(0.7), lt(1.3)]
    );
    expect_that!(
        latency.slowness(AttemptKind::Far, 44.0),
        all![gt(0.5), lt(1.5)]
    );
    expect_that!(latency.slowness(AttemptKind::Far, 224.0), gt(7.0));
    expect_that!(latency.quickest(PlaceDistance::Far), eq(AttemptKind::Far));
    expect_that!(latency.quickest(PlaceDistance::Zone), eq(AttemptKind::Zone));
}

/// Only a VM that knows what the store held lately can say that there is no route.
#[gtest]
fn a_vm_whose_copy_is_old_does_not_deny_a_route() {
    let core = GatewayCore::new(settings(), dialect());
    expect_that!(core.no_route(), eq(RefusalReason::OldConfig), "never read");
    let Some(long_ago) = now().checked_sub(settings().change_bound) else {
        return;
    };
    core.relay.note_proof(long_ago);
    expect_that!(core.no_route(), eq(RefusalReason::OldConfig));
    core.relay.note_proof(now());
    expect_that!(core.no_route(), eq(RefusalReason::NoRoute));
}
