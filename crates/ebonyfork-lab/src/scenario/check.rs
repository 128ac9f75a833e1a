//! Checks what the sections of a scenario say about each other.

use ebonyfork::finding::FindingList;
use ebonyfork::ident::{ClassName, IndexName};
use ebonyfork::ini::{IniDocument, unknown_message};

use crate::scenario::declared::DECLARED;
use crate::scenario::fault::{FaultKind, ServerChoice};
use crate::scenario::model::{Scenario, ServiceGroup};
use crate::scenario::read::sections;

/// Finds names that nothing stands for.
pub(super) fn check_names(document: &IniDocument, scenario: &Scenario, findings: &mut FindingList) {
    let file = &document.file;
    let classes: Vec<&str> = scenario
        .declared
        .classes
        .keys()
        .map(ClassName::as_str)
        .collect();
    for section in sections(document, "load") {
        if !classes.contains(&section.name.as_str()) {
            let message = unknown_message("class", &section.name, &classes);
            findings.push(file, section.line, message);
        }
    }
    let indexes: Vec<&str> = scenario
        .indexes
        .iter()
        .map(|index| index.name.as_str())
        .collect();
    for section in sections(document, DECLARED[0]) {
        let mut properties = section.properties.iter();
        let Some(property) = properties.find(|property| property.key == "index") else {
            continue;
        };
        if !indexes.contains(&property.value.as_str()) {
            let message = unknown_message("index", &property.value, &indexes);
            findings.push(file, property.line, message);
        }
    }
    for fault in &scenario.faults {
        if let Err(message) = check_fault(scenario, &fault.kind) {
            findings.push(file, fault.line, message);
        }
    }
}

fn check_fault(scenario: &Scenario, kind: &FaultKind) -> Result<(), String> {
    let declared = &scenario.declared;
    let known = |found: bool, role: &str, name: &dyn std::fmt::Display| {
        if found {
            Ok(())
        } else {
            Err(format!("unknown {role} `{name}`"))
        }
    };
    let service = |name| known(declared.services.contains_key(name), "service", name);
    let index = |name: &IndexName| {
        let found = scenario.indexes.iter().any(|index| index.name == *name);
        known(found, "index", name)
    };
    match kind {
        FaultKind::Straggler { target, .. }
        | FaultKind::Crash { target }
        | FaultKind::Drain { target, .. }
        | FaultKind::LyingStatus { target, .. } => check_target(scenario, target),
        FaultKind::Roll { index: name, .. } => index(name),
        FaultKind::Move {
            index: name, to, ..
        } => index(name).and(service(to)),
        FaultKind::Killer { class, .. } => {
            known(declared.classes.contains_key(class), "class", class)
        }
        FaultKind::Burst { organisation, .. } => known(
            declared.organisations.contains_key(organisation),
            "organisation",
            organisation,
        ),
        FaultKind::Kill { nodes } if *nodes >= scenario.fleet.nodes => {
            Err("kills every VM".to_owned())
        }
        FaultKind::Freeze { node } if *node >= scenario.fleet.nodes => {
            Err(format!("there is no VM {node}"))
        }
        FaultKind::Store { .. }
        | FaultKind::Kill { .. }
        | FaultKind::Freeze { .. }
        | FaultKind::Restart { .. }
        | FaultKind::Race { .. } => Ok(()),
    }
}

fn check_target(scenario: &Scenario, target: &ServerChoice) -> Result<(), String> {
    let holds = |group: &&ServiceGroup| group.service_names().contains(&target.service);
    let Some(group) = scenario.groups.iter().find(holds) else {
        return Err(format!("unknown service `{}`", target.service));
    };
    match target.server {
        Some(server) if server >= group.servers => Err(format!("there is no server {server}")),
        _ => Ok(()),
    }
}
