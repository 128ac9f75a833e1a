use googletest::prelude::*;

use super::*;
use FenceCause::{CutOff, Paused};
use FenceEvent::{BehindUntil, Pause, PeerContact, PeerKnown, StoreContact};

/// An input to the [`FenceState`] under test. Numbers are times in ms since the start of the process.
#[derive(Clone, Copy)]
enum FenceEvent {
    StoreContact(u64),
    PeerContact(u64),
    Pause(u64),
    /// Another VM is known from the start.
    PeerKnown,
    /// The process holds less than the newest known state until this time.
    BehindUntil(u64),
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Applies the events, evaluates every 100 ms, and returns each change of the fence's cause with its time in ms.
fn cause_changes(events: &[FenceEvent], end_ms: u64) -> Vec<(u64, Option<FenceCause>)> {
    let mut state = FenceState::new(FenceLimits::default(), Duration::ZERO);
    let mut caught_up_at = 0;
    let mut changes = Vec::new();
    let mut previous_cause = None;
    for now in (0..=end_ms).step_by(100) {
        for event in events {
            match *event {
                StoreContact(at) if at == now => state.record_contact(ContactSource::Store, ms(at)),
                PeerContact(at) if at == now => state.record_contact(ContactSource::Peer, ms(at)),
                Pause(at) if at == now => state.record_pause(ms(at)),
                PeerKnown => state.record_peer_known(),
                BehindUntil(until) => caught_up_at = until,
                _ => {}
            }
        }
        let cause = state.evaluate(ms(now), now >= caught_up_at);
        if cause != previous_cause {
            changes.push((now, cause));
        }
        previous_cause = cause;
    }
    changes
}

#[gtest]
fn only_a_contact_after_the_settle_time_lifts_a_fence() {
    type FenceCase = (
        &'static str,
        &'static [FenceEvent],
        u64,
        &'static [(u64, Option<FenceCause>)],
    );
    let cases: &[FenceCase] = &[
        ("no contact, but no peer was ever known", &[], 60_000, &[]),
        ("no contact", &[PeerKnown], 20_000, &[(5_100, Some(CutOff))]),
        (
            "the store is down, peers send messages",
            &[
                PeerKnown,
                PeerContact(4_000),
                PeerContact(8_000),
                PeerContact(12_000),
                PeerContact(16_000),
            ],
            20_000,
            &[],
        ),
        (
            "peers are silent, the store answers",
            &[PeerKnown, StoreContact(4_000), StoreContact(8_000)],
            12_000,
            &[],
        ),
        (
            "cut off, then contact with a peer",
            &[PeerKnown, PeerContact(9_000)],
            10_000,
            &[(5_100, Some(CutOff)), (9_000, None)],
        ),
        (
            "contact, but a newer revision is not held yet",
            &[PeerKnown, PeerContact(9_000), BehindUntil(9_700)],
            10_000,
            &[(5_100, Some(CutOff)), (9_700, None)],
        ),
        (
            "paused; a message that waited in the socket doesn't lift the fence",
            &[
                PeerKnown,
                PeerContact(900),
                Pause(1_000),
                PeerContact(1_100),
                PeerContact(1_600),
            ],
            3_000,
            &[(1_000, Some(Paused)), (1_600, None)],
        ),
        (
            "paused while the store is down and no peer is known",
            &[Pause(1_000)],
            60_000,
            &[(1_000, Some(Paused))],
        ),
        (
            "paused, alone, the store answers",
            &[Pause(1_000), StoreContact(1_800)],
            3_000,
            &[(1_000, Some(Paused)), (1_800, None)],
        ),
        (
            "paused twice",
            &[
                PeerKnown,
                Pause(1_000),
                Pause(1_400),
                PeerContact(1_600),
                PeerContact(1_900),
            ],
            3_000,
            &[(1_000, Some(Paused)), (1_900, None)],
        ),
        (
            "paused while cut off",
            &[
                PeerKnown,
                Pause(6_000),
                PeerContact(6_200),
                PeerContact(7_000),
            ],
            9_000,
            &[(5_100, Some(CutOff)), (6_000, Some(Paused)), (7_000, None)],
        ),
        (
            "paused, then cut off: fenced until the next contact",
            &[PeerKnown, Pause(1_000), PeerContact(30_000)],
            31_000,
            &[(1_000, Some(Paused)), (30_000, None)],
        ),
    ];
    for (name, events, end_ms, expected) in cases {
        let changes = cause_changes(events, *end_ms);
        expect_that!(changes, eq(&expected.to_vec()), "{name}");
    }
}
