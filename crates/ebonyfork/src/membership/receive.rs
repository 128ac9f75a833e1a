//! Handles received datagrams.

use std::time::Duration;

use crate::ident::VmAddress;
use crate::membership::event::OutgoingDatagram;
use crate::membership::message::{
    DatagramError, DigestUpdate, GossipFact, MemberDatagram, MemberHealth, MemberMessage,
    MemberUpdate, PACKET_OVERHEAD, SenderHeader,
};
use crate::membership::protocol::MemberProtocol;
use crate::membership::telling::own_update;

impl MemberProtocol {
    /// Handles a datagram received from `source`. Invalid datagrams are dropped and counted.
    pub fn receive_datagram(
        &mut self,
        now: Duration,
        source: VmAddress,
        bytes: &[u8],
        outbox: &mut Vec<OutgoingDatagram>,
    ) {
        self.advance_clock(now);
        self.counters.received_bytes += (bytes.len() + PACKET_OVERHEAD) as u64;
        match self.decode(source, bytes) {
            Ok(datagram) => {
                self.counters.received_datagrams += 1;
                self.handle_datagram(now, &datagram, outbox);
            }
            Err(error) => self.counters.dropped_datagrams[error as usize] += 1,
        }
    }

    /// Decodes a datagram and checks its sender.
    fn decode(&self, source: VmAddress, bytes: &[u8]) -> Result<MemberDatagram, DatagramError> {
        let datagram = MemberDatagram::decode(self.deployment, bytes)?;
        let sender = &datagram.sender;
        if sender.vm != source || sender.vm == self.own_header.vm {
            return Err(DatagramError::Source);
        }
        let known_record = self.table.get(sender.vm);
        if known_record
            .is_some_and(|record| record.version.incarnation > sender.version.incarnation)
        {
            return Err(DatagramError::Stale);
        }
        Ok(datagram)
    }

    /// Applies the sender state and the facts of a datagram, then handles its message.
    fn handle_datagram(
        &mut self,
        now: Duration,
        datagram: &MemberDatagram,
        outbox: &mut Vec<OutgoingDatagram>,
    ) {
        self.record_contact(now);
        self.apply_sender(now, &datagram.sender);
        // The facts of a page are not gossiped: a process that joins would otherwise resend the whole table.
        let forward = !matches!(datagram.message, MemberMessage::Page { .. });
        for fact in &datagram.facts {
            match fact {
                GossipFact::Member(update) => self.handle_update(now, update, forward),
                GossipFact::Digest(update) => self.apply_digest(update),
                GossipFact::Notice(notice) => self.apply_notice(now, notice.clone()),
            }
        }
        let sender_vm = datagram.sender.vm;
        match datagram.message {
            MemberMessage::Ping { sequence } => {
                self.send(now, sender_vm, MemberMessage::Ack { sequence }, outbox);
            }
            MemberMessage::Ack { sequence } => self.handle_ack(now, sender_vm, sequence, outbox),
            MemberMessage::PingRequest { sequence, target } => {
                self.handle_ping_request(now, sender_vm, sequence, target, outbox);
            }
            MemberMessage::Gossip => {}
            MemberMessage::PageRequest { after } => self.send_page(now, sender_vm, after, outbox),
            MemberMessage::Page { next } => self.handle_page(sender_vm, next),
        }
    }

    /// Applies the state that the sender reports about itself.
    fn apply_sender(&mut self, now: Duration, sender: &SenderHeader) {
        self.apply_update(now, &own_update(sender), true);
        let digest = DigestUpdate {
            session: sender.session(),
            digest_sequence: sender.digest_sequence,
            digest: sender.digest,
        };
        self.apply_digest(&digest);
    }

    /// Applies an update about another member, or handles one about this process.
    fn handle_update(&mut self, now: Duration, update: &MemberUpdate, forward: bool) {
        if update.vm == self.own_header.vm {
            self.handle_own_update(update);
            return;
        }
        // A failure reported by another member is treated as a suspicion if this process had none yet, so that the
        // member can still refute it.
        let known_record = self.table.get(update.vm);
        let skips_suspicion = update.health == MemberHealth::Failed
            && known_record.is_some_and(|record| {
                record.health == MemberHealth::Alive
                    && record.version.incarnation == update.version.incarnation
            });
        if skips_suspicion {
            let suspicion = MemberUpdate {
                health: MemberHealth::Suspect,
                age_ds: 0,
                ..update.clone()
            };
            self.apply_update(now, &suspicion, forward);
            return;
        }
        self.apply_update(now, update, forward);
    }
}
