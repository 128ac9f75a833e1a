use googletest::prelude::*;

use super::*;

#[gtest]
fn out_of_range_and_malformed_reports_are_refused() {
    for text in [
        "",
        "3",
        "3,0",
        "3,0,0",
        "3,0,8,0",
        "3,0,8,10001",
        "-1,0,8",
        "3,0,8.5",
        "3;0;8",
        "10001,0,8",
        "3,0,99999999999",
        "NaN,0,8",
    ] {
        expect_that!(text.parse::<LoadReport>().is_err(), eq(true), "{text}");
    }
    // Unknown trailing fields are ignored.
    expect_that!("3,0,8,100,7".parse::<LoadReport>().is_ok(), eq(true));
    let report: LoadReport = "1,2,2,50".parse().expect("a load");
    expect_that!(report.to_string().parse::<LoadReport>(), ok(eq(&report)));
    expect_that!(report.queued(), eq(1.5));
}

#[gtest]
fn a_report_counts_for_less_with_its_age() {
    let now = Instant::now();
    let report = "1,0,2,400".parse().expect("a load");
    let aged_report = AgedReport {
        report,
        arrived_at: now,
    };
    expect_that!(aged_report.weight(now), eq(1.0));
    expect_that!(aged_report.weight(now + HALF_LIFE), near(0.5, 1e-9));
    expect_that!(aged_report.weight(now + HALF_LIFE * 10), le(0.001));
}
