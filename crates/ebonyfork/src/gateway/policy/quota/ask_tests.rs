use googletest::prelude::*;

use super::*;

fn view(part: u8, distance: PlaceDistance) -> PartView {
    PartView {
        part,
        has_holder: true,
        distance,
        is_silent: false,
        state: PartState::MayGrant,
    }
}

fn rounds(parts: &[PartView]) -> Vec<Vec<u8>> {
    let rounds = plan_asks(parts);
    rounds.iter().map(|round| round.to_vec()).collect()
}

/// Guards against waiting for a holder that doesn't answer while another one can decide.
#[gtest]
fn the_nearest_holder_that_answers_decides() {
    let near = view(1, PlaceDistance::Zone);
    let far = view(0, PlaceDistance::Far);
    let silent = PartView {
        is_silent: true,
        ..near
    };
    let unheld = PartView {
        has_holder: false,
        ..near
    };
    expect_that!(rounds(&[far, near]), eq(&vec![vec![1], vec![0]]));
    expect_that!(rounds(&[far, silent]), eq(&vec![vec![0], vec![1]]));
    let second_silent = PartView { part: 2, ..silent };
    expect_that!(rounds(&[silent, second_silent]), eq(&vec![vec![1, 2]]));
    expect_that!(rounds(&[far, unheld]), eq(&vec![vec![0]]));
    expect_that!(rounds(&[unheld]), is_empty());
}

/// Guards against a return that goes to another holder than the one that has set its token aside.
#[gtest]
fn an_empty_part_is_skipped_only_within_the_limit() {
    let other = view(2, PlaceDistance::Region);
    let empty = PartView {
        state: PartState::Empty,
        ..view(1, PlaceDistance::Region)
    };
    expect_that!(rounds(&[empty, other]), eq(&vec![vec![2], vec![1]]));
    let over_limit = PartView {
        state: PartState::OverLimit,
        ..empty
    };
    expect_that!(rounds(&[over_limit, other]), eq(&vec![vec![1], vec![2]]));
}

/// Guards against refusals that take a trip between regions although all parts were empty a moment ago.
#[gtest]
fn other_holders_are_asked_only_if_one_may_have_a_token_in_time() {
    let near = view(1, PlaceDistance::Zone);
    let far = view(0, PlaceDistance::Far);
    let empty = PartView {
        state: PartState::Empty,
        ..view(2, PlaceDistance::Region)
    };
    let parts = [far, near, empty];
    let others = |reach_ms| other_parts(&parts, &[1], Duration::from_millis(reach_ms)).to_vec();
    expect_that!(others(29), is_empty());
    expect_that!(others(30), eq(&vec![0]));
}
