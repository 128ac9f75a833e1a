//! Who may use the connections to one upstream: a bounded number at a time, the others wait in order of use.
//!
//! In order of arrival an overload makes every request late: each waits behind others that are late already. Here those
//! come first that can still be in time, the most pressing of them before the rest; those that can't wait for what is
//! left over, and use half of the connections at most.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Of the connections, one in this many is left to requests that can no longer be in time, and one at least. What is sent
/// waits in the upstream's own queue, where nothing overtakes it.
const LATE_PART: usize = 2;

/// What a request that waits for a connection is worth, by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotOrder {
    /// Until when an answer is of full use; `None` if that has passed.
    pub useful_until: Option<Instant>,
    /// How long the upstream usually takes.
    pub need: Duration,
    /// When the request was received.
    pub received: Instant,
}

impl SlotOrder {
    /// Its rank at a moment: the lowest goes first.
    fn rank(&self, now: Instant) -> (bool, Instant) {
        match self.useful_until {
            Some(until) if now + self.need <= until => (false, until),
            _ => (true, self.received),
        }
    }
}

#[derive(Debug)]
struct SlotWaiter {
    order: SlotOrder,
    wake: oneshot::Sender<SlotPermit>,
}

#[derive(Debug)]
struct SlotState {
    granted: usize,
    used: usize,
    waiters: Vec<SlotWaiter>,
}

/// The connections to one upstream that may be used at a time. Clones share them.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    state: Rc<RefCell<SlotState>>,
}

/// The right to use one connection; it goes to the next waiter when it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    queue: SlotQueue,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().used -= 1;
        self.queue.dispatch();
    }
}

impl SlotQueue {
    /// Allows `granted` connections at a time.
    pub fn new(granted: usize) -> Self {
        let state = SlotState {
            granted,
            used: 0,
            waiters: Vec::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Connections that may be used at a time.
    pub fn granted(&self) -> usize {
        self.state.borrow().granted
    }

    /// Changes how many connections may be used at a time; those in use stay until they are given back.
    pub fn grant(&self, granted: usize) {
        self.state.borrow_mut().granted = granted;
        self.dispatch();
    }

    /// Waits for the right to use a connection. Dropping the future gives up the place.
    pub async fn acquire(&self, order: SlotOrder) -> Option<SlotPermit> {
        let (wake, woken) = oneshot::channel();
        let waiter = SlotWaiter { order, wake };
        self.state.borrow_mut().waiters.push(waiter);
        self.dispatch();
        // The sender lives in the queue until it is used, so the wait ends with a permit.
        woken.await.ok()
    }

    /// Hands free connections to the waiters that come first.
    fn dispatch(&self) {
        while let Some(waiter) = self.next_waiter() {
            self.state.borrow_mut().used += 1;
            let permit = SlotPermit {
                queue: self.clone(),
            };
            // A waiter that has given up drops the permit, which looks for the next one.
            let _given_up = waiter.wake.send(permit);
        }
    }

    fn next_waiter(&self) -> Option<SlotWaiter> {
        let mut state = self.state.borrow_mut();
        state.waiters.retain(|waiter| !waiter.wake.is_closed());
        if state.used >= state.granted {
            return None;
        }
        let now = crate::gateway::clock::now();
        let ranked = state.waiters.iter().enumerate();
        let (first, waiter) = ranked.min_by_key(|(_number, waiter)| waiter.order.rank(now))?;
        let (late, _) = waiter.order.rank(now);
        if late && state.used >= (state.granted / LATE_PART).max(1) {
            return None;
        }
        Some(state.waiters.remove(first))
    }
}

#[cfg(test)]
#[path = "slots_tests.rs"]
mod tests;
