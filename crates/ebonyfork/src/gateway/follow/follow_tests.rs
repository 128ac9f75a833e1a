use std::time::Duration;

use googletest::prelude::*;
use tokio::task::LocalSet;

use super::fixture::{CONFIG_KEY, CREDENTIAL, FollowFleet, FollowVm, sleep_seconds};
use super::random_history::{HistorySettings, run_history};
use super::store_fixture::StoreReach;

/// Time within which a change must be in force on all VMs: the shortest that any deployment states.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(3);

/// Seeds of histories that guard against two failures. Seeds 123, 248, 349 and 423: an outage of the store is taken to
/// have just ended, so that removals are delayed by 2.3 s. The reason is a call that failed long ago, or a response
/// that the store no longer keeps the requested changes. Seed 540, in some runs only: followers never receive what
/// their source read ahead.
const REGRESSION_SEEDS: [u64; 5] = [123, 248, 349, 423, 540];

/// A VM must not be followed any longer after its connection to the store has fallen silent. The VM itself needs up to
/// 5 s to notice that. Until then it must not tell its followers that its copy is up to date. Otherwise followers whose
/// own connection to the store is good miss the changes of that time, and answer 404 for a route that was acknowledged
/// 3.6 s before.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_follower_leaves_a_vm_whose_store_connection_is_silent() {
    let test = async {
        let fleet = FollowFleet::start(&["a", "a", "a", "b", "b"]).await;
        fleet.put_config(1);
        sleep_seconds(4.0).await;
        // The next watch of the store has just started when the connection falls silent.
        fleet.put_config(2);
        sleep_seconds(0.5).await;
        let reader_index = fleet.reader_index("a");
        fleet
            .store
            .set_reach(fleet.vms[reader_index].number, StoreReach::Silent);
        fleet.put_config(3);
        sleep_seconds(MAX_CHANGE_DELAY.as_secs_f64()).await;
        for (index, vm) in fleet.vms.iter().enumerate() {
            if index != reader_index {
                expect_that!(vm.version(), eq(3), "VM {}", vm.number);
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a store whose answers can't be decoded looking like one that is away: operators have to look at the store's
/// content then.
#[gtest]
#[tokio::test(start_paused = true)]
async fn undecodable_answers_are_counted() {
    let test = async {
        let fleet = FollowFleet::start(&["a", "a", "b"]).await;
        fleet.put_config(1);
        sleep_seconds(4.0).await;
        let counts = || fleet.vms.iter().map(FollowVm::malformed_answers);
        expect_that!(counts().sum::<u64>(), eq(0));
        fleet.set_reach(StoreReach::Malformed);
        sleep_seconds(10.0).await;
        expect_that!(counts().all(|count| count > 0), eq(true));
        fleet.set_reach(StoreReach::Answers);
        fleet.put_config(2);
        sleep_seconds(MAX_CHANGE_DELAY.as_secs_f64()).await;
        for vm in &fleet.vms {
            expect_that!(vm.version(), eq(2), "VM {}", vm.number);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A store restored from an older copy assigns the revisions of lost changes again, to other changes. These must be
/// applied although VMs already know the revision numbers.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_at_a_reused_revision_is_applied() {
    let test = async {
        let fleet = FollowFleet::start(&["a", "a", "b", "b"]).await;
        fleet.put_config(1);
        sleep_seconds(4.0).await;
        let content = fleet.store.content();
        fleet.put_config(2);
        fleet.put_config(3);
        sleep_seconds(1.0).await;
        fleet.set_reach(StoreReach::Refuses);
        sleep_seconds(2.5).await;
        fleet.store.restore(content);
        fleet.set_reach(StoreReach::Answers);
        sleep_seconds(HistorySettings::default().recovery_time.as_secs_f64()).await;
        for vm in &fleet.vms {
            expect_that!(vm.version(), eq(3), "VM {} went back", vm.number);
        }
        fleet.put_config(4);
        sleep_seconds(MAX_CHANGE_DELAY.as_secs_f64()).await;
        for vm in &fleet.vms {
            expect_that!(vm.version(), eq(4), "VM {}", vm.number);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A removal must be applied even if the feed that reads the store never saw the key. A VM that the store refuses
/// learns of an upstream from another VM. The upstream is removed while that other VM is behind, and the first VM
/// returns to the store. Its watch from the earlier revision returns both the write and the removal. If the feed
/// dropped the removal, because it never saw the key, the VM would go on sending requests to the removed upstream's
/// address, 4.0 s after the removal and later.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_removal_is_applied_although_the_feed_never_saw_the_key() {
    let test = async {
        let fleet = FollowFleet::start(&["a", "b", "b"]).await;
        fleet.put_config(1);
        sleep_seconds(3.0).await;
        fleet.store.set_reach(1, StoreReach::Refuses);
        sleep_seconds(2.0).await;
        fleet.store.put("upstream/x", "s");
        sleep_seconds(0.5).await;
        expect_that!(
            fleet.vms[0].upstreams().len(),
            eq(1),
            "learnt from another VM"
        );
        for vm in [2, 3] {
            fleet.store.set_reach(vm, StoreReach::Silent);
        }
        sleep_seconds(0.1).await;
        fleet.store.remove("upstream/x");
        fleet.store.set_reach(1, StoreReach::Answers);
        // For 2.3 s after the store responds again, a removed upstream stays in use: its entry may have expired during
        // the outage, and the upstream may write it again.
        sleep_seconds(HistorySettings::default().recovery_time.as_secs_f64() + 2.3).await;
        expect_that!(fleet.vms[0].upstreams().len(), eq(0));
    };
    LocalSet::new().run_until(test).await;
}

/// After an outage of the store its followers' followers learn of the removals too. Only the readers have called the
/// store; if the other VMs dropped the upstreams whose entries expired meanwhile, most of the fleet would refuse
/// requests until these have registered again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn every_vm_keeps_upstreams_whose_entries_expired_during_an_outage() {
    let test = async {
        let fleet = FollowFleet::start(&["a"; 8]).await;
        fleet.put_config(1);
        fleet.store.put("upstream/x", "s");
        sleep_seconds(4.0).await;
        fleet.set_reach(StoreReach::Refuses);
        sleep_seconds(3.0).await;
        fleet.store.remove("upstream/x");
        fleet.set_reach(StoreReach::Answers);
        sleep_seconds(1.8).await;
        for vm in &fleet.vms {
            expect_that!(vm.upstreams().len(), eq(1), "VM {}", vm.number);
        }
        sleep_seconds(MAX_CHANGE_DELAY.as_secs_f64()).await;
        for vm in &fleet.vms {
            expect_that!(vm.upstreams().len(), eq(0), "VM {}", vm.number);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A silent source must be abandoned before the follower's copy is stale. Suppose that a follower waits for a frozen VM
/// until its own copy is stale, after 2 s, and only then turns to the store. For the 60 ms until the store's response,
/// it would refuse requests for routes that do not exist with 503 instead of 404.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_silent_source_is_left_before_the_copy_is_stale() {
    let test = async {
        let max_change_delay = Duration::from_secs(3);
        let fleet = FollowFleet::start_with(&["a", "a", "a"], Some(1e9), max_change_delay).await;
        fleet.put_config(1);
        sleep_seconds(4.0).await;
        let reader_index = fleet.reader_index("a");
        // At one byte per second, the VM is as good as frozen for its followers.
        fleet.set_link_rate(fleet.vms[reader_index].number, 1.0);
        for _check in 0..500 {
            sleep_seconds(0.01).await;
            for (index, vm) in fleet.vms.iter().enumerate() {
                let is_stale_follower = index != reader_index && vm.is_stale();
                expect_that!(is_stale_follower, eq(false), "VM {}", vm.number);
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// All VMs of a fleet start at the same time and register one after another. Each reads the store once, in two pages
/// here, and receives later changes from the VM that keeps reading the store. If each VM watched the store every 250 ms
/// until gossip has settled, each additional VM would take three more calls.
#[gtest]
#[tokio::test(start_paused = true)]
async fn each_vm_reads_the_store_once_at_startup() {
    let test = async {
        let fleet = FollowFleet::start(&["a"; 6]).await;
        fleet.put_config(1);
        for host_number in 0..6 {
            sleep_seconds(0.12).await;
            fleet.put_vm(host_number);
        }
        sleep_seconds(2.0).await;
        let reader_index = fleet.reader_index("a");
        for (index, vm) in fleet.vms.iter().enumerate() {
            expect_that!(vm.version(), eq(1), "VM {}", vm.number);
            if index != reader_index {
                expect_that!(fleet.store.call_count(vm.number), le(2), "VM {}", vm.number);
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Checks three invariants in random histories: a VM with a good connection to the store is up to date within
/// [`MAX_CHANGE_DELAY`]; no VM returns to an older configuration version; at the end each VM holds what the store
/// holds. The histories consist of writes, removals, outages, silent connections, broken links, dropped change logs and
/// restarts in any order. They search for failures similar to those in the tests above.
#[gtest]
#[tokio::test(start_paused = true)]
async fn every_vm_matches_the_store_after_random_histories() {
    for seed in (0..24).chain(REGRESSION_SEEDS) {
        println!("seed {seed}");
        let settings = HistorySettings::default();
        LocalSet::new().run_until(run_history(seed, settings)).await;
    }
}

/// Runs random histories in which the store is also restored from older copies, sometimes twice within seconds, while
/// VMs start.
async fn run_restore_histories(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        println!("seed {seed}");
        let settings = HistorySettings {
            restores_store: true,
            ..HistorySettings::default()
        };
        LocalSet::new().run_until(run_history(seed, settings)).await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn every_vm_matches_the_store_after_restores() {
    run_restore_histories(0..16).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
#[ignore = "by hand: takes minutes"]
async fn many_histories_with_restores() {
    run_restore_histories(1_000..1_200).await;
}

/// A VM of an older version keeps credentials as text and passes them on. They must not enter the copies of VMs that
/// follow it. The reader of the zone stands for such a VM: the port of the test replaces nothing.
#[gtest]
#[tokio::test(start_paused = true)]
async fn credentials_that_an_older_vm_passes_on_are_replaced() {
    let test = async {
        let fleet = FollowFleet::start(&["a", "a", "a"]).await;
        sleep_seconds(4.0).await;
        for version in 1..=2 {
            let config = format!("{version}\nkey={CREDENTIAL}");
            fleet.store.put(CONFIG_KEY, config);
            sleep_seconds(MAX_CHANGE_DELAY.as_secs_f64()).await;
            let reader_index = fleet.reader_index("a");
            for (index, vm) in fleet.vms.iter().enumerate() {
                let expected = if index == reader_index {
                    CREDENTIAL
                } else {
                    "digest"
                };
                let expected = format!("{version}\nkey={expected}");
                expect_that!(vm.config_text(), eq(&expected), "VM {}", vm.number);
                expect_that!(vm.version(), eq(version));
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A VM that the store has stopped answering must not send to an upstream that has become cold as to a warm one. Its copy
/// counts as up to date for 2 s, and in one second of them it would exceed what the upstream tolerates. The VMs that
/// follow it depend on it as well.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_vm_without_the_store_learns_of_a_cold_upstream() {
    let test = async {
        let fleet = FollowFleet::start(&["a", "a", "a", "b", "b"]).await;
        fleet.put_config(1);
        fleet.store.put("upstream/warm", "s");
        fleet.store.put("upstream/u", "s");
        sleep_seconds(4.0).await;
        for zone in ["a", "b"] {
            let reader_number = fleet.vms[fleet.reader_index(zone)].number;
            fleet.store.set_reach(reader_number, StoreReach::Silent);
            sleep_seconds(0.1).await;
            fleet.store.put("upstream/u", "s cold");
            sleep_seconds(0.2).await;
            for vm in &fleet.vms {
                let case = format!("VM {}, reader of {zone} cut off", vm.number);
                expect_that!(vm.may_send("upstream/u"), eq(false), "{case}");
                expect_that!(vm.may_send("upstream/warm"), eq(true), "{case}");
            }
            fleet.store.set_reach(reader_number, StoreReach::Answers);
            fleet.store.put("upstream/u", "s");
            sleep_seconds(8.0).await;
            for vm in &fleet.vms {
                expect_that!(vm.may_send("upstream/u"), eq(true), "VM {}", vm.number);
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against one cause that ends the task that follows the store on every VM, and takes the whole fleet out.
#[gtest]
#[tokio::test(start_paused = true)]
async fn followers_that_end_everywhere_leave_vms_for_callers() {
    let test = async {
        let mut fleet = FollowFleet::start(&["a", "b", "c", "a", "b", "c"]).await;
        fleet.put_routes(1, 50);
        sleep_seconds(6.0).await;
        expect_that!(fleet.fit_count(), eq(6));
        fleet.end_followers();
        sleep_seconds(10.0).await;
        expect_that!(fleet.fit_count(), gt(0), "all ended");
        for _ in 0..3 {
            for index in 0..6 {
                // The run ends before its first read is answered, as at an entry that the adapter can't survive.
                fleet.restart_follower(index);
            }
            sleep_seconds(0.002).await;
            expect_that!(fleet.fit_count(), gt(0), "restarted");
            fleet.end_followers();
            sleep_seconds(2.0).await;
        }
    };
    LocalSet::new().run_until(test).await;
}
