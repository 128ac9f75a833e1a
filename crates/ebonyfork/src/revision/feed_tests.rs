use googletest::prelude::*;

use super::*;
use crate::topology::VmEntry;

fn vm(last_octet: u8) -> VmAddress {
    VmAddress([127, 0, 1, last_octet].into())
}

fn view(last_octets: impl IntoIterator<Item = u8>) -> TopologyView {
    let vms = last_octets.into_iter().map(|last_octet| VmEntry {
        vm: vm(last_octet),
        zone: "zone-a".parse().unwrap(),
        incarnation: None,
        leaving: false,
    });
    TopologyView::new(vms, [])
}

fn feed(vm_count: u8) -> FeedState {
    let mut feed = FeedState::new("config/head", vm(0), "zone-a".parse().unwrap(), 1);
    feed.apply_topology(&view(0..vm_count));
    feed
}

const START: Duration = Duration::ZERO;

#[gtest]
fn only_a_higher_revision_starts_a_pull_and_only_one_pull_runs() {
    let mut feed = feed(9);
    feed.record_held_revision(5);
    for (revision, starts_pull) in [(4, false), (5, false), (6, true), (7, false)] {
        let actions = feed.record_gossiped_revision(START, vm(1), revision);
        expect_that!(!actions.is_empty(), eq(starts_pull), "{revision}");
    }
}

#[gtest]
fn a_lower_revision_is_never_held() {
    let mut feed = feed(9);
    feed.record_held_revision(5);
    expect_that!(feed.record_held_revision(4).is_empty(), eq(true));
    expect_that!(feed.shown_revision(vm(0)), eq(5));
}

#[gtest]
fn a_pull_without_progress_is_repeated_with_another_peer() {
    let mut feed = feed(9);
    feed.record_gossiped_revision(START, vm(1), 6);
    feed.record_gossiped_revision(START, vm(2), 6);
    feed.record_pull_progress(START + PULL_TIMEOUT / 2);
    let early_actions: FeedActions = feed.tick(START + PULL_TIMEOUT);
    expect_that!(early_actions.contains(&FeedAction::Ask(vm(2))), eq(false));
    let late_actions = feed.tick(START + 2 * PULL_TIMEOUT);
    expect_that!(late_actions.contains(&FeedAction::Ask(vm(2))), eq(true));
}

#[gtest]
fn a_peer_that_fails_is_replaced_at_once() {
    let mut feed = feed(9);
    feed.record_gossiped_revision(START, vm(1), 6);
    feed.record_gossiped_revision(START, vm(2), 6);
    let actions = feed.record_pull_failure(START, vm(1));
    expect_that!(
        actions.as_slice(),
        elements_are![eq(&FeedAction::Ask(vm(2)))]
    );
}

#[gtest]
fn an_unusable_revision_is_not_fetched_again() {
    let mut feed = feed(9);
    feed.record_gossiped_revision(START, vm(1), 6);
    feed.record_rejected_revision(6);
    expect_that!(
        feed.record_gossiped_revision(START, vm(2), 6).is_empty(),
        eq(true)
    );
    expect_that!(
        feed.record_gossiped_revision(START, vm(2), 7).is_empty(),
        eq(false)
    );
}

#[gtest]
fn a_newly_held_revision_is_announced_to_peers_that_lack_it() {
    let mut feed = feed(4);
    feed.record_gossiped_revision(START, vm(1), 6);
    let actions = feed.record_held_revision(6);
    expect_that!(actions.contains(&FeedAction::Announce(vm(1))), eq(false));
    expect_that!(actions.contains(&FeedAction::Announce(vm(2))), eq(true));
    expect_that!(actions.contains(&FeedAction::Announce(vm(3))), eq(true));
}

#[gtest]
fn a_vm_that_holds_nothing_asks_more_often() {
    let count_asks = |held_revision| {
        let mut feed = feed(9);
        feed.record_held_revision(held_revision);
        let mut ask_count = 0;
        for tick in 0..100 {
            let actions = feed.tick(Duration::from_millis(200) * tick);
            ask_count += actions
                .iter()
                .filter(|action| matches!(action, FeedAction::Ask(_)))
                .count();
        }
        ask_count
    };
    expect_that!(count_asks(0), ge(40));
    expect_that!(count_asks(1), all!(ge(3), le(10)));
}

#[gtest]
fn a_distant_vm_seen_by_gossip_is_asked_after_partners_but_a_sender_at_once() {
    let distant_vm = vm(99);
    let mut feed = feed(9);
    expect_that!(
        feed.record_gossiped_revision(START, distant_vm, 6)
            .is_empty(),
        eq(true)
    );
    let actions = feed.record_received_revision(START, distant_vm, 6);
    expect_that!(
        actions.as_slice(),
        elements_are![eq(&FeedAction::Ask(distant_vm))]
    );
    let mut feed = self::feed(9);
    feed.record_gossiped_revision(START, distant_vm, 6);
    let asks_distant_vm = |actions: &FeedActions| actions.contains(&FeedAction::Ask(distant_vm));
    expect_that!(asks_distant_vm(&feed.tick(PARTNER_WAIT / 2)), eq(false));
    expect_that!(asks_distant_vm(&feed.tick(PARTNER_WAIT)), eq(true));
}
