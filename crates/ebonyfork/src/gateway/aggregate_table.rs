//! The queries of other VMs whose parts this VM is gathering.

use std::cell::RefCell;

use futures_util::future::AbortHandle;
use rustc_hash::FxHashMap;

use crate::ident::SessionId;
use crate::wire::LinkSender;

/// Names a query: who asks, and its number there.
pub type AggregateKey = (Option<SessionId>, u64);

/// Parts that this VM gathers for others.
#[derive(Debug, Default)]
pub struct AggregateTable {
    running: RefCell<FxHashMap<AggregateKey, AbortHandle>>,
}

impl AggregateTable {
    /// Ends the gathering of a query that another VM has ended.
    pub fn cancel(&self, from: &LinkSender, number: u64) {
        if let Some(running) = self.running.borrow_mut().remove(&(from.peer(), number)) {
            running.abort();
        }
    }

    /// Notes that a query's parts are being gathered.
    pub fn begin(&self, key: AggregateKey, running: AbortHandle) {
        self.running.borrow_mut().insert(key, running);
    }

    /// Notes that the gathering has ended.
    pub fn end(&self, key: AggregateKey) {
        self.running.borrow_mut().remove(&key);
    }
}
