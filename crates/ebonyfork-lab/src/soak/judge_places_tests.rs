use bytes::Bytes;
use googletest::prelude::*;
use http::HeaderMap;

use super::*;
use crate::soak::callers::CallEnd;
use crate::soak::judge::tests::event;
use crate::soak::world::ZONES;

fn arrival(request: &str, at: Instant) -> ArrivalRecord {
    ArrivalRecord {
        request: request.to_owned(),
        at,
        ran: true,
        signature: String::new(),
        body: Vec::new(),
        cold: None,
    }
}

fn life(zone: &'static str, arrivals: Vec<ArrivalRecord>) -> PastLife {
    PastLife {
        service: "single".to_owned(),
        zone,
        arrivals,
        leaving: None,
    }
}

fn call(from: Instant) -> CallRecord {
    CallRecord {
        id: "q1".to_owned(),
        route: HOME_ROUTE,
        vm: ([127, 0, 0, 1], 80).into(),
        from,
        until: from + Duration::from_millis(50),
        end: CallEnd::Answered {
            status: 200,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
    }
}

/// The lowest version whose home is a zone.
fn version_at(zone: &str) -> u64 {
    (1..100)
        .find(|version| home_zone(*version) == zone)
        .expect("each zone is a home in turn")
}

#[gtest]
fn a_request_away_from_home_is_found() {
    let begin = Instant::now();
    let versions = [
        (version_at(ZONES[0]), begin, false),
        (version_at(ZONES[1]), begin + Duration::from_secs(20), false),
    ];
    // When the call is made, the zone that it reaches, and whether that breaks the promise.
    for (after_s, zone, broken) in [
        (5, ZONES[0], 0),
        (5, ZONES[1], 1),
        (21, ZONES[0], 0),
        (21, ZONES[1], 0),
        (30, ZONES[0], 1),
        (30, ZONES[1], 0),
    ] {
        let at = begin + Duration::from_secs(after_s);
        let lives = [life(zone, vec![arrival("q1", at)])];
        let found = check_homes(&[&call(at)], &lives, &versions, &[]);
        expect_that!(found.len(), eq(broken), "{after_s} s {zone}");
    }
    let at = begin + Duration::from_secs(30);
    let lives = [life(ZONES[0], vec![arrival("q1", at)])];
    let away = event("store Busy", at, Duration::ZERO);
    expect_that!(
        check_homes(&[&call(at)], &lives, &versions, &[away]).len(),
        eq(0)
    );
}

#[gtest]
fn a_request_to_an_evacuated_zone_is_found() {
    let begin = Instant::now();
    let evacuation = EvacuationRecord {
        zone: ZONES[0],
        from: begin,
        until: Some(begin + EVACUATION_BOUND * 3),
    };
    let found = |zone: &'static str, after: Duration, events: &[SoakEvent]| {
        let lives = [life(zone, vec![arrival("q1", begin + after)])];
        check_evacuations(&lives, &[evacuation], events).len()
    };
    expect_that!(found(ZONES[0], EVACUATION_BOUND / 2, &[]), eq(0));
    expect_that!(found(ZONES[0], EVACUATION_BOUND * 2, &[]), eq(1));
    expect_that!(found(ZONES[0], EVACUATION_BOUND * 3, &[]), eq(0));
    expect_that!(found(ZONES[1], EVACUATION_BOUND * 2, &[]), eq(0));
    let away = [event("store Silent", begin, EVACUATION_BOUND * 2)];
    expect_that!(found(ZONES[0], EVACUATION_BOUND * 2, &away), eq(0));
}

#[gtest]
fn too_many_requests_to_a_cold_upstream_are_found() {
    let begin = Instant::now();
    let allowed = (COLD_RATE * COLD_OVERAGE + COLD_SLACK) as u32;
    let arrivals = |count: u32, cause: ColdCause| {
        let one = |number: u32| ArrivalRecord {
            cold: Some(cause),
            ..arrival("q1", begin + COLD_WINDOW * number / (count + 1))
        };
        (0..count).map(one).collect::<Vec<_>>()
    };
    let disturbed = [event("freeze vm-1", begin, COLD_WINDOW)];
    for (count, cause, events, broken) in [
        (allowed, ColdCause::Start, &[][..], 0),
        (allowed + 1, ColdCause::Start, &[], 1),
        (allowed + 1, ColdCause::Start, &disturbed, 1),
        (allowed + 1, ColdCause::Evacuation, &[], 1),
        (allowed + 1, ColdCause::Evacuation, &disturbed, 0),
    ] {
        let lives = [life(ZONES[0], arrivals(count, cause))];
        let found = check_cold(&lives, events);
        expect_that!(found.len(), eq(broken), "{count} {cause:?}");
    }
    let mut spread = arrivals(allowed, ColdCause::Start);
    spread.push(ArrivalRecord {
        cold: Some(ColdCause::Start),
        ..arrival("q1", begin + COLD_WINDOW)
    });
    expect_that!(check_cold(&[life(ZONES[0], spread)], &[]).len(), eq(0));
}
