//! Runs one variant of a scenario from the first socket to the verdict.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ebonyfork::declaration::ClassTarget;
use ebonyfork::ident::CustomerName;
use ebonyfork::platform::PlatformClient;
use ebonyfork::revision::{PublishOutcome, publish};

use crate::clock::RunClock;
use crate::error::LabError;
use crate::experiment::address::AddressPlan;
use crate::experiment::backends::Backends;
use crate::experiment::fleet::Fleet;
use crate::experiment::report::RunReport;
use crate::experiment::summary::{MeasuredTime, summarise};
use crate::experiment::timeline::{FaultStage, play};
use crate::journal::Journal;
use crate::judge::{RunEvidence, judge};
use crate::load::{
    AgentSettings, CallerAgent, ClassLoad, LoadGenerator, LoadPlan, LoadStream, StreamSelection,
};
use crate::scenario::{FaultKind, Scenario, VariantSettings};

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
    let clock = RunClock::start();
    let journal = Journal::new(clock);
    let plan = AddressPlan::pick(&scenario.fleet)?;
    let backends = Arc::new(Backends::start(scenario, &plan, &journal).await?);
    let platform = backends.platform.address();
    let fleet = Arc::new(Fleet::new(clock, &plan, &scenario.fleet, variant, platform));
    backends.list_all(fleet.records());
    publish_declarations(scenario, &backends).await?;
    fleet.start().await?;
    progress.say(format_args!(
        "{} VMs take work after {:?}",
        fleet.len(),
        clock.now()
    ));

    let load = load_plan(scenario, variant);
    let agents = agents(scenario, &plan, clock);
    let stage = FaultStage {
        backends: Arc::clone(&backends),
        fleet: Arc::clone(&fleet),
        backup: backends.platform.backup(),
        progress: progress.clone(),
        seed: scenario.run.seed,
    };
    let faults = if variant.faults {
        scenario.faults.clone()
    } else {
        Vec::new()
    };
    let begin = clock.now();
    let timeline = tokio::spawn(play(stage, faults));
    let calls = tokio::spawn(count_calls(Arc::clone(&backends), scenario.run.warm_up));
    let classes = load.classes.clone();
    let requests = LoadGenerator::new(clock, load, agents).run().await;
    let calls_after = backends.platform.calls().total();
    let elapsed = clock.now().saturating_sub(begin + scenario.run.warm_up);
    tokio::time::sleep(SETTLE_TIME).await;
    timeline.abort();
    let calls = calls_after.saturating_sub(calls.await.unwrap_or_default());
    progress.say(format_args!("{} queries sent; judging", requests.len()));

    let mut evidence = RunEvidence {
        indexes: classes
            .iter()
            .filter_map(|load| scenario.index(&load.class))
            .map(|index| index.name.clone())
            .collect(),
        classes,
        requests,
        published: backends.published(),
        outages: fleet.outages().clone(),
        leaving: backends.leaving(),
        ..RunEvidence::default()
    };
    fleet.end().await;
    for log in journal.logs() {
        let executions = std::mem::take(&mut log.records().executions);
        evidence.executions.insert(log.address, executions);
    }
    let from = begin + scenario.run.warm_up;
    let until = from + scenario.run.duration;
    let mut report = summarise(&evidence, &journal, MeasuredTime { from, until });
    let verdict = judge(&evidence);
    for sample in &verdict.samples {
        progress.say(sample);
    }
    report.name.clone_from(&variant.name);
    report.load_percent = variant.load_percent;
    report.violations = verdict.counts;
    report.store_calls_per_s = calls as f64 / elapsed.as_secs_f64().max(1e-9);
    Ok(report)
}

/// Returns the platform's calls after the warm-up.
async fn count_calls(backends: Arc<Backends>, warm_up: Duration) -> u64 {
    tokio::time::sleep(warm_up).await;
    backends.platform.calls().total()
}

async fn publish_declarations(scenario: &Scenario, backends: &Backends) -> Result<(), LabError> {
    let client = PlatformClient::new(backends.platform.address(), PUBLISH_TIMEOUT);
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

/// Customers that may use a class.
fn users<'a>(
    scenario: &'a Scenario,
    target: &'a ClassTarget,
) -> impl Iterator<Item = &'a CustomerName> {
    let customers = scenario.declared.customers.values();
    let using = customers.filter(|customer| customer.classes.contains(&target.name));
    using.map(|customer| &customer.name)
}

fn load_plan(scenario: &Scenario, variant: &VariantSettings) -> LoadPlan {
    let mut plan = LoadPlan {
        seed: scenario.run.seed,
        ..LoadPlan::default()
    };
    let until = scenario.run.warm_up + scenario.run.duration;
    for load in &scenario.loads {
        let Some(target) = scenario.declared.classes.get(&load.class) else {
            continue;
        };
        let class = plan.classes.len();
        plan.classes.push(ClassLoad {
            class: load.class.clone(),
            scope: target.scope,
            idempotent: target.idempotent,
            latency: target.latency,
            coverage: target.coverage,
            bound: target.bound,
            deadline: load.deadline,
            records: load.records,
            selection_size: load.selection_size,
        });
        let users: Vec<&CustomerName> = users(scenario, target).collect();
        let rate = scenario.rate(load, variant.load_percent) / users.len().max(1) as f64;
        for customer in users {
            plan.streams.push(LoadStream {
                class,
                customer: customer.clone(),
                rate,
                from: Duration::ZERO,
                until,
                selection: StreamSelection::Unique,
            });
        }
    }
    if variant.faults {
        add_load_faults(scenario, &mut plan);
    }
    plan
}

/// Adds what bursts and killers send.
fn add_load_faults(scenario: &Scenario, plan: &mut LoadPlan) {
    let usual = plan.streams.clone();
    for fault in &scenario.faults {
        let (from, until) = (fault.at, fault.at + fault.lasts);
        match &fault.kind {
            FaultKind::Burst { customer, factor } => {
                for stream in usual.iter().filter(|stream| stream.customer == *customer) {
                    plan.streams.push(LoadStream {
                        rate: stream.rate * (factor - 1.0).max(0.0),
                        from,
                        until,
                        ..stream.clone()
                    });
                }
            }
            FaultKind::Killer { class, rate } => {
                let of_class = |stream: &&LoadStream| plan.classes[stream.class].class == *class;
                let Some(stream) = usual.iter().find(of_class) else {
                    continue;
                };
                plan.streams.push(LoadStream {
                    rate: *rate,
                    from,
                    until,
                    selection: StreamSelection::Killer(compact_str::format_compact!(
                        "crash {}", fault.name
                    )),
                    ..stream.clone()
                });
            }
            _ => {}
        }
    }
}

fn agents(scenario: &Scenario, plan: &AddressPlan, clock: RunClock) -> Vec<CallerAgent> {
    let fleet = &scenario.fleet;
    let mut agents = Vec::new();
    for customer in scenario.declared.customers.keys() {
        for number in 0..fleet.callers * fleet.zones.len() as u32 {
            let zone = plan.zone(number);
            let near = |node: &u32| plan.zone(*node) == zone;
            let (known, others): (Vec<u32>, Vec<u32>) = (0..fleet.nodes).partition(near);
            let addresses = |nodes: Vec<u32>| {
                let nodes = nodes.into_iter();
                nodes.map(|node| plan.caller_address(node)).collect()
            };
            agents.push(CallerAgent::new(AgentSettings {
                clock,
                delay: fleet.caller_delay,
                known: addresses(known),
                others: addresses(others),
                customer: customer.clone(),
                number: agents.len() as u32,
            }));
        }
    }
    agents
}
