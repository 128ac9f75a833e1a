//! What VMs ask one another about a route.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One message about a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteCheckMessage {
    /// Asks how a route is in the configuration in force.
    Ask {
        /// Number of the question.
        number: u64,
        /// The route's host.
        host: CompactString,
        /// The beginning of its paths.
        prefix: CompactString,
    },
    /// Answers an [`RouteCheckMessage::Ask`].
    Verdict {
        /// Number of the question.
        number: u64,
        /// The version in force; 0 if there is none.
        version: u64,
        /// Marks the route and all others whose paths begin as its own do; none if there is no such route.
        mark: Option<u64>,
    },
}
