use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{dialect, settings};
use crate::gateway::route::{CallerLimits, RouteTable};
use crate::ident::{IncarnationNumber, RevisionNumber, VmAddress, ZoneName};
use crate::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};

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
    expect_that!(
        core.is_ready(),
        eq(true),
        "nobody is known to be better off"
    );
    let zone: ZoneName = "north-a".parse().expect("a zone");
    let other = MemberEntry {
        vm: VmAddress([10, 0, 0, 2].into()),
        zone: zone.clone(),
        incarnation: IncarnationNumber(1),
        state: MemberState::Alive,
        digest: MemberDigest {
            revision: RevisionNumber(2),
            load: 0,
        },
    };
    let members = MemberSnapshot::new([other]);
    let own_vm = VmAddress([10, 0, 0, 1].into());
    core.route_checks.note_members(&members, own_vm, &zone);
    core.compare_own_version();
    let later = now() + settings().change_bound;
    core.watch_copy(later);
    core.watch_copy(later);
    expect_that!(
        core.is_ready(),
        eq(false),
        "another VM has had a newer version"
    );
    core.relay.note_up_to_date(now());
    for _ in 0..4 {
        core.watch_copy(now());
    }
    expect_that!(core.is_ready(), eq(true), "confirmed again");
}

/// Guards against a copy that counts as up to date for ever because its source stated a time in the far future.
#[gtest]
fn a_time_in_the_future_proves_no_more_than_the_present_one() {
    let core = GatewayCore::new(settings(), dialect());
    core.relay.note_up_to_date(now() + Duration::from_hours(1));
    std::thread::sleep(Duration::from_millis(3));
    let age = core.relay.copy_age();
    expect_that!(age, some(ge(Duration::from_millis(3))));
    core.relay.note_up_to_date(now());
    expect_that!(core.relay.copy_age(), some(lt(age.unwrap_or_default())));
}
