//! Values that the platform's service hands out.

use std::net::IpAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ident::ZoneName;

/// Group of our own VMs in the VM list; every other group is a service of upstreams.
pub const OWN_GROUP: &str = "ebonyfork";

/// State of a VM in the list, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// One line of the VM list.
///
/// # Examples
///
/// ```
/// use ebonyfork::platform::{VmRecord, VmState};
///
/// let text = r#"{"ip":"127.0.0.9","port":80,"zone":"zone-a","group":"tender-00","state":"live"}"#;
/// let record: VmRecord = serde_json::from_str(text)?;
/// assert_eq!(record.state, VmState::Live);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// IP address.
    pub ip: IpAddr,
    /// Port of an upstream's server; none for our VMs, whose ports are settings.
    pub port: Option<u16>,
    /// Availability zone.
    pub zone: ZoneName,
    /// [`OWN_GROUP`], or the name of a service.
    pub group: CompactString,
    /// State.
    pub state: VmState,
}
