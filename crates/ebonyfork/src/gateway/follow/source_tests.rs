use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;
use crate::membership::{MemberDigest, MemberEntry};

fn vm(host_number: u8) -> VmAddress {
    format!("10.0.0.{host_number}")
        .parse()
        .expect("a valid address")
}

fn zone(name: &str) -> ZoneName {
    name.parse().expect("a valid name")
}

fn members(vm_entries: &[(u8, &str, MemberState)]) -> MemberSnapshot {
    let member = |(host_number, zone_name, state): &(u8, &str, MemberState)| MemberEntry {
        vm: vm(*host_number),
        zone: zone(zone_name),
        incarnation: IncarnationNumber(1),
        state: *state,
        digest: MemberDigest::default(),
    };
    MemberSnapshot::new(vm_entries.iter().map(member))
}

/// Returns members with consecutive addresses, all alive and in the same zone.
fn zone_with_vms(count: u8) -> MemberSnapshot {
    let vm_entries: Vec<_> = (1..=count)
        .map(|host_number| (host_number, "a", MemberState::Alive))
        .collect();
    members(&vm_entries)
}

#[gtest]
fn one_vm_of_a_zone_reads_the_store_and_the_others_follow_it() {
    let members = zone_with_vms(14);
    let readers = store_readers(&members, &zone("a"));
    expect_that!(readers.len(), eq(STORE_READERS_PER_ZONE));
    let mut follower_counts = [0; STORE_READERS_PER_ZONE];
    for host_number in 1..=14 {
        match choose_source(&members, vm(host_number), &zone("a"), &[], false) {
            ChangeSource::Store => expect_that!(readers.contains(&vm(host_number)), eq(true)),
            ChangeSource::Vm(source) => {
                let index = readers.iter().position(|reader| *reader == source);
                follower_counts[index.expect("only store readers are followed")] += 1;
            }
        }
    }
    expect_that!(follower_counts.iter().sum::<i32>(), eq(13));
    expect_that!(follower_counts.iter().all(|count| *count > 0), eq(true));
}

/// No VM has more than [`MAX_FOLLOWERS`] followers: if one VM sent to all others of its zone, its load would grow with
/// the zone.
#[gtest]
fn the_follower_tree_is_bounded_and_rooted_at_a_store_reader() {
    for vm_count in [2, 17, 18, 100, 250] {
        let members = zone_with_vms(vm_count);
        let mut follower_counts = std::collections::BTreeMap::new();
        let mut readers = 0;
        for host_number in 1..=vm_count {
            let mut current_vm = vm(host_number);
            let mut step_count = 0;
            while let ChangeSource::Vm(source) =
                choose_source(&members, current_vm, &zone("a"), &[], false)
            {
                if step_count == 0 {
                    *follower_counts.entry(source).or_insert(0) += 1;
                }
                step_count += 1;
                current_vm = source;
            }
            readers += i32::from(step_count == 0);
            expect_that!(step_count, le(3), "VM {host_number} of {vm_count}");
        }
        expect_that!(readers, eq(STORE_READERS_PER_ZONE as i32));
        expect_that!(follower_counts.values().max(), some(le(&MAX_FOLLOWERS)));
    }
}

/// Load pattern: the copy of a zone's store reader becomes stale, and with it those of all its followers at the same
/// moment. One of them must read the store instead, and not the whole zone.
#[gtest]
fn vms_that_avoid_their_reader_follow_one_other_vm() {
    for vm_count in [17, 100, 250] {
        let members = zone_with_vms(vm_count);
        let reader = store_readers(&members, &zone("a"))[0];
        let mut new_readers = Vec::new();
        let mut follower_counts = std::collections::BTreeMap::new();
        for host_number in 1..=vm_count {
            if vm(host_number) == reader {
                continue;
            }
            match choose_source(&members, vm(host_number), &zone("a"), &[reader], false) {
                ChangeSource::Store => new_readers.push(vm(host_number)),
                ChangeSource::Vm(source) => *follower_counts.entry(source).or_insert(0) += 1,
            }
        }
        expect_that!(
            new_readers.len(),
            eq(STORE_READERS_PER_ZONE),
            "{vm_count} VMs"
        );
        expect_that!(follower_counts.contains_key(&reader), eq(false));
        expect_that!(follower_counts.values().max(), some(le(&MAX_FOLLOWERS)));
        for host_number in 1..=vm_count {
            let mut current_vm = vm(host_number);
            let mut step_count = 0;
            while let ChangeSource::Vm(source) =
                choose_source(&members, current_vm, &zone("a"), &[reader], false)
            {
                current_vm = source;
                step_count += 1;
                expect_that!(step_count, le(3), "VM {host_number} of {vm_count}");
            }
            let is_reader = current_vm == reader || new_readers.contains(&current_vm);
            expect_that!(is_reader, eq(true), "VM {host_number} of {vm_count}");
        }
    }
}

/// A VM never follows one that it avoids, and its chain of sources still ends at the zone's reader.
#[gtest]
fn a_vm_that_avoids_its_source_follows_another_one() {
    let members = zone_with_vms(100);
    let reader = store_readers(&members, &zone("a"))[0];
    for host_number in 1..=100 {
        let source = choose_source(&members, vm(host_number), &zone("a"), &[], false);
        let ChangeSource::Vm(first_source) = source else {
            continue;
        };
        if first_source == reader {
            continue;
        }
        let mut current_vm = vm(host_number);
        while let ChangeSource::Vm(source) =
            choose_source(&members, current_vm, &zone("a"), &[first_source], false)
        {
            expect_that!(source, not(eq(first_source)), "VM {host_number}");
            current_vm = source;
        }
        expect_that!(current_vm, eq(reader), "VM {host_number}");
    }
}

#[gtest]
fn without_a_vm_to_follow_the_store_is_the_source() {
    let no_members = MemberSnapshot::default();
    expect_that!(
        choose_source(&no_members, vm(1), &zone("a"), &[], false),
        eq(ChangeSource::Store)
    );
    let members = zone_with_vms(3);
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
    let source = choose_source(&members, vm(1), &zone("a"), &[], false);
    expect_that!(source, eq(ChangeSource::Store));
    let refused_source = choose_source(&members, vm(1), &zone("a"), &[], true);
    expect_that!(refused_source, eq(ChangeSource::Vm(vm(2))));
    let last_source = choose_source(&members, vm(1), &zone("a"), &[vm(2)], true);
    expect_that!(last_source, eq(ChangeSource::Store));
}
