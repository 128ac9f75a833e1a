//! Sends datagrams: selects the facts to piggyback and enforces the byte budget.

use std::time::Duration;

use rand::RngExt;

use crate::ident::{SessionId, VmAddress};
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{
    DATAGRAM_LIMIT, DatagramWriter, DigestUpdate, GossipFact, MemberHealth, MemberMessage,
    MemberUpdate, PACKET_OVERHEAD, SenderHeader,
};
use crate::membership::protocol::MemberProtocol;
use crate::membership::spread::{GossipQueue, OfferResult};
use crate::membership::timing::{
    DIGEST_TRANSMISSIONS, OWN_ZONE_SHARE, REVISION_TRANSMISSIONS, max_transmissions,
};

/// Queues of facts to gossip, in the order in which they are added to a datagram.
#[derive(Debug, Default)]
pub(super) struct GossipQueues {
    /// Members whose health, version or leaving flag has changed.
    pub(super) members: GossipQueue<VmAddress>,
    /// Notices to broadcast, by number.
    pub(super) notices: GossipQueue<u64>,
    /// Members whose digest has a new revision.
    pub(super) revisions: GossipQueue<VmAddress>,
    /// Members whose digest has a new load only; if it is lost, the next digest replaces it.
    pub(super) digests: GossipQueue<VmAddress>,
}

impl GossipQueues {
    /// Returns whether any queued fact is sent without waiting for the next probe.
    pub(super) fn is_urgent(&self) -> bool {
        !(self.members.is_empty() && self.notices.is_empty() && self.revisions.is_empty())
    }
}

impl MemberProtocol {
    /// Sends queued facts to one random member, if there is one and the byte budget allows a full datagram.
    pub(super) fn gossip(&mut self, now: Duration, outbox: &mut Vec<OutgoingDatagram>) {
        if self.budget.available() < DATAGRAM_LIMIT {
            self.counters.withheld_datagrams += 1;
            return;
        }
        let Some(destination) = self.gossip_partner(None) else {
            return;
        };
        self.send(now, destination, MemberMessage::Gossip, outbox);
    }

    /// Returns a random member that is not failed, other than `excluded_vm`.
    pub(super) fn random_member(&mut self, excluded_vm: Option<VmAddress>) -> Option<VmAddress> {
        self.probe
            .random_member(&self.table, &mut self.rng, excluded_vm, None)
    }

    /// Returns a random member to exchange gossip with, other than `excluded_vm`: usually one of the own zone.
    pub(super) fn gossip_partner(&mut self, excluded_vm: Option<VmAddress>) -> Option<VmAddress> {
        let stays_in_zone = self.rng.random_bool(OWN_ZONE_SHARE);
        let zone = stays_in_zone.then_some(&self.own_header.zone);
        self.probe
            .random_member(&self.table, &mut self.rng, excluded_vm, zone)
    }

    /// Sends a message with as many piggybacked facts as the byte budget and the datagram allow. Returns whether the
    /// budget allowed it to be sent at all.
    pub(super) fn send(
        &mut self,
        now: Duration,
        destination: VmAddress,
        message: MemberMessage,
        outbox: &mut Vec<OutgoingDatagram>,
    ) -> bool {
        let size_limit = self.budget.available().min(DATAGRAM_LIMIT);
        let mut writer =
            DatagramWriter::new(self.deployment, size_limit, &self.own_header, message);
        // A suspected or failed receiver is informed of its own state first, so that it can refute it.
        let receiver = self.table.get(destination);
        if receiver.is_some_and(|record| record.health != MemberHealth::Alive)
            && let Some(update) = self.table.update(now, destination)
        {
            writer.push_mandatory(&GossipFact::Member(update));
        }
        self.fill(now, destination, &mut writer);
        self.output_datagram(destination, writer.finish(), outbox)
    }

    /// Adds queued facts to a datagram while they fit.
    fn fill(&mut self, now: Duration, destination: VmAddress, writer: &mut DatagramWriter) {
        let offer_fact = |writer: &mut DatagramWriter, fact: Option<GossipFact>| match fact {
            None => OfferResult::Obsolete,
            Some(fact) if writer.push(&fact) => OfferResult::Added,
            Some(_fact) => OfferResult::Full,
        };
        let (own_header, table, notices) = (&self.own_header, &self.table, &self.notices);
        let max_transmissions = max_transmissions(table.present_count());
        self.gossip_queues.members.fill(max_transmissions, |vm| {
            if vm == destination {
                // The receiver needs no update about itself; `send` has added its suspicion, if any.
                return OfferResult::Added;
            }
            let update = if vm == own_header.vm {
                Some(own_update(own_header))
            } else {
                table.update(now, vm)
            };
            offer_fact(writer, update.map(GossipFact::Member))
        });
        self.gossip_queues
            .notices
            .fill(max_transmissions, |number| {
                offer_fact(writer, notices.notice(now, number).map(GossipFact::Notice))
            });
        let mut offer_digest = |vm| {
            let update = if vm == own_header.vm {
                Some(own_digest(own_header))
            } else {
                table.get(vm).map(|record| DigestUpdate {
                    session: SessionId::new(vm, record.version.incarnation),
                    digest_sequence: record.digest_sequence,
                    digest: record.digest,
                })
            };
            offer_fact(writer, update.map(GossipFact::Digest))
        };
        self.gossip_queues
            .revisions
            .fill(REVISION_TRANSMISSIONS, &mut offer_digest);
        self.gossip_queues
            .digests
            .fill(DIGEST_TRANSMISSIONS, &mut offer_digest);
    }

    /// Outputs an encoded datagram and counts it, or counts it as withheld if the byte budget is exhausted. Returns
    /// whether it is sent.
    pub(super) fn output_datagram(
        &mut self,
        destination: VmAddress,
        bytes: Vec<u8>,
        outbox: &mut Vec<OutgoingDatagram>,
    ) -> bool {
        let size = bytes.len() + PACKET_OVERHEAD;
        if !self.budget.try_spend(size) {
            self.counters.withheld_datagrams += 1;
            return false;
        }
        self.counters.sent_datagrams += 1;
        self.counters.sent_bytes += size as u64;
        outbox.push(OutgoingDatagram { destination, bytes });
        true
    }

    /// Returns the number of bytes that the budget allows to send now.
    pub(super) fn available_bytes(&self) -> usize {
        self.budget.available()
    }

    /// Returns a random sequence number; a repetition within one process is unlikely.
    pub(super) fn draw_sequence(&mut self) -> u32 {
        self.rng.random()
    }
}

/// Returns the membership update of the process that sends `header` in its datagrams.
pub(super) fn own_update(header: &SenderHeader) -> MemberUpdate {
    MemberUpdate {
        vm: header.vm,
        version: header.version,
        health: MemberHealth::Alive,
        leaving: header.leaving,
        age_ds: 0,
        zone: Some(header.zone.clone()),
    }
}

/// Returns the digest update of the process that sends `header` in its datagrams.
fn own_digest(header: &SenderHeader) -> DigestUpdate {
    DigestUpdate {
        session: header.session(),
        digest_sequence: header.digest_sequence,
        digest: header.digest,
    }
}
