//! What changes while an upstream runs: versions, shards, faults, requests in hand. No sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::ident::{IndexName, ServiceName, ShardNumber, SnapshotVersion};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use tokio_util::sync::CancellationToken;

use crate::upstream::settings::{StatusMode, StatusReport, UpstreamSettings, UpstreamState};

/// Why an upstream does not hold what it is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum HoldError {
    /// It holds other versions, this one being the newest.
    VersionGone(SnapshotVersion),
    /// Another service has the shard now.
    Moved(ServiceName),
    /// It never held it.
    Misrouted,
}

/// The changing part of an upstream.
#[derive(Debug)]
pub(super) struct ServingState {
    held: BTreeMap<IndexName, BTreeMap<SnapshotVersion, BTreeSet<ShardNumber>>>,
    moved: BTreeMap<(IndexName, ShardNumber), ServiceName>,
    pub(super) draining: bool,
    /// What service times are multiplied by.
    pub(super) slowness: f64,
    pub(super) status_mode: StatusMode,
    shown_status: Option<(Duration, StatusReport)>,
    /// When the present life began.
    pub(super) started: Duration,
    /// Ends with the present life; every connection and request hangs on it.
    pub(super) life: CancellationToken,
    /// How long the upstream stays away after its present life.
    pub(super) downtime: Duration,
    pub(super) waiting: u32,
    pub(super) running: u32,
    pub(super) jobs: FxHashMap<CompactString, CancellationToken>,
    pub(super) rng: ChaCha8Rng,
}

impl ServingState {
    pub(super) fn new(seed: u64, started: Duration, life: CancellationToken) -> Self {
        Self {
            held: BTreeMap::new(),
            moved: BTreeMap::new(),
            draining: false,
            slowness: 1.0,
            status_mode: StatusMode::default(),
            shown_status: None,
            started,
            life,
            downtime: Duration::ZERO,
            waiting: 0,
            running: 0,
            jobs: FxHashMap::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn hold(
        &mut self,
        index: IndexName,
        version: SnapshotVersion,
        shards: BTreeSet<ShardNumber>,
    ) {
        for shard in &shards {
            self.moved.remove(&(index.clone(), *shard));
        }
        self.held.entry(index).or_default().insert(version, shards);
    }

    /// Keeps an attempt where a cancellation finds it.
    pub(super) fn keep_job(&mut self, attempt: &CompactString, cancel: &CancellationToken) {
        self.jobs.insert(attempt.clone(), cancel.clone());
    }

    /// Takes a place in the queue; false if it is full.
    pub(super) fn enter_queue(&mut self, limit: u32) -> bool {
        if self.waiting >= limit {
            return false;
        }
        self.waiting += 1;
        true
    }

    pub(super) fn drop_version(&mut self, index: &IndexName, version: SnapshotVersion) {
        if let Some(versions) = self.held.get_mut(index) {
            versions.remove(&version);
        }
    }

    pub(super) fn move_shard(&mut self, index: &IndexName, shard: ShardNumber, to: ServiceName) {
        let versions = self.held.get_mut(index).into_iter();
        for shards in versions.flat_map(BTreeMap::values_mut) {
            shards.remove(&shard);
        }
        self.moved.insert((index.clone(), shard), to);
    }

    pub(super) fn check(
        &self,
        index: &IndexName,
        version: SnapshotVersion,
        shard: ShardNumber,
    ) -> Result<(), HoldError> {
        if let Some(service) = self.moved.get(&(index.clone(), shard)) {
            return Err(HoldError::Moved(service.clone()));
        }
        let Some(versions) = self.held.get(index) else {
            return Err(HoldError::Misrouted);
        };
        match versions.get(&version) {
            Some(shards) if shards.contains(&shard) => Ok(()),
            Some(_) => Err(HoldError::Misrouted),
            None => {
                let newest = versions.last_key_value();
                Err(HoldError::VersionGone(
                    newest.map_or(SnapshotVersion::default(), |(version, _)| *version),
                ))
            }
        }
    }

    /// Returns what service times are multiplied by now.
    pub(super) fn factor(&self, settings: &UpstreamSettings, now: Duration) -> f64 {
        match settings.cold_start {
            Some(cold) if now < self.started + cold.duration => self.slowness * cold.factor,
            _ => self.slowness,
        }
    }

    /// Returns what the status endpoint says now.
    pub(super) fn status(&mut self, settings: &UpstreamSettings, now: Duration) -> StatusReport {
        let lag = match self.status_mode {
            StatusMode::Fixed(report) => return report,
            StatusMode::Truthful => Duration::ZERO,
            StatusMode::Lagging(lag) => lag,
        };
        if let Some((at, report)) = self.shown_status
            && now < at + lag
        {
            return report;
        }
        let cold = settings.cold_start;
        let state = if self.draining {
            UpstreamState::Draining
        } else if cold.is_some_and(|cold| now < self.started + cold.duration) {
            UpstreamState::Cold
        } else {
            UpstreamState::Ready
        };
        let load = f64::from(self.waiting + self.running) / f64::from(settings.slots.max(1));
        let report = StatusReport { state, load };
        self.shown_status = Some((now, report));
        report
    }
}
