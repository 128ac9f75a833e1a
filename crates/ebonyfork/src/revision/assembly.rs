//! Assembles a revision from parts that come from the store or from peers.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::declaration::{DeclaredConfig, DeclaredFile};
use crate::finding::FindingList;

use super::record::{ChangeRecord, HeadRecord, PartDigest};

/// Texts of parts by digest.
pub type PartTexts = BTreeMap<PartDigest, Bytes>;

/// A revision with the texts of all its parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRevision {
    /// The change that made the revision.
    pub change: ChangeRecord,
    /// Texts of all parts of the revision.
    pub texts: PartTexts,
}

impl HeldRevision {
    /// Parses the revision's declaration files.
    pub fn parse(&self) -> Result<DeclaredConfig, FindingList> {
        let mut files = Vec::new();
        for part in &self.change.parts {
            let text = self.texts.get(&part.sha256).cloned().unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            files.push(DeclaredFile::new(&part.name, text));
        }
        DeclaredConfig::parse(&files, self.change.revision)
    }

    /// Returns the head record that names the revision.
    pub fn head(&self) -> HeadRecord {
        self.change.head()
    }
}

/// A revision whose parts are being collected. It isn't used before it is complete.
#[derive(Debug, Clone)]
pub struct RevisionAssembly {
    change: ChangeRecord,
    texts: PartTexts,
}

impl RevisionAssembly {
    /// Creates an assembly that already has the parts shared with the held revision.
    pub fn new(change: ChangeRecord, held_revision: Option<&HeldRevision>) -> Self {
        let mut texts = PartTexts::new();
        for part in &change.parts {
            let held_text = held_revision.and_then(|revision| revision.texts.get(&part.sha256));
            if let Some(text) = held_text {
                texts.insert(part.sha256, text.clone());
            }
        }
        Self { change, texts }
    }

    /// Returns the change whose parts are being collected.
    pub fn change(&self) -> &ChangeRecord {
        &self.change
    }

    /// Returns the digests of the parts that are still missing, each once.
    pub fn missing_parts(&self) -> Vec<PartDigest> {
        let mut missing_parts = Vec::new();
        for part in &self.change.parts {
            if !self.texts.contains_key(&part.sha256) && !missing_parts.contains(&part.sha256) {
                missing_parts.push(part.sha256);
            }
        }
        missing_parts
    }

    /// Adds a part if the change lists it and the text matches its digest. Returns whether the part was added.
    pub fn add_part(&mut self, sha256: PartDigest, text: Bytes) -> bool {
        let is_listed = self.change.parts.iter().any(|part| part.sha256 == sha256);
        if !is_listed || PartDigest::new(&text) != sha256 {
            return false;
        }
        self.texts.insert(sha256, text);
        true
    }

    /// Returns the revision if it is complete, or the unchanged assembly if parts are missing.
    pub fn finish(self) -> Result<HeldRevision, Box<Self>> {
        if !self.missing_parts().is_empty() {
            return Err(Box::new(self));
        }
        let Self { change, texts } = self;
        Ok(HeldRevision { change, texts })
    }
}

#[cfg(test)]
#[path = "assembly_tests.rs"]
mod tests;
