//! The calls of one process on the store: bounded in time, counted by kind and result, and within a budget.

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

/// Largest value, in bytes: what the store takes under one key.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Calls a second that one process may make on average: a quarter of the 400 writes a second that all VMs share.
const CALL_RATE: f64 = 100.0;
/// Calls that one process may make at once: one second of all VMs' writes.
const CALL_BURST: f64 = 400.0;

type Answer<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// A port whose type is forgotten, so that what holds it needs no type parameter.
trait ErasedPort: Send + Sync {
    fn read_item<'a>(&'a self, key: &'a str) -> Answer<'a, Option<StoreItem>>;
    fn read_page<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> Answer<'a, StorePage>;
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
        wait: Duration,
    ) -> Answer<'a, StoreWatch>;
    fn write(&self, write: StoreWrite) -> Answer<'_, StoreRevision>;
    fn open_lease(&self, ttl: Duration) -> Answer<'_, LeaseGrant>;
    fn renew_lease(&self, lease: LeaseId) -> Answer<'_, ()>;
    fn end_lease(&self, lease: LeaseId) -> Answer<'_, ()>;
}

impl<P: StorePort> ErasedPort for P {
    fn read_item<'a>(&'a self, key: &'a str) -> Answer<'a, Option<StoreItem>> {
        Box::pin(StorePort::read_item(self, key))
    }

    fn read_page<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> Answer<'a, StorePage> {
        Box::pin(StorePort::read_page(self, prefix, after))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreRevision,
        wait: Duration,
    ) -> Answer<'a, StoreWatch> {
        Box::pin(StorePort::watch(self, prefix, after, wait))
    }

    fn write(&self, write: StoreWrite) -> Answer<'_, StoreRevision> {
        Box::pin(StorePort::write(self, write))
    }

    fn open_lease(&self, ttl: Duration) -> Answer<'_, LeaseGrant> {
        Box::pin(StorePort::open_lease(self, ttl))
    }

    fn renew_lease(&self, lease: LeaseId) -> Answer<'_, ()> {
        Box::pin(StorePort::renew_lease(self, lease))
    }

    fn end_lease(&self, lease: LeaseId) -> Answer<'_, ()> {
        Box::pin(StorePort::end_lease(self, lease))
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

struct ClientShared {
    port: Box<dyn ErasedPort>,
    timeout: Duration,
    started: Instant,
    budget: Mutex<CallBudget>,
    calls: AtomicU64,
    counters: Family<CallLabels, Counter>,
}

/// Calls the store through a port. Cheap to clone; clones share the port, the budget and the counters.
///
/// No call is repeated in here: whether repeating is safe is known only to the caller.
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
    /// Makes a client over a port; `timeout` bounds each answer beyond what a watch waits.
    pub fn new(port: impl StorePort, timeout: Duration) -> Self {
        let shared = ClientShared {
            port: Box::new(port),
            timeout,
            started: Instant::now(),
            budget: Mutex::new(CallBudget::new(CALL_RATE, CALL_BURST)),
            calls: AtomicU64::new(0),
            counters: Family::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the budget of calls.
    #[must_use]
    pub fn with_budget(self, budget: CallBudget) -> Self {
        let held = self.shared.budget.lock();
        *held.unwrap_or_else(PoisonError::into_inner) = budget;
        self
    }

    /// Calls sent so far, a waiting watch counted as one.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Registers the counter of calls by kind and result.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "store_calls",
            "Calls to the store by kind and result",
            self.shared.counters.clone(),
        );
    }

    /// Reads a value; none if the key is absent.
    pub async fn get(&self, key: impl AsRef<str>) -> Result<Option<StoreItem>, StoreError> {
        StorePort::read_item(self, key.as_ref()).await
    }

    /// Writes a value if the key is at the expected revision, and returns the new one. `None` expects nothing.
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

    /// Reads all items below a prefix, by key. Several pages are not a snapshot.
    pub async fn list(&self, prefix: impl AsRef<str>) -> Result<Vec<StoreItem>, StoreError> {
        let prefix = prefix.as_ref();
        let mut items: Vec<StoreItem> = Vec::new();
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = StorePort::read_page(self, prefix, after.as_deref()).await?;
            let last = page.items.is_empty() || !page.more;
            items.extend(page.items);
            if last {
                return Ok(items);
            }
        }
    }

    /// Makes one call within the budget and counts it with its result.
    async fn call<T>(
        &self,
        call: &'static str,
        wait: Duration,
        answer: Answer<'_, T>,
    ) -> Result<T, StoreError> {
        let answered = if self.take_budget() {
            self.shared.calls.fetch_add(1, Ordering::Relaxed);
            answer_within(self.shared.timeout + wait, answer).await
        } else {
            Err(StoreError::Refused {
                reason: CompactString::const_new("this process has used up its budget of calls"),
            })
        };
        let result = match &answered {
            Err(error) if error.is_refusal() => "refused",
            Err(StoreError::Lost { .. }) => "lost",
            Err(StoreError::Malformed { .. }) => "malformed",
            Ok(_) | Err(_) => "answered",
        };
        let labels = CallLabels { call, result };
        self.shared.counters.get_or_create(&labels).inc();
        answered
    }

    fn take_budget(&self) -> bool {
        let now = self.shared.started.elapsed();
        let budget = self.shared.budget.lock();
        budget.unwrap_or_else(PoisonError::into_inner).take(now)
    }
}

impl StorePort for StoreClient {
    async fn read_item(&self, key: &str) -> Result<Option<StoreItem>, StoreError> {
        let answer = self.shared.port.read_item(key);
        self.call("read-item", Duration::ZERO, answer).await
    }

    async fn read_page(&self, prefix: &str, after: Option<&str>) -> Result<StorePage, StoreError> {
        let answer = self.shared.port.read_page(prefix, after);
        self.call("read-page", Duration::ZERO, answer).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let answer = self.shared.port.watch(prefix, after, wait);
        self.call("watch", wait, answer).await
    }

    async fn write(&self, write: StoreWrite) -> Result<StoreRevision, StoreError> {
        let size = write.value.len();
        if size > VALUE_LIMIT {
            let reason = format_compact!("{size} bytes exceed the limit of {VALUE_LIMIT}");
            return Err(StoreError::Refused { reason });
        }
        let answer = self.shared.port.write(write);
        self.call("write", Duration::ZERO, answer).await
    }

    async fn open_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let answer = self.shared.port.open_lease(ttl);
        self.call("open-lease", Duration::ZERO, answer).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let answer = self.shared.port.renew_lease(lease);
        self.call("renew-lease", Duration::ZERO, answer).await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let answer = self.shared.port.end_lease(lease);
        self.call("end-lease", Duration::ZERO, answer).await
    }
}
