use googletest::prelude::*;

use super::*;

fn homes(regions: &[&str]) -> HomeRegions {
    HomeRegions::new(regions.iter().map(PlaceName::new))
}

#[gtest]
fn a_limited_route_is_served_in_its_regions_only() {
    let north = PlaceName::new("north");
    let cases = [
        (homes(&[]), Some(&north), true),
        (homes(&[]), None, true),
        (homes(&["north"]), Some(&north), true),
        (homes(&["south", "north"]), Some(&north), true),
        (homes(&["south"]), Some(&north), false),
        (homes(&["north"]), None, false),
    ];
    for (homes, region, is_allowed) in cases {
        expect_that!(homes.allows(region), eq(is_allowed), "{homes} {region:?}");
    }
    expect_that!(homes(&["south", "north"]).to_string(), eq("south,north"));
    expect_that!(homes(&[]).to_string(), eq("anywhere"));
}

/// The caller's own region ranks first, then regions allowed by all limited routes, then those allowed by some.
#[gtest]
fn the_vms_of_a_host_are_ranked_by_the_homes_of_its_routes() {
    let routes = [
        homes(&[]),
        homes(&["north", "south"]),
        homes(&["south", "west"]),
    ];
    let host = HostRegions::new(&routes);
    let rank = |region: &str| host.rank(&PlaceName::new(region), &PlaceName::new("east"));
    expect_that!(host.is_limited(), eq(true));
    expect_that!(rank("east"), some(eq(0)));
    expect_that!(rank("south"), some(eq(1)));
    expect_that!(rank("north"), some(eq(2)));
    expect_that!(rank("west"), some(eq(2)));
    expect_that!(rank("far"), none());
    let unlimited_host = HostRegions::new(&routes[..1]);
    expect_that!(unlimited_host.is_limited(), eq(false));
    expect_that!(
        unlimited_host.rank(&PlaceName::new("far"), &PlaceName::new("east")),
        some(eq(0))
    );
}
