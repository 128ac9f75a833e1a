//! What is sent when: the queue, the suspects and the connections of one upstream together.

use std::time::Duration;

use super::{SentWork, UpstreamState, note_spent};
use crate::relay::action::{RelayAction, RelayTables};
use crate::relay::ids::{ClassId, WorkId};
use crate::relay::message::RefusalReason;

impl UpstreamState {
    /// Sends what may be sent and opens connections for the rest.
    pub(super) fn dispatch(&mut self, now: Duration, tables: &mut RelayTables) {
        if self.is_leaving(now) {
            self.hand_back(RefusalReason::Leaving, tables);
            return;
        }
        while self.send_next(now, tables) {}
        self.refuse_expired(now, tables);
        self.open_needed(now, tables);
    }

    /// Sends one attempt, if there is one that may be sent. A suspect is sent when nothing else is there, and nothing else
    /// while it is there, so that a loss leaves no doubt.
    fn send_next(&mut self, now: Duration, tables: &mut RelayTables) -> bool {
        let free = (self.limit.current() as usize).saturating_sub(self.sent.len());
        let room = usize::min(free, self.pool.idle());
        if room == 0 || self.sent.iter().any(|sent| sent.order.is_suspect()) {
            return false;
        }
        let next = if self.suspects.is_due(self.queue.is_empty()) {
            if !self.sent.is_empty() {
                return false;
            }
            let passing = self.limit.current();
            self.suspects.pop(now, passing, &mut self.taken)
        } else {
            self.suspects.let_pass();
            let (clamp, sent) = (&self.clamp, &self.sent);
            let allows = |class: ClassId| {
                clamp.as_ref().is_none_or(|clamp| {
                    let same = sent.iter().filter(|sent| sent.order.class == class);
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

    /// Sends an attempt on the connection that was used last: the others may fall idle and close.
    fn send(&mut self, now: Duration, work: WorkId, tables: &mut RelayTables) {
        let Some(order) = tables.order(work) else {
            return;
        };
        let Some(connection) = self.pool.take() else {
            return;
        };
        let in_flight = self.sent.len() as u32 + 1;
        let epoch = self.limit.epoch();
        self.limit.note_sent(in_flight);
        self.sent.push(SentWork {
            work,
            order,
            connection,
            in_flight,
            epoch,
            since: now,
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

    pub(super) fn refuse_expired(&mut self, now: Duration, tables: &mut RelayTables) {
        for work in &self.taken {
            if let Some(order) = tables.order(*work) {
                note_spent(&mut self.clamp, now, &order, tables);
            }
        }
        tables.refuse_all(&mut self.taken, RefusalReason::Expired);
    }

    pub(super) fn hand_back(&mut self, reason: RefusalReason, tables: &mut RelayTables) {
        self.queue.drain(&mut self.taken);
        self.suspects.drain(&mut self.taken);
        tables.refuse_all(&mut self.taken, reason);
    }
}
