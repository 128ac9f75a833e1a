use ebonyfork::store::StoreClient;
use ebonyfork::topology::read_vm_list;
use googletest::prelude::*;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(2);

fn record(port: Option<u16>, state: VmState) -> VmRecord {
    VmRecord {
        ip: "127.0.0.9".parse().expect("an address"),
        port,
        zone: "zone-a".parse().expect("a zone"),
        group: "tender-00".into(),
        state,
    }
}

async fn start() -> (PlatformStandIn, StoreClient) {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let platform = PlatformStandIn::start(listen).await.expect("a free port");
    let client = StoreClient::new(platform.client(), TIMEOUT);
    (platform, client)
}

#[tokio::test]
async fn the_vm_list_lags_and_tells_when_a_leaving_upstream_was_first_shown() {
    let (platform, client) = start().await;
    platform.set_vms(vec![
        record(Some(80), VmState::Live),
        record(None, VmState::Live),
    ]);
    assert_that!(read_vm_list(&client).await, ok(len(eq(2))));
    platform.set_vm_lag(Duration::from_millis(50));
    platform.set_vms(vec![record(Some(80), VmState::Leaving)]);
    assert_that!(read_vm_list(&client).await, ok(len(eq(2))));
    assert_that!(platform.leaving_shown().len(), eq(0));
    tokio::time::sleep(Duration::from_millis(150)).await;
    // It stands in the list, but nobody has read it yet.
    assert_that!(platform.leaving_shown().len(), eq(0));
    let listed = read_vm_list(&client).await.expect("a healthy store");
    assert_that!(listed, eq(&vec![record(Some(80), VmState::Leaving)]));
    let address = "127.0.0.9:80".parse().expect("an address");
    let shown = platform.leaving_shown().get(&address).copied();
    assert_that!(shown, some(ge(Duration::from_millis(150))));
}

#[tokio::test]
async fn a_restart_with_older_data_keeps_the_vm_list() {
    let (platform, client) = start().await;
    let backup = platform.store().backup();
    platform.set_vms(vec![record(None, VmState::Live)]);
    platform.store().put("config/head", "1");
    platform.restart_with(backup);
    assert_that!(read_vm_list(&client).await, ok(len(eq(1))));
    assert_that!(client.get("config/head").await, ok(none()));
}
