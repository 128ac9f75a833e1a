use googletest::prelude::*;

use super::*;

#[gtest]
fn a_revision_of_a_later_era_orders_after_any_number_of_an_earlier_era() {
    let revision = |era, number| StoreRevision::new(number).with_era(StoreEra(era));
    let ordered_revisions = [
        StoreRevision::ABSENT,
        revision(0, 90),
        revision(1, 2),
        revision(1, 3),
        revision(2, 0),
        revision(2, 1),
    ];
    expect_that!(
        ordered_revisions.is_sorted_by(|left, right| left < right),
        eq(true)
    );
}

#[gtest]
fn revisions_round_trip_through_text_and_malformed_texts_are_rejected() {
    for revision in [
        StoreRevision::new(0),
        StoreRevision::new(u64::MAX),
        StoreRevision::new(7).with_era(StoreEra(u64::MAX)),
    ] {
        let parsed_revision: StoreRevision = revision.to_string().parse().expect("a revision");
        expect_that!(parsed_revision, eq(revision));
    }
    for text in [
        "",
        ":",
        "1:",
        ":1",
        "1:2:3",
        "-1",
        "a",
        "18446744073709551616",
    ] {
        expect_that!(text.parse::<StoreRevision>(), err(anything()), "{text}");
    }
}
