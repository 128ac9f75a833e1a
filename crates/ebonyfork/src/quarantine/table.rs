//! The decision logic: which requests are suspects and which are quarantined. Pure; all times are durations since
//! process start.
//!
//! The table never quarantines a request for losses that happened concurrently. A query over many shards is in flight
//! at many upstreams at once, and the failure of a rack loses all of them. Only an attempt that was *sent after* a
//! known loss and lost its upstream as well is evidence. The comparison is safe in the table that observed the later
//! loss: it knows the exact time of sending, and an earlier loss reported by another VM appears more recent than it
//! was, never older.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};
use crate::quarantine::entry::{
    LostRequest, QuarantineDecision, QuarantineEntry, QuarantineStatus,
};
use crate::quarantine::notice::{NoticeId, QuarantineNotice};
use crate::quarantine::record::{
    LOSS_LIMIT, LossRecord, MAX_NOTICE_DELAY, QuarantineRecord, RequestRecord,
};

/// How long a loss counts against the requests that were in flight at the lost upstream.
pub const SUSPICION_WINDOW: Duration = Duration::from_hours(1);
/// How long a request stays quarantined after the last attempt to send it.
pub const QUARANTINE_TERM: Duration = Duration::from_hours(1);
/// Maximum number of requests with a record; beyond it the records that changed least recently are evicted.
const RECORD_LIMIT: usize = 8_192;
/// Maximum number of queued notices; beyond it the oldest is dropped.
const NOTICE_LIMIT: usize = 4_096;

/// The suspects and quarantined requests known to one process.
#[derive(Debug)]
pub struct QuarantineTable {
    records: FxHashMap<RequestFingerprint, RequestRecord>,
    /// Notices that wait to be sent to other VMs.
    outgoing_notices: VecDeque<PendingNotice>,
    /// Generator of the ids of notices.
    rng: ChaCha8Rng,
}

/// A notice to be sent, with the time to which its ages refer.
#[derive(Debug)]
struct PendingNotice {
    notice: QuarantineNotice,
    queued_at: Duration,
}

impl QuarantineTable {
    /// Creates an empty table. `seed` seeds the generator of its notice ids.
    pub fn new(seed: u64) -> Self {
        Self {
            records: FxHashMap::default(),
            outgoing_notices: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns how a request is treated at `now`.
    pub fn quarantine_status(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> QuarantineStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        record.quarantine_status(now)
    }

    /// Returns how a request that is about to be sent is treated. A refusal extends the quarantine, so that it does not
    /// expire while a caller keeps sending the request.
    pub fn admit(&mut self, fingerprint: RequestFingerprint, now: Duration) -> QuarantineStatus {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let quarantine_status = record.quarantine_status(now);
        if quarantine_status == QuarantineStatus::Quarantined
            && let Some(notice) = record.extend_quarantine(fingerprint, now)
        {
            self.queue_notice(notice, now);
        }
        quarantine_status
    }

    /// Handles the loss of an upstream at `now` with these requests in flight.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::ident::RequestFingerprint;
    /// use ebonyfork::quarantine::{LostRequest, QuarantineStatus, QuarantineTable};
    ///
    /// let mut table = QuarantineTable::new(1);
    /// let request = RequestFingerprint(7);
    /// let lost = LostRequest::new(request, Duration::from_millis(2));
    /// table.report_loss("10.0.0.1:80".parse()?, &[lost], Duration::from_secs(1));
    /// assert_eq!(table.quarantine_status(request, Duration::from_secs(1)), QuarantineStatus::Suspect);
    /// table.report_loss("10.0.0.2:80".parse()?, &[lost], Duration::from_secs(2));
    /// assert_eq!(table.quarantine_status(request, Duration::from_secs(2)), QuarantineStatus::Quarantined);
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    pub fn report_loss(
        &mut self,
        upstream: UpstreamAddress,
        lost_requests: &[LostRequest],
        now: Duration,
    ) -> Vec<QuarantineDecision> {
        let mut decisions = Vec::new();
        let id = self.random_id();
        let mut repeated_requests = SmallVec::<[RequestFingerprint; 2]>::new();
        for request in lost_requests {
            let fingerprint = request.fingerprint;
            let loss = LossRecord {
                id,
                upstream,
                lost_at: now,
                sent_at: Some(now.saturating_sub(request.time_in_flight)),
            };
            if !self.add_loss(fingerprint, loss, now, &mut decisions) {
                continue;
            }
            self.queue_loss_notice(fingerprint, loss, now);
            let record = &self.records[&fingerprint];
            let is_repeated_loss = request.after_loss || record.has_repeated_loss(now);
            if is_repeated_loss && !repeated_requests.contains(&fingerprint) {
                repeated_requests.push(fingerprint);
            }
        }
        let ambiguous = repeated_requests.len() > 1;
        for fingerprint in repeated_requests {
            self.quarantine(fingerprint, ambiguous, now, &mut decisions);
        }
        decisions
    }

    /// Handles the answer to an attempt that was sent `time_in_flight` ago: clears the request of the losses before the
    /// attempt was sent, because the request did not cause them.
    pub fn report_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        time_in_flight: Duration,
        now: Duration,
    ) -> Vec<QuarantineDecision> {
        let mut decisions = Vec::new();
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return decisions;
        };
        let sent_at = now.saturating_sub(time_in_flight);
        let losses = record.clear_losses_before(sent_at);
        if losses.is_empty() {
            return decisions;
        }
        record.changed_at = now;
        if record.quarantine_status(now) == QuarantineStatus::Clear {
            decisions.push(QuarantineDecision::Clear(fingerprint));
        }
        let notice = QuarantineNotice::Cleared {
            fingerprint,
            losses,
        };
        self.queue_notice(notice, now);
        decisions
    }

    /// Lifts the quarantine or suspicion of a request. Returns false if the request is neither quarantined nor
    /// suspected.
    pub fn lift(&mut self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        if self.quarantine_status(fingerprint, now) == QuarantineStatus::Clear {
            return false;
        }
        let id = self.random_id();
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.lift(now, now);
        }
        let age = Duration::ZERO;
        let notice = QuarantineNotice::Lifted {
            id,
            fingerprint,
            age,
        };
        self.queue_notice(notice, now);
        true
    }

    /// Returns the quarantined requests, ordered by fingerprint.
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let mut entries = Vec::new();
        for (fingerprint, record) in &self.records {
            let Some(quarantine) = record.quarantine_at(now) else {
                continue;
            };
            entries.push(QuarantineEntry {
                fingerprint: *fingerprint,
                lost_upstreams: quarantine.lost_upstreams.clone(),
                ambiguous: quarantine.ambiguous,
                age: now.saturating_sub(quarantine.quarantined_at),
                remaining: quarantine.expires_at.saturating_sub(now),
            });
        }
        entries.sort_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Returns the number of requests that are suspects at `now`.
    pub fn suspect_count(&self, now: Duration) -> usize {
        let suspects = self.records.values();
        suspects
            .filter(|record| record.quarantine_status(now) == QuarantineStatus::Suspect)
            .count()
    }

    /// Returns whether there are no records, so that every request runs normally.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether notices wait to be sent to other VMs.
    pub fn has_notices(&self) -> bool {
        !self.outgoing_notices.is_empty()
    }

    /// Takes the notices queued since the last call, this process's own and forwarded ones, with updated ages.
    pub fn take_notices(&mut self, now: Duration) -> Vec<QuarantineNotice> {
        let mut notices = Vec::with_capacity(self.outgoing_notices.len());
        for pending_notice in self.outgoing_notices.drain(..) {
            notices.push(
                pending_notice
                    .notice
                    .with_elapsed(now.saturating_sub(pending_notice.queued_at)),
            );
        }
        notices
    }

    /// Returns notices of everything that another VM has to know to decide as this one does, for a VM that has just
    /// started.
    pub fn all_notices(&self, now: Duration) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for (fingerprint, record) in &self.records {
            record.collect_notices(*fingerprint, now, &mut notices);
        }
        notices
    }

    /// Merges a notice from another VM. If it was new, it is queued to be forwarded.
    pub fn merge(&mut self, notice: QuarantineNotice, now: Duration) -> Vec<QuarantineDecision> {
        let mut decisions = Vec::new();
        let fingerprint = notice.fingerprint();
        let is_new = match &notice {
            QuarantineNotice::Suspected {
                id, upstream, age, ..
            } => {
                let loss = LossRecord {
                    id: *id,
                    upstream: *upstream,
                    lost_at: now.saturating_sub(*age),
                    sent_at: None,
                };
                *age < SUSPICION_WINDOW && self.merge_loss(fingerprint, loss, now, &mut decisions)
            }
            QuarantineNotice::Cleared { losses, .. } => {
                self.merge_cleared(fingerprint, losses, now, &mut decisions)
            }
            QuarantineNotice::Quarantined {
                id,
                lost_upstreams,
                ambiguous,
                age,
                remaining,
                ..
            } => {
                let quarantine = QuarantineRecord {
                    id: *id,
                    lost_upstreams: lost_upstreams.clone(),
                    ambiguous: *ambiguous,
                    quarantined_at: now.saturating_sub(*age),
                    expires_at: now + (*remaining).min(QUARANTINE_TERM),
                };
                self.merge_quarantine(fingerprint, quarantine, now, &mut decisions)
            }
            QuarantineNotice::Lifted { age, .. } => {
                self.merge_lift(fingerprint, now.saturating_sub(*age), now, &mut decisions)
            }
        };
        if is_new {
            self.queue_notice(notice, now);
        }
        decisions
    }

    /// Removes losses that no longer count, and records that have neither losses nor a quarantine and have not changed
    /// for so long that no notice of a loss before the change can still count.
    pub fn remove_outdated_records(&mut self, now: Duration) {
        self.records.retain(|_fingerprint, record| {
            record
                .losses
                .retain(|loss| loss.lost_at + SUSPICION_WINDOW > now);
            record.changed_at + SUSPICION_WINDOW + MAX_NOTICE_DELAY > now
                || !record.losses.is_empty()
                || record.quarantine_at(now).is_some()
        });
    }

    fn random_id(&mut self) -> NoticeId {
        NoticeId(self.rng.random())
    }

    /// Records a loss against a request. Returns false and records nothing in three cases: the loss is already
    /// recorded, an answer has cleared the request of the loss, or an operator lifted the quarantine or suspicion of
    /// the request after the loss.
    fn add_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: LossRecord,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.find_or_add_record(fingerprint, now);
        if record.knows_loss(loss.id) || record.predates_lift(loss.lost_at, loss.sent_at.is_some())
        {
            return false;
        }
        if record.quarantine_status(now) == QuarantineStatus::Clear {
            decisions.push(QuarantineDecision::Suspect(fingerprint));
        }
        if record.losses.len() == LOSS_LIMIT {
            record.losses.remove(0);
        }
        record.losses.push(loss);
        record.changed_at = now;
        true
    }

    /// Merges a loss that another VM observed, and quarantines the request if an attempt that this
    /// process sent after that loss has lost its upstream as well. Returns false if the loss was not new.
    fn merge_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: LossRecord,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        if !self.add_loss(fingerprint, loss, now, decisions) {
            return false;
        }
        if self.records[&fingerprint].has_repeated_loss(now) {
            self.quarantine(fingerprint, false, now, decisions);
        }
        true
    }

    /// Merges a notice that an answer has cleared the request of `losses`. Returns false if all of them were already
    /// cleared.
    fn merge_cleared(
        &mut self,
        fingerprint: RequestFingerprint,
        losses: &[NoticeId],
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.find_or_add_record(fingerprint, now);
        let previous_status = record.quarantine_status(now);
        let mut is_new = false;
        for loss in losses {
            is_new |= record.clear_loss(*loss);
        }
        let new_status = record.quarantine_status(now);
        if previous_status != QuarantineStatus::Clear && new_status == QuarantineStatus::Clear {
            decisions.push(QuarantineDecision::Clear(fingerprint));
        }
        is_new
    }

    /// Merges another VM's quarantine of a request, or the extension of one. Returns false if an operator has lifted
    /// the quarantine. Also returns false if a quarantine of the request is known already and the merged one does not
    /// expire noticeably later.
    fn merge_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        quarantine: QuarantineRecord,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.find_or_add_record(fingerprint, now);
        if record.predates_lift(quarantine.quarantined_at, false) {
            return false;
        }
        if let Some(known_quarantine) = record.quarantine_at(now) {
            // Two VMs may quarantine a request on the same evidence; a quarantine that expires hardly later is not
            // worth forwarding.
            if quarantine.expires_at <= known_quarantine.expires_at + MAX_NOTICE_DELAY {
                return false;
            }
        } else {
            decisions.push(QuarantineDecision::Quarantine {
                fingerprint,
                ambiguous: quarantine.ambiguous,
            });
        }
        record.quarantine = Some(quarantine);
        record.changed_at = now;
        true
    }

    /// Merges a lift by an operator of another VM. Returns false if a lift of about that time or later is already
    /// known.
    fn merge_lift(
        &mut self,
        fingerprint: RequestFingerprint,
        lifted_at: Duration,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) -> bool {
        let record = self.find_or_add_record(fingerprint, now);
        if record
            .lifted_at
            .is_some_and(|known_lift| known_lift + MAX_NOTICE_DELAY >= lifted_at)
        {
            return false;
        }
        let previous_status = record.quarantine_status(now);
        record.lift(lifted_at, now);
        if previous_status != QuarantineStatus::Clear {
            decisions.push(QuarantineDecision::Clear(fingerprint));
        }
        true
    }

    /// Quarantines a request, unless it already is quarantined.
    fn quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        ambiguous: bool,
        now: Duration,
        decisions: &mut Vec<QuarantineDecision>,
    ) {
        let id = self.random_id();
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.quarantine_at(now).is_some() {
            return;
        }
        let mut lost_upstreams = SmallVec::new();
        for loss in &record.losses {
            if !lost_upstreams.contains(&loss.upstream) {
                lost_upstreams.push(loss.upstream);
            }
        }
        let quarantine = QuarantineRecord {
            id,
            lost_upstreams,
            ambiguous,
            quarantined_at: now,
            expires_at: now + QUARANTINE_TERM,
        };
        let notice = quarantine.notice(fingerprint, now);
        record.quarantine = Some(quarantine);
        record.changed_at = now;
        decisions.push(QuarantineDecision::Quarantine {
            fingerprint,
            ambiguous,
        });
        self.queue_notice(notice, now);
    }

    /// Returns the record of a request, creating it if needed.
    fn find_or_add_record(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> &mut RequestRecord {
        if self.records.len() >= RECORD_LIMIT && !self.records.contains_key(&fingerprint) {
            self.evict_records(now);
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.changed_at.is_zero() {
            record.changed_at = now;
        }
        record
    }

    /// Removes outdated records and, if that is not enough, an eighth of all: least recently changed first, quarantined
    /// requests last.
    fn evict_records(&mut self, now: Duration) {
        self.remove_outdated_records(now);
        if self.records.len() < RECORD_LIMIT {
            return;
        }
        let mut eviction_order = Vec::with_capacity(self.records.len());
        for (fingerprint, record) in &self.records {
            let is_quarantined = record.quarantine_at(now).is_some();
            eviction_order.push((is_quarantined, record.changed_at, *fingerprint));
        }
        eviction_order.sort_unstable();
        for (_is_quarantined, _changed_at, fingerprint) in
            eviction_order.iter().take(RECORD_LIMIT / 8)
        {
            self.records.remove(fingerprint);
        }
    }

    /// Queues the notice of a loss to be sent to other VMs.
    fn queue_loss_notice(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: LossRecord,
        now: Duration,
    ) {
        let notice = loss.notice(fingerprint, now);
        self.queue_notice(notice, now);
    }

    /// Queues a notice to be sent to other VMs.
    fn queue_notice(&mut self, notice: QuarantineNotice, now: Duration) {
        if self.outgoing_notices.len() == NOTICE_LIMIT {
            self.outgoing_notices.pop_front();
        }
        self.outgoing_notices.push_back(PendingNotice {
            notice,
            queued_at: now,
        });
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
