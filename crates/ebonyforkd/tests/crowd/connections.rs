//! Crowds that hold connections, at each listener.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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

/// Expects readiness and an ordinary request to be answered beside crowds at several listeners.
async fn expect_answers_beside(fixture: &mut CrowdFixture, listeners: &[SocketAddr]) {
    let mut crowds = Vec::new();
    for listener in listeners {
        for kind in [CallerKind::Idle, CallerKind::Head] {
            crowds.push(CallerCrowd::gather(*listener, CROWD, &[kind]).await);
        }
    }
    for address in [fixture.gateway.ready, fixture.gateway.directory] {
        let asking = async {
            while !has_success(address, "/v1/ready").await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let asked = tokio::time::timeout(PATIENCE, asking).await;
        expect_that!(asked.is_ok(), eq(true), "readiness at {address}");
    }
    fixture.expect_whole("beside the crowds").await;
}

/// Guards against connections to the listeners for control calls that take the descriptors of all.
#[gtest]
#[tokio::test]
async fn connections_to_the_listeners_for_control_calls() {
    let mut fixture = CrowdFixture::start("control", "127.231.0.34", NARROW_VM).await;
    let gateway = &fixture.gateway;
    let listeners = [gateway.ready, gateway.directory, gateway.metrics];
    expect_answers_beside(&mut fixture, &listeners).await;
}

/// Guards against connections to all listeners but that of callers, the peer port among them, that take the descriptors of
/// all.
#[gtest]
#[tokio::test]
async fn connections_to_the_listeners_beside_that_of_callers() {
    let mut fixture = CrowdFixture::start("beside", "127.231.0.32", NARROW_VM).await;
    let gateway = &fixture.gateway;
    let listeners = [
        gateway.ready,
        gateway.directory,
        gateway.metrics,
        gateway.peers,
    ];
    expect_answers_beside(&mut fixture, &listeners).await;
}

/// Guards against memory for messages of peers that have not said who they are.
#[gtest]
#[tokio::test]
async fn messages_of_strangers_at_the_peer_port() {
    const MESSAGE: usize = 2 << 20;
    let mut fixture = CrowdFixture::start("strangers", "127.231.0.33", SMALL_VM).await;
    let mut strangers = Vec::new();
    for _ in 0..100 {
        let stream = TcpStream::connect(fixture.gateway.peers).await;
        strangers.push(stream.expect("a connection"));
    }
    for stream in &mut strangers {
        let sending = async {
            stream.write_all(&(MESSAGE as u32).to_be_bytes()).await?;
            stream.write_all(&vec![0; MESSAGE - 1]).await
        };
        // Fails once the other side has closed the connection.
        let _sent = tokio::time::timeout(Duration::from_secs(5), sending).await;
    }
    fixture.expect_whole("beside the crowd").await;
}
