//! How many bytes of parts a VM gives to its peers, so that a popular one isn't overrun.

use std::time::Duration;

use crate::store::VALUE_LIMIT;

/// Bytes a second on average.
const SERVE_RATE: f64 = (256 << 10) as f64;
/// Bytes at once: two parts of the largest size.
const SERVE_BURST: f64 = (2 * VALUE_LIMIT) as f64;

/// A token bucket over bytes.
#[derive(Debug, Clone, Copy)]
pub struct ServeBudget {
    bytes: f64,
    updated: Duration,
}

impl Default for ServeBudget {
    fn default() -> Self {
        Self {
            bytes: SERVE_BURST,
            updated: Duration::ZERO,
        }
    }
}

impl ServeBudget {
    /// Takes the bytes of one part out of the budget, or tells that there are too few left.
    pub fn take(&mut self, now: Duration, size: usize) -> bool {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        self.bytes = (self.bytes + passed * SERVE_RATE).min(SERVE_BURST);
        let size = size as f64;
        if self.bytes < size {
            return false;
        }
        self.bytes -= size;
        true
    }
}
