//! The decisions: who is a suspect, who is quarantined. Pure; all times are spans since the process started.
//!
//! The table never convicts on losses that happened side by side. A query over many shards is in flight at many
//! upstreams at once, and a rack that fails takes them all; only an attempt that was *sent after* a known loss and lost
//! its upstream as well is evidence. That comparison is exact for the table that saw the later loss: its own sending
//! time is known, and the earlier loss, if heard of from another VM, appears later than it was, never earlier.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};
use crate::quarantine::entry::{LostRequest, QuarantineDecision, QuarantineEntry, RequestStanding};
use crate::quarantine::notice::{NoticeId, QuarantineNotice};
use crate::quarantine::record::{Conviction, LossMark, MARK_LIMIT, NEWS_DELAY, RequestRecord};

/// How long a loss counts against the requests that were in flight.
pub const SUSPICION_WINDOW: Duration = Duration::from_hours(1);
/// How long a request stays quarantined after the last time that somebody sent it.
pub const QUARANTINE_TERM: Duration = Duration::from_hours(1);
/// Requests that are remembered at most; beyond that the one whose news is oldest is forgotten.
const RECORD_LIMIT: usize = 8_192;
/// Notices that wait to be told at most; beyond that the oldest is dropped.
const NEWS_LIMIT: usize = 4_096;

/// Suspects and quarantined requests, as one process knows them.
#[derive(Debug)]
pub struct QuarantineTable {
    records: FxHashMap<RequestFingerprint, RequestRecord>,
    news: VecDeque<PendingNews>,
    rng: ChaCha8Rng,
}

/// A notice to be told, with the time its ages refer to.
#[derive(Debug)]
struct PendingNews {
    notice: QuarantineNotice,
    noted: Duration,
}

impl QuarantineTable {
    /// Makes an empty table; the seed names its losses.
    pub fn new(seed: u64) -> Self {
        Self {
            records: FxHashMap::default(),
            news: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// What a request may do now.
    pub fn standing(&self, fingerprint: RequestFingerprint, now: Duration) -> RequestStanding {
        let Some(record) = self.records.get(&fingerprint) else {
            return RequestStanding::Clear;
        };
        record.standing(now)
    }

    /// What a request that somebody wants to run may do; a refusal renews the quarantine, so that it outlasts a caller
    /// who goes on sending.
    pub fn admit(&mut self, fingerprint: RequestFingerprint, now: Duration) -> RequestStanding {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return RequestStanding::Clear;
        };
        let standing = record.standing(now);
        if standing == RequestStanding::Quarantined
            && let Some(notice) = record.renew(fingerprint, now)
        {
            self.tell(notice, now);
        }
        standing
    }

    /// Takes in that an upstream was lost at `now` with these requests in flight.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::ident::RequestFingerprint;
    /// use ebonyfork::quarantine::{LostRequest, QuarantineTable, RequestStanding};
    ///
    /// let mut table = QuarantineTable::new(1);
    /// let request = RequestFingerprint(7);
    /// let lost = LostRequest::new(request, Duration::from_millis(2));
    /// table.report_loss("10.0.0.1:80".parse()?, &[lost], Duration::from_secs(1));
    /// assert_eq!(table.standing(request, Duration::from_secs(1)), RequestStanding::Suspect);
    /// table.report_loss("10.0.0.2:80".parse()?, &[lost], Duration::from_secs(2));
    /// assert_eq!(table.standing(request, Duration::from_secs(2)), RequestStanding::Quarantined);
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    pub fn report_loss(
        &mut self,
        upstream: UpstreamAddress,
        lost: &[LostRequest],
        now: Duration,
    ) -> Vec<QuarantineDecision> {
        let mut decisions = Vec::new();
        let id = self.next_id();
        let mut convicted = SmallVec::<[RequestFingerprint; 2]>::new();
        for request in lost {
            let fingerprint = request.fingerprint;
            let mark = LossMark {
                id,
                upstream,
                at: now,
                sent: Some(now.saturating_sub(request.flight)),
            };
            if !self.mark_loss(fingerprint, mark, now, &mut decisions) {
                continue;
            }
            self.tell_suspected(fingerprint, mark, now);
            let record = &self.records[&fingerprint];
            let repeated = request.after_loss || record.is_repeated(now);
            if repeated && !convicted.contains(&fingerprint) {
                convicted.push(fingerprint);
            }
        }
        let ambiguous = convicted.len() > 1;
        for fingerprint in convicted {
            self.convict(fingerprint, ambiguous, now, &mut decisions);
        }
        decisions
    }

    /// Takes in that an attempt, sent `flight` ago, was answered: losses before it was sent were not its doing.
    pub fn report_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        flight: Duration,
        now: Duration,
    ) -> Vec<QuarantineDecision> {
        let mut decisions = Vec::new();
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return decisions;
        };
        let sent = now.saturating_sub(flight);
        let losses = record.clear_before(sent);
        if losses.is_empty() {
            return decisions;
        }
        record.touched = now;
        if record.standing(now) == RequestStanding::Clear {
            decisions.push(QuarantineDecision::Clear(fingerprint));
        }
        let notice = QuarantineNotice::Cleared {
            fingerprint,
            losses,
        };
        self.tell(notice, now);
        decisions
    }

    /// Allows a quarantined or suspected request again; false if it is neither.
    pub fn lift(&mut self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        if self.standing(fingerprint, now) == RequestStanding::Clear {
            return false;
        }
        let id = self.next_id();
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.lift(now, now);
        }
        let age = Duration::ZERO;
        let notice = QuarantineNotice::Lifted {
            id,
            fingerprint,
            age,
        };
        self.tell(notice, now);
        true
    }

    /// Quarantined requests, by fingerprint.
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let mut entries = Vec::new();
        for (fingerprint, record) in &self.records {
            let Some(conviction) = record.conviction_at(now) else {
                continue;
            };
            entries.push(QuarantineEntry {
                fingerprint: *fingerprint,
                victims: conviction.victims.clone(),
                ambiguous: conviction.ambiguous,
                age: now.saturating_sub(conviction.decided),
                left: conviction.until.saturating_sub(now),
            });
        }
        entries.sort_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Number of requests that run alone.
    pub fn suspect_count(&self, now: Duration) -> usize {
        let suspects = self.records.values();
        suspects
            .filter(|record| record.standing(now) == RequestStanding::Suspect)
            .count()
    }

    /// Tells whether nothing is remembered, so that every request is clear.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tells whether there is news to take.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Takes the news since the last time, own and heard, with their ages brought up to date.
    pub fn take_notices(&mut self, now: Duration) -> Vec<QuarantineNotice> {
        let mut notices = Vec::with_capacity(self.news.len());
        for news in self.news.drain(..) {
            notices.push(news.notice.with_elapsed(now.saturating_sub(news.noted)));
        }
        notices
    }

    /// Everything that another VM needs to know to decide as this one does: for a VM that has just started.
    pub fn all_notices(&self, now: Duration) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for (fingerprint, record) in &self.records {
            record.collect_notices(*fingerprint, now, &mut notices);
        }
        notices
    }

    /// Takes in news of another VM. What is new is told on.
    pub fn merge(&mut self, notice: QuarantineNotice, now: Duration) -> Vec<QuarantineDecision> {
        let mut decisions = Vec::new();
        let fingerprint = notice.fingerprint();
        let is_news = match &notice {
            QuarantineNotice::Suspected {
                id, upstream, age, ..
            } => {
                let mark = LossMark {
                    id: *id,
                    upstream: *upstream,
                    at: now.saturating_sub(*age),
                    sent: None,
                };
                *age < SUSPICION_WINDOW && self.merge_mark(fingerprint, mark, now, &mut decisions)
            }
            QuarantineNotice::Cleared { losses, .. } => {
                self.merge_cleared(fingerprint, losses, now, &mut decisions)
            }
            QuarantineNotice::Quarantined {
                id,
                victims,
                ambiguous,
                age,
                left,
                ..
            } => {
                let conviction = Conviction {
                    id: *id,
                    victims: victims.clone(),
                    ambiguous: *ambiguous,
                    decided: now.saturating_sub(*age),
                    until: now + (*left).min(QUARANTINE_TERM),
                };
                self.merge_conviction(fingerprint, conviction, now, &mut decisions)
            }
            QuarantineNotice::Lifted { age, .. } => {
                self.merge_lift(fingerprint, now.saturating_sub(*age), now, &mut decisions)
            }
        };
        if is_news {
            self.tell(notice, now);
        }
        decisions
    }

    /// Forgets what no longer counts.
    pub fn forget_old(&mut self, now: Duration) {
        self.records.retain(|_fingerprint, record| {
            record.marks.retain(|mark| mark.at + SUSPICION_WINDOW > now);
            record.touched + SUSPICION_WINDOW + NEWS_DELAY > now
                || !record.marks.is_empty()
                || record.conviction_at(now).is_some()
        });
    }

    fn next_id(&mut self) -> NoticeId {
        NoticeId(self.rng.random())
    }

    /// Records a loss; false if it was known, explained or lifted.
    fn mark_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        mark: LossMark,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.record(fingerprint, now);
        if record.knows_loss(mark.id) || record.is_lifted(mark.at, mark.sent.is_some()) {
            return false;
        }
        if record.standing(now) == RequestStanding::Clear {
            decisions.push(QuarantineDecision::Suspect(fingerprint));
        }
        if record.marks.len() == MARK_LIMIT {
            record.marks.remove(0);
        }
        record.marks.push(mark);
        record.touched = now;
        true
    }

    fn merge_mark(
        &mut self,
        fingerprint: RequestFingerprint,
        mark: LossMark,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        if !self.mark_loss(fingerprint, mark, now, decisions) {
            return false;
        }
        if self.records[&fingerprint].is_repeated(now) {
            self.convict(fingerprint, false, now, decisions);
        }
        true
    }

    fn merge_cleared(
        &mut self,
        fingerprint: RequestFingerprint,
        losses: &[NoticeId],
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.record(fingerprint, now);
        let before = record.standing(now);
        let mut is_news = false;
        for loss in losses {
            is_news |= record.clear_loss(*loss);
        }
        let after = record.standing(now);
        if before != RequestStanding::Clear && after == RequestStanding::Clear {
            decisions.push(QuarantineDecision::Clear(fingerprint));
        }
        is_news
    }

    fn merge_conviction(
        &mut self,
        fingerprint: RequestFingerprint,
        conviction: Conviction,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.record(fingerprint, now);
        if record.is_lifted(conviction.decided, false) {
            return false;
        }
        if let Some(known) = record.conviction_at(now) {
            // Two VMs may convict on the same evidence; a term that is hardly longer is not news.
            if conviction.until <= known.until + NEWS_DELAY {
                return false;
            }
        } else {
            decisions.push(QuarantineDecision::Quarantine {
                fingerprint,
                ambiguous: conviction.ambiguous,
            });
        }
        record.conviction = Some(conviction);
        record.touched = now;
        true
    }

    fn merge_lift(
        &mut self,
        fingerprint: RequestFingerprint,
        at: Duration,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.record(fingerprint, now);
        if record
            .lifted
            .is_some_and(|lifted| lifted + NEWS_DELAY >= at)
        {
            return false;
        }
        let before = record.standing(now);
        record.lift(at, now);
        if before != RequestStanding::Clear {
            decisions.push(QuarantineDecision::Clear(fingerprint));
        }
        true
    }

    fn convict(
        &mut self,
        fingerprint: RequestFingerprint,
        ambiguous: bool,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) {
        let id = self.next_id();
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.conviction_at(now).is_some() {
            return;
        }
        let mut victims = SmallVec::new();
        for mark in &record.marks {
            if !victims.contains(&mark.upstream) {
                victims.push(mark.upstream);
            }
        }
        let conviction = Conviction {
            id,
            victims,
            ambiguous,
            decided: now,
            until: now + QUARANTINE_TERM,
        };
        let notice = conviction.notice(fingerprint, now);
        record.conviction = Some(conviction);
        record.touched = now;
        decisions.push(QuarantineDecision::Quarantine {
            fingerprint,
            ambiguous,
        });
        self.tell(notice, now);
    }

    fn record(&mut self, fingerprint: RequestFingerprint, now: Duration) -> &mut RequestRecord {
        if self.records.len() >= RECORD_LIMIT && !self.records.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.touched.is_zero() {
            record.touched = now;
        }
        record
    }

    /// Forgets old records, then an eighth of all, oldest first; quarantined requests are the last to go.
    fn make_room(&mut self, now: Duration) {
        self.forget_old(now);
        if self.records.len() < RECORD_LIMIT {
            return;
        }
        let mut order = Vec::with_capacity(self.records.len());
        for (fingerprint, record) in &self.records {
            let convicted = record.conviction_at(now).is_some();
            order.push((convicted, record.touched, *fingerprint));
        }
        order.sort_unstable();
        for (_convicted, _touched, fingerprint) in order.iter().take(RECORD_LIMIT / 8) {
            self.records.remove(fingerprint);
        }
    }

    fn tell_suspected(&mut self, fingerprint: RequestFingerprint, mark: LossMark, now: Duration) {
        let notice = mark.notice(fingerprint, now);
        self.tell(notice, now);
    }

    fn tell(&mut self, notice: QuarantineNotice, now: Duration) {
        if self.news.len() == NEWS_LIMIT {
            self.news.pop_front();
        }
        self.news.push_back(PendingNews { notice, noted: now });
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
