//! What the gateway needs to know of the deployment's protocols: names of headers, keys of the store, forms of values.
//!
//! An adapter fills in a [`GatewayDialect`]; it holds names and conversions and decides nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderName, HeaderValue, Uri};
use snafu::Snafu;

use crate::gateway::ident::PlaceName;
use crate::gateway::route::RouteTable;
use crate::gateway::upstream::UpstreamEntry;

/// Headers that the gateway reads or sets itself.
#[derive(Debug, Clone)]
pub struct WireNames {
    /// The caller's id of one attempt; upstreams echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// The upstream's signature under its answer.
    pub signature: HeaderName,
    /// The life of the upstream for which a request is meant; any other refuses it.
    pub expected_instance: HeaderName,
    /// Present in an answer: the request did not run.
    pub not_run: HeaderName,
    /// How busy an upstream is, in its answers, where upstreams tell.
    pub load: HeaderName,
    /// Signatures of the parts that are in a gathered answer.
    pub part_signatures: HeaderName,
    /// Number of shards that are not in a gathered answer.
    pub missing_parts: HeaderName,
}

/// What a key of the store stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredKind {
    /// The operators' configuration.
    Config,
    /// The entry of an upstream.
    Upstream,
    /// The entry of one of our VMs.
    Vm,
    /// The operators want no new requests at the upstreams of an availability zone, as long as the key is there.
    Evacuation(PlaceName),
    /// Which VM sends to the cold upstreams of an availability zone.
    ZoneClaim(PlaceName),
    /// Nothing of ours.
    Other,
}

/// A value that is not what its key promises.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{key}: {reason}"))]
pub struct DecodeError {
    /// The key.
    pub key: CompactString,
    /// What is wrong, with its place in the value.
    pub reason: CompactString,
}

/// Who asks which VMs to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateQuery {
    /// The host that the caller wants to reach.
    pub host: CompactString,
    /// The caller's region.
    pub region: PlaceName,
    /// The caller's availability zone.
    pub zone: PlaceName,
}

/// A call to a VM that is not a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// Whether the VM is ready to be used.
    Ready,
    /// Which VMs to use.
    Locate(LocateQuery),
}

/// The VMs that a caller may use, and for how long it may keep the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateReply {
    /// Caller addresses.
    pub addresses: Vec<SocketAddr>,
    /// How long to keep them.
    pub ttl: Duration,
}

/// Names and conversions of one deployment's protocols.
#[derive(Debug, Clone)]
pub struct GatewayDialect {
    /// Headers.
    pub names: WireNames,
    /// What a key stands for.
    pub classify: fn(key: &str) -> StoredKind,
    /// Reads a version of the configuration.
    pub read_config: fn(key: &str, value: &[u8]) -> Result<RouteTable, DecodeError>,
    /// Reads the entry of an upstream.
    pub read_upstream: fn(key: &str, value: &[u8]) -> Result<UpstreamEntry, DecodeError>,
    /// The key of the entry of one of our VMs.
    pub vm_key: fn(caller: SocketAddr) -> CompactString,
    /// The key of the claim on the cold upstreams of an availability zone.
    pub claim_key: fn(zone: &PlaceName) -> CompactString,
    /// Reads a call to the control addresses.
    pub read_call: fn(uri: &Uri) -> Option<ControlCall>,
    /// Writes a locate answer.
    pub write_locate: fn(reply: &LocateReply) -> (HeaderValue, Bytes),
}
