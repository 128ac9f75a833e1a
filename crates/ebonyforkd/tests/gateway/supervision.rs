//! Tasks of a gateway that end while it serves. The gateway runs within the test, so that the test can end its tasks.

use ebonyfork::gateway::{GatewayDialect, GatewayNode, GatewaySettings, TaskName};
use ebonyfork_platform::{PlatformStore, platform_dialect};
use tokio::task::LocalSet;

use super::*;

/// Time within which a change must be in force (`config-in-force-ms` of the settings). A VM is whole again within it after
/// the end of a task: the longest wait before the first restart is 100 ms, and a read of the store takes less than 1 s.
const CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Time after which the store removes the entry of a VM that doesn't renew its lease (12 s), with a margin for its clean-up.
const LEASE_END: Duration = Duration::from_secs(14);

/// A gateway within this process, with its addresses.
struct LocalGateway {
    node: GatewayNode<PlatformStore>,
    callers: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
}

async fn start_local(
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
fn versioned_config(version: u64) -> String {
    config(version, "idempotent").replace("/r/", &format!("/v{version}/"))
}

/// Fails unless a condition holds within a time.
async fn expect_within(bound: Duration, what: &str, mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(bound, waiting).await;
    assert!(waited.is_ok(), "not within {bound:?}: {what}");
}

async fn has_status(address: SocketAddr, target: &str, status: u16) -> bool {
    let answer = get(address, target, "supervision").await;
    answer.is_some_and(|answer| answer.status() == status)
}

async fn metrics_text(gateway: &LocalGateway) -> String {
    let answer = get(gateway.metrics, "/metrics", "supervision").await;
    answer.map_or_else(String::new, |answer| {
        String::from_utf8_lossy(answer.body()).into_owned()
    })
}

/// Expects a gateway to put a new version in force, to serve by it and to answer control calls, all within the bound.
async fn expect_whole(gateway: &LocalGateway, store: &StoreServer, version: u64, after: &str) {
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

/// Guards against a process that lives on without a task that it needs: before, the end of a task was noticed by nobody. Each
/// task that can be restarted is ended once; within the bound the VM follows changes, serves, answers readiness checks and
/// tells of the end in its metrics, and it keeps its entry in the store.
#[gtest]
#[tokio::test]
async fn a_vm_is_whole_again_after_the_end_of_any_task() {
    let test = async {
        let (store, _upstream) = store_and_upstream().await;
        store.put("op/config", versioned_config(1));
        let gateway = start_local("ends", "127.230.0.60", &store, platform_dialect()).await;
        wait_status(gateway.ready, "/v1/ready", 200).await;
        expect_within(PATIENCE, "registered", async || {
            !store.keys("ebonyfork/").is_empty()
        })
        .await;
        let mut version = 1;
        let mut registration_ended = None;
        for task in TaskName::ALL {
            if task == TaskName::Membership || !gateway.node.abort_task(task) {
                continue;
            }
            if task == TaskName::Registration {
                registration_ended = Some(Instant::now());
            }
            let line = format!("task_ends_total{{task=\"{task}\"}} 1");
            expect_within(CHANGE_BOUND, &line, async || {
                metrics_text(&gateway).await.contains(&line) && !gateway.node.is_task_down(task)
            })
            .await;
            version += 1;
            expect_whole(&gateway, &store, version, task.label()).await;
        }
        expect_that!(version, ge(15), "tasks ended");
        let registration_ended = registration_ended.expect("a registration");
        tokio::time::sleep_until(registration_ended + LEASE_END).await;
        expect_that!(store.keys("ebonyfork/").len(), ge(1), "the VM's entry");
        gateway.node.stop().await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a process that lives on without gossip, whose state can't be rebuilt: it reports the failure, is no longer
/// ready, and still stops as planned.
#[gtest]
#[tokio::test]
async fn the_end_of_gossip_ends_the_process_as_planned() {
    let test = async {
        let (store, _upstream) = store_and_upstream().await;
        store.put("op/config", versioned_config(1));
        let mut gateway = start_local("gossip", "127.230.0.61", &store, platform_dialect()).await;
        wait_status(gateway.ready, "/v1/ready", 200).await;
        expect_that!(gateway.node.abort_task(TaskName::Membership), eq(true));
        let failure = tokio::time::timeout(PATIENCE, gateway.node.failure()).await;
        expect_that!(failure.expect("a failure").task, eq("membership"));
        wait_status(gateway.ready, "/v1/ready", 503).await;
        expect_that!(has_status(gateway.callers, "/v1/1", 200).await, eq(true));
        let stopped = tokio::time::timeout(PATIENCE, gateway.node.stop()).await;
        expect_that!(stopped, ok(eq(&())));
        expect_that!(store.keys("ebonyfork/").len(), eq(0), "the VM's entry");
    };
    LocalSet::new().run_until(test).await;
}
