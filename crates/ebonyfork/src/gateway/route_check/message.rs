//! Messages with which two VMs compare a route in their configurations.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A request or response of a route check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteCheckMessage {
    /// Asks for the receiver's configuration version in force and for the fingerprint of a route in it.
    Request {
        /// Number that the sender assigned to the request, unique within its process. The response repeats it.
        request_number: u64,
        /// The route's host.
        host: CompactString,
        /// The route's path prefix.
        prefix: CompactString,
        /// Digest of the caller's credential, if the route requires one.
        credential: Option<[u8; 32]>,
    },
    /// Answers a [`RouteCheckMessage::Request`].
    Response {
        /// The number stated in the request.
        request_number: u64,
        /// The sender's configuration version in force; 0 if there is none.
        version: u64,
        /// Fingerprint of the route, of all routes whose path prefixes extend its own, and of the credential's
        /// organisation; none if there is no such route or organisation.
        scope_mark: Option<u64>,
    },
}
