//! Plays the faults of a scenario.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ebonyfork::catalog::{IndexCatalog, VersionShards};
use ebonyfork::declaration::DeclaredFile;
use ebonyfork::ident::IndexName;
use ebonyfork::store::StoreClient;
use ebonyfork::topology::VmState;
use ebonyfork_stand_in::store::KvStore;
use ebonyfork_stand_in::store_faults::{RateLimits, StoreFaults, StoreOutage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::error::LabError;
use crate::experiment::backends::{Backends, PlacedUpstream, next_version};
use crate::experiment::fleet::Fleet;
use crate::experiment::race::race_operators;
use crate::experiment::runner::ProgressFunction;
use crate::scenario::{FaultEntry, FaultKind, ServerChoice, StoreFault};
use crate::upstream::{StatusMode, StatusReport, UpstreamState};

/// What the faults strike.
#[derive(Clone)]
pub(super) struct FaultStage {
    pub(super) backends: Arc<Backends>,
    pub(super) fleet: Arc<Fleet>,
    /// The store's data when the load began.
    pub(super) backup: KvStore,
    /// The scenario's declarations.
    pub(super) declared_files: Vec<DeclaredFile>,
    pub(super) progress: ProgressFunction,
    pub(super) seed: u64,
    /// Faults that could not be played: the run then shows nothing.
    pub(super) failures: Arc<Mutex<Vec<String>>>,
}

/// Longest wait for one call of a racing operator.
const RACE_TIMEOUT: Duration = Duration::from_secs(2);

/// What an upstream says that hides its state.
const ALL_IS_WELL: StatusReport = StatusReport {
    state: UpstreamState::Ready,
    load: 0.0,
};

/// Plays all faults, each at its time from now.
pub(super) async fn play(stage: FaultStage, faults: Vec<FaultEntry>) {
    let mut tasks = JoinSet::new();
    for entry in faults {
        let stage = stage.clone();
        tasks.spawn(async move {
            tokio::time::sleep(entry.at).await;
            stage
                .progress
                .say(format_args!("fault {}: {:?}", entry.name, entry.kind));
            if let Err(error) = stage.strike(&entry).await {
                let mut failures = stage
                    .failures
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                failures.push(format!("fault {}: {error}", entry.name));
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

impl FaultStage {
    async fn strike(&self, entry: &FaultEntry) -> Result<(), LabError> {
        let lasts = entry.lasts;
        match &entry.kind {
            FaultKind::Straggler { target, factor } => {
                let set =
                    |factor| move |server: &PlacedUpstream| server.standin.set_slowness(factor);
                self.change(target, lasts, set(*factor), set(1.0)).await;
            }
            FaultKind::Crash { target } => {
                self.change(target, lasts, |server| server.standin.crash(lasts), |_| {})
                    .await;
            }
            FaultKind::LyingStatus { target, factor } => {
                let lie = |server: &PlacedUpstream| {
                    server
                        .standin
                        .set_status_mode(StatusMode::Fixed(ALL_IS_WELL));
                    server.standin.set_slowness(*factor);
                };
                let mend = |server: &PlacedUpstream| {
                    server.standin.set_status_mode(StatusMode::Truthful);
                    server.standin.set_slowness(1.0);
                };
                self.change(target, lasts, lie, mend).await;
            }
            FaultKind::Drain { target, lying } => {
                let leave = |server: &PlacedUpstream| {
                    if *lying {
                        server
                            .standin
                            .set_status_mode(StatusMode::Fixed(ALL_IS_WELL));
                    }
                    server.standin.drain();
                    self.backends
                        .set_vm(server.record(), Some(VmState::Leaving));
                };
                let go = |server: &PlacedUpstream| {
                    server.standin.stop();
                    self.backends.set_vm(server.record(), None);
                };
                self.change(target, lasts, leave, go).await;
            }
            FaultKind::Roll { index, keep } => self.roll(index, lasts, *keep).await,
            FaultKind::Move {
                index,
                shard,
                to,
                lag,
            } => {
                self.backends.move_shard(index, *shard, to);
                tokio::time::sleep(*lag).await;
                let mut catalog = self.backends.catalog(index);
                catalog.epoch += 1;
                for listed in &mut catalog.versions {
                    if let Some(service) = listed.shards.get_mut(shard.0 as usize) {
                        service.clone_from(to);
                    }
                }
                self.backends.publish(index, catalog);
            }
            FaultKind::Store { fault } => self.store(*fault, lasts).await,
            FaultKind::Kill { nodes } => return self.kill(*nodes, lasts).await,
            FaultKind::Freeze { node } => self.fleet.freeze(*node, lasts).await,
            FaultKind::Restart { pause } => return self.restart(*pause).await,
            FaultKind::Race { operators } => {
                let client = StoreClient::new(self.backends.platform.client(), RACE_TIMEOUT);
                let files = &self.declared_files;
                return race_operators(&client, files, *operators, lasts, &self.progress).await;
            }
            // These two are part of the load.
            FaultKind::Killer { .. } | FaultKind::Burst { .. } => {}
        }
        Ok(())
    }

    /// Changes servers for a while.
    async fn change(
        &self,
        target: &ServerChoice,
        lasts: Duration,
        begin: impl Fn(&PlacedUpstream),
        end: impl Fn(&PlacedUpstream),
    ) {
        for server in self.backends.servers(target) {
            begin(server);
        }
        tokio::time::sleep(lasts).await;
        for server in self.backends.servers(target) {
            end(server);
        }
    }

    /// Rolls an index: every server takes the next version and gives up the old one at its own time.
    async fn roll(&self, index: &IndexName, lasts: Duration, keep: Duration) {
        let old = self.backends.catalog(index);
        let Some(next) = next_version(&old) else {
            return;
        };
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let holders = self.backends.holders(index);
        let mut switches: Vec<(Duration, &PlacedUpstream)> = holders
            .into_iter()
            .map(|server| (lasts.mul_f64(rng.random::<f64>()), server))
            .collect();
        switches.sort_by_key(|(at, _)| *at);
        let begin = tokio::time::Instant::now();
        for (at, server) in &switches {
            tokio::time::sleep_until(begin + *at).await;
            hold_version(server, index, &next);
        }
        tokio::time::sleep_until(begin + lasts).await;
        let mut both = old.clone();
        both.epoch += 1;
        both.versions.insert(0, next.clone());
        self.backends.publish(index, both.clone());
        for (at, server) in &switches {
            tokio::time::sleep_until(begin + *at + keep).await;
            for listed in &old.versions {
                server.standin.drop_version(index, listed.version);
            }
        }
        tokio::time::sleep_until(begin + lasts + keep).await;
        both.epoch += 1;
        both.versions = vec![next];
        self.backends.publish(index, both);
    }

    async fn store(&self, fault: StoreFault, lasts: Duration) {
        let platform = &self.backends.platform;
        let mut faults = StoreFaults::default();
        match fault {
            StoreFault::Down => faults.outage = Some(StoreOutage::Busy),
            StoreFault::Silent => faults.outage = Some(StoreOutage::Silent),
            StoreFault::Slow(delay) => faults.delay = delay,
            StoreFault::LostAnswers(share) => faults.lost_answers = share,
            StoreFault::Limited(rate) => platform.store().set_rates(RateLimits {
                reads: rate,
                writes: rate,
            }),
            StoreFault::OlderData => platform.restart_with(self.backup.clone()),
        }
        platform.store().set_faults(faults);
        tokio::time::sleep(lasts).await;
        platform.store().set_faults(StoreFaults::default());
        platform.store().set_rates(RateLimits::default());
    }

    async fn kill(&self, nodes: u32, lasts: Duration) -> Result<(), LabError> {
        for node in 0..nodes {
            self.fleet.kill(node, &self.backends).await;
        }
        tokio::time::sleep(lasts).await;
        for node in 0..nodes {
            self.fleet.revive(node, &self.backends).await?;
        }
        Ok(())
    }

    async fn restart(&self, pause: Duration) -> Result<(), LabError> {
        for node in 0..self.fleet.len() {
            let report = self.fleet.restart(node, &self.backends).await?;
            self.progress
                .say(format_args!("VM {node} restarted: {report}"));
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }
}

fn hold_version(server: &PlacedUpstream, index: &IndexName, listed: &VersionShards) {
    let catalog = IndexCatalog {
        epoch: 0,
        versions: vec![listed.clone()],
    };
    server.standin.hold_listed(index, &catalog);
}
