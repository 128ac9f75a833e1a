use googletest::prelude::*;

use super::*;
use crate::revision::ChangeId;
use crate::topology::VmEntry;

fn vm(last_octet: u8) -> VmAddress {
    VmAddress([127, 0, 1, last_octet].into())
}

fn zone() -> ZoneName {
    "zone-a".parse().unwrap()
}

fn view(last_octets: &[u8], leaving_octets: &[u8]) -> TopologyView {
    let vms = last_octets.iter().map(|last_octet| VmEntry {
        vm: vm(*last_octet),
        zone: zone(),
        incarnation: None,
        leaving: leaving_octets.contains(last_octet),
    });
    TopologyView::new(vms, [])
}

fn head(revision: u64) -> HeadRecord {
    HeadRecord {
        revision: RevisionNumber(revision),
        change: ChangeId([1; 16]),
    }
}

const START: Duration = Duration::ZERO;

struct ZoneFixture {
    feed: FeedState,
    evidence: EvidenceState,
}

impl ZoneFixture {
    fn new(last_octets: &[u8]) -> Self {
        let mut zone = Self {
            feed: FeedState::new("config/head", vm(0), zone(), 1),
            evidence: EvidenceState::new(vm(0), zone()),
        };
        zone.apply_view(START, last_octets, &[]);
        zone.feed.record_held_revision(7);
        zone
    }

    fn apply_view(&mut self, now: Duration, last_octets: &[u8], leaving_octets: &[u8]) {
        let view = view(last_octets, leaving_octets);
        self.evidence.apply_topology(now, &view, &self.feed);
        self.feed.apply_topology(&view);
    }

    fn lowest(&mut self, now: Duration) -> u64 {
        let evidence = self.evidence.due_evidence(now, 0, head(7), &self.feed);
        evidence.expect("due").lowest.0
    }
}

#[gtest]
fn a_vm_counts_with_the_revision_it_has_shown_and_zero_before() {
    let mut zone = ZoneFixture::new(&[0, 1, 2]);
    zone.feed.record_gossiped_revision(START, vm(1), 7);
    expect_that!(zone.lowest(START), eq(0));
    zone.feed.record_gossiped_revision(START, vm(2), 7);
    expect_that!(zone.lowest(Duration::from_secs(1)), eq(7));
    zone.feed.record_gossiped_revision(START, vm(2), 0);
    expect_that!(zone.lowest(Duration::from_secs(2)), eq(0));
}

#[gtest]
fn a_vanished_vm_counts_until_it_must_have_fenced_itself() {
    let one_second = Duration::from_secs(1);
    let mut zone = ZoneFixture::new(&[0, 1]);
    zone.feed.record_gossiped_revision(START, vm(1), 6);
    zone.apply_view(one_second, &[0], &[]);
    expect_that!(zone.lowest(one_second), eq(6));
    expect_that!(zone.lowest(one_second + FENCE_DELAY), eq(7));
}

#[gtest]
fn a_vm_that_announced_its_stop_no_longer_counts_once_it_vanishes() {
    let one_second = Duration::from_secs(1);
    let mut zone = ZoneFixture::new(&[0, 1]);
    zone.apply_view(START, &[0, 1], &[1]);
    expect_that!(zone.lowest(START), eq(0));
    zone.apply_view(one_second, &[0], &[]);
    expect_that!(zone.lowest(one_second), eq(7));
}

#[gtest]
fn evidence_is_written_on_change_and_periodically() {
    let mut zone = ZoneFixture::new(&[0, 1]);
    zone.feed.record_gossiped_revision(START, vm(1), 7);
    let mut write_times_s = Vec::new();
    for tick in 0..101 {
        let now = Duration::from_millis(200) * tick;
        if zone
            .evidence
            .due_evidence(now, 0, head(7), &zone.feed)
            .is_some()
        {
            write_times_s.push(now.as_secs());
        }
    }
    expect_that!(write_times_s, elements_are![eq(&0), eq(&10), eq(&20)]);
    zone.evidence.record_write_failure();
    let retry_time = Duration::from_secs(21);
    expect_that!(
        zone.evidence
            .due_evidence(retry_time, 0, head(7), &zone.feed),
        some(anything())
    );
}

#[gtest]
fn a_process_that_has_just_started_counts_as_holding_nothing() {
    let started_at_ms = 1_000_000;
    let vms = [0, 1].map(|last_octet| VmEntry {
        vm: vm(last_octet),
        zone: zone(),
        incarnation: (last_octet == 1).then_some(crate::ident::IncarnationNumber(started_at_ms)),
        leaving: false,
    });
    let mut zone = ZoneFixture::new(&[0]);
    let view = TopologyView::new(vms, []);
    zone.evidence.apply_topology(START, &view, &zone.feed);
    zone.feed.apply_topology(&view);
    zone.feed.record_gossiped_revision(START, vm(1), 7);
    for (age_ms, lowest) in [(0, 0), (SETTLE_TIME_MS - 1_000, 0), (SETTLE_TIME_MS, 7)] {
        let now = Duration::from_millis(age_ms + 1_000);
        let evidence = zone
            .evidence
            .due_evidence(now, started_at_ms + age_ms, head(7), &zone.feed);
        expect_that!(
            evidence.map(|evidence| evidence.lowest.0),
            some(eq(lowest)),
            "{age_ms}"
        );
        zone.evidence.record_write_failure();
    }
}

#[gtest]
fn vms_that_vanish_together_still_count_because_they_may_reach_each_other() {
    let one_second = Duration::from_secs(1);
    let mut zone = ZoneFixture::new(&[0, 1, 2]);
    zone.feed.record_gossiped_revision(START, vm(1), 6);
    zone.feed.record_gossiped_revision(START, vm(2), 7);
    zone.apply_view(one_second, &[0, 2], &[]);
    zone.apply_view(2 * one_second, &[0], &[]);
    expect_that!(zone.lowest(2 * one_second + FENCE_DELAY), eq(6));
    expect_that!(zone.lowest(one_second + GROUP_FENCE_DELAY), eq(7));
}
