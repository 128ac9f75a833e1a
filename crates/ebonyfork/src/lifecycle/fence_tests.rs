use googletest::prelude::*;

use super::*;
use FenceCause::{CutOff, Paused};
use Step::{Behind, Pause, Peer, Peers, Store};

/// What happens at a time in ms.
#[derive(Clone, Copy)]
enum Step {
    Store(u64),
    Peer(u64),
    Pause(u64),
    Peers,
    /// Something newer is known than is held, until that time.
    Behind(u64),
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a case with a look every 100 ms and returns the times at which the cause changed.
fn changes(steps: &[Step], end: u64) -> Vec<(u64, Option<FenceCause>)> {
    let mut state = FenceState::new(FenceLimits::default(), Duration::ZERO);
    let mut caught_up_at = 0;
    let mut found = Vec::new();
    let mut last = None;
    for now in (0..=end).step_by(100) {
        for step in steps {
            match *step {
                Store(at) if at == now => state.note_contact(ContactSource::Store, ms(at)),
                Peer(at) if at == now => state.note_contact(ContactSource::Peer, ms(at)),
                Pause(at) if at == now => state.note_pause(ms(at)),
                Peers => state.note_peer_known(),
                Behind(until) => caught_up_at = until,
                _ => {}
            }
        }
        let cause = state.evaluate(ms(now), now >= caught_up_at);
        if cause != last {
            found.push((now, cause));
        }
        last = cause;
    }
    found
}

#[gtest]
fn only_fresh_word_lifts_a_fence() {
    type FenceCase = (
        &'static str,
        &'static [Step],
        u64,
        &'static [(u64, Option<FenceCause>)],
    );
    let cases: &[FenceCase] = &[
        ("silence, but no peer was ever known", &[], 60_000, &[]),
        ("silence", &[Peers], 20_000, &[(5_100, Some(CutOff))]),
        (
            "the store is down, peers are heard",
            &[Peers, Peer(4_000), Peer(8_000), Peer(12_000), Peer(16_000)],
            20_000,
            &[],
        ),
        (
            "peers are silent, the store answers",
            &[Peers, Store(4_000), Store(8_000)],
            12_000,
            &[],
        ),
        (
            "cut off, then a peer is heard",
            &[Peers, Peer(9_000)],
            10_000,
            &[(5_100, Some(CutOff)), (9_000, None)],
        ),
        (
            "heard, but a newer revision is on its way",
            &[Peers, Peer(9_000), Behind(9_700)],
            10_000,
            &[(5_100, Some(CutOff)), (9_700, None)],
        ),
        (
            "paused; what waited in the socket proves nothing",
            &[Peers, Peer(900), Pause(1_000), Peer(1_100), Peer(1_600)],
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
            &[Pause(1_000), Store(1_800)],
            3_000,
            &[(1_000, Some(Paused)), (1_800, None)],
        ),
        (
            "paused twice",
            &[Peers, Pause(1_000), Pause(1_400), Peer(1_600), Peer(1_900)],
            3_000,
            &[(1_000, Some(Paused)), (1_900, None)],
        ),
        (
            "paused while cut off",
            &[Peers, Pause(6_000), Peer(6_200), Peer(7_000)],
            9_000,
            &[(5_100, Some(CutOff)), (6_000, Some(Paused)), (7_000, None)],
        ),
        (
            "paused, then cut off: fenced once, until word comes",
            &[Peers, Pause(1_000), Peer(30_000)],
            31_000,
            &[(1_000, Some(Paused)), (30_000, None)],
        ),
    ];
    for (name, steps, end, expected) in cases {
        let found = changes(steps, *end);
        expect_that!(found, eq(&expected.to_vec()), "{name}");
    }
}
