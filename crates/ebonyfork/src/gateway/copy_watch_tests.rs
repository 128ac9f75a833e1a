use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::route::{CallerLimits, RouteTable};

/// Guards against a gauge that stands still: the age of the copy was set by the task that follows the store, so it stayed low
/// after that task had ended.
#[gtest]
fn the_gauges_are_right_without_a_task_that_follows_the_store() {
    let core = GatewayCore::new(settings(), dialect());
    let bound = settings().change_bound;
    core.relay.note_up_to_date(now());
    core.refresh_copy_gauges();
    let metrics = &core.metrics.copy;
    expect_that!(core.metrics.copy_age.get(), lt(bound.as_secs_f64()));
    expect_that!(metrics.unconfirmed.get(), eq(0));
    expect_that!(metrics.follower_running.get(), eq(0));
    let core = GatewayCore::new(settings(), dialect());
    let Some(long_ago) = now().checked_sub(bound * 2) else {
        return;
    };
    core.relay.note_up_to_date(long_ago);
    core.refresh_copy_gauges();
    expect_that!(core.metrics.copy_age.get(), ge(bound.as_secs_f64() * 2.0));
    expect_that!(core.metrics.copy.unconfirmed.get(), eq(1));
}

/// The report names what tells the causes of an old configuration apart.
#[gtest]
fn a_report_names_follower_source_and_versions() {
    let core = GatewayCore::new(settings(), dialect());
    let bound = settings().change_bound;
    core.copy_watch.note_config(Some(
        StoreRevision::new(7).with_era(crate::store::StoreEra(2)),
    ));
    let Some(long_ago) = now().checked_sub(bound * 2) else {
        return;
    };
    core.relay.note_up_to_date(long_ago);
    let report = CopyReport {
        age: bound * 2,
        ..core.copy_report(now())
    };
    expect_that!(report.is_unconfirmed(), eq(true));
    let expected_text = format!(
        "age_ms={} bound_ms={} follower=ended source=- revision=0 version=0 newest=0 store_failing=false config_refused=2:7",
        bound.as_millis() * 2,
        bound.as_millis()
    );
    expect_that!(report.to_string(), eq(expected_text.as_str()));
}

/// Guards against a line at every sweep: one when the copy goes unconfirmed, one when it is confirmed again.
#[gtest]
fn each_change_is_reported_once() {
    let core = GatewayCore::new(settings(), dialect());
    let is_reported = || core.copy_watch.unconfirmed_since.get().is_some();
    core.watch_copy(now());
    expect_that!(is_reported(), eq(false), "just started");
    let Some(long_ago) = now().checked_sub(settings().change_bound * 2) else {
        return;
    };
    core.relay.note_up_to_date(long_ago);
    let reported_at = now();
    core.watch_copy(reported_at);
    core.watch_copy(reported_at + Duration::from_secs(1));
    expect_that!(
        core.copy_watch.unconfirmed_since.get(),
        some(eq(reported_at))
    );
    core.relay.note_up_to_date(now());
    core.watch_copy(now());
    expect_that!(is_reported(), eq(false));
}

/// Guards against a VM that follows nothing and answers the readiness check with 200 for ever, and against one that is ready
/// before it has read the store to its end.
#[gtest]
fn a_vm_that_follows_nothing_is_not_ready() {
    let core = GatewayCore::new(settings(), dialect());
    let Some(long_ago) = now().checked_sub(settings().change_bound * 2) else {
        return;
    };
    core.install_table(RouteTable::new(
        ConfigVersion(1),
        [],
        [],
        CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    ));
    expect_that!(core.is_ready(), eq(false), "not read to its end");
    core.relay.note_up_to_date(long_ago);
    expect_that!(core.is_ready(), eq(true));
    core.watch_copy(now());
    core.watch_copy(now());
    expect_that!(core.is_ready(), eq(false), "nothing follows the store");
    core.relay.note_up_to_date(now());
    for _ in 0..4 {
        core.watch_copy(now());
    }
    expect_that!(core.is_ready(), eq(true), "confirmed again");
}
