use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::entry;

/// Guards against opening more connections than the upstream has slots, which would only lengthen its own queue.
#[gtest]
fn connections_never_exceed_the_slots() {
    let address = ([127, 0, 0, 1], 1).into();
    // Share of this process, and connections in use at an upstream with two slots.
    for (share, used) in [(0, 1), (1, 1), (2, 2), (9, 2)] {
        let entry = entry("i-1", "s", "north-a", address);
        let upstream = Upstream::new(entry, Instant::now(), share);
        expect_that!(upstream.slots.limit(), eq(used));
        upstream.set_connection_share(9);
        expect_that!(upstream.slots.limit(), eq(2));
        upstream.set_connection_share(share);
        expect_that!(upstream.slots.limit(), eq(used));
    }
}

/// Guards against insisting on connections that an upstream refuses, and against never restoring them afterwards.
#[gtest]
fn a_share_shrinks_with_each_refusal_and_grows_back() {
    let address = ([127, 0, 0, 1], 1).into();
    let now = Instant::now();
    let upstream = Upstream::new(entry("i-1", "s", "north-a", address), now, 2);
    upstream.reduce_limit(now);
    upstream.reduce_limit(now);
    expect_that!(upstream.slots.limit(), eq(1));
    upstream.raise_limit(now + RAISE_PERIOD / 2);
    expect_that!(upstream.slots.limit(), eq(1));
    upstream.raise_limit(now + RAISE_PERIOD);
    expect_that!(upstream.slots.limit(), eq(2));
}

/// Guards against treating an upstream as lost because a link to it is cut, although it still updates its entry.
#[gtest]
fn a_heartbeat_ends_the_evidence_that_an_upstream_is_lost() {
    let start = Instant::now();
    let address = ([127, 0, 0, 1], 1).into();
    let first_entry = entry("i-1", "s", "north-a", address);
    let upstream = Upstream::new(first_entry.clone(), start, 2);
    let mut now = start;
    for _failure in 0..5 {
        now += Duration::from_millis(300);
        upstream.health.borrow_mut().record_start(now);
        upstream.health.borrow_mut().record_unreachable(now, now);
    }
    // The entry is read again, which says nothing about the upstream.
    upstream.update(first_entry.clone(), now);
    expect_that!(
        upstream.health.borrow().unreachable_until(now),
        some(gt(now))
    );
    let next_entry = UpstreamEntry {
        heartbeats: first_entry.heartbeats + 1,
        ..first_entry
    };
    upstream.update(next_entry, now);
    expect_that!(upstream.health.borrow().unreachable_until(now), none());
}
