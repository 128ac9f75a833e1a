//! Replicates the store to this VM and to the VMs that follow it.
//!
//! [`copy::StoreCopy`] holds this VM's copy of the store, and [`FreshnessTimings`] limits for how long it counts as up
//! to date without confirmation. [`MirrorRelay`] shares the copy with the VMs that follow this one: a
//! [`followers::FollowerTable`] tracks and schedules them, [`content`] encodes what each of them lacks, and
//! [`transfer`] sends that in chunks. The module `follow` selects the source of the changes.

mod applied;
mod content;
mod copy;
mod followers;
mod freshness;
mod history;
mod message;
mod pack;
mod relay;
mod transfer;

#[cfg(test)]
pub use content::encode_content;
pub use content::{ContentError, HeldValue, HeldValues, decode_content, held_values};
#[cfg(test)]
pub use copy::StoreCopy;
pub use copy::{CopyChange, CopyGap};
pub use freshness::{FreshnessTimings, PendingPolls};
pub use message::{MirrorMessage, SourceState};
pub use relay::MirrorRelay;
pub use transfer::{ChunkOutcome, IncomingTransfer, STALL_TIMEOUT};
