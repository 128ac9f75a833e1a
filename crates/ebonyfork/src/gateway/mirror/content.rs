//! What one VM tells another about the store, as bytes: everything, or what has changed.
//!
//! Long values travel as what has changed of them since the value that the receiver holds, so it says what it holds when it
//! asks. What is left is compressed together once more, since entries of upstreams look alike.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{OptionExt, ResultExt, Snafu};

use super::copy::{CopyChange, LONG_VALUE, StoreCopy};
use super::history::ValuePatch;
use super::pack::{PackError, compress, expand};
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Contents below this length are sent as they are: a change of an upstream's entry has some 300 bytes.
const PLAIN_LIMIT: usize = 1024;

/// A long value that a VM holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldValue {
    /// Its key.
    pub key: CompactString,
    /// The revision of its last change.
    pub revision: StoreRevision,
}

/// The long values that a VM holds: a configuration, as a rule.
pub type HeldValues = SmallVec<[HeldValue; 1]>;

/// Why something told by another VM can't be taken in.
#[derive(Debug, Snafu)]
pub enum ContentError {
    /// It is no message.
    #[snafu(display("malformed: {source}"))]
    Malformed {
        /// The cause.
        source: postcard::Error,
    },
    /// It can't be expanded.
    #[snafu(display("{key}: {source}"))]
    Pack {
        /// The value's key; none for the message itself.
        key: CompactString,
        /// The cause.
        source: PackError,
    },
    /// A value is based on one that is not held.
    #[snafu(display("{key}: revision {base} is not held"))]
    Base {
        /// The key.
        key: CompactString,
        /// The revision of the base.
        base: StoreRevision,
    },
}

/// A value on its way.
#[derive(Debug, Serialize, Deserialize)]
enum SentValue {
    /// As it is.
    Plain(Bytes),
    /// The receiver holds it.
    Held,
    /// Patches, one after another; the receiver holds the base of the first one.
    Patched(Vec<ValuePatch>),
}

/// An event on its way.
#[derive(Debug, Serialize, Deserialize)]
enum SentEvent {
    Written {
        key: CompactString,
        revision: StoreRevision,
        value: SentValue,
    },
    Removed {
        key: CompactString,
        revision: StoreRevision,
    },
}

/// What is told.
#[derive(Debug, Serialize, Deserialize)]
struct MirrorContent {
    events: Vec<SentEvent>,
    /// The revision after which the changes were; none if this is everything.
    since: Option<StoreRevision>,
    /// The revision up to which all is told.
    revision: StoreRevision,
}

/// A message as bytes: compressed or not.
#[derive(Debug, Serialize, Deserialize)]
struct ContentFrame {
    /// Length of the message if `bytes` are compressed.
    expanded: Option<u32>,
    bytes: Bytes,
}

/// The long values of a copy.
pub fn held_values(copy: &StoreCopy) -> HeldValues {
    let long = copy.items().filter(|item| item.value.len() >= LONG_VALUE);
    let held = long.map(|item| HeldValue {
        key: item.key.clone(),
        revision: item.revision,
    });
    held.collect()
}

/// Writes down what a VM lacks that knows everything up to a revision and holds these long values.
pub fn write_content(
    copy: &StoreCopy,
    known: StoreRevision,
    held: &[HeldValue],
) -> Result<Bytes, ContentError> {
    let changes = copy.changes_since(known);
    let since = changes.is_some().then_some(known);
    let events = changes.unwrap_or_else(|| {
        let items = copy.items().cloned();
        items.map(StoreEvent::Written).collect()
    });
    let mut sent = Vec::with_capacity(events.len());
    for event in events {
        sent.push(sent_event(copy, held, event));
    }
    let content = MirrorContent {
        events: sent,
        since,
        revision: copy.complete(),
    };
    write_frame(&content)
}

fn write_frame(content: &MirrorContent) -> Result<Bytes, ContentError> {
    let plain = postcard::to_stdvec(content).context(MalformedSnafu)?;
    let frame = if plain.len() < PLAIN_LIMIT {
        ContentFrame {
            expanded: None,
            bytes: plain.into(),
        }
    } else {
        let bytes = compress(&[], &plain).context(PackSnafu { key: "" })?;
        ContentFrame {
            expanded: Some(plain.len() as u32),
            bytes,
        }
    };
    let bytes = postcard::to_stdvec(&frame).context(MalformedSnafu)?;
    Ok(bytes.into())
}

fn sent_event(copy: &StoreCopy, held: &[HeldValue], event: StoreEvent) -> SentEvent {
    match event {
        StoreEvent::Written(item) => SentEvent::Written {
            value: sent_value(copy, held, &item),
            key: item.key,
            revision: item.revision,
        },
        StoreEvent::Removed { key, revision } => SentEvent::Removed { key, revision },
    }
}

fn sent_value(copy: &StoreCopy, held: &[HeldValue], item: &StoreItem) -> SentValue {
    let held = held.iter().find(|held| held.key == item.key);
    let Some(base) = held.map(|held| held.revision) else {
        return SentValue::Plain(item.value.clone());
    };
    if base == item.revision {
        return SentValue::Held;
    }
    let chain = copy.history().between(&item.key, base, item.revision);
    let Some(chain) = chain else {
        return SentValue::Plain(item.value.clone());
    };
    SentValue::Patched(chain.into_iter().cloned().collect())
}

/// Reads what another VM has told to one that has this copy.
pub fn read_content(copy: &StoreCopy, bytes: &[u8]) -> Result<CopyChange, ContentError> {
    let content = read_frame(bytes)?;
    let mut events = Vec::with_capacity(content.events.len());
    for event in content.events {
        events.push(read_event(copy, event)?);
    }
    let revision = content.revision;
    let Some(since) = content.since else {
        let items = events.into_iter().filter_map(|event| match event {
            StoreEvent::Written(item) => Some(item),
            StoreEvent::Removed { .. } => None,
        });
        let items = items.collect();
        return Ok(CopyChange::Whole { items, revision });
    };
    Ok(CopyChange::Changes {
        events,
        since,
        revision,
    })
}

fn read_frame(bytes: &[u8]) -> Result<MirrorContent, ContentError> {
    let frame: ContentFrame = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    let plain = match frame.expanded {
        None => frame.bytes,
        Some(size) => expand(&[], &frame.bytes, size as usize).context(PackSnafu { key: "" })?,
    };
    postcard::from_bytes(&plain).context(MalformedSnafu)
}

fn read_event(copy: &StoreCopy, event: SentEvent) -> Result<StoreEvent, ContentError> {
    let (key, revision, value) = match event {
        SentEvent::Removed { key, revision } => {
            return Ok(StoreEvent::Removed { key, revision });
        }
        SentEvent::Written {
            key,
            revision,
            value,
        } => (key, revision, value),
    };
    let own = copy.get(&key);
    if let Some(own) = own.filter(|own| own.revision >= revision) {
        // Read ahead meanwhile, from the store itself.
        return Ok(StoreEvent::Written(own.clone()));
    }
    let value = match value {
        SentValue::Plain(value) => value,
        SentValue::Held => {
            return BaseSnafu {
                key,
                base: revision,
            }
            .fail();
        }
        SentValue::Patched(patches) => {
            let base = patches.first().map_or(revision, |patch| patch.base);
            let own = own.filter(|own| own.revision == base);
            let own = own.with_context(|| BaseSnafu {
                key: key.clone(),
                base,
            })?;
            read_patches(own, &patches)?
        }
    };
    Ok(StoreEvent::Written(StoreItem {
        key,
        value,
        revision,
    }))
}

fn read_patches(base: &StoreItem, patches: &[ValuePatch]) -> Result<Bytes, ContentError> {
    let mut value = base.value.clone();
    for patch in patches {
        let expanded = expand(&value, &patch.bytes, patch.size);
        value = expanded.context(PackSnafu {
            key: base.key.clone(),
        })?;
    }
    Ok(value)
}

#[cfg(test)]
#[path = "content_tests.rs"]
mod tests;
