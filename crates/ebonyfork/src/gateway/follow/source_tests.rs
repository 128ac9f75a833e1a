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
fn one_vm_of_a_zone_asks_and_the_others_follow_it() {
    let members = zone_of(14);
    let asking = asking_vms(&members, &zone("a"));
    expect_that!(asking.len(), eq(ASKING_VMS));
    let mut followers = [0; ASKING_VMS];
    for last in 1..=14 {
        match choose_source(&members, vm(last), &zone("a"), &[], false) {
            ChangeSource::Store => expect_that!(asking.contains(&vm(last)), eq(true)),
            ChangeSource::Vm(source) => {
                let place = asking.iter().position(|asked| *asked == source);
                followers[place.expect("only those that ask are followed")] += 1;
            }
        }
    }
    expect_that!(followers.iter().sum::<i32>(), eq(13));
    expect_that!(followers.iter().all(|count| *count > 0), eq(true));
}

#[gtest]
fn without_a_vm_to_follow_the_store_is_asked() {
    let nobody = MemberSnapshot::default();
    expect_that!(
        choose_source(&nobody, vm(1), &zone("a"), &[], false),
        eq(ChangeSource::Store)
    );
    let members = zone_of(3);
    let asking = asking_vms(&members, &zone("a"));
    let follower = (1..=3)
        .map(vm)
        .find(|vm| !asking.contains(vm))
        .expect("one follows");
    let source = choose_source(&members, follower, &zone("a"), &asking, false);
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
