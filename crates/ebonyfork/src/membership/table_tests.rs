use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;

fn update(life: (u64, u32), health: MemberHealth, leaving: bool, zone: bool) -> MemberUpdate {
    MemberUpdate {
        vm: VmAddress([10, 0, 0, 2].into()),
        life: MemberLife {
            incarnation: IncarnationNumber(life.0),
            refutation: life.1,
        },
        health,
        leaving,
        age_ds: 0,
        zone: zone.then(|| "a".parse().unwrap()),
    }
}

#[gtest]
fn the_newer_life_wins_and_the_worse_health_within_it() {
    use MemberHealth::{Alive, Failed, Suspect};
    let alive = update((5, 1), Alive, false, true);
    // What is known, what is heard, what is believed afterwards, what it did.
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
            MergeEffect::Known,
        ),
        (
            None,
            update((5, 1), Failed, false, true),
            None,
            MergeEffect::Known,
        ),
        (
            Some(&alive),
            alive.clone(),
            Some(MemberState::Alive),
            MergeEffect::Known,
        ),
        (
            Some(&alive),
            update((5, 0), Failed, false, false),
            Some(MemberState::Alive),
            MergeEffect::Known,
        ),
        (
            Some(&alive),
            update((4, 9), Failed, true, false),
            Some(MemberState::Alive),
            MergeEffect::Known,
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
    for (known, heard, state, effect) in cases {
        let mut table = MemberTable::default();
        if let Some(known) = known {
            table.merge(Duration::ZERO, known);
        }
        expect_that!(table.merge(Duration::ZERO, &heard), eq(effect), "{heard:?}");
        let record = table.get(heard.vm);
        expect_that!(record.map(MemberRecord::state), eq(state), "{heard:?}");
        let present = usize::from(state.is_some_and(MemberState::is_present));
        expect_that!(table.present(), eq(present), "{heard:?}");
    }
}

#[gtest]
fn leaving_is_not_taken_back_but_ends_with_the_incarnation() {
    let mut table = MemberTable::default();
    table.merge(
        Duration::ZERO,
        &update((5, 0), MemberHealth::Alive, true, true),
    );
    for (life, health, state) in [
        ((5, 1), MemberHealth::Alive, MemberState::Leaving),
        ((5, 1), MemberHealth::Suspect, MemberState::Leaving),
        ((5, 1), MemberHealth::Failed, MemberState::Failed),
        ((5, 2), MemberHealth::Alive, MemberState::Leaving),
        ((6, 0), MemberHealth::Alive, MemberState::Alive),
    ] {
        let heard = update(life, health, false, false);
        table.merge(Duration::ZERO, &heard);
        expect_that!(
            table.get(heard.vm).map(MemberRecord::state),
            some(eq(state))
        );
    }
}
