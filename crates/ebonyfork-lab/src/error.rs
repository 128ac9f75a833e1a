//! What can go wrong in the lab itself.

use std::net::SocketAddr;

use ebonyfork::finding::FindingList;
use snafu::Snafu;

/// A failure of the lab, as opposed to one of the tier under test.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LabError {
    /// A stand-in can't listen.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A file can't be read.
    #[snafu(display("can't read {path}: {source}"))]
    ReadFile {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file does not hold the expected JSON.
    #[snafu(display("{path}: {source}"))]
    Json {
        /// The file.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A scenario is malformed.
    #[snafu(display("{findings}"))]
    Scenario {
        /// All that is wrong with it.
        findings: FindingList,
    },
    /// The tier under test did not come up.
    #[snafu(display("{what}: {message}"))]
    Tier {
        /// What was being done.
        what: &'static str,
        /// The cause.
        message: String,
    },
    /// The operating system refused something.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was being done.
        what: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}
