//! The clock of all decisions.

use std::time::Instant;

/// The steady clock; in tests it is virtual.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
