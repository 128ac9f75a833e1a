use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;

fn update(version: (u64, u32), health: MemberHealth, leaving: bool, zone: bool) -> MemberUpdate {
    MemberUpdate {
        vm: VmAddress([10, 0, 0, 2].into()),
        version: MemberVersion {
            incarnation: IncarnationNumber(version.0),
            refutation: version.1,
        },
        health,
        leaving,
        age_ds: 0,
        zone: zone.then(|| "a".parse().unwrap()),
    }
}

#[gtest]
fn the_newer_version_wins_and_the_worse_health_within_it() {
    use MemberHealth::{Alive, Failed, Suspect};
    let alive_update = update((5, 1), Alive, false, true);
    // Stored update, received update, resulting state, effect of the merge.
    let cases = [
        (
            None,
            alive_update.clone(),
            Some(MemberState::Alive),
            MergeEffect::Joined,
        ),
        (
            None,
            update((5, 1), Suspect, false, true),
            Some(MemberState::Suspect),
            MergeEffect::Joined,
        ),
        (
            None,
            update((5, 1), Suspect, false, false),
            None,
            MergeEffect::Unchanged,
        ),
        (
            None,
            update((5, 1), Failed, false, true),
            None,
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive_update),
            alive_update.clone(),
            Some(MemberState::Alive),
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive_update),
            update((5, 0), Failed, false, false),
            Some(MemberState::Alive),
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive_update),
            update((4, 9), Failed, true, false),
            Some(MemberState::Alive),
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive_update),
            update((5, 1), Suspect, false, false),
            Some(MemberState::Suspect),
            MergeEffect::Changed,
        ),
        (
            Some(&alive_update),
            update((5, 1), Failed, false, false),
            Some(MemberState::Failed),
            MergeEffect::Changed,
        ),
        (
            Some(&alive_update),
            update((5, 2), Alive, true, false),
            Some(MemberState::Leaving),
            MergeEffect::Changed,
        ),
        (
            Some(&alive_update),
            update((5, 0), Alive, true, false),
            Some(MemberState::Leaving),
            MergeEffect::Changed,
        ),
        (
            Some(&alive_update),
            update((6, 0), Alive, false, true),
            Some(MemberState::Alive),
            MergeEffect::Joined,
        ),
        (
            Some(&alive_update),
            update((6, 0), Failed, false, false),
            Some(MemberState::Failed),
            MergeEffect::Changed,
        ),
    ];
    for (stored_update, received_update, expected_state, expected_effect) in cases {
        let mut table = MemberTable::default();
        if let Some(stored_update) = stored_update {
            table.merge(Duration::ZERO, stored_update);
        }
        expect_that!(
            table.merge(Duration::ZERO, &received_update),
            eq(expected_effect),
            "{received_update:?}"
        );
        let record = table.get(received_update.vm);
        expect_that!(
            record.map(MemberRecord::state),
            eq(expected_state),
            "{received_update:?}"
        );
        let present_count = usize::from(expected_state.is_some_and(MemberState::is_present));
        expect_that!(
            table.present_count(),
            eq(present_count),
            "{received_update:?}"
        );
    }
}

#[gtest]
fn leaving_persists_until_the_next_incarnation() {
    let mut table = MemberTable::default();
    table.merge(
        Duration::ZERO,
        &update((5, 0), MemberHealth::Alive, true, true),
    );
    for (version, health, expected_state) in [
        ((5, 1), MemberHealth::Alive, MemberState::Leaving),
        ((5, 1), MemberHealth::Suspect, MemberState::Leaving),
        ((5, 1), MemberHealth::Failed, MemberState::Failed),
        ((5, 2), MemberHealth::Alive, MemberState::Leaving),
        ((6, 0), MemberHealth::Alive, MemberState::Alive),
    ] {
        let received_update = update(version, health, false, false);
        table.merge(Duration::ZERO, &received_update);
        expect_that!(
            table.get(received_update.vm).map(MemberRecord::state),
            some(eq(expected_state))
        );
    }
}
