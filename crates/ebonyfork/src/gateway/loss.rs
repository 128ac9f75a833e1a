//! Result of checking whether a broken connection means that the upstream was lost.

use std::cell::Cell;

/// Verdict on a broken connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossFinding {
    /// The check is still running.
    Open,
    /// The upstream accepts connections, so the request is not to blame.
    Harmless,
    /// The upstream is lost, possibly because of the request.
    Lost,
}

/// Check of an upstream after a connection broke, shared by all requests whose connections to it break while the check
/// runs.
#[derive(Debug)]
pub struct LossCheck {
    finding: Cell<LossFinding>,
}

impl LossCheck {
    /// Creates a check with the given verdict.
    pub fn new(finding: LossFinding) -> Self {
        Self {
            finding: Cell::new(finding),
        }
    }

    /// Returns the current verdict.
    pub fn finding(&self) -> LossFinding {
        self.finding.get()
    }

    /// Sets the verdict.
    pub fn set(&self, finding: LossFinding) {
        self.finding.set(finding);
    }
}
