//! Decoding of frames within the memory for incomplete messages.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Length of the field before each frame that states its length, in bytes.
const LENGTH_BYTES: usize = 4;
/// Longest frame that needs no memory of the budget, in bytes: the messages of queries and gossip get through while long
/// ones have filled it.
const FREE_FRAME_BYTES: usize = 16 * 1024;

/// Memory for incomplete long frames of all links of a process. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct FrameMemory {
    free_bytes: Arc<AtomicUsize>,
}

impl FrameMemory {
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            free_bytes: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Takes memory; returns false if there isn't so much left.
    fn take(&self, bytes: usize) -> bool {
        let subtract = |free: usize| free.checked_sub(bytes);
        let taken = self
            .free_bytes
            .try_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.free_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Decoder of frames with a length before them. A long frame takes memory of the budget before its buffer grows.
#[derive(Debug)]
pub(super) struct FrameDecoder {
    codec: LengthDelimitedCodec,
    memory: FrameMemory,
    /// Whether the length of the current frame has been read.
    is_in_frame: bool,
    /// Memory taken for the current frame, in bytes.
    taken_bytes: usize,
}

impl FrameDecoder {
    pub(super) fn new(max_frame: usize, memory: FrameMemory) -> Self {
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(max_frame);
        Self {
            codec,
            memory,
            is_in_frame: false,
            taken_bytes: 0,
        }
    }

    pub(super) fn set_max_frame(&mut self, bytes: usize) {
        self.codec.set_max_frame_length(bytes);
    }

    /// Takes the memory for a frame whose length has just arrived.
    fn begin_frame(&mut self, source: &BytesMut) -> io::Result<()> {
        let Some(length) = source.first_chunk::<LENGTH_BYTES>() else {
            return Ok(());
        };
        let length = u32::from_be_bytes(*length) as usize;
        self.is_in_frame = true;
        // The codec refuses a longer one.
        if length <= FREE_FRAME_BYTES || length > self.codec.max_frame_length() {
            return Ok(());
        }
        if !self.memory.take(length) {
            let reason = "long messages of other VMs have taken the memory for them";
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, reason));
        }
        self.taken_bytes = length;
        Ok(())
    }

    fn end_frame(&mut self) {
        self.is_in_frame = false;
        self.memory.give_back(std::mem::take(&mut self.taken_bytes));
    }
}

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if !self.is_in_frame {
            self.begin_frame(src)?;
        }
        let frame = self.codec.decode(src)?;
        if frame.is_some() {
            self.end_frame();
        }
        Ok(frame)
    }
}

impl Drop for FrameDecoder {
    fn drop(&mut self) {
        self.end_frame();
    }
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
