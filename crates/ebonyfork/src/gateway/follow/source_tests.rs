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

#[gtest]
fn one_vm_of_a_zone_reads_the_store_and_the_others_follow_it() {
    let members = zone_of(14);
    let readers = store_readers(&members, &zone("a"));
    expect_that!(readers.len(), eq(STORE_READERS_PER_ZONE));
    let mut followers = [0; STORE_READERS_PER_ZONE];
    for last in 1..=14 {
        match choose_source(&members, vm(last), &zone("a"), &[], false) {
            ChangeSource::Store => expect_that!(readers.contains(&vm(last)), eq(true)),
            ChangeSource::Vm(source) => {
                let index = readers.iter().position(|reader| *reader == source);
                followers[index.expect("only store readers are followed")] += 1;
            }
        }
    }
    expect_that!(followers.iter().sum::<i32>(), eq(13));
    expect_that!(followers.iter().all(|count| *count > 0), eq(true));
}

/// When one VM sent to all others of its zone, its load grew with the zone.
#[gtest]
fn the_follower_tree_is_bounded_and_rooted_at_a_store_reader() {
    for count in [2, 17, 18, 100, 250] {
        let members = zone_of(count);
        let mut followers = std::collections::BTreeMap::new();
        let mut readers = 0;
        for last in 1..=count {
            let mut current = vm(last);
            let mut steps = 0;
            while let ChangeSource::Vm(source) =
                choose_source(&members, current, &zone("a"), &[], false)
            {
                if steps == 0 {
                    *followers.entry(source).or_insert(0) += 1;
                }
                steps += 1;
                current = source;
            }
            readers += i32::from(steps == 0);
            expect_that!(steps, le(3), "VM {last} of {count}");
        }
        expect_that!(readers, eq(STORE_READERS_PER_ZONE as i32));
        expect_that!(followers.values().max(), some(le(&MAX_FOLLOWERS)));
    }
}

#[gtest]
fn a_vm_that_avoids_its_source_follows_the_next_ancestor() {
    let members = zone_of(100);
    let source = |last: u8, avoided: &[VmAddress]| {
        choose_source(&members, vm(last), &zone("a"), avoided, false)
    };
    let reader = store_readers(&members, &zone("a"))[0];
    for last in 1..=100 {
        let ChangeSource::Vm(first) = source(last, &[]) else {
            continue;
        };
        let next = source(last, &[first]);
        if first == reader {
            expect_that!(next, eq(ChangeSource::Store), "VM {last}");
        } else {
            expect_that!(next, eq(ChangeSource::Vm(reader)), "VM {last}");
        }
    }
}

#[gtest]
fn without_a_vm_to_follow_the_store_is_the_source() {
    let nobody = MemberSnapshot::default();
    expect_that!(
        choose_source(&nobody, vm(1), &zone("a"), &[], false),
        eq(ChangeSource::Store)
    );
    let members = zone_of(3);
    let readers = store_readers(&members, &zone("a"));
    let follower = (1..=3)
        .map(vm)
        .find(|vm| !readers.contains(vm))
        .expect("a follower");
    let source = choose_source(&members, follower, &zone("a"), &readers, false);
    expect_that!(source, eq(ChangeSource::Store));
}

#[gtest]
fn a_vm_that_the_store_refuses_follows_another_vm() {
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
