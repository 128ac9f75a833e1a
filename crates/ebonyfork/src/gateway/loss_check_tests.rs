use futures_util::FutureExt;
use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, entry, settings};
use crate::ident::RequestFingerprint;

/// Guards against an upstream whose check ends without a verdict: requests would wait for it, and no later loss of the
/// upstream would be checked, so a request that crashes upstreams would not be found.
#[gtest]
#[tokio::test]
async fn a_check_that_ends_early_makes_room_for_the_next() {
    let core = GatewayCore::new(settings(), dialect());
    let entry = entry("i-1", "s", "north-a", ([127, 0, 0, 1], 1).into());
    let upstream = Upstream::new(entry, now(), 1);
    let lost_request = || LostRequest::new(RequestFingerprint(7), Duration::ZERO);
    let (check, is_new) = upstream.add_lost_request(lost_request());
    expect_that!(is_new, eq(true));
    let mut run = Box::pin(check_upstream(&core, &upstream, &check));
    expect_that!(run.as_mut().now_or_never(), none());
    drop(run);
    expect_that!(check.verdict(), eq(LossVerdict::Harmless));
    let (_next_check, is_new) = upstream.add_lost_request(lost_request());
    expect_that!(is_new, eq(true));
}
