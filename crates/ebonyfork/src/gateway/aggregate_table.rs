//! Queries of other VMs whose shards this VM is gathering.

use std::cell::RefCell;

use futures_util::future::AbortHandle;
use rustc_hash::FxHashMap;

use crate::ident::SessionId;
use crate::wire::LinkSender;

/// Identifies a query: the session of the asking VM, and the query's number there.
pub type AggregateKey = (Option<SessionId>, u64);

/// Running queries of other VMs.
#[derive(Debug, Default)]
pub struct AggregateTable {
    abort_handles: RefCell<FxHashMap<AggregateKey, AbortHandle>>,
}

impl AggregateTable {
    /// Aborts a query that the asking VM has ended.
    pub fn cancel(&self, asking_vm: &LinkSender, number: u64) {
        if let Some(abort_handle) = self
            .abort_handles
            .borrow_mut()
            .remove(&(asking_vm.peer(), number))
        {
            abort_handle.abort();
        }
    }

    /// Adds a running query with the handle that aborts it.
    pub fn begin(&self, key: AggregateKey, abort_handle: AbortHandle) {
        self.abort_handles.borrow_mut().insert(key, abort_handle);
    }

    /// Removes a query that has ended.
    pub fn end(&self, key: AggregateKey) {
        self.abort_handles.borrow_mut().remove(&key);
    }
}
