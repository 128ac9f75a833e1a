use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(number: u8) -> UpstreamAddress {
    UpstreamAddress(([10, 0, 0, number], 80).into())
}

const KILLER: RequestFingerprint = RequestFingerprint(1);
const INNOCENT: RequestFingerprint = RequestFingerprint(2);
const OTHER: RequestFingerprint = RequestFingerprint(3);

fn lost(fingerprint: RequestFingerprint, flight: u64) -> LostRequest {
    LostRequest::new(fingerprint, ms(flight))
}

/// What a relay sees, in order; `at` in ms.
enum Seen {
    Loss(u64, u8, &'static [(RequestFingerprint, u64)]),
    Answer(u64, RequestFingerprint, u64),
}

#[gtest]
fn only_what_was_sent_after_a_loss_is_convicted() {
    use RequestStanding::{Clear, Quarantined, Suspect};
    use Seen::{Answer, Loss};
    let cases: &[(&str, &[Seen], [RequestStanding; 2])] = &[
        (
            "one loss",
            &[Loss(10, 1, &[(KILLER, 5), (INNOCENT, 5)])],
            [Suspect, Suspect],
        ),
        (
            "killer sent again alone",
            &[
                Loss(10, 1, &[(KILLER, 5), (INNOCENT, 5)]),
                Loss(30, 2, &[(KILLER, 5), (OTHER, 9)]),
            ],
            [Quarantined, Suspect],
        ),
        (
            "a rack: both in flight at two upstreams since before the first loss",
            &[
                Loss(10, 1, &[(KILLER, 5), (INNOCENT, 5)]),
                Loss(11, 2, &[(KILLER, 6), (INNOCENT, 6)]),
            ],
            [Suspect, Suspect],
        ),
        (
            "the innocent was answered in between",
            &[
                Loss(10, 1, &[(KILLER, 5), (INNOCENT, 5)]),
                Answer(30, INNOCENT, 10),
                Loss(60, 2, &[(KILLER, 5), (INNOCENT, 5)]),
            ],
            [Quarantined, Suspect],
        ),
        (
            "an answer to what was sent before the loss clears nothing",
            &[
                Loss(10, 1, &[(KILLER, 5)]),
                Answer(12, KILLER, 7),
                Loss(30, 2, &[(KILLER, 5)]),
            ],
            [Quarantined, Clear],
        ),
        (
            "answered since",
            &[Loss(10, 1, &[(INNOCENT, 5)]), Answer(30, INNOCENT, 5)],
            [Clear, Clear],
        ),
        (
            "not isolated: both sent again together, so both are refused",
            &[
                Loss(10, 1, &[(KILLER, 5), (INNOCENT, 5)]),
                Loss(30, 2, &[(KILLER, 5), (INNOCENT, 5)]),
            ],
            [Quarantined, Quarantined],
        ),
        (
            "the same upstream, back again, lost again",
            &[Loss(10, 1, &[(KILLER, 5)]), Loss(900, 1, &[(KILLER, 5)])],
            [Quarantined, Clear],
        ),
        (
            "outside the window",
            &[
                Loss(10, 1, &[(KILLER, 5)]),
                Loss(3_600_011, 2, &[(KILLER, 5)]),
            ],
            [Suspect, Clear],
        ),
    ];
    for (name, seen, [killer, innocent]) in cases {
        let mut table = QuarantineTable::new(1);
        let mut now = Duration::ZERO;
        for step in *seen {
            match step {
                Loss(at, server, requests) => {
                    now = ms(*at);
                    let requests: Vec<_> = requests
                        .iter()
                        .map(|(request, flight)| lost(*request, *flight))
                        .collect();
                    table.report_loss(upstream(*server), &requests, now);
                }
                Answer(at, request, flight) => {
                    now = ms(*at);
                    table.report_answer(*request, ms(*flight), now);
                }
            }
        }
        expect_that!(table.standing(KILLER, now), eq(*killer), "{name}: killer");
        expect_that!(
            table.standing(INNOCENT, now),
            eq(*innocent),
            "{name}: innocent"
        );
    }
}

/// Two tables with 20 ms between them.
struct Pair {
    tables: [QuarantineTable; 2],
}

impl Pair {
    const DELAY: Duration = Duration::from_millis(20);

    fn new() -> Self {
        Self {
            tables: [QuarantineTable::new(1), QuarantineTable::new(2)],
        }
    }

    fn exchange(&mut self, now: Duration) -> usize {
        let [first, second] = &mut self.tables;
        let (to_second, to_first) = (first.take_notices(now), second.take_notices(now));
        let count = to_second.len() + to_first.len();
        for notice in to_second {
            second.merge(notice, now + Self::DELAY);
        }
        for notice in to_first {
            first.merge(notice, now + Self::DELAY);
        }
        count
    }
}

#[gtest]
fn news_reach_the_other_vm_and_come_to_rest() {
    let mut pair = Pair::new();
    pair.tables[0].report_loss(upstream(1), &[lost(KILLER, 5)], ms(100));
    pair.exchange(ms(100));
    expect_that!(
        pair.tables[1].standing(KILLER, ms(130)),
        eq(RequestStanding::Suspect)
    );
    pair.tables[1].report_loss(upstream(2), &[lost(KILLER, 5)], ms(200));
    pair.exchange(ms(200));
    for table in &pair.tables {
        expect_that!(
            table.standing(KILLER, ms(230)),
            eq(RequestStanding::Quarantined)
        );
        expect_that!(table.entries(ms(230))[0].victims.len(), eq(2));
    }
    pair.exchange(ms(300));
    expect_that!(pair.exchange(ms(400)), eq(0));
}

#[gtest]
fn losses_side_by_side_on_two_vms_convict_nobody() {
    let mut pair = Pair::new();
    pair.tables[0].report_loss(upstream(1), &[lost(INNOCENT, 5)], ms(100));
    pair.tables[1].report_loss(upstream(2), &[lost(INNOCENT, 30)], ms(125));
    pair.exchange(ms(125));
    for table in &pair.tables {
        expect_that!(
            table.standing(INNOCENT, ms(150)),
            eq(RequestStanding::Suspect)
        );
    }
}

#[gtest]
fn late_news_still_convict() {
    let mut pair = Pair::new();
    pair.tables[0].report_loss(upstream(1), &[lost(KILLER, 5)], ms(100));
    pair.tables[1].report_loss(upstream(2), &[lost(KILLER, 5)], ms(2_000));
    pair.exchange(ms(3_000));
    expect_that!(
        pair.tables[1].standing(KILLER, ms(3_030)),
        eq(RequestStanding::Quarantined)
    );
}

#[gtest]
fn lifting_outranks_older_news() {
    let mut pair = Pair::new();
    let [first, second] = &mut pair.tables;
    first.report_loss(upstream(1), &[lost(KILLER, 5)], ms(100));
    first.report_loss(upstream(2), &[lost(KILLER, 5)], ms(200));
    let old = first.take_notices(ms(200));
    expect_that!(first.lift(KILLER, ms(60_000)), eq(true));
    expect_that!(first.lift(KILLER, ms(60_001)), eq(false));
    for notice in first.take_notices(ms(60_010)) {
        second.merge(notice, ms(60_020));
    }
    for notice in old {
        let late = notice.with_elapsed(ms(59_900));
        second.merge(late, ms(60_100));
    }
    expect_that!(
        second.standing(KILLER, ms(60_200)),
        eq(RequestStanding::Clear)
    );
}

#[gtest]
fn a_quarantine_ages_out_unless_sent_again() {
    let mut table = QuarantineTable::new(1);
    table.report_loss(upstream(1), &[lost(KILLER, 5)], ms(10));
    table.report_loss(upstream(2), &[lost(KILLER, 5)], ms(30));
    let half = ms(30) + QUARANTINE_TERM / 2;
    expect_that!(table.admit(KILLER, half), eq(RequestStanding::Quarantined));
    let renewed = ms(30) + QUARANTINE_TERM;
    expect_that!(
        table.admit(KILLER, renewed),
        eq(RequestStanding::Quarantined)
    );
    let idle = renewed + QUARANTINE_TERM;
    expect_that!(table.standing(KILLER, idle), eq(RequestStanding::Clear));
}

#[gtest]
fn memory_is_bounded_and_keeps_the_quarantined() {
    let mut table = QuarantineTable::new(1);
    table.report_loss(upstream(1), &[lost(KILLER, 5)], ms(10));
    table.report_loss(upstream(2), &[lost(KILLER, 5)], ms(30));
    for number in 0..20_000 {
        let at = ms(100 + number);
        table.report_loss(
            upstream(3),
            &[lost(RequestFingerprint(1_000 + number), 5)],
            at,
        );
    }
    expect_that!(table.records.len(), le(RECORD_LIMIT));
    expect_that!(table.news.len(), le(NEWS_LIMIT));
    expect_that!(
        table.standing(KILLER, ms(30_000)),
        eq(RequestStanding::Quarantined)
    );
}
