//! Open connections of callers and what they hold, against the budget.
//!
//! Memory is taken from the budget before it is allocated, and returned when it is freed. If a budget is exhausted,
//! [`choose_yielding`] decides which connection gives way. A body that gives way is freed at once; a connection is closed by
//! its own task, for which [`IntakeTable::admit`] waits.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use rustc_hash::FxHashMap;
use tokio::sync::Notify;

use crate::gateway::{IntakeBudget, IntakeHolding, IntakePhase, ScarceResource, choose_yielding};
use crate::intake::metrics::IntakeMetrics;
use crate::intake::now;

/// Longest wait for a connection that gives way to be closed. Its task only has to run.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of connections that are asked to give way to one new connection at most.
const MAX_YIELDING: usize = 4;
/// Smallest buffer for a body, in bytes.
const MIN_BODY_BUFFER: usize = 1_024;
/// Time between two log lines about one exhausted budget.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Budget of a process for its callers, and what they hold of it. Clones share the state.
#[derive(Debug, Clone)]
pub struct IntakeTable {
    shared: Arc<IntakeShared>,
}

#[derive(Debug)]
struct IntakeShared {
    budget: IntakeBudget,
    state: Mutex<IntakeState>,
    /// Notified when a connection has left the table or goes on in spite of having been asked to give way.
    changed: Notify,
    metrics: IntakeMetrics,
}

#[derive(Debug, Default)]
struct IntakeState {
    connections: FxHashMap<u64, OpenConnection>,
    next_id: u64,
    connection_bytes: usize,
    request_bytes: usize,
    answer_bytes: usize,
    /// When an exhausted budget was last logged, and how often it was met since.
    last_logged: Option<Instant>,
    unlogged: usize,
}

#[derive(Debug)]
struct OpenConnection {
    phase: IntakePhase,
    since: Instant,
    /// Memory that it takes whatever it does, in bytes.
    base_bytes: usize,
    answer_bytes: usize,
    /// Body that is arriving.
    body: Vec<u8>,
    /// Whether it was asked to close.
    closes: bool,
    /// Whether its body was dropped in favour of others.
    body_dropped: bool,
    signals: Arc<SlotSignals>,
}

/// Wakes the task of a connection.
#[derive(Debug, Default)]
struct SlotSignals {
    close: Notify,
    body_drop: Notify,
}

/// Why a body is not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntakeRefusal {
    /// Other callers hold the memory for bodies.
    Full,
    /// The body is longer than the VM can ever hold.
    TooLarge,
}

impl OpenConnection {
    /// Returns what the connection holds of a resource.
    fn holding(&self, resource: ScarceResource) -> IntakeHolding {
        let bytes = match resource {
            ScarceResource::Connections => {
                self.base_bytes + self.body.capacity() + self.answer_bytes
            }
            ScarceResource::Requests => self.body.capacity(),
            ScarceResource::Answers => self.answer_bytes,
        };
        IntakeHolding {
            phase: self.phase,
            since: self.since,
            bytes,
        }
    }
}

impl IntakeState {
    /// Returns the connection that gives way so that a resource is free, among those that were not asked to close already.
    fn choose(&self, resource: ScarceResource, now: Instant) -> Option<u64> {
        let open = self.connections.iter();
        let candidates = open.filter(|(_id, connection)| !connection.closes);
        let holdings = candidates.map(|(id, connection)| (*id, connection.holding(resource)));
        choose_yielding(holdings, resource, now)
    }

    /// Asks the connection that gives way to close; returns what it holds, or `None` if none gives way.
    fn close_one(&mut self, resource: ScarceResource, now: Instant) -> Option<IntakeHolding> {
        let id = self.choose(resource, now)?;
        let connection = self.connections.get_mut(&id)?;
        connection.closes = true;
        connection.signals.close.notify_one();
        Some(connection.holding(resource))
    }

    /// Drops the body that gives way to another request. Returns false if none does, or that of `own_id`.
    fn drop_body(&mut self, own_id: Option<u64>, now: Instant) -> bool {
        let chosen = self.choose(ScarceResource::Requests, now);
        let Some(id) = chosen.filter(|id| Some(*id) != own_id) else {
            return false;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let body = std::mem::take(&mut connection.body);
        connection.body_dropped = true;
        connection.phase = IntakePhase::Running;
        connection.signals.body_drop.notify_one();
        self.request_bytes -= body.capacity();
        true
    }

    /// Logs an exhausted budget, at most once per [`LOG_PERIOD`].
    fn log_exhausted(&mut self, resource: ScarceResource, now: Instant) {
        self.unlogged += 1;
        let elapsed = |since| now.saturating_duration_since(since);
        if self
            .last_logged
            .is_some_and(|since| elapsed(since) < LOG_PERIOD)
        {
            return;
        }
        log::warn!(
            target: "ebonyfork::decision",
            "callers hold all resource={} connections={} connection_bytes={} request_bytes={} answer_bytes={} times={}",
            resource.label(), self.connections.len(), self.connection_bytes, self.request_bytes, self.answer_bytes,
            self.unlogged
        );
        self.last_logged = Some(now);
        self.unlogged = 0;
    }
}

impl IntakeShared {
    fn lock(&self) -> MutexGuard<'_, IntakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_use(&self, state: &IntakeState) {
        let metrics = &self.metrics;
        metrics.connections.set(state.connections.len() as u64);
        metrics.connection_bytes.set(state.connection_bytes as u64);
        metrics.request_bytes.set(state.request_bytes as u64);
        metrics.answer_bytes.set(state.answer_bytes as u64);
    }
}

impl IntakeTable {
    /// Creates an empty table.
    pub fn new(budget: IntakeBudget) -> Self {
        let shared = IntakeShared {
            budget,
            state: Mutex::default(),
            changed: Notify::new(),
            metrics: IntakeMetrics::new(&budget),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the budget.
    pub fn budget(&self) -> &IntakeBudget {
        &self.shared.budget
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &IntakeMetrics {
        &self.shared.metrics
    }

    /// Admits a connection that takes `base_bytes` of memory whatever it does. If there is no room, another one gives way;
    /// returns `None` if none does.
    pub async fn admit(&self, base_bytes: usize) -> Option<IntakeSlot> {
        for _ in 0..=MAX_YIELDING {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            // A connection may close between the attempt and the wait.
            changed.as_mut().enable();
            let now = now();
            if let Some(slot) = self.try_admit(base_bytes, now) {
                return Some(slot);
            }
            if !self.close_one(now) {
                break;
            }
            // Another one is asked if this one doesn't close.
            let _elapsed = tokio::time::timeout(CLOSE_TIMEOUT, changed).await;
        }
        let slot = self.try_admit(base_bytes, now());
        if slot.is_none() {
            self.shared
                .metrics
                .count_refusal(ScarceResource::Connections);
        }
        slot
    }

    /// Asks one more connection to close. Returns false if none gives way.
    fn close_one(&self, now: Instant) -> bool {
        let mut state = self.shared.lock();
        state.log_exhausted(ScarceResource::Connections, now);
        let is_asked = state.close_one(ScarceResource::Connections, now).is_some();
        if is_asked {
            self.shared.metrics.count_yield(ScarceResource::Connections);
        }
        is_asked
    }

    /// Takes memory for the work on a complete request, such as its attempts at many shards. Bodies that are still arriving
    /// give way to it; returns `None` if there is no room even so. Work that exceeds the budget alone takes all of it.
    pub fn take_work(&self, bytes: usize) -> Option<WorkMemory> {
        let now = now();
        let bytes = bytes.min(self.shared.budget.long_request_bytes());
        let mut state = self.shared.lock();
        while !self
            .shared
            .budget
            .allows_request(state.request_bytes, 0, bytes)
        {
            state.log_exhausted(ScarceResource::Requests, now);
            if !state.drop_body(None, now) {
                self.shared.metrics.count_refusal(ScarceResource::Requests);
                return None;
            }
            self.shared.metrics.count_yield(ScarceResource::Requests);
        }
        state.request_bytes += bytes;
        self.shared.record_use(&state);
        let shared = Arc::clone(&self.shared);
        Some(WorkMemory { bytes, shared })
    }

    fn try_admit(&self, base_bytes: usize, now: Instant) -> Option<IntakeSlot> {
        let budget = &self.shared.budget;
        let mut state = self.shared.lock();
        let is_first = state.connections.is_empty();
        let has_room = state.connections.len() < budget.connections
            && state.connection_bytes + base_bytes <= budget.connection_bytes;
        if !has_room && !is_first {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        state.connection_bytes += base_bytes;
        let signals = Arc::<SlotSignals>::default();
        let connection = OpenConnection {
            phase: IntakePhase::Idle,
            since: now,
            base_bytes,
            answer_bytes: 0,
            body: Vec::new(),
            closes: false,
            body_dropped: false,
            signals: Arc::clone(&signals),
        };
        state.connections.insert(id, connection);
        self.shared.record_use(&state);
        Some(IntakeSlot {
            shared: Arc::clone(&self.shared),
            id,
            signals,
        })
    }
}

/// Place of one connection in the table. It is free again when this is dropped.
#[derive(Debug)]
pub struct IntakeSlot {
    shared: Arc<IntakeShared>,
    id: u64,
    signals: Arc<SlotSignals>,
}

impl IntakeSlot {
    fn update(&self, change: impl FnOnce(&mut OpenConnection)) {
        let mut state = self.shared.lock();
        if let Some(connection) = state.connections.get_mut(&self.id) {
            change(connection);
        }
    }

    /// Records what the connection does from now on.
    pub fn enter_phase(&self, phase: IntakePhase, now: Instant) {
        self.update(|connection| {
            connection.phase = phase;
            connection.since = now;
        });
    }

    /// Records that an answer of so many bytes is held until it has been written. If answers take too much memory, the one
    /// whose caller has read nothing for long gives way.
    pub fn hold_answer(&self, bytes: usize, now: Instant) {
        let mut state = self.shared.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return;
        };
        connection.phase = IntakePhase::Answer;
        connection.since = now;
        let before = std::mem::replace(&mut connection.answer_bytes, bytes);
        state.answer_bytes = state.answer_bytes + bytes - before;
        if bytes > 0 && state.answer_bytes > self.shared.budget.answer_bytes {
            state.log_exhausted(ScarceResource::Answers, now);
            self.close_unread(&mut state, now);
        }
        self.shared.record_use(&state);
    }

    /// Asks the connections with the longest unread answers to close until those that stay are within the budget.
    fn close_unread(&self, state: &mut IntakeState, now: Instant) {
        let open = state.connections.values();
        let closing = open.filter(|connection| connection.closes);
        let mut freed: usize = closing.map(|connection| connection.answer_bytes).sum();
        while state.answer_bytes - freed > self.shared.budget.answer_bytes {
            let Some(unread) = state.close_one(ScarceResource::Answers, now) else {
                return;
            };
            self.shared.metrics.count_yield(ScarceResource::Answers);
            freed += unread.bytes;
        }
    }

    /// Records that the caller has read some of its answer.
    pub fn record_answer_progress(&self, now: Instant) {
        self.update(|connection| {
            if connection.phase == IntakePhase::Answer {
                connection.since = now;
            }
        });
    }

    /// Records that the answer has been written.
    pub fn finish_answer(&self, now: Instant) {
        self.hold_answer(0, now);
        self.enter_phase(IntakePhase::Idle, now);
    }

    /// Waits until the connection is to close in favour of others.
    pub async fn close_requested(&self) {
        loop {
            self.signals.close.notified().await;
            let mut state = self.shared.lock();
            let Some(connection) = state.connections.get_mut(&self.id) else {
                return;
            };
            if connection.phase != IntakePhase::Running {
                return;
            }
            // Its request has become complete meanwhile and may run.
            connection.closes = false;
            drop(state);
            self.shared.changed.notify_waiters();
        }
    }

    /// Waits until the body that is arriving has been dropped in favour of others.
    pub async fn body_dropped(&self) {
        loop {
            self.signals.body_drop.notified().await;
            let state = self.shared.lock();
            let connection = state.connections.get(&self.id);
            if connection.is_none_or(|connection| connection.body_dropped) {
                return;
            }
        }
    }

    /// Appends to the body that is arriving, which has `longest` bytes at most. Its buffer is paid for before it grows.
    pub fn push_body(
        &self,
        bytes: &[u8],
        longest: usize,
        now: Instant,
    ) -> Result<(), IntakeRefusal> {
        let budget = &self.shared.budget;
        let mut state = self.shared.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return Err(IntakeRefusal::Full);
        };
        if connection.body_dropped {
            return Err(IntakeRefusal::Full);
        }
        let (length, capacity) = (connection.body.len(), connection.body.capacity());
        let needed = length + bytes.len();
        if needed <= capacity {
            connection.body.extend_from_slice(bytes);
            return Ok(());
        }
        if !budget.allows_request(0, 0, needed) {
            return Err(IntakeRefusal::TooLarge);
        }
        let target = buffer_size(needed, capacity, longest);
        let target = if budget.allows_request(0, 0, target) {
            target
        } else {
            needed
        };
        while !budget.allows_request(state.request_bytes, capacity, target) {
            state.log_exhausted(ScarceResource::Requests, now);
            if !state.drop_body(Some(self.id), now) {
                self.shared.metrics.count_refusal(ScarceResource::Requests);
                return Err(IntakeRefusal::Full);
            }
            self.shared.metrics.count_yield(ScarceResource::Requests);
        }
        state.request_bytes += target - capacity;
        self.shared.record_use(&state);
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return Err(IntakeRefusal::Full);
        };
        connection.body.reserve_exact(target - length);
        connection.body.extend_from_slice(bytes);
        debug_assert_eq!(connection.body.capacity(), target, "what was paid for");
        Ok(())
    }

    /// Takes the complete body; its memory is returned when the last clone is dropped. Fails if the body was dropped.
    pub fn take_body(&self, now: Instant) -> Result<Bytes, IntakeRefusal> {
        let mut state = self.shared.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return Err(IntakeRefusal::Full);
        };
        if connection.body_dropped {
            return Err(IntakeRefusal::Full);
        }
        connection.phase = IntakePhase::Running;
        connection.since = now;
        let body = std::mem::take(&mut connection.body);
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        let shared = Arc::clone(&self.shared);
        Ok(Bytes::from_owner(PaidBody { body, shared }))
    }

    /// Ends the receiving of a body and frees what has not been taken.
    pub fn end_body(&self) {
        let mut state = self.shared.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return;
        };
        connection.phase = IntakePhase::Running;
        connection.body_dropped = false;
        let body = std::mem::take(&mut connection.body);
        state.request_bytes -= body.capacity();
        self.shared.record_use(&state);
    }
}

impl Drop for IntakeSlot {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Some(connection) = state.connections.remove(&self.id) {
            state.connection_bytes -= connection.base_bytes;
            state.answer_bytes -= connection.answer_bytes;
            state.request_bytes -= connection.body.capacity();
        }
        self.shared.record_use(&state);
        drop(state);
        self.shared.changed.notify_waiters();
    }
}

/// Returns the size to which the buffer of a body grows, in bytes. The greatest length bounds it, but isn't taken at once: a
/// caller may never send what it states.
fn buffer_size(needed: usize, capacity: usize, longest: usize) -> usize {
    let grown = (capacity * 2).max(MIN_BODY_BUFFER);
    grown.min(longest).max(needed)
}

/// Memory for the work on a request. It is returned to the budget when this is dropped.
#[derive(Debug)]
pub struct WorkMemory {
    bytes: usize,
    shared: Arc<IntakeShared>,
}

impl Drop for WorkMemory {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.request_bytes -= self.bytes;
        self.shared.record_use(&state);
    }
}

/// Complete body whose memory is returned to the budget when it is freed.
struct PaidBody {
    body: Vec<u8>,
    shared: Arc<IntakeShared>,
}

impl AsRef<[u8]> for PaidBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for PaidBody {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.request_bytes -= self.body.capacity();
        self.shared.record_use(&state);
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
