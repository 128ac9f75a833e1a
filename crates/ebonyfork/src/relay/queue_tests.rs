use std::collections::BTreeSet;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use super::*;

fn entry(work: u32, organisation: u32, deadline: u64) -> QueueEntry {
    QueueEntry {
        work: WorkId::from_u32(work),
        organisation: OrganisationId::from_u32(organisation),
        class: ClassId::from_u32(0),
        deadline: Duration::from_millis(deadline),
        cost: Duration::from_millis(1),
    }
}

fn pop_all(queue: &mut RelayQueue, now: Duration) -> Vec<u32> {
    let mut expired = Vec::new();
    let mut order = Vec::new();
    while let Some(work) = queue.pop(now, 1, |_| true, &mut expired) {
        order.push(work.as_u32());
    }
    order
}

#[gtest]
fn arrival_order_ignores_deadlines() {
    let mut queue = RelayQueue::new(QueueOrder::Arrival);
    for (work, deadline) in [(0, 90), (1, 10), (2, 50)] {
        queue.push(entry(work, work, deadline));
    }
    expect_that!(pop_all(&mut queue, Duration::ZERO), eq(&vec![0, 1, 2]));
}

#[gtest]
fn newly_active_organisation_overtakes_backlog_of_another() {
    let mut queue = RelayQueue::new(QueueOrder::Slack);
    for work in 0..400 {
        queue.push(entry(work, 0, 100));
    }
    let mut expired = Vec::new();
    for _served in 0..50 {
        queue.pop(Duration::ZERO, 1, |_| true, &mut expired);
    }
    // The newly active organisation has more slack than the whole backlog, but waits for only a few of its attempts.
    for work in 1_000..1_010 {
        queue.push(entry(work, 1, 900));
    }
    let order = pop_all(&mut queue, Duration::ZERO);
    let last = order.iter().position(|work| *work == 1_009).unwrap();
    expect_that!(last, le(2 * 10 + 2 * FAIR_QUANTUM as usize));
}

#[gtest]
fn idle_organisation_earns_no_credit() {
    let mut queue = RelayQueue::new(QueueOrder::Slack);
    let mut expired = Vec::new();
    queue.push(entry(0, 1, 100));
    queue.pop(Duration::ZERO, 1, |_| true, &mut expired);
    for work in 1..200 {
        queue.push(entry(work, 0, 100));
        queue.pop(Duration::ZERO, 1, |_| true, &mut expired);
    }
    for work in 0..40 {
        queue.push(entry(1_000 + work, 0, 100));
        queue.push(entry(2_000 + work, 1, 100));
    }
    let order = pop_all(&mut queue, Duration::ZERO);
    let late = order[..40].iter().filter(|work| **work >= 2_000).count();
    expect_that!(late, all![ge(15), le(25)]);
}

#[gtest]
fn backlog_of_one_organisation_does_not_block_others() {
    let mut queue = RelayQueue::new(QueueOrder::Slack);
    let mut refused = Vec::new();
    for work in 0..QUEUE_LIMIT as u32 {
        for organisation in 0..3 {
            let pushed = entry(3 * work + organisation, organisation, 100 + u64::from(work));
            if let PushResult::Evicted(work) = queue.push(pushed) {
                refused.push(work.as_u32());
            }
        }
    }
    expect_that!(queue.len(), eq(QUEUE_LIMIT));
    expect_that!(
        queue.push(entry(9_000, 7, 5_000)),
        not(eq(PushResult::Evicted(WorkId::from_u32(9_000))))
    );
    expect_that!(queue.cancel(WorkId::from_u32(9_000)), eq(true));
}

#[derive(Debug, Clone)]
enum QueueStep {
    Push { organisation: u32, deadline: u64 },
    Pop,
    Cancel(u32),
    Expire,
    Drain,
}

fn steps() -> impl Strategy<Value = Vec<QueueStep>> {
    let step = prop_oneof![
        8 => (0..5_u32, 0..400_u64)
            .prop_map(|(organisation, deadline)| QueueStep::Push { organisation, deadline }),
        4 => Just(QueueStep::Pop),
        2 => (0..200_u32).prop_map(QueueStep::Cancel),
        1 => Just(QueueStep::Expire),
        1 => Just(QueueStep::Drain),
    ];
    prop::collection::vec(step, 0..300)
}

/// Runs the steps against a reference set of the waiting attempts: no attempt is lost, comes out twice, or is sent
/// after its deadline, and each leaves the queue in exactly one way.
fn check_steps(order: QueueOrder, steps: &[QueueStep]) {
    let mut queue = RelayQueue::new(order);
    let mut waiting = BTreeSet::new();
    let mut out = Vec::new();
    let mut deadlines = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let now = Duration::from_millis(number as u64);
        match step {
            QueueStep::Push {
                organisation,
                deadline,
            } => {
                let work = deadlines.len() as u32;
                deadlines.push(Duration::from_millis(*deadline));
                assert!(waiting.insert(work));
                if let PushResult::Evicted(work) = queue.push(entry(work, *organisation, *deadline))
                {
                    assert!(waiting.remove(&work.as_u32()));
                }
            }
            QueueStep::Pop => {
                let sent = queue.pop(now, 1, |_| true, &mut out);
                assert!(sent.is_some() || waiting.len() == out.len());
                if let Some(sent) = sent {
                    assert!(deadlines[sent.as_u32() as usize] > now);
                    out.push(sent);
                }
            }
            QueueStep::Cancel(work) => {
                let known = WorkId::from_u32(*work);
                assert_eq!(queue.cancel(known), waiting.remove(work));
            }
            QueueStep::Expire => {
                queue.drop_expired(now, &mut out);
                let left = |work: &u32| {
                    deadlines[*work as usize] > now || out.contains(&WorkId::from_u32(*work))
                };
                assert!(waiting.iter().all(left));
            }
            QueueStep::Drain => queue.drain(&mut out),
        }
        for work in out.drain(..) {
            assert!(waiting.remove(&work.as_u32()), "{work} came out twice");
        }
        assert_eq!(queue.len(), waiting.len());
    }
}

#[test]
fn every_attempt_leaves_exactly_once() {
    let config = proptest::test_runner::Config {
        cases: 500,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = |steps: Vec<QueueStep>| {
        check_steps(QueueOrder::Slack, &steps);
        check_steps(QueueOrder::Arrival, &steps);
        Ok(())
    };
    runner.run(&steps(), run).unwrap();
}
