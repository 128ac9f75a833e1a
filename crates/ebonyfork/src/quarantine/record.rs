//! The state of one request: the losses that count against it, those that were cleared, and whether it is quarantined.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};
use crate::quarantine::entry::RequestStanding;
use crate::quarantine::notice::{NoticeId, QuarantineNotice};
use crate::quarantine::table::{QUARANTINE_TERM, SUSPICION_WINDOW};

/// Maximum number of losses stored per request.
pub(super) const LOSS_LIMIT: usize = 8;
/// Maximum delay of a notice from another VM, by which its event appears more recent than it is. A lift therefore also
/// outranks notices whose events appear up to this long after it.
pub(super) const MAX_NOTICE_DELAY: Duration = Duration::from_secs(5);

/// A loss that counts against a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossRecord {
    pub(super) id: NoticeId,
    pub(super) upstream: UpstreamAddress,
    pub(super) at: Duration,
    /// When the request was sent to that upstream; known only for losses that this process observed.
    pub(super) sent: Option<Duration>,
}

/// The quarantine of a request.
#[derive(Debug, Clone)]
pub(super) struct ActiveQuarantine {
    pub(super) id: NoticeId,
    pub(super) lost_upstreams: SmallVec<[UpstreamAddress; 2]>,
    pub(super) ambiguous: bool,
    pub(super) decided: Duration,
    pub(super) until: Duration,
}

/// What one process knows about a request.
#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    pub(super) losses: SmallVec<[LossRecord; 2]>,
    /// Losses that an answer has cleared; notices of them may still arrive.
    pub(super) cleared: SmallVec<[NoticeId; 2]>,
    pub(super) quarantine: Option<ActiveQuarantine>,
    /// Time of the last lift by an operator.
    pub(super) lifted: Option<Duration>,
    /// Time of the last change, which decides what is evicted first.
    pub(super) changed_at: Duration,
}

impl LossRecord {
    pub(super) fn notice(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> QuarantineNotice {
        QuarantineNotice::Suspected {
            id: self.id,
            fingerprint,
            upstream: self.upstream,
            age: now.saturating_sub(self.at),
        }
    }
}

impl ActiveQuarantine {
    pub(super) fn notice(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> QuarantineNotice {
        QuarantineNotice::Quarantined {
            id: self.id,
            fingerprint,
            lost_upstreams: self.lost_upstreams.clone(),
            ambiguous: self.ambiguous,
            age: now.saturating_sub(self.decided),
            remaining: self.until.saturating_sub(now),
        }
    }
}

impl RequestRecord {
    /// Returns how the request is treated at `now`.
    pub(super) fn standing(&self, now: Duration) -> RequestStanding {
        if self.quarantine_at(now).is_some() {
            RequestStanding::Quarantined
        } else if self.recent_losses(now).next().is_some() {
            RequestStanding::Suspect
        } else {
            RequestStanding::Clear
        }
    }

    /// Returns the quarantine unless it has expired.
    pub(super) fn quarantine_at(&self, now: Duration) -> Option<&ActiveQuarantine> {
        let quarantine = self.quarantine.as_ref();
        quarantine.filter(|quarantine| quarantine.until > now)
    }

    /// Returns the losses that still count against the request.
    pub(super) fn recent_losses(&self, now: Duration) -> impl Iterator<Item = &LossRecord> {
        let losses = self.losses.iter();
        losses.filter(move |loss| loss.at + SUSPICION_WINDOW > now)
    }

    /// Returns whether the loss is already recorded, counting or cleared.
    pub(super) fn knows_loss(&self, id: NoticeId) -> bool {
        self.cleared.contains(&id) || self.losses.iter().any(|loss| loss.id == id)
    }

    /// Returns whether an attempt that this process sent after one loss has lost its upstream as well.
    pub(super) fn is_repeated(&self, now: Duration) -> bool {
        for later in self.recent_losses(now) {
            let Some(sent) = later.sent else {
                continue;
            };
            if self.recent_losses(now).any(|earlier| earlier.at < sent) {
                return true;
            }
        }
        false
    }

    /// Returns whether evidence from time `at` was lifted. Unless the time is `exact`, it comes from another VM's
    /// notice and may be too recent by up to [`MAX_NOTICE_DELAY`].
    pub(super) fn is_lifted(&self, at: Duration, exact: bool) -> bool {
        let delay = if exact {
            Duration::ZERO
        } else {
            MAX_NOTICE_DELAY
        };
        self.lifted.is_some_and(|lifted| at <= lifted + delay)
    }

    /// Extends the quarantine if at least a tenth of its term has passed, and returns the notice of the extension. An
    /// ambiguous quarantine is not extended.
    pub(super) fn extend(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> Option<QuarantineNotice> {
        let quarantine = self.quarantine.as_mut()?;
        let extended = now + QUARANTINE_TERM;
        if quarantine.ambiguous || quarantine.until + QUARANTINE_TERM / 10 > extended {
            return None;
        }
        quarantine.until = extended;
        self.changed_at = now;
        Some(quarantine.notice(fingerprint, now))
    }

    /// Clears the losses that happened before `sent`, and returns their ids.
    pub(super) fn clear_before(&mut self, sent: Duration) -> SmallVec<[NoticeId; 2]> {
        let mut losses = SmallVec::new();
        for loss in &self.losses {
            if loss.at < sent {
                losses.push(loss.id);
            }
        }
        for loss in &losses {
            self.clear_loss(*loss);
        }
        losses
    }

    /// Stops counting a loss against the request. Returns false if it was already cleared.
    pub(super) fn clear_loss(&mut self, id: NoticeId) -> bool {
        self.losses.retain(|loss| loss.id != id);
        if self.cleared.contains(&id) {
            return false;
        }
        if self.cleared.len() == LOSS_LIMIT {
            self.cleared.remove(0);
        }
        self.cleared.push(id);
        true
    }

    /// Ends the quarantine and removes all losses, as an operator decided at time `at`.
    pub(super) fn lift(&mut self, at: Duration, now: Duration) {
        self.lifted = Some(at);
        self.quarantine = None;
        self.losses.clear();
        self.changed_at = now;
    }

    /// Appends notices of the losses that still count and of the quarantine.
    pub(super) fn collect_notices(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
        notices: &mut Vec<QuarantineNotice>,
    ) {
        for loss in self.recent_losses(now) {
            notices.push(loss.notice(fingerprint, now));
        }
        if let Some(quarantine) = self.quarantine_at(now) {
            notices.push(quarantine.notice(fingerprint, now));
        }
    }
}
