use googletest::prelude::*;

use super::*;
use crate::ident::ZoneName;
use crate::topology::VmEntry;

const START: Duration = Duration::ZERO;

fn vm(number: u8) -> VmAddress {
    VmAddress([127, 0, 1, number].into())
}

fn index(name: &str) -> IndexName {
    name.parse().unwrap()
}

fn text(epoch: u64) -> Bytes {
    format!(r#"{{"epoch":{epoch},"versions":[]}}"#).into()
}

fn spread(own: u8, size: u8) -> CatalogSpread {
    let zone: ZoneName = "zone-a".parse().unwrap();
    let vms = (0..size).map(|number| VmEntry {
        vm: vm(number),
        zone: zone.clone(),
        incarnation: None,
        leaving: false,
    });
    let view = TopologyView::new(vms, []);
    let mut spread = CatalogSpread::new(ZonePeers::new(vm(own), zone.clone()), 5);
    spread.take_topology(&view);
    spread
}

fn epochs(name: &str, epoch: u64) -> Vec<CatalogEpoch> {
    let index = index(name);
    vec![CatalogEpoch { index, epoch }]
}

#[gtest]
fn a_lower_epoch_never_replaces_a_higher_one() {
    let mut spread = spread(0, 3);
    spread.take_indexes([index("tenders")]);
    for (epoch, taken) in [(5, true), (4, false), (5, false), (6, true), (0, false)] {
        let actions = spread.take_value(&index("tenders"), &text(epoch)).unwrap();
        let put = |action: &CatalogAction| matches!(action, CatalogAction::PutInForce(_, _));
        expect_that!(actions.iter().any(put), eq(taken), "{epoch}");
    }
}

#[gtest]
fn only_named_indexes_are_taken_and_malformed_ones_change_nothing() {
    let mut spread = spread(0, 3);
    spread.take_indexes([index("tenders")]);
    let other = spread.take_value(&index("awards"), &text(5));
    expect_that!(other.unwrap(), is_empty());
    let malformed = spread.take_value(&index("tenders"), &Bytes::from("{"));
    expect_that!(malformed, err(anything()));
    expect_that!(spread.answer(&epochs("tenders", 0)), is_empty());
}

#[gtest]
fn what_a_peer_holds_above_is_asked_for_once() {
    let mut spread = spread(0, 3);
    spread.take_indexes([index("tenders")]);
    spread.take_value(&index("tenders"), &text(5)).unwrap();
    expect_that!(
        spread.take_held(START, vm(1), &epochs("tenders", 5)),
        is_empty()
    );
    let asked = spread.take_held(START, vm(1), &epochs("tenders", 6));
    let ask = CatalogMessage::Ask(epochs("tenders", 5));
    expect_that!(asked, elements_are![eq(&CatalogAction::Send(vm(1), ask))]);
    expect_that!(
        spread.take_held(START, vm(2), &epochs("tenders", 6)),
        is_empty()
    );
    let later = START + ANSWER_TIMEOUT;
    expect_that!(
        spread.take_held(later, vm(2), &epochs("tenders", 6)).len(),
        eq(1)
    );
}

#[gtest]
fn each_index_has_two_watchers() {
    for size in [1_u8, 2, 9, 40] {
        let mut watches = 0;
        for own in 0..size {
            let actions = spread(own, size).take_indexes([index("tenders"), index("awards")]);
            watches += actions.len();
        }
        expect_that!(watches, eq(2 * usize::from(size.min(2))));
    }
}

#[gtest]
fn an_index_no_longer_named_is_no_longer_watched() {
    let mut spread = spread(0, 1);
    spread.take_indexes([index("tenders")]);
    let actions = spread.take_indexes([index("awards")]);
    let expected = [
        CatalogAction::Unwatch(index("tenders")),
        CatalogAction::Watch(index("awards")),
    ];
    expect_that!(actions, eq(&expected));
}
