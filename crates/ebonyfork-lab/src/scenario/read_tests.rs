use std::time::Duration;

use googletest::prelude::*;

use super::Scenario;
use crate::scenario::{FaultKind, ServerChoice};

const SMALL: &str = "\
[run]
duration = 3s
load-percent = 80
[fleet]
zones = zone-a, zone-b
[services tender]
count = 4
service-time = 10ms
[index tender]
services = tender
shards = 8
[class tender-search]
index = tender
latency = 300ms
coverage = 0.98
gives-way = latency
idempotent = yes
[organisation roofers]
classes = tender-search
[load tender-search]
share = 0.5
[fault slow]
kind = straggler
at = 1s
service = tender-01
server = 1
[variant direct]
ownership = direct
";

#[googletest::test]
fn a_scenario_reads() {
    let scenario = Scenario::parse("small.ini", SMALL).expect("no findings");
    expect_that!(scenario.run.duration, eq(Duration::from_secs(3)));
    expect_that!(
        scenario.groups[0].service_names()[3].as_str(),
        eq("tender-03")
    );
    // 4 services of 2 servers with 2 slots at 10 ms run 1,600 shard requests a second.
    expect_that!(scenario.groups[0].capacity(), near(1_600.0, 1e-9));
    expect_that!(scenario.rate(&scenario.loads[0], 80.0), near(80.0, 1e-9));
    let target = ServerChoice {
        service: "tender-01".parse().expect("a name"),
        server: Some(1),
    };
    let expected = FaultKind::Straggler {
        target,
        factor: 10.0,
    };
    expect_that!(scenario.faults[0].kind, eq(&expected));
    expect_that!(scenario.variants.len(), eq(1));
    expect_that!(scenario.declared.services.len(), eq(4));
}

#[googletest::test]
fn findings_come_with_their_place() {
    let cases = [
        (
            "zones = zone-a, zone-b",
            "zone = zone-a",
            "small.ini:5: unknown key `zone`",
        ),
        (
            "services = tender\n",
            "services = tendr\n",
            "small.ini:10: services: unknown group `tendr`",
        ),
        (
            "latency = 300ms",
            "latency = fast",
            "small.ini:14: latency: `fast`",
        ),
        (
            "index = tender\n",
            "index = tendre\n",
            "small.ini:13: unknown index `tendre`",
        ),
        (
            "[load tender-search]",
            "[load search]",
            "small.ini:20: unknown class `search`",
        ),
        (
            "classes = tender-search",
            "classes = search",
            "small.ini:19: classes: unknown class",
        ),
        (
            "server = 1",
            "server = 7",
            "small.ini:22: there is no server 7",
        ),
        (
            "service = tender-01",
            "service = x",
            "small.ini:22: unknown service `x`",
        ),
        (
            "kind = straggler",
            "kind = stragler",
            "small.ini:23: kind: `stragler` is not one of",
        ),
        (
            "duration = 3s",
            "duration = 3h",
            "small.ini:2: duration: a run is at most",
        ),
        (
            "ownership = direct",
            "ownership = none",
            "small.ini:28: ownership: `none`",
        ),
    ];
    for (from, to, expected) in cases {
        let findings = Scenario::parse("small.ini", &SMALL.replace(from, to));
        let text = findings.expect_err(to).to_string();
        expect_that!(text, contains_substring(expected));
    }
}
