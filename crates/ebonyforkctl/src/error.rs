//! Why a command can't be carried out.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;
use ebonyfork::finding::FindingList;
use ebonyfork::store::StoreError;
use snafu::Snafu;

use crate::status::ExitStatus;

/// Why a command can't be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The declarations have findings.
    #[snafu(display("{findings}"))]
    Findings {
        /// All of them.
        findings: FindingList,
    },
    /// A call to the store failed.
    #[snafu(display("the platform's store: {source}"))]
    Platform {
        /// The cause.
        source: StoreError,
    },
    /// There is no such revision.
    #[snafu(display("{what}"))]
    Missing {
        /// What was looked for.
        what: CompactString,
    },
    /// A VM has no answer.
    #[snafu(display("{address}: {reason}"))]
    Call {
        /// The VM's port.
        address: SocketAddr,
        /// Why.
        reason: CompactString,
    },
    /// The operating system refused something.
    #[snafu(display("{source}"))]
    System {
        /// The cause.
        source: std::io::Error,
    },
}

impl CtlError {
    /// The exit status that it leads to.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Findings { .. } => ExitStatus::Findings,
            _ => ExitStatus::Failed,
        }
    }
}
