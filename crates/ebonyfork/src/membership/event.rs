//! Outputs of the protocol besides snapshots: datagrams, counters and events.

use std::time::Duration;

use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::membership::snapshot::{GossipNotice, MemberState};

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Destination VM.
    pub destination: VmAddress,
    /// Encoded datagram.
    pub bytes: Vec<u8>,
}

/// Counters since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent, IP and UDP headers included.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received_datagrams: u64,
    /// Bytes received from any sender, IP and UDP headers included.
    pub received_bytes: u64,
    /// Received datagrams that were dropped, indexed by [`super::DatagramError`].
    pub dropped_datagrams: [u64; 6],
    /// Datagrams not sent because the byte budget was exhausted.
    pub withheld_datagrams: u64,
    /// Suspicions that this process raised after a probe of its own.
    pub suspicions: u64,
    /// Suspicions that expired in this process.
    pub failures: u64,
    /// Suspicions about this process that it refuted.
    pub refutations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Received updates that name a newer incarnation on this VM: its clock ran backwards, or two processes run there.
    pub superseded: u64,
    /// Listed VMs that answered no ping and were never heard of.
    pub unreachable: u64,
}

/// An event to log or to forward to subscribers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// The state of a member changed.
    State {
        /// Process incarnation of the member.
        session: SessionId,
        /// Availability zone of the member.
        zone: ZoneName,
        /// The new state.
        state: MemberState,
    },
    /// A listed VM that was never heard of counts as unreachable.
    Unreachable {
        /// Address of the VM.
        vm: VmAddress,
        /// Number of unanswered pings.
        pings: usize,
        /// Time since the first ping.
        silence: Duration,
    },
    /// A new notice arrived from another member.
    Notice(GossipNotice),
    /// This process was paused for about this duration.
    Paused(Duration),
    /// An update names a newer incarnation on this VM: its clock ran backwards, or two processes run there.
    Superseded(SessionId),
    /// This process has become isolated (true), because no datagram has arrived from a peer for
    /// [`super::ISOLATION_TIME`], or has received a datagram again (false).
    Isolated(bool),
}

/// What has changed since the last call of `MemberProtocol::take_change`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SnapshotChange {
    /// Nothing has changed.
    #[default]
    None,
    /// Only digests have changed.
    Digests,
    /// The set of members or the state of one has changed.
    Members,
}
