//! Gateways that run within a test.

use ebonyfork::gateway::{GatewayDialect, GatewayNode, GatewaySettings};
use ebonyfork_platform::PlatformStore;

use super::*;

/// Time within which a change must be in force (`config-in-force-ms` of the settings). A VM is whole again within it after
/// the end of a task: the longest wait before the first restart is 100 ms, and a read of the store takes less than 1 s.
pub const CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Gateway within this process, with its addresses.
pub struct LocalGateway {
    pub node: GatewayNode<PlatformStore>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
}

/// Starts a gateway within this process. Must run inside a `LocalSet`.
pub async fn start_local(
    name: &str,
    address: &str,
    store: &StoreServer,
    dialect: GatewayDialect,
) -> LocalGateway {
    let zones = (Duration::from_secs(4), "a-1", "a-1 = a");
    let text = settings_text(name, address, store.address(), zones);
    let settings = GatewaySettings::parse("test", &text).expect("valid settings");
    let port = PlatformStore::new(settings.store);
    let node = GatewayNode::start(settings, dialect, port).await;
    let at = |port: u16| format!("{address}:{port}").parse().expect("an address");
    LocalGateway {
        node: node.expect("a gateway"),
        callers: at(7100),
        ready: at(7101),
        directory: at(7102),
        metrics: at(7103),
    }
}

/// Returns a version of the configuration whose only route has the prefix `/v{version}/`.
pub fn versioned_config(version: u64) -> String {
    config(version, "idempotent").replace("/r/", &format!("/v{version}/"))
}

/// Fails unless a condition holds within a time.
pub async fn expect_within(bound: Duration, what: &str, mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(bound, waiting).await;
    assert!(waited.is_ok(), "not within {bound:?}: {what}");
}

/// Returns whether a call is answered with a status.
pub async fn has_status(address: SocketAddr, target: &str, status: u16) -> bool {
    let answer = get(address, target, "supervision").await;
    answer.is_some_and(|answer| answer.status() == status)
}

/// Returns a gateway's metrics.
pub async fn metrics_text(gateway: &LocalGateway) -> String {
    let answer = get(gateway.metrics, "/metrics", "supervision").await;
    answer.map_or_else(String::new, |answer| {
        String::from_utf8_lossy(answer.body()).into_owned()
    })
}

/// Expects a gateway to put a new version in force, to serve by it and to answer control calls, all within the bound.
pub async fn expect_whole(gateway: &LocalGateway, store: &StoreServer, version: u64, after: &str) {
    store.put("op/config", versioned_config(version));
    let target = format!("/v{version}/1");
    expect_within(
        CHANGE_BOUND,
        &format!("{after}: change in force"),
        async || has_status(gateway.callers, &target, 200).await,
    )
    .await;
    expect_within(
        CHANGE_BOUND,
        &format!("{after}: control calls"),
        async || {
            let is_ready = has_status(gateway.ready, "/v1/ready", 200).await;
            is_ready && has_status(gateway.directory, "/v1/ready", 200).await
        },
    )
    .await;
}
