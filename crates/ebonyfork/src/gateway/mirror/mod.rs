//! This VM's copy of the store, and what VMs tell one another about it.
//!
//! [`copy::StoreCopy`] is what is known, [`FreshnessTerms`] say how old the proof behind it may be, [`MirrorRelay`] holds
//! both for the VMs that follow this one, which a [`followers::FollowerTable`] serves in turn: [`content`] is what each
//! lacks, as bytes, [`transfer`] brings it there in pieces. Where changes come from is decided in `follow`.

mod content;
mod copy;
mod followers;
mod freshness;
mod history;
mod message;
mod pack;
mod relay;
mod transfer;

pub use content::{ContentError, held_values, read_content};
pub use copy::{CopyChange, CopyGap};
pub use freshness::{FreshnessTerms, OpenQuestions};
pub use message::{MirrorMessage, SourceStanding};
pub use relay::MirrorRelay;
pub use transfer::{IncomingTransfer, PieceOutcome, STALL_TIME};
