use googletest::prelude::*;

use super::*;

const SETTINGS: &str = "[node]\nname = vm-1\naddress = 10.1.0.9\nzone = a-1\nregion = a\ncpu-share = 0.5\ncpu-cores = 2\n\
    [zones]\na-1 = a\na-2 = a\nb-1 = b\n\
    [listen]\ncallers = 10.1.0.9:1\nready = 10.1.0.9:2\ndirectory = 10.1.0.9:3\nmetrics = 10.1.0.9:4\npeer-port = 5\n\
    [store]\naddress = 10.9.0.1:9\n\
    [bounds]\ngrace-s = 6.5\nconfig-in-force-ms = 5000\nleaving-upstream-ms = 3500\nretry-ratio = 0.2\nretry-slack = 54\nretry-window-s = 10\n";

#[gtest]
fn a_whole_file_is_read() {
    let settings = GatewaySettings::parse("g.ini", SETTINGS).expect("no findings");
    expect_that!(settings.grace, eq(Duration::from_millis(6_500)));
    expect_that!(settings.change_bound, eq(Duration::from_millis(3_500)));
    expect_that!(settings.budget.slack, eq(54.0));
    expect_that!(settings.place.cores, eq(1.0));
    let distance = |zone: &str| settings.place.distance(&PlaceName::new(zone));
    expect_that!(distance("a-1"), eq(PlaceDistance::Zone));
    expect_that!(distance("a-2"), eq(PlaceDistance::Region));
    expect_that!(distance("b-1"), eq(PlaceDistance::Far));
    expect_that!(distance("unknown"), eq(PlaceDistance::Far));
}

#[gtest]
fn every_finding_comes_with_its_place() {
    let faulty_text = SETTINGS
        .replace("peer-port = 5", "peer-prot = 5")
        .replace("grace-s = 6.5", "grace-s = 0")
        .replace("config-in-force-ms = 5000", "config-in-force-ms = soon")
        .replace("retry-ratio = 0.2", "retry-ratio = -1")
        .replace("address = 10.9.0.1:9", "address = store");
    let findings = GatewaySettings::parse("g.ini", &faulty_text).expect_err("five findings");
    let report = findings.to_string();
    for expected in [
        "peer-prot",
        "config-in-force-ms",
        "more than 0",
        "not negative",
        "socket address",
    ] {
        expect_that!(report, contains_substring(expected));
    }
    expect_that!(report, contains_substring("g.ini:"));
}

#[gtest]
fn the_default_bound_on_changes_is_the_shortest_required() {
    let text_without_bounds = SETTINGS
        .replace("config-in-force-ms = 5000\n", "")
        .replace("leaving-upstream-ms = 3500\n", "");
    let settings = GatewaySettings::parse("g.ini", &text_without_bounds).expect("no findings");
    expect_that!(settings.change_bound, eq(Duration::from_secs(3)));
    let text_with_short_bound =
        SETTINGS.replace("leaving-upstream-ms = 3500", "leaving-upstream-ms = 20");
    let findings = GatewaySettings::parse("g.ini", &text_with_short_bound).expect_err("a finding");
    expect_that!(findings.to_string(), contains_substring("at least 1000 ms"));
}

#[gtest]
fn a_missing_section_is_named() {
    let findings = GatewaySettings::parse("g.ini", "[node]\n").expect_err("findings");
    expect_that!(findings.to_string(), contains_substring("[bounds]"));
}

/// Guards against making the settings `evacuation-ms`, `cold-overage` and `cold-slack` mandatory: deployments without
/// evacuations or cold upstreams leave them out.
#[gtest]
fn bounds_on_evacuations_and_cold_upstreams_are_optional() {
    let settings = GatewaySettings::parse("g.ini", SETTINGS).expect("no findings");
    expect_that!(settings.cold_bound, none());
    let text_with_bounds =
        format!("{SETTINGS}evacuation-ms = 2500\ncold-overage = 1.5\ncold-slack = 5\n");
    let settings = GatewaySettings::parse("g.ini", &text_with_bounds).expect("no findings");
    expect_that!(settings.change_bound, eq(Duration::from_millis(2_500)));
    let bound = settings.cold_bound.expect("a bound");
    expect_that!((bound.overage, bound.slack), eq((1.5, 5.0)));
    for (faulty_lines, expected) in [
        ("cold-overage = 1.5\n", "both"),
        ("cold-slack = 5\n", "both"),
        ("cold-overage = -1\ncold-slack = 5\n", "not negative"),
        ("evacuation-ms = 20\n", "at least 1000 ms"),
    ] {
        let findings = GatewaySettings::parse("g.ini", &format!("{SETTINGS}{faulty_lines}"));
        let findings = findings.expect_err("a finding").to_string();
        expect_that!(findings, contains_substring(expected), "{faulty_lines}");
    }
}

/// Guards against placement decisions that are active although the settings don't mention them.
#[gtest]
fn placement_decisions_are_off_unless_stated() {
    let settings = GatewaySettings::parse("g.ini", SETTINGS).expect("no findings");
    expect_that!(settings.placement, eq(PlacementSettings::default()));
    expect_that!(settings.placement.shares_upstream_speed, eq(false));
    let active_text = format!("{SETTINGS}[placement]\nshare-upstream-speed = true\n");
    let settings = GatewaySettings::parse("g.ini", &active_text).expect("no findings");
    expect_that!(settings.placement.shares_upstream_speed, eq(true));
    let faulty_text = format!("{SETTINGS}[placement]\nshare-speed = true\n");
    let findings = GatewaySettings::parse("g.ini", &faulty_text).expect_err("a finding");
    expect_that!(findings.to_string(), contains_substring("share-speed"));
}

/// A time or capacity that can't be represented ended the process at its start, without naming the setting.
#[gtest]
fn an_extreme_number_is_a_finding() {
    let changes = [
        ("grace-s = 6.5", "grace-s = 1e300"),
        ("retry-window-s = 10", "retry-window-s = 1e300"),
        (
            "retry-window-s = 10",
            "retry-window-s = 10\nquota-window-s = 1e300",
        ),
        (
            "config-in-force-ms = 5000",
            "config-in-force-ms = 18446744073709551615",
        ),
        ("cpu-share = 0.5", "cpu-share = 1e300"),
        ("cpu-cores = 2", "cpu-cores = 1e300"),
        ("cpu-cores = 2", "cpu-cores = 1e-300"),
    ];
    for (stated, changed) in changes {
        let text = SETTINGS.replace(stated, changed);
        let settings = GatewaySettings::parse("g.ini", &text);
        let report = settings.err().map(|findings| findings.to_string());
        let key = changed
            .rsplit('\n')
            .next()
            .and_then(|line| line.split(' ').next());
        expect_that!(
            report,
            some(contains_substring(key.expect("a key"))),
            "{changed}"
        );
    }
}
