use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;
use crate::membership::{MemberDigest, MemberEntry};

fn vm(last: u8) -> VmAddress {
    format!("10.0.0.{last}").parse().expect("a valid address")
}

fn zone(name: &str) -> ZoneName {
    name.parse().expect("a valid name")
}

fn members(list: &[(u8, &str, MemberState)]) -> MemberSnapshot {
    let member = |(last, zone_name, state): &(u8, &str, MemberState)| MemberEntry {
        vm: vm(*last),
        zone: zone(zone_name),
        incarnation: IncarnationNumber(1),
        state: *state,
        digest: MemberDigest::default(),
    };
    MemberSnapshot::new(list.iter().map(member))
}

fn zone_of(count: u8) -> MemberSnapshot {
    let list: Vec<_> = (1..=count)
        .map(|last| (last, "a", MemberState::Alive))
        .collect();
    members(&list)
}

/// Each VM's source, by the order of the VMs.
fn sources(members: &MemberSnapshot, count: usize) -> Vec<Option<usize>> {
    let ranked = ranked_vms(members, &zone("a"));
    expect_that!(ranked.len(), eq(count));
    let place = |vm| ranked.iter().position(|ranked| *ranked == vm);
    let source = |own: &VmAddress| match choose_source(members, *own, &zone("a"), &[], false) {
        ChangeSource::Store => None,
        ChangeSource::Vm(vm) => place(vm),
    };
    ranked.iter().map(source).collect()
}

#[gtest]
fn one_vm_of_a_zone_asks_and_the_others_follow_it() {
    let sources = sources(&zone_of(14), 14);
    expect_that!(sources[0], none());
    expect_that!(
        sources[1..].iter().all(|source| *source == Some(0)),
        eq(true)
    );
}

/// A change reaches a zone of 240 VMs over two others at most, and nobody tells more than a few.
#[gtest]
fn a_large_zone_is_told_by_a_tree() {
    let sources = sources(&zone_of(240), 240);
    let mut followers = vec![0; 240];
    for (place, source) in sources.iter().enumerate().skip(1) {
        let source = source.expect("all but the first follow");
        // Only VMs that come before are followed, so there is no circle.
        expect_that!(source, lt(place));
        followers[source] += 1;
        let level = std::iter::successors(Some(place), |place| sources[*place]).count() - 1;
        expect_that!(level, le(2));
    }
    expect_that!(followers.iter().max(), some(eq(&FOLLOWERS)));
}

/// Two VMs that know different members never follow each other.
#[gtest]
fn different_views_make_no_circle() {
    let all = zone_of(40);
    for missing in 1..=40 {
        let list: Vec<_> = (1..=40)
            .filter(|last| *last != missing)
            .map(|last| (last, "a", MemberState::Alive))
            .collect();
        let fewer = members(&list);
        let ranked = ranked_vms(&all, &zone("a"));
        let rank = |vm| ranked.iter().position(|ranked| *ranked == vm);
        for own in (1..=40).map(vm) {
            for view in [&all, &fewer] {
                if let ChangeSource::Vm(source) = choose_source(view, own, &zone("a"), &[], false)
                    && view.members().iter().any(|member| member.vm == own)
                {
                    expect_that!(rank(source), lt(rank(own)));
                }
            }
        }
    }
}

/// A VM whose source is no good goes up the tree before it asks the store.
#[gtest]
fn the_source_of_a_source_is_next() {
    let members = zone_of(240);
    let ranked = ranked_vms(&members, &zone("a"));
    let own = ranked[239];
    let source = |avoided: &[VmAddress]| choose_source(&members, own, &zone("a"), avoided, false);
    let parent = ranked[(239 - 1) / FOLLOWERS];
    expect_that!(source(&[]), eq(ChangeSource::Vm(parent)));
    expect_that!(source(&[parent]), eq(ChangeSource::Vm(ranked[0])));
    expect_that!(source(&[parent, ranked[0]]), eq(ChangeSource::Store));
}

#[gtest]
fn without_a_vm_to_follow_the_store_is_asked() {
    let nobody = MemberSnapshot::default();
    expect_that!(
        choose_source(&nobody, vm(1), &zone("a"), &[], false),
        eq(ChangeSource::Store)
    );
    let members = zone_of(3);
    let asking = asking_vm(&members, &zone("a")).expect("one asks");
    let follower = (1..=3)
        .map(vm)
        .find(|vm| *vm != asking)
        .expect("one follows");
    let source = choose_source(&members, follower, &zone("a"), &[asking], false);
    expect_that!(source, eq(ChangeSource::Store));
}

#[gtest]
fn a_vm_that_the_store_turns_away_follows_another() {
    let members = members(&[
        (1, "a", MemberState::Alive),
        (2, "b", MemberState::Alive),
        (3, "b", MemberState::Failed),
    ]);
    let own = choose_source(&members, vm(1), &zone("a"), &[], false);
    expect_that!(own, eq(ChangeSource::Store));
    let refused = choose_source(&members, vm(1), &zone("a"), &[], true);
    expect_that!(refused, eq(ChangeSource::Vm(vm(2))));
    let nobody_left = choose_source(&members, vm(1), &zone("a"), &[vm(2)], true);
    expect_that!(nobody_left, eq(ChangeSource::Store));
}
