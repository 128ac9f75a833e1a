//! Limits how many bytes of parts a VM sends to its peers, so that a VM which many peers ask isn't overloaded.

use std::time::Duration;

use crate::store::VALUE_LIMIT;

/// Average rate of part bytes served, in bytes per second.
const SERVE_BYTES_PER_SECOND: f64 = (256 << 10) as f64;
/// Maximum burst of part bytes served: two parts of the largest size.
const SERVE_BURST_BYTES: f64 = (2 * VALUE_LIMIT) as f64;

/// A token bucket over the bytes of parts served to peers.
#[derive(Debug, Clone, Copy)]
pub struct ServeBudget {
    available_bytes: f64,
    updated_at: Duration,
}

impl Default for ServeBudget {
    fn default() -> Self {
        Self {
            available_bytes: SERVE_BURST_BYTES,
            updated_at: Duration::ZERO,
        }
    }
}

impl ServeBudget {
    /// Takes the bytes of one part from the budget. Returns `false` if too few are left.
    pub fn try_take(&mut self, now: Duration, size: usize) -> bool {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        self.available_bytes = (self.available_bytes + elapsed_seconds * SERVE_BYTES_PER_SECOND)
            .min(SERVE_BURST_BYTES);
        let size = size as f64;
        if self.available_bytes < size {
            return false;
        }
        self.available_bytes -= size;
        true
    }
}
