//! The readiness check while copies of the store grow old.

use ebonyfork_stand_in::store_faults::{StoreFaults, StoreOutage};

use super::*;

/// Three times the time within which a change must be in force, as in the settings of [`start_gateway_with`].
const OUTAGE: Duration = Duration::from_secs(9);

/// Guards against an outage of the store that takes all VMs out: their copies grow old together, so no VM is better off.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_vms_stay_ready_while_the_store_is_away() {
    let (store, _upstream) = store_and_upstream().await;
    store.put("op/config", config(1, "idempotent"));
    let zones = "a-1 = a\nb-1 = b";
    let vms = [
        ("127.230.0.96", "a-1"),
        ("127.230.0.97", "a-1"),
        ("127.230.0.98", "b-1"),
    ];
    let vms = vms.map(|(address, zone)| {
        let name = format!("away-{address}");
        start_gateway_in(&name, address, store.address(), (zone, zones))
    });
    for vm in &vms {
        wait_status(vm.ready, "/v1/ready", 200).await;
        wait_status(vm.callers, "/r/1", 200).await;
    }
    // Some VMs may learn of this version, and announce it, before the store is away.
    store.put("op/config", config(2, "idempotent"));
    tokio::time::sleep(Duration::from_millis(20)).await;
    store.set_faults(StoreFaults {
        outage: Some(StoreOutage::Silent),
        ..StoreFaults::default()
    });
    let began = Instant::now();
    let mut answers = 0;
    while began.elapsed() < OUTAGE {
        for vm in &vms {
            let address = vm.callers;
            for (port, target) in [(vm.ready, "/v1/ready"), (vm.callers, "/r/1")] {
                let id = format!("away-{answers}");
                let answer = get(port, target, &id).await;
                let status = answer.map(|answer| answer.status().as_u16());
                expect_that!(
                    status,
                    some(eq(200)),
                    "{address} {target} {:?}",
                    began.elapsed()
                );
                answers += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_that!(answers, gt(100));
}
