//! What a process tells operators about itself.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ident::{
    IndexName, RequestFingerprint, RevisionNumber, ServiceName, SessionId, SnapshotVersion,
    UpstreamAddress, VmAddress, ZoneName,
};

/// The state of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Text form of its [`SessionId`].
    pub session: CompactString,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its readiness, in one word.
    pub readiness: CompactString,
    /// The revision in force here.
    pub revision: RevisionNumber,
    /// The index catalogues it has read.
    pub catalogs: Vec<CatalogStatus>,
    /// The VMs it knows.
    pub vms: Vec<VmStatus>,
    /// The upstreams it knows.
    pub upstreams: Vec<UpstreamStatus>,
    /// Work in flight.
    pub in_flight: InFlightStatus,
}

/// One index as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogStatus {
    /// The index.
    pub index: IndexName,
    /// Epoch of its catalogue.
    pub epoch: u64,
    /// Newest version; none if the catalogue is empty.
    pub newest: Option<SnapshotVersion>,
}

/// One VM as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmAddress,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The incarnation of its process, once known, as a session.
    pub session: Option<CompactString>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// One upstream as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it leaves.
    pub leaving: bool,
    /// The VM that owns its connections, by this process's view.
    pub owner: Option<VmAddress>,
}

/// Work that a process has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightStatus {
    /// Queries as entry.
    pub queries: usize,
    /// Non-idempotent queries of own sessions.
    pub keyed: usize,
    /// Shard requests as relay, queued or sent.
    pub attempts: usize,
}

/// One quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Fingerprint of class and selection.
    pub fingerprint: RequestFingerprint,
    /// Seconds until it ages out.
    pub expires_in_s: u64,
}

impl NodeStatus {
    /// Names the process.
    pub fn session_text(session: SessionId) -> CompactString {
        compact_str::ToCompactString::to_compact_string(&session)
    }
}
