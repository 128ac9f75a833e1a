//! The platform's service as this tier sees it: a small key-value store and the VM list.
//!
//! All that is agreed or lasts is kept there. It has outages, limits its rates, and an answer may be lost after the
//! change took effect. The platform's own wire format stands in this folder alone: [`PlatformClient`] is the one place
//! to change if a platform speaks another one. Every failure says whether the call may have taken effect
//! ([`PlatformError::is_ambiguous`]), because that decides whether a writer has to read before it goes on.

mod backoff;
mod budget;
mod client;
mod error;
mod message;
mod transport;

pub use backoff::Backoff;
pub use budget::CallBudget;
pub use client::{
    Expectation, KeyVersion, LeaseId, PlatformClient, StoredValue, StoredVersion, VALUE_LIMIT,
    WatchChange,
};
pub use error::PlatformError;
pub use message::{OWN_GROUP, VmRecord, VmState};
