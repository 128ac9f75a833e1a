use googletest::prelude::*;

use super::*;

const START: Duration = Duration::from_secs(100);

fn vm(last: u8) -> VmAddress {
    VmAddress([10, 0, 0, last].into())
}

#[gtest]
fn an_own_share_is_not_used_until_earlier_leases_have_expired() {
    let mut leases = ShareLeases::new();
    let half_term = LEASE_TERM / 2;
    expect_that!(leases.shares(half_term), eq(0));
    let refusal = leases.lend(vm(2), false, half_term);
    expect_that!(refusal, err(eq(LendRefusal::JustStarted)));
    expect_that!(leases.shares(LEASE_TERM), eq(1));
}

#[gtest]
fn a_share_has_one_holder_at_a_time() {
    let mut owner = ShareLeases::new();
    let mut borrower = ShareLeases::new();
    let number = borrower.request(vm(1), START);
    expect_that!(owner.lend(vm(2), false, START), ok(anything()));
    expect_that!(borrower.accept_grant(vm(1), number), eq(true));
    let held_shares = |time: Duration| (owner.shares(time), borrower.borrowed_count(time));
    expect_that!(held_shares(START), eq((0, 1)));
    expect_that!(held_shares(START + BORROWER_TERM), eq((0, 0)));
    expect_that!(held_shares(START + LEASE_TERM), eq((1, 0)));
    let refusal = owner.lend(vm(3), false, START);
    let on_lease = LendRefusal::OnLease { borrower: vm(2) };
    expect_that!(refusal, err(eq(on_lease)));
}

/// The borrower's term starts with its request, so a lease that is granted late is only valid for the rest of it.
#[gtest]
fn a_lease_granted_after_its_term_is_not_used() {
    let mut borrower = ShareLeases::new();
    let number = borrower.request(vm(1), START);
    let after_term = START + LEASE_TERM;
    expect_that!(borrower.accept_grant(vm(1), number), eq(true));
    expect_that!(borrower.borrowed_count(after_term), eq(0));
}

#[gtest]
fn a_grant_without_a_pending_request_is_ignored() {
    let mut borrower = ShareLeases::new();
    let first_number = borrower.request(vm(1), START);
    let second_number = borrower.request(vm(1), START + Duration::from_secs(1));
    expect_that!(borrower.accept_grant(vm(1), first_number), eq(false));
    expect_that!(borrower.accept_grant(vm(2), second_number), eq(false));
    expect_that!(borrower.accept_grant(vm(1), second_number), eq(true));
    expect_that!(borrower.accept_grant(vm(1), second_number), eq(false));
}

#[gtest]
fn a_vm_that_needs_its_share_keeps_it() {
    let mut owner = ShareLeases::new();
    let refusal = err(eq(LendRefusal::NeededHere));
    expect_that!(owner.lend(vm(2), true, START), refusal);
    owner.record_repeat(START);
    let one_second_later = START + Duration::from_secs(1);
    let refusal = err(eq(LendRefusal::NeededHere));
    expect_that!(owner.lend(vm(2), false, one_second_later), refusal);
    let after_recent_repeat = START + RECENT_REPEAT_PERIOD;
    expect_that!(
        owner.lend(vm(2), false, after_recent_repeat),
        ok(anything())
    );
}

#[gtest]
fn expired_leases_and_requests_are_removed() {
    let mut borrower = ShareLeases::new();
    let number = borrower.request(vm(1), START);
    expect_that!(borrower.accept_grant(vm(1), number), eq(true));
    let _unanswered_number = borrower.request(vm(3), START);
    borrower.remove_expired(START + LEASE_TERM);
    expect_that!(
        borrower.borrowed_shares.len() + borrower.pending_requests.len(),
        eq(0)
    );
}
