use compact_str::CompactString;
use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;
use crate::membership::MemberDigest;

fn vm(last_octet: u8) -> VmAddress {
    VmAddress([10, 0, 0, last_octet].into())
}

fn own_session() -> SessionId {
    SessionId::new(vm(1), IncarnationNumber(100))
}

fn record(last_octet: u8, state: VmState) -> VmRecord {
    VmRecord {
        ip: vm(last_octet).0,
        port: None,
        zone: "a".parse().unwrap(),
        group: CompactString::new(OWN_GROUP),
        state,
    }
}

fn server(last_octet: u8, state: VmState) -> VmRecord {
    VmRecord {
        port: Some(80),
        group: "tender-00".into(),
        ..record(last_octet, state)
    }
}

fn member(last_octet: u8, state: MemberState) -> MemberEntry {
    MemberEntry {
        vm: vm(last_octet),
        zone: "a".parse().unwrap(),
        incarnation: IncarnationNumber(7),
        state,
        digest: MemberDigest::default(),
    }
}

fn upstream(last_octet: u8) -> UpstreamAddress {
    format!("10.0.0.{last_octet}:80").parse().unwrap()
}

fn join() -> TopologyJoin {
    TopologyJoin::new(own_session(), "a".parse().unwrap())
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_vm_is_included_by_list_and_membership() {
    use MemberState::{Alive, Failed, Leaving, Suspect};
    use VmState::Live;
    // State on the list, state in membership, whether another peer answers, seconds since first listed; expected: none
    // if the VM is left out of the view, else whether it is leaving.
    let cases = [
        (Some(Live), None, false, 0, Some(false)),
        (Some(Live), None, false, 1_000, Some(false)),
        (Some(Live), None, true, 9, Some(false)),
        (Some(Live), None, true, 11, None),
        (Some(Live), Some(Alive), true, 1_000, Some(false)),
        (Some(Live), Some(Suspect), true, 0, Some(false)),
        (Some(Live), Some(Failed), true, 0, None),
        (Some(Live), Some(Leaving), true, 0, Some(true)),
        (Some(VmState::Leaving), Some(Alive), true, 0, Some(true)),
        (Some(VmState::Leaving), None, false, 0, Some(true)),
        (None, Some(Alive), true, 0, Some(false)),
        (None, Some(Failed), true, 0, None),
        (None, None, true, 0, None),
    ];
    for (list_state, member_state, any_peer_answered, listed_age_s, expected_leaving) in cases {
        let mut join = join();
        join.apply_list(seconds(5), list_state.map(|state| record(2, state)));
        let other_member = any_peer_answered.then(|| member(3, Alive));
        let members = member_state.map(|state| member(2, state)).into_iter();
        join.apply_members(Arc::new(MemberSnapshot::new(members.chain(other_member))));
        let view = join.view(seconds(5 + listed_age_s));
        let is_leaving = view.vms.get(&vm(2)).map(|entry| entry.leaving);
        expect_that!(
            is_leaving,
            eq(expected_leaving),
            "{list_state:?} {member_state:?} {any_peer_answered} {listed_age_s}"
        );
        expect_that!(
            view.vms[&vm(1)].incarnation,
            some(eq(IncarnationNumber(100)))
        );
    }
}

#[gtest]
fn a_leaving_report_holds_until_the_list_refutes_it() {
    let is_leaving = |join: &TopologyJoin, now| {
        let view = join.view(seconds(now));
        view.upstreams.get(&upstream(9)).map(|entry| entry.leaving)
    };
    let mut join = join();
    join.apply_list(seconds(0), [server(9, VmState::Live)]);
    expect_that!(is_leaving(&join, 0), some(eq(false)));
    join.mark_leaving(seconds(1), upstream(9));
    expect_that!(is_leaving(&join, 1), some(eq(true)));
    // The list lags and still shows the upstream live; without any further list, nothing changes either.
    join.apply_list(seconds(30), [server(9, VmState::Live)]);
    expect_that!(is_leaving(&join, 1_000), some(eq(true)));
    join.apply_list(seconds(121), [server(9, VmState::Live)]);
    expect_that!(is_leaving(&join, 121), some(eq(false)));
    // An upstream listed as leaving and then live again is a new instance, however short the time between.
    join.mark_leaving(seconds(130), upstream(9));
    join.apply_list(seconds(131), [server(9, VmState::Leaving)]);
    expect_that!(is_leaving(&join, 1_000), some(eq(true)));
    join.apply_list(seconds(132), [server(9, VmState::Live)]);
    expect_that!(is_leaving(&join, 132), some(eq(false)));
    // An upstream that was removed from the list and listed again is a new instance.
    join.mark_leaving(seconds(170), upstream(9));
    join.apply_list(seconds(171), []);
    expect_that!(is_leaving(&join, 171), none());
    join.apply_list(seconds(172), [server(9, VmState::Live)]);
    expect_that!(is_leaving(&join, 172), some(eq(false)));
}

#[gtest]
fn a_list_that_shrinks_by_half_must_be_confirmed() {
    let full_list = || (20..40).map(|last_octet| server(last_octet, VmState::Live));
    let mut join = join();
    expect_that!(join.apply_list(seconds(0), full_list()), eq(true));
    expect_that!(join.apply_list(seconds(2), []), eq(false));
    expect_that!(join.view(seconds(2)).upstreams.len(), eq(20));
    // After the whole list, a short one is rejected at first and accepted when the next read confirms it.
    expect_that!(join.apply_list(seconds(4), full_list()), eq(true));
    expect_that!(join.apply_list(seconds(6), full_list().take(9)), eq(false));
    expect_that!(join.apply_list(seconds(8), full_list().take(9)), eq(true));
    expect_that!(join.view(seconds(8)).upstreams.len(), eq(9));
}

#[gtest]
fn digests_alone_do_not_change_the_view() {
    let mut join = join();
    let mut changed_member = member(2, MemberState::Alive);
    expect_that!(
        join.apply_members(Arc::new(MemberSnapshot::new([changed_member.clone()]))),
        eq(true)
    );
    changed_member.digest.load = 9;
    expect_that!(
        join.apply_members(Arc::new(MemberSnapshot::new([changed_member.clone()]))),
        eq(false)
    );
    changed_member.state = MemberState::Suspect;
    expect_that!(
        join.apply_members(Arc::new(MemberSnapshot::new([changed_member]))),
        eq(true)
    );
    join.apply_list(
        seconds(1),
        [record(2, VmState::Live), record(3, VmState::Live)],
    );
    // Membership does not know VM 3: its grace ends 10 s plus 40 ms for each of two VMs after it was listed.
    expect_that!(
        join.next_change(seconds(1)),
        some(eq(Duration::from_millis(11_080)))
    );
    expect_that!(join.next_change(seconds(12)), none());
}
