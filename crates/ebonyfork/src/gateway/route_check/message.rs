//! Messages between VMs that compare a route.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A message of a route check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteCheckMessage {
    /// Requests the state of a route in the receiver's configuration in force.
    Request {
        /// Number of the request.
        number: u64,
        /// The route's host.
        host: CompactString,
        /// The route's path prefix.
        prefix: CompactString,
    },
    /// Answers a [`RouteCheckMessage::Request`].
    Response {
        /// Number of the request.
        number: u64,
        /// The configuration version in force; 0 if there is none.
        version: u64,
        /// Fingerprint of the route and of all routes whose path prefixes extend its own; none if there is no such
        /// route.
        scope_mark: Option<u64>,
    },
}
