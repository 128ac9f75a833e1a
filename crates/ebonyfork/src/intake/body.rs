//! Receives request bodies within the budget.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::IntakePhase;
use crate::intake::now;
use crate::intake::table::{IntakeRefusal, IntakeSlot};

/// Why a request body is not received.
#[derive(Debug)]
pub enum BodyError {
    /// It is longer than it may be.
    TooLarge,
    /// Other callers hold the memory for bodies.
    Full,
    /// It breaks off or is malformed.
    Broken(hyper::Error),
}

impl From<IntakeRefusal> for BodyError {
    fn from(refusal: IntakeRefusal) -> Self {
        match refusal {
            IntakeRefusal::Full => Self::Full,
            IntakeRefusal::TooLarge => Self::TooLarge,
        }
    }
}

/// Receives a body of at most `max_bytes` bytes. Each frame is copied into one buffer and freed, because a frame of one byte
/// keeps the whole buffer that it was read into.
pub async fn receive_body(
    slot: &IntakeSlot,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let length = body.size_hint();
    if length.lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let longest = length.upper().map_or(max_bytes, |upper| upper as usize);
    slot.enter_phase(IntakePhase::Body, now());
    let _receiving = BodyGuard(slot);
    let mut received_bytes = 0;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = slot.body_dropped() => return Err(BodyError::Full),
        };
        let Some(frame) = frame else { break };
        // Frames other than data are trailers, which are not forwarded.
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        received_bytes += data.len();
        if received_bytes > max_bytes {
            return Err(BodyError::TooLarge);
        }
        slot.push_body(&data, longest, now())?;
    }
    Ok(slot.take_body(now())?)
}

/// Frees what was received of a body that is given up.
struct BodyGuard<'a>(&'a IntakeSlot);

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.0.end_body();
    }
}
