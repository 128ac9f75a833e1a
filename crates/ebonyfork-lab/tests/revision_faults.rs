//! Revisions among real feeds on loopback sockets, with faults of the store: what is in force never goes back.

use std::time::Duration;

use ebonyfork::declaration::DeclaredFile;
use ebonyfork::ident::RevisionNumber;
use ebonyfork::revision::{PublishOutcome, publish, read_evidence, read_head};
use ebonyfork::store::StoreClient;
use ebonyfork_lab::config_fleet::ConfigFleet;
use ebonyfork_lab::platform::PlatformStandIn;
use ebonyfork_stand_in::store_faults::{StoreFaults, StoreOutage};
use googletest::prelude::*;

/// Longest wait for something that must come; far beyond what it takes.
const PATIENCE: Duration = Duration::from_secs(30);

fn down() -> StoreFaults {
    StoreFaults {
        outage: Some(StoreOutage::Busy),
        ..StoreFaults::default()
    }
}

struct Bench {
    platform: PlatformStandIn,
    client: StoreClient,
    fleet: ConfigFleet,
}

impl Bench {
    async fn start(network: u8, zones: &[(&str, usize)]) -> Self {
        let listen = "127.0.0.1:0".parse().expect("an address");
        let platform = PlatformStandIn::start(listen).await.expect("a free port");
        let client = StoreClient::new(platform.client(), Duration::from_secs(2));
        let mut fleet = ConfigFleet::new(platform.address(), network)
            .await
            .expect("loopback addresses");
        for (zone, count) in zones {
            let zone = zone.parse().expect("a zone");
            fleet.add(&zone, *count).await.expect("free ports");
        }
        Self {
            platform,
            client,
            fleet,
        }
    }

    async fn publish(&self, connections: u32) -> RevisionNumber {
        match self.try_publish(connections).await {
            PublishOutcome::Published { head, .. } => head.revision,
            other => panic!("not published: {other:?}"),
        }
    }

    async fn try_publish(&self, connections: u32) -> PublishOutcome {
        let text = format!("[service tender-00]\nconnections = {connections}\ndrain = 10s\n");
        let files = [DeclaredFile::new("main.ini", text)];
        publish(&self.client, &files, "kim", "a change").await
    }

    fn connections(&self, node: usize) -> u32 {
        let config = self.fleet.nodes[node].config();
        let service = config.services.values().next().expect("a service");
        service.connections
    }
}

#[tokio::test]
async fn a_revision_reaches_every_vm_and_the_evidence_shows_it() {
    let bench = Bench::start(101, &[("zone-a", 5), ("zone-b", 4)]).await;
    let revision = bench.publish(25).await;
    assert_that!(bench.fleet.wait_for(revision, PATIENCE).await, eq(true));
    for node in 0..9 {
        assert_that!(bench.connections(node), eq(25));
    }
    let shown = async {
        loop {
            bench.fleet.gossip();
            let evidence = read_evidence(&bench.client).await.expect("a healthy store");
            if evidence.len() == 2 && evidence.iter().all(|zone| zone.lowest == revision) {
                return evidence.iter().map(|zone| zone.vms).sum::<u32>();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let vms = tokio::time::timeout(PATIENCE, shown).await;
    assert_that!(vms, ok(eq(&9)));
}

#[tokio::test]
async fn a_fresh_vm_starts_from_its_peers_while_the_store_is_down() {
    let mut bench = Bench::start(102, &[("zone-a", 3)]).await;
    let revision = bench.publish(25).await;
    assert_that!(bench.fleet.wait_for(revision, PATIENCE).await, eq(true));
    bench.platform.store().set_faults(down());
    // The last one has a zone of its own, so that it would be its zone's watcher.
    for zone in ["zone-a", "zone-a", "zone-b"] {
        let zone = zone.parse().expect("a zone");
        bench.fleet.add(&zone, 1).await.expect("free ports");
    }
    assert_that!(bench.fleet.wait_for(revision, PATIENCE).await, eq(true));
    assert_that!(bench.connections(5), eq(25));
}

#[tokio::test]
async fn a_store_that_goes_back_reverts_nothing_and_is_moved_forward_again() {
    let bench = Bench::start(103, &[("zone-a", 3), ("zone-b", 2)]).await;
    let first = bench.publish(25).await;
    assert_that!(bench.fleet.wait_for(first, PATIENCE).await, eq(true));
    let backup = bench.platform.store().backup();
    let second = bench.publish(50).await;
    let third = bench.publish(75).await;
    assert_that!(third.0, gt(second.0));
    assert_that!(bench.fleet.wait_for(third, PATIENCE).await, eq(true));
    bench.platform.restart_with(backup);
    let restored = async {
        loop {
            assert_that!(bench.fleet.lowest(), eq(third), "a VM went back");
            let head = read_head(&bench.client).await.expect("a healthy store");
            if head.is_some_and(|(_, head)| head.revision == third) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let restored = tokio::time::timeout(PATIENCE, restored).await;
    assert_that!(restored, ok(anything()));
    let fourth = bench.publish(90).await;
    assert_that!(fourth.0, gt(third.0));
    assert_that!(bench.fleet.wait_for(fourth, PATIENCE).await, eq(true));
    assert_that!(bench.connections(0), eq(90));
}

#[tokio::test]
async fn an_empty_store_is_filled_again() {
    let bench = Bench::start(104, &[("zone-a", 2)]).await;
    let empty = bench.platform.store().backup();
    let first = bench.publish(25).await;
    assert_that!(bench.fleet.wait_for(first, PATIENCE).await, eq(true));
    bench.platform.restart_with(empty);
    let restored = async {
        while read_head(&bench.client)
            .await
            .expect("a healthy store")
            .is_none()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let restored = tokio::time::timeout(PATIENCE, restored).await;
    assert_that!(restored, ok(anything()));
    assert_that!(bench.connections(1), eq(25));
}

#[tokio::test]
async fn catalogues_reach_every_vm_and_a_lower_epoch_changes_nothing() {
    let mut bench = Bench::start(105, &[("zone-a", 5)]).await;
    let text = "[class search]\nindex = tenders\nlatency = 300ms\ncoverage = 0.98\n\
                gives-way = latency\nidempotent = yes\n";
    let files = [DeclaredFile::new("main.ini", text)];
    publish(&bench.client, &files, "kim", "a class").await;
    let put = |epoch: u64| {
        let value = format!(r#"{{"epoch":{epoch},"versions":[]}}"#);
        bench.platform.store().put("index/tenders", value);
    };
    put(5);
    wait_for_epoch(&bench.fleet, 5).await;
    put(4);
    put(6);
    wait_for_epoch(&bench.fleet, 6).await;
    put(3);
    bench.platform.store().set_faults(down());
    let zone = "zone-b".parse().expect("a zone");
    bench.fleet.add(&zone, 1).await.expect("free ports");
    wait_for_epoch(&bench.fleet, 6).await;
}

/// Waits until every VM holds this epoch; a VM that held it never shows a lower one.
async fn wait_for_epoch(fleet: &ConfigFleet, epoch: u64) {
    let reached = async {
        loop {
            let epochs = fleet.nodes.iter().map(|node| {
                let catalogs = node.views.catalog.borrow();
                catalogs.values().next().map_or(0, |catalog| catalog.epoch)
            });
            if epochs.min() == Some(epoch) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let reached = tokio::time::timeout(PATIENCE, reached).await;
    assert_that!(reached, ok(anything()), "epoch {epoch}");
}

#[tokio::test]
async fn a_number_published_anew_on_a_store_that_went_back_doesnt_replace_what_is_in_force() {
    let mut bench = Bench::start(106, &[("zone-a", 3), ("zone-b", 2)]).await;
    let first = bench.publish(25).await;
    assert_that!(bench.fleet.wait_for(first, PATIENCE).await, eq(true));
    let backup = bench.platform.store().backup();
    let second = bench.publish(50).await;
    assert_that!(bench.fleet.wait_for(second, PATIENCE).await, eq(true));
    // An operator publishes onto the older head, under the number that was lost. A watcher that writes its zone's
    // evidence in between makes the publishing end without effect: then once more from the start.
    let anew = loop {
        bench.platform.restart_with(backup.clone());
        if let PublishOutcome::Published { head, .. } = bench.try_publish(75).await {
            break head.revision;
        }
    };
    assert_that!(anew, eq(second));
    let zone = "zone-c".parse().expect("a zone");
    bench.fleet.add(&zone, 1).await.expect("free ports");
    let restored = RevisionNumber(second.0 + 1);
    assert_that!(bench.fleet.wait_for(restored, PATIENCE).await, eq(true));
    for node in 0..6 {
        assert_that!(bench.connections(node), eq(50), "node {node}");
    }
}
