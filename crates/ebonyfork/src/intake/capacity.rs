//! Memory and descriptors of the VM, as the settings state them.

use crate::finding::FindingList;
use crate::ini::{IniDocument, SectionReader};

/// Bytes in the unit in which the settings state memory.
const MEGABYTE: usize = 1_000_000;
/// Smallest memory of a VM, in megabytes. A process that serves nobody takes 12 MB.
const MIN_MEMORY_MB: usize = 32;
/// Largest memory of a VM, in megabytes.
const MAX_MEMORY_MB: usize = 16 << 20;
/// Smallest number of descriptors: the listeners, the store and a few upstreams have room beside the callers.
const MIN_DESCRIPTORS: usize = 128;
/// Largest number of descriptors.
const MAX_DESCRIPTORS: usize = 1 << 30;

/// Memory and descriptors that a process may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmCapacity {
    /// Memory, in bytes, with what sockets have received and the process has not read.
    pub memory_bytes: usize,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl Default for VmCapacity {
    /// Returns the capacity of a VM whose settings state none.
    fn default() -> Self {
        Self {
            memory_bytes: 256 * MEGABYTE,
            descriptors: 1_024,
        }
    }
}

impl VmCapacity {
    /// Reads the section `[limits]`; missing keys keep their defaults.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::finding::FindingList;
    /// use ebonyfork::ini::IniDocument;
    /// use ebonyfork::intake::VmCapacity;
    ///
    /// let mut findings = FindingList::new();
    /// let text = "[limits]\nmemory-mb = 160\nmax-descriptors = 4096\n";
    /// let document = IniDocument::parse("node.ini", text, &mut findings);
    /// let capacity = VmCapacity::read(&document, &mut findings);
    /// assert_eq!(capacity.memory_bytes, 160_000_000);
    /// assert_eq!(capacity.descriptors, 4_096);
    /// ```
    pub fn read(document: &IniDocument, findings: &mut FindingList) -> Self {
        let default = Self::default();
        let Some(section) = document.find_section("limits") else {
            return default;
        };
        let mut reader = SectionReader::new(&document.file, section, findings);
        let mut amount = |key, min: usize, max: usize| {
            let amount = reader.optional::<f64>(key)?;
            if (min as f64..=max as f64).contains(&amount) {
                return Some(amount as usize);
            }
            reader.report(key, format_args!("expected {min} to {max}"));
            None
        };
        let memory_mb = amount("memory-mb", MIN_MEMORY_MB, MAX_MEMORY_MB);
        let descriptors = amount("max-descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS);
        reader.finish();
        Self {
            memory_bytes: memory_mb.map_or(default.memory_bytes, |memory| memory * MEGABYTE),
            descriptors: descriptors.unwrap_or(default.descriptors),
        }
    }
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
