//! The VM list: one item of the store for each of our VMs and each upstream.

use std::net::IpAddr;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ident::ZoneName;
use crate::store::{StoreClient, StoreError};

/// Group of our own VMs in the VM list; every other group is a service of upstreams.
pub const OWN_GROUP: &str = "ebonyfork";
/// Prefix of the keys of the list; the rest of a key is a name that the list's writer chooses.
pub const VM_LIST_PREFIX: &str = "vms/";

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
/// use ebonyfork::topology::{VmRecord, VmState};
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

/// Reads the VM list. One line that can't be read fails the reading: a list that lacks it would drop a VM.
pub async fn read_vm_list(client: &StoreClient) -> Result<Vec<VmRecord>, StoreError> {
    let items = client.list(VM_LIST_PREFIX).await?;
    let mut records = Vec::with_capacity(items.len());
    for item in items {
        let record = serde_json::from_slice(&item.value);
        records.push(record.map_err(|error| StoreError::Malformed {
            reason: format_compact!("{}: {error}", item.key),
        })?);
    }
    Ok(records)
}
