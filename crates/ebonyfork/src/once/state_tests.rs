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

fn submit(state: &mut OnceState, session: SessionId, context: &OnceContext<'_>) -> OnceActions {
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
    state.submit(WAITER, key, request, NOW * 10, context)
}

fn sent(actions: &OnceActions) -> Option<(VmAddress, u64)> {
    match actions.first()? {
        OnceAction::Send {
            vm,
            message: OnceMessage::Forward { ticket, .. },
        } => Some((*vm, *ticket)),
        _ => None,
    }
}

fn refused(actions: &OnceActions) -> Option<(RefusalCode, bool)> {
    match actions.first()? {
        OnceAction::Answer {
            outcome: OnceOutcome::Known(Err(refusal)),
            ..
        } => Some((refusal.code, refusal.retry_after.is_some())),
        _ => None,
    }
}

/// Which VMs are asked, in order, when each breaks its link or says that it knows nothing.
#[gtest]
fn a_foreign_key_is_asked_of_its_process_then_of_successors() {
    const LIVE: &[(u8, u64)] = &[(1, 9), (2, 9), (3, 9)];
    const REPLACED: &[(u8, u64)] = &[(1, 9), (2, 10), (3, 9)];
    const GONE: &[(u8, u64)] = &[(1, 9), (3, 9)];
    const ALONE: &[(u8, u64)] = &[(1, 9)];
    type AskCase = (
        &'static str,
        &'static [(u8, u64)],
        SessionId,
        bool,
        &'static [u8],
        bool,
    );
    let cases: &[AskCase] = &[
        (
            "alive, links break",
            LIVE,
            session(2, 9),
            true,
            &[2, 2, 3],
            true,
        ),
        (
            "alive, but another life answers",
            LIVE,
            session(2, 9),
            false,
            &[2, 3],
            true,
        ),
        ("replaced", REPLACED, session(2, 9), false, &[2, 3], false),
        (
            "list lags behind the new process",
            LIVE,
            session(2, 10),
            true,
            &[2, 2, 3],
            true,
        ),
        ("gone", GONE, session(2, 9), false, &[3], false),
        (
            "own earlier life",
            LIVE,
            session(1, 8),
            false,
            &[2, 3],
            false,
        ),
        ("nobody to ask", ALONE, session(2, 9), false, &[], false),
    ];
    for (name, vms, session_of_key, breaks, expected, retry) in cases {
        let view = view(vms);
        let context = OnceContext {
            now: NOW,
            view: &view,
            gate: None,
        };
        let mut state = OnceState::new(session(1, 9));
        let mut actions = submit(&mut state, *session_of_key, &context);
        let mut asked = Vec::new();
        while let Some((vm, ticket)) = sent(&actions) {
            asked.push(vm);
            actions = if *breaks {
                state.link_down(vm, &context)
            } else {
                state.take_outcome(ticket, OnceOutcome::NotHere, &context)
            };
        }
        // Successors are asked in the order of their rank, which is not the order of their numbers.
        let mut expected: Vec<_> = expected.iter().map(|number| vm(*number)).collect();
        asked.sort();
        expected.sort();
        expect_that!(asked, eq(&expected), "{name}");
        expect_that!(
            refused(&actions),
            some(eq((RefusalCode::OutcomeUnknown, *retry))),
            "{name}"
        );
        expect_that!(state.waiting(), eq(0), "{name}");
    }
}

#[gtest]
fn a_successor_answers_for_a_sealed_session_and_hands_it_on() {
    let view = view(&[(1, 9), (2, 9), (3, 9)]);
    let context = OnceContext {
        now: NOW,
        view: &view,
        gate: None,
    };
    let mut states = [1, 2, 3].map(|number| OnceState::new(session(number, 9)));
    let first = session(1, 9);
    expect_that!(submit(&mut states[0], first, &context).len(), eq(1));
    let refusal = QueryRefusal::new(RefusalCode::UpstreamFailed, RunState::Ran, "failed");
    states[0].finish(5, Err(refusal), NOW);
    for (from, to) in [(0, 1), (1, 2)] {
        for part in states[from].seal() {
            states[to].take_part(part, NOW);
        }
        let actions = submit(&mut states[to], first, &context);
        expect_that!(
            refused(&actions),
            some(eq((RefusalCode::UpstreamFailed, false)))
        );
    }
}
