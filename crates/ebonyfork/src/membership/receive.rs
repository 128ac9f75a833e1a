//! What the protocol does with a datagram.

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
    /// Takes a datagram that came from `source`. What can't be believed is dropped and counted.
    pub fn take_datagram(
        &mut self,
        now: Duration,
        source: VmAddress,
        bytes: &[u8],
        out: &mut Vec<OutgoingDatagram>,
    ) {
        self.begin(now);
        self.counters.received_bytes += (bytes.len() + PACKET_OVERHEAD) as u64;
        match self.read(source, bytes) {
            Ok(datagram) => {
                self.counters.received_datagrams += 1;
                self.take(now, &datagram, out);
            }
            Err(error) => self.counters.dropped[error as usize] += 1,
        }
    }

    fn read(&self, source: VmAddress, bytes: &[u8]) -> Result<MemberDatagram, DatagramError> {
        let datagram = MemberDatagram::decode(self.deployment, bytes)?;
        let sender = &datagram.sender;
        if sender.vm != source || sender.vm == self.own.vm {
            return Err(DatagramError::Source);
        }
        let known = self.table.get(sender.vm);
        if known.is_some_and(|record| record.life.incarnation > sender.life.incarnation) {
            return Err(DatagramError::Stale);
        }
        Ok(datagram)
    }

    fn take(&mut self, now: Duration, datagram: &MemberDatagram, out: &mut Vec<OutgoingDatagram>) {
        self.heard(now);
        self.take_sender(now, &datagram.sender);
        // A page is old news: passing it on would make every newcomer repeat the whole table.
        let tell = !matches!(datagram.message, MemberMessage::Page { .. });
        for fact in &datagram.facts {
            match fact {
                GossipFact::Member(update) => self.take_update(now, update, tell),
                GossipFact::Digest(update) => self.believe_digest(update),
                GossipFact::Notice(notice) => self.believe_notice(now, notice.clone()),
            }
        }
        let from = datagram.sender.vm;
        match datagram.message {
            MemberMessage::Ping { sequence } => {
                self.send(now, from, MemberMessage::Ack { sequence }, out);
            }
            MemberMessage::Ack { sequence } => self.take_ack(now, from, sequence, out),
            MemberMessage::PingRequest { sequence, target } => {
                self.take_ping_request(now, from, sequence, target, out);
            }
            MemberMessage::Gossip => {}
            MemberMessage::PageRequest { after } => self.send_page(now, from, after, out),
            MemberMessage::Page { next } => self.take_page(from, next),
        }
    }

    fn take_sender(&mut self, now: Duration, sender: &SenderHeader) {
        self.believe(now, &own_update(sender), true);
        let digest = DigestUpdate {
            session: sender.session(),
            stamp: sender.stamp,
            digest: sender.digest,
        };
        self.believe_digest(&digest);
    }

    fn take_update(&mut self, now: Duration, update: &MemberUpdate, tell: bool) {
        if update.vm == self.own.vm {
            self.believe_self(update);
            return;
        }
        // One process's verdict is not enough: who has not even heard of the suspicion lets the member refute it.
        let known = self.table.get(update.vm);
        let sudden = update.health == MemberHealth::Failed
            && known.is_some_and(|record| {
                record.health == MemberHealth::Alive
                    && record.life.incarnation == update.life.incarnation
            });
        if sudden {
            let suspicion = MemberUpdate {
                health: MemberHealth::Suspect,
                age_ds: 0,
                ..update.clone()
            };
            self.believe(now, &suspicion, tell);
            return;
        }
        self.believe(now, update, tell);
    }
}
