use googletest::prelude::*;

use super::*;
use crate::membership::fleet::{Fleet, TICK_STEPS, protocol, vm};
use crate::membership::timing::FAILED_RETENTION_TIME;

/// Time after a start within which a process has to know which listed VMs are gone: the shortest bound of a deployment
/// from the loss of a VM to the last answer that names it, less a second until the process is restarted.
const KNOWN_WITHIN_S: u64 = 7;

/// Returns the pairs of running nodes in which the first one counts the second one as unreachable.
fn hidden_pairs(fleet: &Fleet) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    for observer in fleet.observers() {
        let snapshot = fleet.nodes[observer].snapshot();
        let is_hidden = |subject: &usize| snapshot.is_unreachable(vm(*subject));
        pairs.extend(
            fleet
                .observers()
                .filter(is_hidden)
                .map(|subject| (observer, subject)),
        );
    }
    pairs
}

/// Returns the running nodes that do not count each of `lost_nodes` as unreachable or failed.
fn ignorant_nodes(fleet: &Fleet, lost_nodes: &[usize]) -> Vec<usize> {
    let is_ignorant = |observer: &usize| {
        let snapshot = fleet.nodes[*observer].snapshot();
        lost_nodes.iter().any(|lost| {
            let member = snapshot.get(vm(*lost));
            member.map_or(!snapshot.is_unreachable(vm(*lost)), |member| {
                member.state.is_present()
            })
        })
    };
    fleet.observers().filter(is_ignorant).collect()
}

/// Guards against trusting the registrations of VMs that did not come back after all processes were killed.
#[gtest]
fn vms_lost_before_the_start_are_known_to_be_unreachable() {
    // VMs, those that do not start again, share of datagrams lost.
    let cases = [
        (4, 1, 0.0),
        (2, 1, 0.0),
        (7, 6, 0.0),
        (7, 3, 0.1),
        (87, 44, 0.0),
        (100, 10, 0.05),
    ];
    for (size, lost_count, loss) in cases {
        let mut fleet = Fleet::new(size, size).with_loss(loss);
        let lost_nodes: Vec<usize> = (size - lost_count..size).collect();
        for lost in &lost_nodes {
            fleet.running[*lost] = false;
        }
        fleet.run(KNOWN_WITHIN_S);
        let case = (size, lost_count, loss);
        expect_that!(ignorant_nodes(&fleet, &lost_nodes), is_empty(), "{case:?}");
        expect_that!(hidden_pairs(&fleet), is_empty(), "{case:?}");
        expect_that!(
            fleet.peak_bytes_per_s,
            le(u64::from(
                crate::membership::timing::SEND_RATE + 2 * crate::membership::timing::SEND_BURST
            )),
            "{case:?}"
        );
    }
}

/// Guards against trusting the registration of a VM whose loss all others have noticed, in a process that starts later.
#[gtest]
fn a_process_that_starts_after_a_loss_learns_of_it() {
    for (size, started_after_s) in [(4, 1), (4, 5), (9, 3), (40, 5)] {
        let mut fleet = Fleet::converged(size);
        let seeds: Vec<VmAddress> = (0..=size).map(vm).collect();
        fleet.running[1] = false;
        fleet.run(started_after_s);
        fleet.nodes.push(protocol(fleet.now, size, 2));
        fleet.nodes[size].set_seeds(fleet.now, &seeds);
        fleet.running.push(true);
        fleet.last_sent_bytes.push(0);
        fleet.run(KNOWN_WITHIN_S);
        expect_that!(ignorant_nodes(&fleet, &[1]), is_empty(), "{size}");
        expect_that!(hidden_pairs(&fleet), is_empty(), "{size}");
    }
}

/// Guards against hiding running VMs while a fleet that starts at once gets to know itself, also on links that lose
/// datagrams.
#[gtest]
fn a_fleet_that_starts_at_once_hides_no_running_vm() {
    for (size, loss) in [(4, 0.2), (30, 0.2), (87, 0.1), (300, 0.0)] {
        let mut fleet = Fleet::new(size, size).with_loss(loss);
        for second in 0..12 {
            fleet.run(1);
            expect_that!(hidden_pairs(&fleet), is_empty(), "{size} {loss} {second} s");
        }
    }
}

/// Guards against taking the silence of others for their end in a process that was not scheduled itself.
#[gtest]
fn a_process_that_was_not_scheduled_hides_no_running_vm() {
    for stall_s in [1, 4] {
        let mut fleet = Fleet::new(9, 9);
        fleet.run(1);
        let unknown_seeds: Vec<VmAddress> = (0..9).map(vm).collect();
        fleet.nodes[0] = protocol(fleet.now, 0, 2);
        fleet.nodes[0].set_seeds(fleet.now, &unknown_seeds);
        fleet.last_sent_bytes[0] = 0;
        for _step in 0..2 * TICK_STEPS {
            fleet.step();
        }
        fleet.stalled_node = Some(0);
        for _step in 0..stall_s * 10 * TICK_STEPS {
            fleet.step();
        }
        fleet.stalled_node = None;
        for _second in 0..5 {
            fleet.run(1);
            expect_that!(hidden_pairs(&fleet), is_empty(), "{stall_s}");
        }
    }
}

/// Guards against hiding a VM for good: one that was cut off from its start, and the others, find each other within
/// seconds after the end of the partition.
#[gtest]
fn vms_that_were_cut_off_are_heard_of_again() {
    let mut fleet = Fleet::new(9, 9);
    fleet.delivers = Box::new(|_, sender, receiver| sender != 3 && receiver != 3);
    fleet.run(10);
    expect_that!(fleet.nodes[3].snapshot().unreachable_vms().len(), eq(8));
    expect_that!(ignorant_nodes(&fleet, &[3]), elements_are![eq(&3)]);
    fleet.delivers = Box::new(|_, _, _| true);
    fleet.run(5);
    expect_that!(hidden_pairs(&fleet), is_empty());
}

/// Guards against trusting a registration again that outlives the member's entry in gossip, for example because the
/// store is down and leases do not expire.
#[gtest]
fn a_failed_member_stays_unreachable_after_its_entry_is_removed() {
    let mut fleet = Fleet::new(4, 4);
    fleet.run(5);
    fleet.running[3] = false;
    fleet.run(10);
    for _second in 0..FAILED_RETENTION_TIME.as_secs() + 120 {
        fleet.run(1);
        expect_that!(ignorant_nodes(&fleet, &[3]), is_empty());
    }
}
