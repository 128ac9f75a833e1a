//! The status of a process as operators see it.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ident::{
    IndexName, RequestFingerprint, RevisionNumber, ServiceName, SessionId, SnapshotVersion,
    UpstreamAddress, VmAddress, ZoneName,
};

/// Readiness, configuration revision, topology and work in flight of one process, as the operators' port returns them
/// at `/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Text form of the process's [`SessionId`].
    pub session: CompactString,
    /// Availability zone of the process's VM.
    pub zone: ZoneName,
    /// Readiness of the process, in one word.
    pub readiness: CompactString,
    /// Configuration revision in force in this process.
    pub revision: RevisionNumber,
    /// Index catalogues that the process has read.
    pub catalogs: Vec<CatalogStatus>,
    /// VMs that the process knows.
    pub vms: Vec<VmStatus>,
    /// Upstreams that the process knows.
    pub upstreams: Vec<UpstreamStatus>,
    /// Work in flight in this process.
    pub in_flight: InFlightStatus,
}

/// One index as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogStatus {
    /// Name of the index.
    pub index: IndexName,
    /// Epoch of the index's catalogue.
    pub epoch: u64,
    /// Newest version of the index; `None` if the catalogue is empty.
    pub newest: Option<SnapshotVersion>,
}

/// One VM as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Address of the VM.
    pub vm: VmAddress,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Text form of the [`SessionId`] of the process on the VM, once its incarnation is known.
    pub session: Option<CompactString>,
    /// Whether the VM is leaving the deployment.
    pub leaving: bool,
}

/// One upstream as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Address of the upstream.
    pub upstream: UpstreamAddress,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// VM that owns the connections to the upstream, according to this process.
    pub owner: Option<VmAddress>,
}

/// Amounts of work that a process has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightStatus {
    /// Number of queries that the process serves as entry.
    pub queries: usize,
    /// Number of non-idempotent queries that run under keys of the process's own session, or wait for another VM.
    pub keyed: usize,
    /// Number of shard requests that wait in the process's queues as relay, or that it has sent to upstreams, and that
    /// have no outcome yet.
    pub attempts: usize,
}

/// One quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Fingerprint of the request's class and selection.
    pub fingerprint: RequestFingerprint,
    /// Seconds until the quarantine expires.
    pub expires_in_s: u64,
}

impl NodeStatus {
    /// Returns the text form of a session id.
    pub fn session_text(session: SessionId) -> CompactString {
        compact_str::ToCompactString::to_compact_string(&session)
    }
}
