//! Dense ids of what a relay keeps: they index tables, and are reused once nothing refers to them any more.

use cranelift_entity::entity_impl;

/// One attempt that a relay holds, queued or sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(u32);
entity_impl!(WorkId, "work");

/// One upstream that a relay has been asked to use.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct UpstreamId(u32);
entity_impl!(UpstreamId, "upstream");

/// One connection, from the decision to open it until its end is known.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ConnectionId(u32);
entity_impl!(ConnectionId, "connection");

/// An organisation's name, interned.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationId(u32);
entity_impl!(OrganisationId, "organisation");

/// A class's name, interned.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(u32);
entity_impl!(ClassId, "class");

/// An organisation's backlog within one queue.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct LaneId(u32);
entity_impl!(LaneId, "lane");
