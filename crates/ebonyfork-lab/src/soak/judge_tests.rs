use googletest::prelude::*;
use http::HeaderValue;

use super::*;
use crate::soak::probes::ProbeRecord;

const SIGNED: [(&str, u8); 6] = [
    ("a.1", 1),
    ("b.1", 2),
    ("c.1", 3),
    ("d.1", 4),
    ("e.1", 5),
    ("f.1", 6),
];

fn run(signature: &str, byte: u8) -> ArrivalRecord {
    ArrivalRecord {
        request: "q1".to_owned(),
        at: Instant::now(),
        ran: true,
        signature: signature.to_owned(),
        body: vec![byte; RECORD_BYTES],
        cold: None,
    }
}

fn call(
    route: &'static str,
    status: u16,
    headers: &[(&'static str, &str)],
    body: &[u8],
) -> CallRecord {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, HeaderValue::from_str(value).expect("a header value"));
    }
    CallRecord {
        id: "q1".to_owned(),
        route,
        vm: ([127, 0, 0, 1], 80).into(),
        from: Instant::now(),
        until: Instant::now(),
        end: CallEnd::Answered {
            status,
            headers: map,
            body: bytes::Bytes::copy_from_slice(body),
        },
    }
}

fn checked(call: &CallRecord, runs: &[(&str, ArrivalRecord)]) -> String {
    let runs: Vec<_> = runs.iter().map(|(service, run)| (*service, run)).collect();
    check_call(call, &runs).err().unwrap_or_default()
}

fn gathered_body(bytes: &[u8]) -> Vec<u8> {
    bytes
        .iter()
        .flat_map(|byte| [*byte; RECORD_BYTES])
        .collect()
}

/// Each promise about one answer, broken once.
#[gtest]
fn each_broken_promise_is_found() {
    let all: Vec<_> = SIGNED
        .iter()
        .map(|(name, byte)| (*name, run(name, *byte)))
        .collect();
    let named = "a.1,b.1,c.1,d.1,e.1,f.1";
    let best = gathered_body(&[6, 5, 4, 3, 2]);
    let gather = |parts: &str, missing: &str, body: &[u8]| {
        call(
            "gather",
            200,
            &[("part-stamps", parts), ("missing-parts", missing)],
            body,
        )
    };
    let twice: Vec<_> = vec![("single", run("a.1", 1)), ("single", run("a.2", 1))];
    let cases = [
        (gather(named, "0", &best), &all, ""),
        (
            gather(named, "0", &gathered_body(&[6, 5, 4, 3, 1])),
            &all,
            "not the greatest",
        ),
        (gather(named, "1", &best), &all, "6 parts and 1 missing"),
        (
            gather("a.1,b.1,c.1,d.1,e.1,x.1", "0", &best),
            &all,
            "of no run",
        ),
        (gather("a.1,a.1", "4", &best), &all, "two parts"),
        (
            gather("a.1,b.1", "4", &gathered_body(&[2, 1])),
            &all,
            "only 2 parts",
        ),
        (
            call("read", 200, &[("response-stamp", "a.1")], &[1; 16]),
            &twice,
            "",
        ),
        (
            call("read", 200, &[("response-stamp", "a.1")], &[2; 16]),
            &twice,
            "another one",
        ),
        (
            call("read", 200, &[("response-stamp", "b.1")], &[1; 16]),
            &twice,
            "of no run",
        ),
        (
            call("once", 200, &[("response-stamp", "a.1")], &[1; 16]),
            &twice,
            "ran 2 times",
        ),
    ];
    for (call, runs, expected) in cases {
        let found = checked(&call, runs);
        if expected.is_empty() {
            expect_that!(found, eq(""));
        } else {
            expect_that!(found, contains_substring(expected));
        }
    }
}

#[gtest]
fn a_refusal_of_a_request_that_ran_is_found() {
    let once = vec![("single", run("a.1", 1))];
    expect_that!(
        checked(&call("once", 503, &[], b""), &once),
        contains_substring("and ran")
    );
    expect_that!(checked(&call("once", 503, &[], b""), &[]), eq(""));
    expect_that!(checked(&call("once", 502, &[], b""), &once), eq(""));
}

#[gtest]
fn a_request_cut_by_a_planned_stop_is_found() {
    let from = Instant::now();
    let cut = CallRecord {
        until: from + Duration::from_millis(50),
        from,
        end: CallEnd::Broken("closed".to_owned()),
        ..call("read", 200, &[], b"")
    };
    let event = |what: &str, planned| SoakEvent {
        from,
        until: from + Duration::from_secs(1),
        what: what.to_owned(),
        planned,
        vm: None,
    };
    let stop = event("terminate vm-1", true);
    expect_that!(
        check_planned(std::slice::from_ref(&cut), std::slice::from_ref(&stop)).len(),
        eq(1)
    );
    let killed = [stop.clone(), event("kill vm-2", false)];
    expect_that!(
        check_planned(std::slice::from_ref(&cut), &killed).len(),
        eq(0)
    );
    // What disturbs one VM is no excuse for another.
    let elsewhere = SoakEvent {
        vm: Some([127, 0, 0, 2].into()),
        ..event("freeze vm-2", false)
    };
    expect_that!(check_planned(&[cut], &[stop, elsewhere]).len(), eq(1));
}

pub fn event(what: &str, from: Instant, lasting: Duration) -> SoakEvent {
    SoakEvent {
        from,
        until: from + lasting,
        what: what.to_owned(),
        planned: false,
        vm: None,
    }
}

#[gtest]
fn new_work_at_a_leaving_upstream_is_found() {
    let leaving = Instant::now();
    let life = |after: Duration| PastLife {
        service: "single".to_owned(),
        zone: "north-a",
        arrivals: vec![ArrivalRecord {
            at: leaving + after,
            ..run("a.1", 1)
        }],
        leaving: Some(leaving),
    };
    let (soon, late) = (DRAIN_BOUND / 2, DRAIN_BOUND * 2);
    expect_that!(check_drains(&[life(soon)], &[]).len(), eq(0));
    expect_that!(check_drains(&[life(late)], &[]).len(), eq(1));
    // While the store is away nobody can know.
    let away = event("store Busy", leaving, late);
    expect_that!(check_drains(&[life(late)], &[away]).len(), eq(0));
}

#[gtest]
fn a_version_that_is_not_in_force_is_found() {
    let written = Instant::now();
    let asked = |after: Duration, status| CallRecord {
        from: written + after,
        until: written + after,
        ..call("extra", status, &[], b"")
    };
    let late = CONFIG_BOUND * 2;
    // The version has the extra route or not; the answer to a request for it, and whether it breaks the promise.
    for (extra, status, broken) in [
        (true, 404, 1),
        (true, 200, 0),
        (false, 200, 1),
        (false, 404, 0),
    ] {
        let versions = [(7, written, extra)];
        let found = check_versions(&[asked(late, status)], &versions, &[]);
        expect_that!(found.len(), eq(broken), "{extra} {status}");
        let early = check_versions(&[asked(CONFIG_BOUND / 2, status)], &versions, &[]);
        expect_that!(early.len(), eq(0));
    }
    // The trouble of another VM is no excuse, that of the VM itself or of the store is.
    let own = call("extra", 404, &[], b"").vm.ip();
    let other: IpAddr = [127, 99, 0, 9].into();
    for (vm, broken) in [(Some(other), 1), (Some(own), 0), (None, 0)] {
        let link = SoakEvent {
            vm,
            ..event("store link of vm-1", written, late)
        };
        let found = check_versions(&[asked(late, 404)], &[(7, written, true)], &[link]);
        expect_that!(found.len(), eq(broken), "{vm:?}");
    }
    // A route that every version has is never missing.
    let missing = call("read", 404, &[], b"");
    expect_that!(check_versions(&[missing], &[], &[]).len(), eq(1));
}

#[gtest]
fn a_system_that_stays_down_is_found() {
    let calm = Instant::now();
    let calls = |status| {
        let call = |number: u64| CallRecord {
            from: calm + CALM_AFTER + Duration::from_millis(number),
            ..call("read", status, &[], b"")
        };
        (1..=20).map(call).collect::<Vec<_>>()
    };
    expect_that!(check_calm(&calls(200), calm), none());
    expect_that!(
        check_calm(&calls(503), calm),
        some(contains_substring("served 0 of 20"))
    );
    let (mut mixed, more) = (calls(503), calls(200));
    mixed.truncate(1);
    mixed.extend(more);
    expect_that!(check_calm(&mixed, calm), none());
}

#[gtest]
fn too_many_repeats_are_found() {
    let begin = Instant::now();
    // One request, and as many arrivals of it as the slack allows beyond the first, or one more.
    for (repeats, found) in [(RETRY_SLACK as usize, 0), (RETRY_SLACK as usize + 1, 1)] {
        let arrivals: Vec<_> = (0..=repeats)
            .map(|number| {
                let at = begin + Duration::from_millis(number as u64);
                (
                    "single".to_owned(),
                    ArrivalRecord {
                        at,
                        ..run("a.1", 1)
                    },
                )
            })
            .collect();
        let violations = check_repeats(&[], &arrivals);
        expect_that!(violations.len(), eq(found), "{repeats}");
    }
    // The same over a long time is no more than the slack at any time.
    let spread: Vec<_> = (0..200)
        .map(|number| {
            let at = begin + RETRY_WINDOW * number / 20;
            (
                "single".to_owned(),
                ArrivalRecord {
                    at,
                    ..run("a.1", 1)
                },
            )
        })
        .collect();
    expect_that!(check_repeats(&[], &spread).len(), eq(0));
}

/// Calls that end long after their callers have stopped waiting are found, unless their VM was disturbed.
#[gtest]
fn calls_without_end_are_found() {
    let lasting = |route, seconds| {
        let call = call(route, 200, &[], b"");
        CallRecord {
            from: call.until - Duration::from_secs(seconds),
            ..call
        }
    };
    let found = |call: CallRecord, events: &[SoakEvent]| check_ends(&[call], events).len();
    expect_that!(found(lasting("read", 2), &[]), eq(0));
    expect_that!(found(lasting("read", 3), &[]), eq(1));
    expect_that!(found(lasting("long", 4), &[]), eq(0));
    expect_that!(found(lasting("long", 5), &[]), eq(1));
    let until = Instant::now();
    let freeze = SoakEvent {
        from: until - Duration::from_secs(3),
        until,
        what: "freeze vm-0".to_owned(),
        planned: false,
        vm: None,
    };
    expect_that!(found(lasting("read", 3), &[freeze]), eq(0));
}

/// Requests that a quota refuses must not add to the budget of repeats.
#[gtest]
fn probes_that_reach_no_upstream_add_nothing_to_the_budget() {
    let probe = |id: &str| ProbeRecord {
        organisation: "loud",
        call: CallRecord {
            id: id.to_owned(),
            ..call("read", 429, &[], b"")
        },
    };
    let mut records = CallerRecords::default();
    records.calls.push(call("read", 200, &[], b""));
    records.probes.calls = vec![probe("p1"), probe("p2")];
    let reached = ArrivalRecord {
        request: "p2".to_owned(),
        ..run("a.1", 1)
    };
    let counted = budgeted_calls(&records, &[("single".to_owned(), reached)]);
    let ids: Vec<&str> = counted.iter().map(|call| call.id.as_str()).collect();
    expect_that!(ids, eq(&["q1", "p2"]));
}
