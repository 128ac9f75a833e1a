//! Sends one VM's message about the store to another in chunks.
//!
//! A chunk is sent once an earlier one has been acknowledged, so a link never holds more of a transfer than its window,
//! whatever the message's length. Responses of upstreams, polls and gossip pass between the chunks, a receiver can see
//! that a slow transfer makes progress, and one that switches to another source leaves no data behind that is still
//! being sent.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use super::pack::MAX_EXPANDED_BYTES;

/// Length of a chunk: 9 ms on a link of 14 Mbit/s.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of a transfer that may be unacknowledged: with 24 ms between regions this still allows 1.3 MB/s.
const WINDOW_BYTES: usize = 2 * CHUNK_BYTES;
/// Time without an acknowledged chunk after which a transfer counts as stalled: about 20 chunks at 14 Mbit/s while four
/// transfers share the link, and longer than the retransmission of a lost packet.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A chunk to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferChunk {
    /// Offset of the chunk in the message, in bytes.
    pub offset: usize,
    /// The bytes of the chunk.
    pub bytes: Bytes,
}

/// A message that is being sent.
#[derive(Debug)]
pub struct OutgoingTransfer {
    content: Bytes,
    sent: usize,
    acked: usize,
    /// When the receiver last acknowledged a chunk, or when the transfer started.
    progress_at: Instant,
}

impl OutgoingTransfer {
    /// Starts sending a message.
    pub fn new(content: Bytes, now: Instant) -> Self {
        Self {
            content,
            sent: 0,
            acked: 0,
            progress_at: now,
        }
    }

    /// Returns the length of the message in bytes.
    pub fn total(&self) -> usize {
        self.content.len()
    }

    /// Returns the next chunk, or none if the window is full or everything was sent.
    pub fn next_chunk(&mut self) -> Option<TransferChunk> {
        let until = (self.sent + CHUNK_BYTES).min(self.content.len());
        let window = until <= self.acked + WINDOW_BYTES;
        if self.sent == until || !window {
            return None;
        }
        let bytes = self.content.slice(self.sent..until);
        let offset = std::mem::replace(&mut self.sent, until);
        Some(TransferChunk { offset, bytes })
    }

    /// Records how many bytes have been acknowledged; returns whether the message is complete.
    pub fn note_acked(&mut self, bytes: usize, now: Instant) -> bool {
        if bytes > self.acked && bytes <= self.sent {
            self.acked = bytes;
            self.progress_at = now;
        }
        self.acked == self.content.len()
    }

    /// Returns whether the receiver is acknowledging chunks, so that the transfer takes up bandwidth.
    pub fn is_progressing(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progress_at) < STALL_TIMEOUT
    }
}

/// The result of receiving a chunk.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// The number of bytes received so far; more chunks are to come.
    Incomplete(usize),
    /// The complete message.
    Complete(Bytes),
    /// The chunk belongs to a message whose start was not received: it was in transit when the receiver switched
    /// sources.
    Unexpected,
    /// The chunk does not follow the previous one, or the message is too long.
    Invalid,
}

/// A message that is being received.
#[derive(Debug, Default)]
pub struct IncomingTransfer {
    number: Option<u64>,
    bytes: BytesMut,
}

impl IncomingTransfer {
    /// Receives a chunk. The first chunk of a transfer discards an unfinished earlier one.
    pub fn receive(
        &mut self,
        number: u64,
        (offset, total): (usize, usize),
        chunk: &[u8],
    ) -> ChunkOutcome {
        if offset == 0 {
            self.number = Some(number);
            self.bytes.clear();
        }
        if self.number != Some(number) {
            return ChunkOutcome::Unexpected;
        }
        if self.bytes.len() != offset || total > MAX_EXPANDED_BYTES || offset + chunk.len() > total
        {
            self.number = None;
            return ChunkOutcome::Invalid;
        }
        self.bytes.extend_from_slice(chunk);
        if self.bytes.len() < total {
            return ChunkOutcome::Incomplete(self.bytes.len());
        }
        self.number = None;
        ChunkOutcome::Complete(std::mem::take(&mut self.bytes).freeze())
    }
}

#[cfg(test)]
#[path = "transfer_tests.rs"]
mod tests;
