//! Findings: everything that is wrong with an input, each with its place, reported together.
//!
//! A reader of settings or declarations doesn't stop at the first error. It records a [`Finding`] with file and line,
//! goes on, and fails at the end with a [`FindingList`], so that an operator mends all of it in one go.

use std::fmt;

use compact_str::{CompactString, ToCompactString};
use smallvec::SmallVec;

/// Where a finding stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FindingPlace {
    /// The file, as the operator named it.
    pub file: CompactString,
    /// Line in the file, counted from 1; 0 means the file as a whole.
    pub line: u32,
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.file),
            line => write!(f, "{}:{line}", self.file),
        }
    }
}

/// One thing that is wrong, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it stands.
    pub place: FindingPlace,
    /// What is wrong and what was expected.
    pub message: CompactString,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings of one check, in the order of their places.
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
    /// Starts without findings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a finding.
    pub fn push(&mut self, file: impl AsRef<str>, line: u32, message: impl ToCompactString) {
        let place = FindingPlace {
            file: CompactString::new(file),
            line,
        };
        self.findings.push(Finding {
            place,
            message: message.to_compact_string(),
        });
    }

    /// Adds the findings of another check.
    pub fn extend(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Tells whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings ordered by place.
    pub fn sorted(&self) -> impl Iterator<Item = &Finding> {
        let mut findings: SmallVec<[&Finding; 8]> = self.findings.iter().collect();
        findings.sort_by(|a, b| a.place.cmp(&b.place));
        findings.into_iter()
    }

    /// Turns the checked value into a result: the value if nothing was found, else the findings.
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
        for (number, finding) in self.sorted().enumerate() {
            if number > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}

/// Finds the known name nearest to a misspelt one, close enough to be offered to the operator.
///
/// # Examples
///
/// ```
/// use ebonyfork::finding::nearest_name;
///
/// assert_eq!(nearest_name("zome", ["zone", "port"]), Some("zone"));
/// assert_eq!(nearest_name("weight", ["zone", "port"]), None);
/// ```
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const FARTHEST: usize = 2;
    let mut nearest = None;
    for candidate in known {
        let distance = strsim::damerau_levenshtein(name, candidate);
        if distance > FARTHEST || nearest.is_some_and(|(best, _)| best <= distance) {
            continue;
        }
        nearest = Some((distance, candidate));
    }
    nearest.map(|(_, candidate)| candidate)
}

#[cfg(test)]
#[path = "finding_tests.rs"]
mod tests;
