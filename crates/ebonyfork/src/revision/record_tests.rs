use googletest::prelude::*;

use super::*;

#[gtest]
fn hex_identities_round_trip_and_other_texts_are_rejected() {
    let change = ChangeId([0xab; 16]);
    expect_that!(change.to_string().parse::<ChangeId>(), ok(eq(&change)));
    for text in ["", "ab", &"g".repeat(32), &"é".repeat(16), &"ab".repeat(17)] {
        expect_that!(text.parse::<ChangeId>(), err(anything()), "{text}");
    }
}

#[gtest]
fn a_file_above_the_value_limit_is_reported_as_a_finding() {
    let text = format!("; {}\n", "x".repeat(VALUE_LIMIT));
    let findings = PartSet::new(&[DeclaredFile::new("big.ini", text)]).unwrap_err();
    expect_that!(findings.to_string(), contains_substring("split the file"));
    let fitting_text = format!("; {}\n", "x".repeat(VALUE_LIMIT - 3));
    let part_set = PartSet::new(&[DeclaredFile::new("big.ini", fitting_text)]);
    expect_that!(part_set.map(|set| set.texts[0].len()), ok(eq(&VALUE_LIMIT)));
}

fn change(revision: u64, id: u8, lineage: &[u8]) -> ChangeRecord {
    ChangeRecord {
        revision: RevisionNumber(revision),
        change: ChangeId([id; 16]),
        lineage: lineage.iter().map(|id| ChangeId([*id; 16])).collect(),
        restores: None,
        parts: Vec::new(),
        author: "kim".into(),
        note: "".into(),
        time_ms: 0,
    }
}

#[gtest]
fn a_change_follows_only_its_ancestors() {
    // Each case: the held change, the offered change, and whether the offered one may replace the held one.
    let cases = [
        (change(7, 7, &[6, 5]), change(8, 8, &[7, 6]), true),
        (change(7, 7, &[6, 5]), change(9, 9, &[8, 7]), true),
        (change(7, 7, &[6, 5]), change(7, 70, &[6, 5]), false),
        (change(7, 7, &[6, 5]), change(8, 80, &[70, 6]), false),
        (change(7, 7, &[6, 5]), change(6, 6, &[5]), false),
    ];
    for (held_change, offered_change, may_replace) in cases {
        expect_that!(
            offered_change.follows(held_change.head()),
            eq(may_replace),
            "{offered_change:?}"
        );
    }
}

#[gtest]
fn a_restoring_change_and_its_children_follow_both_histories() {
    let (held_change, unrelated_change) = (change(7, 7, &[6, 5]), change(8, 80, &[70, 6]));
    let restored_change = held_change.restored_onto(&unrelated_change, ChangeId([9; 16]), 0);
    expect_that!(restored_change.revision, eq(RevisionNumber(9)));
    expect_true!(
        restored_change.follows(held_change.head())
            && restored_change.follows(unrelated_change.head())
    );
    let mut child_change = change(10, 10, &[]);
    child_change.lineage = restored_change.child_lineage();
    expect_true!(
        child_change.follows(held_change.head()) && child_change.follows(unrelated_change.head())
    );
}

#[gtest]
fn a_revision_older_than_the_lineage_is_replaced_by_a_higher_number() {
    let mut distant_change = change(1_000, 1, &[]);
    distant_change.lineage = (0..LINEAGE_LIMIT)
        .map(|id| ChangeId([id as u8; 16]))
        .collect();
    expect_true!(distant_change.follows(change(3, 200, &[]).head()));
    expect_false!(distant_change.follows(change(990, 200, &[]).head()));
}
