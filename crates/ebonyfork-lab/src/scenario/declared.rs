//! The declarations within a scenario.

use std::fmt::Write as _;

use ebonyfork::declaration::{DeclaredConfig, DeclaredFile};
use ebonyfork::finding::FindingList;
use ebonyfork::ident::RevisionNumber;
use ebonyfork::ini::{IniDocument, IniSection};

use crate::scenario::model::ServiceGroup;

/// Kinds of sections that are declarations.
pub(super) const DECLARED: [&str; 2] = ["class", "organisation"];

/// Takes the declarations out of a scenario's text, those that are kept. All other lines are left empty, so that
/// findings keep their place.
pub(super) fn extract(
    document: &IniDocument,
    text: &str,
    keep: impl Fn(&IniSection) -> bool,
) -> DeclaredFile {
    let mut kept = String::with_capacity(text.len());
    for (number, line) in text.lines().enumerate() {
        let line_number = number as u32 + 1;
        let mut sections = document.sections.iter().rev();
        let within = sections.find(|section| section.line <= line_number);
        let declared =
            |section: &&IniSection| DECLARED.contains(&section.kind.as_str()) && keep(section);
        if within.as_ref().is_some_and(declared) {
            kept.push_str(line);
        }
        kept.push('\n');
    }
    DeclaredFile::new(&document.file, kept)
}

/// Declares the services of all groups.
pub(super) fn declare_services(groups: &[ServiceGroup]) -> DeclaredFile {
    let mut text = String::new();
    for group in groups {
        for service in group.service_names() {
            let connections = group.connections;
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "[service {service}]\nconnections = {connections}\ndrain = 10s\n"
            );
        }
    }
    DeclaredFile::new("services.ini", text)
}

/// Reads the declarations as the tier will.
pub(super) fn understand(
    files: &[DeclaredFile],
    findings: &mut FindingList,
) -> Option<DeclaredConfig> {
    match DeclaredConfig::parse(files, RevisionNumber(1)) {
        Ok(config) => Some(config),
        Err(found) => {
            findings.extend(found);
            None
        }
    }
}
