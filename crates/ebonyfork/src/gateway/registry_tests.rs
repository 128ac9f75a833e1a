use std::net::SocketAddr;

use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::entry;

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
    let kept = registry.upstreams(&service());
    registry.remove(&KEY, now);
    expect_that!(registry.upstreams(&service()).len(), eq(0));
    // A request that has chosen it already sees that it leaves.
    expect_that!(kept[0].is_leaving(), eq(true));
}

#[gtest]
fn an_entry_may_come_back_after_an_outage() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    registry.note_return(now);
    registry.retain(&FxHashSet::default(), now);
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
    registry.note_return(now);
    registry.remove(&KEY, now + ms(100));
    registry.expire(now + ms(2_400));
    expect_that!(registry.upstreams(&service()).len(), eq(0));
}

#[gtest]
fn a_leaving_upstream_stays_listed_and_gets_nothing_new() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    let mut leaving = entry("i-1", "s", "north-a", address());
    registry.put(&KEY, leaving.clone(), now, 1);
    leaving.leaving = true;
    registry.put(&KEY, leaving, now, 1);
    let listed = registry.upstreams(&service());
    expect_that!(listed.len(), eq(1));
    expect_that!(listed[0].is_leaving(), eq(true));
}

#[gtest]
fn an_address_that_another_service_uses_is_another_upstream() {
    let now = Instant::now();
    let registry = UpstreamRegistry::new();
    registry.put(&KEY, entry("i-1", "s", "north-a", address()), now, 1);
    let other = CompactString::const_new("upstreams/i-2");
    registry.put(&other, entry("i-2", "t", "north-a", address()), now, 1);
    registry.remove(&KEY, now);
    expect_that!(registry.upstreams(&service()).len(), eq(0));
    let reused = registry.upstreams(&UpstreamService::new("t"));
    expect_that!(reused[0].entry().instance.as_str(), eq("i-2"));
}
