//! Which of our own processes live: SWIM-style probes and gossip over UDP.
//!
//! Every process probes one other at a time and tells what it has learnt along with the probes, so the cost for one
//! process does not grow with their number. A [`MemberSnapshot`] is the result: what this process believes about all
//! members. Two processes may believe different things for a while.
//!
//! [`MemberProtocol`] is the whole protocol without socket or clock; [`MemberHandle`] runs it in an actor.

mod actor;
mod belief;
mod event;
#[cfg(test)]
#[path = "fleet_fixture.rs"]
mod fleet;
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

pub use actor::{MemberHandle, MemberSettings};
pub use event::{MemberCounters, MemberEvent, OutgoingDatagram, SnapshotChange};
pub use message::{
    DATAGRAM_LIMIT, DATAGRAM_VERSION, DatagramError, DatagramWriter, DigestUpdate, GossipFact,
    MemberDatagram, MemberHealth, MemberLife, MemberMessage, MemberUpdate, PACKET_OVERHEAD,
    SenderHeader,
};
pub use metrics::MemberFigures;
pub use notice::{NOTICE_AGE, NOTICE_LIMIT};
pub use protocol::MemberProtocol;
pub use snapshot::{
    GossipNotice, MemberDigest, MemberEntry, MemberSnapshot, MemberState, NOTICE_PAYLOAD_LIMIT,
};
pub use timing::{ISOLATION_TIME, PROBE_PERIOD, SEND_RATE, TICK_PERIOD, suspicion_time};
