//! Messages about tokens of organisations' quotas.

use serde::{Deserialize, Serialize};

use crate::gateway::organisation::OrganisationName;

/// Answer of the VM that is asked for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The asking VM may send one request.
    Granted {
        /// Start of the hold in which the token was granted, in nanoseconds of the holder's clock.
        held_since_ns: u64,
    },
    /// The part of the quota is used up.
    Empty {
        /// Milliseconds until the part has another token.
        wait_ms: u32,
    },
    /// The VM doesn't hold the part, or its configuration doesn't contain the organisation.
    Unknown,
}

/// Message between two VMs about a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks for one token.
    Request {
        /// Number that the sender assigned to the request, unique within its process. The answer repeats it.
        number: u64,
        /// Part of the quota.
        part: u8,
        /// Organisation whose quota it is.
        organisation: OrganisationName,
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
    },
}
