//! Many protocols against each other under virtual time, with a lossy delivery in memory: for tests alone.

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

pub(super) const STEP: Duration = Duration::from_millis(10);
pub(super) const TICK_STEPS: usize = 10;

/// Whether a datagram from one node to another arrives, at this time.
pub(super) type Reaches = Box<dyn FnMut(Duration, usize, usize) -> bool>;

pub(super) struct Fleet {
    pub(super) now: Duration,
    pub(super) steps: usize,
    pub(super) nodes: Vec<MemberProtocol>,
    pub(super) running: Vec<bool>,
    /// A node whose process does not get to run; what is sent to it waits in its socket.
    pub(super) stalled: Option<usize>,
    pub(super) flying: BTreeMap<Duration, Vec<(usize, OutgoingDatagram)>>,
    pub(super) reaches: Reaches,
    pub(super) rng: ChaCha8Rng,
    /// Widest that a node has sent in one second, in bytes.
    pub(super) peak: u64,
    pub(super) sent: Vec<u64>,
}

pub(super) fn vm(index: usize) -> VmAddress {
    VmAddress(std::net::Ipv4Addr::from(0x0a00_0001 + index as u32).into())
}

pub(super) fn protocol(now: Duration, index: usize, incarnation: u64) -> MemberProtocol {
    let own = SessionId::new(vm(index), IncarnationNumber(incarnation));
    let zone = format!("zone-{}", index % 3).parse().unwrap();
    MemberProtocol::new(now, own, zone, 0, incarnation * 10_000 + index as u64)
}

impl Fleet {
    /// Starts `size` nodes at once that know the first `listed` from the VM list.
    pub(super) fn new(size: usize, listed: usize) -> Self {
        let seeds: Vec<VmAddress> = (0..size.min(listed)).map(vm).collect();
        let mut nodes: Vec<MemberProtocol> = (0..size)
            .map(|index| protocol(Duration::ZERO, index, 1))
            .collect();
        for node in &mut nodes {
            node.take_seeds(&seeds);
        }
        Self {
            now: Duration::ZERO,
            steps: 0,
            running: vec![true; size],
            stalled: None,
            sent: vec![0; size],
            nodes,
            flying: BTreeMap::new(),
            reaches: Box::new(|_, _, _| true),
            rng: ChaCha8Rng::seed_from_u64(7),
            peak: 0,
        }
    }

    /// Starts nodes and lets them find each other.
    pub(super) fn settled(size: usize) -> Self {
        let mut fleet = Self::new(size, 3);
        fleet.run(15);
        for index in 0..size {
            assert_eq!(fleet.count(index, MemberState::Alive), size, "node {index}");
        }
        fleet
    }

    /// Starts nodes that know each other already.
    pub(super) fn acquainted(size: usize) -> Self {
        let mut fleet = Self::new(size, size);
        let updates: Vec<MemberUpdate> = fleet
            .nodes
            .iter()
            .map(|node| own_update(&node.own))
            .collect();
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            for (about, update) in updates.iter().enumerate() {
                if about != index {
                    node.believe(Duration::ZERO, update, false);
                }
            }
            node.take_events();
        }
        fleet
    }

    /// Prints how much of what has stopped is known, what is wrongly believed, and what was sent in the last second.
    pub(super) fn report(&self, second: u64) {
        let stopped: Vec<usize> = (0..self.nodes.len())
            .filter(|index| !self.running[*index])
            .collect();
        let (mut learnt, mut wrong) = (0, 0);
        for node in self.observers() {
            let table = &self.nodes[node].table;
            let failed = |vm| {
                table
                    .get(vm)
                    .is_some_and(|record| record.health == MemberHealth::Failed)
            };
            learnt += stopped.iter().filter(|index| failed(vm(**index))).count();
            wrong += self.observers().filter(|index| failed(vm(*index))).count();
        }
        let expected = stopped.len() * self.observers().count();
        let sent: u64 = self
            .nodes
            .iter()
            .map(|node| node.counters().sent_bytes)
            .sum();
        let (size, peak) = (self.nodes.len(), self.peak);
        println!(
            "{size} {second} s: {learnt} of {expected} learnt, {wrong} wrong, peak {peak} B/s, sent {sent} B"
        );
    }

    pub(super) fn with_loss(mut self, loss: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        self.reaches = Box::new(move |_, _, _| !rng.random_bool(loss));
        self
    }

    pub(super) fn run(&mut self, seconds: u64) {
        for _second in 0..seconds {
            for _step in 0..100 {
                self.step();
            }
            for (index, node) in self.nodes.iter().enumerate() {
                let sent = node.counters().sent_bytes;
                self.peak = self.peak.max(sent.saturating_sub(self.sent[index]));
                self.sent[index] = sent;
            }
        }
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let mut out = Vec::new();
        while let Some(entry) = self.flying.first_entry() {
            if *entry.key() > self.now {
                break;
            }
            for (from, datagram) in entry.remove() {
                self.deliver(from, &datagram);
            }
        }
        for index in 0..self.nodes.len() {
            let runs = self.running[index] && self.stalled != Some(index);
            if runs && (self.steps + index).is_multiple_of(TICK_STEPS) {
                self.nodes[index].tick(self.now, &mut out);
                self.post(index, &mut out);
            }
        }
    }

    pub(super) fn deliver(&mut self, from: usize, datagram: &OutgoingDatagram) {
        let std::net::IpAddr::V4(ip) = datagram.to.0 else {
            return;
        };
        let to = (u32::from(ip) - 0x0a00_0001) as usize;
        if self.stalled == Some(to) {
            let later = self.flying.entry(self.now + 2 * STEP).or_default();
            later.push((from, datagram.clone()));
            return;
        }
        if !self.running[to] || !(self.reaches)(self.now, from, to) {
            return;
        }
        let mut out = Vec::new();
        self.nodes[to].take_datagram(self.now, vm(from), &datagram.bytes, &mut out);
        self.post(to, &mut out);
    }

    pub(super) fn post(&mut self, from: usize, out: &mut Vec<OutgoingDatagram>) {
        for datagram in out.drain(..) {
            let arrives = self.now + Duration::from_millis(self.rng.random_range(1..25));
            self.flying
                .entry(arrives)
                .or_default()
                .push((from, datagram));
        }
    }

    pub(super) fn state(&self, observer: usize, about: usize) -> Option<MemberState> {
        let snapshot = self.nodes[observer].snapshot();
        snapshot.get(vm(about)).map(|member| member.state)
    }

    pub(super) fn count(&self, observer: usize, state: MemberState) -> usize {
        let snapshot = self.nodes[observer].snapshot();
        let members = snapshot.members().iter();
        members.filter(|member| member.state == state).count()
    }

    /// Seconds until every running node believes `state` of `about`, and no running node of another.
    pub(super) fn seconds_until(
        &mut self,
        about: &[usize],
        state: MemberState,
        limit: u64,
    ) -> Option<u64> {
        for second in 0..limit {
            let agreed = self.observers().all(|observer| {
                about.contains(&observer)
                    || about
                        .iter()
                        .all(|about| self.state(observer, *about) == Some(state))
            });
            if agreed {
                return Some(second);
            }
            self.run(1);
        }
        None
    }

    pub(super) fn observers(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| self.running[*index])
    }

    /// Failures that running nodes wrongly believe of running nodes.
    pub(super) fn false_failures(&self) -> usize {
        let mut count = 0;
        for observer in self.observers() {
            for about in self.observers() {
                count += usize::from(self.state(observer, about) == Some(MemberState::Failed));
            }
        }
        count
    }
}
