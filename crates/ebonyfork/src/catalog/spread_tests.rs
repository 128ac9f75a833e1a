use googletest::prelude::*;

use super::*;
use crate::ident::ZoneName;
use crate::topology::VmEntry;

const START: Duration = Duration::ZERO;

fn vm(last_octet: u8) -> VmAddress {
    VmAddress([127, 0, 1, last_octet].into())
}

fn index(name: &str) -> IndexName {
    name.parse().unwrap()
}

fn catalog_text(epoch: u64) -> Bytes {
    format!(r#"{{"epoch":{epoch},"versions":[]}}"#).into()
}

fn spread(own_octet: u8, vm_count: u8) -> CatalogSpread {
    let zone: ZoneName = "zone-a".parse().unwrap();
    let vms = (0..vm_count).map(|last_octet| VmEntry {
        vm: vm(last_octet),
        zone: zone.clone(),
        incarnation: None,
        leaving: false,
    });
    let view = TopologyView::new(vms, []);
    let mut spread = CatalogSpread::new(ZonePeers::new(vm(own_octet), zone.clone()), 5);
    spread.apply_topology(&view);
    spread
}

fn epoch_entries(name: &str, epoch: u64) -> Vec<CatalogEpoch> {
    let index = index(name);
    vec![CatalogEpoch { index, epoch }]
}

#[gtest]
fn a_lower_epoch_never_replaces_a_higher_one() {
    let mut spread = spread(0, 3);
    spread.set_named_indexes([index("tenders")]);
    for (epoch, is_replaced) in [(5, true), (4, false), (5, false), (6, true), (0, false)] {
        let actions = spread
            .apply_catalog(&index("tenders"), &catalog_text(epoch))
            .unwrap();
        let is_put_in_force =
            |action: &CatalogAction| matches!(action, CatalogAction::PutInForce(_, _));
        expect_that!(
            actions.iter().any(is_put_in_force),
            eq(is_replaced),
            "{epoch}"
        );
    }
}

#[gtest]
fn catalogues_of_unnamed_indexes_and_malformed_catalogues_are_ignored() {
    let mut spread = spread(0, 3);
    spread.set_named_indexes([index("tenders")]);
    let unnamed_result = spread.apply_catalog(&index("awards"), &catalog_text(5));
    expect_that!(unnamed_result.unwrap(), is_empty());
    let malformed_result = spread.apply_catalog(&index("tenders"), &Bytes::from("{"));
    expect_that!(malformed_result, err(anything()));
    expect_that!(
        spread.newer_catalogs(&epoch_entries("tenders", 0)),
        is_empty()
    );
}

#[gtest]
fn a_catalogue_with_a_higher_epoch_is_requested_once() {
    let mut spread = spread(0, 3);
    spread.set_named_indexes([index("tenders")]);
    spread
        .apply_catalog(&index("tenders"), &catalog_text(5))
        .unwrap();
    expect_that!(
        spread.apply_peer_epochs(START, vm(1), &epoch_entries("tenders", 5)),
        is_empty()
    );
    let actions = spread.apply_peer_epochs(START, vm(1), &epoch_entries("tenders", 6));
    let request = CatalogMessage::Ask(epoch_entries("tenders", 5));
    expect_that!(
        actions,
        elements_are![eq(&CatalogAction::Send(vm(1), request))]
    );
    expect_that!(
        spread.apply_peer_epochs(START, vm(2), &epoch_entries("tenders", 6)),
        is_empty()
    );
    let retry_time = START + ANSWER_TIMEOUT;
    expect_that!(
        spread
            .apply_peer_epochs(retry_time, vm(2), &epoch_entries("tenders", 6))
            .len(),
        eq(1)
    );
}

#[gtest]
fn each_index_has_two_watchers_per_zone() {
    for vm_count in [1_u8, 2, 9, 40] {
        let mut watcher_count = 0;
        for own_octet in 0..vm_count {
            let actions =
                spread(own_octet, vm_count).set_named_indexes([index("tenders"), index("awards")]);
            watcher_count += actions.len();
        }
        expect_that!(watcher_count, eq(2 * usize::from(vm_count.min(2))));
    }
}

#[gtest]
fn an_index_no_longer_named_is_no_longer_watched() {
    let mut spread = spread(0, 1);
    spread.set_named_indexes([index("tenders")]);
    let actions = spread.set_named_indexes([index("awards")]);
    let expected_actions = [
        CatalogAction::Unwatch(index("tenders")),
        CatalogAction::Watch(index("awards")),
    ];
    expect_that!(actions, eq(&expected_actions));
}
