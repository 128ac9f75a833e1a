//! Which of our own processes live: SWIM-style probes and gossip over UDP.
//!
//! Every process probes one other at a time and tells what it has learnt along with the probes, so the cost for one
//! process does not grow with their number. A [`MemberSnapshot`] is the result: what this process believes about all
//! members. Two processes may believe different things for a while.

mod snapshot;

pub use snapshot::{GossipNotice, MemberDigest, MemberEntry, MemberSnapshot, MemberState};
