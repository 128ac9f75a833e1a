use googletest::prelude::*;

use super::*;

fn notice(number: u64, age_s: u32, lifted: bool) -> GossipNotice {
    GossipNotice {
        fingerprint: RequestFingerprint(number),
        age_s,
        lifted,
    }
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[gtest]
fn the_later_event_wins() {
    // Held with its age at 100 s; heard at 110 s; whether it is news.
    let cases = [
        (notice(1, 0, false), notice(1, 10, false), false),
        (notice(1, 0, false), notice(1, 9, false), false),
        (notice(1, 0, false), notice(1, 8, false), true),
        (notice(1, 0, false), notice(1, 12, false), false),
        (notice(1, 0, false), notice(1, 10, true), true),
        (notice(1, 0, true), notice(1, 10, false), false),
        (notice(1, 0, true), notice(1, 2, false), true),
        (notice(1, 0, true), notice(1, 8, true), true),
        (notice(1, 0, false), notice(2, 899, false), true),
        (notice(1, 0, false), notice(2, 900, false), false),
        // The event was before this process started.
        (notice(1, 300, false), notice(1, 308, false), true),
        (notice(1, 300, false), notice(1, 309, false), false),
    ];
    for (held, heard, news) in cases {
        let mut board = NoticeBoard::default();
        board.merge(at(100.0), held);
        expect_that!(
            board.merge(at(110.0), heard),
            eq(news),
            "{held:?} {heard:?}"
        );
    }
}

#[gtest]
fn a_notice_never_grows_younger_on_its_way() {
    let mut boards: Vec<NoticeBoard> = (0..10).map(|_| NoticeBoard::default()).collect();
    boards[0].merge(at(0.0), notice(1, 0, false));
    for hop in 1..10 {
        let now = at(hop as f64 * 0.4);
        let told = boards[hop - 1].notice(now, RequestFingerprint(1)).unwrap();
        boards[hop].merge(now, told);
        let age = boards[hop]
            .notice(now, RequestFingerprint(1))
            .unwrap()
            .age_s;
        expect_that!(f64::from(age), ge(now.as_secs_f64()));
        expect_that!(boards[0].merge(now, told), eq(false));
    }
}

#[gtest]
fn the_board_is_bounded_and_forgets() {
    let mut board = NoticeBoard::default();
    for number in 0..200 {
        board.merge(at(number as f64), notice(number, 0, false));
    }
    expect_that!(board.fingerprints().count(), eq(NOTICE_LIMIT));
    expect_that!(board.merge(at(200.0), notice(7, 193, false)), eq(false));
    board.forget(at(199.0 + 900.0));
    expect_that!(board.fingerprints().count(), eq(0));
}
