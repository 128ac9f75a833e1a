//! Limits the number of connections to one upstream that are in use, and queues requests for them.
//!
//! With a first-come, first-served queue an overload makes every request late, because each waits behind requests that
//! are late already. Here requests that can still meet their deadline go first, the most urgent of them before the
//! others. Requests that can no longer meet it get only the connections that are left over, and at most half of all.
//! Organisations take turns ([`SlotOrder`]).

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::gateway::policy::fairness::SlotOrder;
pub use crate::gateway::policy::fairness::SlotPriority;

/// Divisor that yields the number of connections available to requests that can no longer meet their deadline, at least
/// one. More would fill the upstream's own queue, in which nothing can overtake.
const LATE_DIVISOR: usize = 2;

#[derive(Debug)]
struct SlotWaiter {
    priority: SlotPriority,
    sender: oneshot::Sender<SlotPermit>,
}

#[derive(Debug)]
struct SlotState {
    limit: usize,
    in_use: usize,
    waiters: Vec<SlotWaiter>,
    order: SlotOrder,
}

/// Queue for the connections to one upstream. Clones share it.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    state: Rc<RefCell<SlotState>>,
}

/// Permit to use one connection. Dropping it passes it on to the next waiter.
#[derive(Debug)]
pub struct SlotPermit {
    queue: SlotQueue,
    /// Whether the request went before one of another organisation that was first by deadline.
    pub has_overtaken: bool,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().in_use -= 1;
        self.queue.dispatch();
    }
}

impl SlotQueue {
    /// Creates a queue that allows `limit` connections at a time.
    pub fn new(limit: usize) -> Self {
        let state = SlotState {
            limit,
            in_use: 0,
            waiters: Vec::new(),
            order: SlotOrder::default(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Returns how many connections may be in use at a time.
    pub fn limit(&self) -> usize {
        self.state.borrow().limit
    }

    /// Returns how many connections are in use.
    pub fn in_use(&self) -> usize {
        self.state.borrow().in_use
    }

    /// Sets how many connections may be in use at a time. Permits already handed out stay valid until they are dropped.
    pub fn set_limit(&self, limit: usize) {
        self.state.borrow_mut().limit = limit;
        self.dispatch();
    }

    /// Waits for a permit to use a connection. Dropping the future leaves the queue.
    pub async fn acquire(&self, priority: SlotPriority) -> Option<SlotPermit> {
        let (sender, receiver) = oneshot::channel();
        let waiter = SlotWaiter { priority, sender };
        self.state.borrow_mut().waiters.push(waiter);
        self.dispatch();
        // The queue keeps the sender until it sends a permit, so the wait ends with one.
        receiver.await.ok()
    }

    /// Hands free permits to the first waiters.
    fn dispatch(&self) {
        while let Some((waiter, has_overtaken)) = self.next_waiter() {
            self.state.borrow_mut().in_use += 1;
            let permit = SlotPermit {
                queue: self.clone(),
                has_overtaken,
            };
            // A waiter that has given up drops the permit, which dispatches it to the next one.
            let _given_up = waiter.sender.send(permit);
        }
    }

    /// Takes the next waiter out of the queue. Also returns whether it has overtaken one of another organisation.
    fn next_waiter(&self) -> Option<(SlotWaiter, bool)> {
        let mut state = self.state.borrow_mut();
        state.waiters.retain(|waiter| !waiter.sender.is_closed());
        if state.in_use >= state.limit {
            return None;
        }
        let now = crate::gateway::clock::now();
        let priorities = state.waiters.iter().map(|waiter| &waiter.priority);
        let next = state.order.next_waiter(priorities, now)?;
        if next.is_late && state.in_use >= (state.limit / LATE_DIVISOR).max(1) {
            return None;
        }
        let waiter = state.waiters.remove(next.index);
        let waiter_count = state.waiters.len();
        state
            .order
            .record_grant(&waiter.priority, next.is_late, waiter_count);
        Some((waiter, next.has_overtaken))
    }
}

#[cfg(test)]
#[path = "slots_tests.rs"]
mod tests;
