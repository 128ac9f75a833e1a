//! Sends one VM's message about the store to another in chunks.
//!
//! Once the window is full, a chunk is sent only after an earlier one has been acknowledged, so a link never holds more
//! of a transfer than its window, whatever the message's size. Responses of upstreams, polls and gossip pass between
//! the chunks, a receiver can see that a slow transfer makes progress, and one that switches to another source leaves
//! no data behind that is still being sent.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use super::pack::MAX_EXPANDED_BYTES;

/// Size of a chunk, except the last one of a message: 9 ms on a link of 14 Mbit/s.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Number of bytes of a transfer that may be sent but not yet acknowledged. With a round trip of 24 ms between regions
/// this still allows 1.3 MB/s.
const WINDOW_BYTES: usize = 2 * CHUNK_BYTES;
/// Time without an acknowledged chunk after which a transfer counts as stalled: about 20 chunks at 14 Mbit/s while four
/// transfers share the link, and longer than the retransmission of a lost packet.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A part of a message that is sent at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferChunk {
    /// Offset of the chunk in the message, in bytes.
    pub offset: usize,
    /// The bytes of the chunk.
    pub bytes: Bytes,
}

/// The progress of sending a message to one receiver.
#[derive(Debug)]
pub struct OutgoingTransfer {
    content: Bytes,
    sent_bytes: usize,
    acked_bytes: usize,
    /// When the receiver last acknowledged a chunk, or when the transfer started.
    progress_at: Instant,
}

impl OutgoingTransfer {
    /// Starts sending a message.
    pub fn new(content: Bytes, now: Instant) -> Self {
        Self {
            content,
            sent_bytes: 0,
            acked_bytes: 0,
            progress_at: now,
        }
    }

    /// Returns the size of the message in bytes.
    pub fn total_bytes(&self) -> usize {
        self.content.len()
    }

    /// Returns the next chunk, or none if the window is full or everything was sent.
    pub fn next_chunk(&mut self) -> Option<TransferChunk> {
        let chunk_end = (self.sent_bytes + CHUNK_BYTES).min(self.content.len());
        let fits_window = chunk_end <= self.acked_bytes + WINDOW_BYTES;
        if self.sent_bytes == chunk_end || !fits_window {
            return None;
        }
        let bytes = self.content.slice(self.sent_bytes..chunk_end);
        let offset = std::mem::replace(&mut self.sent_bytes, chunk_end);
        Some(TransferChunk { offset, bytes })
    }

    /// Records how many bytes of the message the receiver has acknowledged so far; returns whether that is all of it.
    pub fn note_acked_bytes(&mut self, acked_bytes: usize, now: Instant) -> bool {
        if acked_bytes > self.acked_bytes && acked_bytes <= self.sent_bytes {
            self.acked_bytes = acked_bytes;
            self.progress_at = now;
        }
        self.acked_bytes == self.content.len()
    }

    /// Returns whether the receiver acknowledged a chunk within [`STALL_TIMEOUT`], so that the transfer uses bandwidth.
    pub fn is_progressing(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progress_at) < STALL_TIMEOUT
    }
}

/// The result of receiving a chunk.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// More chunks are to come. Holds the number of bytes received so far.
    Incomplete(usize),
    /// The message is complete. Holds its bytes.
    Complete(Bytes),
    /// The chunk belongs to a message whose start was not received: it was in transit when the receiver switched
    /// sources.
    Unexpected,
    /// The chunk does not follow the previous one, or the message is too long.
    Invalid,
}

/// The progress of receiving messages from one sender.
#[derive(Debug, Default)]
pub struct IncomingTransfer {
    /// Number of the transfer being received; none before the first chunk and after the last or an invalid one.
    number: Option<u64>,
    /// The bytes of that transfer received so far.
    bytes: BytesMut,
}

impl IncomingTransfer {
    /// Receives the chunk at `offset` of transfer `number`, which has `total_bytes` bytes. The first chunk of a
    /// transfer discards an unfinished earlier transfer.
    pub fn receive(
        &mut self,
        number: u64,
        (offset, total_bytes): (usize, usize),
        chunk: &[u8],
    ) -> ChunkOutcome {
        if offset == 0 {
            self.number = Some(number);
            self.bytes.clear();
        }
        if self.number != Some(number) {
            return ChunkOutcome::Unexpected;
        }
        if self.bytes.len() != offset
            || total_bytes > MAX_EXPANDED_BYTES
            || offset + chunk.len() > total_bytes
        {
            self.number = None;
            return ChunkOutcome::Invalid;
        }
        self.bytes.extend_from_slice(chunk);
        if self.bytes.len() < total_bytes {
            return ChunkOutcome::Incomplete(self.bytes.len());
        }
        self.number = None;
        ChunkOutcome::Complete(std::mem::take(&mut self.bytes).freeze())
    }
}

#[cfg(test)]
#[path = "transfer_tests.rs"]
mod tests;
