//! Runs one variant of a scenario from the first socket to the verdict.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ebonyfork::ident::IndexName;
use ebonyfork::revision::{PublishOutcome, publish};
use ebonyfork::store::StoreClient;

use crate::clock::RunClock;
use crate::error::LabError;
use crate::experiment::address::AddressPlan;
use crate::experiment::backends::Backends;
use crate::experiment::callers::{distant_agents, fleet_agents, load_plan};
use crate::experiment::fleet::Fleet;
use crate::experiment::processor::ProcessorTimes;
use crate::experiment::report::RunReport;
use crate::experiment::summary::{MeasuredTime, summarise};
use crate::experiment::timeline::{FaultStage, play};
use crate::journal::Journal;
use crate::judge::{PublishedShards, RunEvidence, ViolationCounts, judge};
use crate::load::{ClassLoad, LoadGenerator, RequestRecord};
use crate::scenario::{Scenario, VariantSettings};

/// After the last answer, time for late shard requests to reach the journals.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Longest wait for one call of the publisher.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes lines about how a run goes. Cheap to clone.
#[derive(Clone)]
pub struct ProgressFunction(Arc<dyn Fn(&str) + Send + Sync>);

impl ProgressFunction {
    /// Wraps a closure.
    pub fn new(progress: impl Fn(&str) + Send + Sync + 'static) -> Self {
        Self(Arc::new(progress))
    }

    /// Passes a line on.
    pub fn say(&self, line: impl fmt::Display) {
        (self.0)(&line.to_string());
    }
}

impl fmt::Debug for ProgressFunction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ProgressFunction")
    }
}

/// Runs every variant of a scenario, one after the other.
pub async fn run_scenario(
    scenario: &Scenario,
    progress: &ProgressFunction,
) -> Result<Vec<RunReport>, LabError> {
    let mut reports = Vec::new();
    for variant in &scenario.variants {
        progress.say(format_args!(
            "{} at {} %",
            variant.name, variant.load_percent
        ));
        reports.push(run_variant(scenario, variant, progress).await?);
    }
    Ok(reports)
}

async fn run_variant(
    scenario: &Scenario,
    variant: &VariantSettings,
    progress: &ProgressFunction,
) -> Result<RunReport, LabError> {
    let stage = RunStage::bring_up(scenario, variant).await?;
    let (count, after) = (stage.fleet.len(), stage.clock.now());
    progress.say(format_args!("{count} VMs take work after {after:?}"));
    let driven = stage.drive(scenario, variant, progress).await?;
    progress.say(format_args!(
        "{} queries sent; judging",
        driven.requests.len()
    ));
    let mut report = stage.conclude(scenario, driven, progress).await;
    report.name.clone_from(&variant.name);
    report.load_percent = variant.load_percent;
    Ok(report)
}

/// Everything that runs.
struct RunStage {
    clock: RunClock,
    journal: Journal,
    plan: AddressPlan,
    backends: Arc<Backends>,
    fleet: Arc<Fleet>,
}

/// What the load leaves behind.
struct DrivenLoad {
    classes: Vec<ClassLoad>,
    requests: Vec<RequestRecord>,
    measured: MeasuredTime,
    store_calls_per_s: f64,
    vm_cores: f64,
}

impl RunStage {
    /// Starts platform, upstreams and VMs, and waits until all VMs take work.
    async fn bring_up(scenario: &Scenario, variant: &VariantSettings) -> Result<Self, LabError> {
        let clock = RunClock::start();
        let journal = Journal::new(clock);
        let plan = AddressPlan::pick(&scenario.fleet)?;
        let backends = Arc::new(Backends::start(scenario, &plan, &journal).await?);
        let platform = backends.platform.address();
        let fleet = Arc::new(Fleet::new(clock, &plan, &scenario.fleet, variant, platform));
        backends.list_all(fleet.records());
        publish_declarations(scenario, &backends).await?;
        fleet.start().await?;
        Ok(Self {
            clock,
            journal,
            plan,
            backends,
            fleet,
        })
    }

    /// Sends the load while the faults are played.
    async fn drive(
        &self,
        scenario: &Scenario,
        variant: &VariantSettings,
        progress: &ProgressFunction,
    ) -> Result<DrivenLoad, LabError> {
        let load = load_plan(scenario, variant);
        let agents = fleet_agents(scenario, &self.plan, self.clock);
        let failures = Arc::new(Mutex::new(Vec::new()));
        let faults = FaultStage {
            backends: Arc::clone(&self.backends),
            fleet: Arc::clone(&self.fleet),
            backup: self.backends.platform.store().backup(),
            declared_files: scenario.declared_files.clone(),
            progress: progress.clone(),
            seed: scenario.run.seed,
            failures: Arc::clone(&failures),
        };
        let entries = variant.faults.then(|| scenario.faults.clone());
        let from = self.clock.now() + scenario.run.warm_up;
        let timeline = tokio::spawn(play(faults, entries.unwrap_or_default()));
        let calls = tokio::spawn(count_calls(
            Arc::clone(&self.backends),
            scenario.run.warm_up,
        ));
        let times = tokio::spawn(read_times(scenario.run.warm_up));
        let classes = load.classes.clone();
        let requests = LoadGenerator::new(self.clock, load, agents).run().await;
        let calls_after = self.backends.platform.store().calls().total();
        let elapsed = self.clock.now().saturating_sub(from);
        let worked = ProcessorTimes::read().since(&times.await.unwrap_or_default());
        tokio::time::sleep(SETTLE_TIME).await;
        timeline.abort();
        let failures = failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .join("; ");
        if !failures.is_empty() {
            return Err(LabError::Tier {
                what: "a fault could not be played",
                message: failures,
            });
        }
        let calls = calls_after.saturating_sub(calls.await.unwrap_or_default());
        let until = from + scenario.run.duration;
        Ok(DrivenLoad {
            classes,
            requests,
            measured: MeasuredTime { from, until },
            store_calls_per_s: calls as f64 / elapsed.as_secs_f64().max(1e-9),
            vm_cores: worked.as_secs_f64() / elapsed.as_secs_f64().max(1e-9),
        })
    }

    /// Ends the VMs, collects the evidence, judges and computes the figures.
    async fn conclude(
        self,
        scenario: &Scenario,
        driven: DrivenLoad,
        progress: &ProgressFunction,
    ) -> RunReport {
        let mut evidence = RunEvidence {
            indexes: class_indexes(scenario, &driven.classes),
            classes: driven.classes,
            requests: driven.requests,
            published: self.backends.published(),
            outages: self.fleet.outages().clone(),
            leaving: self.backends.leaving(),
            ..RunEvidence::default()
        };
        self.fleet.end().await;
        for log in self.journal.logs() {
            let executions = std::mem::take(&mut log.records().executions);
            evidence.executions.insert(log.address, executions);
        }
        let mut report = summarise(&evidence, &self.journal, driven.measured);
        report.violations = count_violations(&evidence, progress);
        report.store_calls_per_s = driven.store_calls_per_s;
        report.vm_cores = driven.vm_cores;
        report
    }
}

/// Sends a scenario's load to VMs that run elsewhere. Nothing is known of their upstreams then: the figures about them
/// are zero, and only what callers see is judged.
pub async fn send_load(
    scenario: &Scenario,
    addresses: Vec<SocketAddr>,
    progress: &ProgressFunction,
) -> Vec<RunReport> {
    let mut reports = Vec::new();
    for variant in &scenario.variants {
        let clock = RunClock::start();
        let load = load_plan(scenario, variant);
        let classes = load.classes.clone();
        let agents = distant_agents(scenario, &addresses, clock);
        let requests = LoadGenerator::new(clock, load, agents).run().await;
        let evidence = RunEvidence {
            indexes: class_indexes(scenario, &classes),
            classes,
            requests,
            published: listed_shards(scenario),
            ..RunEvidence::default()
        };
        let from = scenario.run.warm_up;
        let until = from + scenario.run.duration;
        let journal = Journal::new(clock);
        let mut report = summarise(&evidence, &journal, MeasuredTime { from, until });
        report.violations = count_violations(&evidence, progress);
        report.name.clone_from(&variant.name);
        report.load_percent = variant.load_percent;
        reports.push(report);
    }
    reports
}

fn count_violations(evidence: &RunEvidence, progress: &ProgressFunction) -> ViolationCounts {
    let verdict = judge(evidence);
    for sample in &verdict.samples {
        progress.say(sample);
    }
    verdict.counts
}

/// The index of each class.
fn class_indexes(scenario: &Scenario, classes: &[ClassLoad]) -> Vec<IndexName> {
    let indexes = classes
        .iter()
        .filter_map(|load| scenario.index(&load.class));
    indexes.map(|index| index.name.clone()).collect()
}

/// What the scenario's catalogues publish at the start.
fn listed_shards(scenario: &Scenario) -> PublishedShards {
    let mut published = PublishedShards::default();
    for index in &scenario.indexes {
        published.add(&index.name, &scenario.catalog(index));
    }
    published
}

/// Reads the VMs' processor times when the measured time begins.
async fn read_times(warm_up: Duration) -> ProcessorTimes {
    tokio::time::sleep(warm_up).await;
    ProcessorTimes::read()
}

/// Returns the platform's calls after the warm-up.
async fn count_calls(backends: Arc<Backends>, warm_up: Duration) -> u64 {
    tokio::time::sleep(warm_up).await;
    backends.platform.store().calls().total()
}

async fn publish_declarations(scenario: &Scenario, backends: &Backends) -> Result<(), LabError> {
    let client = StoreClient::new(backends.platform.client(), PUBLISH_TIMEOUT);
    let files = &scenario.declared_files;
    let outcome = publish(
        &client,
        files,
        "ebonyfork-lab",
        "declarations of the scenario",
    )
    .await;
    match outcome {
        PublishOutcome::Published { .. } | PublishOutcome::Unchanged { .. } => Ok(()),
        other => Err(LabError::Tier {
            what: "the declarations were not published",
            message: format!("{other:?}"),
        }),
    }
}
