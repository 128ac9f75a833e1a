//! The client of the platform's service.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::budget::CallBudget;
use super::error::PlatformError;
use super::message::VmRecord;
use super::transport::Transport;

/// Largest value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Calls a second that one process may make on average.
const CALL_RATE: f64 = 100.0;
/// Calls that one process may make at once.
const CALL_BURST: f64 = 400.0;

const VERSION_HEADER: &str = "x-version";
const EXPECT_HEADER: &str = "x-expect";
const LEASE_HEADER: &str = "x-lease";

/// Version of a stored value; zero stands for an absent key.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoredVersion(pub u64);

impl StoredVersion {
    /// The version of a key that is not there.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for StoredVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Its version.
    pub version: StoredVersion,
    /// The value, opaque to the service.
    pub value: Bytes,
}

/// What a write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expectation {
    /// Anything.
    Any,
    /// No such key.
    Absent,
    /// This version.
    Version(StoredVersion),
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any"),
            Self::Absent | Self::Version(StoredVersion::ABSENT) => f.write_str("absent"),
            Self::Version(version) => write!(f, "{version}"),
        }
    }
}

/// One line of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The key.
    pub key: CompactString,
    /// Its version.
    pub version: StoredVersion,
}

/// What a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchChange {
    /// The key has another version now.
    Changed(StoredValue),
    /// The key is absent now.
    Deleted,
}

/// A lease: its keys are deleted when it is not kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub CompactString);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

#[derive(Debug)]
struct ClientShared {
    transport: Transport,
    timeout: Duration,
    started: Instant,
    budget: Mutex<CallBudget>,
    calls: AtomicU64,
    counters: Family<CallLabels, Counter>,
}

/// Calls the platform's service. Cheap to clone; clones share connections, budget and counters.
///
/// No call is repeated in here: whether repeating is safe is known only to the caller.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    shared: Arc<ClientShared>,
}

impl PlatformClient {
    /// Makes a client for the service at `address`; `timeout` bounds each answer beyond what a watch waits.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let shared = ClientShared {
            transport: Transport::new(address),
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
            "platform_calls",
            "Calls to the platform's service by kind and result",
            self.shared.counters.clone(),
        );
    }

    /// Reads a value; none if the key is absent.
    pub async fn get(&self, key: impl AsRef<str>) -> Result<Option<StoredValue>, PlatformError> {
        let request = request(Method::GET, format!("/kv/{}", key.as_ref()));
        let response = self.call("get", request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK => stored_value(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Writes a value if the expectation holds, and returns its version.
    pub async fn put(
        &self,
        key: impl AsRef<str>,
        value: impl Into<Bytes>,
        expect: Expectation,
    ) -> Result<StoredVersion, PlatformError> {
        self.put_with(key.as_ref(), value.into(), expect, None)
            .await
    }

    /// Writes a value that is deleted when the lease lapses.
    pub async fn put_leased(
        &self,
        key: impl AsRef<str>,
        value: impl Into<Bytes>,
        expect: Expectation,
        lease: &LeaseId,
    ) -> Result<StoredVersion, PlatformError> {
        self.put_with(key.as_ref(), value.into(), expect, Some(lease))
            .await
    }

    async fn put_with(
        &self,
        key: &str,
        value: Bytes,
        expect: Expectation,
        lease: Option<&LeaseId>,
    ) -> Result<StoredVersion, PlatformError> {
        if value.len() > VALUE_LIMIT {
            let size = value.len();
            let reason = format_compact!("{size} bytes exceed the limit of {VALUE_LIMIT}");
            return Err(PlatformError::Refused { reason });
        }
        let mut builder = Request::builder()
            .method(Method::PUT)
            .uri(format!("/kv/{key}"))
            .header(EXPECT_HEADER, expect.to_string());
        if let Some(lease) = lease {
            builder = builder.header(LEASE_HEADER, lease.0.as_str());
        }
        let response = self
            .call("put", builder.body(Full::new(value)), Duration::ZERO)
            .await?;
        match response.status() {
            StatusCode::OK => version_header(&response),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict {
                current: version_header(&response)?,
            }),
            status => Err(unexpected(status)),
        }
    }

    /// Deletes a key if the expectation holds.
    pub async fn delete(
        &self,
        key: impl AsRef<str>,
        expect: Expectation,
    ) -> Result<(), PlatformError> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("/kv/{}", key.as_ref()))
            .header(EXPECT_HEADER, expect.to_string())
            .body(Full::default());
        let response = self.call("delete", request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict {
                current: version_header(&response)?,
            }),
            status => Err(unexpected(status)),
        }
    }

    /// Lists the keys below a prefix, sorted, at most a thousand.
    pub async fn list(&self, prefix: impl AsRef<str>) -> Result<Vec<KeyVersion>, PlatformError> {
        let request = request(Method::GET, format!("/list/{}", prefix.as_ref()));
        let response = self.call("list", request, Duration::ZERO).await?;
        json_body(&response)
    }

    /// Waits until the key's version differs from `after`; none if it still is the same after `wait`.
    ///
    /// A watch names the version it has seen, so nothing that happens between two watches is missed: the next one
    /// answers at once.
    pub async fn watch(
        &self,
        key: impl AsRef<str>,
        after: StoredVersion,
        wait: Duration,
    ) -> Result<Option<WatchChange>, PlatformError> {
        let key = key.as_ref();
        let millis = wait.as_millis();
        let path = format!("/watch/{key}?after={after}&wait-ms={millis}");
        let response = self.call("watch", request(Method::GET, path), wait).await?;
        match response.status() {
            StatusCode::OK => stored_value(response).map(|value| Some(WatchChange::Changed(value))),
            StatusCode::NOT_FOUND => Ok(Some(WatchChange::Deleted)),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Takes a lease that lapses unless it is kept within `ttl`.
    pub async fn lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        #[derive(Deserialize)]
        struct LeaseAnswer {
            lease: LeaseId,
        }
        let path = format!("/lease?ttl-ms={}", ttl.as_millis());
        let response = self
            .call("lease", request(Method::POST, path), Duration::ZERO)
            .await?;
        json_body::<LeaseAnswer>(&response).map(|answer| answer.lease)
    }

    /// Keeps a lease for another time to live.
    pub async fn keep(&self, lease: &LeaseId) -> Result<(), PlatformError> {
        let path = format!("/lease/{lease}/keep");
        let response = self
            .call("keep", request(Method::POST, path), Duration::ZERO)
            .await?;
        match response.status() {
            StatusCode::NO_CONTENT | StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(PlatformError::LeaseLapsed),
            status => Err(unexpected(status)),
        }
    }

    /// Reads the VM list, which lags.
    pub async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        let request = request(Method::GET, "/vms".to_owned());
        let response = self.call("vms", request, Duration::ZERO).await?;
        json_body(&response)
    }

    /// Sends one call and counts it with its result.
    async fn call(
        &self,
        call: &'static str,
        request: Result<Request<Full<Bytes>>, http::Error>,
        wait: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let answered = self.call_uncounted(request, wait).await;
        let result = match &answered {
            Ok(_) => "answered",
            Err(PlatformError::Refused { .. }) => "refused",
            Err(PlatformError::Timeout { .. }) => "timeout",
            Err(_) => "lost",
        };
        let labels = CallLabels { call, result };
        self.shared.counters.get_or_create(&labels).inc();
        answered
    }

    async fn call_uncounted(
        &self,
        request: Result<Request<Full<Bytes>>, http::Error>,
        wait: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let request = request.map_err(|error| PlatformError::Refused {
            reason: format_compact!("not a valid key: {error}"),
        })?;
        if !self.take_budget() {
            let reason = CompactString::const_new("this process has used up its budget of calls");
            return Err(PlatformError::Refused { reason });
        }
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let within = self.shared.timeout + wait;
        let response = self.shared.transport.call(request, within).await?;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let reason = format_compact!("the service answered {}", response.status());
                Err(PlatformError::Refused { reason })
            }
            _ => Ok(response),
        }
    }

    fn take_budget(&self) -> bool {
        let now = self.shared.started.elapsed();
        let mut budget = self
            .shared
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        budget.take(now)
    }
}

fn request(method: Method, path: String) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::default())
}

fn unexpected(status: StatusCode) -> PlatformError {
    let reason = format_compact!("unexpected status {status}");
    if status.is_client_error() {
        PlatformError::Refused { reason }
    } else {
        PlatformError::Malformed { reason }
    }
}

fn version_header(response: &Response<Bytes>) -> Result<StoredVersion, PlatformError> {
    let value = response.headers().get(VERSION_HEADER);
    let number = value.and_then(|value| value.to_str().ok()?.parse().ok());
    number
        .map(StoredVersion)
        .ok_or_else(|| PlatformError::Malformed {
            reason: format_compact!("the header `{VERSION_HEADER}` is missing or not a number"),
        })
}

fn stored_value(response: Response<Bytes>) -> Result<StoredValue, PlatformError> {
    let version = version_header(&response)?;
    let value = response.into_body();
    Ok(StoredValue { version, value })
}

fn json_body<T: for<'a> Deserialize<'a>>(response: &Response<Bytes>) -> Result<T, PlatformError> {
    if !response.status().is_success() {
        return Err(unexpected(response.status()));
    }
    serde_json::from_slice(response.body()).map_err(|error| PlatformError::Malformed {
        reason: format_compact!("{error}"),
    })
}
