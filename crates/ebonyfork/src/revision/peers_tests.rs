use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::*;
use crate::topology::VmEntry;

fn vm(last_octet: u8) -> VmAddress {
    VmAddress([127, 0, 1, last_octet].into())
}

fn view(members: &[(u8, &str, bool)]) -> TopologyView {
    let vms = members
        .iter()
        .map(|(last_octet, zone, is_leaving)| VmEntry {
            vm: vm(*last_octet),
            zone: zone.parse().unwrap(),
            incarnation: None,
            leaving: *is_leaving,
        });
    TopologyView::new(vms, [])
}

fn watchers(view: &TopologyView, key: &str) -> Vec<VmAddress> {
    let mut watchers = Vec::new();
    for entry in view.vms.values() {
        let mut peers = ZonePeers::new(entry.vm, entry.zone.clone());
        peers.update(view);
        if peers.is_watcher(key) {
            watchers.push(entry.vm);
        }
    }
    watchers
}

#[gtest]
fn each_zone_has_two_watchers_whatever_its_size() {
    for zone_size in [1, 2, 3, 30, 100] {
        let mut members = Vec::new();
        for last_octet in 0..zone_size {
            members.push((last_octet, "zone-a", false));
            members.push((last_octet + 100, "zone-b", false));
        }
        let expected_count = 2 * usize::from(zone_size.min(2));
        expect_that!(
            watchers(&view(&members), "config/head").len(),
            eq(expected_count)
        );
    }
}

#[gtest]
fn a_leaving_vm_stops_watching_and_another_takes_over() {
    let active_members: Vec<_> = (0..10)
        .map(|last_octet| (last_octet, "zone-a", false))
        .collect();
    let watchers_before = watchers(&view(&active_members), "config/head");
    let leaving_vm = watchers_before[0];
    let members_with_leaving: Vec<_> = (0..10)
        .map(|last_octet| (last_octet, "zone-a", vm(last_octet) == leaving_vm))
        .collect();
    let watchers_after = watchers(&view(&members_with_leaving), "config/head");
    expect_that!(watchers_after.len(), eq(2));
    expect_that!(watchers_after, not(contains(eq(&leaving_vm))));
    expect_that!(watchers_after, contains(eq(&watchers_before[1])));
}

#[gtest]
fn announce_targets_are_distinct_and_ask_targets_are_mostly_near() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut members: Vec<_> = (0..20)
        .map(|last_octet| (last_octet, "zone-a", false))
        .collect();
    members.push((99, "zone-b", false));
    let mut peers = ZonePeers::new(vm(0), "zone-a".parse().unwrap());
    expect_that!(peers.draw_ask_target(&mut rng), none());
    peers.update(&view(&members));
    let mut targets = peers.draw_announce_targets(&mut rng).to_vec();
    targets.sort_unstable();
    targets.dedup();
    expect_that!(targets.len(), eq(ANNOUNCE_FAN_OUT));
    let far_asks = (0..400).filter(|_| peers.draw_ask_target(&mut rng) == Some(vm(99)));
    expect_that!(far_asks.count(), all!(ge(50), le(150)));
}

#[gtest]
fn partners_are_few_and_stay_when_another_vm_leaves() {
    let mut members: Vec<_> = (0..100)
        .map(|last_octet| (last_octet, "zone-a", false))
        .collect();
    members.extend((100..200).map(|last_octet| (last_octet, "zone-b", false)));
    let partners = |members: &[(u8, &str, bool)]| {
        let mut peers = ZonePeers::new(vm(0), "zone-a".parse().unwrap());
        peers.update(&view(members));
        let all_vms = (0..200).map(vm);
        all_vms
            .filter(|vm| peers.is_partner(*vm))
            .collect::<Vec<_>>()
    };
    let partners_before = partners(&members);
    expect_that!(
        partners_before.len(),
        eq(NEAR_PARTNER_COUNT + FAR_PARTNER_COUNT)
    );
    let removed_vm = partners_before[0];
    members.retain(|(last_octet, _, _)| vm(*last_octet) != removed_vm);
    let partners_after = partners(&members);
    let kept_count = partners_before
        .iter()
        .filter(|vm| partners_after.contains(vm))
        .count();
    expect_that!(kept_count, eq(partners_before.len() - 1));
}
