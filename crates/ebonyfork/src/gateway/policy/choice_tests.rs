use std::time::Duration;

use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::{entry, place};

fn upstream(instance: &str, zone: &str, now: Instant) -> Rc<Upstream> {
    let address = ([127, 0, 0, 1], 1).into();
    Rc::new(Upstream::new(entry(instance, "s", zone, address), now, 2))
}

fn chosen(candidates: &[Rc<Upstream>], now: Instant) -> Option<String> {
    let latency = RouteLatency::default();
    let choice = choose_upstream(candidates, |_, _| true, &place(), &latency, now);
    choice.map(|choice| choice.upstream.entry().instance.to_string())
}

fn make_slow(upstream: &Upstream, now: Instant) {
    let mut health = upstream.health.borrow_mut();
    for step in 0..4_u32 {
        let began = now + Duration::from_millis(100) * step;
        health.record_start(began);
        health.record_answer(began, began + Duration::from_millis(100), 10.0);
    }
}

#[gtest]
fn the_nearest_upstream_is_chosen_until_it_is_slow() {
    let now = Instant::now();
    let candidates = [
        upstream("near", "north-a", now),
        upstream("far", "south-a", now),
    ];
    expect_that!(chosen(&candidates, now), some(eq("near")));
    make_slow(&candidates[0], now);
    expect_that!(chosen(&candidates, now), some(eq("far")));
}

#[gtest]
fn an_avoided_nearby_upstream_is_probed() {
    let now = Instant::now();
    let candidates = [
        upstream("near", "north-a", now),
        upstream("far", "south-a", now),
    ];
    make_slow(&candidates[0], now);
    let later = now + Duration::from_millis(1_500);
    let latency = RouteLatency::default();
    let choice = choose_upstream(&candidates, |_, _| true, &place(), &latency, later);
    let choice = choice.expect("there are two upstreams");
    let probe = probe_upstream(&candidates, &choice, &place(), later);
    let probed = probe.map(|probe| probe.upstream.entry().instance.to_string());
    expect_that!(probed, some(eq("near")));
    expect_that!(
        probe_upstream(&candidates, &choice, &place(), now).is_none(),
        eq(true)
    );
}

#[gtest]
fn leaving_and_disallowed_upstreams_are_skipped() {
    let now = Instant::now();
    let candidates = [upstream("a", "north-a", now), upstream("b", "north-a", now)];
    candidates[0].mark_leaving();
    for _ in 0..8 {
        expect_that!(chosen(&candidates, now), some(eq("b")));
    }
    let latency = RouteLatency::default();
    let allowed =
        |_: &Upstream, incarnation: &UpstreamIncarnation| incarnation.instance.as_str() == "a";
    let none = choose_upstream(&candidates, allowed, &place(), &latency, now);
    expect_that!(none.is_none(), eq(true));
}

#[gtest]
fn an_unreachable_upstream_is_the_last_choice() {
    let now = Instant::now();
    let candidates = [
        upstream("near", "north-a", now),
        upstream("far", "south-a", now),
    ];
    candidates[0]
        .health
        .borrow_mut()
        .record_unreachable(now, now);
    expect_that!(chosen(&candidates, now), some(eq("far")));
    expect_that!(chosen(&candidates[..1], now), some(eq("near")));
}

fn decline_two_of_five(upstream: &Upstream, now: Instant) {
    for number in 0..20_u32 {
        let mut health = upstream.health.borrow_mut();
        health.record_start(now);
        if number % 5 < 2 {
            health.record_failure(now, now);
        } else {
            health.record_answer(now, now, 1.0);
        }
    }
}

/// A nearby upstream that declines two of five requests is no slower than a distant one that accepts all, but each
/// declined request uses up a repeat.
#[gtest]
fn a_declining_upstream_is_replaced_by_a_more_distant_one() {
    let now = Instant::now();
    let candidates = [
        upstream("near", "north-a", now),
        upstream("far", "south-a", now),
    ];
    decline_two_of_five(&candidates[0], now);
    expect_that!(chosen(&candidates, now), some(eq("far")));
    // If both decline equally often, the nearby one is preferred again.
    decline_two_of_five(&candidates[1], now);
    expect_that!(chosen(&candidates, now), some(eq("near")));
}
