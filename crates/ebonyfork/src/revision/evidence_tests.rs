use googletest::prelude::*;

use super::*;
use crate::revision::ChangeId;
use crate::topology::VmEntry;

fn vm(number: u8) -> VmAddress {
    VmAddress([127, 0, 1, number].into())
}

fn zone() -> ZoneName {
    "zone-a".parse().unwrap()
}

fn view(numbers: &[u8], leaving: &[u8]) -> TopologyView {
    let vms = numbers.iter().map(|number| VmEntry {
        vm: vm(*number),
        zone: zone(),
        incarnation: None,
        leaving: leaving.contains(number),
    });
    TopologyView::new(vms, [])
}

fn held(revision: u64) -> HeadRecord {
    HeadRecord {
        revision: RevisionNumber(revision),
        change: ChangeId([1; 16]),
    }
}

const START: Duration = Duration::ZERO;

struct Zone {
    feed: FeedState,
    evidence: EvidenceState,
}

impl Zone {
    fn new(numbers: &[u8]) -> Self {
        let mut zone = Self {
            feed: FeedState::new("config/head", vm(0), zone(), 1),
            evidence: EvidenceState::new(vm(0), zone()),
        };
        zone.show(START, numbers, &[]);
        zone.feed.note_held(7);
        zone
    }

    fn show(&mut self, now: Duration, numbers: &[u8], leaving: &[u8]) {
        let view = view(numbers, leaving);
        self.evidence.take_topology(now, &view, &self.feed);
        self.feed.take_topology(&view);
    }

    fn lowest(&mut self, now: Duration) -> u64 {
        let evidence = self.evidence.due(now, 0, held(7), &self.feed);
        evidence.expect("due").lowest.0
    }
}

#[gtest]
fn a_vm_counts_with_what_it_has_shown_and_zero_before() {
    let mut zone = Zone::new(&[0, 1, 2]);
    zone.feed.note_peer(START, vm(1), 7);
    expect_that!(zone.lowest(START), eq(0));
    zone.feed.note_peer(START, vm(2), 7);
    expect_that!(zone.lowest(Duration::from_secs(1)), eq(7));
    zone.feed.note_peer(START, vm(2), 0);
    expect_that!(zone.lowest(Duration::from_secs(2)), eq(0));
}

#[gtest]
fn a_vanished_vm_counts_until_it_must_have_fenced_itself() {
    let second = Duration::from_secs(1);
    let mut zone = Zone::new(&[0, 1]);
    zone.feed.note_peer(START, vm(1), 6);
    zone.show(second, &[0], &[]);
    expect_that!(zone.lowest(second), eq(6));
    expect_that!(zone.lowest(second + FENCE_DELAY), eq(7));
}

#[gtest]
fn a_vm_that_announced_its_stop_doesnt_count_once_it_is_gone() {
    let second = Duration::from_secs(1);
    let mut zone = Zone::new(&[0, 1]);
    zone.show(START, &[0, 1], &[1]);
    expect_that!(zone.lowest(START), eq(0));
    zone.show(second, &[0], &[]);
    expect_that!(zone.lowest(second), eq(7));
}

#[gtest]
fn evidence_is_written_on_change_and_now_and_then() {
    let mut zone = Zone::new(&[0, 1]);
    zone.feed.note_peer(START, vm(1), 7);
    let mut written = Vec::new();
    for tick in 0..101 {
        let now = Duration::from_millis(200) * tick;
        if zone.evidence.due(now, 0, held(7), &zone.feed).is_some() {
            written.push(now.as_secs());
        }
    }
    expect_that!(written, elements_are![eq(&0), eq(&10), eq(&20)]);
    zone.evidence.note_failure();
    let soon = Duration::from_secs(21);
    expect_that!(
        zone.evidence.due(soon, 0, held(7), &zone.feed),
        some(anything())
    );
}

#[gtest]
fn a_process_that_has_just_started_counts_as_holding_nothing() {
    let started = 1_000_000;
    let vms = [0, 1].map(|number| VmEntry {
        vm: vm(number),
        zone: zone(),
        incarnation: (number == 1).then_some(crate::ident::IncarnationNumber(started)),
        leaving: false,
    });
    let mut zone = Zone::new(&[0]);
    let view = TopologyView::new(vms, []);
    zone.evidence.take_topology(START, &view, &zone.feed);
    zone.feed.take_topology(&view);
    zone.feed.note_peer(START, vm(1), 7);
    for (age_ms, lowest) in [(0, 0), (SETTLE_MS - 1_000, 0), (SETTLE_MS, 7)] {
        let now = Duration::from_millis(age_ms + 1_000);
        let evidence = zone
            .evidence
            .due(now, started + age_ms, held(7), &zone.feed);
        expect_that!(
            evidence.map(|evidence| evidence.lowest.0),
            some(eq(lowest)),
            "{age_ms}"
        );
        zone.evidence.note_failure();
    }
}

#[gtest]
fn vms_that_vanish_together_count_on_because_they_may_hear_each_other() {
    let second = Duration::from_secs(1);
    let mut zone = Zone::new(&[0, 1, 2]);
    zone.feed.note_peer(START, vm(1), 6);
    zone.feed.note_peer(START, vm(2), 7);
    zone.show(second, &[0, 2], &[]);
    zone.show(2 * second, &[0], &[]);
    expect_that!(zone.lowest(2 * second + FENCE_DELAY), eq(6));
    expect_that!(zone.lowest(second + GROUP_DELAY), eq(7));
}
