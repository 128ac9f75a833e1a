//! Whom to probe, and what a missing answer means.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::ident::VmAddress;
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{MemberHealth, MemberLife, MemberMessage};
use crate::membership::protocol::MemberProtocol;
use crate::membership::table::MemberTable;
use crate::membership::timing::{
    DIRECT_TIMEOUT, ENOUGH_MEMBERS, HELPER_COUNT, PROBE_PERIOD, RELAY_LIMIT, RELAY_TIME,
    SEED_FANOUT, SEED_WAIT, SLOW_PERIOD,
};

/// Draws of a random member before none is found.
const DRAW_LIMIT: usize = 16;

/// The rounds of probes, the one that is out, and those passed on for others.
#[derive(Debug)]
pub(super) struct ProbeState {
    /// Members in the order of this round; some may have failed since.
    order: Vec<VmAddress>,
    position: usize,
    current: Option<OpenProbe>,
    next: Duration,
    next_slow: Duration,
    next_seed: Duration,
    seed_wait: Duration,
    relays: Vec<RelayedProbe>,
}

/// The probe of this period.
#[derive(Debug)]
struct OpenProbe {
    target: VmAddress,
    life: MemberLife,
    sequence: u32,
    sent: Duration,
    helpers: SmallVec<[VmAddress; HELPER_COUNT]>,
    asked: bool,
}

/// A probe made on somebody's behalf.
#[derive(Debug)]
struct RelayedProbe {
    target: VmAddress,
    sequence: u32,
    requester: VmAddress,
    requested: u32,
    until: Duration,
}

impl ProbeState {
    pub(super) fn new(now: Duration, rng: &mut impl Rng) -> Self {
        Self {
            order: Vec::new(),
            position: 0,
            current: None,
            next: now + PROBE_PERIOD.mul_f64(rng.random()),
            next_slow: now,
            next_seed: now,
            seed_wait: SEED_WAIT,
            relays: Vec::new(),
        }
    }

    /// Gives up the open probe after a pause; the next one starts when the answers that piled up have been read.
    pub(super) fn suspend(&mut self, now: Duration) {
        self.current = None;
        self.next = now + PROBE_PERIOD;
    }

    /// Leaves the open probe some more time.
    pub(super) fn postpone(&mut self, now: Duration) {
        self.next = self.next.max(now + DIRECT_TIMEOUT);
    }

    /// Adds a member at a random place, so that new ones are probed as evenly as old ones.
    pub(super) fn insert(&mut self, vm: VmAddress, rng: &mut impl Rng) {
        if self.order.contains(&vm) {
            return;
        }
        let place = rng.random_range(0..=self.order.len());
        self.order.push(vm);
        let last = self.order.len() - 1;
        self.order.swap(place, last);
    }

    fn next_target(&mut self, table: &MemberTable, rng: &mut impl Rng) -> Option<VmAddress> {
        for _round in 0..2 {
            while let Some(vm) = self.order.get(self.position).copied() {
                self.position += 1;
                if is_present(table, vm) {
                    return Some(vm);
                }
            }
            self.order.clear();
            let present = table
                .records()
                .filter(|(_, record)| record.health != MemberHealth::Failed);
            self.order.extend(present.map(|(vm, _)| vm));
            self.order.shuffle(rng);
            self.position = 0;
        }
        None
    }

    /// A random member that is not failed.
    pub(super) fn random(
        &self,
        table: &MemberTable,
        rng: &mut impl Rng,
        except: Option<VmAddress>,
    ) -> Option<VmAddress> {
        if self.order.is_empty() {
            return None;
        }
        for _draw in 0..DRAW_LIMIT {
            let vm = self.order[rng.random_range(0..self.order.len())];
            if Some(vm) != except && is_present(table, vm) {
                return Some(vm);
            }
        }
        None
    }
}

fn is_present(table: &MemberTable, vm: VmAddress) -> bool {
    table
        .get(vm)
        .is_some_and(|record| record.health != MemberHealth::Failed)
}

impl MemberProtocol {
    pub(super) fn tick_probe(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        self.probe.relays.retain(|relay| relay.until > now);
        if now >= self.probe.next {
            self.conclude_probe(now);
            self.start_probe(now, out);
        } else {
            self.ask_helpers(now, out);
        }
        self.probe_seeds(now, out);
    }

    /// Suspects the target whose answer is missing, unless the fault may be our own.
    fn conclude_probe(&mut self, now: Duration) {
        let Some(probe) = self.probe.current.take() else {
            return;
        };
        let heard_since = self.last_heard.is_some_and(|heard| heard > probe.sent);
        if !heard_since || !self.hears(now) || !self.is_answered(now) {
            return;
        }
        let Some(record) = self.table.get(probe.target) else {
            return;
        };
        if record.life != probe.life || record.health != MemberHealth::Alive {
            return;
        }
        self.counters.suspicions += 1;
        let suspicion = self.accusation(probe.target, probe.life, MemberHealth::Suspect);
        self.believe(now, &suspicion, true);
    }

    fn start_probe(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        self.probe.next = now + PROBE_PERIOD;
        let target = self.probe.next_target(&self.table, &mut self.rng);
        let Some(target) = target else {
            return;
        };
        let Some(life) = self.table.get(target).map(|record| record.life) else {
            return;
        };
        let sequence = self.draw_sequence();
        self.probe.current = Some(OpenProbe {
            target,
            life,
            sequence,
            sent: now,
            helpers: SmallVec::new(),
            asked: false,
        });
        self.send(now, target, MemberMessage::Ping { sequence }, out);
    }

    fn ask_helpers(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        let Some(probe) = &mut self.probe.current else {
            return;
        };
        if probe.asked || now < probe.sent + DIRECT_TIMEOUT {
            return;
        }
        probe.asked = true;
        let (target, sequence) = (probe.target, probe.sequence);
        let mut helpers: SmallVec<[VmAddress; HELPER_COUNT]> = SmallVec::new();
        for _helper in 0..HELPER_COUNT {
            let Some(helper) = self.random_member(Some(target)) else {
                break;
            };
            if !helpers.contains(&helper) {
                helpers.push(helper);
            }
        }
        for helper in &helpers {
            let request = MemberMessage::PingRequest { sequence, target };
            self.send(now, *helper, request, out);
        }
        if let Some(probe) = &mut self.probe.current {
            probe.helpers = helpers;
        }
    }

    pub(super) fn take_ack(
        &mut self,
        now: Duration,
        from: VmAddress,
        sequence: u32,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        self.last_ack = Some(now);
        let answered = self.probe.current.as_ref().is_some_and(|probe| {
            probe.sequence == sequence && (probe.target == from || probe.helpers.contains(&from))
        });
        if answered {
            self.probe.current = None;
            return;
        }
        let mut relays = self.probe.relays.iter();
        let found = relays.position(|relay| relay.sequence == sequence && relay.target == from);
        let Some(index) = found else {
            return;
        };
        let relay = self.probe.relays.swap_remove(index);
        let sequence = relay.requested;
        self.send(now, relay.requester, MemberMessage::Ack { sequence }, out);
    }

    pub(super) fn take_ping_request(
        &mut self,
        now: Duration,
        requester: VmAddress,
        requested: u32,
        target: VmAddress,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let known = self.table.get(target).is_some();
        if !known || self.probe.relays.len() >= RELAY_LIMIT {
            return;
        }
        let sequence = self.draw_sequence();
        self.probe.relays.push(RelayedProbe {
            target,
            sequence,
            requester,
            requested,
            until: now + RELAY_TIME,
        });
        self.send(now, target, MemberMessage::Ping { sequence }, out);
    }

    /// Probes listed VMs that never answered, quickly while few members are known; and failed members, slowly, because
    /// a cut that heals must be noticed by somebody.
    fn probe_seeds(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        let slow = now >= self.probe.next_slow;
        if slow {
            self.probe.next_slow = now + SLOW_PERIOD;
            if let Some(failed) = self.random_failed() {
                self.ping_once(now, failed, out);
            }
        }
        let alone = self.table.present() < ENOUGH_MEMBERS;
        if now < self.probe.next_seed || !(alone || slow) {
            return;
        }
        // When a whole fleet starts at once, those that are asked first can't answer everybody.
        self.probe.seed_wait = (self.probe.seed_wait * 2).min(SLOW_PERIOD);
        let jitter = 0.5 + self.rng.random::<f64>();
        self.probe.next_seed = now + self.probe.seed_wait.mul_f64(jitter);
        let fanout = if alone { SEED_FANOUT } else { 1 };
        for _seed in 0..fanout {
            if let Some(seed) = self.random_seed() {
                self.ping_once(now, seed, out);
            }
        }
    }

    fn ping_once(&mut self, now: Duration, to: VmAddress, out: &mut Vec<OutgoingDatagram>) {
        let sequence = self.draw_sequence();
        self.send(now, to, MemberMessage::Ping { sequence }, out);
    }

    fn random_failed(&mut self) -> Option<VmAddress> {
        let records = self.table.records();
        let failed = records.filter(|(_, record)| record.health == MemberHealth::Failed);
        let failed: Vec<VmAddress> = failed.map(|(vm, _)| vm).collect();
        pick(&failed, &mut self.rng)
    }

    fn random_seed(&mut self) -> Option<VmAddress> {
        for _draw in 0..DRAW_LIMIT {
            let seed = pick(&self.seeds, &mut self.rng)?;
            if self.table.get(seed).is_none() {
                return Some(seed);
            }
        }
        None
    }
}

fn pick(vms: &[VmAddress], rng: &mut impl Rng) -> Option<VmAddress> {
    if vms.is_empty() {
        return None;
    }
    Some(vms[rng.random_range(0..vms.len())])
}
