use googletest::prelude::*;

use super::*;

fn fill(queue: &mut GossipQueue<u32>, limit: usize, capacity: usize) -> Vec<u32> {
    let mut sent_keys = Vec::new();
    queue.fill(limit, |key| {
        if sent_keys.len() == capacity {
            return OfferResult::Full;
        }
        sent_keys.push(key);
        OfferResult::Added
    });
    sent_keys
}

#[gtest]
fn least_sent_facts_go_first_and_leave_at_the_limit() {
    let mut queue = GossipQueue::default();
    for key in 1..=3 {
        queue.push(key);
    }
    expect_that!(fill(&mut queue, 2, 2), elements_are![eq(&1), eq(&2)]);
    queue.push(4);
    expect_that!(
        fill(&mut queue, 2, 3),
        elements_are![eq(&3), eq(&4), eq(&1)]
    );
    // Key 1 has been sent twice and was removed; pushed again, it starts from zero.
    expect_that!(
        fill(&mut queue, 2, 9),
        elements_are![eq(&2), eq(&3), eq(&4)]
    );
    expect_that!(queue.is_empty(), eq(true));
    queue.push(1);
    queue.push(1);
    queue.remove(2);
    expect_that!(fill(&mut queue, 2, 9), elements_are![eq(&1)]);
}

#[gtest]
fn a_budget_limits_bytes_per_second_plus_bursts() {
    let mut budget = ByteBudget::new(Duration::ZERO, 1_000, 500);
    let mut spent_bytes = 0;
    for millisecond in 0..10_000_u64 {
        budget.refill(Duration::from_millis(millisecond));
        while budget.try_spend(100) {
            spent_bytes += 100;
        }
    }
    expect_that!(spent_bytes, all![ge(10_000), le(10_000 + 2 * 500)]);
    expect_that!(budget.available(), eq(0));
}
