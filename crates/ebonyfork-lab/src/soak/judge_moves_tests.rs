use std::time::Duration;

use bytes::Bytes;
use ebonyfork_stand_in::upstream::ArrivalRecord;
use googletest::prelude::*;
use http::HeaderMap;

use super::*;
use crate::soak::callers::CallEnd;
use crate::soak::judge::CONFIG_BOUND;
use crate::soak::judge::tests::event;
use crate::soak::moves::MOVE_SERVICES;

const SEED: u64 = 7;
const ROUTE: &str = "read";

/// The lowest version from `least` on that has the route at a service.
fn version_at(service: &str, least: u64) -> u64 {
    (least..least + 100)
        .find(|version| service_of(SEED, *version, ROUTE) == service)
        .expect("each service in turn")
}

/// A call of the route 50 ms long, and its run.
fn call(id: &str, from: Instant) -> (CallRecord, ArrivalRecord) {
    let until = from + Duration::from_millis(50);
    let call = CallRecord {
        id: id.to_owned(),
        route: ROUTE,
        vm: ([127, 0, 0, 1], 80).into(),
        from,
        until,
        end: CallEnd::Answered {
            status: 200,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
    };
    let run = ArrivalRecord {
        request: id.to_owned(),
        at: from,
        ran: true,
        signature: String::new(),
        body: Vec::new(),
        cold: None,
    };
    (call, run)
}

/// What the judge finds in calls of one VM, each with its time and service.
fn found(
    calls: &[(Instant, &'static str)],
    versions: &[WrittenVersion],
    events: &[SoakEvent],
) -> String {
    let calls: Vec<_> = calls
        .iter()
        .enumerate()
        .map(|(number, (from, service))| (call(&format!("q{number}"), *from), *service))
        .collect();
    let mut runs = RunIndex::new();
    for ((call, run), service) in &calls {
        runs.insert(&call.id, vec![(service, run)]);
    }
    let record = MoveRecord {
        seed: SEED,
        runs: &runs,
        versions,
        events,
    };
    let calls: Vec<_> = calls.iter().map(|((call, _run), _)| call).collect();
    check_moves(&calls, record).join("; ")
}

/// Routes move all at once, and one alone.
#[gtest]
fn all_routes_move_and_some_alone() {
    let places = |version| MOVED_ROUTES.map(|route| service_of(SEED, version, route));
    let is_one = |places: &[&str; 4]| places.iter().all(|place| *place == places[0]);
    let all: Vec<_> = (0..40).map(|turn| places(turn * 6)).collect();
    for service in MOVE_SERVICES {
        expect_that!(all, contains(eq(&[service; 4])));
    }
    expect_that!(all.iter().filter(|places| !is_one(places)).count(), gt(5));
}

/// Guards against VMs that go on serving by a version that was replaced long ago.
#[gtest]
fn a_service_that_only_a_replaced_version_names_is_found() {
    let begin = Instant::now();
    let [old, new] = MOVE_SERVICES;
    let first = version_at(old, 0);
    let moved = begin + Duration::from_secs(20);
    let versions = [
        (first, begin, false),
        (version_at(new, first), moved, false),
    ];
    let (soon, late) = (moved + CONFIG_BOUND / 2, moved + CONFIG_BOUND * 2);
    for (at, service, broken) in [
        (begin, old, false),
        (begin, new, true),
        (soon, old, false),
        (soon, new, false),
        (late, new, false),
        (late, old, true),
    ] {
        let found = found(&[(at, service)], &versions, &[]);
        let expected = found.contains("no version in force names");
        expect_that!(expected, eq(broken), "{service} {:?}", at - begin);
    }
    // The trouble of another VM is no excuse, that of the VM itself or of the store is.
    let other: IpAddr = [127, 99, 0, 9].into();
    for (vm, broken) in [
        (Some(other), true),
        (Some([127, 0, 0, 1].into()), false),
        (None, false),
    ] {
        let freeze = SoakEvent {
            vm,
            ..event("freeze vm-1", moved, CONFIG_BOUND)
        };
        let found = found(&[(late, old)], &versions, &[freeze]);
        expect_that!(!found.is_empty(), eq(broken), "{vm:?}");
    }
}

/// CONFIG in the other direction: a VM that has served by the newer version goes back, within the bound.
#[gtest]
fn a_vm_that_goes_back_to_an_older_version_is_found() {
    let begin = Instant::now();
    let [old, new] = MOVE_SERVICES;
    let first = version_at(old, 0);
    let moved = begin + Duration::from_secs(20);
    let versions = [
        (first, begin, false),
        (version_at(new, first), moved, false),
    ];
    let after = |ms| moved + Duration::from_millis(ms);
    let back = [(after(100), new), (after(200), old)];
    expect_that!(
        found(&back, &versions, &[]),
        contains_substring("only older versions name than before")
    );
    let forth = [(after(100), old), (after(200), new)];
    expect_that!(found(&forth, &versions, &[]), eq(""));
    // Calls that overlap may be served in any order.
    let beside = [(after(100), new), (after(120), old)];
    expect_that!(found(&beside, &versions, &[]), eq(""));
    let killed = event("kill vm-0", after(150), Duration::ZERO);
    expect_that!(found(&back, &versions, &[killed]), eq(""));
}
