//! A followed VM: its responses, the transfer from it, and whether it is still a usable source.

use std::fmt;
use std::time::{Duration, Instant};

use crate::gateway::clock::now;
use crate::gateway::mirror::{IncomingTransfer, PendingPolls, STALL_TIMEOUT};
use crate::ident::VmAddress;

/// Maximum wait for the first response of a followed VM, which includes opening a link to it.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a VM is no longer followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SourceFault {
    /// There was no usable link to the VM.
    Unreachable,
    /// The VM has not responded for too long.
    Silent,
    /// The proof of the VM's copy is too old.
    Stale,
    /// The changes that the VM sent leave a gap after this VM's copy. Polled again, it sends everything.
    Gap,
    /// The content that the VM sent can't be decoded. Polled again at once, it would send the same as fast as the link
    /// allows.
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

/// A VM that is being followed, and the state of following it.
#[derive(Debug)]
pub(super) struct VmFollowing {
    pub(super) vm: VmAddress,
    pub(super) since: Instant,
    /// Bytes received from the VM before it was followed.
    pub(super) received_bytes_before: u64,
    /// When the VM last responded.
    pub(super) responded_at: Option<Instant>,
    pub(super) polls: PendingPolls,
    /// The transfer being received.
    pub(super) incoming: IncomingTransfer,
    /// When the last chunk was received.
    pub(super) progress_at: Option<Instant>,
}

impl VmFollowing {
    pub(super) fn new(vm: VmAddress, received_bytes_before: u64, polls: PendingPolls) -> Self {
        Self {
            vm,
            since: now(),
            received_bytes_before,
            responded_at: None,
            polls,
            incoming: IncomingTransfer::default(),
            progress_at: None,
        }
    }

    /// Returns whether a transfer from the VM is making progress.
    pub(super) fn is_progressing(&self, time: Instant) -> bool {
        let recent = |at: Instant| time.saturating_duration_since(at) < STALL_TIMEOUT;
        self.progress_at.is_some_and(recent)
    }

    /// Returns whether the VM has responded to one of the last two polls.
    pub(super) fn is_responsive(&self, time: Instant, period: Duration) -> bool {
        let recent = |at: Instant| time.saturating_duration_since(at) <= period * 2;
        self.responded_at.is_some_and(recent)
    }

    /// Checks whether the VM is still a usable source; `stale` states whether this VM's copy is. A VM with a transfer
    /// in progress is usable: on links of 14 Mbit/s, followers that left while a change of 1,400 routes was being
    /// received had it sent again by the next VM, left that one too, and never received it while one change a second
    /// was made. A VM that did not respond to two polls is abandoned before the copy is stale: switching to another
    /// source takes about 60 ms, and with a stale copy a VM can't tell during that time that a route does not exist.
    pub(super) fn check(
        &self,
        time: Instant,
        period: Duration,
        stale: bool,
    ) -> Result<(), SourceFault> {
        if self.is_progressing(time) {
            return Ok(());
        }
        if self.is_responsive(time, period) {
            return if stale {
                Err(SourceFault::Stale)
            } else {
                Ok(())
            };
        }
        let followed = time.saturating_duration_since(self.since);
        if self.responded_at.is_none() && followed <= FIRST_RESPONSE_TIMEOUT {
            return Ok(());
        }
        Err(SourceFault::Silent)
    }
}
