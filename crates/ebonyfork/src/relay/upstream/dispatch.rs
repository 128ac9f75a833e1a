//! Selects the next attempt to send, from the queue and the suspects of one upstream, within its concurrency limit and
//! its idle connections.

use std::time::Duration;

use super::{SentWork, UpstreamState, record_time_spent};
use crate::relay::action::{RelayAction, RelayTables};
use crate::relay::ids::{ClassId, WorkId};
use crate::relay::message::RefusalReason;

impl UpstreamState {
    /// Sends every attempt that may be sent now and opens connections for the rest.
    pub(super) fn dispatch(&mut self, now: Duration, tables: &mut RelayTables) {
        if self.is_leaving(now) {
            self.refuse_queued_work(RefusalReason::Leaving, tables);
            return;
        }
        while self.send_next(now, tables) {}
        self.refuse_expired_work(now, tables);
        self.open_needed_connections(now, tables);
    }

    /// Sends one attempt and returns true, or returns false if none may be sent now. A suspect is sent only when
    /// nothing else is in flight, and nothing else is sent while it is in flight, so that a loss of the upstream can be
    /// attributed to the suspect.
    fn send_next(&mut self, now: Duration, tables: &mut RelayTables) -> bool {
        let unused_limit =
            (self.limit.current_limit() as usize).saturating_sub(self.sent_work.len());
        let send_capacity = usize::min(unused_limit, self.pool.idle_connection_count());
        if send_capacity == 0
            || self
                .sent_work
                .iter()
                .any(|sent_work| sent_work.item.is_suspect())
        {
            return false;
        }
        let next_work = if self.suspects.is_due(self.queue.is_empty()) {
            if !self.sent_work.is_empty() {
                return false;
            }
            let regular_attempts_before_suspect = self.limit.current_limit();
            self.suspects
                .pop(now, regular_attempts_before_suspect, &mut self.removed_work)
        } else {
            self.suspects.record_regular_attempt_sent();
            let (clamp, sent_work) = (&self.clamp, &self.sent_work);
            let allows_class = |class: ClassId| {
                clamp.as_ref().is_none_or(|clamp| {
                    let same_class_attempts = sent_work
                        .iter()
                        .filter(|sent_work| sent_work.item.class == class);
                    clamp.allows(class, same_class_attempts.count() as u32)
                })
            };
            self.queue
                .pop(now, send_capacity, allows_class, &mut self.removed_work)
        };
        let Some(work) = next_work else {
            return false;
        };
        self.send(now, work, tables);
        true
    }

    /// Sends an attempt on the most recently used idle connection, so that the other connections can reach their idle
    /// timeout and close.
    fn send(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(item) = tables.item(work) else {
            return;
        };
        let Some(connection) = self.pool.take_idle_connection() else {
            return;
        };
        let attempts_in_flight = self.sent_work.len() as u32 + 1;
        let epoch = self.limit.epoch();
        self.limit.record_sent(attempts_in_flight);
        self.sent_work.push(SentWork {
            work,
            item,
            connection,
            attempts_in_flight,
            epoch,
            sent_at: now,
            has_verdict: false,
        });
        let upstream = self.id;
        tables.actions.push(RelayAction::Send {
            upstream,
            connection,
            work,
        });
    }

    /// Opens as many connections as the queue and the limit can use.
    fn open_needed_connections(&mut self, now: Duration, tables: &mut RelayTables) {
        let send_capacity =
            (self.limit.current_limit() as usize).saturating_sub(self.sent_work.len());
        let waiting_count = self.queue.len() + usize::from(!self.suspects.is_empty());
        let wanted_connections = usize::min(waiting_count, send_capacity) as u32;
        self.pool
            .open_needed_connections(now, wanted_connections, tables);
    }

    /// Refuses the attempts in `removed_work` as expired.
    pub(super) fn refuse_expired_work(&mut self, now: Duration, tables: &mut RelayTables) {
        for work in &self.removed_work {
            if let Some(item) = tables.item(*work) {
                record_time_spent(&mut self.clamp, now, &item, tables);
            }
        }
        tables.refuse_all(&mut self.removed_work, RefusalReason::Expired);
    }

    /// Refuses all waiting attempts.
    pub(super) fn refuse_queued_work(&mut self, reason: RefusalReason, tables: &mut RelayTables) {
        self.queue.drain(&mut self.removed_work);
        self.suspects.drain(&mut self.removed_work);
        tables.refuse_all(&mut self.removed_work, reason);
    }
}
