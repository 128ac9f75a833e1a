use googletest::prelude::*;

use super::*;

/// Seeds 1 and 201 once shared a network: 4,760 answers of the one run were taken for answers of the other.
#[gtest]
fn runs_side_by_side_have_networks_of_their_own() {
    let (first, _first_claim) = claim_network(1).expect("a free network");
    let (second, _second_claim) = claim_network(201).expect("a free network");
    expect_that!(second, not(eq(first)));
}
