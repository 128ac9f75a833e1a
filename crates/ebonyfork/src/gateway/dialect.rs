//! Describes a deployment's protocols to the gateway: names of headers, keys of the store, encodings of values.
//!
//! An adapter fills in a [`GatewayDialect`]. It contains names and conversions only and makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderName, HeaderValue, Uri};
use snafu::Snafu;

use crate::gateway::ident::PlaceName;
use crate::gateway::route::RouteTable;
use crate::gateway::upstream::UpstreamEntry;

/// Names of the headers that the gateway reads or sets itself.
#[derive(Debug, Clone)]
pub struct WireNames {
    /// Identifies one attempt of the caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Time that the sender will wait, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of the upstream over its answer.
    pub signature: HeaderName,
    /// Incarnation of the upstream for which a request is meant; any other one refuses it.
    pub expected_instance: HeaderName,
    /// Organisation of the caller, as told to upstreams.
    pub organisation: HeaderName,
    /// Present in an answer if the request did not run.
    pub not_run: HeaderName,
    /// Load of the upstream, present in answers on deployments whose upstreams report it.
    pub load: HeaderName,
    /// Signatures of the partial answers that a gathered answer contains.
    pub part_signatures: HeaderName,
    /// Number of shards that a gathered answer lacks.
    pub missing_parts: HeaderName,
}

/// Meaning of a store key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredKind {
    /// Configuration written by the operators.
    Config,
    /// Entry of an upstream.
    Upstream,
    /// Entry of one of our VMs.
    Vm,
    /// Evacuation of an availability zone: its upstreams get no new requests while the key exists.
    Evacuation(PlaceName),
    /// Claim on the cold upstreams of an availability zone.
    ZoneClaim(PlaceName),
    /// Claim on a part of all organisations' quotas.
    QuotaPart(u8),
    /// A key that the gateway does not use.
    Other,
}

/// Error for a stored value that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{key}: {reason}"))]
pub struct DecodeError {
    /// Key of the value.
    pub key: CompactString,
    /// Description of the error, with its position in the value.
    pub reason: CompactString,
}

/// Look-up of the VMs that a caller should use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateQuery {
    /// Host that the caller wants to reach.
    pub host: CompactString,
    /// Region of the caller.
    pub region: PlaceName,
    /// Availability zone of the caller.
    pub zone: PlaceName,
}

/// Call to a VM that is not a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// Readiness check.
    Ready,
    /// Look-up of the VMs to use.
    Locate(LocateQuery),
}

/// Answer to a look-up of the VMs to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateReply {
    /// Addresses on which the VMs to use accept callers' requests.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may keep the answer.
    pub ttl: Duration,
}

/// Names and conversions of one deployment's protocols.
#[derive(Debug, Clone)]
pub struct GatewayDialect {
    /// Names of the headers that the gateway reads or sets.
    pub names: WireNames,
    /// Returns the meaning of a store key.
    pub classify: fn(key: &str) -> StoredKind,
    /// Decodes a version of the configuration.
    pub read_config: fn(key: &str, value: &[u8]) -> Result<RouteTable, DecodeError>,
    /// Replaces the credentials in a stored value by their digests. VMs of older versions pass values on with the
    /// credentials as text. A value without credentials, or whose credentials have been replaced, stays as it is.
    pub replace_credentials: fn(key: &str, value: Bytes) -> Bytes,
    /// Decodes the entry of an upstream.
    pub read_upstream: fn(key: &str, value: &[u8]) -> Result<UpstreamEntry, DecodeError>,
    /// Returns the key of the entry of one of our VMs.
    pub vm_key: fn(caller: SocketAddr) -> CompactString,
    /// Returns the key of the claim on the cold upstreams of an availability zone.
    pub claim_key: fn(zone: &PlaceName) -> CompactString,
    /// Returns the key of the claim on a part of all organisations' quotas.
    pub quota_key: fn(part: u8) -> CompactString,
    /// Parses a call to the control addresses.
    pub read_call: fn(uri: &Uri) -> Option<ControlCall>,
    /// Encodes a locate answer as content type and body.
    pub write_locate: fn(reply: &LocateReply) -> (HeaderValue, Bytes),
}
