use googletest::prelude::*;

use super::*;

#[gtest]
fn only_the_first_entry_that_states_it_is_notified() {
    let remaining = Duration::from_secs(3);
    expect_that!(is_notice_due(false, remaining), eq(true));
    expect_that!(is_notice_due(true, remaining), eq(false));
    expect_that!(is_notice_due(false, Duration::ZERO), eq(false));
    expect_that!(is_notice_due(true, Duration::ZERO), eq(false));
    expect_that!(is_notice_due(false, Duration::from_millis(3)), eq(false));
}

#[gtest]
fn a_notice_holds_for_a_limited_time() {
    let report = ColdReport::new("s", "i-1", Duration::MAX);
    expect_that!(report.assumed_time(), some(eq(MAX_NOTICE_TIME)));
    let report = ColdReport::new("s", "i-1", Duration::from_secs(3));
    expect_that!(report.assumed_time(), some(eq(Duration::from_secs(3))));
}

#[gtest]
fn many_reports_go_into_several_messages() {
    let report = ColdReport::new("s", "i-1", Duration::from_secs(3));
    let reports = vec![report; MAX_COLD_REPORTS + 1];
    let sizes: Vec<_> = ColdMessage::from_reports(&reports)
        .map(|message| message.reports.len())
        .collect();
    expect_that!(sizes, eq(&[MAX_COLD_REPORTS, 1]));
}
