//! A VM that is followed: what it has answered, what is coming in from it, and whether it is still a good source.

use std::fmt;
use std::time::{Duration, Instant};

use crate::gateway::clock::now;
use crate::gateway::mirror::{IncomingTransfer, OpenQuestions, STALL_TIME};
use crate::ident::VmAddress;

/// Longest wait for the first answer of a VM that is followed: a link to it has to be opened.
const FIRST_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Why a VM is followed no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SourceFault {
    /// No link to it could be used.
    Unreachable,
    /// It has not answered for too long.
    Silent,
    /// The proof behind its copy is too old.
    Old,
    /// What it told does not join what is known. Asked anew it tells everything.
    Gap,
    /// What it told can't be read. Asked anew at once it would tell the same, as fast as the link carries it.
    Unreadable,
}

impl fmt::Display for SourceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Old => "old",
            Self::Gap => "gap",
            Self::Unreadable => "unreadable",
        })
    }
}

/// A VM that is being followed.
#[derive(Debug)]
pub(super) struct VmFollowing {
    pub(super) vm: VmAddress,
    pub(super) since: Instant,
    /// Bytes that had come in from it before.
    pub(super) received_before: u64,
    /// When it answered last.
    pub(super) answered_at: Option<Instant>,
    pub(super) questions: OpenQuestions,
    /// What is coming in.
    pub(super) incoming: IncomingTransfer,
    /// When the last piece of it came.
    pub(super) advanced_at: Option<Instant>,
}

impl VmFollowing {
    pub(super) fn new(vm: VmAddress, received_before: u64, questions: OpenQuestions) -> Self {
        Self {
            vm,
            since: now(),
            received_before,
            answered_at: None,
            questions,
            incoming: IncomingTransfer::default(),
            advanced_at: None,
        }
    }

    /// Whether something is coming in from it.
    pub(super) fn is_advancing(&self, time: Instant) -> bool {
        let recent = |at: Instant| time.saturating_duration_since(at) < STALL_TIME;
        self.advanced_at.is_some_and(recent)
    }

    /// Whether it has answered one of the last two questions.
    pub(super) fn answers(&self, time: Instant, period: Duration) -> bool {
        let recent = |at: Instant| time.saturating_duration_since(at) <= period * 2;
        self.answered_at.is_some_and(recent)
    }

    /// Whether it is still a good source; `old` tells whether the copy is too old by now. One that is sending something is:
    /// followers on links of 14 Mbit/s that left while a change of 1,400 routes was coming in had it sent anew by the
    /// next VM, left that one as well, and never got it while one change a second was made. One that has left two questions
    /// unanswered is not, before the copy is old: while another source is asked then, some 60 ms, a VM can't tell that there
    /// is no route.
    pub(super) fn check(
        &self,
        time: Instant,
        period: Duration,
        old: bool,
    ) -> Result<(), SourceFault> {
        if self.is_advancing(time) {
            return Ok(());
        }
        if self.answers(time, period) {
            return if old { Err(SourceFault::Old) } else { Ok(()) };
        }
        let followed = time.saturating_duration_since(self.since);
        if self.answered_at.is_none() && followed <= FIRST_ANSWER_TIME {
            return Ok(());
        }
        Err(SourceFault::Silent)
    }
}
