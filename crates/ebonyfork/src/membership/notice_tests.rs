use googletest::prelude::*;

use super::*;

fn notice(number: u8, age_s: u32) -> GossipNotice {
    GossipNotice {
        age_s,
        ..GossipNotice::new([number])
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[gtest]
fn only_unknown_and_unexpired_notices_are_new() {
    // Notice stored at 100 s, notice received at 110 s, whether the second counts as new.
    let cases = [
        (notice(1, 0), notice(1, 10), false),
        (notice(1, 0), notice(1, 0), false),
        (notice(1, 300), notice(1, 308), false),
        (notice(1, 0), notice(2, 899), true),
        (notice(1, 0), notice(2, 900), false),
    ];
    for (held_notice, received_notice, is_new) in cases {
        let mut notices = NoticeTable::default();
        expect_that!(notices.merge(seconds(100.0), &held_notice), eq(true));
        expect_that!(
            notices.merge(seconds(110.0), &received_notice),
            eq(is_new),
            "{held_notice:?} {received_notice:?}"
        );
    }
    let oversized_notice = GossipNotice::new([0; NOTICE_PAYLOAD_LIMIT + 1]);
    expect_that!(
        NoticeTable::default().merge(seconds(0.0), &oversized_notice),
        eq(false)
    );
}

#[gtest]
fn a_notice_never_becomes_younger_when_forwarded() {
    let mut tables: Vec<NoticeTable> = (0..10).map(|_| NoticeTable::default()).collect();
    let number = notice(1, 0).number;
    tables[0].merge(seconds(0.0), &notice(1, 0));
    for hop in 1..10 {
        let now = seconds(hop as f64 * 0.4);
        let forwarded_notice = tables[hop - 1].notice(now, number).unwrap();
        tables[hop].merge(now, &forwarded_notice);
        let age = tables[hop].notice(now, number).unwrap().age_s;
        expect_that!(f64::from(age), ge(now.as_secs_f64()));
        expect_that!(tables[0].merge(now, &forwarded_notice), eq(false));
    }
}

#[gtest]
fn the_table_is_bounded_and_drops_expired_notices() {
    let mut notices = NoticeTable::default();
    for number in 0..200 {
        notices.merge(seconds(f64::from(number)), &notice(number, 0));
    }
    expect_that!(notices.numbers().count(), eq(NOTICE_LIMIT));
    expect_that!(notices.merge(seconds(200.0), &notice(7, 193)), eq(false));
    notices.remove_expired(seconds(199.0 + 900.0));
    expect_that!(notices.numbers().count(), eq(0));
}
