//! Datagram format: a prefix, the sender's header, one message, and as many piggybacked facts as fit.
//!
//! The prefix identifies protocol and deployment, so that foreign datagrams are rejected before their content is
//! decoded. Facts follow one another up to the end of the datagram; each can be decoded by itself.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ident::{IncarnationNumber, SessionId, VmAddress, ZoneName};
use crate::membership::snapshot::{GossipNotice, MemberDigest};

/// Maximum datagram size, in bytes; it fits an Ethernet frame together with common tunnel headers.
pub const DATAGRAM_LIMIT: usize = 1_200;
/// Bytes that IP and UDP add to a datagram (IPv4).
pub const PACKET_OVERHEAD: usize = 28;
/// Version of the datagram format; datagrams of any other version are dropped.
pub const DATAGRAM_VERSION: u8 = 1;
/// First bytes of every datagram.
const MAGIC: [u8; 3] = *b"ebf";
/// Size of the prefix, in bytes: magic, version, deployment.
const PREFIX_SIZE: usize = MAGIC.len() + 1 + 4;

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Snafu)]
pub enum DatagramError {
    /// The datagram lacks the magic prefix or exceeds [`DATAGRAM_LIMIT`].
    #[snafu(display("not a datagram of this protocol"))]
    Foreign,
    /// The datagram has another [`DATAGRAM_VERSION`].
    #[snafu(display("another version of the protocol"))]
    Version,
    /// The datagram belongs to another deployment.
    #[snafu(display("another deployment"))]
    Deployment,
    /// The content of the datagram can't be decoded.
    #[snafu(display("malformed"))]
    Malformed,
    /// The sender in the header differs from the source address, or is this process.
    #[snafu(display("sender and source differ"))]
    Source,
    /// The sender has been replaced: a newer incarnation is known on its VM.
    #[snafu(display("from an earlier incarnation"))]
    Stale,
}

/// Health of a member. For equal [`MemberVersion`]s, the greater variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberHealth {
    /// The member answers.
    Alive,
    /// A member got no answer to a probe.
    Suspect,
    /// The member did not refute the suspicion in time.
    Failed,
}

/// Orders the updates about one member: process incarnation first, then its refutation counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberVersion {
    /// Incarnation of the process that runs on the VM.
    pub incarnation: IncarnationNumber,
    /// Counter that only the member itself increments, each time it learns that it is suspected.
    pub refutation: u32,
}

/// Header of every datagram: the state of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderHeader {
    /// VM of the sender.
    pub vm: VmAddress,
    /// Incarnation and refutation counter of the sender.
    pub version: MemberVersion,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Whether the sender has announced a planned stop.
    pub leaving: bool,
    /// The sender's newest digest.
    pub digest: MemberDigest,
    /// Sequence number of `digest` within this incarnation.
    pub digest_sequence: u32,
}

impl SenderHeader {
    /// Returns the session of the sender: its VM and its process incarnation.
    pub fn session(&self) -> SessionId {
        SessionId::new(self.vm, self.version.incarnation)
    }
}

/// Message of a datagram, apart from the piggybacked facts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Requests a [`MemberMessage::Ack`] with the same sequence number.
    Ping {
        /// Sequence number chosen by the sender.
        sequence: u32,
    },
    /// Answers a [`MemberMessage::Ping`] or a [`MemberMessage::PingRequest`].
    Ack {
        /// Sequence number of the answered ping or ping request.
        sequence: u32,
    },
    /// Asks the receiver to ping a third member and to forward the answer.
    PingRequest {
        /// Sequence number chosen by the sender; the forwarded answer carries it.
        sequence: u32,
        /// The member to ping.
        target: VmAddress,
    },
    /// Carries piggybacked facts only.
    Gossip,
    /// Requests one page of the member table.
    PageRequest {
        /// The page starts after this address; none for the first page.
        after: Option<VmAddress>,
    },
    /// One page of the member table, sent as [`GossipFact::Member`] facts.
    Page {
        /// The next page starts after this address; none on the last page.
        next: Option<VmAddress>,
    },
}

/// State of a member, reported by itself or by another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// VM of the member.
    pub vm: VmAddress,
    /// Incarnation and refutation counter to which the other fields apply.
    pub version: MemberVersion,
    /// Health of the member.
    pub health: MemberHealth,
    /// Whether the member has announced a planned stop.
    pub leaving: bool,
    /// Time since `health` last changed, in tenths of a second; determines when a suspicion expires.
    pub age_ds: u16,
    /// Availability zone; omitted in updates that apply only to members the receiver already knows.
    pub zone: Option<ZoneName>,
}

/// Digest of a member, sent by itself or forwarded by another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestUpdate {
    /// Process incarnation of the member.
    pub session: SessionId,
    /// Sequence number of `digest` within that incarnation; a higher one is newer.
    pub digest_sequence: u32,
    /// Revision and load that the member reported.
    pub digest: MemberDigest,
}

/// One fact that is piggybacked on a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipFact {
    /// Health of a member.
    Member(MemberUpdate),
    /// Load and revision of a member.
    Digest(DigestUpdate),
    /// Notice that a subsystem broadcasts to all members, for example that a request has been quarantined.
    Notice(GossipNotice),
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberDatagram {
    /// State of the sender.
    pub sender: SenderHeader,
    /// What the sender asks or answers.
    pub message: MemberMessage,
    /// The piggybacked facts.
    pub facts: Vec<GossipFact>,
}

impl MemberDatagram {
    /// Decodes a datagram and rejects those of other deployments.
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
        let to_malformed = |_error| DatagramError::Malformed;
        let rest = &bytes[PREFIX_SIZE..];
        let (sender, rest) = postcard::take_from_bytes(rest).map_err(to_malformed)?;
        let (message, mut rest) = postcard::take_from_bytes(rest).map_err(to_malformed)?;
        let mut facts = Vec::new();
        while !rest.is_empty() {
            let (fact, remainder) = postcard::take_from_bytes(rest).map_err(to_malformed)?;
            facts.push(fact);
            rest = remainder;
        }
        Ok(Self {
            sender,
            message,
            facts,
        })
    }
}

/// Encodes one datagram: the message first, then facts while they fit.
#[derive(Debug)]
pub struct DatagramWriter {
    bytes: Vec<u8>,
    /// Maximum size of this datagram, in bytes.
    limit: usize,
}

impl DatagramWriter {
    /// Starts a datagram of at most `limit` bytes, capped at [`DATAGRAM_LIMIT`].
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

    /// Appends a fact if it fits; returns whether it did.
    pub fn push(&mut self, fact: &GossipFact) -> bool {
        let length_before = self.bytes.len();
        self.append(fact);
        let fits = self.bytes.len() <= self.limit;
        if !fits {
            self.bytes.truncate(length_before);
        }
        fits
    }

    /// Appends a fact even beyond the limit of this datagram, as long as [`DATAGRAM_LIMIT`] allows.
    pub fn push_mandatory(&mut self, fact: &GossipFact) {
        let length_before = self.bytes.len();
        self.append(fact);
        if self.bytes.len() > DATAGRAM_LIMIT {
            self.bytes.truncate(length_before);
        }
    }

    /// Returns the encoded datagram.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }

    /// Appends an encoded value without checking the limit.
    fn append(&mut self, value: &impl Serialize) {
        let bytes = std::mem::take(&mut self.bytes);
        // Encoding to memory can't fail for these types; if it did, the receiver would drop the truncated datagram.
        self.bytes = postcard::to_extend(value, bytes).unwrap_or_default();
    }
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
