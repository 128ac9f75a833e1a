//! How one VM's message about the store gets to another in pieces.
//!
//! A piece follows when an earlier one has been taken, so a link never holds more of a transfer than its window, whatever
//! the message's length: answers of upstreams, questions and gossip pass between the pieces, a receiver sees that a slow
//! transfer advances, and one that goes elsewhere leaves nothing behind that is still being sent.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use super::pack::EXPANDED_LIMIT;

/// Bytes of a piece: 9 ms of a link of 14 Mbit/s.
pub const PIECE_BYTES: usize = 16 * 1024;
/// Bytes that may be under way to one receiver: over 24 ms between regions that is still 1.3 MB/s.
const WINDOW_BYTES: usize = 2 * PIECE_BYTES;
/// Time without a piece taken after which a transfer does not count as advancing: some 20 pieces at 14 Mbit/s while four
/// transfers share the link, and longer than a lost packet's repetition.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// A piece to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferPiece {
    /// Where it begins.
    pub offset: usize,
    /// The piece.
    pub bytes: Bytes,
}

/// A message that is being sent.
#[derive(Debug)]
pub struct OutgoingTransfer {
    content: Bytes,
    sent: usize,
    taken: usize,
    /// When the receiver last took something, or when it began.
    moved_at: Instant,
}

impl OutgoingTransfer {
    /// Begins to send a message.
    pub fn new(content: Bytes, now: Instant) -> Self {
        Self {
            content,
            sent: 0,
            taken: 0,
            moved_at: now,
        }
    }

    /// Length of the message.
    pub fn total(&self) -> usize {
        self.content.len()
    }

    /// The next piece; none before more has been taken.
    pub fn next_piece(&mut self) -> Option<TransferPiece> {
        let until = (self.sent + PIECE_BYTES).min(self.content.len());
        let window = until <= self.taken + WINDOW_BYTES;
        if self.sent == until || !window {
            return None;
        }
        let bytes = self.content.slice(self.sent..until);
        let offset = std::mem::replace(&mut self.sent, until);
        Some(TransferPiece { offset, bytes })
    }

    /// Notes how much has been taken; tells whether that is all.
    pub fn note_taken(&mut self, bytes: usize, now: Instant) -> bool {
        if bytes > self.taken && bytes <= self.sent {
            self.taken = bytes;
            self.moved_at = now;
        }
        self.taken == self.content.len()
    }

    /// Whether it takes room on the link: its receiver takes pieces.
    pub fn is_advancing(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.moved_at) < STALL_TIME
    }
}

/// What became of a piece.
#[derive(Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// So many bytes have come in, and more are to come.
    More(usize),
    /// The message is whole.
    Whole(Bytes),
    /// The piece is of a message whose beginning was not taken: it was on its way when its receiver went elsewhere.
    Stray,
    /// The piece does not follow the one before it, or the message is too long.
    Broken,
}

/// A message that is coming in.
#[derive(Debug, Default)]
pub struct IncomingTransfer {
    number: Option<u64>,
    bytes: BytesMut,
}

impl IncomingTransfer {
    /// Takes a piece in. The first piece of a transfer ends the one before it.
    pub fn take(
        &mut self,
        number: u64,
        (offset, total): (usize, usize),
        piece: &[u8],
    ) -> PieceOutcome {
        if offset == 0 {
            self.number = Some(number);
            self.bytes.clear();
        }
        if self.number != Some(number) {
            return PieceOutcome::Stray;
        }
        if self.bytes.len() != offset || total > EXPANDED_LIMIT || offset + piece.len() > total {
            self.number = None;
            return PieceOutcome::Broken;
        }
        self.bytes.extend_from_slice(piece);
        if self.bytes.len() < total {
            return PieceOutcome::More(self.bytes.len());
        }
        self.number = None;
        PieceOutcome::Whole(std::mem::take(&mut self.bytes).freeze())
    }
}

#[cfg(test)]
#[path = "transfer_tests.rs"]
mod tests;
