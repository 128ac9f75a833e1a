//! This VM's copy of the store, and what VMs tell one another about it.
//!
//! [`copy::StoreCopy`] is what is known, [`FreshnessTerms`] say how old the proof behind it may be, [`MirrorRelay`] holds
//! both for the VMs that follow this one. Where changes come from is decided in `follow`.

mod copy;
mod freshness;
mod message;
mod relay;

pub use copy::{CopyChange, CopyGap};
pub use freshness::{FreshnessTerms, OpenQuestions};
pub use message::MirrorMessage;
pub use relay::MirrorRelay;
