//! Callers and what they send.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use ebonyfork::declaration::ClassTarget;
use ebonyfork::ident::OrganisationName;

use crate::clock::RunClock;
use crate::experiment::address::AddressPlan;
use crate::load::{AgentSettings, CallerAgent, ClassLoad, LoadPlan, LoadStream, StreamSelection};
use crate::scenario::{FaultKind, Scenario, VariantSettings};

/// Organisations that may use a class.
fn users<'a>(
    scenario: &'a Scenario,
    target: &'a ClassTarget,
) -> impl Iterator<Item = &'a OrganisationName> {
    let organisations = scenario.declared.organisations.values();
    let using = organisations.filter(|organisation| organisation.classes.contains(&target.name));
    using.map(|organisation| &organisation.name)
}

/// What is sent in a variant.
pub(super) fn load_plan(scenario: &Scenario, variant: &VariantSettings) -> LoadPlan {
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
        let users: Vec<&OrganisationName> = users(scenario, target).collect();
        let rate = scenario.rate(load, variant.load_percent) / users.len().max(1) as f64;
        for organisation in users {
            plan.streams.push(LoadStream {
                class,
                organisation: organisation.clone(),
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
            FaultKind::Burst {
                organisation,
                factor,
            } => {
                for stream in usual
                    .iter()
                    .filter(|stream| stream.organisation == *organisation)
                {
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
                    selection: StreamSelection::Killer(format_compact!("crash {}", fault.name)),
                    ..stream.clone()
                });
            }
            _ => {}
        }
    }
}

/// Callers of every organisation in every zone, near the VMs of their zone.
pub(super) fn fleet_agents(
    scenario: &Scenario,
    plan: &AddressPlan,
    clock: RunClock,
) -> Vec<CallerAgent> {
    let fleet = &scenario.fleet;
    let mut agents = Vec::new();
    for organisation in scenario.declared.organisations.keys() {
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
                organisation: organisation.clone(),
                number: agents.len() as u32,
            }));
        }
    }
    agents
}

/// Callers of VMs that run elsewhere.
pub(super) fn distant_agents(
    scenario: &Scenario,
    addresses: &[SocketAddr],
    clock: RunClock,
) -> Vec<CallerAgent> {
    let mut agents = Vec::new();
    for organisation in scenario.declared.organisations.keys() {
        for _ in 0..scenario.fleet.callers {
            agents.push(CallerAgent::new(AgentSettings {
                clock,
                delay: Duration::ZERO,
                known: addresses.to_vec(),
                others: Vec::new(),
                organisation: organisation.clone(),
                number: agents.len() as u32,
            }));
        }
    }
    agents
}
