//! What one process holds about one request: losses that count against it, what explained them, whether it is refused.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};
use crate::quarantine::entry::RequestStanding;
use crate::quarantine::notice::{NoticeId, QuarantineNotice};
use crate::quarantine::table::{QUARANTINE_TERM, SUSPICION_WINDOW};

/// Losses remembered per request.
pub(super) const MARK_LIMIT: usize = 8;
/// Notices from other VMs appear this much later than they were, at most; a lift outranks what is older than that.
pub(super) const NEWS_DELAY: Duration = Duration::from_secs(5);

/// One loss that counts against a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossMark {
    pub(super) id: NoticeId,
    pub(super) upstream: UpstreamAddress,
    pub(super) at: Duration,
    /// When the request was sent to that upstream; known for losses that this process saw.
    pub(super) sent: Option<Duration>,
}

#[derive(Debug, Clone)]
pub(super) struct Conviction {
    pub(super) id: NoticeId,
    pub(super) victims: SmallVec<[UpstreamAddress; 2]>,
    pub(super) ambiguous: bool,
    pub(super) decided: Duration,
    pub(super) until: Duration,
}

#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    pub(super) marks: SmallVec<[LossMark; 2]>,
    /// Losses that an answer has explained otherwise; their news may still arrive.
    pub(super) cleared: SmallVec<[NoticeId; 2]>,
    pub(super) conviction: Option<Conviction>,
    pub(super) lifted: Option<Duration>,
    /// Last change, for forgetting.
    pub(super) touched: Duration,
}

impl LossMark {
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

impl Conviction {
    pub(super) fn notice(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> QuarantineNotice {
        QuarantineNotice::Quarantined {
            id: self.id,
            fingerprint,
            victims: self.victims.clone(),
            ambiguous: self.ambiguous,
            age: now.saturating_sub(self.decided),
            left: self.until.saturating_sub(now),
        }
    }
}

impl RequestRecord {
    pub(super) fn standing(&self, now: Duration) -> RequestStanding {
        if self.conviction_at(now).is_some() {
            RequestStanding::Quarantined
        } else if self.live_marks(now).next().is_some() {
            RequestStanding::Suspect
        } else {
            RequestStanding::Clear
        }
    }

    pub(super) fn conviction_at(&self, now: Duration) -> Option<&Conviction> {
        let conviction = self.conviction.as_ref();
        conviction.filter(|conviction| conviction.until > now)
    }

    pub(super) fn live_marks(&self, now: Duration) -> impl Iterator<Item = &LossMark> {
        let marks = self.marks.iter();
        marks.filter(move |mark| mark.at + SUSPICION_WINDOW > now)
    }

    pub(super) fn knows_loss(&self, id: NoticeId) -> bool {
        self.cleared.contains(&id) || self.marks.iter().any(|mark| mark.id == id)
    }

    /// Tells whether an attempt that this process sent after a loss has lost its upstream as well.
    pub(super) fn is_repeated(&self, now: Duration) -> bool {
        for later in self.live_marks(now) {
            let Some(sent) = later.sent else {
                continue;
            };
            if self.live_marks(now).any(|earlier| earlier.at < sent) {
                return true;
            }
        }
        false
    }

    /// Tells whether evidence of that time was lifted; what other VMs saw appears later than it was.
    pub(super) fn is_lifted(&self, at: Duration, exact: bool) -> bool {
        let delay = if exact { Duration::ZERO } else { NEWS_DELAY };
        self.lifted.is_some_and(|lifted| at <= lifted + delay)
    }

    /// Extends the term once a tenth of it has passed; returns the news.
    pub(super) fn renew(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> Option<QuarantineNotice> {
        let conviction = self.conviction.as_mut()?;
        let extended = now + QUARANTINE_TERM;
        if conviction.ambiguous || conviction.until + QUARANTINE_TERM / 10 > extended {
            return None;
        }
        conviction.until = extended;
        self.touched = now;
        Some(conviction.notice(fingerprint, now))
    }

    pub(super) fn clear_before(&mut self, sent: Duration) -> SmallVec<[NoticeId; 2]> {
        let mut losses = SmallVec::new();
        for mark in &self.marks {
            if mark.at < sent {
                losses.push(mark.id);
            }
        }
        for loss in &losses {
            self.clear_loss(*loss);
        }
        losses
    }

    /// Explains a loss otherwise; false if that was known.
    pub(super) fn clear_loss(&mut self, loss: NoticeId) -> bool {
        self.marks.retain(|mark| mark.id != loss);
        if self.cleared.contains(&loss) {
            return false;
        }
        if self.cleared.len() == MARK_LIMIT {
            self.cleared.remove(0);
        }
        self.cleared.push(loss);
        true
    }

    pub(super) fn lift(&mut self, at: Duration, now: Duration) {
        self.lifted = Some(at);
        self.conviction = None;
        self.marks.clear();
        self.touched = now;
    }

    pub(super) fn collect_notices(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
        notices: &mut Vec<QuarantineNotice>,
    ) {
        for mark in self.live_marks(now) {
            notices.push(mark.notice(fingerprint, now));
        }
        if let Some(conviction) = self.conviction_at(now) {
            notices.push(conviction.notice(fingerprint, now));
        }
    }
}
