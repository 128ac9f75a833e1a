//! Test fixture: runs many protocol instances in virtual time over a simulated lossy network.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ident::{IncarnationNumber, SessionId, VmAddress};
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{MemberHealth, MemberUpdate};
use crate::membership::protocol::MemberProtocol;
use crate::membership::snapshot::MemberState;
use crate::membership::telling::own_update;

/// Step of the virtual clock.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Clock steps between two ticks of a node.
pub(crate) const TICK_STEPS: usize = 10;

/// Decides whether a datagram arrives, given the time, the sending node and the receiving node.
pub(crate) type DeliveryRule = Box<dyn FnMut(Duration, usize, usize) -> bool>;

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) steps: usize,
    pub(crate) nodes: Vec<MemberProtocol>,
    /// Whether each node runs; a node that does not run loses its datagrams.
    pub(crate) running: Vec<bool>,
    /// Node whose process is not scheduled; datagrams to it wait in its socket.
    pub(crate) stalled_node: Option<usize>,
    /// Datagrams in flight with their senders, by time of arrival.
    pub(crate) in_flight: BTreeMap<Duration, Vec<(usize, OutgoingDatagram)>>,
    /// Rule by which datagrams arrive or are lost.
    pub(crate) delivers: DeliveryRule,
    pub(crate) rng: ChaCha8Rng,
    /// Most bytes that any node has sent within one second.
    pub(crate) peak_bytes_per_s: u64,
    /// Total bytes that each node had sent at the end of the last second.
    pub(crate) last_sent_bytes: Vec<u64>,
}

/// Returns the address of a node.
pub(crate) fn vm(index: usize) -> VmAddress {
    VmAddress(std::net::Ipv4Addr::from(0x0a00_0001 + index as u32).into())
}

/// Creates the protocol state of a node that starts at `now`.
pub(crate) fn protocol(now: Duration, index: usize, incarnation: u64) -> MemberProtocol {
    let own_session = SessionId::new(vm(index), IncarnationNumber(incarnation));
    let zone = format!("zone-{}", index % 3).parse().unwrap();
    MemberProtocol::new(
        now,
        own_session,
        zone,
        0,
        incarnation * 10_000 + index as u64,
    )
}

impl Fleet {
    /// Starts `size` nodes at once whose VM list has the first `seed_count` nodes.
    pub(crate) fn new(size: usize, seed_count: usize) -> Self {
        let seeds: Vec<VmAddress> = (0..size.min(seed_count)).map(vm).collect();
        let mut nodes: Vec<MemberProtocol> = (0..size)
            .map(|index| protocol(Duration::ZERO, index, 1))
            .collect();
        for node in &mut nodes {
            node.set_seeds(Duration::ZERO, &seeds);
        }
        Self {
            now: Duration::ZERO,
            steps: 0,
            running: vec![true; size],
            stalled_node: None,
            last_sent_bytes: vec![0; size],
            nodes,
            in_flight: BTreeMap::new(),
            delivers: Box::new(|_, _, _| true),
            rng: ChaCha8Rng::seed_from_u64(7),
            peak_bytes_per_s: 0,
        }
    }

    /// Starts nodes and runs them until each knows all others.
    pub(crate) fn converged(size: usize) -> Self {
        let mut fleet = Self::new(size, 3);
        fleet.run(15);
        for index in 0..size {
            assert_eq!(fleet.count(index, MemberState::Alive), size, "node {index}");
        }
        fleet
    }

    /// Starts nodes whose member tables already hold all others.
    pub(crate) fn fully_known(size: usize) -> Self {
        let mut fleet = Self::new(size, size);
        let updates: Vec<MemberUpdate> = fleet
            .nodes
            .iter()
            .map(|node| own_update(&node.own_header))
            .collect();
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            for (subject, update) in updates.iter().enumerate() {
                if subject != index {
                    node.apply_update(Duration::ZERO, update, false);
                }
            }
            node.take_events();
        }
        fleet
    }

    /// Prints how many failures have been detected, how many are false, the peak send rate and the total bytes sent.
    pub(crate) fn print_progress(&self, second: u64) {
        let stopped_nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|index| !self.running[*index])
            .collect();
        let (mut detected_count, mut false_failures) = (0, 0);
        for node in self.observers() {
            let table = &self.nodes[node].table;
            let is_failed = |vm| {
                table
                    .get(vm)
                    .is_some_and(|record| record.health == MemberHealth::Failed)
            };
            detected_count += stopped_nodes
                .iter()
                .filter(|index| is_failed(vm(**index)))
                .count();
            false_failures += self
                .observers()
                .filter(|index| is_failed(vm(*index)))
                .count();
        }
        let expected_count = stopped_nodes.len() * self.observers().count();
        let sent_bytes: u64 = self
            .nodes
            .iter()
            .map(|node| node.counters().sent_bytes)
            .sum();
        let (size, peak_rate) = (self.nodes.len(), self.peak_bytes_per_s);
        println!(
            "{size} {second} s: {detected_count} of {expected_count} detected, {false_failures} false, peak {peak_rate} B/s, sent {sent_bytes} B"
        );
    }

    /// Drops each datagram with probability `loss`.
    pub(crate) fn with_loss(mut self, loss: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        self.delivers = Box::new(move |_, _, _| !rng.random_bool(loss));
        self
    }

    /// Advances the virtual clock by whole seconds and records the peak send rate.
    pub(crate) fn run(&mut self, seconds: u64) {
        for _second in 0..seconds {
            for _step in 0..100 {
                self.step();
            }
            for (index, node) in self.nodes.iter().enumerate() {
                let sent_bytes = node.counters().sent_bytes;
                self.peak_bytes_per_s = self
                    .peak_bytes_per_s
                    .max(sent_bytes.saturating_sub(self.last_sent_bytes[index]));
                self.last_sent_bytes[index] = sent_bytes;
            }
        }
    }

    /// Advances the virtual clock by one [`STEP`]: delivers datagrams and ticks the nodes that are due.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let mut outbox = Vec::new();
        while let Some(entry) = self.in_flight.first_entry() {
            if *entry.key() > self.now {
                break;
            }
            for (sender, datagram) in entry.remove() {
                self.deliver(sender, &datagram);
            }
        }
        for index in 0..self.nodes.len() {
            let is_running = self.running[index] && self.stalled_node != Some(index);
            if is_running && (self.steps + index).is_multiple_of(TICK_STEPS) {
                self.nodes[index].tick(self.now, &mut outbox);
                self.enqueue(index, &mut outbox);
            }
        }
    }

    /// Delivers a datagram to a running node, unless the delivery rule drops it; retries later if the node is stalled.
    pub(crate) fn deliver(&mut self, sender: usize, datagram: &OutgoingDatagram) {
        let std::net::IpAddr::V4(ip) = datagram.destination.0 else {
            return;
        };
        let receiver = (u32::from(ip) - 0x0a00_0001) as usize;
        if self.stalled_node == Some(receiver) {
            let retry_queue = self.in_flight.entry(self.now + 2 * STEP).or_default();
            retry_queue.push((sender, datagram.clone()));
            return;
        }
        if !self.running[receiver] || !(self.delivers)(self.now, sender, receiver) {
            return;
        }
        let mut outbox = Vec::new();
        self.nodes[receiver].receive_datagram(self.now, vm(sender), &datagram.bytes, &mut outbox);
        self.enqueue(receiver, &mut outbox);
    }

    /// Puts datagrams in flight, each with a random latency.
    pub(crate) fn enqueue(&mut self, sender: usize, outbox: &mut Vec<OutgoingDatagram>) {
        for datagram in outbox.drain(..) {
            let arrives_at = self.now + Duration::from_millis(self.rng.random_range(1..25));
            self.in_flight
                .entry(arrives_at)
                .or_default()
                .push((sender, datagram));
        }
    }

    /// Returns the state in which `observer` sees `subject`.
    pub(crate) fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let snapshot = self.nodes[observer].snapshot();
        snapshot.get(vm(subject)).map(|member| member.state)
    }

    /// Returns how many members `observer` sees in `state`, itself included.
    pub(crate) fn count(&self, observer: usize, state: MemberState) -> usize {
        let snapshot = self.nodes[observer].snapshot();
        let members = snapshot.members().iter();
        members.filter(|member| member.state == state).count()
    }

    /// Runs until all running nodes outside `subjects` see every node of `subjects` in `state`; returns the seconds it
    /// took, or none after `limit` seconds.
    pub(crate) fn seconds_until(
        &mut self,
        subjects: &[usize],
        state: MemberState,
        limit: u64,
    ) -> Option<u64> {
        for second in 0..limit {
            let all_agree = self.observers().all(|observer| {
                subjects.contains(&observer)
                    || subjects
                        .iter()
                        .all(|subject| self.state(observer, *subject) == Some(state))
            });
            if all_agree {
                return Some(second);
            }
            self.run(1);
        }
        None
    }

    /// Iterates over the running nodes.
    pub(crate) fn observers(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| self.running[*index])
    }

    /// Returns how many pairs of running nodes exist in which one sees the other as failed.
    pub(crate) fn false_failures(&self) -> usize {
        let mut count = 0;
        for observer in self.observers() {
            for subject in self.observers() {
                count += usize::from(self.state(observer, subject) == Some(MemberState::Failed));
            }
        }
        count
    }
}
