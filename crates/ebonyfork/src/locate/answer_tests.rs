use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::membership::{MemberDigest, MemberEntry, MemberState};
use crate::topology::VmEntry;

fn vm(number: u32) -> VmAddress {
    VmAddress(std::net::Ipv4Addr::from(0x0a00_0000 + number).into())
}

fn vm_entry(number: u32, zone: &str) -> VmEntry {
    VmEntry {
        vm: vm(number),
        zone: zone.parse().unwrap(),
        incarnation: Some(IncarnationNumber(u64::from(number))),
        leaving: false,
    }
}

fn settings() -> LocateSettings {
    LocateSettings {
        session: SessionId::new(vm(1), IncarnationNumber(1)),
        zone: "a".parse().unwrap(),
        caller_port: 7100,
        ttl: Duration::from_secs(5),
    }
}

fn locate(vms: &[VmEntry], organisation: Option<&str>, rng: &mut ChaCha8Rng) -> LocateAnswer {
    let view = TopologyView::new(vms.iter().cloned(), []);
    let organisation = organisation.map(|name| name.parse().unwrap());
    let members = MemberSnapshot::default();
    locate_addresses(&view, &members, &settings(), organisation.as_ref(), rng)
}

#[gtest]
fn the_first_address_is_local_and_leaving_or_unknown_vms_are_left_out() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let leaving_vm = VmEntry {
        leaving: true,
        ..vm_entry(3, "a")
    };
    let unknown_vm = VmEntry {
        incarnation: None,
        ..vm_entry(4, "a")
    };
    // Each case holds the VMs of the view, the VMs that may come first in the answer, and the number of addresses.
    let cases = [
        (vec![], vec![1], 1),
        (vec![vm_entry(1, "a")], vec![1], 1),
        (vec![vm_entry(1, "a"), vm_entry(2, "a")], vec![1, 2], 2),
        (
            vec![vm_entry(1, "a"), leaving_vm.clone(), unknown_vm.clone()],
            vec![1],
            1,
        ),
        (vec![leaving_vm, unknown_vm, vm_entry(5, "b")], vec![5], 1),
        (
            vec![vm_entry(1, "a"), vm_entry(5, "b"), vm_entry(6, "c")],
            vec![1],
            3,
        ),
    ];
    for (vms, first_vms, address_count) in cases {
        for _round in 0..20 {
            let answer = locate(&vms, None, &mut rng);
            let first_vm = answer.session.vm;
            expect_that!(
                first_vms.iter().any(|number| vm(*number) == first_vm),
                eq(true)
            );
            expect_that!(answer.addresses[0].ip(), eq(first_vm.0));
            expect_that!(answer.addresses.len(), eq(address_count), "{vms:?}");
        }
    }
}

#[gtest]
fn the_last_address_is_in_another_zone() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let vms: Vec<_> = (1..20)
        .map(|number| vm_entry(number, if number < 10 { "a" } else { "b" }))
        .collect();
    for _round in 0..50 {
        let answer = locate(&vms, Some("roofers"), &mut rng);
        let is_remote: Vec<bool> = answer
            .addresses
            .iter()
            .map(|address| address.ip() >= vm(10).0)
            .collect();
        expect_that!(
            is_remote,
            elements_are![eq(&false), eq(&false), eq(&false), eq(&true)]
        );
    }
}

#[gtest]
fn an_organisation_keeps_its_subset_when_vms_come_and_go() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut vms: Vec<_> = (1..=490).map(|number| vm_entry(number, "a")).collect();
    let mut first_vms = |vms: &[VmEntry]| -> BTreeSet<VmAddress> {
        (0..400)
            .map(|_| locate(vms, Some("roofers"), &mut rng).session.vm)
            .collect()
    };
    let vms_before = first_vms(&vms);
    expect_that!(vms_before.len(), eq(INITIAL_SUBSET_SIZE));
    vms.retain(|entry| entry.vm != *vms_before.first().unwrap());
    let vms_after = first_vms(&vms);
    expect_that!(
        vms_after.intersection(&vms_before).count(),
        eq(INITIAL_SUBSET_SIZE - 1)
    );
}

#[gtest]
fn a_loaded_vm_is_first_less_often() {
    let vms = [
        vm_entry(1, "a"),
        vm_entry(2, "a"),
        vm_entry(3, "a"),
        vm_entry(4, "a"),
    ];
    let members = MemberSnapshot::new(vms.iter().map(|entry| MemberEntry {
        vm: entry.vm,
        zone: entry.zone.clone(),
        incarnation: entry.incarnation.unwrap(),
        state: MemberState::Alive,
        digest: MemberDigest {
            load: if entry.vm == vm(4) { 900 } else { 100 },
            ..MemberDigest::default()
        },
    }));
    let view = TopologyView::new(vms, []);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut answer_counts: BTreeMap<VmAddress, u32> = BTreeMap::new();
    for _round in 0..1_000 {
        let answer = locate_addresses(&view, &members, &settings(), None, &mut rng);
        *answer_counts.entry(answer.session.vm).or_default() += 1;
    }
    expect_that!(answer_counts.get(&vm(4)), none());
    expect_that!(answer_counts[&vm(1)], all![gt(250), lt(420)]);
}

#[gtest]
fn an_organisation_that_fills_its_subset_gets_a_larger_one() {
    let vms: Vec<_> = (1..=200).map(|number| vm_entry(number, "a")).collect();
    let view = TopologyView::new(vms.iter().cloned(), []);
    let organisation = "roofers".parse().unwrap();
    let mut vms_before = BTreeSet::new();
    // Each case holds the load of every VM in per mille, and the number of VMs that serve the organisation at that
    // load.
    for (load, subset_size) in [(0, 8), (599, 8), (600, 128), (1_000, 128)] {
        let members = MemberSnapshot::new(vms.iter().map(|entry| MemberEntry {
            vm: entry.vm,
            zone: entry.zone.clone(),
            incarnation: entry.incarnation.unwrap(),
            state: MemberState::Alive,
            digest: MemberDigest {
                load,
                ..MemberDigest::default()
            },
        }));
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let first_vms: BTreeSet<VmAddress> = (0..4_000)
            .map(|_| {
                let organisation = Some(&organisation);
                locate_addresses(&view, &members, &settings(), organisation, &mut rng)
                    .session
                    .vm
            })
            .collect();
        expect_that!(first_vms.len(), eq(subset_size), "{load}");
        expect_that!(first_vms.is_superset(&vms_before), eq(true), "{load}");
        vms_before = first_vms;
    }
}
