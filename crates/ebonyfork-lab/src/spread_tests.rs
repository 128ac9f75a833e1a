use googletest::prelude::*;

use super::*;

#[gtest]
fn memory_is_read_from_a_process_status() {
    let status = "Name:\tx\nVmHWM:\t   20480 kB\nVmRSS:\t   10240 kB\n";
    expect_that!(megabytes(status, "VmRSS:"), eq(10.0));
    expect_that!(megabytes(status, "VmHWM:"), eq(20.0));
    expect_that!(megabytes("", "VmRSS:"), eq(0.0));
}

#[gtest]
fn a_report_is_one_line() {
    let report = SpreadReport {
        vms: 78,
        routes: 1_500,
        start: Duration::from_millis(1_250),
        change: Duration::from_millis(310),
        busiest_kb: 2.5,
        memory_mb: 11.0,
        peak_mb: 14.0,
    };
    expect_that!(
        report.to_string(),
        eq("   78   1500       1.25       0.31         2.5       11.0     14.0")
    );
}
