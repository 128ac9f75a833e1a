use futures_util::FutureExt;
use googletest::prelude::*;

use super::*;

#[tokio::test(start_paused = true)]
async fn second_loss_quarantines_until_an_operator_lifts_it() {
    let quarantine = QuarantineHandle::new();
    let request = RequestFingerprint(9);
    for upstream in ["10.0.0.1:80", "10.0.0.2:80"] {
        tokio::time::advance(Duration::from_millis(5)).await;
        assert_that!(quarantine.refuses(request), eq(false));
        tokio::time::advance(Duration::from_millis(5)).await;
        quarantine.report_loss(upstream.parse().unwrap(), &[request]);
    }
    assert_that!(quarantine.refuses(request), eq(true));
    assert_that!(quarantine.entries().len(), eq(1));
    let other_vm = QuarantineHandle::new();
    for notice in quarantine.take_notices() {
        other_vm.merge(notice);
    }
    assert_that!(other_vm.refuses(request), eq(true));
    assert_that!(quarantine.lift(request), eq(true));
    assert_that!(quarantine.refuses(request), eq(false));
}

#[tokio::test(start_paused = true)]
async fn notice_wakes_its_reader_once_and_records_expire() {
    let quarantine = QuarantineHandle::new();
    let request = RequestFingerprint(9);
    assert_that!(quarantine.wait_for_notices().now_or_never(), none());
    quarantine.report_loss("10.0.0.1:80".parse().unwrap(), &[request]);
    assert_that!(quarantine.wait_for_notices().now_or_never(), some(eq(())));
    assert_that!(quarantine.take_notices().len(), eq(1));
    assert_that!(quarantine.admit(request), eq(QuarantineStatus::Suspect));
    assert_that!(quarantine.wait_for_notices().now_or_never(), none());
    tokio::time::advance(Duration::from_hours(2)).await;
    assert_that!(quarantine.admit(request), eq(QuarantineStatus::Clear));
    assert_that!(
        quarantine.shared.table_is_empty.load(Ordering::Acquire),
        eq(true)
    );
}
