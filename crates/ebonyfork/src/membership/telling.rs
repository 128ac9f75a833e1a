//! What the protocol tells: which facts ride along with which datagram, within the byte budget.

use std::time::Duration;

use rand::RngExt;

use crate::ident::{SessionId, VmAddress};
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{
    DATAGRAM_LIMIT, DatagramWriter, DigestUpdate, GossipFact, MemberHealth, MemberMessage,
    MemberUpdate, PACKET_OVERHEAD, SenderHeader,
};
use crate::membership::protocol::MemberProtocol;
use crate::membership::spread::{OfferResult, SpreadQueue};
use crate::membership::timing::{DIGEST_TELLINGS, REVISION_TELLINGS, telling_limit};

/// What still has to be told, in the order in which it goes into a datagram.
#[derive(Debug, Default)]
pub(super) struct NewsQueues {
    /// Members whose life has changed.
    pub(super) members: SpreadQueue<VmAddress>,
    /// Notices of other duties.
    pub(super) notices: SpreadQueue<u64>,
    /// Members whose digest shows another revision.
    pub(super) revisions: SpreadQueue<VmAddress>,
    /// Members whose load has changed: a lost one is replaced by the next.
    pub(super) digests: SpreadQueue<VmAddress>,
}

impl NewsQueues {
    /// Tells whether there is news that does not wait for the next probe.
    pub(super) fn is_urgent(&self) -> bool {
        !(self.members.is_empty() && self.notices.is_empty() && self.revisions.is_empty())
    }
}

impl MemberProtocol {
    /// Sends facts to one random member, if there is one and the budget has room.
    pub(super) fn gossip(&mut self, now: Duration, out: &mut Vec<OutgoingDatagram>) {
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
        self.news.members.fill(tellings, |vm| {
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
        self.news.notices.fill(tellings, |number| {
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
        self.news.revisions.fill(REVISION_TELLINGS, &mut digest);
        self.news.digests.fill(DIGEST_TELLINGS, &mut digest);
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
