//! Faults, alone and together, under virtual time.

use googletest::prelude::*;

use super::*;
use crate::ident::{IncarnationNumber, RevisionNumber};
use crate::membership::fleet::{Fleet, Reaches, TICK_STEPS, protocol, vm};
use crate::membership::message::DatagramError;

#[gtest]
fn a_stopped_member_is_failed_everywhere_in_seconds() {
    // Members, members that stop at once, share of datagrams lost, most seconds until all know.
    let cases = [
        (2, 1, 0.0, 8),
        (3, 1, 0.0, 8),
        (7, 2, 0.0, 8),
        (7, 5, 0.0, 12),
        (7, 6, 0.0, 8),
        (9, 1, 0.1, 10),
        (40, 1, 0.0, 10),
        (40, 13, 0.05, 12),
    ];
    for (size, stopped, loss, limit) in cases {
        let mut fleet = Fleet::settled(size).with_loss(loss);
        let stopped: Vec<usize> = (size - stopped..size).collect();
        for index in &stopped {
            fleet.running[*index] = false;
        }
        let seconds = fleet.seconds_until(&stopped, MemberState::Failed, 60);
        expect_that!(seconds, some(le(limit)), "{size} {stopped:?} {loss}");
        fleet.run(30);
        expect_that!(fleet.false_failures(), eq(0), "{size} {stopped:?} {loss}");
        expect_that!(fleet.peak, le(u64::from(SEND_RATE + 2 * SEND_BURST)));
    }
}

#[gtest]
fn loss_alone_fails_nobody() {
    for (size, loss) in [(5, 0.2), (20, 0.1), (20, 0.2)] {
        let mut fleet = Fleet::settled(size).with_loss(loss);
        let mut failures = 0;
        for _second in 0..120 {
            fleet.run(1);
            failures += fleet.false_failures();
        }
        expect_that!(failures, eq(0), "{size} {loss}");
    }
}

#[gtest]
fn leaving_is_known_everywhere_at_once_and_sticks() {
    for (size, loss) in [(7, 0.0), (40, 0.1)] {
        let mut fleet = Fleet::settled(size).with_loss(loss);
        let mut out = Vec::new();
        fleet.nodes[1].announce_leaving(fleet.now, &mut out);
        fleet.post(1, &mut out);
        let seconds = fleet.seconds_until(&[1], MemberState::Leaving, 10);
        expect_that!(seconds, some(le(2)), "{size} {loss}");
        fleet.run(20);
        expect_that!(
            fleet.seconds_until(&[1], MemberState::Leaving, 1),
            some(eq(0))
        );
        fleet.running[1] = false;
        let seconds = fleet.seconds_until(&[1], MemberState::Failed, 30);
        expect_that!(seconds, some(le(10)), "{size} {loss}");
    }
}

#[gtest]
fn a_paused_member_blames_nobody_and_returns() {
    for (size, pause) in [(3, 3), (7, 3), (7, 60), (20, 60)] {
        let mut fleet = Fleet::settled(size);
        fleet.running[2] = false;
        fleet.run(pause);
        fleet.running[2] = true;
        let mut false_failures = 0;
        for _second in 0..20 {
            fleet.run(1);
            for about in 0..size {
                false_failures += usize::from(fleet.state(2, about) == Some(MemberState::Failed));
            }
        }
        expect_that!(false_failures, eq(0), "{size} {pause}");
        expect_that!(fleet.nodes[2].counters().pauses, eq(1));
        let seconds = fleet.seconds_until(&[2], MemberState::Alive, 1);
        expect_that!(seconds, some(eq(0)), "{size} {pause}");
    }
}

#[gtest]
fn a_process_that_is_late_reads_before_it_judges() {
    for tenths in [2, 5, 7] {
        let mut fleet = Fleet::settled(7);
        for round in 0..100 {
            // The first tick after the stall comes before what has waited in the socket.
            fleet.stalled = Some(0);
            for _step in 0..tenths * TICK_STEPS {
                fleet.step();
            }
            while !(fleet.steps + 1).is_multiple_of(TICK_STEPS) {
                fleet.step();
            }
            fleet.stalled = None;
            for _step in 0..100 + round % 13 * 7 {
                fleet.step();
            }
        }
        let counters = fleet.nodes[0].counters();
        expect_that!(
            (counters.suspicions, counters.pauses),
            eq((0, 0)),
            "{tenths}"
        );
    }
}

#[gtest]
fn a_new_life_under_the_old_address_replaces_the_old_one() {
    // Seconds between the end of the old life and the start of the new one.
    for gap in [0, 2, 30] {
        let mut fleet = Fleet::settled(7);
        fleet.running[4] = false;
        fleet.run(gap);
        let seeds: Vec<VmAddress> = (0..3).map(vm).collect();
        fleet.nodes[4] = protocol(fleet.now, 4, 2);
        fleet.nodes[4].take_seeds(&seeds);
        fleet.sent[4] = 0;
        fleet.running[4] = true;
        fleet.run(5);
        for observer in 0..7 {
            let snapshot = fleet.nodes[observer].snapshot();
            let member = snapshot.get(vm(4)).unwrap();
            expect_that!(member.incarnation, eq(IncarnationNumber(2)), "{gap}");
            expect_that!(member.state, eq(MemberState::Alive), "{gap}");
        }
    }
}

#[gtest]
fn a_life_that_began_earlier_is_believed_once_the_later_one_is_forgotten() {
    // The clock of the VM ran backwards between two lives.
    let mut fleet = Fleet::settled(3);
    fleet.nodes[2] = protocol(fleet.now, 2, 0);
    fleet.nodes[2].take_seeds(&[vm(0), vm(1)]);
    fleet.sent[2] = 0;
    fleet.run(20);
    expect_that!(fleet.state(0, 2), some(eq(MemberState::Failed)));
    expect_that!(
        fleet.nodes[0].counters().dropped[DatagramError::Stale as usize],
        gt(0)
    );
    fleet.run(FORGET_TIME.as_secs() + 120);
    let snapshot = fleet.nodes[0].snapshot();
    expect_that!(
        snapshot.get(vm(2)).map(MemberEntry::session),
        some(eq(SessionId::new(vm(2), IncarnationNumber(0))))
    );
}

#[gtest]
fn a_deaf_or_mute_member_is_failed_and_fails_nobody_else() {
    type Way = fn(usize, usize) -> bool;
    // Node 3 sends but does not receive, or receives but does not send, or neither; failed ones it sees itself.
    let cases: [(Way, usize); 3] = [
        (|_from, to| to != 3, 6),
        (|from, _to| from != 3, 0),
        (|from, to| from != 3 && to != 3, 6),
    ];
    for (case, (reaches, seen)) in cases.into_iter().enumerate() {
        let mut fleet = Fleet::settled(7);
        fleet.reaches = Box::new(move |_, from, to| reaches(from, to));
        let seconds = fleet.seconds_until(&[3], MemberState::Failed, 30);
        expect_that!(seconds, some(le(10)), "{case}");
        fleet.run(60);
        for observer in [0, 1, 2, 4, 5, 6] {
            expect_that!(
                fleet.count(observer, MemberState::Alive),
                eq(6),
                "{case} {observer}"
            );
        }
        expect_that!(fleet.count(3, MemberState::Failed), eq(seen), "{case}");
        fleet.reaches = Box::new(|_, _, _| true);
        fleet.run(10);
        for observer in 0..7 {
            expect_that!(
                fleet.count(observer, MemberState::Alive),
                eq(7),
                "{case} {observer}"
            );
        }
        let refuted: u64 = fleet
            .nodes
            .iter()
            .map(|node| node.counters().refutations)
            .sum();
        expect_that!(refuted, le(12), "{case}");
    }
}

#[gtest]
fn one_lossy_way_between_two_fails_neither() {
    let mut fleet = Fleet::settled(7);
    fleet.reaches = Box::new(|_, from, to| (from, to) != (1, 2));
    let mut failures = 0;
    for _second in 0..60 {
        fleet.run(1);
        failures += fleet.false_failures();
    }
    expect_that!(failures, eq(0));
}

#[gtest]
fn a_cut_zone_is_failed_and_comes_back_when_healed() {
    for (size, cut) in [(9, 60), (30, 300)] {
        let mut fleet = Fleet::settled(size);
        let heals = fleet.now + Duration::from_secs(cut);
        fleet.reaches =
            Box::new(move |now, from, to| now > heals || (from % 3 == 0) == (to % 3 == 0));
        fleet.run(cut);
        expect_that!(fleet.count(0, MemberState::Alive), eq(size / 3));
        expect_that!(fleet.count(1, MemberState::Failed), eq(size / 3));
        fleet.run(20);
        for observer in 0..size {
            expect_that!(
                fleet.count(observer, MemberState::Alive),
                eq(size),
                "{observer}"
            );
        }
    }
}

#[gtest]
fn digests_and_notices_reach_everybody() {
    let mut fleet = Fleet::settled(40).with_loss(0.1);
    let digest = MemberDigest {
        revision: RevisionNumber(9),
        load: 700,
    };
    let notice = GossipNotice::new(b"news");
    for node in &mut fleet.nodes {
        node.take_events();
    }
    let now = fleet.now;
    fleet.nodes[0].set_digest(now, digest);
    fleet.nodes[0].publish_notice(now, notice.clone());
    fleet.run(5);
    for node in &mut fleet.nodes[1..] {
        expect_that!(node.snapshot().get(vm(0)).unwrap().digest, eq(digest));
        let heard = node
            .take_events()
            .into_iter()
            .find_map(|event| match event {
                MemberEvent::Notice(notice) => Some(notice.number),
                _ => None,
            });
        expect_that!(heard, some(eq(notice.number)));
    }
}

#[gtest]
fn a_newcomer_learns_all_members_page_by_page() {
    let mut fleet = Fleet::settled(150);
    let notice = GossipNotice::new(b"news");
    fleet.nodes[9].publish_notice(fleet.now, notice);
    fleet.run(60);
    fleet.nodes.push(protocol(fleet.now, 150, 2));
    fleet.nodes[150].take_seeds(&[vm(0), vm(1), vm(2)]);
    fleet.running.push(true);
    fleet.sent.push(0);
    fleet.run(3);
    expect_that!(fleet.count(150, MemberState::Alive), eq(151));
    let events = fleet.nodes[150].take_events();
    let told = events
        .iter()
        .any(|event| matches!(event, MemberEvent::Notice(_)));
    expect_that!(told, eq(true));
    let known = fleet
        .observers()
        .filter(|observer| fleet.state(*observer, 150).is_some());
    expect_that!(known.count(), eq(151));
    expect_that!(fleet.peak, le(u64::from(SEND_RATE + 2 * SEND_BURST)));
}

/// One way in which datagrams are lost for a while.
fn random_loss(rng: &mut ChaCha8Rng) -> Reaches {
    let (one, other) = (rng.random_range(0..9), rng.random_range(0..9));
    let mut losses = ChaCha8Rng::seed_from_u64(rng.random());
    match rng.random_range(0..5) {
        0 => Box::new(move |_, _, _| !losses.random_bool(0.2)),
        1 => Box::new(move |_, from, to| (from % 3 == one % 3) == (to % 3 == one % 3)),
        2 => Box::new(move |_, from, to| (from, to) != (one, other)),
        3 => Box::new(move |_, from, _| from != one),
        _ => Box::new(move |_, _, to| to != one),
    }
}

#[gtest]
fn after_any_faults_together_all_agree_again() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::settled(9);
        let mut lives = [1_u64; 9];
        for _slot in 0..8 {
            fleet.reaches = random_loss(&mut rng);
            let (paused, replaced) = (rng.random_range(3..9), rng.random_range(3..9));
            fleet.running[paused] = false;
            lives[replaced] += 1;
            fleet.nodes[replaced] = protocol(fleet.now, replaced, lives[replaced]);
            fleet.nodes[replaced].take_seeds(&[vm(0), vm(1), vm(2)]);
            fleet.sent[replaced] = 0;
            fleet.run(rng.random_range(1..12));
            fleet.running[paused] = true;
        }
        fleet.reaches = Box::new(|_, _, _| true);
        fleet.running[8] = false;
        fleet.run(25);
        for observer in fleet.observers() {
            let snapshot = fleet.nodes[observer].snapshot();
            for (about, life) in lives.iter().enumerate() {
                let member = snapshot.get(vm(about));
                let expected = if about == 8 {
                    MemberState::Failed
                } else {
                    MemberState::Alive
                };
                let known = member.map(|member| (member.state, member.incarnation.0));
                // A life that ended before it was heard of is not missed.
                if about == 8 && known.is_none_or(|(state, _)| state == MemberState::Failed) {
                    continue;
                }
                expect_that!(
                    known,
                    some(eq((expected, *life))),
                    "{seed} {observer} {about}"
                );
            }
        }
        expect_that!(
            fleet.peak,
            le(u64::from(SEND_RATE + 2 * SEND_BURST)),
            "{seed}"
        );
    }
}

/// Run by hand: `cargo test --release -p ebonyfork --lib a_large_fleet_starts -- --ignored --nocapture`.
#[gtest]
#[ignore = "takes minutes; gives figures of docs/design/membership.md"]
fn a_large_fleet_starts_at_once() {
    for size in [300, 1_000] {
        let mut fleet = Fleet::new(size, size);
        let known = |fleet: &Fleet| {
            let counts = fleet
                .observers()
                .map(|node| fleet.count(node, MemberState::Alive));
            counts.min().unwrap_or_default()
        };
        while known(&fleet) < size && fleet.now < Duration::from_mins(5) {
            fleet.run(5);
        }
        println!(
            "{size}: {} known by all after {:?}",
            known(&fleet),
            fleet.now
        );
    }
}

/// Run by hand: `cargo test --release -p ebonyfork --lib a_zone_of_a_large_fleet -- --ignored --nocapture`.
#[gtest]
#[ignore = "takes minutes and 8.4 GB; gives figures of docs/design/membership.md"]
fn a_zone_of_a_large_fleet_vanishes() {
    for size in [300, 1_000, 2_000, 4_900] {
        let mut fleet = Fleet::acquainted(size);
        for second in 0..45_u64 {
            if second == 15 {
                for index in (9..size).step_by(10) {
                    fleet.running[index] = false;
                }
            }
            for (index, node) in fleet.nodes.iter_mut().enumerate() {
                let digest = MemberDigest {
                    revision: RevisionNumber(0),
                    load: (index as u64 * 31 + second * 7) as u16 % 1_000,
                };
                node.set_digest(fleet.now, digest);
            }
            fleet.peak = 0;
            fleet.run(1);
            fleet.report(second);
        }
    }
}
