use googletest::prelude::*;

use crate::scenario::{FaultKind, Scenario};

const BASE: &str = "\
[run]
load-percent = 50
seed = 7
[fleet]
zones = zone-a
[services tender]
service-time = 10ms
[index tender]
services = tender
shards = 1
[class search]
index = tender
latency = 300ms
coverage = 1
gives-way = latency
idempotent = yes
[organisation roofers]
classes = search
[load search]
share = 1
";

const OWN: &str = "\
[base]
file = base.ini
[run]
load-percent = 80
[class search]
index = tender
latency = 100ms
coverage = 0.9
gives-way = coverage
idempotent = yes
[fault slow]
kind = straggler
at = 1s
service = tender
";

#[googletest::test]
fn a_scenario_changes_its_base() {
    let scenario = Scenario::parse_over(("base.ini", BASE), ("own.ini", OWN)).expect("no findings");
    expect_that!(
        (scenario.run.load_percent, scenario.run.seed),
        eq((80.0, 7))
    );
    let class = "search".parse().expect("a name");
    expect_that!(scenario.declared.classes[&class].coverage, eq(0.9));
    expect_that!(
        matches!(scenario.faults[0].kind, FaultKind::Straggler { .. }),
        eq(true)
    );
}

#[googletest::test]
fn findings_stand_in_the_own_file() {
    let own = OWN
        .replace("service = tender", "service = tendr")
        .replace("0.9", "9");
    let findings = Scenario::parse_over(("base.ini", BASE), ("own.ini", &own));
    let text = findings.expect_err("findings").to_string();
    expect_that!(text, contains_substring("own.ini:8: coverage"));
    let own = OWN.replace("service = tender", "service = tendr");
    let findings = Scenario::parse_over(("base.ini", BASE), ("own.ini", &own));
    let text = findings.expect_err("findings").to_string();
    expect_that!(
        text,
        contains_substring("own.ini:11: unknown service `tendr`")
    );
}

/// Every scenario that is shipped reads without findings.
#[googletest::test]
fn shipped_scenarios_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of scenarios") {
        let path = entry.expect("an entry").path();
        let read = Scenario::load(&path);
        expect_that!(
            read.err().map(|error| error.to_string()),
            none(),
            "{path:?}"
        );
        count += 1;
    }
    expect_that!(count, gt(0));
}
