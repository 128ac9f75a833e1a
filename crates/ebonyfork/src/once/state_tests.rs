use bytes::Bytes;
use googletest::prelude::*;

use super::*;
use crate::ident::IncarnationNumber;
use crate::topology::VmEntry;

const NOW: Duration = Duration::from_secs(1);
const WAITER: WaiterId = WaiterId(1);

fn vm(number: u8) -> VmAddress {
    VmAddress([10, 0, 0, number].into())
}

fn session(number: u8, incarnation: u64) -> SessionId {
    SessionId::new(vm(number), IncarnationNumber(incarnation))
}

fn view(vms: &[(u8, u64)]) -> TopologyView {
    let entries = vms.iter().map(|(number, incarnation)| VmEntry {
        vm: vm(*number),
        zone: "zone-a".parse().unwrap(),
        incarnation: Some(IncarnationNumber(*incarnation)),
        leaving: false,
    });
    TopologyView::new(entries, [])
}

fn submit(
    state: &mut OnceState,
    session: SessionId,
    conditions: &NodeConditions<'_>,
) -> OnceActions {
    let key = IdempotencyKey {
        session,
        sequence: 5,
    };
    let request = QueryRequest {
        class: "deferral".parse().unwrap(),
        organisation: "hanbit".parse().unwrap(),
        deadline: None,
        record: None,
        selection: Bytes::new(),
        key: Some(key),
        caller_id: None,
    };
    state.submit(WAITER, key, request, NOW * 10, conditions)
}

fn forwarded_to(actions: &OnceActions) -> Option<(VmAddress, u64)> {
    match actions.first()? {
        OnceAction::Send {
            vm,
            message: OnceMessage::Forward { forward_id, .. },
        } => Some((*vm, *forward_id)),
        _ => None,
    }
}

fn refusal_and_retry(actions: &OnceActions) -> Option<(RefusalCode, bool)> {
    match actions.first()? {
        OnceAction::Answer {
            outcome: OnceOutcome::Known(Err(refusal)),
            ..
        } => Some((refusal.code, refusal.retry_after.is_some())),
        _ => None,
    }
}

/// Checks which VMs a query is forwarded to when each link breaks or each VM answers that it doesn't hold the session.
#[gtest]
fn a_key_of_another_session_is_forwarded_to_its_process_then_to_successors() {
    const ALL_LIVE: &[(u8, u64)] = &[(1, 9), (2, 9), (3, 9)];
    const VM2_REPLACED: &[(u8, u64)] = &[(1, 9), (2, 10), (3, 9)];
    const VM2_GONE: &[(u8, u64)] = &[(1, 9), (3, 9)];
    const ONLY_VM1: &[(u8, u64)] = &[(1, 9)];
    type ForwardCase = (
        &'static str,
        &'static [(u8, u64)],
        SessionId,
        bool,
        &'static [u8],
        bool,
    );
    let cases: &[ForwardCase] = &[
        (
            "alive, links break",
            ALL_LIVE,
            session(2, 9),
            true,
            &[2, 2, 3],
            true,
        ),
        (
            "alive, but another incarnation answers",
            ALL_LIVE,
            session(2, 9),
            false,
            &[2, 3],
            true,
        ),
        (
            "process replaced",
            VM2_REPLACED,
            session(2, 9),
            false,
            &[2, 3],
            false,
        ),
        (
            "topology lags behind the new process",
            ALL_LIVE,
            session(2, 10),
            true,
            &[2, 2, 3],
            true,
        ),
        ("VM gone", VM2_GONE, session(2, 9), false, &[3], false),
        (
            "earlier incarnation on the own VM",
            ALL_LIVE,
            session(1, 8),
            false,
            &[2, 3],
            false,
        ),
        ("no other VM", ONLY_VM1, session(2, 9), false, &[], false),
    ];
    for (name, vms, session_of_key, links_break, expected_vm_numbers, has_retry_delay) in cases {
        let view = view(vms);
        let conditions = NodeConditions {
            now: NOW,
            view: &view,
            new_work_refusal: None,
        };
        let mut state = OnceState::new(session(1, 9));
        let mut actions = submit(&mut state, *session_of_key, &conditions);
        let mut asked_vms = Vec::new();
        while let Some((vm, forward_id)) = forwarded_to(&actions) {
            asked_vms.push(vm);
            actions = if *links_break {
                state.handle_link_down(vm, &conditions)
            } else {
                state.handle_outcome(forward_id, OnceOutcome::NotHeld, &conditions)
            };
        }
        // Successors are asked in order of rank, which differs from the order of their numbers.
        let mut expected_vms: Vec<_> = expected_vm_numbers
            .iter()
            .map(|number| vm(*number))
            .collect();
        asked_vms.sort();
        expected_vms.sort();
        expect_that!(asked_vms, eq(&expected_vms), "{name}");
        expect_that!(
            refusal_and_retry(&actions),
            some(eq((RefusalCode::OutcomeUnknown, *has_retry_delay))),
            "{name}"
        );
        expect_that!(state.waiting_count(), eq(0), "{name}");
    }
}

#[gtest]
fn a_successor_answers_for_a_sealed_session_and_hands_it_over_in_turn() {
    let view = view(&[(1, 9), (2, 9), (3, 9)]);
    let conditions = NodeConditions {
        now: NOW,
        view: &view,
        new_work_refusal: None,
    };
    let mut states = [1, 2, 3].map(|number| OnceState::new(session(number, 9)));
    let first_session = session(1, 9);
    expect_that!(
        submit(&mut states[0], first_session, &conditions).len(),
        eq(1)
    );
    let refusal = QueryRefusal::new(RefusalCode::UpstreamFailed, RunState::Ran, "failed");
    states[0].finish(5, Err(refusal), NOW);
    for (from, to) in [(0, 1), (1, 2)] {
        for part in states[from].seal() {
            states[to].add_part(part, NOW);
        }
        let actions = submit(&mut states[to], first_session, &conditions);
        expect_that!(
            refusal_and_retry(&actions),
            some(eq((RefusalCode::UpstreamFailed, false)))
        );
    }
}
