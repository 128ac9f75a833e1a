//! The platform's service as this tier sees it: a small key-value store and the VM list.
//!
//! All that is agreed or lasts is kept there. It has outages, limits its rates, and an answer may be lost after the
//! change took effect. The platform's own wire format stands in this folder alone.

mod message;

pub use message::{OWN_GROUP, VmRecord, VmState};
