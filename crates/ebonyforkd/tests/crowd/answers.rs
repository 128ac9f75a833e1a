//! Crowds that don't read their answers.

use super::callers::{CallerCrowd, CallerKind};
use super::*;

/// Length of an answer that is buffered whole, in bytes.
const LONG_ANSWER: usize = 250_000;

/// Guards against answers that nobody reads: each connection may hold one, and nothing limited their sum.
#[gtest]
#[tokio::test]
async fn answers_that_are_not_read() {
    let mut fixture = CrowdFixture::start("unread", "127.231.0.20", SMALL_VM).await;
    fixture.upstream.set_least_bytes(LONG_ANSWER);
    let crowd = CallerCrowd::gather(fixture.gateway.callers, 400, &[CallerKind::Unread]).await;
    // The requests that the gateway has taken are answered one after the other.
    let mut runs = 0;
    while fixture.upstream.arrivals().len() > runs {
        runs = fixture.upstream.arrivals().len();
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    fixture.upstream.set_least_bytes(0);
    fixture.expect_whole("beside the crowd").await;
    crowd.leave().await;
}
