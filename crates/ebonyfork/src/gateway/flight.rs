//! How many requests a process has in flight: a planned stop waits for them.

use std::cell::Cell;
use std::rc::Rc;

/// The number of requests in flight.
#[derive(Debug, Clone, Default)]
pub struct FlightCount(Rc<Cell<usize>>);

impl FlightCount {
    /// The number now.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more request for as long as the guard is held.
    pub fn hold(&self) -> FlightGuard {
        self.0.set(self.0.get() + 1);
        FlightGuard(self.clone())
    }
}

/// Counts a request as in flight for as long as it is held.
#[derive(Debug)]
pub struct FlightGuard(FlightCount);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
