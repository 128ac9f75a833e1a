//! What the protocol hands out besides snapshots: datagrams, counts, events.

use std::time::Duration;

use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::membership::snapshot::{GossipNotice, MemberState};

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
