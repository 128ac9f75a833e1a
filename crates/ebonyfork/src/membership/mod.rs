//! Cluster membership and failure detection: SWIM-style probes and gossip over UDP.
//!
//! Each process probes one member at a time and piggybacks recent membership changes on its probes, so the cost per
//! process does not grow with the number of members. The result is a [`MemberSnapshot`]: the state of every member as
//! this process sees it. The snapshots of two processes may differ for a while.
//!
//! [`MemberProtocol`] implements the protocol without socket or clock; [`MemberHandle`] runs it in an actor.

mod actor;
mod belief;
mod event;
#[cfg(test)]
#[path = "fleet_fixture.rs"]
pub(crate) mod fleet;
mod message;
mod metrics;
mod notice;
mod paging;
mod probing;
mod protocol;
mod receive;
mod snapshot;
mod spread;
mod table;
mod telling;
mod timing;
mod unheard;

pub use actor::{MemberHandle, MemberSettings};
pub use event::{MemberCounters, MemberEvent, OutgoingDatagram, SnapshotChange};
pub use message::{
    DATAGRAM_LIMIT, DATAGRAM_VERSION, DatagramError, DatagramWriter, DigestUpdate, GossipFact,
    MemberDatagram, MemberHealth, MemberMessage, MemberUpdate, MemberVersion, PACKET_OVERHEAD,
    SenderHeader,
};
pub use metrics::MemberMetrics;
pub use notice::{NOTICE_AGE, NOTICE_LIMIT};
pub use protocol::MemberProtocol;
pub use snapshot::{
    GossipNotice, MemberDigest, MemberEntry, MemberSnapshot, MemberState, NOTICE_PAYLOAD_LIMIT,
};
pub use timing::{ISOLATION_TIME, PROBE_PERIOD, SEND_RATE, TICK_PERIOD, suspicion_time};
