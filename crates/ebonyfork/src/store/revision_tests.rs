use googletest::prelude::*;

use super::*;

#[gtest]
fn a_later_era_is_later_whatever_the_numbers() {
    let revision = |era, number| StoreRevision::new(number).with_era(StoreEra(era));
    let order = [
        StoreRevision::ABSENT,
        revision(0, 90),
        revision(1, 2),
        revision(1, 3),
        revision(2, 0),
        revision(2, 1),
    ];
    expect_that!(order.is_sorted_by(|one, other| one < other), eq(true));
}

#[gtest]
fn texts_of_revisions_read_back() {
    for revision in [
        StoreRevision::new(0),
        StoreRevision::new(u64::MAX),
        StoreRevision::new(7).with_era(StoreEra(u64::MAX)),
    ] {
        let read: StoreRevision = revision.to_string().parse().expect("a revision");
        expect_that!(read, eq(revision));
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
