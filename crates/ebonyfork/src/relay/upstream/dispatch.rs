//! Selects the next attempt to send, from the queue and the suspects of one upstream, within its limit and connections.

use std::time::Duration;

use super::{SentWork, UpstreamState, record_time_spent};
use crate::relay::action::{RelayAction, RelayTables};
use crate::relay::ids::{ClassId, WorkId};
use crate::relay::message::RefusalReason;

impl UpstreamState {
    /// Sends every attempt that may be sent now and opens connections for the rest.
    pub(super) fn dispatch(&mut self, now: Duration, tables: &mut RelayTables) {
        if self.is_leaving(now) {
            self.refuse_queued(RefusalReason::Leaving, tables);
            return;
        }
        while self.send_next(now, tables) {}
        self.refuse_expired(now, tables);
        self.open_needed(now, tables);
    }

    /// Sends one attempt and returns true, or returns false if none may be sent now. A suspect is sent only when
    /// nothing else is in flight, and nothing else is sent while it is in flight, so that a loss can be attributed to
    /// it.
    fn send_next(&mut self, now: Duration, tables: &mut RelayTables) -> bool {
        let free = (self.limit.current() as usize).saturating_sub(self.sent.len());
        let room = usize::min(free, self.pool.idle());
        if room == 0 || self.sent.iter().any(|sent| sent.item.is_suspect()) {
            return false;
        }
        let next = if self.suspects.is_due(self.queue.is_empty()) {
            if !self.sent.is_empty() {
                return false;
            }
            let others_first = self.limit.current();
            self.suspects.pop(now, others_first, &mut self.taken)
        } else {
            self.suspects.note_other_sent();
            let (clamp, sent) = (&self.clamp, &self.sent);
            let allows = |class: ClassId| {
                clamp.as_ref().is_none_or(|clamp| {
                    let same = sent.iter().filter(|sent| sent.item.class == class);
                    clamp.allows(class, same.count() as u32)
                })
            };
            self.queue.pop(now, room, allows, &mut self.taken)
        };
        let Some(work) = next else {
            return false;
        };
        self.send(now, work, tables);
        true
    }

    /// Sends an attempt on the most recently used connection, so that the other connections can reach their idle limit
    /// and close.
    fn send(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(item) = tables.item(work) else {
            return;
        };
        let Some(connection) = self.pool.take() else {
            return;
        };
        let in_flight = self.sent.len() as u32 + 1;
        let epoch = self.limit.epoch();
        self.limit.record_sent(in_flight);
        self.sent.push(SentWork {
            work,
            item,
            connection,
            in_flight,
            epoch,
            sent_at: now,
            given_up: false,
        });
        let upstream = self.id;
        tables.actions.push(RelayAction::Send {
            upstream,
            connection,
            work,
        });
    }

    /// Opens as many connections as the queue and the limit can use.
    fn open_needed(&mut self, now: Duration, tables: &mut RelayTables) {
        let room = (self.limit.current() as usize).saturating_sub(self.sent.len());
        let waiting = self.queue.len() + usize::from(!self.suspects.is_empty());
        let wanted = usize::min(waiting, room) as u32;
        self.pool.open_needed(now, wanted, tables);
    }

    /// Refuses the attempts in `taken` as expired.
    pub(super) fn refuse_expired(&mut self, now: Duration, tables: &mut RelayTables) {
        for work in &self.taken {
            if let Some(item) = tables.item(*work) {
                record_time_spent(&mut self.clamp, now, &item, tables);
            }
        }
        tables.refuse_all(&mut self.taken, RefusalReason::Expired);
    }

    /// Refuses all waiting attempts.
    pub(super) fn refuse_queued(&mut self, reason: RefusalReason, tables: &mut RelayTables) {
        self.queue.drain(&mut self.taken);
        self.suspects.drain(&mut self.taken);
        tables.refuse_all(&mut self.taken, reason);
    }
}
