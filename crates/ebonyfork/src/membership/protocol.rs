//! The membership protocol as plain code: takes the time and datagrams, returns datagrams.
//!
//! One probe per period goes to a member drawn in random rounds; if it isn't answered, helpers probe it too; if they get
//! no answer either, it is suspected. The suspect is told and can refute; otherwise everybody who heard of the
//! suspicion calls it failed when its own time runs out. A process that was paused, or hears nobody, draws no
//! conclusions about others.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::membership::message::{
    DATAGRAM_LIMIT, DatagramWriter, DigestUpdate, GossipFact, MemberHealth, MemberLife,
    MemberMessage, MemberUpdate, PACKET_OVERHEAD, SenderHeader,
};
use crate::membership::notice::NoticeBoard;
use crate::membership::paging::PageState;
use crate::membership::probing::ProbeState;
use crate::membership::snapshot::{
    GossipNotice, MemberDigest, MemberEntry, MemberSnapshot, MemberState,
};
use crate::membership::spread::{ByteBudget, OfferResult, SpreadQueue};
use crate::membership::table::{
    DigestEffect, MemberRecord, MemberTable, MergeEffect, member_entry,
};
use crate::membership::timing::{
    DEAF_TIME, DIGEST_TELLINGS, DIGEST_TICKS, FORGET_TICKS, FORGET_TIME, ISOLATION_TIME,
    LEAVE_FANOUT, MEMBER_LIMIT, MUTE_TIME, PAUSE_GAP, REFUTE_TIME, SEND_BURST, SEND_RATE,
    digest_period, suspicion_time, telling_limit,
};

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The VM to send it to.
    pub to: VmAddress,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// What has happened, counted since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent, headers included.
    pub sent_bytes: u64,
    /// Datagrams received and believed.
    pub received_datagrams: u64,
    /// Bytes received, headers included, of any sender.
    pub received_bytes: u64,
    /// Datagrams dropped, by [`super::DatagramError`] in the order of its cases.
    pub dropped: [u64; 6],
    /// Datagrams not sent because the byte budget was spent.
    pub withheld: u64,
    /// Members that this process itself began to suspect.
    pub suspicions: u64,
    /// Suspects whose time ran out here.
    pub failures: u64,
    /// Suspicions of itself that this process refuted.
    pub refutations: u64,
    /// Pauses of this process that it noticed.
    pub pauses: u64,
    /// Words of a newer incarnation on this VM: the clock ran backwards, or two processes run.
    pub superseded: u64,
}

/// Something that is worth a log line or a reader's attention.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// What is believed about a member has changed.
    State {
        /// The member.
        session: SessionId,
        /// Its zone.
        zone: ZoneName,
        /// What is believed now.
        state: MemberState,
    },
    /// A notice was learnt from others.
    Notice(GossipNotice),
    /// This process was paused for about this long.
    Paused(Duration),
    /// A newer incarnation on this VM was told of: the clock ran backwards, or two processes run.
    Superseded(SessionId),
    /// No peer has been heard for [`ISOLATION_TIME`]; or one has been heard again.
    Isolated(bool),
}

/// What has changed since the last snapshot was taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SnapshotChange {
    /// Nothing.
    #[default]
    None,
    /// Digests alone.
    Digests,
    /// Who is there.
    Members,
}

/// State of the protocol in one process. Times are spans since the process started.
#[derive(Debug)]
pub struct MemberProtocol {
    pub(super) own: SenderHeader,
    pub(super) deployment: u32,
    pub(super) table: MemberTable,
    pub(super) seeds: Vec<VmAddress>,
    pub(super) probe: ProbeState,
    pub(super) page: PageState,
    pub(super) board: NoticeBoard,
    pub(super) counters: MemberCounters,
    pub(super) rng: ChaCha8Rng,
    pub(super) last_heard: Option<Duration>,
    pub(super) last_ack: Option<Duration>,
    pub(super) events: Vec<MemberEvent>,
    pub(super) change: SnapshotChange,
    member_news: SpreadQueue<VmAddress>,
    /// Members whose digest shows another revision: told as often as news of a life.
    revision_news: SpreadQueue<VmAddress>,
    /// Members whose load has changed: a lost one is replaced by the next.
    digest_news: SpreadQueue<VmAddress>,
    notice_news: SpreadQueue<u64>,
    suspects: Vec<SuspectTimer>,
    budget: ByteBudget,
    last_call: Duration,
    isolated: bool,
    digest_due: Option<MemberDigest>,
    next_digest: Duration,
    ticks: u32,
}

#[derive(Debug, Clone, Copy)]
struct SuspectTimer {
    vm: VmAddress,
    life: MemberLife,
    deadline: Duration,
}

impl MemberProtocol {
    /// The protocol of the process `own` in `zone`; `seed` makes its random choices repeatable.
    pub fn new(now: Duration, own: SessionId, zone: ZoneName, deployment: u32, seed: u64) -> Self {
        // Processes that start at the same moment must not draw the same members.
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ vm_number(own.vm));
        let life = MemberLife {
            incarnation: own.incarnation,
            refutation: 0,
        };
        let own = SenderHeader {
            vm: own.vm,
            life,
            zone,
            leaving: false,
            digest: MemberDigest::default(),
            stamp: 1,
        };
        let probe = ProbeState::new(now, &mut rng);
        let page = PageState::new(now, &mut rng);
        Self {
            own,
            deployment,
            table: MemberTable::default(),
            seeds: Vec::new(),
            probe,
            page,
            board: NoticeBoard::default(),
            counters: MemberCounters::default(),
            rng,
            last_heard: None,
            last_ack: None,
            events: Vec::new(),
            change: SnapshotChange::Members,
            member_news: SpreadQueue::default(),
            revision_news: SpreadQueue::default(),
            digest_news: SpreadQueue::default(),
            notice_news: SpreadQueue::default(),
            suspects: Vec::new(),
            budget: ByteBudget::new(now, SEND_RATE, SEND_BURST),
            last_call: now,
            isolated: false,
            digest_due: None,
            next_digest: now,
            ticks: 0,
        }
    }

    /// Replaces the addresses from the VM list.
    pub fn take_seeds(&mut self, seeds: &[VmAddress]) {
        let own = self.own.vm;
        let others = seeds.iter().filter(|seed| **seed != own);
        self.seeds = others.copied().take(MEMBER_LIMIT).collect();
    }

    /// Replaces what this process says about itself. A new revision is told at once, a new load when it is due.
    pub fn set_digest(&mut self, now: Duration, digest: MemberDigest) {
        if digest.revision != self.own.digest.revision {
            self.next_digest = now;
        }
        self.digest_due = Some(digest);
        self.announce_digest(now);
    }

    /// Announces a planned stop and tells several members at once.
    pub fn announce_leaving(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        self.begin(now);
        if self.own.leaving {
            return;
        }
        self.own.leaving = true;
        self.change = SnapshotChange::Members;
        self.member_news.push(self.own.vm);
        for _member in 0..LEAVE_FANOUT.min(self.table.present()) {
            self.gossip(now, out);
        }
    }

    /// Tells all members about a request that crashes upstreams.
    pub fn publish_notice(&mut self, now: Duration, notice: GossipNotice) {
        if self.board.merge(now, &notice) {
            self.notice_news.push(notice.number);
        }
    }

    /// Does what is due; to be called about every [`TICK_PERIOD`](super::TICK_PERIOD).
    pub fn tick(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        self.begin(now);
        self.ticks = self.ticks.wrapping_add(1);
        self.check_isolation(now);
        self.expire_suspects(now);
        self.announce_digest(now);
        self.tick_probe(now, out);
        self.tick_page(now, out);
        let urgent = !self.member_news.is_empty()
            || !self.notice_news.is_empty()
            || !self.revision_news.is_empty();
        let digests = !self.digest_news.is_empty() && self.ticks.is_multiple_of(DIGEST_TICKS);
        if urgent || digests {
            self.gossip(now, out);
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Duration) {
        if !self.ticks.is_multiple_of(FORGET_TICKS) {
            return;
        }
        self.board.forget(now);
        self.table.forget(now.saturating_sub(FORGET_TIME));
        self.change = SnapshotChange::Members;
    }

    /// Starts every call: refills the budget and notices a pause.
    pub(super) fn begin(&mut self, now: Duration) {
        self.budget.refill(now);
        let gap = now.saturating_sub(self.last_call);
        self.last_call = self.last_call.max(now);
        if gap < PAUSE_GAP {
            return;
        }
        // Whatever ran out meanwhile ran out because nobody here listened.
        self.counters.pauses += 1;
        self.events.push(MemberEvent::Paused(gap));
        for suspect in &mut self.suspects {
            suspect.deadline += gap;
        }
        self.last_heard = self.last_heard.map(|heard| heard + gap);
        self.last_ack = self.last_ack.map(|acked| acked + gap);
        self.probe.suspend(now);
    }

    /// Tells whether a peer has been heard so lately that silence means something.
    pub(super) fn hears(&self, now: Duration) -> bool {
        self.last_heard
            .is_some_and(|heard| now.saturating_sub(heard) < DEAF_TIME)
    }

    /// Tells whether our own probes are answered at all, so that one without an answer means something.
    pub(super) fn is_answered(&self, now: Duration) -> bool {
        self.last_ack
            .is_some_and(|acked| now.saturating_sub(acked) < MUTE_TIME)
    }

    fn check_isolation(&mut self, now: Duration) {
        let silent = self
            .last_heard
            .is_some_and(|heard| now.saturating_sub(heard) >= ISOLATION_TIME);
        if silent != self.isolated {
            self.isolated = silent;
            self.change = SnapshotChange::Members;
            self.events.push(MemberEvent::Isolated(silent));
        }
    }

    pub(super) fn heard(&mut self, now: Duration) {
        self.last_heard = Some(now);
        self.check_isolation(now);
    }

    fn announce_digest(&mut self, now: Duration) {
        if now < self.next_digest {
            return;
        }
        let Some(digest) = self.digest_due.take() else {
            return;
        };
        if digest == self.own.digest {
            return;
        }
        let news = if digest.revision == self.own.digest.revision {
            &mut self.digest_news
        } else {
            &mut self.revision_news
        };
        news.push(self.own.vm);
        self.own.digest = digest;
        self.own.stamp = self.own.stamp.saturating_add(1);
        self.next_digest = now + digest_period(self.table.present());
        self.change = self.change.max(SnapshotChange::Digests);
    }

    fn expire_suspects(&mut self, now: Duration) {
        if !self.hears(now) || !self.is_answered(now) {
            // A refutation could not reach us either.
            for suspect in &mut self.suspects {
                suspect.deadline = suspect.deadline.max(now + DEAF_TIME);
            }
            return;
        }
        let mut due: Vec<SuspectTimer> = Vec::new();
        let table = &self.table;
        self.suspects.retain(|suspect| {
            let still = table.get(suspect.vm).is_some_and(|record| {
                record.life == suspect.life && record.health == MemberHealth::Suspect
            });
            if still && suspect.deadline <= now {
                due.push(*suspect);
            }
            still && suspect.deadline > now
        });
        for suspect in due {
            self.counters.failures += 1;
            let failed = self.accusation(suspect.vm, suspect.life, MemberHealth::Failed);
            self.believe(now, &failed, true);
        }
    }

    pub(super) fn accusation(
        &self,
        vm: VmAddress,
        life: MemberLife,
        health: MemberHealth,
    ) -> MemberUpdate {
        let leaving = self.table.get(vm).is_some_and(|record| record.leaving);
        MemberUpdate {
            vm,
            life,
            health,
            leaving,
            age_ds: 0,
            zone: None,
        }
    }

    /// Takes news about another member into the table, and passes it on if `tell` or if it is a suspicion.
    pub(super) fn believe(&mut self, now: Duration, update: &MemberUpdate, tell: bool) {
        let before = self.table.get(update.vm).map(MemberRecord::state);
        if before.is_none() && self.table.len() >= MEMBER_LIMIT {
            return;
        }
        let effect = self.table.merge(now, update);
        if effect == MergeEffect::Known {
            return;
        }
        let Some(record) = self.table.get(update.vm) else {
            return;
        };
        let (life, health, state) = (record.life, record.health, record.state());
        let zone = record.zone.clone();
        if health == MemberHealth::Suspect {
            // The time runs from when the suspicion began, so that late hearers do not wait it out once more.
            let limit = record.since + suspicion_time(self.table.present());
            let deadline = limit.max(now + REFUTE_TIME);
            let vm = update.vm;
            self.suspects.push(SuspectTimer { vm, life, deadline });
        }
        if effect == MergeEffect::Joined {
            self.probe.insert(update.vm, &mut self.rng);
        }
        if tell || health == MemberHealth::Suspect {
            self.member_news.push(update.vm);
        }
        if before != Some(state) || effect == MergeEffect::Joined {
            self.change = SnapshotChange::Members;
            let session = SessionId::new(update.vm, life.incarnation);
            let event = MemberEvent::State {
                session,
                zone,
                state,
            };
            self.events.push(event);
        }
    }

    /// Takes a digest that a member told of itself or another passed on.
    pub(super) fn believe_digest(&mut self, update: &DigestUpdate) {
        let vm = update.session.vm;
        match self.table.merge_digest(update) {
            DigestEffect::Known => return,
            DigestEffect::Load => self.digest_news.push(vm),
            DigestEffect::Revision => self.revision_news.push(vm),
        }
        self.change = self.change.max(SnapshotChange::Digests);
    }

    pub(super) fn believe_notice(&mut self, now: Duration, notice: GossipNotice) {
        if self.board.merge(now, &notice) {
            self.notice_news.push(notice.number);
            self.events.push(MemberEvent::Notice(notice));
        }
    }

    /// Answers news about this process itself: a suspicion is refuted.
    pub(super) fn believe_self(&mut self, update: &MemberUpdate) {
        if update.life.incarnation > self.own.life.incarnation {
            self.counters.superseded += 1;
            let session = SessionId::new(update.vm, update.life.incarnation);
            self.events.push(MemberEvent::Superseded(session));
        }
        if update.health == MemberHealth::Alive
            || update.life.incarnation != self.own.life.incarnation
            || update.life.refutation < self.own.life.refutation
        {
            return;
        }
        self.counters.refutations += 1;
        self.own.life.refutation = update.life.refutation.saturating_add(1);
        self.member_news.push(self.own.vm);
    }

    /// Sends facts to one random member, if there is one and the budget has room.
    fn gossip(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        if self.budget.available() < DATAGRAM_LIMIT {
            self.counters.withheld += 1;
            return;
        }
        let Some(to) = self.random_member(None) else {
            return;
        };
        self.send(now, to, MemberMessage::Gossip, out);
    }

    /// A random member that is not failed.
    pub(super) fn random_member(&mut self, except: Option<VmAddress>) -> Option<VmAddress> {
        self.probe.random(&self.table, &mut self.rng, except)
    }

    /// Sends a message, with as many facts as budget and datagram have room for.
    pub(super) fn send(
        &mut self,
        now: Duration,
        to: VmAddress,
        message: MemberMessage,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let limit = self.budget.available().min(DATAGRAM_LIMIT);
        let mut writer = DatagramWriter::new(self.deployment, limit, &self.own, message);
        // Whoever is held for dead or dying is told first, so that it can refute.
        let accused = self.table.get(to);
        if accused.is_some_and(|record| record.health != MemberHealth::Alive)
            && let Some(update) = self.table.update(now, to)
        {
            writer.push_always(&GossipFact::Member(update));
        }
        self.fill(now, to, &mut writer);
        self.post(to, writer.finish(), out);
    }

    fn fill(&mut self, now: Duration, to: VmAddress, writer: &mut DatagramWriter) {
        let offered = |writer: &mut DatagramWriter, fact: Option<GossipFact>| match fact {
            None => OfferResult::Gone,
            Some(fact) if writer.push(&fact) => OfferResult::Taken,
            Some(_fact) => OfferResult::Full,
        };
        let (own, table, board) = (&self.own, &self.table, &self.board);
        let tellings = telling_limit(table.present());
        self.member_news.fill(tellings, |vm| {
            if vm == to {
                // The receiver knows best about itself; its accusation was told already.
                return OfferResult::Taken;
            }
            let update = if vm == own.vm {
                Some(own_update(own))
            } else {
                table.update(now, vm)
            };
            offered(writer, update.map(GossipFact::Member))
        });
        self.notice_news.fill(tellings, |number| {
            offered(writer, board.notice(now, number).map(GossipFact::Notice))
        });
        let mut digest = |vm| {
            let update = if vm == own.vm {
                Some(own_digest(own))
            } else {
                table.get(vm).map(|record| DigestUpdate {
                    session: SessionId::new(vm, record.life.incarnation),
                    stamp: record.stamp,
                    digest: record.digest,
                })
            };
            offered(writer, update.map(GossipFact::Digest))
        };
        self.revision_news.fill(tellings, &mut digest);
        self.digest_news.fill(DIGEST_TELLINGS, &mut digest);
    }

    /// Hands a finished datagram over, if the budget bears it.
    pub(super) fn post(&mut self, to: VmAddress, bytes: Vec<u8>, out: &mut Vec<OutgoingDatagram>) {
        let size = bytes.len() + PACKET_OVERHEAD;
        if !self.budget.take_due(size) {
            self.counters.withheld += 1;
            return;
        }
        self.counters.sent_datagrams += 1;
        self.counters.sent_bytes += size as u64;
        out.push(OutgoingDatagram { to, bytes });
    }

    /// Bytes that may be sent now.
    pub(super) fn budget_room(&self) -> usize {
        self.budget.available()
    }

    /// Draws a number that no earlier message of this process is likely to have used.
    pub(super) fn draw_sequence(&mut self) -> u32 {
        self.rng.random()
    }

    /// What this process believes about all members, itself included.
    pub fn snapshot(&self) -> MemberSnapshot {
        let own = MemberEntry {
            vm: self.own.vm,
            zone: self.own.zone.clone(),
            incarnation: self.own.life.incarnation,
            state: if self.own.leaving {
                MemberState::Leaving
            } else {
                MemberState::Alive
            },
            digest: self.digest_due.unwrap_or(self.own.digest),
        };
        let others = self.table.records().map(|(vm, record)| {
            let mut entry = member_entry(vm, record);
            if self.isolated {
                entry.state = MemberState::Failed;
            }
            entry
        });
        MemberSnapshot::new(others.chain([own]))
    }

    /// Other members by state: alive, suspect, leaving, failed.
    pub fn count_states(&self) -> [u32; 4] {
        let mut states = [0; 4];
        for (_, record) in self.table.records() {
            states[record.state() as usize] += 1;
        }
        states
    }

    /// Tells what has changed since the last call.
    pub fn take_change(&mut self) -> SnapshotChange {
        std::mem::take(&mut self.change)
    }

    /// Hands out what has happened since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// What has been counted.
    pub fn counters(&self) -> &MemberCounters {
        &self.counters
    }

    /// When a peer was last heard.
    pub fn last_heard(&self) -> Option<Duration> {
        self.last_heard
    }
}

/// A number that differs from VM to VM.
fn vm_number(vm: VmAddress) -> u64 {
    match vm.0 {
        std::net::IpAddr::V4(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
        std::net::IpAddr::V6(ip) => xxhash_rust::xxh3::xxh3_64(&ip.octets()),
    }
}

/// What this process says about its own life.
pub(super) fn own_update(own: &SenderHeader) -> MemberUpdate {
    MemberUpdate {
        vm: own.vm,
        life: own.life,
        health: MemberHealth::Alive,
        leaving: own.leaving,
        age_ds: 0,
        zone: Some(own.zone.clone()),
    }
}

fn own_digest(own: &SenderHeader) -> DigestUpdate {
    DigestUpdate {
        session: own.session(),
        stamp: own.stamp,
        digest: own.digest,
    }
}

#[cfg(test)]
#[path = "protocol_tests.rs"]
mod tests;
