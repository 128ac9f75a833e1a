use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop_assert_eq, proptest};

use super::*;
use crate::gateway::merge::merge_records;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn state(shards: usize, required_count: usize, start: Instant) -> GatherState {
    GatherState::new(shards, required_count, start + ms(100), start + ms(1_000))
}

fn signature(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a valid signature")
}

fn add_parts(state: &mut GatherState, shards: impl IntoIterator<Item = usize>) {
    for shard in shards {
        let records = Bytes::from(vec![shard as u8; 16]);
        state.add_part(shard, signature(&format!("s{shard}")), records);
    }
}

#[gtest]
fn an_answer_waits_for_all_until_the_target_and_for_enough_after_it() {
    let start = Instant::now();
    let mut query = state(4, 3, start);
    add_parts(&mut query, [0, 1]);
    expect_that!(query.check_end(start + ms(99)), none());
    expect_that!(query.check_end(start + ms(100)), none());
    add_parts(&mut query, [2]);
    expect_that!(query.check_end(start + ms(99)), none());
    expect_that!(
        query.check_end(start + ms(100)),
        some(eq(GatherEnd::Partial))
    );
    add_parts(&mut query, [3]);
    expect_that!(query.check_end(start + ms(50)), some(eq(GatherEnd::Whole)));
}

#[gtest]
fn a_query_that_can_not_reach_its_coverage_ends_at_once() {
    let start = Instant::now();
    let mut query = state(4, 3, start);
    query.fail(0);
    expect_that!(query.check_end(start), none());
    query.fail(1);
    expect_that!(
        query.check_end(start),
        some(eq(GatherEnd::InsufficientCoverage))
    );
}

#[gtest]
fn a_query_with_enough_parts_ends_when_none_is_expected() {
    let start = Instant::now();
    let mut query = state(4, 3, start);
    add_parts(&mut query, [0, 1, 2]);
    query.shard_mut(3).postponed = true;
    expect_that!(query.check_end(start), some(eq(GatherEnd::Partial)));
}

#[gtest]
fn a_query_with_too_few_parts_fails_at_the_deadline() {
    let start = Instant::now();
    let mut query = state(4, 3, start);
    add_parts(&mut query, [0, 1]);
    expect_that!(
        query.check_end(start + ms(1_000)),
        some(eq(GatherEnd::DeadlinePassed))
    );
}

#[gtest]
fn a_query_for_another_vm_waits_for_all_parts() {
    let start = Instant::now();
    let mut query = state(2, 0, start).waiting_for_all();
    add_parts(&mut query, [0]);
    expect_that!(query.check_end(start + ms(500)), none());
    add_parts(&mut query, [1]);
    expect_that!(query.check_end(start + ms(500)), some(eq(GatherEnd::Whole)));
}

#[gtest]
fn postponed_shards_replace_failed_ones() {
    let start = Instant::now();
    let mut query = state(4, 3, start);
    query.shard_mut(2).postponed = true;
    expect_that!(query.spare_shards(), eq(0));
    expect_that!(query.needs_postponed(), eq(false));
    query.fail(0);
    expect_that!(query.needs_postponed(), eq(true));
    expect_that!(query.resume_next_postponed(), some(eq(2)));
    expect_that!(query.needs_postponed(), eq(false));
    expect_that!(query.resume_next_postponed(), none());
}

#[gtest]
fn a_second_part_of_a_shard_is_ignored() {
    let start = Instant::now();
    let mut query = state(1, 1, start);
    query.add_part(0, signature("first"), Bytes::from_static(&[1; 16]));
    query.add_part(0, signature("second"), Bytes::from_static(&[2; 16]));
    expect_that!(query.signatures().count(), eq(1));
    expect_that!(query.signatures().next(), some(eq(&signature("first"))));
    query.fail(0);
    expect_that!(query.answered_count(), eq(1));
}

#[gtest]
fn a_merged_group_replaces_a_separate_part() {
    let start = Instant::now();
    let mut query = state(3, 3, start);
    query.add_part(1, signature("own"), Bytes::from_static(&[9; 16]));
    let group = vec![(0, signature("a")), (1, signature("b"))];
    query.add_merged_group(group, Bytes::from_static(&[5; 32]));
    expect_that!(query.answered_count(), eq(2));
    let signatures: Vec<_> = query.signatures().cloned().collect();
    expect_that!(
        signatures,
        elements_are![eq(&signature("a")), eq(&signature("b"))]
    );
    let records: Vec<_> = query.records().collect();
    expect_that!(records, elements_are![eq(&[5_u8; 32].as_slice())]);
    // A group with a shard of another group is dropped.
    let overlapping_group = vec![(1, signature("c")), (2, signature("d"))];
    query.add_merged_group(overlapping_group, Bytes::from_static(&[7; 16]));
    expect_that!(query.answered_count(), eq(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// In whatever order parts and groups arrive, the answer contains exactly the records of the parts whose signatures
    /// it lists.
    #[test]
    fn records_and_signatures_belong_together(
        parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 16..64), 6),
        steps in proptest::collection::vec((any::<bool>(), 0_usize..6, 1_usize..4), 0..12),
    ) {
        let start = Instant::now();
        let mut query = state(6, 1, start);
        for (is_group, first_shard, length) in steps {
            if !is_group {
                let records = Bytes::from(parts[first_shard].clone());
                query.add_part(first_shard, signature(&first_shard.to_string()), records);
                continue;
            }
            let shards: Vec<usize> = (first_shard..(first_shard + length).min(6)).collect();
            let records = merge_records(shards.iter().map(|shard| parts[*shard].as_slice()), 4);
            let group = shards.iter().map(|shard| (*shard, signature(&shard.to_string())));
            query.add_merged_group(group.collect(), records);
        }
        let answered_shards: Vec<usize> = query
            .signatures()
            .map(|signature| signature.to_str().expect("text").parse().expect("a number"))
            .collect();
        let expected_records = merge_records(answered_shards.iter().map(|shard| parts[*shard].as_slice()), 4);
        prop_assert_eq!(merge_records(query.records(), 4), expected_records);
        prop_assert_eq!(answered_shards.len(), query.answered_count());
    }
}
