//! The membership protocol without I/O: its inputs are the time and received datagrams, its outputs datagrams to send.
//!
//! Each period, one member is probed, in an order that is shuffled every round. If it does not answer, helpers probe it
//! as well; if they get no answer either, it becomes a suspect. The suspect is informed and can refute the suspicion;
//! otherwise each member that knows of the suspicion declares it failed at its own deadline. A process that was paused,
//! or receives nothing from its peers, draws no conclusions about other members.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::membership::belief::SuspectTimer;
use crate::membership::event::{MemberCounters, MemberEvent, OutgoingDatagram, SnapshotChange};
use crate::membership::message::{MemberVersion, SenderHeader};
use crate::membership::notice::NoticeTable;
use crate::membership::paging::PageState;
use crate::membership::probing::ProbeState;
use crate::membership::snapshot::{
    GossipNotice, MemberDigest, MemberEntry, MemberSnapshot, MemberState,
};
use crate::membership::spread::ByteBudget;
use crate::membership::table::{MemberTable, member_entry};
use crate::membership::telling::GossipQueues;
use crate::membership::timing::{
    ACK_SILENCE_TIME, CLEANUP_TICKS, DIGEST_TICKS, DIRECT_TIMEOUT, FAILED_RETENTION_TIME,
    ISOLATION_TIME, LATE_TICK_GAP, LEAVE_FANOUT, MEMBER_LIMIT, PAUSE_GAP, PROBE_PERIOD,
    RECEIVE_SILENCE_TIME, SEND_BURST, SEND_RATE, digest_period,
};
use crate::membership::unheard::UnheardVms;

/// Protocol state of one process. Times are durations since the process started.
#[derive(Debug)]
pub struct MemberProtocol {
    /// State of this process, sent in every datagram.
    pub(super) own_header: SenderHeader,
    /// Number of the deployment, sent in every datagram.
    pub(super) deployment: u32,
    pub(super) table: MemberTable,
    /// Other VMs in the VM list.
    seeds: Vec<VmAddress>,
    /// Those of `seeds` that are not known members.
    pub(super) unheard: UnheardVms,
    pub(super) probe: ProbeState,
    pub(super) page: PageState,
    pub(super) notices: NoticeTable,
    pub(super) counters: MemberCounters,
    pub(super) rng: ChaCha8Rng,
    /// When the last datagram arrived from a peer.
    pub(super) last_received: Option<Duration>,
    /// When the last answer to a ping of this process arrived.
    pub(super) last_ack: Option<Duration>,
    /// Events since the last call of [`Self::take_events`].
    pub(super) events: Vec<MemberEvent>,
    /// Change since the last call of [`Self::take_change`].
    pub(super) change: SnapshotChange,
    pub(super) gossip_queues: GossipQueues,
    /// Deadlines of the current suspicions.
    pub(super) suspect_timers: Vec<SuspectTimer>,
    pub(super) budget: ByteBudget,
    /// Time of the last call of [`Self::advance_clock`], used to detect pauses.
    last_call_at: Duration,
    last_tick_at: Duration,
    /// Whether no datagram has arrived from a peer for [`ISOLATION_TIME`].
    isolated: bool,
    /// Digest to announce once `next_digest_at` is reached.
    pending_digest: Option<MemberDigest>,
    /// Earliest time of the next digest with a new load.
    next_digest_at: Duration,
    ticks: u32,
}

impl MemberProtocol {
    /// Creates the state of process `own_session` in `zone`. Random choices depend only on `seed` and the VM address.
    pub fn new(
        now: Duration,
        own_session: SessionId,
        zone: ZoneName,
        deployment: u32,
        seed: u64,
    ) -> Self {
        // Processes started with the same seed must not probe the same members in the same order.
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ vm_hash(own_session.vm));
        let version = MemberVersion {
            incarnation: own_session.incarnation,
            refutation: 0,
        };
        let own_header = SenderHeader {
            vm: own_session.vm,
            version,
            zone,
            leaving: false,
            digest: MemberDigest::default(),
            digest_sequence: 1,
        };
        let probe = ProbeState::new(now, &mut rng);
        let page = PageState::new(now, &mut rng);
        Self {
            own_header,
            deployment,
            table: MemberTable::default(),
            seeds: Vec::new(),
            unheard: UnheardVms::default(),
            probe,
            page,
            notices: NoticeTable::default(),
            counters: MemberCounters::default(),
            rng,
            last_received: None,
            last_ack: None,
            events: Vec::new(),
            change: SnapshotChange::Members,
            gossip_queues: GossipQueues::default(),
            suspect_timers: Vec::new(),
            budget: ByteBudget::new(now, SEND_RATE, SEND_BURST),
            last_call_at: now,
            last_tick_at: now,
            isolated: false,
            pending_digest: None,
            next_digest_at: now,
            ticks: 0,
        }
    }

    /// Replaces the addresses from the VM list, which are pinged until they are known as members.
    pub fn set_seeds(&mut self, now: Duration, seeds: &[VmAddress]) {
        let own_vm = self.own_header.vm;
        let other_vms = seeds.iter().filter(|seed| **seed != own_vm);
        self.seeds = other_vms.copied().take(MEMBER_LIMIT).collect();
        let is_unknown = |vm: &&VmAddress| self.table.get(**vm).is_none();
        let unknown_vms: Vec<_> = self.seeds.iter().filter(is_unknown).copied().collect();
        let known_members = self.table.present_count();
        self.unheard
            .replace(now, &unknown_vms, known_members, &mut self.rng);
        self.change = SnapshotChange::Members;
    }

    /// Replaces the digest of this process. A new revision is announced at once, a new load when the next digest is
    /// due.
    pub fn set_digest(&mut self, now: Duration, digest: MemberDigest) {
        if digest.revision != self.own_header.digest.revision {
            self.next_digest_at = now;
        }
        self.pending_digest = Some(digest);
        self.announce_digest(now);
    }

    /// Announces a planned stop by gossip to several members at once.
    pub fn announce_leaving(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        self.advance_clock(now);
        if self.own_header.leaving {
            return;
        }
        self.own_header.leaving = true;
        self.change = SnapshotChange::Members;
        self.gossip_queues.members.push(self.own_header.vm);
        for _datagram in 0..LEAVE_FANOUT.min(self.table.present_count()) {
            self.gossip(now, outbox);
        }
    }

    /// Broadcasts a notice to all members, unless it is already known.
    pub fn publish_notice(&mut self, now: Duration, notice: GossipNotice) {
        if self.notices.merge(now, &notice) {
            self.gossip_queues.notices.push(notice.number);
        }
    }

    /// Runs all periodic work; call it about once every [`TICK_PERIOD`](super::TICK_PERIOD).
    pub fn tick(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        self.advance_clock(now);
        if now.saturating_sub(self.last_tick_at) > LATE_TICK_GAP {
            self.probe.postpone(now);
            self.postpone_suspects(now + DIRECT_TIMEOUT);
            self.unheard.postpone(now + DIRECT_TIMEOUT);
        }
        self.last_tick_at = now;
        self.ticks = self.ticks.wrapping_add(1);
        self.check_isolation(now);
        self.expire_suspects(now);
        self.announce_digest(now);
        self.tick_probe(now, outbox);
        self.tick_unheard(now, outbox);
        self.tick_page(now, outbox);
        let is_urgent = self.gossip_queues.is_urgent();
        let digests_due =
            !self.gossip_queues.digests.is_empty() && self.ticks.is_multiple_of(DIGEST_TICKS);
        if is_urgent || digests_due {
            self.gossip(now, outbox);
        }
        self.clean_up(now);
    }

    /// Removes expired notices and long-failed members, every [`CLEANUP_TICKS`] ticks.
    fn clean_up(&mut self, now: Duration) {
        if !self.ticks.is_multiple_of(CLEANUP_TICKS) {
            return;
        }
        self.notices.remove_expired(now);
        let removed_vms = self
            .table
            .remove_failed(now.saturating_sub(FAILED_RETENTION_TIME));
        for vm in removed_vms {
            if self.seeds.contains(&vm) {
                self.unheard.insert_unreachable(now, vm);
            }
        }
        self.change = SnapshotChange::Members;
    }

    /// Advances the clock to `now`: refills the byte budget and detects a pause of the process. Called first by `tick`,
    /// `receive_datagram` and `announce_leaving`.
    pub(super) fn advance_clock(&mut self, now: Duration) {
        self.budget.refill(now);
        let gap = now.saturating_sub(self.last_call_at);
        self.last_call_at = self.last_call_at.max(now);
        if gap < PAUSE_GAP {
            return;
        }
        // Deadlines that passed during the pause show no failure: this process could not receive any answer.
        self.counters.pauses += 1;
        self.events.push(MemberEvent::Paused(gap));
        for timer in &mut self.suspect_timers {
            timer.deadline += gap;
        }
        self.last_received = self.last_received.map(|received_at| received_at + gap);
        self.last_ack = self.last_ack.map(|received_at| received_at + gap);
        self.probe.suspend(now);
        self.unheard.postpone(now + PROBE_PERIOD);
    }

    /// Returns whether any datagram has arrived within [`RECEIVE_SILENCE_TIME`]. If none has, a missing answer may be
    /// the fault of this process and raises no suspicion.
    pub(super) fn has_recent_contact(&self, now: Duration) -> bool {
        self.last_received
            .is_some_and(|received_at| now.saturating_sub(received_at) < RECEIVE_SILENCE_TIME)
    }

    /// Returns whether any ping of this process was answered within [`ACK_SILENCE_TIME`]. If none was, the pings may
    /// not leave this VM, and a missing answer raises no suspicion.
    pub(super) fn has_recent_ack(&self, now: Duration) -> bool {
        self.last_ack
            .is_some_and(|received_at| now.saturating_sub(received_at) < ACK_SILENCE_TIME)
    }

    /// Updates whether this process counts as isolated, and reports a change.
    fn check_isolation(&mut self, now: Duration) {
        let is_isolated = self
            .last_received
            .is_some_and(|received_at| now.saturating_sub(received_at) >= ISOLATION_TIME);
        if is_isolated != self.isolated {
            self.isolated = is_isolated;
            self.change = SnapshotChange::Members;
            self.events.push(MemberEvent::Isolated(is_isolated));
        }
    }

    /// Records that a datagram has arrived from a peer.
    pub(super) fn record_contact(&mut self, now: Duration) {
        if self.isolated || self.last_received.is_none() {
            self.unheard.ping_unreachable_soon(now, &mut self.rng);
        }
        self.last_received = Some(now);
        self.check_isolation(now);
    }

    /// Publishes and gossips the pending digest, once the next one is due.
    fn announce_digest(&mut self, now: Duration) {
        if now < self.next_digest_at {
            return;
        }
        let Some(digest) = self.pending_digest.take() else {
            return;
        };
        if digest == self.own_header.digest {
            return;
        }
        let queue = if digest.revision == self.own_header.digest.revision {
            &mut self.gossip_queues.digests
        } else {
            &mut self.gossip_queues.revisions
        };
        queue.push(self.own_header.vm);
        self.own_header.digest = digest;
        self.own_header.digest_sequence = self.own_header.digest_sequence.saturating_add(1);
        // Without jitter, processes that start together would send their digests at the same times forever.
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        self.next_digest_at = now + digest_period(self.table.present_count()).mul_f64(jitter);
        self.change = self.change.max(SnapshotChange::Digests);
    }

    /// Returns the state of all members as this process sees them, itself included.
    pub fn snapshot(&self) -> MemberSnapshot {
        let own_entry = MemberEntry {
            vm: self.own_header.vm,
            zone: self.own_header.zone.clone(),
            incarnation: self.own_header.version.incarnation,
            state: if self.own_header.leaving {
                MemberState::Leaving
            } else {
                MemberState::Alive
            },
            digest: self.pending_digest.unwrap_or(self.own_header.digest),
        };
        let other_entries = self.table.records().map(|(vm, record)| {
            let mut entry = member_entry(vm, record);
            if self.isolated {
                entry.state = MemberState::Failed;
            }
            entry
        });
        MemberSnapshot::new(other_entries.chain([own_entry]))
            .with_unreachable(self.unheard.unreachable())
    }

    /// Returns the number of other members in each state: alive, suspect, leaving, failed.
    pub fn count_states(&self) -> [u32; 4] {
        let mut counts = [0; 4];
        for (_, record) in self.table.records() {
            counts[record.state() as usize] += 1;
        }
        counts
    }

    /// Returns what has changed since the last call.
    pub fn take_change(&mut self) -> SnapshotChange {
        std::mem::take(&mut self.change)
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the counters of this process.
    pub fn counters(&self) -> &MemberCounters {
        &self.counters
    }

    /// Returns when the last datagram arrived from a peer; none if never.
    pub fn last_received(&self) -> Option<Duration> {
        self.last_received
    }
}

/// Returns a hash of the VM address, used to give each VM its own random sequence.
fn vm_hash(vm: VmAddress) -> u64 {
    match vm.0 {
        std::net::IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
        std::net::IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
    }
}

#[cfg(test)]
#[path = "protocol_tests.rs"]
mod tests;
