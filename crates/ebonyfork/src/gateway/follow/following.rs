//! A followed VM: its responses, the transfer from it, and whether it is still a usable source.

use std::fmt;
use std::time::{Duration, Instant};

use crate::gateway::clock::now;
use crate::gateway::mirror::{FreshnessTimings, IncomingTransfer, PendingPolls, STALL_TIMEOUT};
use crate::ident::VmAddress;

/// Maximum wait for the first response of a followed VM, which includes opening a link to it.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a VM is abandoned as the source of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SourceFault {
    /// There was no usable link to the VM.
    Unreachable,
    /// The VM did not respond to two polls in a row, or not to the first ones within [`FIRST_RESPONSE_TIMEOUT`].
    Silent,
    /// The VM's copy is stale, or this VM's copy became stale although the VM responds.
    Stale,
    /// A chunk is missing, or the changes that the VM sent don't continue this VM's copy. When this VM polls it again,
    /// it sends everything that is missing.
    Gap,
    /// The content that the VM sent can't be decoded. If it were polled again at once, it would send the same content
    /// over and over, as fast as the link allows.
    Unreadable,
}

impl fmt::Display for SourceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Stale => "old",
            Self::Gap => "gap",
            Self::Unreadable => "unreadable",
        })
    }
}

/// A VM that is being followed, with the polls sent to it and the transfer received from it.
#[derive(Debug)]
pub(super) struct VmFollowing {
    pub(super) vm: VmAddress,
    /// When following the VM started.
    pub(super) followed_since: Instant,
    /// Number of bytes received from the VM before it was followed.
    pub(super) received_bytes_before: u64,
    /// When the VM last responded; none if it has not responded yet.
    pub(super) responded_at: Option<Instant>,
    /// The polls sent to the VM, from whose sending times the age of its copy is measured.
    pub(super) polls: PendingPolls,
    /// The transfer being received from the VM.
    pub(super) incoming_transfer: IncomingTransfer,
    /// When the last chunk was received from the VM; none if none was received yet.
    pub(super) progress_at: Option<Instant>,
}

impl VmFollowing {
    pub(super) fn new(vm: VmAddress, received_bytes_before: u64, polls: PendingPolls) -> Self {
        Self {
            vm,
            followed_since: now(),
            received_bytes_before,
            responded_at: None,
            polls,
            incoming_transfer: IncomingTransfer::default(),
            progress_at: None,
        }
    }

    /// Returns whether a transfer from the VM is making progress.
    pub(super) fn is_progressing(&self, time: Instant) -> bool {
        let is_recent = |at: Instant| time.saturating_duration_since(at) < STALL_TIMEOUT;
        self.progress_at.is_some_and(is_recent)
    }

    /// Returns whether the VM has been followed for so short a time that its copy may still be stale. All VMs of a zone
    /// leave a source whose copy became stale at the same moment, and the next reader among them has to read first.
    pub(super) fn may_be_refreshing(&self, time: Instant, timings: &FreshnessTimings) -> bool {
        time.saturating_duration_since(self.followed_since) <= timings.refresh_time
    }

    /// Returns whether the VM has responded to one of the last two polls.
    pub(super) fn is_responsive(&self, time: Instant, poll_interval: Duration) -> bool {
        let is_recent = |at: Instant| time.saturating_duration_since(at) <= poll_interval * 2;
        self.responded_at.is_some_and(is_recent)
    }

    /// Checks whether the VM is still a usable source; `copy_is_stale` states whether this VM's own copy is stale.
    ///
    /// A VM with a transfer in progress is usable. Another source would have to send everything again from the start,
    /// and would be abandoned in turn: on links of 14 Mbit/s with one change a second, followers would never receive a
    /// change of 1,400 routes. A VM that did not respond to two polls is abandoned before this VM's copy is stale:
    /// switching to another source takes about 60 ms, and while its copy is stale, this VM can't tell that a route does
    /// not exist.
    pub(super) fn check_source(
        &self,
        time: Instant,
        timings: &FreshnessTimings,
        copy_is_stale: bool,
    ) -> Result<(), SourceFault> {
        if self.is_progressing(time) {
            return Ok(());
        }
        if self.is_responsive(time, timings.poll_interval) {
            return if copy_is_stale && !self.may_be_refreshing(time, timings) {
                Err(SourceFault::Stale)
            } else {
                Ok(())
            };
        }
        let followed_time = time.saturating_duration_since(self.followed_since);
        if self.responded_at.is_none() && followed_time <= FIRST_RESPONSE_TIMEOUT {
            return Ok(());
        }
        Err(SourceFault::Silent)
    }
}
