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
use crate::membership::belief::SuspectTimer;
use crate::membership::event::{MemberCounters, MemberEvent, OutgoingDatagram, SnapshotChange};
use crate::membership::message::{MemberLife, SenderHeader};
use crate::membership::notice::NoticeBoard;
use crate::membership::paging::PageState;
use crate::membership::probing::ProbeState;
use crate::membership::snapshot::{
    GossipNotice, MemberDigest, MemberEntry, MemberSnapshot, MemberState,
};
use crate::membership::spread::ByteBudget;
use crate::membership::table::{MemberTable, member_entry};
use crate::membership::telling::NewsQueues;
use crate::membership::timing::{
    DEAF_TIME, DIGEST_TICKS, DIRECT_TIMEOUT, FORGET_TICKS, FORGET_TIME, ISOLATION_TIME, LATE_GAP,
    LEAVE_FANOUT, MEMBER_LIMIT, MUTE_TIME, PAUSE_GAP, SEND_BURST, SEND_RATE, digest_period,
};

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
    pub(super) news: NewsQueues,
    pub(super) suspects: Vec<SuspectTimer>,
    pub(super) budget: ByteBudget,
    last_call: Duration,
    last_tick: Duration,
    isolated: bool,
    digest_due: Option<MemberDigest>,
    next_digest: Duration,
    ticks: u32,
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
            news: NewsQueues::default(),
            suspects: Vec::new(),
            budget: ByteBudget::new(now, SEND_RATE, SEND_BURST),
            last_call: now,
            last_tick: now,
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
        self.news.members.push(self.own.vm);
        for _member in 0..LEAVE_FANOUT.min(self.table.present()) {
            self.gossip(now, out);
        }
    }

    /// Tells all members about a request that crashes upstreams.
    pub fn publish_notice(&mut self, now: Duration, notice: GossipNotice) {
        if self.board.merge(now, &notice) {
            self.news.notices.push(notice.number);
        }
    }

    /// Does what is due; to be called about every [`TICK_PERIOD`](super::TICK_PERIOD).
    pub fn tick(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
        self.begin(now);
        if now.saturating_sub(self.last_tick) > LATE_GAP {
            self.probe.postpone(now);
            self.postpone_suspects(now + DIRECT_TIMEOUT);
        }
        self.last_tick = now;
        self.ticks = self.ticks.wrapping_add(1);
        self.check_isolation(now);
        self.expire_suspects(now);
        self.announce_digest(now);
        self.tick_probe(now, out);
        self.tick_page(now, out);
        let urgent = self.news.is_urgent();
        let digests = !self.news.digests.is_empty() && self.ticks.is_multiple_of(DIGEST_TICKS);
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
            &mut self.news.digests
        } else {
            &mut self.news.revisions
        };
        news.push(self.own.vm);
        self.own.digest = digest;
        self.own.stamp = self.own.stamp.saturating_add(1);
        // Spread over time, or processes that start together would tell their digests together for good.
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        self.next_digest = now + digest_period(self.table.present()).mul_f64(jitter);
        self.change = self.change.max(SnapshotChange::Digests);
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

#[cfg(test)]
#[path = "protocol_tests.rs"]
mod tests;
