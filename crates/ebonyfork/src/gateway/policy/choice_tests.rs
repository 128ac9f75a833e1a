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
        health.begin(began);
        health.note_answer(began, began + Duration::from_millis(100), 10.0);
    }
}

#[gtest]
fn the_near_one_goes_first_until_it_is_slow() {
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
fn an_avoided_near_one_is_probed() {
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
fn leaving_and_forbidden_ones_are_left_out() {
    let now = Instant::now();
    let candidates = [upstream("a", "north-a", now), upstream("b", "north-a", now)];
    candidates[0].mark_leaving();
    for _ in 0..8 {
        expect_that!(chosen(&candidates, now), some(eq("b")));
    }
    let latency = RouteLatency::default();
    let allowed = |_: &Upstream, life: &UpstreamIncarnation| life.instance.as_str() == "a";
    let none = choose_upstream(&candidates, allowed, &place(), &latency, now);
    expect_that!(none.is_none(), eq(true));
}

#[gtest]
fn one_that_can_not_be_reached_is_the_last_resort() {
    let now = Instant::now();
    let candidates = [
        upstream("near", "north-a", now),
        upstream("far", "south-a", now),
    ];
    candidates[0].health.borrow_mut().note_unreachable(now, now);
    expect_that!(chosen(&candidates, now), some(eq("far")));
    expect_that!(chosen(&candidates[..1], now), some(eq("near")));
}

fn decline_two_of_five(upstream: &Upstream, now: Instant) {
    for number in 0..20_u32 {
        let mut health = upstream.health.borrow_mut();
        health.begin(now);
        if number % 5 < 2 {
            health.note_failure(now, now);
        } else {
            health.note_answer(now, now, 1.0);
        }
    }
}

/// A near upstream that declines two of five requests is no slower than a far one that runs all, but each decline takes a
/// repeat.
#[gtest]
fn one_that_declines_gives_way_to_one_further_away() {
    let now = Instant::now();
    let candidates = [
        upstream("near", "north-a", now),
        upstream("far", "south-a", now),
    ];
    decline_two_of_five(&candidates[0], now);
    expect_that!(chosen(&candidates, now), some(eq("far")));
    // If both decline as often the near one is as good as ever.
    decline_two_of_five(&candidates[1], now);
    expect_that!(chosen(&candidates, now), some(eq("near")));
}
