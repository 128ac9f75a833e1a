//! INI reader that keeps line numbers, for settings, declarations and scenarios.
//!
//! `ini_core` splits the lines. This module records the line of every section and property, parses typed values and
//! adds a finding for everything that is missing, malformed, duplicated or unknown. A section header is a kind with an
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
    /// Key, trimmed.
    pub key: CompactString,
    /// Value, trimmed and without comment.
    pub value: CompactString,
    /// Line number, counted from 1.
    pub line: u32,
}

/// One section with its properties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Kind of the section: the first word of the header.
    pub kind: CompactString,
    /// Name of the section: the rest of the header, or empty.
    pub name: CompactString,
    /// Line number of the header, counted from 1.
    pub line: u32,
    /// Properties in file order.
    pub properties: Vec<IniProperty>,
}

/// A parsed INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniDocument {
    /// Name of the file, as the operator specified it.
    pub file: CompactString,
    /// Sections in file order.
    pub sections: Vec<IniSection>,
}

impl IniDocument {
    /// Parses a text into sections; lines that are not valid INI are reported as findings.
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
            builder.add_item(item, line, findings);
        }
        builder.document
    }

    /// Reports every section that has a name or an unknown kind.
    pub fn check_sections(&self, known_kinds: &[&str], findings: &mut FindingList) {
        for section in &self.sections {
            if known_kinds.contains(&section.kind.as_str()) && section.name.is_empty() {
                continue;
            }
            let message = unknown_message("section", &section.kind, known_kinds);
            findings.push(&self.file, section.line, message);
        }
    }

    /// Returns the first section of a kind.
    pub fn find_section(&self, kind: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.kind == kind)
    }

    /// Returns the first section of a kind; reports a finding if there is none.
    pub fn required_section(&self, kind: &str, findings: &mut FindingList) -> Option<&IniSection> {
        let section = self.find_section(kind);
        if section.is_none() {
            findings.push(&self.file, 0, format!("lacks the section [{kind}]"));
        }
        section
    }
}

/// Builds an [`IniDocument`] line by line.
struct DocumentBuilder {
    document: IniDocument,
    /// Line of each section header so far, by kind and name, to detect duplicates.
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

    fn add_item(&mut self, item: Item<'_>, line: u32, findings: &mut FindingList) {
        match item {
            Item::Section(header) => self.open_section(header, line, findings),
            Item::Property(key, value) => self.add_property(key, value, line, findings),
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

    fn add_property(
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
        if let Some(duplicate) = section.properties.iter().find(|other| other.key == key) {
            let first_line = duplicate.line;
            findings.push(
                &self.document.file,
                line,
                format!("`{key}` already stands at line {first_line}"),
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

/// Removes a comment at the end of a value: a `;` after white space, and all that follows.
fn strip_comment(value: &str) -> &str {
    let mut previous = ' ';
    for (index, character) in value.char_indices() {
        if character == ';' && previous.is_ascii_whitespace() {
            return value[..index].trim_end();
        }
        previous = character;
    }
    value
}

/// Parses the values of one section and reports findings.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a IniSection,
    findings: &'a mut FindingList,
    /// Keys read so far; any other key in the section is unknown.
    read_keys: SmallVec<[&'static str; 16]>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader for a section.
    pub fn new(file: &'a str, section: &'a IniSection, findings: &'a mut FindingList) -> Self {
        Self {
            file,
            section,
            findings,
            read_keys: SmallVec::new(),
        }
    }

    /// Parses an optional value; a malformed one is reported as a finding.
    pub fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let property = self.find_property(key)?;
        match property.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.findings
                    .push(self.file, property.line, format!("{key}: {error}"));
                None
            }
        }
    }

    /// Parses a required value; a missing or malformed one is reported as a finding.
    pub fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.find_property(key).is_none() {
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

    /// Parses a comma-separated list, empty if the key is missing; malformed items are reported as findings.
    pub fn list<T>(&mut self, key: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(property) = self.find_property(key) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in property.value.split(',') {
            match item.trim().parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    self.findings
                        .push(self.file, property.line, format!("{key}: {error}"));
                }
            }
        }
        values
    }

    /// Parses a value that must be one of the given words; any other word is reported as a finding.
    pub fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&'static str, T)],
    ) -> Option<T> {
        let property = self.find_property(key)?;
        let selected = choices.iter().find(|(word, _)| *word == property.value);
        if selected.is_none() {
            let words: SmallVec<[&str; 4]> = choices.iter().map(|(word, _)| *word).collect();
            let message = format!(
                "{key}: `{}` is not one of `{}`",
                property.value,
                words.join("`, `")
            );
            self.findings.push(self.file, property.line, message);
        }
        selected.map(|(_, value)| *value)
    }

    /// Reports a finding at a key's line, or at the section's header if the key is missing.
    pub fn report(&mut self, key: &'static str, message: impl Display) {
        let line = self
            .find_property(key)
            .map_or(self.section.line, |property| property.line);
        self.findings
            .push(self.file, line, format!("{key}: {message}"));
    }

    /// Ends the section: reports each key that was never read as unknown, with the closest known key.
    pub fn finish(self) {
        for property in &self.section.properties {
            let key = property.key.as_str();
            if self.read_keys.contains(&key) {
                continue;
            }
            let message = unknown_message("key", key, &self.read_keys);
            self.findings.push(self.file, property.line, message);
        }
    }

    fn find_property(&mut self, key: &'static str) -> Option<&'a IniProperty> {
        if !self.read_keys.contains(&key) {
            self.read_keys.push(key);
        }
        self.section
            .properties
            .iter()
            .find(|property| property.key == key)
    }
}

/// Returns the message for an unknown name; it suggests the closest known name, or else lists all known names.
pub fn unknown_message(category: &str, name: &str, known_names: &[&str]) -> String {
    match nearest_name(name, known_names.iter().copied()) {
        Some(nearest) => format!("unknown {category} `{name}`, did you mean `{nearest}`?"),
        None => format!(
            "unknown {category} `{name}`, expected one of `{}`",
            known_names.join("`, `")
        ),
    }
}

#[cfg(test)]
#[path = "ini_tests.rs"]
mod tests;
