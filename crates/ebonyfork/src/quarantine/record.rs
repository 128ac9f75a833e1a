//! What one process knows about one request: the losses that count against it, those that an answer has cleared it of,
//! and whether it is quarantined.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};
use crate::quarantine::entry::QuarantineStatus;
use crate::quarantine::notice::{NoticeId, QuarantineNotice};
use crate::quarantine::table::{QUARANTINE_TERM, SUSPICION_WINDOW};

/// Maximum number of losses stored per request.
pub(super) const LOSS_LIMIT: usize = 8;
/// Maximum delay of a notice from another VM, by which its event appears more recent than it is. A lift therefore also
/// outranks notices whose events appear up to this long after it.
pub(super) const MAX_NOTICE_DELAY: Duration = Duration::from_secs(5);

/// The loss of an upstream while a request was in flight there, which makes the request a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossRecord {
    pub(super) id: NoticeId,
    pub(super) upstream: UpstreamAddress,
    /// When the upstream was lost; too recent by up to [`MAX_NOTICE_DELAY`] if another VM observed the loss.
    pub(super) lost_at: Duration,
    /// When the request was sent to that upstream; none if another VM observed the loss.
    pub(super) sent_at: Option<Duration>,
}

/// The last quarantine of a request. It is in force until `expires_at`.
#[derive(Debug, Clone)]
pub(super) struct QuarantineRecord {
    pub(super) id: NoticeId,
    pub(super) lost_upstreams: SmallVec<[UpstreamAddress; 2]>,
    pub(super) ambiguous: bool,
    /// When the request was quarantined.
    pub(super) quarantined_at: Duration,
    /// When the quarantine expires if it is not extended.
    pub(super) expires_at: Duration,
}

/// The losses, quarantine and lift of a request that one process knows of.
#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    /// Losses that count against the request until they are older than [`SUSPICION_WINDOW`].
    pub(super) losses: SmallVec<[LossRecord; 2]>,
    /// Losses that no longer count because a later attempt was answered. They are kept because notices of them may
    /// still arrive.
    pub(super) cleared_losses: SmallVec<[NoticeId; 2]>,
    pub(super) quarantine: Option<QuarantineRecord>,
    /// When an operator last lifted the quarantine or suspicion of the request; none if no operator has.
    pub(super) lifted_at: Option<Duration>,
    /// When the record last changed, which decides the order of eviction.
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
            age: now.saturating_sub(self.lost_at),
        }
    }
}

impl QuarantineRecord {
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
            age: now.saturating_sub(self.quarantined_at),
            remaining: self.expires_at.saturating_sub(now),
        }
    }
}

impl RequestRecord {
    /// Returns how the request is treated at `now`.
    pub(super) fn quarantine_status(&self, now: Duration) -> QuarantineStatus {
        if self.quarantine_at(now).is_some() {
            QuarantineStatus::Quarantined
        } else if self.recent_losses(now).next().is_some() {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Returns the quarantine of the request if there is one that has not expired at `now`.
    pub(super) fn quarantine_at(&self, now: Duration) -> Option<&QuarantineRecord> {
        let quarantine = self.quarantine.as_ref();
        quarantine.filter(|quarantine| quarantine.expires_at > now)
    }

    /// Returns the losses that count against the request at `now`.
    pub(super) fn recent_losses(&self, now: Duration) -> impl Iterator<Item = &LossRecord> {
        let losses = self.losses.iter();
        losses.filter(move |loss| loss.lost_at + SUSPICION_WINDOW > now)
    }

    /// Returns whether a loss is already recorded, either as counting against the request or as cleared by an answer.
    pub(super) fn knows_loss(&self, id: NoticeId) -> bool {
        self.cleared_losses.contains(&id) || self.losses.iter().any(|loss| loss.id == id)
    }

    /// Returns whether an attempt that this process sent after one loss has lost its upstream as well.
    pub(super) fn has_repeated_loss(&self, now: Duration) -> bool {
        for later_loss in self.recent_losses(now) {
            let Some(sent_at) = later_loss.sent_at else {
                continue;
            };
            if self
                .recent_losses(now)
                .any(|earlier_loss| earlier_loss.lost_at < sent_at)
            {
                return true;
            }
        }
        false
    }

    /// Returns whether a loss or quarantine at `event_at` no longer counts because an operator lifted the quarantine or
    /// suspicion afterwards. Unless `is_exact`, the time comes from another VM's notice and may be too recent by up to
    /// [`MAX_NOTICE_DELAY`].
    pub(super) fn predates_lift(&self, event_at: Duration, is_exact: bool) -> bool {
        let max_delay = if is_exact {
            Duration::ZERO
        } else {
            MAX_NOTICE_DELAY
        };
        self.lifted_at
            .is_some_and(|lifted_at| event_at <= lifted_at + max_delay)
    }

    /// Extends the quarantine if at least a tenth of its term has passed, and returns the notice of the extension. An
    /// ambiguous quarantine is not extended.
    pub(super) fn extend_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> Option<QuarantineNotice> {
        let quarantine = self.quarantine.as_mut()?;
        let extended_expiry = now + QUARANTINE_TERM;
        if quarantine.ambiguous || quarantine.expires_at + QUARANTINE_TERM / 10 > extended_expiry {
            return None;
        }
        quarantine.expires_at = extended_expiry;
        self.changed_at = now;
        Some(quarantine.notice(fingerprint, now))
    }

    /// Stops counting the losses that happened before `sent_at` against the request, and returns their ids.
    pub(super) fn clear_losses_before(&mut self, sent_at: Duration) -> SmallVec<[NoticeId; 2]> {
        let mut losses = SmallVec::new();
        for loss in &self.losses {
            if loss.lost_at < sent_at {
                losses.push(loss.id);
            }
        }
        for loss in &losses {
            self.clear_loss(*loss);
        }
        losses
    }

    /// Stops counting a loss against the request. Returns false if the loss was already cleared.
    pub(super) fn clear_loss(&mut self, id: NoticeId) -> bool {
        self.losses.retain(|loss| loss.id != id);
        if self.cleared_losses.contains(&id) {
            return false;
        }
        if self.cleared_losses.len() == LOSS_LIMIT {
            self.cleared_losses.remove(0);
        }
        self.cleared_losses.push(id);
        true
    }

    /// Ends the quarantine and removes all losses, as an operator decided at `lifted_at`.
    pub(super) fn lift(&mut self, lifted_at: Duration, now: Duration) {
        self.lifted_at = Some(lifted_at);
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
