//! Messages about tokens of organisations' quotas.

use serde::{Deserialize, Serialize};

use super::request::{RequesterKey, TokenRequest};
use crate::gateway::organisation::OrganisationName;

/// Answer of the VM that is asked for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The asking VM may send one request.
    Granted {
        /// Start of the hold in which the token was granted, in nanoseconds of the holder's clock.
        held_since_ns: u64,
        /// Time of the grant on the same clock, in nanoseconds.
        granted_at_ns: u64,
        /// Time for which the request waited at the holder, in microseconds.
        waited_us: u64,
    },
    /// A token is reserved; another answer follows when it is granted.
    Waiting {
        /// Milliseconds until the token is due by present knowledge.
        due_ms: u32,
    },
    /// There is no token within the time for which the request can wait.
    Refused {
        /// Milliseconds until the request should return.
        return_ms: u32,
        /// Milliseconds until the part has another token, for whichever request.
        next_token_ms: u32,
        /// Whether a token is set aside for the return.
        is_promised: bool,
        /// Whether the organisation asks this part for more than its limit.
        is_over_limit: bool,
    },
    /// The VM doesn't hold the part, or its configuration doesn't contain the organisation.
    Unknown,
}

/// Message between two VMs about a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks for one token.
    Request {
        /// Identifies the request. The answer repeats its number.
        requester: RequesterKey,
        /// Part of the quota.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
        /// What the request states about itself.
        request: TokenRequest,
    },
    /// Answers a [`QuotaMessage::Request`].
    Answer {
        /// The number stated in the request.
        number: u64,
        /// Part of the quota.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
        /// Whether a token was granted.
        answer: QuotaAnswer,
    },
    /// Returns a granted token that was not used.
    GiveBack {
        /// Part of the quota.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
        /// The start of the hold that the grant stated.
        held_since_ns: u64,
        /// The time of the grant that it stated.
        granted_at_ns: u64,
    },
    /// Withdraws a request: its reservation or promise is no longer needed.
    Release {
        /// The request.
        requester: RequesterKey,
        /// Part of the quota.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
    },
    /// Asks the holder of a part for tokens that it doesn't need.
    TransferRequest {
        /// Number that the sender assigned to its round of requests, unique within its process. The answer repeats it.
        number: u64,
        /// Part that is asked.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
        /// Number of tokens.
        wanted: u32,
    },
    /// Answers a [`QuotaMessage::TransferRequest`]. The tokens have been removed from the part.
    Transfer {
        /// The number stated in the request.
        number: u64,
        /// Part that gives the tokens.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
        /// Number of tokens.
        tokens: u32,
        /// Milliseconds until the part has another token to give.
        next_token_ms: u32,
    },
}
