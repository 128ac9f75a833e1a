//! Topology: the live VMs of the deployment, the upstreams of each service, and which VM owns which upstream.
//!
//! A [`TopologyView`] is an immutable snapshot that is replaced as a whole. It merges the platform's VM list, which
//! lags, with the state of membership. The views of two VMs may differ for a while, and every rule that uses them has
//! to tolerate that.

mod feed;
mod join;
mod listed;
mod ownership;
mod view;

pub use feed::{LIST_PERIOD, TopologyHandle, TopologySettings};
pub use join::{LEAVING_REPORT_AGE, TopologyJoin, UNCONFIRMED_GRACE};
pub use listed::{OWN_GROUP, VM_LIST_PREFIX, VmRecord, VmState, read_vm_list};
pub use ownership::{OwnerPair, connection_share, direct_share, owner_pair};
pub use view::{TopologyView, UpstreamEntry, VmEntry};
