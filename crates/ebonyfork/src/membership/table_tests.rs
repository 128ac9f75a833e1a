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
    let alive = update((5, 1), Alive, false, true);
    // Stored update, received update, resulting state, effect of the merge.
    let cases = [
        (
            None,
            alive.clone(),
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
            Some(&alive),
            alive.clone(),
            Some(MemberState::Alive),
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive),
            update((5, 0), Failed, false, false),
            Some(MemberState::Alive),
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive),
            update((4, 9), Failed, true, false),
            Some(MemberState::Alive),
            MergeEffect::Unchanged,
        ),
        (
            Some(&alive),
            update((5, 1), Suspect, false, false),
            Some(MemberState::Suspect),
            MergeEffect::Changed,
        ),
        (
            Some(&alive),
            update((5, 1), Failed, false, false),
            Some(MemberState::Failed),
            MergeEffect::Changed,
        ),
        (
            Some(&alive),
            update((5, 2), Alive, true, false),
            Some(MemberState::Leaving),
            MergeEffect::Changed,
        ),
        (
            Some(&alive),
            update((5, 0), Alive, true, false),
            Some(MemberState::Leaving),
            MergeEffect::Changed,
        ),
        (
            Some(&alive),
            update((6, 0), Alive, false, true),
            Some(MemberState::Alive),
            MergeEffect::Joined,
        ),
        (
            Some(&alive),
            update((6, 0), Failed, false, false),
            Some(MemberState::Failed),
            MergeEffect::Changed,
        ),
    ];
    for (stored, received, state, effect) in cases {
        let mut table = MemberTable::default();
        if let Some(stored) = stored {
            table.merge(Duration::ZERO, stored);
        }
        expect_that!(
            table.merge(Duration::ZERO, &received),
            eq(effect),
            "{received:?}"
        );
        let record = table.get(received.vm);
        expect_that!(record.map(MemberRecord::state), eq(state), "{received:?}");
        let present_count = usize::from(state.is_some_and(MemberState::is_present));
        expect_that!(table.present_count(), eq(present_count), "{received:?}");
    }
}

#[gtest]
fn leaving_persists_until_the_next_incarnation() {
    let mut table = MemberTable::default();
    table.merge(
        Duration::ZERO,
        &update((5, 0), MemberHealth::Alive, true, true),
    );
    for (version, health, state) in [
        ((5, 1), MemberHealth::Alive, MemberState::Leaving),
        ((5, 1), MemberHealth::Suspect, MemberState::Leaving),
        ((5, 1), MemberHealth::Failed, MemberState::Failed),
        ((5, 2), MemberHealth::Alive, MemberState::Leaving),
        ((6, 0), MemberHealth::Alive, MemberState::Alive),
    ] {
        let received = update(version, health, false, false);
        table.merge(Duration::ZERO, &received);
        expect_that!(
            table.get(received.vm).map(MemberRecord::state),
            some(eq(state))
        );
    }
}
