//! Who is there: our live VMs, the upstreams of each service, and which VM owns which upstream.
//!
//! A [`TopologyView`] is an immutable snapshot that is replaced as a whole. It joins the platform's lagging VM list with
//! what membership has learned. Decisions take it by reference; two VMs may hold different views for a while, and
//! every rule built on it has to bear that.

mod feed;
mod join;
mod listed;
mod ownership;
mod view;

pub use feed::{LIST_PERIOD, TopologyHandle, TopologySettings};
pub use join::{LEAVING_SIGN_AGE, TopologyJoin, UNHEARD_GRACE};
pub use listed::{OWN_GROUP, VM_LIST_PREFIX, VmRecord, VmState, read_vm_list};
pub use ownership::{OwnerPair, connection_share, direct_share, owner_pair};
pub use view::{TopologyView, UpstreamEntry, VmEntry};
