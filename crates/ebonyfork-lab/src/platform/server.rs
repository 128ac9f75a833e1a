//! The HTTP server over the stored state.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyfork::platform::{VmRecord, VmState};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::RunClock;
use crate::error::LabError;
use crate::http_server::{
    BrokenConnection, StandInReply, body_reply, empty_reply, header_text, header_value, read_body,
    serve_connection, set_header,
};
use crate::platform::fault::{CallCounts, CallKind, PlatformFaults, RateBucket, RateLimits};
use crate::platform::store::{KeyStore, WriteError, WriteExpectation, is_key};

/// Largest value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Longest time that a watch is held.
const WATCH_LIMIT: Duration = Duration::from_mins(5);
/// How often lapsed leases are looked for.
const LEASE_TICK: Duration = Duration::from_millis(20);
/// Seed of the shares of lost calls and answers.
const FAULT_SEED: u64 = 0x706c_6174;

/// A running platform stand-in; it stops when dropped.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::platform::{OutageKind, PlatformFaults, PlatformStandIn};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let platform = PlatformStandIn::start("127.0.0.1:0".parse()?).await?;
/// platform.put("index/tender", r#"{"epoch":1,"versions":[]}"#);
/// let outage = Some(OutageKind::Unavailable);
/// platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
/// assert_eq!(platform.calls().total(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    shared: Arc<PlatformShared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct PlatformShared {
    clock: RunClock,
    state: Mutex<PlatformState>,
    /// Counts up whenever a watch must look again.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct PlatformState {
    store: KeyStore,
    faults: PlatformFaults,
    calls: CallCounts,
    reads: RateBucket,
    writes: RateBucket,
    lose_answers: u32,
    lose_calls: u32,
    rng: ChaCha8Rng,
    vm_lag: Duration,
    /// Lists by the time they became true, oldest first; never empty.
    vm_lists: VecDeque<(Duration, Vec<VmRecord>)>,
    leaving_shown: BTreeMap<SocketAddr, Duration>,
}

/// What a fault does to one call.
#[derive(Debug, Clone, Copy)]
struct CallFate {
    delay: Duration,
    lost_before: bool,
    lost_after: bool,
}

impl PlatformStandIn {
    /// Starts on an address; port 0 picks a free one.
    pub async fn start(listen: SocketAddr) -> Result<Self, LabError> {
        Self::start_with_clock(listen, RunClock::start()).await
    }

    /// Starts with the clock of a run.
    pub async fn start_with_clock(listen: SocketAddr, clock: RunClock) -> Result<Self, LabError> {
        let error = |source| LabError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let (changes, _) = watch::channel(0);
        let state = Mutex::new(PlatformState::new(clock.now()));
        let shared = Arc::new(PlatformShared {
            clock,
            state,
            changes,
        });
        let stop = CancellationToken::new();
        let accepting = accept_connections(listener, Arc::clone(&shared), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        let expiring = expire_leases(Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(expiring));
        Ok(Self {
            address,
            shared,
            stop,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the VM list; callers see it after the lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        let now = self.shared.clock.now();
        self.shared.state().vm_lists.push_back((now, vms));
    }

    /// Returns the VM list as it is, without lag.
    pub fn vms(&self) -> Vec<VmRecord> {
        let state = self.shared.state();
        let (_, vms) = state.vm_lists.back().cloned().unwrap_or_default();
        vms
    }

    /// Sets how far the VM list lags behind.
    pub fn set_vm_lag(&self, lag: Duration) {
        self.shared.state().vm_lag = lag;
    }

    /// Replaces the faults in force; waiting watches feel them too.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.state().faults = faults;
        self.shared.signal_change();
    }

    /// Loses the answers of the next writes after they took effect.
    pub fn lose_answers(&self, writes: u32) {
        self.shared.state().lose_answers = writes;
    }

    /// Loses the next writes before they take effect.
    pub fn lose_calls(&self, writes: u32) {
        self.shared.state().lose_calls = writes;
    }

    /// Replaces the rates.
    pub fn set_rates(&self, limits: RateLimits) {
        let mut state = self.shared.state();
        state.reads = RateBucket::new(limits.reads);
        state.writes = RateBucket::new(limits.writes);
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> CallCounts {
        self.shared.state().calls
    }

    /// Writes a key from the side, without a call.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let mut state = self.shared.state();
        let written = state
            .store
            .put(key, value.into(), WriteExpectation::Any, None);
        drop(state);
        self.shared.signal_change();
        written.unwrap_or_default()
    }

    /// Reads a key from the side, without a call.
    pub fn get(&self, key: &str) -> Option<(Bytes, u64)> {
        let state = self.shared.state();
        let stored = state.store.get(key)?;
        Some((stored.value.clone(), stored.version))
    }

    /// Takes a backup of the stored data.
    pub fn backup(&self) -> KeyStore {
        self.shared.state().store.clone()
    }

    /// Restarts with the data of a backup: what was written since is gone.
    pub fn restart_with(&self, backup: KeyStore) {
        self.shared.state().store = backup;
        self.shared.signal_change();
    }

    /// Returns when each upstream was first shown as leaving in an answered VM list.
    pub fn leaving_shown(&self) -> BTreeMap<SocketAddr, Duration> {
        self.shared.state().leaving_shown.clone()
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl PlatformState {
    fn new(now: Duration) -> Self {
        let limits = RateLimits::default();
        Self {
            store: KeyStore::default(),
            faults: PlatformFaults::default(),
            calls: CallCounts::default(),
            reads: RateBucket::new(limits.reads),
            writes: RateBucket::new(limits.writes),
            lose_answers: 0,
            lose_calls: 0,
            rng: ChaCha8Rng::seed_from_u64(FAULT_SEED),
            vm_lag: Duration::ZERO,
            vm_lists: VecDeque::from([(now, Vec::new())]),
            leaving_shown: BTreeMap::new(),
        }
    }

    /// Counts a call and tells whether its rate allows it.
    fn admit(&mut self, kind: CallKind, now: Duration) -> bool {
        self.calls.add(kind);
        let bucket = if kind.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        let admitted = bucket.take(now);
        if !admitted {
            self.calls.limited += 1;
        }
        admitted
    }

    fn fate(&mut self, kind: CallKind) -> CallFate {
        let mut fate = CallFate {
            delay: self.faults.delay,
            lost_before: self.rng.random_bool(self.faults.lost_calls.clamp(0.0, 1.0)),
            lost_after: self
                .rng
                .random_bool(self.faults.lost_answers.clamp(0.0, 1.0)),
        };
        if kind.is_write() && self.lose_calls > 0 {
            self.lose_calls -= 1;
            fate.lost_before = true;
        }
        if kind.is_write() && !fate.lost_before && self.lose_answers > 0 {
            self.lose_answers -= 1;
            fate.lost_after = true;
        }
        fate
    }

    /// Returns the list as it was one lag ago, or the oldest that is known.
    fn lagging_vms(&mut self, now: Duration) -> Vec<VmRecord> {
        let shown = now.saturating_sub(self.vm_lag);
        while self
            .vm_lists
            .get(1)
            .is_some_and(|(since, _)| *since <= shown)
        {
            self.vm_lists.pop_front();
        }
        let vms = self.vm_lists.front().map(|(_, vms)| vms.clone());
        let vms = vms.unwrap_or_default();
        for record in &vms {
            let (VmState::Leaving, Some(port)) = (record.state, record.port) else {
                continue;
            };
            let address = SocketAddr::new(record.ip, port);
            self.leaving_shown.entry(address).or_insert(now);
        }
        vms
    }
}

impl PlatformShared {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn signal_change(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}

async fn accept_connections(
    listener: TcpListener,
    shared: Arc<PlatformShared>,
    stop: CancellationToken,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(LEASE_TICK).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let serving = serve_connection(stream, move |request| {
            answer_call(Arc::clone(&shared), request)
        });
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
    }
}

async fn expire_leases(shared: Arc<PlatformShared>) {
    loop {
        tokio::time::sleep(LEASE_TICK).await;
        let now = shared.clock.now();
        if shared.state().store.expire(now) {
            shared.signal_change();
        }
    }
}

async fn answer_call(
    shared: Arc<PlatformShared>,
    request: Request<Incoming>,
) -> Result<StandInReply, BrokenConnection> {
    let Some(kind) = call_kind(request.method(), request.uri().path()) else {
        return Ok(empty_reply(StatusCode::NOT_FOUND));
    };
    let (admitted, fate) = {
        let mut state = shared.state();
        let admitted = state.admit(kind, shared.clock.now());
        (admitted, state.fate(kind))
    };
    suffer_outage(&shared).await?;
    if let Some(reply) = outage_reply(&shared) {
        return Ok(reply);
    }
    if !admitted {
        return Ok(empty_reply(StatusCode::TOO_MANY_REQUESTS));
    }
    if fate.lost_before {
        return Err(BrokenConnection);
    }
    tokio::time::sleep(fate.delay).await;
    let reply = run_call(&shared, kind, request).await?;
    if fate.lost_after {
        return Err(BrokenConnection);
    }
    Ok(reply)
}

fn call_kind(method: &Method, path: &str) -> Option<CallKind> {
    if path.starts_with("/kv/") {
        return match *method {
            Method::GET => Some(CallKind::Get),
            Method::PUT => Some(CallKind::Put),
            Method::DELETE => Some(CallKind::Delete),
            _ => None,
        };
    }
    match *method {
        Method::GET if path.starts_with("/list/") => Some(CallKind::List),
        Method::GET if path.starts_with("/watch/") => Some(CallKind::Watch),
        Method::GET if path == "/vms" => Some(CallKind::Vms),
        Method::POST if path == "/lease" || path.starts_with("/lease/") => Some(CallKind::Lease),
        _ => None,
    }
}

/// Waits out a silent outage; fails where the outage breaks connections.
async fn suffer_outage(shared: &PlatformShared) -> Result<(), BrokenConnection> {
    use crate::platform::fault::OutageKind;
    let mut changes = shared.changes.subscribe();
    loop {
        let outage = shared.state().faults.outage;
        match outage {
            Some(OutageKind::Broken) => return Err(BrokenConnection),
            Some(OutageKind::Silent) => {}
            Some(OutageKind::Unavailable) | None => return Ok(()),
        }
        changes.changed().await.map_err(|_error| BrokenConnection)?;
    }
}

fn outage_reply(shared: &PlatformShared) -> Option<StandInReply> {
    let outage = shared.state().faults.outage;
    outage.map(|_| empty_reply(StatusCode::SERVICE_UNAVAILABLE))
}

async fn run_call(
    shared: &PlatformShared,
    kind: CallKind,
    request: Request<Incoming>,
) -> Result<StandInReply, BrokenConnection> {
    let path = request.uri().path().to_owned();
    let rest = path.splitn(3, '/').nth(2).unwrap_or_default();
    if !matches!(kind, CallKind::Lease | CallKind::Vms | CallKind::List) && !is_key(rest) {
        return Ok(empty_reply(StatusCode::BAD_REQUEST));
    }
    Ok(match kind {
        CallKind::Get => read_key(shared, rest),
        CallKind::Put => write_key(shared, rest, request).await,
        CallKind::Delete => delete_key(shared, rest, &request),
        CallKind::List => list_keys(shared, rest),
        CallKind::Watch => return watch_key(shared, rest, &request).await,
        CallKind::Lease => lease_call(shared, &path, &request),
        CallKind::Vms => {
            let vms = shared.state().lagging_vms(shared.clock.now());
            json_reply(&vms)
        }
    })
}

fn json_reply(value: &impl Serialize) -> StandInReply {
    match serde_json::to_vec(value) {
        Ok(body) => body_reply(StatusCode::OK, body),
        Err(_) => empty_reply(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn read_key(shared: &PlatformShared, key: &str) -> StandInReply {
    let state = shared.state();
    let Some(stored) = state.store.get(key) else {
        return empty_reply(StatusCode::NOT_FOUND);
    };
    let mut reply = body_reply(StatusCode::OK, stored.value.clone());
    set_header(&mut reply, "x-version", stored.version);
    reply
}

async fn write_key(shared: &PlatformShared, key: &str, request: Request<Incoming>) -> StandInReply {
    let expectation = header_value(request.headers(), "x-expect");
    let lease = header_text(request.headers(), "x-lease").map(str::parse);
    let (Some(expectation), Ok(lease)) = (expectation, lease.transpose()) else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let Some(value) = read_body(request.into_body(), VALUE_LIMIT).await else {
        return empty_reply(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let written = shared.state().store.put(key, value, expectation, lease);
    write_reply(shared, written)
}

fn delete_key(shared: &PlatformShared, key: &str, request: &Request<Incoming>) -> StandInReply {
    let Some(expectation) = header_value(request.headers(), "x-expect") else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let deleted = shared.state().store.delete(key, expectation);
    write_reply(shared, deleted.map(|()| 0))
}

fn write_reply(shared: &PlatformShared, written: Result<u64, WriteError>) -> StandInReply {
    let (status, version) = match written {
        Ok(version) => (StatusCode::OK, version),
        Err(WriteError::Conflict(current)) => (StatusCode::PRECONDITION_FAILED, current),
        Err(WriteError::LeaseLapsed) => return empty_reply(StatusCode::NOT_FOUND),
    };
    if status == StatusCode::OK {
        shared.signal_change();
    }
    let mut reply = empty_reply(status);
    set_header(&mut reply, "x-version", version);
    reply
}

#[derive(Debug, Serialize)]
struct ListedKey<'a> {
    key: &'a str,
    version: u64,
}

fn list_keys(shared: &PlatformShared, prefix: &str) -> StandInReply {
    let state = shared.state();
    let keys = state.store.list(prefix).into_iter();
    let keys: Vec<ListedKey<'_>> = keys
        .map(|(key, version)| ListedKey { key, version })
        .collect();
    json_reply(&keys)
}

async fn watch_key(
    shared: &PlatformShared,
    key: &str,
    request: &Request<Incoming>,
) -> Result<StandInReply, BrokenConnection> {
    let after = query_number(request, "after");
    let wait = query_number(request, "wait-ms");
    let (Some(after), Some(wait)) = (after, wait) else {
        return Ok(empty_reply(StatusCode::BAD_REQUEST));
    };
    let ends =
        shared.clock.instant(shared.clock.now()) + Duration::from_millis(wait).min(WATCH_LIMIT);
    let mut changes = shared.changes.subscribe();
    loop {
        suffer_outage(shared).await?;
        if let Some(reply) = outage_reply(shared) {
            return Ok(reply);
        }
        if shared.state().store.version(key) != after {
            return Ok(read_key(shared, key));
        }
        let changed = tokio::time::timeout_at(ends, changes.changed()).await;
        if changed.is_err() {
            return Ok(empty_reply(StatusCode::NO_CONTENT));
        }
    }
}

#[derive(Debug, Serialize)]
struct GrantedLease {
    lease: String,
}

fn lease_call(shared: &PlatformShared, path: &str, request: &Request<Incoming>) -> StandInReply {
    let now = shared.clock.now();
    if path == "/lease" {
        let Some(ttl) = query_number(request, "ttl-ms") else {
            return empty_reply(StatusCode::BAD_REQUEST);
        };
        let lease = shared.state().store.grant(now, Duration::from_millis(ttl));
        return json_reply(&GrantedLease {
            lease: lease.to_string(),
        });
    }
    let id = path
        .strip_prefix("/lease/")
        .and_then(|rest| rest.strip_suffix("/keep"));
    let Some(id) = id else {
        return empty_reply(StatusCode::NOT_FOUND);
    };
    let kept = id
        .parse()
        .is_ok_and(|lease| shared.state().store.keep(now, lease));
    empty_reply(if kept {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    })
}

fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return value.parse().ok();
        }
    }
    None
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
