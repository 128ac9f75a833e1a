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
    let mut expired_work = Vec::new();
    let mut popped_work = Vec::new();
    while let Some(work) = queue.pop(now, 1, |_| true, &mut expired_work) {
        popped_work.push(work.as_u32());
    }
    popped_work
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
    let mut expired_work = Vec::new();
    for _attempt in 0..50 {
        queue.pop(Duration::ZERO, 1, |_| true, &mut expired_work);
    }
    // The newly active organisation has more slack than the whole backlog, but waits for only a few of its attempts.
    for work in 1_000..1_010 {
        queue.push(entry(work, 1, 900));
    }
    let popped_work = pop_all(&mut queue, Duration::ZERO);
    let last_position = popped_work.iter().position(|work| *work == 1_009).unwrap();
    expect_that!(last_position, le(2 * 10 + 2 * FAIR_QUANTUM as usize));
}

#[gtest]
fn idle_organisation_earns_no_credit() {
    let mut queue = RelayQueue::new(QueueOrder::Slack);
    let mut expired_work = Vec::new();
    queue.push(entry(0, 1, 100));
    queue.pop(Duration::ZERO, 1, |_| true, &mut expired_work);
    for work in 1..200 {
        queue.push(entry(work, 0, 100));
        queue.pop(Duration::ZERO, 1, |_| true, &mut expired_work);
    }
    for work in 0..40 {
        queue.push(entry(1_000 + work, 0, 100));
        queue.push(entry(2_000 + work, 1, 100));
    }
    let popped_work = pop_all(&mut queue, Duration::ZERO);
    let second_organisation_count = popped_work[..40]
        .iter()
        .filter(|work| **work >= 2_000)
        .count();
    expect_that!(second_organisation_count, all![ge(15), le(25)]);
}

#[gtest]
fn backlog_of_one_organisation_does_not_block_others() {
    let mut queue = RelayQueue::new(QueueOrder::Slack);
    let mut evicted_work = Vec::new();
    for work in 0..QUEUE_LIMIT as u32 {
        for organisation in 0..3 {
            let new_entry = entry(3 * work + organisation, organisation, 100 + u64::from(work));
            if let PushResult::Evicted(work) = queue.push(new_entry) {
                evicted_work.push(work.as_u32());
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

fn queue_steps() -> impl Strategy<Value = Vec<QueueStep>> {
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
    let mut waiting_work = BTreeSet::new();
    let mut removed_work = Vec::new();
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
                assert!(waiting_work.insert(work));
                if let PushResult::Evicted(work) = queue.push(entry(work, *organisation, *deadline))
                {
                    assert!(waiting_work.remove(&work.as_u32()));
                }
            }
            QueueStep::Pop => {
                let popped_work = queue.pop(now, 1, |_| true, &mut removed_work);
                assert!(popped_work.is_some() || waiting_work.len() == removed_work.len());
                if let Some(popped_work) = popped_work {
                    assert!(deadlines[popped_work.as_u32() as usize] > now);
                    removed_work.push(popped_work);
                }
            }
            QueueStep::Cancel(work) => {
                let work_id = WorkId::from_u32(*work);
                assert_eq!(queue.cancel(work_id), waiting_work.remove(work));
            }
            QueueStep::Expire => {
                queue.drop_expired_work(now, &mut removed_work);
                let may_remain = |work: &u32| {
                    deadlines[*work as usize] > now
                        || removed_work.contains(&WorkId::from_u32(*work))
                };
                assert!(waiting_work.iter().all(may_remain));
            }
            QueueStep::Drain => queue.drain(&mut removed_work),
        }
        for work in removed_work.drain(..) {
            assert!(waiting_work.remove(&work.as_u32()), "{work} came out twice");
        }
        assert_eq!(queue.len(), waiting_work.len());
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
    let check_both_orders = |steps: Vec<QueueStep>| {
        check_steps(QueueOrder::Slack, &steps);
        check_steps(QueueOrder::Arrival, &steps);
        Ok(())
    };
    runner.run(&queue_steps(), check_both_orders).unwrap();
}
