//! Reading INI text with places, for settings, declarations and scenarios alike.
//!
//! `ini_core` splits the lines; this module keeps the line of every section and property, takes typed values out and
//! records a finding for whatever is missing, malformed, doubled or unknown. A section header is a kind with an
//! optional name: `[node]`, `[class tender-search]`. Comments start with `;`, at a line's start or after white space.

use std::collections::hash_map::Entry;
use std::fmt::Display;
use std::str::FromStr;

use compact_str::CompactString;
use ini_core::{Item, Parser};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::finding::{FindingList, nearest_name};

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProperty {
    /// Key, without surrounding white space.
    pub key: CompactString,
    /// Value, without surrounding white space.
    pub value: CompactString,
    /// Line, counted from 1.
    pub line: u32,
}

/// One section with its properties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// First word of the header.
    pub kind: CompactString,
    /// The rest of the header; empty if there is none.
    pub name: CompactString,
    /// Line of the header, counted from 1.
    pub line: u32,
    /// Properties in order.
    pub properties: Vec<IniProperty>,
}

/// A parsed INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniDocument {
    /// The file, as the operator named it.
    pub file: CompactString,
    /// Sections in order.
    pub sections: Vec<IniSection>,
}

impl IniDocument {
    /// Splits a text into sections and records what is not INI.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::finding::FindingList;
    /// use ebonyfork::ini::IniDocument;
    ///
    /// let mut findings = FindingList::new();
    /// let document = IniDocument::parse("a.ini", "[class search]\nlatency = 300ms\n", &mut findings);
    /// assert!(findings.is_empty());
    /// assert_eq!(document.sections[0].kind, "class");
    /// assert_eq!(document.sections[0].properties[0].line, 2);
    /// ```
    pub fn parse(file: impl AsRef<str>, text: &str, findings: &mut FindingList) -> Self {
        let mut builder = DocumentBuilder::new(file);
        let mut parser = Parser::new(text).auto_trim(true);
        while let Some(item) = parser.next() {
            let line = parser.line();
            builder.take_item(item, line, findings);
        }
        builder.document
    }

    /// Reports every section that has a name or whose kind is not among the known ones.
    pub fn check_sections(&self, known: &[&str], findings: &mut FindingList) {
        for section in &self.sections {
            if known.contains(&section.kind.as_str()) && section.name.is_empty() {
                continue;
            }
            let message = unknown_message("section", &section.kind, known);
            findings.push(&self.file, section.line, message);
        }
    }

    /// The first section of a kind.
    pub fn find_section(&self, kind: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.kind == kind)
    }

    /// The first section of a kind; its absence is a finding.
    pub fn needed_section(&self, kind: &str, findings: &mut FindingList) -> Option<&IniSection> {
        let section = self.find_section(kind);
        if section.is_none() {
            findings.push(&self.file, 0, format!("lacks the section [{kind}]"));
        }
        section
    }
}

/// Builds a document line by line.
struct DocumentBuilder {
    document: IniDocument,
    /// Line of each header seen, so that a doubled one is found without a search.
    headers: FxHashMap<(CompactString, CompactString), u32>,
}

impl DocumentBuilder {
    fn new(file: impl AsRef<str>) -> Self {
        let document = IniDocument {
            file: CompactString::new(file),
            sections: Vec::new(),
        };
        Self {
            document,
            headers: FxHashMap::default(),
        }
    }

    fn take_item(&mut self, item: Item<'_>, line: u32, findings: &mut FindingList) {
        match item {
            Item::Section(header) => self.open_section(header, line, findings),
            Item::Property(key, value) => self.take_property(key, value, line, findings),
            Item::Error(text) => {
                let message = format!("malformed section header `{text}`");
                findings.push(&self.document.file, line, message);
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }

    fn open_section(&mut self, header: &str, line: u32, findings: &mut FindingList) {
        let (kind, name) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
        let (kind, name) = (CompactString::new(kind), CompactString::new(name.trim()));
        match self.headers.entry((kind.clone(), name.clone())) {
            Entry::Vacant(entry) => {
                entry.insert(line);
            }
            Entry::Occupied(entry) => {
                let message = format!("section [{header}] already stands at line {}", entry.get());
                findings.push(&self.document.file, line, message);
            }
        }
        self.document.sections.push(IniSection {
            kind,
            name,
            line,
            properties: Vec::new(),
        });
    }

    fn take_property(
        &mut self,
        key: &str,
        value: Option<&str>,
        line: u32,
        findings: &mut FindingList,
    ) {
        let Some(value) = value else {
            if !key.starts_with('#') {
                findings.push(
                    &self.document.file,
                    line,
                    format!("expected `key = value`, found `{key}`"),
                );
            }
            return;
        };
        if key.starts_with('#') {
            return;
        }
        let Some(section) = self.document.sections.last_mut() else {
            findings.push(
                &self.document.file,
                line,
                format!("`{key}` stands before the first section"),
            );
            return;
        };
        if let Some(twin) = section.properties.iter().find(|other| other.key == key) {
            let first = twin.line;
            findings.push(
                &self.document.file,
                line,
                format!("`{key}` already stands at line {first}"),
            );
            return;
        }
        let (key, value) = (
            CompactString::new(key),
            CompactString::new(strip_comment(value)),
        );
        section.properties.push(IniProperty { key, value, line });
    }
}

/// Cuts off a comment at a value's end: a `;` after white space.
fn strip_comment(value: &str) -> &str {
    let mut earlier = ' ';
    for (place, letter) in value.char_indices() {
        if letter == ';' && earlier.is_ascii_whitespace() {
            return value[..place].trim_end();
        }
        earlier = letter;
    }
    value
}

/// Takes typed values out of one section and records findings.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a IniSection,
    findings: &'a mut FindingList,
    known: SmallVec<[&'static str; 16]>,
}

impl<'a> SectionReader<'a> {
    /// Starts to read a section.
    pub fn new(file: &'a str, section: &'a IniSection, findings: &'a mut FindingList) -> Self {
        Self {
            file,
            section,
            findings,
            known: SmallVec::new(),
        }
    }

    /// Takes a value that may be missing.
    pub fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let property = self.property(key)?;
        match property.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.findings
                    .push(self.file, property.line, format!("{key}: {error}"));
                None
            }
        }
    }

    /// Takes a value that must be there.
    pub fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.property(key).is_none() {
            let IniSection {
                kind, name, line, ..
            } = self.section;
            let header = format!("{kind} {name}");
            let message = format!("[{}] lacks the key `{key}`", header.trim());
            self.findings.push(self.file, *line, message);
            return None;
        }
        self.optional(key)
    }

    /// Takes a comma-separated list; missing means empty.
    pub fn list<T>(&mut self, key: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(property) = self.property(key) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for text in property.value.split(',') {
            match text.trim().parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    self.findings
                        .push(self.file, property.line, format!("{key}: {error}"));
                }
            }
        }
        values
    }

    /// Takes one of a fixed set of words.
    pub fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&'static str, T)],
    ) -> Option<T> {
        let property = self.property(key)?;
        let chosen = choices.iter().find(|(word, _)| *word == property.value);
        if chosen.is_none() {
            let words: SmallVec<[&str; 4]> = choices.iter().map(|(word, _)| *word).collect();
            let message = format!(
                "{key}: `{}` is not one of `{}`",
                property.value,
                words.join("`, `")
            );
            self.findings.push(self.file, property.line, message);
        }
        chosen.map(|(_, value)| *value)
    }

    /// Records a finding at a key's line, or at the section's header if the key is missing.
    pub fn report(&mut self, key: &'static str, message: impl Display) {
        let line = self
            .property(key)
            .map_or(self.section.line, |property| property.line);
        self.findings
            .push(self.file, line, format!("{key}: {message}"));
    }

    /// Ends the section: every key that was never asked for is a finding, with the nearest known key.
    pub fn finish(self) {
        for property in &self.section.properties {
            let key = property.key.as_str();
            if self.known.contains(&key) {
                continue;
            }
            let message = unknown_message("key", key, &self.known);
            self.findings.push(self.file, property.line, message);
        }
    }

    fn property(&mut self, key: &'static str) -> Option<&'a IniProperty> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.section
            .properties
            .iter()
            .find(|property| property.key == key)
    }
}

/// Words a finding about an unknown name, offering the nearest known one or else all of them.
pub fn unknown_message(role: &str, name: &str, known: &[&str]) -> String {
    match nearest_name(name, known.iter().copied()) {
        Some(nearest) => format!("unknown {role} `{name}`, did you mean `{nearest}`?"),
        None => format!(
            "unknown {role} `{name}`, expected one of `{}`",
            known.join("`, `")
        ),
    }
}

#[cfg(test)]
#[path = "ini_tests.rs"]
mod tests;
