//! What a request for a token states, and what a holder decides on it.
//!
//! Load pattern: most requests that are refused at the limit could have waited the few milliseconds until the next
//! token. A holder can only tell which ones if each request states how long it can wait and how urgent it is, and it can
//! only keep a token for the return of a refused request if it recognises the request when it comes back.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident::{RequestFingerprint, SessionId};

/// What a request for a token states about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Priority of the organisation or route; 0 is the most urgent.
    pub priority: u8,
    /// Longest time for which the holder may keep the request waiting.
    #[serde(deserialize_with = "crate::stated::bounded_time")]
    pub longest_wait: Duration,
    /// Longest time for which the caller may be told to stay away; zero if no promise is wanted.
    #[serde(deserialize_with = "crate::stated::bounded_time")]
    pub longest_stay: Duration,
    /// Fingerprint of the request, by which its return is recognised.
    pub fingerprint: RequestFingerprint,
}

impl TokenRequest {
    /// Returns the same request as one that neither waits nor returns.
    #[must_use]
    pub fn without_wait(self) -> Self {
        Self {
            longest_wait: Duration::ZERO,
            longest_stay: Duration::ZERO,
            ..self
        }
    }
}

/// Identifies a request for a token at its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequesterKey {
    /// Process that asks.
    pub session: SessionId,
    /// Number that the process assigned to the request, unique within the process.
    pub number: u64,
}

/// Refusal of a request for a token. Times are durations since the holder's process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRefusal {
    /// Time at which the request should return.
    pub return_at: Duration,
    /// Time at which the part has another token, for whichever request.
    pub next_token_at: Duration,
    /// Whether a token is set aside for the return.
    pub is_promised: bool,
    /// Whether the organisation asks this part for more than its limit.
    pub is_over_limit: bool,
    /// Whether the request returned as it was told to and finds no token.
    pub is_broken_promise: bool,
}

/// Decision of a holder on a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may be sent.
    Granted {
        /// Whether the token had been set aside for the return of this request.
        is_kept_promise: bool,
    },
    /// A token is reserved. The holder grants it as soon as it is due.
    WaitUntil {
        /// Time at which the token is due by present knowledge; it may be earlier.
        due: Duration,
    },
    /// There is no token for the request.
    Refused(TokenRefusal),
}

/// End of a wait at the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitEnd {
    /// The request that waited.
    pub requester: RequesterKey,
    /// Time for which it waited.
    pub waited: Duration,
    /// Whether it got its token. A reservation fails only if the quota was lowered or priorities changed meanwhile.
    pub is_granted: bool,
}

/// What has happened to waiting requests and promises of an organisation since the last check.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaitCheck {
    /// Waits that have ended.
    pub ended: Vec<WaitEnd>,
    /// Number of promises that have expired because the request did not return.
    pub expired_promises: usize,
    /// Time of the next check; `None` if no request waits.
    pub next_check: Option<Duration>,
}
