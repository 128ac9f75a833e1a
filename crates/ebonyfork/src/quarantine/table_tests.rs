use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(number: u8) -> UpstreamAddress {
    UpstreamAddress(([10, 0, 0, number], 80).into())
}

const CRASHING_REQUEST: RequestFingerprint = RequestFingerprint(1);
const HARMLESS_REQUEST: RequestFingerprint = RequestFingerprint(2);
const OTHER_REQUEST: RequestFingerprint = RequestFingerprint(3);

fn lost_request(fingerprint: RequestFingerprint, time_in_flight: u64) -> LostRequest {
    LostRequest::new(fingerprint, ms(time_in_flight))
}

/// An event at a relay. Its first number is the time of the event in milliseconds.
enum RelayEvent {
    /// The loss of the upstream of that number, with the requests in flight and the milliseconds since each was sent.
    Loss(u64, u8, &'static [(RequestFingerprint, u64)]),
    /// The answer to a request, with the milliseconds since the attempt was sent.
    Answer(u64, RequestFingerprint, u64),
}

#[gtest]
fn only_requests_sent_after_a_loss_are_quarantined() {
    use QuarantineStatus::{Clear, Quarantined, Suspect};
    use RelayEvent::{Answer, Loss};
    let cases: &[(&str, &[RelayEvent], [QuarantineStatus; 2])] = &[
        (
            "one loss",
            &[Loss(10, 1, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)])],
            [Suspect, Suspect],
        ),
        (
            "crashing request sent again alone",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)]),
                Loss(30, 2, &[(CRASHING_REQUEST, 5), (OTHER_REQUEST, 9)]),
            ],
            [Quarantined, Suspect],
        ),
        (
            "rack failure: both in flight at two upstreams since before the first loss",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)]),
                Loss(11, 2, &[(CRASHING_REQUEST, 6), (HARMLESS_REQUEST, 6)]),
            ],
            [Suspect, Suspect],
        ),
        (
            "harmless request answered in between",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)]),
                Answer(30, HARMLESS_REQUEST, 10),
                Loss(60, 2, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)]),
            ],
            [Quarantined, Suspect],
        ),
        (
            "answer to an attempt sent before the loss clears nothing",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5)]),
                Answer(12, CRASHING_REQUEST, 7),
                Loss(30, 2, &[(CRASHING_REQUEST, 5)]),
            ],
            [Quarantined, Clear],
        ),
        (
            "answered after the loss",
            &[
                Loss(10, 1, &[(HARMLESS_REQUEST, 5)]),
                Answer(30, HARMLESS_REQUEST, 5),
            ],
            [Clear, Clear],
        ),
        (
            "not isolated: both sent again together, so both are quarantined",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)]),
                Loss(30, 2, &[(CRASHING_REQUEST, 5), (HARMLESS_REQUEST, 5)]),
            ],
            [Quarantined, Quarantined],
        ),
        (
            "same upstream restarted and lost again",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5)]),
                Loss(900, 1, &[(CRASHING_REQUEST, 5)]),
            ],
            [Quarantined, Clear],
        ),
        (
            "second loss outside the suspicion window",
            &[
                Loss(10, 1, &[(CRASHING_REQUEST, 5)]),
                Loss(3_600_011, 2, &[(CRASHING_REQUEST, 5)]),
            ],
            [Suspect, Clear],
        ),
    ];
    for (case_name, events, [crashing_status, harmless_status]) in cases {
        let mut table = QuarantineTable::new(1);
        let mut now = Duration::ZERO;
        for event in *events {
            match event {
                Loss(at_ms, number, requests) => {
                    now = ms(*at_ms);
                    let requests: Vec<_> = requests
                        .iter()
                        .map(|(request, time_in_flight)| lost_request(*request, *time_in_flight))
                        .collect();
                    table.report_loss(upstream(*number), &requests, now);
                }
                Answer(at_ms, request, time_in_flight) => {
                    now = ms(*at_ms);
                    table.report_answer(*request, ms(*time_in_flight), now);
                }
            }
        }
        expect_that!(
            table.quarantine_status(CRASHING_REQUEST, now),
            eq(*crashing_status),
            "{case_name}: crashing request"
        );
        expect_that!(
            table.quarantine_status(HARMLESS_REQUEST, now),
            eq(*harmless_status),
            "{case_name}: harmless request"
        );
    }
}

/// Two tables that exchange notices with a delay of 20 ms.
struct TablePair {
    tables: [QuarantineTable; 2],
}

impl TablePair {
    const NOTICE_DELAY: Duration = Duration::from_millis(20);

    fn new() -> Self {
        Self {
            tables: [QuarantineTable::new(1), QuarantineTable::new(2)],
        }
    }

    fn exchange(&mut self, now: Duration) -> usize {
        let [first_table, second_table] = &mut self.tables;
        let (notices_to_second, notices_to_first) = (
            first_table.take_notices(now),
            second_table.take_notices(now),
        );
        let notice_count = notices_to_second.len() + notices_to_first.len();
        for notice in notices_to_second {
            second_table.merge(notice, now + Self::NOTICE_DELAY);
        }
        for notice in notices_to_first {
            first_table.merge(notice, now + Self::NOTICE_DELAY);
        }
        notice_count
    }
}

#[gtest]
fn notices_reach_the_other_vm_and_are_not_repeated() {
    let mut pair = TablePair::new();
    pair.tables[0].report_loss(upstream(1), &[lost_request(CRASHING_REQUEST, 5)], ms(100));
    pair.exchange(ms(100));
    expect_that!(
        pair.tables[1].quarantine_status(CRASHING_REQUEST, ms(130)),
        eq(QuarantineStatus::Suspect)
    );
    pair.tables[1].report_loss(upstream(2), &[lost_request(CRASHING_REQUEST, 5)], ms(200));
    pair.exchange(ms(200));
    for table in &pair.tables {
        expect_that!(
            table.quarantine_status(CRASHING_REQUEST, ms(230)),
            eq(QuarantineStatus::Quarantined)
        );
        expect_that!(table.entries(ms(230))[0].lost_upstreams.len(), eq(2));
    }
    pair.exchange(ms(300));
    expect_that!(pair.exchange(ms(400)), eq(0));
}

#[gtest]
fn concurrent_losses_on_two_vms_quarantine_no_request() {
    let mut pair = TablePair::new();
    pair.tables[0].report_loss(upstream(1), &[lost_request(HARMLESS_REQUEST, 5)], ms(100));
    pair.tables[1].report_loss(upstream(2), &[lost_request(HARMLESS_REQUEST, 30)], ms(125));
    pair.exchange(ms(125));
    for table in &pair.tables {
        expect_that!(
            table.quarantine_status(HARMLESS_REQUEST, ms(150)),
            eq(QuarantineStatus::Suspect)
        );
    }
}

#[gtest]
fn delayed_notice_still_leads_to_quarantine() {
    let mut pair = TablePair::new();
    pair.tables[0].report_loss(upstream(1), &[lost_request(CRASHING_REQUEST, 5)], ms(100));
    pair.tables[1].report_loss(upstream(2), &[lost_request(CRASHING_REQUEST, 5)], ms(2_000));
    pair.exchange(ms(3_000));
    expect_that!(
        pair.tables[1].quarantine_status(CRASHING_REQUEST, ms(3_030)),
        eq(QuarantineStatus::Quarantined)
    );
}

#[gtest]
fn lift_outranks_older_notices() {
    let mut pair = TablePair::new();
    let [first_table, second_table] = &mut pair.tables;
    first_table.report_loss(upstream(1), &[lost_request(CRASHING_REQUEST, 5)], ms(100));
    first_table.report_loss(upstream(2), &[lost_request(CRASHING_REQUEST, 5)], ms(200));
    let old_notices = first_table.take_notices(ms(200));
    expect_that!(first_table.lift(CRASHING_REQUEST, ms(60_000)), eq(true));
    expect_that!(first_table.lift(CRASHING_REQUEST, ms(60_001)), eq(false));
    for notice in first_table.take_notices(ms(60_010)) {
        second_table.merge(notice, ms(60_020));
    }
    for notice in old_notices {
        let late_notice = notice.with_elapsed(ms(59_900));
        second_table.merge(late_notice, ms(60_100));
    }
    expect_that!(
        second_table.quarantine_status(CRASHING_REQUEST, ms(60_200)),
        eq(QuarantineStatus::Clear)
    );
}

#[gtest]
fn quarantine_expires_unless_the_request_is_sent_again() {
    let mut table = QuarantineTable::new(1);
    table.report_loss(upstream(1), &[lost_request(CRASHING_REQUEST, 5)], ms(10));
    table.report_loss(upstream(2), &[lost_request(CRASHING_REQUEST, 5)], ms(30));
    let half_term = ms(30) + QUARANTINE_TERM / 2;
    expect_that!(
        table.admit(CRASHING_REQUEST, half_term),
        eq(QuarantineStatus::Quarantined)
    );
    let first_expiry = ms(30) + QUARANTINE_TERM;
    expect_that!(
        table.admit(CRASHING_REQUEST, first_expiry),
        eq(QuarantineStatus::Quarantined)
    );
    let renewed_expiry = first_expiry + QUARANTINE_TERM;
    expect_that!(
        table.quarantine_status(CRASHING_REQUEST, renewed_expiry),
        eq(QuarantineStatus::Clear)
    );
}

#[gtest]
fn table_is_bounded_and_keeps_quarantined_requests() {
    let mut table = QuarantineTable::new(1);
    table.report_loss(upstream(1), &[lost_request(CRASHING_REQUEST, 5)], ms(10));
    table.report_loss(upstream(2), &[lost_request(CRASHING_REQUEST, 5)], ms(30));
    for number in 0..20_000 {
        let lost_at = ms(100 + number);
        table.report_loss(
            upstream(3),
            &[lost_request(RequestFingerprint(1_000 + number), 5)],
            lost_at,
        );
    }
    expect_that!(table.records.len(), le(RECORD_LIMIT));
    expect_that!(table.outgoing_notices.len(), le(NOTICE_LIMIT));
    expect_that!(
        table.quarantine_status(CRASHING_REQUEST, ms(30_000)),
        eq(QuarantineStatus::Quarantined)
    );
}

/// Times of 584 billion years in another VM's notice overflowed their sum, which ended the task that reads gossip.
#[gtest]
fn a_notice_with_times_that_no_clock_can_add_is_bounded() {
    let notices = [
        QuarantineNotice::Quarantined {
            id: NoticeId(1),
            fingerprint: CRASHING_REQUEST,
            lost_upstreams: SmallVec::new(),
            ambiguous: false,
            age: Duration::MAX,
            remaining: Duration::MAX,
        },
        QuarantineNotice::Lifted {
            id: NoticeId(2),
            fingerprint: CRASHING_REQUEST,
            age: Duration::MAX,
        },
    ];
    let mut table = QuarantineTable::new(1);
    for notice in notices {
        let bytes = postcard::to_stdvec(&notice).expect("encoded");
        let notice: QuarantineNotice = postcard::from_bytes(&bytes).expect("decoded");
        let _number = notice.number();
        let _decisions = table.merge(notice, ms(50));
    }
    for notice in table.take_notices(ms(90)) {
        let _number = notice.number();
    }
}
