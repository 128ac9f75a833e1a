use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(number: u8) -> UpstreamAddress {
    UpstreamAddress(([10, 0, 0, number], 80).into())
}

const CRASHING: RequestFingerprint = RequestFingerprint(1);
const HARMLESS: RequestFingerprint = RequestFingerprint(2);
const OTHER: RequestFingerprint = RequestFingerprint(3);

fn lost(fingerprint: RequestFingerprint, flight: u64) -> LostRequest {
    LostRequest::new(fingerprint, ms(flight))
}

/// An event at a relay. The first number is its time in milliseconds.
enum RelayEvent {
    Loss(u64, u8, &'static [(RequestFingerprint, u64)]),
    Answer(u64, RequestFingerprint, u64),
}

#[gtest]
fn only_requests_sent_after_a_loss_are_quarantined() {
    use RelayEvent::{Answer, Loss};
    use RequestStanding::{Clear, Quarantined, Suspect};
    let cases: &[(&str, &[RelayEvent], [RequestStanding; 2])] = &[
        (
            "one loss",
            &[Loss(10, 1, &[(CRASHING, 5), (HARMLESS, 5)])],
            [Suspect, Suspect],
        ),
        (
            "crashing request sent again alone",
            &[
                Loss(10, 1, &[(CRASHING, 5), (HARMLESS, 5)]),
                Loss(30, 2, &[(CRASHING, 5), (OTHER, 9)]),
            ],
            [Quarantined, Suspect],
        ),
        (
            "rack failure: both in flight at two upstreams since before the first loss",
            &[
                Loss(10, 1, &[(CRASHING, 5), (HARMLESS, 5)]),
                Loss(11, 2, &[(CRASHING, 6), (HARMLESS, 6)]),
            ],
            [Suspect, Suspect],
        ),
        (
            "harmless request answered in between",
            &[
                Loss(10, 1, &[(CRASHING, 5), (HARMLESS, 5)]),
                Answer(30, HARMLESS, 10),
                Loss(60, 2, &[(CRASHING, 5), (HARMLESS, 5)]),
            ],
            [Quarantined, Suspect],
        ),
        (
            "answer to an attempt sent before the loss clears nothing",
            &[
                Loss(10, 1, &[(CRASHING, 5)]),
                Answer(12, CRASHING, 7),
                Loss(30, 2, &[(CRASHING, 5)]),
            ],
            [Quarantined, Clear],
        ),
        (
            "answered after the loss",
            &[Loss(10, 1, &[(HARMLESS, 5)]), Answer(30, HARMLESS, 5)],
            [Clear, Clear],
        ),
        (
            "not isolated: both sent again together, so both are quarantined",
            &[
                Loss(10, 1, &[(CRASHING, 5), (HARMLESS, 5)]),
                Loss(30, 2, &[(CRASHING, 5), (HARMLESS, 5)]),
            ],
            [Quarantined, Quarantined],
        ),
        (
            "same upstream restarted and lost again",
            &[
                Loss(10, 1, &[(CRASHING, 5)]),
                Loss(900, 1, &[(CRASHING, 5)]),
            ],
            [Quarantined, Clear],
        ),
        (
            "second loss outside the suspicion window",
            &[
                Loss(10, 1, &[(CRASHING, 5)]),
                Loss(3_600_011, 2, &[(CRASHING, 5)]),
            ],
            [Suspect, Clear],
        ),
    ];
    for (name, events, [crashing, harmless]) in cases {
        let mut table = QuarantineTable::new(1);
        let mut now = Duration::ZERO;
        for step in *events {
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
        expect_that!(
            table.standing(CRASHING, now),
            eq(*crashing),
            "{name}: crashing request"
        );
        expect_that!(
            table.standing(HARMLESS, now),
            eq(*harmless),
            "{name}: harmless request"
        );
    }
}

/// Two tables that exchange notices with a delay of 20 ms.
struct TablePair {
    tables: [QuarantineTable; 2],
}

impl TablePair {
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
fn notices_reach_the_other_vm_and_are_not_repeated() {
    let mut pair = TablePair::new();
    pair.tables[0].report_loss(upstream(1), &[lost(CRASHING, 5)], ms(100));
    pair.exchange(ms(100));
    expect_that!(
        pair.tables[1].standing(CRASHING, ms(130)),
        eq(RequestStanding::Suspect)
    );
    pair.tables[1].report_loss(upstream(2), &[lost(CRASHING, 5)], ms(200));
    pair.exchange(ms(200));
    for table in &pair.tables {
        expect_that!(
            table.standing(CRASHING, ms(230)),
            eq(RequestStanding::Quarantined)
        );
        expect_that!(table.entries(ms(230))[0].lost_upstreams.len(), eq(2));
    }
    pair.exchange(ms(300));
    expect_that!(pair.exchange(ms(400)), eq(0));
}

#[gtest]
fn concurrent_losses_on_two_vms_quarantine_no_request() {
    let mut pair = TablePair::new();
    pair.tables[0].report_loss(upstream(1), &[lost(HARMLESS, 5)], ms(100));
    pair.tables[1].report_loss(upstream(2), &[lost(HARMLESS, 30)], ms(125));
    pair.exchange(ms(125));
    for table in &pair.tables {
        expect_that!(
            table.standing(HARMLESS, ms(150)),
            eq(RequestStanding::Suspect)
        );
    }
}

#[gtest]
fn delayed_notice_still_leads_to_quarantine() {
    let mut pair = TablePair::new();
    pair.tables[0].report_loss(upstream(1), &[lost(CRASHING, 5)], ms(100));
    pair.tables[1].report_loss(upstream(2), &[lost(CRASHING, 5)], ms(2_000));
    pair.exchange(ms(3_000));
    expect_that!(
        pair.tables[1].standing(CRASHING, ms(3_030)),
        eq(RequestStanding::Quarantined)
    );
}

#[gtest]
fn lift_outranks_older_notices() {
    let mut pair = TablePair::new();
    let [first, second] = &mut pair.tables;
    first.report_loss(upstream(1), &[lost(CRASHING, 5)], ms(100));
    first.report_loss(upstream(2), &[lost(CRASHING, 5)], ms(200));
    let old = first.take_notices(ms(200));
    expect_that!(first.lift(CRASHING, ms(60_000)), eq(true));
    expect_that!(first.lift(CRASHING, ms(60_001)), eq(false));
    for notice in first.take_notices(ms(60_010)) {
        second.merge(notice, ms(60_020));
    }
    for notice in old {
        let late = notice.with_elapsed(ms(59_900));
        second.merge(late, ms(60_100));
    }
    expect_that!(
        second.standing(CRASHING, ms(60_200)),
        eq(RequestStanding::Clear)
    );
}

#[gtest]
fn quarantine_expires_unless_the_request_is_sent_again() {
    let mut table = QuarantineTable::new(1);
    table.report_loss(upstream(1), &[lost(CRASHING, 5)], ms(10));
    table.report_loss(upstream(2), &[lost(CRASHING, 5)], ms(30));
    let half = ms(30) + QUARANTINE_TERM / 2;
    expect_that!(
        table.admit(CRASHING, half),
        eq(RequestStanding::Quarantined)
    );
    let renewed = ms(30) + QUARANTINE_TERM;
    expect_that!(
        table.admit(CRASHING, renewed),
        eq(RequestStanding::Quarantined)
    );
    let idle = renewed + QUARANTINE_TERM;
    expect_that!(table.standing(CRASHING, idle), eq(RequestStanding::Clear));
}

#[gtest]
fn table_is_bounded_and_keeps_quarantined_requests() {
    let mut table = QuarantineTable::new(1);
    table.report_loss(upstream(1), &[lost(CRASHING, 5)], ms(10));
    table.report_loss(upstream(2), &[lost(CRASHING, 5)], ms(30));
    for number in 0..20_000 {
        let at = ms(100 + number);
        table.report_loss(
            upstream(3),
            &[lost(RequestFingerprint(1_000 + number), 5)],
            at,
        );
    }
    expect_that!(table.records.len(), le(RECORD_LIMIT));
    expect_that!(table.outgoing.len(), le(OUTGOING_LIMIT));
    expect_that!(
        table.standing(CRASHING, ms(30_000)),
        eq(RequestStanding::Quarantined)
    );
}
