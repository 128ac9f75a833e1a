use std::net::SocketAddr;

use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::entry;
use crate::gateway::ident::StartTime;

const KEY: CompactString = CompactString::const_new("upstreams/i-1");

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn service() -> UpstreamService {
    UpstreamService::new("s")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn a_removed_entry_is_gone_at_once() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    let upstreams_before = registry.upstreams(&service());
    registry.remove(&KEY, now);
    expect_that!(registry.upstreams(&service()).len(), eq(0));
    // A request that has already chosen the upstream sees that it is leaving.
    expect_that!(upstreams_before[0].is_leaving(), eq(true));
}

#[gtest]
fn an_entry_may_come_back_after_an_outage() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    registry.record_store_return(now);
    registry.remove(&KEY, now);
    registry.expire(now + ms(2_000));
    expect_that!(registry.upstreams(&service()).len(), eq(1));
    registry.put(
        &KEY,
        entry("i-1", "s", "north-a", address()),
        now + ms(2_000),
        1,
    );
    registry.expire(now + ms(10_000));
    expect_that!(registry.upstreams(&service()).len(), eq(1));
}

#[gtest]
fn an_entry_that_does_not_come_back_is_gone() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    registry.record_store_return(now);
    registry.remove(&KEY, now + ms(100));
    registry.expire(now + ms(2_400));
    expect_that!(registry.upstreams(&service()).len(), eq(0));
}

#[gtest]
fn a_leaving_upstream_stays_listed_and_gets_nothing_new() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let mut leaving_entry = entry("i-1", "s", "north-a", address());
    registry.put(&KEY, leaving_entry.clone(), now, 1);
    leaving_entry.leaving = true;
    registry.put(&KEY, leaving_entry, now, 1);
    let upstreams = registry.upstreams(&service());
    expect_that!(upstreams.len(), eq(1));
    expect_that!(upstreams[0].is_leaving(), eq(true));
}

#[gtest]
fn an_address_that_another_service_uses_is_another_upstream() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    let other_key = CompactString::const_new("upstreams/i-2");
    registry.put(&other_key, entry("i-2", "t", "north-a", address()), now, 1);
    registry.remove(&KEY, now);
    expect_that!(registry.upstreams(&service()).len(), eq(0));
    let other_upstreams = registry.upstreams(&UpstreamService::new("t"));
    expect_that!(other_upstreams[0].entry().instance.as_str(), eq("i-2"));
}

/// Guards against attributing health and connections of a previous incarnation to an upstream that restarted under its
/// name.
#[gtest]
fn an_upstream_that_restarts_under_its_name_is_a_new_one() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let mut restarting_entry = entry("i-1", "s", "north-a", address());
    restarting_entry.started = Some(StartTime(1_000));
    registry.put(&KEY, restarting_entry.clone(), now, 1);
    let previous_upstream = Rc::clone(&registry.upstreams(&service())[0]);
    previous_upstream
        .health
        .borrow_mut()
        .record_failure(now, now);
    // A heartbeat of the same incarnation changes nothing.
    registry.put(&KEY, restarting_entry.clone(), now, 1);
    expect_that!(
        Rc::ptr_eq(&previous_upstream, &registry.upstreams(&service())[0]),
        eq(true)
    );
    restarting_entry.started = Some(StartTime(9_000));
    registry.put(&KEY, restarting_entry, now, 1);
    let upstreams = registry.upstreams(&service());
    expect_that!(upstreams.len(), eq(1));
    expect_that!(Rc::ptr_eq(&previous_upstream, &upstreams[0]), eq(false));
    expect_that!(previous_upstream.is_leaving(), eq(true));
    expect_that!(upstreams[0].health.borrow().success_rate(now), eq(1.0));
}

#[gtest]
fn an_invalid_entry_is_removed_even_while_missing_ones_are_kept() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    registry.record_store_return(now);
    registry.remove_invalid(&KEY);
    expect_that!(registry.upstreams(&service()).len(), eq(0));
}

/// Guards against evacuations that miss upstreams: one must apply to upstreams that register before and after it, and
/// to those that change their entry.
#[gtest]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let registry = UpstreamRegistry::new();
    let now = Instant::now();
    let address = ([127, 0, 0, 1], 1).into();
    let put = |key: &str, zone: &str| {
        registry.put(&key.into(), entry(key, "s", zone, address), now, 2);
    };
    let accepting_names = || {
        let upstreams = registry.upstreams(&service());
        let accepting_upstreams = upstreams
            .iter()
            .filter(|upstream| upstream.takes_requests());
        let mut names: Vec<_> = accepting_upstreams
            .map(|upstream| upstream.entry().instance.to_string())
            .collect();
        names.sort_unstable();
        names
    };
    put("a", "north-a");
    put("b", "north-b");
    registry.evacuate(&PlaceName::new("north-a"));
    registry.evacuate(&PlaceName::new("nowhere"));
    put("c", "north-a");
    put("a", "north-a");
    expect_that!(accepting_names(), eq(&["b"]));
    registry.evacuate(&PlaceName::new("north-b"));
    registry.end_evacuation(&PlaceName::new("north-a"));
    expect_that!(accepting_names(), eq(&["a", "c"]));
    registry.end_evacuation(&PlaceName::new("north-b"));
    expect_that!(accepting_names(), eq(&["a", "b", "c"]));
}

/// Guards against a leaving upstream becoming ready again when the store is restored from a copy older than its
/// announcement.
#[gtest]
fn a_leaving_upstream_does_not_return_with_an_older_copy() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let older_entry = entry("i-1", "s", "north-a", address());
    let mut leaving_entry = older_entry.clone();
    leaving_entry.leaving = true;
    leaving_entry.heartbeats += 1;
    registry.put(&KEY, leaving_entry.clone(), now, 1);
    registry.put_restored(&KEY, older_entry.clone(), now, 1);
    let upstreams = registry.upstreams(&service());
    expect_that!(upstreams[0].is_leaving(), eq(true));
    leaving_entry.heartbeats = older_entry.heartbeats;
    registry.put(&KEY, leaving_entry.clone(), now, 1);
    registry.put_restored(&KEY, older_entry.clone(), now, 1);
    expect_that!(
        upstreams[0].is_leaving(),
        eq(true),
        "between two heartbeats"
    );
    // Later entries that it writes itself apply, and so do those of another incarnation.
    leaving_entry.leaving = false;
    registry.put(&KEY, leaving_entry, now, 1);
    expect_that!(upstreams[0].is_leaving(), eq(false));
    let mut next_entry = older_entry;
    next_entry.started = Some(StartTime(7));
    next_entry.heartbeats = 0;
    registry.put_restored(&KEY, next_entry, now, 1);
    let upstreams = registry.upstreams(&service());
    expect_that!(upstreams[0].entry().started, some(eq(StartTime(7))));
}

/// Guards against sending to upstreams that have left but whose entries reappear when the store is restored from an
/// older copy. The store expires these entries within a few seconds.
#[gtest]
fn an_upstream_that_has_left_does_not_return_with_an_older_copy() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let departed_entry = entry("i-1", "s", "north-a", address());
    let upstream_count = || registry.upstreams(&service()).len();
    registry.put(&KEY, departed_entry.clone(), now, 1);
    registry.remove(&KEY, now);
    registry.put_restored(&KEY, departed_entry.clone(), now + ms(2_000), 1);
    expect_that!(upstream_count(), eq(0));
    registry.remove(&KEY, now + ms(4_000));
    registry.expire(now + ms(8_000));
    expect_that!(upstream_count(), eq(0), "its entry has expired");
    registry.put_restored(&KEY, departed_entry.clone(), now + ms(9_000), 1);
    registry.expire(now + ms(13_900));
    expect_that!(upstream_count(), eq(0));
    registry.expire(now + ms(14_000));
    expect_that!(
        upstream_count(),
        eq(1),
        "its entry has not expired, so it is alive"
    );
    registry.remove(&KEY, now + ms(20_000));
    registry.put_restored(&KEY, departed_entry.clone(), now + ms(21_000), 1);
    registry.put(&KEY, departed_entry, now + ms(21_100), 1);
    expect_that!(upstream_count(), eq(1), "it has written its entry again");
}

/// Guards against treating an upstream as departed that was silent for a while and registered again by itself. It must
/// stay listed when one restored copy of the store lacks its entry and the next one has it.
#[gtest]
fn an_upstream_that_registered_again_is_not_withheld() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let known_entry = entry("i-1", "s", "north-a", address());
    registry.put(&KEY, known_entry.clone(), now, 1);
    registry.remove(&KEY, now);
    registry.put(&KEY, known_entry.clone(), now + ms(1_000), 1);
    registry.record_store_return(now + ms(2_000));
    registry.remove(&KEY, now + ms(2_000));
    registry.put_restored(&KEY, known_entry, now + ms(3_000), 1);
    registry.expire(now + ms(4_500));
    expect_that!(registry.upstreams(&service()).len(), eq(1));
}

/// Guards against an entry that was overwritten by another writer while it was withheld, and is put in force afterwards.
#[gtest]
fn a_withheld_entry_that_becomes_unreadable_names_no_upstream() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let departed_entry = entry("i-1", "s", "north-a", address());
    registry.put(&KEY, departed_entry.clone(), now, 1);
    registry.remove(&KEY, now);
    registry.put_restored(&KEY, departed_entry, now + ms(2_000), 1);
    registry.remove_invalid(&KEY);
    registry.expire(now + ms(60_000));
    expect_that!(registry.upstreams(&service()).len(), eq(0));
}
