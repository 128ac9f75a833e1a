//! Messages to relays produced by one event: attempts and cancellations, grouped by relay.

use cranelift_entity::SecondaryMap;
use smallvec::SmallVec;

use super::directory::RelayId;
use crate::relay::{CancelBatch, ShardTarget, SubmitBatch};
use crate::wire::PeerMessage;

/// Messages collected while one event of one query is handled.
#[derive(Debug, Default)]
pub struct RelayOutbox {
    submit_batches: Vec<(RelayId, SubmitBatch)>,
    /// Position in `submit_batches` plus one, so that the default value 0 means "none".
    submit_positions: SecondaryMap<RelayId, u32>,
    cancel_batches: Vec<(RelayId, CancelBatch)>,
}

impl RelayOutbox {
    /// Adds an attempt to the batch for a relay; `new_batch` creates the batch if there is none yet.
    pub fn add_attempt(
        &mut self,
        relay: RelayId,
        target: ShardTarget,
        new_batch: impl FnOnce() -> SubmitBatch,
    ) {
        let mut position = self.submit_positions[relay];
        if position == 0 {
            self.submit_batches.push((relay, new_batch()));
            position = self.submit_batches.len() as u32;
            self.submit_positions[relay] = position;
        }
        let (_, batch) = &mut self.submit_batches[position as usize - 1];
        batch.targets.push(target);
    }

    /// Adds a cancellation of one attempt.
    pub fn add_cancellation(&mut self, relay: RelayId, query: u64, attempt: u32) {
        let is_same_batch = |(batch_relay, batch): &&mut (RelayId, CancelBatch)| {
            *batch_relay == relay && batch.query == query
        };
        if let Some((_, batch)) = self.cancel_batches.iter_mut().find(is_same_batch) {
            batch.attempts.push(attempt);
            return;
        }
        let attempts = SmallVec::from_slice(&[attempt]);
        self.cancel_batches
            .push((relay, CancelBatch { query, attempts }));
    }

    /// Passes all messages to `send` and clears the outbox.
    pub fn flush(&mut self, mut send: impl FnMut(RelayId, PeerMessage)) {
        for (relay, batch) in self.submit_batches.drain(..) {
            self.submit_positions[relay] = 0;
            send(relay, PeerMessage::Submit(batch));
        }
        for (relay, batch) in self.cancel_batches.drain(..) {
            send(relay, PeerMessage::Cancel(batch));
        }
    }
}
