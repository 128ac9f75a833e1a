//! Findings: all errors in an input file, each with its location, reported together.
//!
//! A reader of settings or declarations doesn't stop at the first error. It records a [`Finding`] with file and line,
//! continues, and fails at the end with a [`FindingList`], so that an operator can fix all errors at once.

use std::fmt;

use compact_str::{CompactString, ToCompactString};
use smallvec::SmallVec;

/// Location of a finding.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FindingLocation {
    /// Name of the file, as the operator specified it.
    pub file: CompactString,
    /// Line in the file, counted from 1; 0 means the file as a whole.
    pub line: u32,
}

impl fmt::Display for FindingLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.file),
            line => write!(f, "{}:{line}", self.file),
        }
    }
}

/// One error in an input file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// File and line of the error.
    pub location: FindingLocation,
    /// What is wrong and what was expected.
    pub message: CompactString,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// Findings of one check; displayed in order of their locations.
///
/// # Examples
///
/// ```
/// use ebonyfork::finding::FindingList;
///
/// let mut findings = FindingList::new();
/// findings.push("node.ini", 3, "unknown key `zome`, did you mean `zone`?");
/// assert_eq!(findings.to_string(), "node.ini:3: unknown key `zome`, did you mean `zone`?");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding; `line` 0 means the file as a whole.
    pub fn push(&mut self, file: impl AsRef<str>, line: u32, message: impl ToCompactString) {
        let location = FindingLocation {
            file: CompactString::new(file),
            line,
        };
        self.findings.push(Finding {
            location,
            message: message.to_compact_string(),
        });
    }

    /// Adds the findings of another check.
    pub fn extend(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings ordered by location.
    pub fn sorted(&self) -> impl Iterator<Item = &Finding> {
        let mut findings: SmallVec<[&Finding; 8]> = self.findings.iter().collect();
        findings.sort_by(|a, b| a.location.cmp(&b.location));
        findings.into_iter()
    }

    /// Returns the checked value if there are no findings, else the findings as an error.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.sorted().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}

/// Returns the known name closest to a misspelt one, if it is close enough to be suggested to the operator.
///
/// # Examples
///
/// ```
/// use ebonyfork::finding::nearest_name;
///
/// assert_eq!(nearest_name("zome", ["zone", "port"]), Some("zone"));
/// assert_eq!(nearest_name("weight", ["zone", "port"]), None);
/// ```
pub fn nearest_name<'a>(
    name: &str,
    known_names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    /// Largest edit distance of a suggestion.
    const MAX_DISTANCE: usize = 2;
    let mut nearest = None;
    for candidate in known_names {
        let distance = strsim::damerau_levenshtein(name, candidate);
        if distance > MAX_DISTANCE || nearest.is_some_and(|(least, _)| least <= distance) {
            continue;
        }
        nearest = Some((distance, candidate));
    }
    nearest.map(|(_, candidate)| candidate)
}

#[cfg(test)]
#[path = "finding_tests.rs"]
mod tests;
