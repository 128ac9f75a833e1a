//! The stored state: keys with modification counters, and leases. No clock and no sockets.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use ebonyfork::ident::IdentError;

/// Most keys that a listing returns.
const LIST_LIMIT: usize = 1_000;

/// What a write expects of the key's present version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteExpectation {
    /// Anything.
    Any,
    /// The key is absent.
    Absent,
    /// The key has this version.
    Version(u64),
}

impl FromStr for WriteExpectation {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = |_| IdentError::new(text, "expectation", "`any`, `absent` or a version");
        match text {
            "any" => Ok(Self::Any),
            "absent" => Ok(Self::Absent),
            _ => text.parse().map(Self::Version).map_err(error),
        }
    }
}

/// Why a write changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The key has another version; 0 means absent.
    Conflict(u64),
    /// The lease has lapsed.
    LeaseLapsed,
}

/// One stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The value.
    pub value: Bytes,
    /// Modification counter of the key.
    pub version: u64,
    /// Lease that the key lives with.
    pub lease: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct LeaseTerm {
    ttl: Duration,
    ends: Duration,
}

/// Keys, versions and leases. Cloning takes a backup.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork_lab::platform::{KeyStore, WriteError, WriteExpectation};
///
/// let mut store = KeyStore::default();
/// assert_eq!(store.put("config/head", "1".into(), WriteExpectation::Absent, None), Ok(1));
/// let late = store.put("config/head", "2".into(), WriteExpectation::Absent, None);
/// assert_eq!(late, Err(WriteError::Conflict(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct KeyStore {
    entries: BTreeMap<CompactString, StoredValue>,
    /// Last version of every key that ever was, so that none is reused after a deletion.
    counters: BTreeMap<CompactString, u64>,
    leases: BTreeMap<u64, LeaseTerm>,
    last_lease: u64,
}

impl KeyStore {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.entries.get(key)
    }

    /// Returns the version of a key; 0 if it is absent.
    pub fn version(&self, key: &str) -> u64 {
        self.get(key).map_or(0, |stored| stored.version)
    }

    /// Writes a key and returns its new version.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expectation: WriteExpectation,
        lease: Option<u64>,
    ) -> Result<u64, WriteError> {
        self.expect(key, expectation)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteError::LeaseLapsed);
        }
        let version = self.count_up(key);
        let stored = StoredValue {
            value,
            version,
            lease,
        };
        self.entries.insert(key.to_compact_string(), stored);
        Ok(version)
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: &str, expectation: WriteExpectation) -> Result<(), WriteError> {
        self.expect(key, expectation)?;
        if self.entries.remove(key).is_some() {
            self.count_up(key);
        }
        Ok(())
    }

    /// Returns the keys below a prefix with their versions, in order.
    pub fn list(&self, prefix: &str) -> Vec<(&str, u64)> {
        let bounds = (Bound::Included(prefix), Bound::Unbounded);
        let from = self.entries.range::<str, _>(bounds);
        let below = from.take_while(|(key, _)| key.starts_with(prefix));
        below
            .take(LIST_LIMIT)
            .map(|(key, stored)| (key.as_str(), stored.version))
            .collect()
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Duration, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let ends = now + ttl;
        self.leases.insert(self.last_lease, LeaseTerm { ttl, ends });
        self.last_lease
    }

    /// Prolongs a lease by its time to live; false if it has lapsed.
    pub fn keep(&mut self, now: Duration, lease: u64) -> bool {
        let Some(term) = self.leases.get_mut(&lease) else {
            return false;
        };
        term.ends = now + term.ttl;
        true
    }

    /// Ends lapsed leases and deletes their keys; true if anything changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, term| term.ends > now);
        if self.leases.len() == before {
            return false;
        }
        let leases = &self.leases;
        let lapsed = |stored: &StoredValue| {
            stored
                .lease
                .is_some_and(|lease| !leases.contains_key(&lease))
        };
        let keys: Vec<CompactString> = self
            .entries
            .iter()
            .filter(|(_, stored)| lapsed(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.entries.remove(&key);
            self.count_up(&key);
        }
        true
    }

    /// Returns when the next lease lapses.
    pub fn next_lapse(&self) -> Option<Duration> {
        self.leases.values().map(|term| term.ends).min()
    }

    fn expect(&self, key: &str, expectation: WriteExpectation) -> Result<(), WriteError> {
        let current = self.version(key);
        let met = match expectation {
            WriteExpectation::Any => true,
            WriteExpectation::Absent => current == 0,
            WriteExpectation::Version(version) => current == version,
        };
        if met {
            Ok(())
        } else {
            Err(WriteError::Conflict(current))
        }
    }

    fn count_up(&mut self, key: &str) -> u64 {
        let counter = self.counters.entry(key.to_compact_string()).or_default();
        *counter += 1;
        *counter
    }
}

/// Tells whether a key is a path of segments `[A-Za-z0-9._-]+` joined by `/`.
pub(super) fn is_key(key: &str) -> bool {
    let segment = |text: &str| {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        !text.is_empty() && text.bytes().all(allowed)
    };
    key.split('/').all(segment)
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
