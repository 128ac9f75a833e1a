//! Counts the requests and connections of a process. A planned shutdown waits for them.

use std::cell::Cell;
use std::rc::Rc;

/// Number of requests in flight, or of connections that are open. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct InFlightCount(Rc<Cell<usize>>);

impl InFlightCount {
    /// Returns the current number.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more for as long as the returned guard lives.
    pub fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }
}

/// Counts one request or connection until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(InFlightCount);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
