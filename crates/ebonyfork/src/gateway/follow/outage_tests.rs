use std::net::IpAddr;

use googletest::prelude::*;

use super::*;

fn vm(number: u8) -> VmAddress {
    VmAddress(IpAddr::from([10, 0, 0, number]))
}

/// A store that refuses a single VM must not delay removals on the VMs that followed it.
#[gtest]
fn one_failing_source_is_no_outage() {
    let now = Instant::now();
    let mut outage = StoreOutage::default();
    expect_that!(outage.note_failing_source(vm(1), now), eq(false));
    expect_that!(outage.note_failing_source(vm(1), now), eq(false));
    expect_that!(outage.clear(), eq(false));
    expect_that!(outage.note_failing_source(vm(2), now), eq(false));
    expect_that!(outage.note_failing_source(vm(1), now), eq(true));
    expect_that!(outage.note_failing_source(vm(3), now), eq(false));
    expect_that!(outage.since(), some(eq(now)));
    expect_that!(outage.clear(), eq(true));
}

/// The time of the first failure counts, because it decides when another source is used.
#[gtest]
fn a_failed_call_is_an_outage_since_the_first_failure() {
    let now = Instant::now();
    let mut outage = StoreOutage::default();
    expect_that!(outage.note_failed_call(now), eq(true));
    let later = now + std::time::Duration::from_secs(1);
    expect_that!(outage.note_failed_call(later), eq(false));
    expect_that!(outage.since(), some(eq(now)));
}
