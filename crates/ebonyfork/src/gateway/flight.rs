//! Counts the requests that a process has in flight. A planned shutdown waits for them.

use std::cell::Cell;
use std::rc::Rc;

/// Number of requests in flight. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct InFlightCount(Rc<Cell<usize>>);

impl InFlightCount {
    /// Returns the current number.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more request for as long as the returned guard lives.
    pub fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(InFlightCount);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
