use googletest::prelude::*;

use super::*;
use crate::gateway::ident::PlaceName;

fn limits() -> CallerLimits {
    CallerLimits {
        header_bytes: 16_384,
        body_bytes: 262_144,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn route(name: &str, host: &str, prefix: &str) -> RouteEntry {
    RouteEntry {
        name: RouteName::new(name),
        host: host.into(),
        prefix: prefix.into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        destination: RouteTarget::One(UpstreamService::new("s")),
        home_regions: HomeRegions::default(),
        is_public: false,
    }
}

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let routes = [
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("root", "b.example", "/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = RouteTable::new(ConfigVersion(1), routes, [], limits());
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("a.example", "/x/y", Some("short")),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("A.Example:8080", "/x/y/", Some("long")),
        ("b.example", "/x/y/", Some("root")),
        ("b.example", "/x/y/z/", Some("other")),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let route_name = table.find(host, path).map(|route| route.name.as_str());
        expect_that!(route_name, eq(expected), "{host} {path}");
    }
}

#[gtest]
fn the_minimum_number_of_shards_is_rounded_up() {
    let cases = [
        (20, 0.89, 18),
        (20, 0.75, 15),
        (20, 0.95, 19),
        (90, 0.95, 86),
        (90, 0.85, 77),
        (3, 0.0, 1),
        (3, 1.0, 3),
        (10, 0.3, 3),
    ];
    for (shards, min_coverage, expected) in cases {
        let terms = GatherTerms {
            shards: (0..shards)
                .map(|number: usize| UpstreamService::new(number.to_string()))
                .collect(),
            max_records: 5,
            min_coverage,
        };
        expect_that!(terms.min_shards(), eq(expected), "{shards} {min_coverage}");
    }
}

/// Guards against treating a route as unchanged when only its home regions differ: a VM with an older version must
/// notice it.
#[gtest]
fn different_home_regions_change_the_scope_digest() {
    let digest = |regions: &[&str]| {
        let route = RouteEntry {
            home_regions: HomeRegions::new(regions.iter().map(PlaceName::new)),
            ..route("r", "a.example", "/x/")
        };
        let table = RouteTable::new(ConfigVersion(1), [route], [], limits());
        table.scope_digest("a.example", "/x/")
    };
    expect_that!(digest(&["north"]), eq(digest(&["north"])));
    expect_that!(digest(&["north"]), not(eq(digest(&[]))));
    expect_that!(digest(&["north"]), not(eq(digest(&["south"]))));
    expect_that!(digest(&["north"]), not(eq(digest(&["north", "south"]))));
}
