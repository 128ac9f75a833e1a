//! The VM list: one store item for each VM of the deployment and each upstream.

use std::net::IpAddr;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ident::ZoneName;
use crate::store::{StoreClient, StoreError};

/// Group of the deployment's own VMs in the VM list; every other group is a service of upstreams.
pub const OWN_GROUP: &str = "ebonyfork";
/// Key prefix of the list items; the rest of a key is chosen by the writer of the list.
pub const VM_LIST_PREFIX: &str = "vms/";

/// State of a VM according to the VM list, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One item of the VM list.
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
    /// IP address of the VM.
    pub ip: IpAddr,
    /// Port of an upstream; none for the deployment's own VMs, whose ports are set in the settings file.
    pub port: Option<u16>,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// [`OWN_GROUP`], or the name of the service that the upstream belongs to.
    pub group: CompactString,
    /// Whether the VM runs or is about to be removed.
    pub state: VmState,
}

/// Reads the VM list. An item that can't be decoded fails the whole read: without it, the list would drop a VM.
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
