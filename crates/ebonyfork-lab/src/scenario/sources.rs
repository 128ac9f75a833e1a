//! The texts of a scenario: its own, and that of the scenario it builds on.
//!
//! `[base] file = other.ini` takes everything from another scenario; the sections that stand here change it key by key,
//! and declarations as a whole. The base is a scenario of its own and is checked first, so that what is found later
//! stands here.

use std::path::Path;

use compact_str::CompactString;
use ebonyfork::declaration::DeclaredFile;
use ebonyfork::finding::FindingList;
use ebonyfork::ini::{IniDocument, IniSection, SectionReader};
use snafu::ResultExt;

use crate::error::{LabError, ReadFileSnafu};
use crate::scenario::declared::{DECLARED, extract};
use crate::scenario::model::Scenario;

/// Kind of the section that names the base.
pub(super) const BASE: &str = "base";

/// What a scenario is read from.
#[derive(Debug)]
pub(super) struct ScenarioSources {
    /// All sections, those of the base changed by the own ones.
    pub(super) document: IniDocument,
    /// The declarations of both.
    pub(super) declared: Vec<DeclaredFile>,
}

impl ScenarioSources {
    /// Takes one text.
    pub(super) fn new(file: &str, text: &str, findings: &mut FindingList) -> Self {
        let document = IniDocument::parse(file, text, findings);
        let declared = vec![extract(&document, text, |_section| true)];
        Self { document, declared }
    }

    /// Takes a text over that of its base.
    pub(super) fn over(base: (&str, &str), own: (&str, &str), findings: &mut FindingList) -> Self {
        let (file, text) = own;
        let mut sources = Self::new(file, text, findings);
        let (base_file, base_text) = base;
        let base = IniDocument::parse(base_file, base_text, findings);
        let kept = |section: &IniSection| find_twin(&sources.document, section).is_none();
        let inherited = extract(&base, base_text, kept);
        sources.declared.push(inherited);
        sources.document = merge(base, sources.document);
        sources
    }
}

impl Scenario {
    /// Reads a scenario from a file, with the base that it names.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use ebonyfork_lab::scenario::Scenario;
    ///
    /// let scenario = Scenario::load("scenarios/straggler.ini")?;
    /// println!("{} variants", scenario.variants.len());
    /// # Ok::<(), ebonyfork_lab::error::LabError>(())
    /// ```
    pub fn load(path: impl AsRef<Path>) -> Result<Self, LabError> {
        let path = path.as_ref();
        let name = path.display().to_string();
        let text = read(path)?;
        let findings_error = |findings| LabError::Scenario { findings };
        let base = find_base(&name, &text).map_err(findings_error)?;
        let Some(base) = base else {
            return Self::parse(name, &text).map_err(findings_error);
        };
        let base_path = path.with_file_name(base.as_str());
        let base_name = base_path.display().to_string();
        let base_text = read(&base_path)?;
        Self::parse(&base_name, &base_text).map_err(findings_error)?;
        Self::parse_over((&base_name, &base_text), (&name, &text)).map_err(findings_error)
    }
}

fn read(path: &Path) -> Result<String, LabError> {
    let name = path.display().to_string();
    std::fs::read_to_string(path).context(ReadFileSnafu { path: name })
}

/// Returns the file that a scenario builds on.
fn find_base(file: &str, text: &str) -> Result<Option<CompactString>, FindingList> {
    // What else is wrong is found when the scenario is read.
    let document = IniDocument::parse(file, text, &mut FindingList::new());
    let mut sections = document.sections.iter();
    let Some(section) = sections.find(|section| section.kind == BASE) else {
        return Ok(None);
    };
    let mut findings = FindingList::new();
    let mut reader = SectionReader::new(file, section, &mut findings);
    let base = reader.required("file");
    reader.finish();
    findings.into_result(base)
}

fn find_twin<'a>(document: &'a IniDocument, section: &IniSection) -> Option<&'a IniSection> {
    let mut sections = document.sections.iter();
    sections.find(|other| other.kind == section.kind && other.name == section.name)
}

/// Changes a base's sections by the own ones.
fn merge(base: IniDocument, own: IniDocument) -> IniDocument {
    let mut merged = IniDocument {
        file: own.file,
        sections: base.sections,
    };
    for section in own.sections {
        let mut sections = merged.sections.iter_mut();
        let twin = sections.find(|other| other.kind == section.kind && other.name == section.name);
        match twin {
            Some(twin) if DECLARED.contains(&twin.kind.as_str()) => *twin = section,
            Some(twin) => overlay(twin, section),
            None => merged.sections.push(section),
        }
    }
    merged
}

fn overlay(twin: &mut IniSection, section: IniSection) {
    twin.line = section.line;
    for property in section.properties {
        twin.properties.retain(|other| other.key != property.key);
        twin.properties.push(property);
    }
}

#[cfg(test)]
#[path = "sources_tests.rs"]
mod tests;
