//! Crowds that hold connections, at each listener.

use super::callers::{CallerCrowd, CallerKind};
use super::*;

/// Connections of a crowd that is larger than the descriptors of its VM.
const CROWD: usize = 300;

/// Guards against idle connections that take the descriptors of ordinary callers and of the upstreams.
#[gtest]
#[tokio::test]
async fn idle_connections_of_callers() {
    let mut fixture = CrowdFixture::start("idle", "127.231.0.30", NARROW_VM).await;
    let crowd = CallerCrowd::gather(fixture.gateway.callers, CROWD, &[CallerKind::Idle]).await;
    fixture.expect_whole("beside the crowd").await;
    crowd.leave().await;
}

/// Guards against unfinished heads that hold connections until a timeout.
#[gtest]
#[tokio::test]
async fn unfinished_heads_of_callers() {
    let mut fixture = CrowdFixture::start("heads", "127.231.0.31", NARROW_VM).await;
    let crowd = CallerCrowd::gather(fixture.gateway.callers, CROWD, &[CallerKind::Head]).await;
    fixture.expect_whole("beside the crowd").await;
    crowd.leave().await;
}
