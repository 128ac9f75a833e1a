//! What the break of a connection has turned out to be: of the connection alone, or of the upstream.

use std::cell::Cell;

/// What a break of a connection has turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossFinding {
    /// It is being looked at.
    Open,
    /// The upstream takes connections: the request is not to blame.
    Harmless,
    /// The upstream is lost, and the request may be why.
    Lost,
}

/// A break that is looked at; all requests under whose connections to the upstream broke meanwhile share one.
#[derive(Debug)]
pub struct LossCheck {
    finding: Cell<LossFinding>,
}

impl LossCheck {
    /// A check with a finding.
    pub fn new(finding: LossFinding) -> Self {
        Self {
            finding: Cell::new(finding),
        }
    }

    /// What it has found so far.
    pub fn finding(&self) -> LossFinding {
        self.finding.get()
    }

    /// Notes what it has found.
    pub fn note(&self, finding: LossFinding) {
        self.finding.set(finding);
    }
}
