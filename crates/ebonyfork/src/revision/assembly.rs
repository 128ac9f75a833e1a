//! Puts a revision together from its parts, wherever they come from.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::declaration::{DeclaredConfig, DeclaredFile};
use crate::finding::FindingList;

use super::record::{ChangeRecord, HeadRecord, PartDigest};

/// Texts of parts by digest.
pub type PartTexts = BTreeMap<PartDigest, Bytes>;

/// A revision that is held whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRevision {
    /// Its change.
    pub change: ChangeRecord,
    /// All of its parts.
    pub texts: PartTexts,
}

impl HeldRevision {
    /// Reads the declarations.
    pub fn parse(&self) -> Result<DeclaredConfig, FindingList> {
        let mut files = Vec::new();
        for part in &self.change.parts {
            let text = self.texts.get(&part.sha256).cloned().unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            files.push(DeclaredFile::new(&part.name, text));
        }
        DeclaredConfig::parse(&files, self.change.revision)
    }

    /// The head that names it.
    pub fn head(&self) -> HeadRecord {
        self.change.head()
    }
}

/// A revision whose parts are being collected. Nothing of it is used before it is whole.
#[derive(Debug, Clone)]
pub struct RevisionAssembly {
    change: ChangeRecord,
    texts: PartTexts,
}

impl RevisionAssembly {
    /// Starts with the parts that the held revision shares.
    pub fn new(change: ChangeRecord, held: Option<&HeldRevision>) -> Self {
        let mut texts = PartTexts::new();
        for part in &change.parts {
            let known = held.and_then(|held| held.texts.get(&part.sha256));
            if let Some(text) = known {
                texts.insert(part.sha256, text.clone());
            }
        }
        Self { change, texts }
    }

    /// The change whose parts are collected.
    pub fn change(&self) -> &ChangeRecord {
        &self.change
    }

    /// The digests of the parts that are still missing, each once.
    pub fn missing(&self) -> Vec<PartDigest> {
        let mut missing = Vec::new();
        for part in &self.change.parts {
            if !self.texts.contains_key(&part.sha256) && !missing.contains(&part.sha256) {
                missing.push(part.sha256);
            }
        }
        missing
    }

    /// Takes a part in if it is wanted and matches its digest; tells whether it did.
    pub fn take_part(&mut self, sha256: PartDigest, text: Bytes) -> bool {
        let wanted = self.change.parts.iter().any(|part| part.sha256 == sha256);
        if !wanted || PartDigest::new(&text) != sha256 {
            return false;
        }
        self.texts.insert(sha256, text);
        true
    }

    /// Returns the revision if it is whole, else the assembly as it was.
    pub fn finish(self) -> Result<HeldRevision, Box<Self>> {
        if !self.missing().is_empty() {
            return Err(Box::new(self));
        }
        let Self { change, texts } = self;
        Ok(HeldRevision { change, texts })
    }
}

#[cfg(test)]
#[path = "assembly_tests.rs"]
mod tests;
