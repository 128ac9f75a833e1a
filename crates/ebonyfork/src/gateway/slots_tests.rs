use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::time::Instant as TokioInstant;

use super::*;
use crate::gateway::policy::fairness::{FlowKey, QueueShare};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn priority(received_ms: u64, useful_ms: Option<u64>, start: Instant) -> SlotPriority {
    SlotPriority {
        useful_until: useful_ms.map(|useful| start + ms(useful)),
        service_time: ms(30),
        received: start + ms(received_ms),
        share: QueueShare::default(),
    }
}

/// Queues waiters behind one permit and returns the order in which they obtain it.
async fn service_order(queue: &SlotQueue, priorities: Vec<(char, SlotPriority)>) -> String {
    let permit = queue.acquire(priorities[0].1).await;
    let finished = Rc::new(RefCell::new(String::new()));
    let local = tokio::task::LocalSet::new();
    for (name, priority) in priorities {
        let (queue, finished) = (queue.clone(), Rc::clone(&finished));
        local.spawn_local(async move {
            let permit = queue.acquire(priority).await;
            finished.borrow_mut().push(name);
            drop(permit);
        });
    }
    local
        .run_until(async {
            tokio::task::yield_now().await;
            drop(permit);
        })
        .await;
    local.await;
    finished.take()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn requests_that_can_meet_their_deadline_go_first() {
    let start = TokioInstant::now().into_std();
    let queue = SlotQueue::new(1);
    let priorities = vec![
        ('l', priority(0, None, start)),     // already late
        ('h', priority(1, Some(20), start)), // can't meet its deadline any more
        ('b', priority(2, Some(200), start)),
        ('a', priority(3, Some(100), start)), // the most urgent one that can
    ];
    expect_that!(service_order(&queue, priorities).await, eq("ablh"));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_waiter_that_gives_up_is_passed_over() {
    let start = TokioInstant::now().into_std();
    let queue = SlotQueue::new(1);
    let permit = queue.acquire(priority(0, None, start)).await;
    {
        let abandoned_wait = queue.acquire(priority(1, None, start));
        let result = tokio::time::timeout(ms(10), abandoned_wait).await;
        expect_that!(result.is_err(), eq(true));
    };
    drop(permit);
    let next_permit = tokio::time::timeout(ms(10), queue.acquire(priority(2, None, start))).await;
    expect_that!(next_permit.is_ok(), eq(true));
    expect_that!(queue.state.borrow().in_use, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lower_limit_applies_as_permits_are_returned() {
    let start = TokioInstant::now().into_std();
    let queue = SlotQueue::new(2);
    let first = queue.acquire(priority(0, Some(10_000), start)).await;
    let _second = queue.acquire(priority(0, Some(10_000), start)).await;
    queue.set_limit(1);
    drop(first);
    let third = tokio::time::timeout(ms(10), queue.acquire(priority(1, Some(10_000), start))).await;
    expect_that!(third.is_err(), eq(true));
    queue.set_limit(2);
    let fourth =
        tokio::time::timeout(ms(10), queue.acquire(priority(2, Some(10_000), start))).await;
    expect_that!(fourth.is_ok(), eq(true));
}

/// Guards against late requests filling the upstream's own queue, which is first-come, first-served.
#[gtest]
#[tokio::test(start_paused = true)]
async fn late_requests_leave_half_of_the_connections_free() {
    let start = TokioInstant::now().into_std();
    let queue = SlotQueue::new(4);
    let late_priority = priority(0, None, start);
    let _first = queue.acquire(late_priority).await;
    let second = queue.acquire(late_priority).await;
    let third = tokio::time::timeout(ms(10), queue.acquire(late_priority)).await;
    expect_that!(third.is_err(), eq(true));
    let urgent_priority = priority(1, Some(200), start);
    let urgent_permit = tokio::time::timeout(ms(10), queue.acquire(urgent_priority)).await;
    expect_that!(urgent_permit.is_ok(), eq(true));
    drop((second, urgent_permit));
    let fourth = tokio::time::timeout(ms(10), queue.acquire(late_priority)).await;
    expect_that!(fourth.is_ok(), eq(true));
    // Late requests always get at least one connection.
    let single_slot_queue = SlotQueue::new(1);
    let only_permit = tokio::time::timeout(ms(10), single_slot_queue.acquire(late_priority)).await;
    expect_that!(only_permit.is_ok(), eq(true));
}

/// Guards against one organisation's requests taking all connections because their deadlines are nearer. Without
/// organisations the order by deadline is the same as ever.
#[gtest]
#[tokio::test(start_paused = true)]
async fn organisations_take_turns() {
    let start = TokioInstant::now().into_std();
    let share = |name: &str| QueueShare::new(FlowKey::new(name), None, 0);
    for (has_organisations, order) in [(true, "axbycd"), (false, "abcdxy")] {
        let queue = SlotQueue::new(1);
        let waiter = |name: char, organisation: &str, useful_ms: u64| {
            let mut priority = priority(0, Some(useful_ms), start);
            if has_organisations {
                priority.share = share(organisation);
            }
            (name, priority)
        };
        let priorities = vec![
            waiter('a', "north-office", 200),
            waiter('b', "north-office", 210),
            waiter('c', "north-office", 220),
            waiter('d', "north-office", 230),
            waiter('x', "south-office", 500),
            waiter('y', "south-office", 510),
        ];
        expect_that!(service_order(&queue, priorities).await, eq(order));
        expect_that!(queue.state.borrow().order.flow_count(), eq(0));
    }
}
