//! Dense ids of the entities in a relay. They index tables; those of attempts, upstreams, connections and lanes are
//! reused once nothing refers to them.

use cranelift_entity::entity_impl;

/// An attempt that a relay holds, queued or sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(u32);
entity_impl!(WorkId, "work");

/// An upstream for which a relay has received attempts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct UpstreamId(u32);
entity_impl!(UpstreamId, "upstream");

/// A connection, from the decision to open it until its end is reported.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ConnectionId(u32);
entity_impl!(ConnectionId, "connection");

/// An interned organisation name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationId(u32);
entity_impl!(OrganisationId, "organisation");

/// An interned class name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(u32);
entity_impl!(ClassId, "class");

/// The waiting attempts of one organisation in a queue.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct LaneId(u32);
entity_impl!(LaneId, "lane");
