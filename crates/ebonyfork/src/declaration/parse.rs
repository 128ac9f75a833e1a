//! Reads declaration files and collects all findings.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;

use crate::finding::FindingList;
use crate::ident::{ClassName, OrganisationName, RevisionNumber, ServiceName};
use crate::ini::{IniDocument, IniSection, SectionReader, unknown_message};
use crate::quantity::TimeSpan;

use super::model::{
    ClassScope, ClassTarget, DeclaredConfig, OrganisationEntry, ServiceEntry, TargetPriority,
};

/// Factor by which the target latency is multiplied to get the default bound of a class.
pub const DEFAULT_BOUND_FACTOR: u32 = 4;
/// Default percentile of a class's target latency, in per cent.
pub const DEFAULT_PERCENTILE: f64 = 99.0;
/// Drain time of a service whose section doesn't state `drain`.
pub const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(10);
/// Maximum duration that a declaration may state.
const MAX_DURATION: Duration = Duration::from_hours(1);
/// Maximum number of connections per upstream that a service may state.
const MAX_CONNECTIONS: u32 = 100_000;

const SECTION_KINDS: [&str; 3] = ["service", "class", "organisation"];
/// Keys that are rejected because they would control routing instead of stating a target.
const ROUTING_KEYS: [&str; 20] = [
    "weight",
    "weights",
    "server",
    "servers",
    "address",
    "addresses",
    "host",
    "hosts",
    "ip",
    "port",
    "ports",
    "replica",
    "replicas",
    "upstream",
    "upstreams",
    "vm",
    "vms",
    "share",
    "zone",
    "zones",
];
/// Sections that are rejected because they would control routing instead of stating a target.
const ROUTING_SECTIONS: [&str; 9] = [
    "server",
    "servers",
    "upstream",
    "upstreams",
    "vm",
    "vms",
    "weights",
    "address",
    "addresses",
];

/// A declaration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredFile {
    /// Name of the file, relative to the directory of declarations.
    pub name: CompactString,
    /// Content of the file.
    pub text: String,
}

impl DeclaredFile {
    /// Creates a file from its name and content.
    pub fn new(name: impl AsRef<str>, text: impl Into<String>) -> Self {
        Self {
            name: CompactString::new(name),
            text: text.into(),
        }
    }
}

impl DeclaredConfig {
    /// Parses all files of one revision and returns all findings together if there are any.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::declaration::{DeclaredConfig, DeclaredFile};
    /// use ebonyfork::ident::RevisionNumber;
    ///
    /// let text = "[class search]\nindex = tenders\nlatency = 300ms\ncoverage = 0.98\n\
    ///             gives-way = latency\nidempotent = yes\n[organisation roofers]\nclasses = search\n";
    /// let files = [DeclaredFile::new("main.ini", text)];
    /// let config = DeclaredConfig::parse(&files, RevisionNumber(1))?;
    /// assert_eq!(config.classes.len(), 1);
    ///
    /// let with_weight = [DeclaredFile::new("main.ini", "[service tender-00]\nweight = 3\n")];
    /// let findings = DeclaredConfig::parse(&with_weight, RevisionNumber(1)).unwrap_err();
    /// assert!(findings.to_string().contains("operators state targets only"));
    /// # Ok::<(), ebonyfork::finding::FindingList>(())
    /// ```
    pub fn parse(files: &[DeclaredFile], revision: RevisionNumber) -> Result<Self, FindingList> {
        let mut draft = ConfigDraft::new(revision);
        for file in files {
            draft.read_file(file);
        }
        draft.check_organisations();
        draft.findings.into_result(draft.config)
    }
}

/// File and line of a declared entry.
#[derive(Debug, Clone)]
struct EntryLocation {
    file: CompactString,
    line: u32,
}

/// Collects entries and findings over all files.
#[derive(Debug)]
struct ConfigDraft {
    config: DeclaredConfig,
    findings: FindingList,
    /// Where each section was first declared, by the section's kind and name.
    entry_locations: BTreeMap<(CompactString, CompactString), EntryLocation>,
    /// Every declared class, including those with findings, so that an organisation naming one doesn't cause a second
    /// finding.
    class_names: Vec<CompactString>,
    /// The classes that organisations name, with file and line, to be checked once all files are read.
    class_references: Vec<(EntryLocation, ClassName)>,
}

impl ConfigDraft {
    fn new(revision: RevisionNumber) -> Self {
        Self {
            config: DeclaredConfig {
                revision,
                ..DeclaredConfig::default()
            },
            findings: FindingList::new(),
            entry_locations: BTreeMap::new(),
            class_names: Vec::new(),
            class_references: Vec::new(),
        }
    }

    fn read_file(&mut self, file: &DeclaredFile) {
        let document = IniDocument::parse(&file.name, &file.text, &mut self.findings);
        for section in &document.sections {
            if !self.register_if_first(&file.name, section) {
                continue;
            }
            match section.kind.as_str() {
                "service" => self.read_service(&file.name, section),
                "class" => self.read_class(&file.name, section),
                "organisation" => self.read_organisation(&file.name, section),
                kind => self.reject_section(&file.name, section.line, kind),
            }
        }
    }

    /// Records where a section is declared. Returns whether it is the first of its kind and name; a duplicate in
    /// another file is reported as a finding.
    fn register_if_first(&mut self, file: &str, section: &IniSection) -> bool {
        let key = (section.kind.clone(), section.name.clone());
        let Some(first_location) = self.entry_locations.get(&key) else {
            let location = EntryLocation {
                file: CompactString::new(file),
                line: section.line,
            };
            self.entry_locations.insert(key, location);
            return true;
        };
        // The INI reader already reports duplicates within one file.
        if first_location.file != file {
            let (kind, name) = key;
            let message = format!(
                "[{kind} {name}] already stands at {}:{}",
                first_location.file, first_location.line
            );
            self.findings.push(file, section.line, message);
        }
        false
    }

    /// Records a finding for a section of an unknown kind.
    fn reject_section(&mut self, file: &str, line: u32, kind: &str) {
        let message = if ROUTING_SECTIONS.contains(&kind) {
            format!("section `{kind}`: {}", routing_message())
        } else {
            unknown_message("section", kind, &SECTION_KINDS)
        };
        self.findings.push(file, line, message);
    }

    fn read_service(&mut self, file: &str, section: &IniSection) {
        let name = self.read_name::<ServiceName>(file, section);
        let mut reader = SectionReader::new(file, section, &mut self.findings);
        reject_routing_keys(&mut reader, section);
        let connections = reader.required("connections");
        if let Some(connections) = connections
            && !(1..=MAX_CONNECTIONS).contains(&connections)
        {
            let message = format!("`{connections}` is not between 1 and {MAX_CONNECTIONS}");
            reader.report("connections", message);
        }
        let drain = read_span(&mut reader, "drain", false).unwrap_or(DEFAULT_DRAIN_TIME);
        reader.finish();
        let (Some(name), Some(connections)) = (name, connections) else {
            return;
        };
        let entry = ServiceEntry {
            name: name.clone(),
            connections,
            drain,
        };
        self.config.services.insert(name, entry);
    }

    fn read_class(&mut self, file: &str, section: &IniSection) {
        self.class_names.push(section.name.clone());
        let name = self.read_name::<ClassName>(file, section);
        let mut reader = SectionReader::new(file, section, &mut self.findings);
        reject_routing_keys(&mut reader, section);
        let target = read_target(&mut reader, name);
        reader.finish();
        if let Some(target) = target {
            self.config.classes.insert(target.name.clone(), target);
        }
    }

    fn read_organisation(&mut self, file: &str, section: &IniSection) {
        let name = self.read_name::<OrganisationName>(file, section);
        let mut reader = SectionReader::new(file, section, &mut self.findings);
        reject_routing_keys(&mut reader, section);
        let is_stated = reader.required::<CompactString>("classes").is_some();
        let listed_classes = if is_stated {
            reader.list::<ClassName>("classes")
        } else {
            Vec::new()
        };
        let line = line_of(section, "classes");
        let mut classes: Vec<ClassName> = Vec::new();
        for class in listed_classes {
            if classes.contains(&class) {
                reader.report("classes", format!("`{class}` stands twice"));
                continue;
            }
            let location = EntryLocation {
                file: CompactString::new(file),
                line,
            };
            self.class_references.push((location, class.clone()));
            classes.push(class);
        }
        reader.finish();
        if let Some(name) = name {
            let entry = OrganisationEntry {
                name: name.clone(),
                classes,
            };
            self.config.organisations.insert(name, entry);
        }
    }

    /// Parses a section's name; records a finding if it is missing or invalid.
    fn read_name<T>(&mut self, file: &str, section: &IniSection) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if section.name.is_empty() {
            let kind = &section.kind;
            let message = format!("[{kind}] lacks a name, expected `[{kind} NAME]`");
            self.findings.push(file, section.line, message);
            return None;
        }
        match section.name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.findings.push(file, section.line, error.to_string());
                None
            }
        }
    }

    /// Checks that the classes named by organisations are declared in any of the files.
    fn check_organisations(&mut self) {
        let declared_classes: Vec<&str> =
            self.class_names.iter().map(CompactString::as_str).collect();
        for (location, class) in &self.class_references {
            if declared_classes.contains(&class.as_str()) {
                continue;
            }
            let message = if declared_classes.is_empty() {
                format!("classes: unknown class `{class}`, no class is declared")
            } else {
                format!(
                    "classes: {}",
                    unknown_message("class", class.as_str(), &declared_classes)
                )
            };
            self.findings.push(&location.file, location.line, message);
        }
    }
}

/// Reads the keys of a class section; returns `None` if a required key is missing or invalid.
fn read_target(reader: &mut SectionReader<'_>, name: Option<ClassName>) -> Option<ClassTarget> {
    let index = reader.required("index");
    let scopes = [("all", ClassScope::All), ("one", ClassScope::One)];
    let scope = reader.choice("scope", &scopes).unwrap_or(ClassScope::All);
    let latency = read_span(reader, "latency", true);
    let percentile = read_share(reader, "percentile", 100.0, false).unwrap_or(DEFAULT_PERCENTILE);
    let coverage = has_required_key(reader, "coverage")
        .then(|| read_share(reader, "coverage", 1.0, true))
        .flatten();
    let priorities = [
        ("latency", TargetPriority::CoverageFirst),
        ("coverage", TargetPriority::LatencyFirst),
    ];
    let priority = has_required_key(reader, "gives-way")
        .then(|| reader.choice("gives-way", &priorities))
        .flatten();
    let yes_no_values = [("yes", true), ("no", false)];
    let idempotent = has_required_key(reader, "idempotent")
        .then(|| reader.choice("idempotent", &yes_no_values))
        .flatten();
    if scope == ClassScope::All && idempotent == Some(false) {
        let message = "a class with `scope = all` must be idempotent, because its shard requests are hedged; \
                       expected `scope = one` or `idempotent = yes`";
        reader.report("idempotent", message);
    }
    let bound = read_span(reader, "bound", false);
    if let (Some(latency), Some(bound)) = (latency, bound)
        && bound < latency
    {
        let message = format!(
            "`{}` is shorter than the target latency `{}`",
            TimeSpan(bound),
            TimeSpan(latency)
        );
        reader.report("bound", message);
    }
    let latency = latency?;
    Some(ClassTarget {
        name: name?,
        index: index?,
        scope,
        latency,
        percentile,
        coverage: coverage?,
        priority: priority?,
        bound: bound.unwrap_or(latency * DEFAULT_BOUND_FACTOR),
        idempotent: idempotent?,
    })
}

/// Returns whether a key without a default is present, and records a finding if it isn't.
fn has_required_key(reader: &mut SectionReader<'_>, key: &'static str) -> bool {
    reader.required::<CompactString>(key).is_some()
}

/// Reads a duration above zero and up to [`MAX_DURATION`].
fn read_span(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    is_required: bool,
) -> Option<Duration> {
    let span = if is_required {
        reader.required::<TimeSpan>(key)?
    } else {
        reader.optional::<TimeSpan>(key)?
    };
    if span.0.is_zero() || span.0 > MAX_DURATION {
        let max = TimeSpan(MAX_DURATION);
        reader.report(key, format!("`{span}` is not above 0 and up to {max}"));
        return None;
    }
    Some(span.0)
}

/// Reads a number above zero and below `max`, or up to `max` if `is_inclusive`.
fn read_share(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    max: f64,
    is_inclusive: bool,
) -> Option<f64> {
    let share = reader.optional::<f64>(key)?;
    let is_in_range = share > 0.0 && (share < max || is_inclusive && share <= max);
    if is_in_range {
        return Some(share);
    }
    let limit_word = if is_inclusive { "up to" } else { "below" };
    reader.report(
        key,
        format!("`{share}` is not above 0 and {limit_word} {max}"),
    );
    None
}

/// Returns the line of a key, or the line of the section if it lacks the key.
fn line_of(section: &IniSection, key: &str) -> u32 {
    let mut properties = section.properties.iter();
    properties
        .find(|property| property.key == key)
        .map_or(section.line, |property| property.line)
}

/// Records a finding for each key that would control routing.
fn reject_routing_keys(reader: &mut SectionReader<'_>, section: &IniSection) {
    for key in ROUTING_KEYS {
        let is_present = section
            .properties
            .iter()
            .any(|property| property.key == key);
        if is_present {
            reader.report(key, routing_message());
        }
    }
}

fn routing_message() -> &'static str {
    "operators state targets only; expected no weights, servers or addresses"
}

#[cfg(test)]
#[path = "parse_tests.rs"]
mod tests;
