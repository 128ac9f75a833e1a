//! Result of checking whether a broken connection means that the upstream was lost.

use std::cell::Cell;

/// Verdict on a broken connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossVerdict {
    /// The check is still running.
    Pending,
    /// The upstream accepts connections, so the request is not to blame.
    Harmless,
    /// The upstream is lost, possibly because of the request.
    Lost,
}

/// Check of an upstream after a connection broke, shared by all requests whose connections to it break while the check
/// runs.
#[derive(Debug)]
pub struct LossCheck {
    verdict: Cell<LossVerdict>,
}

impl LossCheck {
    /// Creates a check with the given verdict.
    pub fn new(verdict: LossVerdict) -> Self {
        Self {
            verdict: Cell::new(verdict),
        }
    }

    /// Returns the current verdict.
    pub fn verdict(&self) -> LossVerdict {
        self.verdict.get()
    }

    /// Sets the verdict.
    pub fn set(&self, verdict: LossVerdict) {
        self.verdict.set(verdict);
    }
}
