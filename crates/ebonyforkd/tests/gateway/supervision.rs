//! Tasks of a gateway that end while it serves. The gateway runs within the test, so that the test can end its tasks.

use ebonyfork::gateway::TaskName;
use ebonyfork_platform::platform_dialect;
use tokio::task::LocalSet;

use super::local::*;
use super::*;

/// Time after which the store removes the entry of a VM that doesn't renew its lease (12 s), with a margin for its clean-up.
const LEASE_END: Duration = Duration::from_secs(14);

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
