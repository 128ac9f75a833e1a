//! Entries of the store that make the gateway panic. No value is known that does, so the tests decode with a function that
//! panics at one.

use ebonyfork::gateway::GatewayDialect;
use ebonyfork_platform::platform_dialect;
use tokio::task::LocalSet;

use super::local::*;
use super::*;

/// Value at which decoding panics.
const PANICKING_VALUE: &str = "panics";

async fn start_upstream(instance: &str) -> UpstreamServer {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let upstream = UpstreamServer::start(free, instance, "s", Duration::from_millis(5)).await;
    upstream.expect("an upstream")
}

fn panicking_dialect() -> GatewayDialect {
    GatewayDialect {
        read_upstream: |key, value| {
            assert!(value != PANICKING_VALUE.as_bytes(), "odd entry");
            (platform_dialect().read_upstream)(key, value)
        },
        ..platform_dialect()
    }
}

/// Guards against one entry that stops a VM from following the store for good: it costs itself, that is its own upstream, and
/// nothing else. Changes that arrive with it and after it are put in force.
#[gtest]
#[tokio::test]
async fn an_entry_that_panics_costs_itself() {
    let test = async {
        let (store, upstream) = store_and_upstream().await;
        store.put("op/config", versioned_config(1));
        let gateway = start_local("odd", "127.230.0.62", &store, panicking_dialect()).await;
        wait_status(gateway.callers, "/v1/1", 200).await;
        store.put("servers/i-2", PANICKING_VALUE);
        expect_whole(&gateway, &store, 2, "a new entry that panics").await;
        store.put("servers/i-1", PANICKING_VALUE);
        expect_within(CHANGE_BOUND, "no upstream left", async || {
            has_status(gateway.callers, "/v2/1", 503).await
        })
        .await;
        store.put("servers/i-1", upstream.entry("a-1", "ready"));
        expect_whole(&gateway, &store, 3, "the entry is valid again").await;
        store.put("servers/i-1", PANICKING_VALUE);
        store.remove("servers/i-2");
        let other_upstream = start_upstream("i-3").await;
        store.put("servers/i-3", other_upstream.entry("a-1", "ready"));
        expect_whole(&gateway, &store, 4, "a change beside a panic").await;
        gateway.node.stop().await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against services that a VM never serves because their servers' entries sort behind one that panics: the VM reads
/// the whole store at its start.
#[gtest]
#[tokio::test]
async fn entries_behind_one_that_panics_are_read_at_the_start() {
    let test = async {
        let (store, _upstream) = store_and_upstream().await;
        store.remove("servers/i-1");
        store.put("servers/i-2", PANICKING_VALUE);
        let upstream = start_upstream("i-3").await;
        store.put("servers/i-3", upstream.entry("a-1", "ready"));
        store.put("op/config", versioned_config(1));
        let gateway = start_local("behind", "127.230.0.63", &store, panicking_dialect()).await;
        expect_within(CHANGE_BOUND, "served", async || {
            has_status(gateway.callers, "/v1/1", 200).await
        })
        .await;
        expect_whole(&gateway, &store, 2, "a start beside a panic").await;
        gateway.node.stop().await;
    };
    LocalSet::new().run_until(test).await;
}
