//! Why a call to the platform's service has no result.

use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

use super::client::StoredVersion;

/// Why a call has no result. Each case says whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PlatformError {
    /// The expectation didn't hold: the change was not made.
    #[snafu(display("the stored version is {current}, not the expected one"))]
    Conflict {
        /// The version that is stored now; zero if the key is absent.
        current: StoredVersion,
    },
    /// The call provably did nothing: rate exceeded, outage, or the connection could not be opened.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why, in words.
        reason: CompactString,
    },
    /// The connection broke after the request was sent: it may have taken effect.
    #[snafu(display("the answer was lost: {reason}"))]
    Lost {
        /// Why, in words.
        reason: CompactString,
    },
    /// No answer came in time: the call may have taken effect.
    #[snafu(display("no answer within {within:?}"))]
    Timeout {
        /// The time that was allowed.
        within: Duration,
    },
    /// The lease has lapsed; whatever it carried is gone.
    #[snafu(display("the lease has lapsed"))]
    LeaseLapsed,
    /// The answer is not of the agreed form: the call may have taken effect.
    #[snafu(display("malformed answer: {reason}"))]
    Malformed {
        /// What was wrong with it.
        reason: CompactString,
    },
}

impl PlatformError {
    /// Tells whether a write that ended so may have taken effect.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::platform::PlatformError;
    ///
    /// let timeout = PlatformError::Timeout { within: Duration::from_secs(2) };
    /// assert!(timeout.is_ambiguous());
    /// assert!(!PlatformError::Refused { reason: "503".into() }.is_ambiguous());
    /// ```
    pub fn is_ambiguous(&self) -> bool {
        matches!(
            self,
            Self::Lost { .. } | Self::Timeout { .. } | Self::Malformed { .. }
        )
    }
}
