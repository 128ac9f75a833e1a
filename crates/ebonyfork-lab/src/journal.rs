//! What the upstream stand-ins record: every shard request, from its arrival to its end.
//!
//! The judge reads these records together with the callers' answers. Nothing here comes from the tier's own reports.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::ident::{IndexName, ServiceName, ShardNumber, SnapshotVersion, UpstreamAddress};

use crate::clock::RunClock;

/// Hash of a selection: tells whose request a row or an execution belongs to.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::journal::SelectionHash;
///
/// let hash = SelectionHash::new(b"roofers");
/// assert_eq!(hash, SelectionHash::new(b"roofers"));
/// assert_eq!(hash.to_string().len(), 16);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SelectionHash(pub u64);

impl SelectionHash {
    /// Hashes a selection.
    pub fn new(selection: impl AsRef<[u8]>) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(selection.as_ref()))
    }
}

impl fmt::Display for SelectionHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How a shard request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExecutionEnd {
    /// It waits or runs.
    Open,
    /// It ran to its end and was answered.
    Finished,
    /// It was given up while it ran.
    Cancelled,
    /// Its deadline passed while it ran.
    Expired,
    /// The upstream crashed while it waited or ran.
    Crashed,
    /// It was not run: the upstream's own queue was full.
    Shed,
    /// It was not run: cancelled or expired while it waited.
    Dropped,
    /// It was not run: the upstream is draining.
    Draining,
    /// It was not run: the upstream does not hold the version.
    VersionGone,
    /// It was not run: the shard has moved.
    Moved,
    /// It was not run: the upstream never held this shard.
    Misrouted,
}

/// One shard request at one upstream. Times are since the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutionRecord {
    /// The tier's name for the attempt.
    pub attempt: CompactString,
    /// Whose request it is.
    pub selection: SelectionHash,
    /// Key of a non-idempotent request, as it arrived.
    pub key: Option<CompactString>,
    /// The index.
    pub index: IndexName,
    /// The version asked for.
    pub version: SnapshotVersion,
    /// The shard.
    pub shard: ShardNumber,
    /// When it arrived.
    pub arrived: Duration,
    /// When it began to run, if it did.
    pub started: Option<Duration>,
    /// When it ended.
    pub ended: Option<Duration>,
    /// How it ended.
    pub end: ExecutionEnd,
}

/// Everything recorded at one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamRecords {
    /// Shard requests in the order of their arrival.
    pub executions: Vec<ExecutionRecord>,
    /// Connections open now.
    pub open_connections: u32,
    /// Most connections that were open at once.
    pub max_connections: u32,
    /// Connections closed at once because the limit was reached.
    pub refused_connections: u64,
    /// Shard requests that found all slots in use.
    pub over_slots: u64,
    /// When a drain began.
    pub drain_began: Option<Duration>,
    /// When the upstream itself first showed that it is leaving, by reply or status.
    pub leaving_shown: Option<Duration>,
}

/// The record of one upstream.
#[derive(Debug)]
pub struct UpstreamLog {
    /// Its address.
    pub address: UpstreamAddress,
    /// Its service.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: u32,
    records: Mutex<UpstreamRecords>,
}

impl UpstreamLog {
    /// Locks the records.
    pub fn records(&self) -> MutexGuard<'_, UpstreamRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an arrival and returns its place.
    pub fn arrive(&self, record: ExecutionRecord) -> usize {
        let mut records = self.records();
        records.executions.push(record);
        records.executions.len() - 1
    }

    /// Records that a request began to run.
    pub fn begin(&self, place: usize, now: Duration) {
        if let Some(record) = self.records().executions.get_mut(place) {
            record.started = Some(now);
        }
    }

    /// Records how a request ended.
    pub fn finish(&self, place: usize, now: Duration, end: ExecutionEnd) {
        if let Some(record) = self.records().executions.get_mut(place) {
            record.ended = Some(now);
            record.end = end;
        }
    }
}

/// The records of all upstreams of a run. Cheap to clone.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::clock::RunClock;
/// use ebonyfork_lab::journal::Journal;
///
/// let journal = Journal::new(RunClock::start());
/// let log = journal.open("127.0.0.1:80".parse()?, "tender-00".parse()?, 2);
/// assert_eq!(log.records().executions.len(), 0);
/// assert_eq!(journal.logs().len(), 1);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Journal {
    clock: RunClock,
    logs: Arc<Mutex<Vec<Arc<UpstreamLog>>>>,
}

impl Journal {
    /// Starts without records.
    pub fn new(clock: RunClock) -> Self {
        Self {
            clock,
            logs: Arc::default(),
        }
    }

    /// The clock of the run.
    pub fn clock(&self) -> RunClock {
        self.clock
    }

    /// Opens the record of one upstream.
    pub fn open(
        &self,
        address: UpstreamAddress,
        service: ServiceName,
        slots: u32,
    ) -> Arc<UpstreamLog> {
        let log = Arc::new(UpstreamLog {
            address,
            service,
            slots,
            records: Mutex::default(),
        });
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        logs.push(Arc::clone(&log));
        log
    }

    /// Returns the records of all upstreams, in the order of their start.
    pub fn logs(&self) -> Vec<Arc<UpstreamLog>> {
        let logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        logs.clone()
    }
}
