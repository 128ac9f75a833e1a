//! What members say to each other: one datagram is a prefix, the sender, one message and as many facts as fit.
//!
//! The prefix names protocol and deployment, so that a stranger's datagram is told apart before anything in it is
//! believed. Facts follow one another until the datagram ends; each is small and complete in itself.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ident::{IncarnationNumber, SessionId, VmAddress, ZoneName};
use crate::membership::snapshot::{GossipNotice, MemberDigest};

/// Largest datagram, in bytes; it fits an Ethernet frame with any usual tunnel around it.
pub const DATAGRAM_LIMIT: usize = 1_200;
/// Bytes that IP and UDP add to a datagram (IPv4).
pub const PACKET_OVERHEAD: usize = 28;
/// Version of the datagrams; another one is dropped.
pub const DATAGRAM_VERSION: u8 = 1;
/// First bytes of every datagram.
const MAGIC: [u8; 3] = *b"ebf";
/// Bytes of the prefix: magic, version, deployment.
const PREFIX_SIZE: usize = MAGIC.len() + 1 + 4;

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Snafu)]
pub enum DatagramError {
    /// It does not start as ours do, or is too long.
    #[snafu(display("not a datagram of this protocol"))]
    Foreign,
    /// It is of another version of the protocol.
    #[snafu(display("another version of the protocol"))]
    Version,
    /// It belongs to another deployment.
    #[snafu(display("another deployment"))]
    Deployment,
    /// Its content can't be read.
    #[snafu(display("malformed"))]
    Malformed,
    /// It names a sender other than the one it came from.
    #[snafu(display("sender and source differ"))]
    Source,
    /// Its sender's life is over: a newer process runs there.
    #[snafu(display("from an earlier incarnation"))]
    Stale,
}

/// Whether a member answers. The order is the precedence within one refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberHealth {
    /// It answers.
    Alive,
    /// Somebody got no answer.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
}

/// One life of a member: the process incarnation, and how often it has refuted a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberLife {
    /// The process incarnation.
    pub incarnation: IncarnationNumber,
    /// Counted up by the member itself, alone, each time it learns that it is suspected.
    pub refutation: u32,
}

/// What a member says about itself in every datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderHeader {
    /// Its VM.
    pub vm: VmAddress,
    /// Its life.
    pub life: MemberLife,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
    /// Its newest digest.
    pub digest: MemberDigest,
    /// Counts the digests of this incarnation.
    pub stamp: u32,
}

impl SenderHeader {
    /// The process incarnation that sent it.
    pub fn session(&self) -> SessionId {
        SessionId::new(self.vm, self.life.incarnation)
    }
}

/// The duty of a datagram, besides the facts that ride along.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks for an [`MemberMessage::Ack`] with the same number.
    Ping {
        /// Chosen by the sender.
        sequence: u32,
    },
    /// Answers a ping, also one made on somebody's behalf.
    Ack {
        /// That of the ping.
        sequence: u32,
    },
    /// Asks the receiver to ping a third member and pass the answer on.
    PingRequest {
        /// Chosen by the sender; the passed-on answer carries it.
        sequence: u32,
        /// The member to ping.
        target: VmAddress,
    },
    /// Only facts.
    Gossip,
    /// Asks for a page of all members.
    PageRequest {
        /// Where the page starts: behind this address.
        after: Option<VmAddress>,
    },
    /// A page of members, as [`GossipFact::Member`].
    Page {
        /// Where the next page starts; none after the last.
        next: Option<VmAddress>,
    },
}

/// What is said about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Its VM.
    pub vm: VmAddress,
    /// The life that the rest is about.
    pub life: MemberLife,
    /// Whether it answers.
    pub health: MemberHealth,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
    /// Tenths of a second since it got this health; what matters is when a suspicion began.
    pub age_ds: u16,
    /// Its zone; left out where the receiver must know the member already.
    pub zone: Option<ZoneName>,
}

/// What a member has said about itself, passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestUpdate {
    /// The member.
    pub session: SessionId,
    /// Counts the digests of that incarnation; the higher one is newer.
    pub stamp: u32,
    /// The digest.
    pub digest: MemberDigest,
}

/// One fact that rides along.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipFact {
    /// About a member's life.
    Member(MemberUpdate),
    /// About a member's load and revision.
    Digest(DigestUpdate),
    /// About a request that crashes upstreams.
    Notice(GossipNotice),
}

/// A datagram as it is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberDatagram {
    /// Who sent it.
    pub sender: SenderHeader,
    /// Its duty.
    pub message: MemberMessage,
    /// What rides along.
    pub facts: Vec<GossipFact>,
}

impl MemberDatagram {
    /// Reads a datagram of one deployment.
    pub fn decode(deployment: u32, bytes: &[u8]) -> Result<Self, DatagramError> {
        if bytes.len() < PREFIX_SIZE || bytes.len() > DATAGRAM_LIMIT || bytes[..3] != MAGIC {
            return Err(DatagramError::Foreign);
        }
        if bytes[3] != DATAGRAM_VERSION {
            return Err(DatagramError::Version);
        }
        if bytes[4..PREFIX_SIZE] != deployment.to_be_bytes() {
            return Err(DatagramError::Deployment);
        }
        let malformed = |_error| DatagramError::Malformed;
        let rest = &bytes[PREFIX_SIZE..];
        let (sender, rest) = postcard::take_from_bytes(rest).map_err(malformed)?;
        let (message, mut rest) = postcard::take_from_bytes(rest).map_err(malformed)?;
        let mut facts = Vec::new();
        while !rest.is_empty() {
            let (fact, left) = postcard::take_from_bytes(rest).map_err(malformed)?;
            facts.push(fact);
            rest = left;
        }
        Ok(Self {
            sender,
            message,
            facts,
        })
    }
}

/// Builds one datagram: the duty first, then facts for as long as they fit.
#[derive(Debug)]
pub struct DatagramWriter {
    bytes: Vec<u8>,
    limit: usize,
}

impl DatagramWriter {
    /// Starts a datagram that stays within `limit` bytes, at most [`DATAGRAM_LIMIT`].
    pub fn new(
        deployment: u32,
        limit: usize,
        sender: &SenderHeader,
        message: MemberMessage,
    ) -> Self {
        let mut bytes = Vec::with_capacity(limit.min(DATAGRAM_LIMIT));
        bytes.extend_from_slice(&MAGIC);
        bytes.push(DATAGRAM_VERSION);
        bytes.extend_from_slice(&deployment.to_be_bytes());
        let mut writer = Self {
            bytes,
            limit: limit.min(DATAGRAM_LIMIT),
        };
        writer.append(sender);
        writer.append(&message);
        writer
    }

    /// Adds a fact and tells whether it fitted.
    pub fn push(&mut self, fact: &GossipFact) -> bool {
        let before = self.bytes.len();
        self.append(fact);
        let fits = self.bytes.len() <= self.limit;
        if !fits {
            self.bytes.truncate(before);
        }
        fits
    }

    /// Adds a fact that must be told, up to [`DATAGRAM_LIMIT`].
    pub fn push_always(&mut self, fact: &GossipFact) {
        let before = self.bytes.len();
        self.append(fact);
        if self.bytes.len() > DATAGRAM_LIMIT {
            self.bytes.truncate(before);
        }
    }

    /// Returns the datagram.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }

    fn append(&mut self, value: &impl Serialize) {
        let bytes = std::mem::take(&mut self.bytes);
        // Writing plain data to memory can't fail; should it, the datagram would be short and the receiver drop it.
        self.bytes = postcard::to_extend(value, bytes).unwrap_or_default();
    }
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
