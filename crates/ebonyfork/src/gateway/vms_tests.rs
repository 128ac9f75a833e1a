use googletest::prelude::*;

use super::*;
use crate::gateway::fixture::place;
use crate::gateway::policy::homes::HomeRegions;
use crate::ident::IncarnationNumber;
use crate::membership::fleet::Fleet;
use crate::membership::{MemberDigest, MemberEntry};

fn caller(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 80).into()
}

fn record(last: u8, zone: &str, region: &str) -> VmRecord {
    VmRecord {
        caller: caller(last),
        zone: zone.into(),
        region: region.into(),
        cores: 0.25,
        vms: 1,
    }
}

/// Creates the directory of VM 10.0.0.1 in north-a, with another VM in the same zone, two in north-b and two in
/// south-a.
fn directory() -> VmDirectory {
    let directory = VmDirectory::new(caller(1));
    let records = [
        record(1, "north-a", "north"),
        record(2, "north-a", "north"),
        record(3, "north-b", "north"),
        record(4, "north-b", "north"),
        record(5, "south-a", "south"),
        record(6, "south-a", "south"),
    ];
    for record in records {
        directory.put(&format!("vm/{}", record.caller).into(), record);
    }
    directory
}

fn members(states: &[(u8, MemberState)]) -> Arc<MemberSnapshot> {
    let member = |(last, state): &(u8, MemberState)| MemberEntry {
        vm: VmAddress(caller(*last).ip()),
        zone: "any".parse().expect("a valid name"),
        incarnation: IncarnationNumber(1),
        state: *state,
        digest: MemberDigest::default(),
    };
    Arc::new(MemberSnapshot::new(states.iter().map(member)))
}

fn zone_shares_of(shares: &[(&str, f64)]) -> ZoneShares {
    let pair = |(zone, share): &(&str, f64)| (PlaceName::new(zone), *share);
    shares.iter().map(pair).collect()
}

fn locate(directory: &VmDirectory, shares: &ZoneShares, include_own: bool) -> Vec<u8> {
    let needs = HostNeeds {
        zones: shares.clone(),
        regions: HostRegions::default(),
    };
    locate_for_needs(directory, &place(), &needs, include_own)
}

fn locate_for_needs(
    directory: &VmDirectory,
    caller_place: &NodePlace,
    needs: &HostNeeds,
    include_own: bool,
) -> Vec<u8> {
    let place = place();
    let own_place = include_own.then_some(&place);
    let addresses = directory.locate(caller_place, needs, own_place);
    let last_byte = |address: &SocketAddr| match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    };
    addresses.iter().map(last_byte).collect()
}

/// Shares of the zones, and the VMs that the answer is expected to contain.
type LocateCase<'a> = (&'a [(&'a str, f64)], &'a [u8]);

#[gtest]
fn callers_go_to_vms_next_to_the_upstreams() {
    let directory = directory();
    let cases: [LocateCase<'_>; 5] = [
        (&[], &[1, 2]),
        (&[("north-a", 1.0), ("south-a", 1.0)], &[1, 2]),
        (&[("north-b", 1.0), ("south-a", 1.0)], &[3, 4]),
        (&[("south-a", 1.0)], &[5, 6]),
        (
            &[("north-a", 0.3), ("north-b", 0.3), ("south-a", 0.4)],
            &[1, 2],
        ),
    ];
    for (shares, expected) in cases {
        let located_vms = locate(&directory, &zone_shares_of(shares), true);
        expect_that!(located_vms, eq(&expected.to_vec()), "{shares:?}");
    }
}

/// Guards against sending callers of a host with home regions to other regions. They are told of VMs in their own
/// region, wherever the upstreams are; of VMs in a home region if their own has too few; of others only if there are
/// none in either.
#[gtest]
fn callers_of_limited_routes_go_to_their_own_region_or_a_home() {
    let directory = directory();
    let needs = |zones: &[(&str, f64)], region: &str| {
        let home_regions = HomeRegions::new([PlaceName::new(region)]);
        HostNeeds {
            zones: zone_shares_of(zones),
            regions: HostRegions::new([&home_regions]),
        }
    };
    let locate_vms = |needs: &HostNeeds| locate_for_needs(&directory, &place(), needs, true);
    expect_that!(
        locate_vms(&needs(&[("south-a", 1.0)], "south")),
        eq(&[1, 2, 3, 4])
    );
    expect_that!(locate_vms(&needs(&[], "south")), eq(&[1, 2]));
    expect_that!(
        locate_vms(&needs(&[("north-b", 1.0)], "north")),
        eq(&[3, 4])
    );
    let caller_place = NodePlace {
        zone: PlaceName::new("west-a"),
        region: PlaceName::new("west"),
        ..place()
    };
    let locate_vms = |needs: &HostNeeds| locate_for_needs(&directory, &caller_place, needs, true);
    expect_that!(
        locate_vms(&needs(&[("north-a", 1.0)], "south")),
        eq(&[5, 6])
    );
    expect_that!(locate_vms(&needs(&[], "west")), eq(&[1, 2, 3, 4, 5, 6]));
}

/// Guards against underestimating the fleet: two VMs that a registration reports are partitioned and their entries have
/// expired, but they may still run and send retries. Implausible numbers are capped.
#[gtest]
fn vms_reported_by_another_registration_count_as_possibly_running() {
    let directory = directory();
    expect_that!(directory.peak_count(), eq(6));
    let later_record = VmRecord {
        vms: 8,
        ..record(7, "north-a", "north")
    };
    directory.put(&"vm/7".into(), later_record);
    expect_that!((directory.count(), directory.peak_count()), eq((7, 8)));
    let implausible_record = VmRecord {
        vms: u32::MAX,
        ..record(8, "north-a", "north")
    };
    directory.put(&"vm/8".into(), implausible_record);
    expect_that!(directory.peak_count(), eq(MAX_REPORTED_VMS));
}

#[gtest]
fn failed_and_leaving_vms_are_left_out() {
    let directory = directory();
    directory.apply_members(members(&[(2, MemberState::Leaving)]));
    // One VM is left in the zone, so those of the region are included.
    expect_that!(
        locate(&directory, &zone_shares_of(&[]), true),
        elements_are![eq(&1), eq(&3), eq(&4)]
    );
    directory.apply_members(members(&[
        (2, MemberState::Failed),
        (3, MemberState::Suspect),
    ]));
    expect_that!(
        locate(&directory, &zone_shares_of(&[]), true),
        elements_are![eq(&1), eq(&4)]
    );
    expect_that!(directory.count(), eq(5));
}

#[gtest]
fn a_stopping_vm_does_not_list_itself() {
    let directory = directory();
    expect_that!(
        locate(&directory, &zone_shares_of(&[]), false),
        elements_are![eq(&2), eq(&3), eq(&4)]
    );
}

#[gtest]
fn an_expired_registration_of_a_running_vm_is_kept() {
    let directory = directory();
    directory.apply_members(members(&[(2, MemberState::Alive)]));
    for last in 1..=6 {
        directory.remove(&format!("vm/{}", caller(last)).into());
    }
    expect_that!(
        locate(&directory, &zone_shares_of(&[]), true),
        elements_are![eq(&1), eq(&2)]
    );
    expect_that!(directory.is_missing(&"vm/10.0.0.1:80".into()), eq(true));
}

/// Guards against keeping an expired registration forever: it ends once gossip reports the VM failed or leaving, or no
/// longer lists it.
#[gtest]
fn an_expired_registration_ends_when_gossip_no_longer_reports_the_vm() {
    for later_states in [
        &[(2, MemberState::Failed)][..],
        &[(2, MemberState::Leaving)],
        &[],
    ] {
        let directory = directory();
        directory.apply_members(members(&[(2, MemberState::Alive)]));
        directory.remove(&"vm/10.0.0.2:80".into());
        expect_that!(directory.count(), eq(6));
        directory.apply_members(members(later_states));
        expect_that!(directory.count(), eq(5), "{later_states:?}");
    }
}

#[gtest]
fn shares_count_shards_and_not_upstreams() {
    use std::time::Instant;

    use crate::gateway::fixture::entry;

    let registry = UpstreamRegistry::new();
    let now = Instant::now();
    let entries = [
        ("1", "s", "north-a"),
        ("2", "s", "north-a"),
        ("3", "t", "south-a"),
    ];
    for (instance, service, zone) in entries {
        registry.put(
            &instance.into(),
            entry(instance, service, zone, caller(9)),
            now,
            1,
        );
    }
    let shards = [UpstreamService::new("s"), UpstreamService::new("t")];
    let shares = zone_shares(&registry, &shards);
    expect_that!(shares[&PlaceName::new("north-a")], eq(0.5));
    expect_that!(shares[&PlaceName::new("south-a")], eq(0.5));
}

/// Guards against a VM claiming too much of the retry budget. A store restored from an older copy may contain a single
/// registration; a VM that starts just then must not compute its share of the slack for a fleet of two VMs.
#[gtest]
fn vms_alive_in_gossip_count_although_the_store_has_lost_them() {
    let directory = VmDirectory::new(caller(1));
    directory.put(&"vm/2".into(), record(2, "north-a", "north"));
    expect_that!(directory.peak_count(), eq(2));
    directory.apply_members(members(&[
        (1, MemberState::Alive),
        (2, MemberState::Alive),
        (3, MemberState::Suspect),
        (4, MemberState::Alive),
        (5, MemberState::Failed),
    ]));
    expect_that!(directory.peak_count(), eq(4));
}

/// Guards against naming a VM to callers for as long as its lease lasts, after all processes were killed and that one
/// did not come back: no process that has started since ever knew it alive.
#[gtest]
fn a_vm_that_did_not_come_back_after_a_kill_of_all_is_not_named() {
    // Callers may be told of a lost VM for 9 s, one of which has passed when the others start.
    const LAST_NAMED_S: u64 = 8;
    let mut fleet = Fleet::new(4, 4);
    fleet.running[1] = false;
    fleet.run(LAST_NAMED_S);
    for observer in [0, 2, 3] {
        let own_address = caller(observer + 1);
        let directory = VmDirectory::new(own_address);
        for last in 1..=4 {
            directory.put(
                &format!("vm/{last}").into(),
                record(last, "north-a", "north"),
            );
        }
        directory.apply_members(Arc::new(fleet.nodes[usize::from(observer)].snapshot()));
        let located_vms = locate(&directory, &zone_shares_of(&[]), true);
        expect_that!(located_vms, eq(&[1, 3, 4]), "observer {observer}");
    }
}

/// Guards against hiding a running VM for good: one that was paused or cut off until gossip called it failed, without
/// its lease having expired, does not register again when it returns.
#[gtest]
fn a_vm_that_returns_from_failure_is_named_again() {
    let directory = directory();
    directory.apply_members(members(&[(2, MemberState::Failed)]));
    expect_that!(directory.count(), eq(5));
    directory.apply_members(members(&[(2, MemberState::Alive)]));
    expect_that!(directory.count(), eq(6));
    expect_that!(
        locate(&directory, &zone_shares_of(&[]), true),
        elements_are![eq(&1), eq(&2)]
    );
    directory.apply_members(members(&[(2, MemberState::Failed)]));
    directory.remove(&"vm/10.0.0.2:80".into());
    directory.apply_members(members(&[]));
    expect_that!(directory.count(), eq(5));
}

/// One record with an infinite or no number of cores, written by another program, made all weak VMs take requests.
#[gtest]
fn a_record_whose_cores_are_out_of_range_names_no_vm() {
    for cores in [
        f32::NAN,
        f32::INFINITY,
        f32::NEG_INFINITY,
        -1.0,
        0.0,
        f32::MAX,
    ] {
        let odd = VmRecord {
            cores,
            ..record(2, "north-a", "north")
        };
        let bytes = postcard::to_stdvec(&odd).expect("encoded");
        expect_that!(
            postcard::from_bytes::<VmRecord>(&bytes).is_err(),
            eq(true),
            "{cores}"
        );
    }
    let good = record(2, "north-a", "north");
    let bytes = postcard::to_stdvec(&good).expect("encoded");
    expect_that!(postcard::from_bytes::<VmRecord>(&bytes), ok(eq(&good)));
}
