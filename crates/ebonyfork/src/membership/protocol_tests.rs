//! Tests of the protocol under network and process faults, in virtual time.

use googletest::prelude::*;

use super::*;
use crate::ident::{IncarnationNumber, RevisionNumber};
use crate::membership::fleet::{DeliveryRule, Fleet, TICK_STEPS, protocol, vm};
use crate::membership::message::DatagramError;

#[gtest]
fn a_stopped_member_is_detected_by_all_within_seconds() {
    // Members, members that stop at once, share of datagrams lost, maximum seconds until all others detect it.
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
    for (size, stopped_count, loss, limit) in cases {
        let mut fleet = Fleet::converged(size).with_loss(loss);
        let stopped_nodes: Vec<usize> = (size - stopped_count..size).collect();
        for index in &stopped_nodes {
            fleet.running[*index] = false;
        }
        let seconds = fleet.seconds_until(&stopped_nodes, MemberState::Failed, 60);
        expect_that!(seconds, some(le(limit)), "{size} {stopped_nodes:?} {loss}");
        fleet.run(30);
        expect_that!(
            fleet.false_failures(),
            eq(0),
            "{size} {stopped_nodes:?} {loss}"
        );
        expect_that!(
            fleet.peak_bytes_per_s,
            le(u64::from(SEND_RATE + 2 * SEND_BURST))
        );
    }
}

#[gtest]
fn datagram_loss_alone_causes_no_failure() {
    for (size, loss) in [(5, 0.2), (20, 0.1), (20, 0.2)] {
        let mut fleet = Fleet::converged(size).with_loss(loss);
        let mut failures = 0;
        for _second in 0..120 {
            fleet.run(1);
            failures += fleet.false_failures();
        }
        expect_that!(failures, eq(0), "{size} {loss}");
    }
}

#[gtest]
fn leaving_spreads_at_once_and_persists() {
    for (size, loss) in [(7, 0.0), (40, 0.1)] {
        let mut fleet = Fleet::converged(size).with_loss(loss);
        let mut outbox = Vec::new();
        fleet.nodes[1].announce_leaving(fleet.now, &mut outbox);
        fleet.enqueue(1, &mut outbox);
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
fn a_paused_member_reports_no_failures_and_returns() {
    for (size, pause_s) in [(3, 3), (7, 3), (7, 60), (20, 60)] {
        let mut fleet = Fleet::converged(size);
        fleet.running[2] = false;
        fleet.run(pause_s);
        fleet.running[2] = true;
        let mut false_failures = 0;
        for _second in 0..20 {
            fleet.run(1);
            for subject in 0..size {
                false_failures += usize::from(fleet.state(2, subject) == Some(MemberState::Failed));
            }
        }
        expect_that!(false_failures, eq(0), "{size} {pause_s}");
        expect_that!(fleet.nodes[2].counters().pauses, eq(1));
        let seconds = fleet.seconds_until(&[2], MemberState::Alive, 1);
        expect_that!(seconds, some(eq(0)), "{size} {pause_s}");
    }
}

#[gtest]
fn a_late_process_reads_datagrams_before_it_suspects() {
    for stall_ticks in [2, 5, 7] {
        let mut fleet = Fleet::converged(7);
        for round in 0..100 {
            // The first tick after the stall runs before the datagrams that waited in the socket are read.
            fleet.stalled_node = Some(0);
            for _step in 0..stall_ticks * TICK_STEPS {
                fleet.step();
            }
            while !(fleet.steps + 1).is_multiple_of(TICK_STEPS) {
                fleet.step();
            }
            fleet.stalled_node = None;
            for _step in 0..100 + round % 13 * 7 {
                fleet.step();
            }
        }
        let counters = fleet.nodes[0].counters();
        expect_that!(
            (counters.suspicions, counters.pauses),
            eq((0, 0)),
            "{stall_ticks}"
        );
    }
}

#[gtest]
fn a_new_incarnation_replaces_the_old_one_at_its_address() {
    // Seconds between the end of the old process and the start of the new one.
    for gap_s in [0, 2, 30] {
        let mut fleet = Fleet::converged(7);
        fleet.running[4] = false;
        fleet.run(gap_s);
        let seeds: Vec<VmAddress> = (0..3).map(vm).collect();
        fleet.nodes[4] = protocol(fleet.now, 4, 2);
        fleet.nodes[4].set_seeds(fleet.now, &seeds);
        fleet.last_sent_bytes[4] = 0;
        fleet.running[4] = true;
        fleet.run(5);
        for observer in 0..7 {
            let snapshot = fleet.nodes[observer].snapshot();
            let member = snapshot.get(vm(4)).unwrap();
            expect_that!(member.incarnation, eq(IncarnationNumber(2)), "{gap_s}");
            expect_that!(member.state, eq(MemberState::Alive), "{gap_s}");
        }
    }
}

#[gtest]
fn an_earlier_incarnation_is_accepted_once_the_later_one_is_removed() {
    // The clock of the VM ran backwards between two incarnations.
    let mut fleet = Fleet::converged(3);
    fleet.nodes[2] = protocol(fleet.now, 2, 0);
    fleet.nodes[2].set_seeds(fleet.now, &[vm(0), vm(1)]);
    fleet.last_sent_bytes[2] = 0;
    fleet.run(20);
    expect_that!(fleet.state(0, 2), some(eq(MemberState::Failed)));
    expect_that!(
        fleet.nodes[0].counters().dropped_datagrams[DatagramError::Stale as usize],
        gt(0)
    );
    fleet.run(FAILED_RETENTION_TIME.as_secs() + 120);
    let snapshot = fleet.nodes[0].snapshot();
    expect_that!(
        snapshot.get(vm(2)).map(MemberEntry::session),
        some(eq(SessionId::new(vm(2), IncarnationNumber(0))))
    );
}

#[gtest]
fn an_unreachable_member_fails_without_failing_others() {
    type DeliversBetween = fn(usize, usize) -> bool;
    // Node 3 only sends, only receives, or does neither; and the number of members that node 3 itself sees as failed.
    let cases: [(DeliversBetween, usize); 3] = [
        (|_sender, receiver| receiver != 3, 6),
        (|sender, _receiver| sender != 3, 0),
        (|sender, receiver| sender != 3 && receiver != 3, 6),
    ];
    for (case, (delivers, failed_count)) in cases.into_iter().enumerate() {
        let mut fleet = Fleet::converged(7);
        fleet.delivers = Box::new(move |_, sender, receiver| delivers(sender, receiver));
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
        expect_that!(
            fleet.count(3, MemberState::Failed),
            eq(failed_count),
            "{case}"
        );
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.run(10);
        for observer in 0..7 {
            expect_that!(
                fleet.count(observer, MemberState::Alive),
                eq(7),
                "{case} {observer}"
            );
        }
        let refutations: u64 = fleet
            .nodes
            .iter()
            .map(|node| node.counters().refutations)
            .sum();
        expect_that!(refutations, le(12), "{case}");
    }
}

#[gtest]
fn one_way_loss_between_two_members_fails_neither() {
    let mut fleet = Fleet::converged(7);
    fleet.delivers = Box::new(|_, sender, receiver| (sender, receiver) != (1, 2));
    let mut failures = 0;
    for _second in 0..60 {
        fleet.run(1);
        failures += fleet.false_failures();
    }
    expect_that!(failures, eq(0));
}

#[gtest]
fn a_partitioned_zone_fails_and_returns_after_the_partition() {
    for (size, partition_s) in [(9, 60), (30, 300)] {
        let mut fleet = Fleet::converged(size);
        let healed_at = fleet.now + Duration::from_secs(partition_s);
        fleet.delivers = Box::new(move |now, sender, receiver| {
            now > healed_at || (sender % 3 == 0) == (receiver % 3 == 0)
        });
        fleet.run(partition_s);
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
fn digests_and_notices_reach_all_members() {
    let mut fleet = Fleet::converged(40).with_loss(0.1);
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
        let received_number = node
            .take_events()
            .into_iter()
            .find_map(|event| match event {
                MemberEvent::Notice(notice) => Some(notice.number),
                _ => None,
            });
        expect_that!(received_number, some(eq(notice.number)));
    }
}

#[gtest]
fn a_joining_member_learns_all_members_page_by_page() {
    let mut fleet = Fleet::converged(150);
    let notice = GossipNotice::new(b"news");
    fleet.nodes[9].publish_notice(fleet.now, notice);
    fleet.run(60);
    fleet.nodes.push(protocol(fleet.now, 150, 2));
    fleet.nodes[150].set_seeds(fleet.now, &[vm(0), vm(1), vm(2)]);
    fleet.running.push(true);
    fleet.last_sent_bytes.push(0);
    fleet.run(3);
    expect_that!(fleet.count(150, MemberState::Alive), eq(151));
    let events = fleet.nodes[150].take_events();
    let was_notified = events
        .iter()
        .any(|event| matches!(event, MemberEvent::Notice(_)));
    expect_that!(was_notified, eq(true));
    let knowing_nodes = fleet
        .observers()
        .filter(|observer| fleet.state(*observer, 150).is_some());
    expect_that!(knowing_nodes.count(), eq(151));
    expect_that!(
        fleet.peak_bytes_per_s,
        le(u64::from(SEND_RATE + 2 * SEND_BURST))
    );
}

/// Returns a random rule by which datagrams are lost.
fn random_loss(rng: &mut ChaCha8Rng) -> DeliveryRule {
    let (first_node, second_node) = (rng.random_range(0..9), rng.random_range(0..9));
    let mut losses = ChaCha8Rng::seed_from_u64(rng.random());
    match rng.random_range(0..5) {
        0 => Box::new(move |_, _, _| !losses.random_bool(0.2)),
        1 => Box::new(move |_, sender, receiver| {
            (sender % 3 == first_node % 3) == (receiver % 3 == first_node % 3)
        }),
        2 => Box::new(move |_, sender, receiver| (sender, receiver) != (first_node, second_node)),
        3 => Box::new(move |_, sender, _| sender != first_node),
        _ => Box::new(move |_, _, receiver| receiver != first_node),
    }
}

#[gtest]
fn all_members_agree_after_combined_faults() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::converged(9);
        let mut incarnations = [1_u64; 9];
        for _round in 0..8 {
            fleet.delivers = random_loss(&mut rng);
            let (paused_node, replaced_node) = (rng.random_range(3..9), rng.random_range(3..9));
            fleet.running[paused_node] = false;
            incarnations[replaced_node] += 1;
            fleet.nodes[replaced_node] =
                protocol(fleet.now, replaced_node, incarnations[replaced_node]);
            fleet.nodes[replaced_node].set_seeds(fleet.now, &[vm(0), vm(1), vm(2)]);
            fleet.last_sent_bytes[replaced_node] = 0;
            fleet.run(rng.random_range(1..12));
            fleet.running[paused_node] = true;
        }
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.running[8] = false;
        fleet.run(25);
        for observer in fleet.observers() {
            let snapshot = fleet.nodes[observer].snapshot();
            for (subject, incarnation) in incarnations.iter().enumerate() {
                let member = snapshot.get(vm(subject));
                let expected_state = if subject == 8 {
                    MemberState::Failed
                } else {
                    MemberState::Alive
                };
                let known_state = member.map(|member| (member.state, member.incarnation.0));
                // Node 8 may have stopped before any other node learned of its last incarnation.
                if subject == 8 && known_state.is_none_or(|(state, _)| state == MemberState::Failed)
                {
                    continue;
                }
                expect_that!(
                    known_state,
                    some(eq((expected_state, *incarnation))),
                    "{seed} {observer} {subject}"
                );
            }
        }
        expect_that!(
            fleet.peak_bytes_per_s,
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
        let min_known_members = |fleet: &Fleet| {
            let counts = fleet
                .observers()
                .map(|node| fleet.count(node, MemberState::Alive));
            counts.min().unwrap_or_default()
        };
        while min_known_members(&fleet) < size && fleet.now < Duration::from_mins(5) {
            fleet.run(5);
        }
        println!(
            "{size}: {} known by all after {:?}",
            min_known_members(&fleet),
            fleet.now
        );
    }
}

/// Run by hand: `cargo test --release -p ebonyfork --lib a_zone_of_a_large_fleet -- --ignored --nocapture`.
#[gtest]
#[ignore = "takes minutes and 8.4 GB; gives figures of docs/design/membership.md"]
fn a_zone_of_a_large_fleet_vanishes() {
    for size in [300, 1_000, 2_000, 4_900] {
        let mut fleet = Fleet::fully_known(size);
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
            fleet.peak_bytes_per_s = 0;
            fleet.run(1);
            fleet.print_progress(second);
        }
    }
}

/// Load pattern: members of a fleet in several zones come and go all the time. If gossip chose among all members, most
/// of its bytes would leave the sender's zone: two thirds with three zones, five sixths with six.
#[gtest]
fn most_gossip_stays_in_the_zone_and_still_reaches_all() {
    for size in [60, 240] {
        let mut fleet = Fleet::fully_known(size);
        fleet.run(3);
        let counts = std::rc::Rc::new(std::cell::Cell::new((0_u32, 0_u32)));
        let counter = std::rc::Rc::clone(&counts);
        fleet.delivers = Box::new(move |_now, sender, receiver| {
            let (all, leaving_zone) = counter.get();
            let leaves_zone = u32::from(sender % 3 != receiver % 3);
            counter.set((all + 1, leaving_zone + leaves_zone));
            true
        });
        let stopping_nodes: Vec<usize> = (0..size).step_by(10).collect();
        let mut outbox = Vec::new();
        for index in &stopping_nodes {
            fleet.nodes[*index].announce_leaving(fleet.now, &mut outbox);
            fleet.enqueue(*index, &mut outbox);
        }
        let seconds = fleet.seconds_until(&stopping_nodes, MemberState::Leaving, 10);
        expect_that!(seconds, some(le(4)), "{size}");
        let (all, leaving_zone) = counts.get();
        expect_that!(leaving_zone, lt(all / 2), "{size}: of {all}");
    }
}
