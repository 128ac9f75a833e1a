//! The store client of a process: limits the time and the rate of its calls and counts them by kind and result.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::future::BoxFuture;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use tokio::time::Instant;

use super::call_budget::CallBudget;
use super::{
    LeaseGrant, LeaseId, StoreError, StoreItem, StorePage, StorePort, StoreRevision, StoreWatch,
    StoreWrite, answer_within,
};

/// Maximum size in bytes of a value that the store accepts under one key.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Average store calls per second allowed for one process: a quarter of the 400 writes per second that all VMs share.
const CALLS_PER_SECOND: f64 = 100.0;
/// Maximum burst of store calls for one process. It equals the 400 writes per second that all VMs share.
const CALL_BURST: f64 = 400.0;

type AnswerFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// Object-safe version of [`StorePort`], so that types holding a port need no type parameter.
trait ErasedPort: Send + Sync {
    fn read_item<'a>(&'a self, key: &'a str) -> AnswerFuture<'a, Option<StoreItem>>;
    fn read_page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> AnswerFuture<'a, StorePage>;
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
        wait: Duration,
    ) -> AnswerFuture<'a, StoreWatch>;
    fn write(&self, write: StoreWrite) -> AnswerFuture<'_, StoreRevision>;
    fn open_lease(&self, ttl: Duration) -> AnswerFuture<'_, LeaseGrant>;
    fn renew_lease(&self, lease: LeaseId) -> AnswerFuture<'_, ()>;
    fn end_lease(&self, lease: LeaseId) -> AnswerFuture<'_, ()>;
}

impl<P: StorePort> ErasedPort for P {
    fn read_item<'a>(&'a self, key: &'a str) -> AnswerFuture<'a, Option<StoreItem>> {
        Box::pin(StorePort::read_item(self, key))
    }

    fn read_page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> AnswerFuture<'a, StorePage> {
        Box::pin(StorePort::read_page(self, prefix, after))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
        wait: Duration,
    ) -> AnswerFuture<'a, StoreWatch> {
        Box::pin(StorePort::watch(self, prefix, after, wait))
    }

    fn write(&self, write: StoreWrite) -> AnswerFuture<'_, StoreRevision> {
        Box::pin(StorePort::write(self, write))
    }

    fn open_lease(&self, ttl: Duration) -> AnswerFuture<'_, LeaseGrant> {
        Box::pin(StorePort::open_lease(self, ttl))
    }

    fn renew_lease(&self, lease: LeaseId) -> AnswerFuture<'_, ()> {
        Box::pin(StorePort::renew_lease(self, lease))
    }

    fn end_lease(&self, lease: LeaseId) -> AnswerFuture<'_, ()> {
        Box::pin(StorePort::end_lease(self, lease))
    }
}

/// Labels of the `store_calls` counter: the kind of a call and its result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

/// What all clones of a client share.
struct ClientShared {
    port: Box<dyn ErasedPort>,
    timeout: Duration,
    created_at: Instant,
    budget: Mutex<CallBudget>,
    calls_sent: AtomicU64,
    call_counters: Family<CallLabels, Counter>,
}

/// Calls the store through a port. Cheap to clone; clones share the port, the budget and the counters.
///
/// The client never repeats a call, because only the caller knows whether repeating it is safe.
#[derive(Clone)]
pub struct StoreClient {
    shared: Arc<ClientShared>,
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreClient")
            .field("timeout", &self.shared.timeout)
            .field("calls", &self.calls())
            .finish_non_exhaustive()
    }
}

impl StoreClient {
    /// Creates a client over a port. `timeout` limits the wait for each answer, in addition to the time that a watch
    /// waits for changes.
    pub fn new(port: impl StorePort, timeout: Duration) -> Self {
        let shared = ClientShared {
            port: Box::new(port),
            timeout,
            created_at: Instant::now(),
            budget: Mutex::new(CallBudget::new(CALLS_PER_SECOND, CALL_BURST)),
            calls_sent: AtomicU64::new(0),
            call_counters: Family::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the budget of calls.
    #[must_use]
    pub fn with_budget(self, budget: CallBudget) -> Self {
        let budget_guard = self.shared.budget.lock();
        *budget_guard.unwrap_or_else(PoisonError::into_inner) = budget;
        self
    }

    /// Returns the number of calls sent so far; a watch counts as one call however long it waits.
    pub fn calls(&self) -> u64 {
        self.shared.calls_sent.load(Ordering::Relaxed)
    }

    /// Registers the counter of calls by kind and result.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "store_calls",
            "Calls to the store by kind and result",
            self.shared.call_counters.clone(),
        );
    }

    /// Reads the item of a key; returns `None` if the key is absent.
    pub async fn get(&self, key: impl AsRef<str>) -> Result<Option<StoreItem>, StoreError> {
        StorePort::read_item(self, key.as_ref()).await
    }

    /// Writes a value if the key is at the expected revision, and returns the new revision. `None` writes
    /// unconditionally.
    pub async fn put(
        &self,
        key: impl AsRef<str>,
        value: impl Into<Bytes>,
        expected: Option<StoreRevision>,
    ) -> Result<StoreRevision, StoreError> {
        let write = StoreWrite {
            key: CompactString::new(key),
            value: value.into(),
            expected,
            lease: None,
        };
        StorePort::write(self, write).await
    }

    /// Reads all items whose keys begin with a prefix, in key order. If they take several pages, the result isn't a
    /// snapshot.
    pub async fn list(&self, prefix: impl AsRef<str>) -> Result<Vec<StoreItem>, StoreError> {
        let prefix = prefix.as_ref();
        let mut items: Vec<StoreItem> = Vec::new();
        loop {
            let last_key = items.last().map(|item| item.key.clone());
            let page = StorePort::read_page(self, prefix, last_key.as_deref()).await?;
            let is_last_page = page.items.is_empty() || !page.has_more;
            items.extend(page.items);
            if is_last_page {
                return Ok(items);
            }
        }
    }

    /// Makes one call if the budget allows it and counts it by its result.
    async fn call<T>(
        &self,
        call: &'static str,
        wait: Duration,
        answer_future: AnswerFuture<'_, T>,
    ) -> Result<T, StoreError> {
        let call_result = if self.try_take_budget() {
            self.shared.calls_sent.fetch_add(1, Ordering::Relaxed);
            answer_within(self.shared.timeout + wait, answer_future).await
        } else {
            Err(StoreError::Refused {
                reason: CompactString::const_new("this process has used up its budget of calls"),
            })
        };
        let result = match &call_result {
            Err(error) if error.is_refusal() => "refused",
            Err(StoreError::Lost { .. }) => "lost",
            Err(StoreError::Malformed { .. }) => "malformed",
            Ok(_) | Err(_) => "answered",
        };
        let labels = CallLabels { call, result };
        self.shared.call_counters.get_or_create(&labels).inc();
        call_result
    }

    fn try_take_budget(&self) -> bool {
        let now = self.shared.created_at.elapsed();
        let budget_guard = self.shared.budget.lock();
        budget_guard
            .unwrap_or_else(PoisonError::into_inner)
            .try_take(now)
    }
}

impl StorePort for StoreClient {
    async fn read_item(&self, key: &str) -> Result<Option<StoreItem>, StoreError> {
        let answer_future = self.shared.port.read_item(key);
        self.call("read-item", Duration::ZERO, answer_future).await
    }

    async fn read_page(&self, prefix: &str, after: Option<&str>) -> Result<StorePage, StoreError> {
        let answer_future = self.shared.port.read_page(prefix, after);
        self.call("read-page", Duration::ZERO, answer_future).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let answer_future = self.shared.port.watch(prefix, after, wait);
        self.call("watch", wait, answer_future).await
    }

    async fn write(&self, write: StoreWrite) -> Result<StoreRevision, StoreError> {
        let size = write.value.len();
        if size > VALUE_LIMIT {
            let reason = format_compact!("{size} bytes exceed the limit of {VALUE_LIMIT}");
            return Err(StoreError::Refused { reason });
        }
        let answer_future = self.shared.port.write(write);
        self.call("write", Duration::ZERO, answer_future).await
    }

    async fn open_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let answer_future = self.shared.port.open_lease(ttl);
        self.call("open-lease", Duration::ZERO, answer_future).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let answer_future = self.shared.port.renew_lease(lease);
        self.call("renew-lease", Duration::ZERO, answer_future)
            .await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let answer_future = self.shared.port.end_lease(lease);
        self.call("end-lease", Duration::ZERO, answer_future).await
    }
}
