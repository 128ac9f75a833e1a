//! Records kept in the store: the head, change records, parts, and the evidence of each zone.
//!
//! | key | value |
//! | --- | --- |
//! | `config/head` | [`HeadRecord`], moved by compare-and-swap |
//! | `config/changes/{change}` | [`ChangeRecord`], written once |
//! | `config/parts/{digest}` | the text of one file, written once, named by its SHA-256 |
//! | `config/held/{zone}` | [`HeldEvidence`], rewritten by the zone's watchers |

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::declaration::{DeclaredConfig, DeclaredFile};
use crate::finding::FindingList;
use crate::ident::{IdentError, RevisionNumber, VmAddress, ZoneName};
use crate::store::VALUE_LIMIT;

/// Store key of the [`HeadRecord`].
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the store keys of each zone's [`HeldEvidence`].
pub const EVIDENCE_PREFIX: &str = "config/held";
/// Maximum number of files in one revision.
pub const FILE_LIMIT: usize = 1_000;

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident($bytes:literal), $kind:literal, $form:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(pub [u8; $bytes]);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                for byte in self.0 {
                    write!(f, "{byte:02x}")?;
                }
                Ok(())
            }
        }

        impl FromStr for $name {
            type Err = IdentError;

            fn from_str(text: &str) -> Result<Self, IdentError> {
                let error = || IdentError::new(text, $kind, $form);
                if text.len() != 2 * $bytes || !text.is_ascii() {
                    return Err(error());
                }
                let mut bytes = [0; $bytes];
                for (index, byte) in bytes.iter_mut().enumerate() {
                    let digits = &text[2 * index..2 * index + 2];
                    *byte = u8::from_str_radix(digits, 16).map_err(|_error| error())?;
                }
                Ok(Self(bytes))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdentError;

            fn try_from(text: CompactString) -> Result<Self, IdentError> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(value: $name) -> Self {
                format_compact!("{value}")
            }
        }
    };
}

hex_type!(
    /// Identity of a change, drawn at random by the tool that publishes it.
    ChangeId(16), "change id", "32 hex digits"
);
hex_type!(
    /// SHA-256 digest of the text of a part.
    PartDigest(32), "part digest", "64 hex digits"
);

impl ChangeId {
    /// Draws a random change identity.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        let mut bytes = [0; 16];
        rng.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// Returns the store key of the change's record.
    pub fn key(self) -> String {
        format!("config/changes/{self}")
    }
}

impl PartDigest {
    /// Computes the SHA-256 digest of a text.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::revision::PartDigest;
    ///
    /// let digest = PartDigest::new(b"");
    /// assert!(digest.to_string().starts_with("e3b0c44298fc1c14"));
    /// assert_eq!(digest.to_string().parse(), Ok(digest));
    /// ```
    pub fn new(text: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(text.as_ref()).into())
    }

    /// Returns the store key of the part with this digest.
    pub fn key(self) -> String {
        format!("config/parts/{self}")
    }
}

/// Names the newest published revision and the change that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Number of the revision.
    pub revision: RevisionNumber,
    /// The change that made the revision.
    pub change: ChangeId,
}

impl fmt::Display for HeadRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} (change {})", self.revision, self.change)
    }
}

/// Name, digest and size of one file of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// Name of the file, relative to the directory of declarations.
    pub name: CompactString,
    /// Digest of the file's text.
    pub sha256: PartDigest,
    /// Length of the file's text in bytes.
    pub size: u32,
}

/// A published change: the complete set of files of its revision, its ancestors and its author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Number of the revision that the change makes.
    pub revision: RevisionNumber,
    /// Identity of the change.
    pub change: ChangeId,
    /// Ancestors of the change, newest first: its parent, the parent's parent and so on, at most [`LINEAGE_LIMIT`] of
    /// them.
    pub lineage: Vec<ChangeId>,
    /// The revision whose files a watcher put in force again after the store had lost it; `None` for an operator's
    /// change.
    pub restores: Option<HeadRecord>,
    /// The files of the revision.
    pub parts: Vec<PartEntry>,
    /// Who published the change.
    pub author: CompactString,
    /// The author's reason for the change.
    pub note: CompactString,
    /// When the change was published, in milliseconds since the Unix epoch by the author's clock.
    pub time_ms: u64,
}

/// Maximum number of ancestors that a change record names.
pub const LINEAGE_LIMIT: usize = 128;

impl ChangeRecord {
    /// Returns a placeholder for a change whose record the store has lost.
    pub fn placeholder(head: HeadRecord) -> Self {
        Self {
            revision: head.revision,
            change: head.change,
            lineage: Vec::new(),
            restores: None,
            parts: Vec::new(),
            author: CompactString::default(),
            note: CompactString::default(),
            time_ms: 0,
        }
    }

    /// Returns the change that was the head before this one; `None` for the first change.
    pub fn parent(&self) -> Option<ChangeId> {
        self.lineage.first().copied()
    }

    /// Returns the lineage of a change that has this one as its parent.
    pub fn child_lineage(&self) -> Vec<ChangeId> {
        let mut lineage = vec![self.change];
        lineage.extend(self.lineage.iter().take(LINEAGE_LIMIT - 1));
        lineage
    }

    /// Returns whether this change descends from `held_head` and so may replace it.
    ///
    /// If a store loses its last writes and is then published to again, its new change doesn't descend from the lost
    /// one. If `held_head` is too old for the lineage to reach back to it, the higher revision number decides.
    pub fn follows(&self, held_head: HeadRecord) -> bool {
        if self.revision <= held_head.revision {
            return false;
        }
        let exceeds_lineage = self.lineage.len() >= LINEAGE_LIMIT
            && self.revision.0 - held_head.revision.0 >= LINEAGE_LIMIT as u64;
        exceeds_lineage || self.lineage.contains(&held_head.change)
    }

    /// Returns a change that puts the files of this one in force again, as a child of a `head` that doesn't descend
    /// from it.
    #[must_use]
    pub fn restored_onto(&self, head: &ChangeRecord, change: ChangeId, time_ms: u64) -> Self {
        let mut lineage = vec![head.change, self.change];
        for ancestor in self.lineage.iter().chain(&head.lineage) {
            if lineage.len() < LINEAGE_LIMIT && !lineage.contains(ancestor) {
                lineage.push(*ancestor);
            }
        }
        Self {
            revision: RevisionNumber(head.revision.0.max(self.revision.0) + 1),
            change,
            lineage,
            restores: Some(self.head()),
            parts: self.parts.clone(),
            author: CompactString::const_new("ebonyfork"),
            note: format_compact!(
                "restores revision {}, which the store had lost when {} was published",
                self.revision,
                head.revision
            ),
            time_ms,
        }
    }

    /// Returns the head record that names this change.
    pub fn head(&self) -> HeadRecord {
        HeadRecord {
            revision: self.revision,
            change: self.change,
        }
    }
}

/// A VM that doesn't hold the newest revision yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingVm {
    /// Address of the VM.
    pub vm: VmAddress,
    /// The revision that the VM is known to hold; zero if none is known.
    pub revision: RevisionNumber,
}

/// Which revisions the VMs of one zone hold, written by a watcher of the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEvidence {
    /// Name of the zone.
    pub zone: ZoneName,
    /// The watcher that wrote the evidence.
    pub writer: VmAddress,
    /// The revision that the writer itself holds.
    pub held: HeadRecord,
    /// The lowest revision held by any live VM of the zone.
    pub lowest: RevisionNumber,
    /// Number of VMs in the zone according to the writer.
    pub vms: u32,
    /// VMs that hold a lower revision than the writer, at most [`LAGGING_LIMIT`] of them.
    pub lagging: Vec<LaggingVm>,
    /// When the evidence was written, in milliseconds since the Unix epoch by the writer's clock.
    pub time_ms: u64,
}

/// Maximum number of lagging VMs that evidence names.
pub const LAGGING_LIMIT: usize = 100;

impl HeldEvidence {
    /// Returns the store key of a zone's evidence.
    pub fn key(zone: &ZoneName) -> String {
        format!("{EVIDENCE_PREFIX}/{zone}")
    }
}

/// The files of a revision as the parts to publish.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartSet {
    /// Entries of the parts, sorted by file name.
    pub entries: Vec<PartEntry>,
    /// Texts of the parts, in the same order as `entries`.
    pub texts: Vec<Bytes>,
}

impl PartSet {
    /// Checks declaration files and turns each into a part. Returns all findings if there are any.
    pub fn new(files: &[DeclaredFile]) -> Result<Self, FindingList> {
        let mut findings = FindingList::new();
        if files.is_empty() {
            findings.push("declarations", 0, "no file, expected at least one `*.ini`");
        }
        if files.len() > FILE_LIMIT {
            let count = files.len();
            findings.push(
                "declarations",
                0,
                format!("{count} files, expected at most {FILE_LIMIT}"),
            );
        }
        if let Err(parse_findings) = DeclaredConfig::parse(files, RevisionNumber(0)) {
            findings.extend(parse_findings);
        }
        let mut sorted_files: Vec<&DeclaredFile> = files.iter().collect();
        sorted_files.sort_by(|a, b| a.name.cmp(&b.name));
        let mut part_set = Self::default();
        for file in sorted_files {
            let size = file.text.len();
            if size > VALUE_LIMIT {
                let message =
                    format!("{size} bytes, expected at most {VALUE_LIMIT}: split the file");
                findings.push(&file.name, 0, message);
                continue;
            }
            part_set.entries.push(PartEntry {
                name: file.name.clone(),
                sha256: PartDigest::new(&file.text),
                size: size as u32,
            });
            part_set.texts.push(Bytes::from(file.text.clone()));
        }
        findings.into_result(part_set)
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
