//! What is kept in the store: the head, change records, parts, and the evidence of each zone.
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

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of the zones' evidence.
pub const HELD_PREFIX: &str = "config/held";
/// The most files that one revision may have.
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
                for (number, byte) in bytes.iter_mut().enumerate() {
                    let digits = &text[2 * number..2 * number + 2];
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
    /// Identity of one change: drawn at random by the tool that publishes it.
    ChangeId(16), "change id", "32 hex digits"
);
hex_type!(
    /// SHA-256 of a part.
    PartDigest(32), "part digest", "64 hex digits"
);

impl ChangeId {
    /// Draws a new identity.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        let mut bytes = [0; 16];
        rng.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// Key of the change's record.
    pub fn key(self) -> String {
        format!("config/changes/{self}")
    }
}

impl PartDigest {
    /// Computes the digest of a text.
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

    /// Key of the part.
    pub fn key(self) -> String {
        format!("config/parts/{self}")
    }
}

/// The newest revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Its number.
    pub revision: RevisionNumber,
    /// The change that made it.
    pub change: ChangeId,
}

impl fmt::Display for HeadRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} (change {})", self.revision, self.change)
    }
}

/// One file of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// Name of the file, relative to the directory of declarations.
    pub name: CompactString,
    /// Digest of its text.
    pub sha256: PartDigest,
    /// Its length in bytes.
    pub size: u32,
}

/// One published change: the whole set of files and where it came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision it makes.
    pub revision: RevisionNumber,
    /// Its identity.
    pub change: ChangeId,
    /// The changes that this one follows, newest first: its parent, the parent's parent and so on, at most
    /// [`LINEAGE_LIMIT`] of them.
    pub lineage: Vec<ChangeId>,
    /// The revision whose files a watcher put in force again after the store had lost it; none for an operator's
    /// change.
    pub restores: Option<HeadRecord>,
    /// Its files.
    pub parts: Vec<PartEntry>,
    /// Who published it.
    pub author: CompactString,
    /// Why, in the author's words.
    pub note: CompactString,
    /// When, in milliseconds since the Unix epoch by the author's clock.
    pub time_ms: u64,
}

/// The most earlier changes that a record names.
pub const LINEAGE_LIMIT: usize = 128;

impl ChangeRecord {
    /// Stands for a change whose record the store has lost.
    pub fn lost(head: HeadRecord) -> Self {
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

    /// The change that was the head before; none for the first.
    pub fn parent(&self) -> Option<ChangeId> {
        self.lineage.first().copied()
    }

    /// The lineage of a change that is made onto this one.
    pub fn child_lineage(&self) -> Vec<ChangeId> {
        let mut lineage = vec![self.change];
        lineage.extend(self.lineage.iter().take(LINEAGE_LIMIT - 1));
        lineage
    }

    /// Tells whether this change was made in knowledge of another: only then may it replace it.
    ///
    /// A store that loses its last writes and is published to again shows a change that wasn't. Against a revision so
    /// old that the lineage doesn't reach back to it, the higher number decides.
    pub fn follows(&self, held: HeadRecord) -> bool {
        if self.revision <= held.revision {
            return false;
        }
        let beyond = self.lineage.len() >= LINEAGE_LIMIT
            && self.revision.0 - held.revision.0 >= LINEAGE_LIMIT as u64;
        beyond || self.lineage.contains(&held.change)
    }

    /// A change that puts this one's files in force again, onto a head that doesn't follow it.
    #[must_use]
    pub fn restored_onto(&self, head: &ChangeRecord, change: ChangeId, time_ms: u64) -> Self {
        let mut lineage = vec![head.change, self.change];
        for earlier in self.lineage.iter().chain(&head.lineage) {
            if lineage.len() < LINEAGE_LIMIT && !lineage.contains(earlier) {
                lineage.push(*earlier);
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
    /// The head that names this change.
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
    /// The VM.
    pub vm: VmAddress,
    /// What it holds as far as is known; zero if nothing is known of it.
    pub revision: RevisionNumber,
}

/// What one zone's VMs hold, written by a watcher of the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEvidence {
    /// The zone.
    pub zone: ZoneName,
    /// The watcher that wrote it.
    pub writer: VmAddress,
    /// What the writer itself holds.
    pub held: HeadRecord,
    /// The lowest revision held by any of the zone's live VMs.
    pub lowest: RevisionNumber,
    /// How many VMs the zone has, as the writer sees it.
    pub vms: u32,
    /// VMs below the writer's revision, at most [`LAGGING_LIMIT`] of them.
    pub lagging: Vec<LaggingVm>,
    /// When, in milliseconds since the Unix epoch by the writer's clock.
    pub time_ms: u64,
}

/// The most lagging VMs that evidence names.
pub const LAGGING_LIMIT: usize = 100;

impl HeldEvidence {
    /// Key of a zone's evidence.
    pub fn key(zone: &ZoneName) -> String {
        format!("{HELD_PREFIX}/{zone}")
    }
}

/// The files of a revision as the parts that are published.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartSet {
    /// Entries in order of their names.
    pub entries: Vec<PartEntry>,
    /// Their texts, in the same order.
    pub texts: Vec<Bytes>,
}

impl PartSet {
    /// Checks files and makes parts of them.
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
        if let Err(more) = DeclaredConfig::parse(files, RevisionNumber(0)) {
            findings.extend(more);
        }
        let mut sorted: Vec<&DeclaredFile> = files.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let mut set = Self::default();
        for file in sorted {
            let size = file.text.len();
            if size > VALUE_LIMIT {
                let message =
                    format!("{size} bytes, expected at most {VALUE_LIMIT}: split the file");
                findings.push(&file.name, 0, message);
                continue;
            }
            set.entries.push(PartEntry {
                name: file.name.clone(),
                sha256: PartDigest::new(&file.text),
                size: size as u32,
            });
            set.texts.push(Bytes::from(file.text.clone()));
        }
        findings.into_result(set)
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
