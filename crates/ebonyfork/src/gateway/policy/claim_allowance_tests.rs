use googletest::prelude::*;

use super::*;
use crate::gateway::policy::cold::COLD_CLAIM;
use crate::ident::{IncarnationNumber, VmAddress};

/// Period in which at most one hold may start with an allowance. With the clocks' margin, 2,040 ms.
const PERIOD: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn session(vm: u8, incarnation: u64) -> SessionId {
    let address = VmAddress([10, 0, 0, vm].into());
    SessionId::new(address, IncarnationNumber(incarnation))
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(number)
}

fn claim(vm: u8, incarnation: u64) -> StoreClaim {
    let timings = ClaimTimings {
        quiet_time: Duration::ZERO,
        ..COLD_CLAIM
    };
    StoreClaim::new(session(vm, incarnation), timings).with_allowance(PERIOD)
}

fn record(vm: u8, incarnation: u64, offers_allowance: bool) -> ClaimRecord {
    ClaimRecord {
        holder: Some(session(vm, incarnation)),
        era: StoreEra::UNSTATED,
        offers_allowance,
    }
}

/// A process on VM 1 whose predecessor has left an offer, and its write.
fn restarted() -> (StoreClaim, ClaimWrite) {
    let mut claim = claim(1, 2);
    claim.observe(revision(5), record(1, 1, true), ms(10));
    let write = claim.next_write(true, ms(10)).expect("the VM's own claim");
    (claim, write)
}

/// Guards against a holder that waits for its settle time or a term after a restart.
#[gtest]
fn a_restarted_vm_takes_its_claim_and_the_allowance_at_once() {
    let (mut claim, write) = restarted();
    expect_that!(write.takes_allowance, eq(true));
    expect_that!(write.record.offers_allowance, eq(false));
    claim.record_write(write, revision(6), ms(10), ms(20));
    expect_that!(claim.usable_since(ms(20)), some(eq(ms(20))));
    expect_that!(claim.has_allowance(), eq(true));
}

/// Guards against two starts with an allowance within the period: a holder that restarts again finds no offer.
#[gtest]
fn a_hold_offers_an_allowance_after_the_period() {
    let (mut holder, write) = restarted();
    holder.record_write(write, revision(6), ms(10), ms(20));
    let early = holder.next_write(true, ms(2_059)).expect("a renewal");
    expect_that!(early.record.offers_allowance, eq(false));
    holder.record_write(early, revision(7), ms(2_059), ms(2_059));
    let late = holder.next_write(true, ms(3_400)).expect("a renewal");
    expect_that!(late.record.offers_allowance, eq(true));
    let mut next = claim(1, 3);
    next.observe(revision(7), early.record, ms(10));
    let write = next.next_write(true, ms(10)).expect("the VM's own claim");
    expect_that!(write.takes_allowance, eq(false));
}

/// A planned stop passes the allowance on, if the hold was long enough, also if the first write fails.
#[gtest]
fn a_released_claim_offers_an_allowance() {
    for (released_at, offers) in [(ms(2_000), false), (ms(2_100), true)] {
        let (mut holder, write) = restarted();
        holder.record_write(write, revision(6), ms(10), ms(20));
        let release = holder.next_write(false, released_at).expect("a release");
        expect_that!(release.record.holder, none());
        expect_that!(release.record.offers_allowance, eq(offers));
        let again = holder.next_write(false, released_at + RETRY_DELAY);
        let again = again.expect("the first write failed");
        expect_that!(
            again.record.offers_allowance,
            eq(released_at + RETRY_DELAY >= ms(2_060))
        );
        expect_that!(holder.is_usable(released_at), eq(false));
        let mut next = claim(2, 1);
        next.observe(revision(7), release.record, ms(10));
        let write = next.next_write(true, ms(10)).expect("nobody holds it");
        expect_that!(write.takes_allowance, eq(offers));
    }
}

/// Guards against an allowance that is lost, or used twice, because the process reads its record before the answer.
#[gtest]
fn a_process_that_reads_its_own_record_uses_the_allowance_once() {
    let (mut claim, write) = restarted();
    claim.observe(revision(6), write.record, ms(400));
    expect_that!(claim.is_usable(ms(400)), eq(false));
    let second = claim.next_write(true, ms(400)).expect("no answer yet");
    expect_that!(second.takes_allowance, eq(true));
    claim.record_write(second, revision(7), ms(400), ms(410));
    expect_that!(claim.has_allowance(), eq(true));
    // The late answer to the first write begins no other hold.
    claim.record_write(write, revision(6), ms(10), ms(420));
    expect_that!(claim.usable_since(ms(420)), some(eq(ms(410))));
    // Another VM takes the claim over; the next hold of this process starts without an allowance.
    claim.observe(revision(8), record(2, 1, false), ms(500));
    claim.observe(
        revision(9),
        ClaimRecord {
            holder: None,
            ..write.record
        },
        ms(800),
    );
    let third = claim.next_write(true, ms(800)).expect("nobody holds it");
    expect_that!(third.takes_allowance, eq(false));
}

/// Guards against an allowance for a takeover that was lost to another process.
#[gtest]
fn a_takeover_after_a_conflict_finds_no_offer() {
    let (mut claim, _conflicting) = restarted();
    let without_holder = ClaimRecord {
        holder: None,
        ..record(2, 1, false)
    };
    claim.observe(revision(6), without_holder, ms(400));
    let write = claim.next_write(true, ms(400)).expect("nobody holds it");
    claim.observe(revision(7), write.record, ms(500));
    let second = claim.next_write(true, ms(800)).expect("no answer yet");
    expect_that!(second.takes_allowance, eq(false));
}

#[gtest]
fn there_is_no_allowance_where_the_past_is_unknown() {
    let mut absent = claim(1, 2);
    let write = absent.next_write(true, ms(10)).expect("nobody holds it");
    expect_that!(write.takes_allowance, eq(false));
    let mut restored = claim(1, 2);
    let second_era = revision(5).with_era(StoreEra(2));
    restored.observe(second_era, record(1, 1, true), ms(10));
    let waited = ms(10) + COLD_CLAIM.takeover_delay;
    let write = restored.next_write(true, waited).expect("it has waited");
    expect_that!(write.takes_allowance, eq(false));
}

/// Guards against a wait of one term after each restart once the store has ever been restored: the record shows that
/// the terms of the previous era have been waited for.
#[gtest]
fn a_restarted_vm_does_not_wait_for_an_era_in_which_its_claim_was_written() {
    let mut claim = claim(1, 2);
    claim.enter_era(StoreEra(2), ms(5));
    expect_that!(claim.next_write(true, ms(10)), none());
    let of_this_era = ClaimRecord {
        era: StoreEra(2),
        ..record(1, 1, true)
    };
    claim.observe(revision(5).with_era(StoreEra(2)), of_this_era, ms(10));
    let write = claim.next_write(true, ms(10)).expect("the era is known");
    expect_that!(write.takes_allowance, eq(true));
}

/// Guards against two holders: the answer to a renewal arrives after this process has given the claim back, which
/// another VM may hold by then.
#[gtest]
fn a_late_answer_does_not_revive_a_released_claim() {
    let (mut claim, write) = restarted();
    claim.record_write(write, revision(6), ms(10), ms(20));
    let renewal = claim.next_write(true, ms(1_400)).expect("a renewal");
    claim.observe(revision(7), renewal.record, ms(1_500));
    let release = claim.next_write(false, ms(1_800)).expect("a release");
    expect_that!(release.expected_revision, eq(revision(7)));
    claim.record_write(renewal, revision(7), ms(1_400), ms(1_900));
    expect_that!(claim.is_usable(ms(1_900)), eq(false));
}

/// Records of versions that don't know the allowance offer none.
#[gtest]
fn a_record_without_the_field_offers_no_allowance() {
    let with_field = postcard::to_stdvec(&record(1, 1, true)).expect("encodes");
    expect_that!(
        ClaimRecord::decode(&with_field),
        ok(eq(&record(1, 1, true)))
    );
    let without_field = postcard::to_stdvec(&(Some(session(1, 1)), StoreEra::UNSTATED));
    let without_field = without_field.expect("encodes");
    expect_that!(
        ClaimRecord::decode(&without_field),
        ok(eq(&record(1, 1, false)))
    );
}
