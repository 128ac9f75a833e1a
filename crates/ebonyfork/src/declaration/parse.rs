//! Reads declarations and collects everything that is wrong with them.

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

/// The bound of a class that states none, as a multiple of its latency.
pub const BOUND_FACTOR: u32 = 4;
/// The percentile of a class that states none.
pub const PERCENTILE: f64 = 99.0;
/// The time to drain of a service that states none.
pub const DRAIN: Duration = Duration::from_secs(10);
/// The longest time that a target or a bound may name.
const LONGEST_SPAN: Duration = Duration::from_hours(1);
/// The most connections that one upstream may be said to accept.
const MOST_CONNECTIONS: u32 = 100_000;

const SECTIONS: [&str; 3] = ["service", "class", "organisation"];
/// Keys that would steer work instead of stating a target.
const STEERING_KEYS: [&str; 20] = [
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
/// Sections that would steer work instead of stating a target.
const STEERING_SECTIONS: [&str; 9] = [
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

/// One file of declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredFile {
    /// Name of the file, relative to the directory of declarations.
    pub name: CompactString,
    /// Its text.
    pub text: String,
}

impl DeclaredFile {
    /// Makes a file.
    pub fn new(name: impl AsRef<str>, text: impl Into<String>) -> Self {
        Self {
            name: CompactString::new(name),
            text: text.into(),
        }
    }
}

impl DeclaredConfig {
    /// Reads all files of one revision and reports every finding at once.
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
    /// let steering = [DeclaredFile::new("main.ini", "[service tender-00]\nweight = 3\n")];
    /// let findings = DeclaredConfig::parse(&steering, RevisionNumber(1)).unwrap_err();
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

/// Where an entry was declared first.
#[derive(Debug, Clone)]
struct EntryPlace {
    file: CompactString,
    line: u32,
}

/// Collects entries and findings over all files.
#[derive(Debug)]
struct ConfigDraft {
    config: DeclaredConfig,
    findings: FindingList,
    places: BTreeMap<(CompactString, CompactString), EntryPlace>,
    /// Every class that a file declares, also those with findings: an organisation may name it without a second
    /// finding.
    class_names: Vec<CompactString>,
    /// Places of the organisations' class lists, for the check across files.
    class_uses: Vec<(EntryPlace, ClassName)>,
}

impl ConfigDraft {
    fn new(revision: RevisionNumber) -> Self {
        Self {
            config: DeclaredConfig {
                revision,
                ..DeclaredConfig::default()
            },
            findings: FindingList::new(),
            places: BTreeMap::new(),
            class_names: Vec::new(),
            class_uses: Vec::new(),
        }
    }

    fn read_file(&mut self, file: &DeclaredFile) {
        let document = IniDocument::parse(&file.name, &file.text, &mut self.findings);
        for section in &document.sections {
            if !self.claim(&file.name, section) {
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

    /// Notes where an entry stands; tells whether it is the first of its name.
    fn claim(&mut self, file: &str, section: &IniSection) -> bool {
        let key = (section.kind.clone(), section.name.clone());
        let Some(first) = self.places.get(&key) else {
            let place = EntryPlace {
                file: CompactString::new(file),
                line: section.line,
            };
            self.places.insert(key, place);
            return true;
        };
        // Within one file the INI reader has reported it already.
        if first.file != file {
            let (kind, name) = key;
            let message = format!(
                "[{kind} {name}] already stands at {}:{}",
                first.file, first.line
            );
            self.findings.push(file, section.line, message);
        }
        false
    }

    fn reject_section(&mut self, file: &str, line: u32, kind: &str) {
        let message = if STEERING_SECTIONS.contains(&kind) {
            format!("section `{kind}`: {}", steering_message())
        } else {
            unknown_message("section", kind, &SECTIONS)
        };
        self.findings.push(file, line, message);
    }

    fn read_service(&mut self, file: &str, section: &IniSection) {
        let name = self.read_name::<ServiceName>(file, section);
        let mut reader = SectionReader::new(file, section, &mut self.findings);
        reject_steering(&mut reader, section);
        let connections = reader.required("connections");
        if let Some(connections) = connections
            && !(1..=MOST_CONNECTIONS).contains(&connections)
        {
            let message = format!("`{connections}` is not between 1 and {MOST_CONNECTIONS}");
            reader.report("connections", message);
        }
        let drain = read_span(&mut reader, "drain", false).unwrap_or(DRAIN);
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
        reject_steering(&mut reader, section);
        let target = read_target(&mut reader, name);
        reader.finish();
        if let Some(target) = target {
            self.config.classes.insert(target.name.clone(), target);
        }
    }

    fn read_organisation(&mut self, file: &str, section: &IniSection) {
        let name = self.read_name::<OrganisationName>(file, section);
        let mut reader = SectionReader::new(file, section, &mut self.findings);
        reject_steering(&mut reader, section);
        let stated = reader.required::<CompactString>("classes").is_some();
        let listed = if stated {
            reader.list::<ClassName>("classes")
        } else {
            Vec::new()
        };
        let line = line_of(section, "classes");
        let mut classes: Vec<ClassName> = Vec::new();
        for class in listed {
            if classes.contains(&class) {
                reader.report("classes", format!("`{class}` stands twice"));
                continue;
            }
            let place = EntryPlace {
                file: CompactString::new(file),
                line,
            };
            self.class_uses.push((place, class.clone()));
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

    /// Checks what organisations name against the classes of all files.
    fn check_organisations(&mut self) {
        let known: Vec<&str> = self.class_names.iter().map(CompactString::as_str).collect();
        for (place, class) in &self.class_uses {
            if known.contains(&class.as_str()) {
                continue;
            }
            let message = if known.is_empty() {
                format!("classes: unknown class `{class}`, no class is declared")
            } else {
                format!(
                    "classes: {}",
                    unknown_message("class", class.as_str(), &known)
                )
            };
            self.findings.push(&place.file, place.line, message);
        }
    }
}

fn read_target(reader: &mut SectionReader<'_>, name: Option<ClassName>) -> Option<ClassTarget> {
    let index = reader.required("index");
    let scopes = [("all", ClassScope::All), ("one", ClassScope::One)];
    let scope = reader.choice("scope", &scopes).unwrap_or(ClassScope::All);
    let latency = read_span(reader, "latency", true);
    let percentile = read_share(reader, "percentile", 100.0, false).unwrap_or(PERCENTILE);
    let coverage = required(reader, "coverage")
        .then(|| read_share(reader, "coverage", 1.0, true))
        .flatten();
    let priorities = [
        ("latency", TargetPriority::CoverageFirst),
        ("coverage", TargetPriority::LatencyFirst),
    ];
    let priority = required(reader, "gives-way")
        .then(|| reader.choice("gives-way", &priorities))
        .flatten();
    let answers = [("yes", true), ("no", false)];
    let idempotent = required(reader, "idempotent")
        .then(|| reader.choice("idempotent", &answers))
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
        bound: bound.unwrap_or(latency * BOUND_FACTOR),
        idempotent: idempotent?,
    })
}

/// Tells whether a key that has no default is there, and records a finding if not.
fn required(reader: &mut SectionReader<'_>, key: &'static str) -> bool {
    reader.required::<CompactString>(key).is_some()
}

fn read_span(reader: &mut SectionReader<'_>, key: &'static str, needed: bool) -> Option<Duration> {
    let span = if needed {
        reader.required::<TimeSpan>(key)?
    } else {
        reader.optional::<TimeSpan>(key)?
    };
    if span.0.is_zero() || span.0 > LONGEST_SPAN {
        let longest = TimeSpan(LONGEST_SPAN);
        reader.report(key, format!("`{span}` is not above 0 and up to {longest}"));
        return None;
    }
    Some(span.0)
}

/// Reads a number above zero and up to (`inclusive`) or below `most`.
fn read_share(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    most: f64,
    inclusive: bool,
) -> Option<f64> {
    let share = reader.optional::<f64>(key)?;
    let fits = share > 0.0 && (share < most || inclusive && share <= most);
    if fits {
        return Some(share);
    }
    let edge = if inclusive { "up to" } else { "below" };
    reader.report(key, format!("`{share}` is not above 0 and {edge} {most}"));
    None
}

fn line_of(section: &IniSection, key: &str) -> u32 {
    let mut properties = section.properties.iter();
    properties
        .find(|property| property.key == key)
        .map_or(section.line, |property| property.line)
}

/// Records a finding for each key that would steer work.
fn reject_steering(reader: &mut SectionReader<'_>, section: &IniSection) {
    for key in STEERING_KEYS {
        let stated = section
            .properties
            .iter()
            .any(|property| property.key == key);
        if stated {
            reader.report(key, steering_message());
        }
    }
}

fn steering_message() -> &'static str {
    "operators state targets only; expected no weights, servers or addresses"
}

#[cfg(test)]
#[path = "parse_tests.rs"]
mod tests;
