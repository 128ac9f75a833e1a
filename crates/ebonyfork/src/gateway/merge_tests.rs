use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};

use super::*;

#[gtest]
fn ties_count_and_remainders_do_not() {
    let record = |byte: u8| [byte; RECORD_BYTES];
    let mut part = record(3).to_vec();
    part.extend_from_slice(&record(9));
    part.extend_from_slice(&[255; RECORD_BYTES - 1]);
    let merged = merge_records([part.as_slice(), &record(9), &[]], 3);
    let expected: Vec<u8> = [record(9), record(9), record(3)].concat();
    expect_that!(merged.to_vec(), eq(&expected));
}

#[gtest]
fn no_parts_and_no_records_make_an_empty_body() {
    expect_that!(merge_records([], 10).len(), eq(0));
    expect_that!(merge_records([&[7_u8; 15][..]], 10).len(), eq(0));
    expect_that!(merge_records([&[7_u8; 32][..]], 0).len(), eq(0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The result equals that of sorting all records.
    #[test]
    fn the_result_is_that_of_a_whole_sort(
        parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 0..12),
        top in 0_usize..12,
    ) {
        let mut all_records: Vec<Record> = Vec::new();
        for part in &parts {
            for record in part.chunks_exact(RECORD_BYTES) {
                let mut copy = [0; RECORD_BYTES];
                copy.copy_from_slice(record);
                all_records.push(copy);
            }
        }
        all_records.sort_unstable_by(|a, b| b.cmp(a));
        all_records.truncate(top);
        let merged = merge_records(parts.iter().map(Vec::as_slice), top);
        prop_assert_eq!(merged.to_vec(), all_records.concat());
    }

    /// Merging a group of parts first does not change the result.
    #[test]
    fn merging_in_two_levels_changes_nothing(
        near_part in proptest::collection::vec(any::<u8>(), 0..320),
        far_part in proptest::collection::vec(any::<u8>(), 0..320),
        top in 0_usize..12,
    ) {
        let merged_directly = merge_records([near_part.as_slice(), far_part.as_slice()], top);
        let merged_far = merge_records([far_part.as_slice()], top);
        let merged_in_two_levels = merge_records([near_part.as_slice(), merged_far.as_ref()], top);
        prop_assert_eq!(merged_directly, merged_in_two_levels);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Dropping lesser records of a part while it arrives does not change the result, and bounds the memory.
    #[test]
    fn a_part_that_is_compacted_while_it_arrives_loses_nothing(
        part in proptest::collection::vec(any::<u8>(), 0..60_000),
        frame_bytes in 1_usize..20_000,
        top in 0_usize..40,
    ) {
        let mut compacted = BytesMut::new();
        for frame in part.chunks(frame_bytes) {
            compacted.extend_from_slice(frame);
            drop_lesser_records(&mut compacted, top);
            prop_assert!(compacted.len() <= 8 * 1024 + RECORD_BYTES);
        }
        prop_assert_eq!(merge_records([compacted.as_ref()], top), merge_records([part.as_slice()], top));
    }
}
