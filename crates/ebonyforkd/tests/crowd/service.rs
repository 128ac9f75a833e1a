//! What a gateway promises beside a crowd: readiness, other VMs, planned stops, requests to many shards.

use super::callers::{CallerCrowd, CallerKind};
use super::*;

const ALL_KINDS: [CallerKind; 5] = [
    CallerKind::Whole,
    CallerKind::Head,
    CallerKind::Pieces,
    CallerKind::LargeChunks,
    CallerKind::Idle,
];

/// Guards against a planned stop that waits for bodies that never end.
#[gtest]
#[tokio::test]
async fn a_planned_stop_beside_a_crowd() {
    let mut fixture = CrowdFixture::start("stop", "127.231.0.50", SMALL_VM).await;
    let _crowd = CallerCrowd::gather(fixture.gateway.callers, 400, &ALL_KINDS).await;
    fixture.gateway.expect_within_vm("beside the crowd");
    fixture.gateway.expect_planned_stop(PATIENCE).await;
}

/// Guards against a crowd at one VM that makes others take it for dead, or costs their callers anything.
#[gtest]
#[tokio::test]
async fn another_vm_beside_a_crowd() {
    let mut fixture = CrowdFixture::start("crowded", "127.231.0.51", SMALL_VM).await;
    let store = fixture.store.address();
    let mut other = GatewayProcess::start("calm", "127.231.0.52", store, SMALL_VM);
    expect_listed(&other, &fixture.gateway, "before the crowd").await;
    let crowd = CallerCrowd::gather(fixture.gateway.callers, 400, &ALL_KINDS).await;
    fixture.expect_whole("beside the crowd").await;
    expect_listed(&other, &fixture.gateway, "beside the crowd").await;
    let answer = ask(other.callers, "calm", b"").await;
    let status = answer.map(|answer| answer.status().as_u16());
    expect_that!(status, some(eq(200)));
    other.expect_within_vm("beside a crowd at another VM");
    crowd.leave().await;
}

/// Expects a VM to name itself and another one to callers.
async fn expect_listed(vm: &GatewayProcess, other: &GatewayProcess, when: &str) {
    let target = "/v1/resolve?name=t.example&region=a&zone=a-1";
    let asking = async {
        loop {
            let answer = call(vm.directory, target).await;
            let text = answer.map(|answer| String::from_utf8_lossy(answer.body()).into_owned());
            let names = |address: SocketAddr| {
                let address = address.to_string();
                text.as_ref().is_some_and(|text| text.contains(&address))
            };
            if names(vm.callers) && names(other.callers) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let asked = tokio::time::timeout(PATIENCE, asking).await;
    expect_that!(asked.is_ok(), eq(true), "both VMs are listed {when}");
}

/// Guards against the memory of requests that wait for many shards: each keeps its head, and an attempt for each shard.
#[gtest]
#[tokio::test]
async fn requests_to_many_shards_that_wait() {
    const SHARDS: usize = 100;
    let mut fixture = CrowdFixture::start("shards", "127.231.0.53", SMALL_VM).await;
    fixture.upstream.set_faults(UpstreamFaults {
        silent: true,
        ..UpstreamFaults::default()
    });
    let mut shards = Vec::new();
    for number in 0..SHARDS {
        let entry = fixture.upstream.entry("a-1", "ready");
        let entry = entry.replace(
            "\"service\":\"s\"",
            &format!("\"service\":\"shard{number}\""),
        );
        fixture.store.put(&format!("servers/shard-{number}"), entry);
        shards.push(format!("\"shard{number}\""));
    }
    let gathered = format!(
        r#"{{"name":"g","host":"t.example","prefix":"/g/","routeType":"idempotent","timeoutMs":120000,"sloMs":500,
        "maxAttempts":2,"gather":[{}],"topK":10,"minCoverage":0.5}},{{"name":"r""#,
        shards.join(",")
    );
    let config = config()
        .replace("\"version\":3", "\"version\":4")
        .replace("{\"name\":\"r\"", &gathered);
    fixture.store.put("op/config", config);
    wait_for_version(&fixture.gateway, 4).await;
    let crowd = CallerCrowd::gather(fixture.gateway.callers, 400, &[CallerKind::Gathered]).await;
    fixture.gateway.expect_within_vm("beside the crowd");
    crowd.leave().await;
    fixture.upstream.set_faults(UpstreamFaults::default());
    fixture.expect_whole("after the crowd").await;
}

/// Waits until a gateway has a version of the configuration in force.
async fn wait_for_version(gateway: &GatewayProcess, version: u64) {
    let line = format!("ebonyfork_gateway_config_version {version}");
    let waiting = async {
        loop {
            let answer = call(gateway.metrics, "/metrics").await;
            let text = answer.map(|answer| String::from_utf8_lossy(answer.body()).into_owned());
            if text.is_some_and(|text| text.contains(&line)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "version {version} is not in force");
}
