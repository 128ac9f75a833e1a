//! Failure detection: selects the members to probe and raises suspicions when answers are missing.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::ident::{VmAddress, ZoneName};
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{MemberHealth, MemberMessage, MemberVersion};
use crate::membership::protocol::MemberProtocol;
use crate::membership::table::MemberTable;
use crate::membership::timing::{
    DIRECT_TIMEOUT, HELPER_COUNT, MAX_RELAYS, PROBE_PERIOD, RECONNECT_PERIOD, RELAY_TIMEOUT,
};

/// Maximum number of draws when searching for a random member that fits.
const MAX_DRAWS: usize = 16;

/// Probe order, the open probe, and the probes made for other members.
#[derive(Debug)]
pub(super) struct ProbeState {
    /// Members in the order of the current round; some may have failed in the meantime.
    order: Vec<VmAddress>,
    /// Index of the next member in `order` to probe.
    position: usize,
    /// Probe that waits for an answer.
    open_probe: Option<OpenProbe>,
    /// When the open probe ends and the next one starts.
    next_probe_at: Duration,
    /// When a failed member is next pinged.
    next_reconnect_at: Duration,
    /// Probes made for other members whose answers are to be forwarded.
    relays: Vec<RelayedProbe>,
}

/// The probe of the current period, which has not been answered yet.
#[derive(Debug)]
struct OpenProbe {
    target: VmAddress,
    version: MemberVersion,
    sequence: u32,
    sent_at: Duration,
    /// Members that were asked for an indirect probe.
    helpers: SmallVec<[VmAddress; HELPER_COUNT]>,
    /// Whether indirect probes have been requested.
    helpers_asked: bool,
}

/// A probe made at the request of another member.
#[derive(Debug)]
struct RelayedProbe {
    target: VmAddress,
    sequence: u32,
    requester: VmAddress,
    /// Sequence number of the request, which the forwarded answer carries.
    requester_sequence: u32,
    expires_at: Duration,
}

impl ProbeState {
    pub(super) fn new(now: Duration, rng: &mut impl Rng) -> Self {
        Self {
            order: Vec::new(),
            position: 0,
            open_probe: None,
            next_probe_at: now + PROBE_PERIOD.mul_f64(rng.random()),
            next_reconnect_at: now,
            relays: Vec::new(),
        }
    }

    /// Drops the open probe after a pause. The next one starts a period later, when the queued answers have been read.
    pub(super) fn suspend(&mut self, now: Duration) {
        self.open_probe = None;
        self.next_probe_at = now + PROBE_PERIOD;
    }

    /// Keeps the open probe open for at least another [`DIRECT_TIMEOUT`].
    pub(super) fn postpone(&mut self, now: Duration) {
        self.next_probe_at = self.next_probe_at.max(now + DIRECT_TIMEOUT);
    }

    /// Inserts a member at a random position of the round, so that new members are probed as evenly as old ones.
    pub(super) fn insert(&mut self, vm: VmAddress, rng: &mut impl Rng) {
        if self.order.contains(&vm) {
            return;
        }
        let index = rng.random_range(0..=self.order.len());
        self.order.push(vm);
        let last_index = self.order.len() - 1;
        self.order.swap(index, last_index);
    }

    /// Returns the next member of the round that is not failed; starts a new shuffled round when this one is exhausted.
    fn next_target(&mut self, table: &MemberTable, rng: &mut impl Rng) -> Option<VmAddress> {
        for _round in 0..2 {
            while let Some(vm) = self.order.get(self.position).copied() {
                self.position += 1;
                if is_present(table, vm) {
                    return Some(vm);
                }
            }
            self.order.clear();
            let present_members = table
                .records()
                .filter(|(_, record)| record.health != MemberHealth::Failed);
            self.order.extend(present_members.map(|(vm, _)| vm));
            self.order.shuffle(rng);
            self.position = 0;
        }
        None
    }

    /// Returns a random member that is not failed, other than `excluded_vm`; none if no draw finds one. If `zone` is
    /// given, a member of that zone is preferred.
    pub(super) fn random_member(
        &self,
        table: &MemberTable,
        rng: &mut impl Rng,
        excluded_vm: Option<VmAddress>,
        zone: Option<&ZoneName>,
    ) -> Option<VmAddress> {
        if self.order.is_empty() {
            return None;
        }
        let mut other_member = None;
        for _draw in 0..MAX_DRAWS {
            let vm = self.order[rng.random_range(0..self.order.len())];
            if Some(vm) == excluded_vm || !is_present(table, vm) {
                continue;
            }
            let is_in_zone = table
                .get(vm)
                .is_some_and(|record| zone.is_none_or(|zone| record.zone == *zone));
            if is_in_zone {
                return Some(vm);
            }
            other_member = Some(vm);
        }
        other_member
    }
}

/// Returns whether the table has a member on `vm` that is not failed.
fn is_present(table: &MemberTable, vm: VmAddress) -> bool {
    table
        .get(vm)
        .is_some_and(|record| record.health != MemberHealth::Failed)
}

impl MemberProtocol {
    /// Ends the open probe and starts the next one if it is due, requests indirect probes, and pings a failed member.
    pub(super) fn tick_probe(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        self.probe.relays.retain(|relay| relay.expires_at > now);
        if now >= self.probe.next_probe_at {
            self.conclude_probe(now);
            self.start_probe(now, outbox);
        } else {
            self.ask_helpers(now, outbox);
        }
        self.probe_failed(now, outbox);
    }

    /// Suspects the target of the open probe, unless the missing answer may be due to this process.
    fn conclude_probe(&mut self, now: Duration) {
        let Some(probe) = self.probe.open_probe.take() else {
            return;
        };
        let received_since = self
            .last_received
            .is_some_and(|received| received > probe.sent_at);
        if !received_since || !self.has_recent_contact(now) || !self.has_recent_ack(now) {
            return;
        }
        let Some(record) = self.table.get(probe.target) else {
            return;
        };
        if record.version != probe.version || record.health != MemberHealth::Alive {
            return;
        }
        self.counters.suspicions += 1;
        let suspicion = self.health_update(probe.target, probe.version, MemberHealth::Suspect);
        self.apply_update(now, &suspicion, true);
    }

    /// Pings the next member of the round.
    fn start_probe(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        self.probe.next_probe_at = now + PROBE_PERIOD;
        let target = self.probe.next_target(&self.table, &mut self.rng);
        let Some(target) = target else {
            return;
        };
        let Some(version) = self.table.get(target).map(|record| record.version) else {
            return;
        };
        let sequence = self.draw_sequence();
        self.probe.open_probe = Some(OpenProbe {
            target,
            version,
            sequence,
            sent_at: now,
            helpers: SmallVec::new(),
            helpers_asked: false,
        });
        self.send(now, target, MemberMessage::Ping { sequence }, outbox);
    }

    /// Requests indirect probes when the direct probe has not been answered within [`DIRECT_TIMEOUT`].
    fn ask_helpers(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        let Some(probe) = &mut self.probe.open_probe else {
            return;
        };
        if probe.helpers_asked || now < probe.sent_at + DIRECT_TIMEOUT {
            return;
        }
        probe.helpers_asked = true;
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
            self.send(now, *helper, request, outbox);
        }
        if let Some(probe) = &mut self.probe.open_probe {
            probe.helpers = helpers;
        }
    }

    /// Closes the open probe that an answer belongs to, or forwards the answer to the member that requested the probe.
    pub(super) fn handle_ack(
        &mut self,
        now: Duration,
        sender: VmAddress,
        sequence: u32,
        outbox: &mut Vec<OutgoingDatagram>,
    ) {
        self.last_ack = Some(now);
        let answers_open_probe = self.probe.open_probe.as_ref().is_some_and(|probe| {
            probe.sequence == sequence
                && (probe.target == sender || probe.helpers.contains(&sender))
        });
        if answers_open_probe {
            self.probe.open_probe = None;
            return;
        }
        let mut relays = self.probe.relays.iter();
        let relay_index =
            relays.position(|relay| relay.sequence == sequence && relay.target == sender);
        let Some(index) = relay_index else {
            return;
        };
        let relay = self.probe.relays.swap_remove(index);
        let sequence = relay.requester_sequence;
        self.send(
            now,
            relay.requester,
            MemberMessage::Ack { sequence },
            outbox,
        );
    }

    /// Pings `target` for another member and remembers to forward the answer.
    pub(super) fn handle_ping_request(
        &mut self,
        now: Duration,
        requester: VmAddress,
        requester_sequence: u32,
        target: VmAddress,
        outbox: &mut Vec<OutgoingDatagram>,
    ) {
        let is_known = self.table.get(target).is_some();
        if !is_known || self.probe.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.draw_sequence();
        self.probe.relays.push(RelayedProbe {
            target,
            sequence,
            requester,
            requester_sequence,
            expires_at: now + RELAY_TIMEOUT,
        });
        self.send(now, target, MemberMessage::Ping { sequence }, outbox);
    }

    /// Pings a failed member every [`RECONNECT_PERIOD`], so that the end of a network partition is detected.
    fn probe_failed(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        if now < self.probe.next_reconnect_at {
            return;
        }
        self.probe.next_reconnect_at = now + RECONNECT_PERIOD;
        if let Some(failed) = self.random_failed() {
            self.ping_once(now, failed, outbox);
        }
    }

    /// Sends a ping without tracking its answer. Returns whether the byte budget allowed it.
    pub(super) fn ping_once(
        &mut self,
        now: Duration,
        destination: VmAddress,
        outbox: &mut Vec<OutgoingDatagram>,
    ) -> bool {
        let sequence = self.draw_sequence();
        self.send(now, destination, MemberMessage::Ping { sequence }, outbox)
    }

    /// Returns a random failed member.
    fn random_failed(&mut self) -> Option<VmAddress> {
        let records = self.table.records();
        let failed_records = records.filter(|(_, record)| record.health == MemberHealth::Failed);
        let failed_vms: Vec<VmAddress> = failed_records.map(|(vm, _)| vm).collect();
        pick(&failed_vms, &mut self.rng)
    }
}

/// Returns a random VM of `vms`; none if it is empty.
fn pick(vms: &[VmAddress], rng: &mut impl Rng) -> Option<VmAddress> {
    if vms.is_empty() {
        return None;
    }
    Some(vms[rng.random_range(0..vms.len())])
}
