use googletest::prelude::*;

use super::*;

#[gtest]
fn the_command_line_is_consistent() {
    command().debug_assert();
    expect_that!(
        command().try_get_matches_from(["ebonyforkd"]),
        err(anything())
    );
    let matches = command().try_get_matches_from(["ebonyforkd", "--settings", "a.ini", "--check"]);
    expect_that!(
        matches.map(|matches| matches.get_flag("check")),
        ok(eq(&true))
    );
}
