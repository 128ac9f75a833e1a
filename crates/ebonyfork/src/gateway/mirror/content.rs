//! Encodes what one VM sends another about the store: the full copy, or the changes since a revision.
//!
//! Long values are sent as patches on the value that the receiver holds, so a receiver states what it holds with each
//! poll. The result is compressed as a whole, because the entries of upstreams resemble one another.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{OptionExt, ResultExt, Snafu};

use super::copy::{CopyChange, LONG_VALUE_BYTES, StoreCopy};
use super::history::ValuePatch;
use super::pack::{PackError, compress, expand};
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Contents below this length are sent uncompressed: a change of an upstream's entry has about 300 bytes.
const COMPRESSION_MIN_BYTES: usize = 1024;

/// Key and revision of a long value that a VM holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldValue {
    /// The key of the value.
    pub key: CompactString,
    /// The revision at which the value was written.
    pub revision: StoreRevision,
}

/// The long values that a VM holds: usually just the configuration.
pub type HeldValues = SmallVec<[HeldValue; 1]>;

/// Why content received from another VM can't be decoded.
#[derive(Debug, Snafu)]
pub enum ContentError {
    /// The bytes are not a valid message.
    #[snafu(display("malformed: {source}"))]
    Malformed {
        /// The cause.
        source: postcard::Error,
    },
    /// Compression or decompression failed.
    #[snafu(display("{key}: {source}"))]
    Pack {
        /// The value's key; empty for the message itself.
        key: CompactString,
        /// The cause.
        source: PackError,
    },
    /// A patch applies to a value that this VM does not hold.
    #[snafu(display("{key}: base revision {base} is not held"))]
    MissingBase {
        /// The key of the value.
        key: CompactString,
        /// The revision of the missing base value.
        base: StoreRevision,
    },
}

/// A value as it is sent.
#[derive(Debug, Serialize, Deserialize)]
enum SentValue {
    /// The complete value.
    Plain(Bytes),
    /// The receiver already holds the value.
    Held,
    /// Consecutive patches; the receiver holds the base of the first one.
    Patched(Vec<ValuePatch>),
}

/// A change as it is sent.
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

/// The content of a message: a full copy or changes.
#[derive(Debug, Serialize, Deserialize)]
struct MirrorContent {
    events: Vec<SentEvent>,
    /// The revision that the changes follow, exclusive; none for a full copy.
    since: Option<StoreRevision>,
    /// The last revision that the content covers, inclusive.
    revision: StoreRevision,
}

/// An encoded message, which may be compressed.
#[derive(Debug, Serialize, Deserialize)]
struct ContentFrame {
    /// Length of the message after decompression; none if `bytes` are not compressed.
    expanded: Option<u32>,
    bytes: Bytes,
}

/// Returns the long values of a copy.
pub fn held_values(copy: &StoreCopy) -> HeldValues {
    let long = copy
        .items()
        .filter(|item| item.value.len() >= LONG_VALUE_BYTES);
    let held = long.map(|item| HeldValue {
        key: item.key.clone(),
        revision: item.revision,
    });
    held.collect()
}

/// Encodes what a VM lacks that has applied every change up to the revision `known` and holds the long values `held`.
pub fn encode_content(
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
        sent.push(encode_event(copy, held, event));
    }
    let content = MirrorContent {
        events: sent,
        since,
        revision: copy.complete_revision(),
    };
    encode_frame(&content)
}

fn encode_frame(content: &MirrorContent) -> Result<Bytes, ContentError> {
    let plain = postcard::to_stdvec(content).context(MalformedSnafu)?;
    let frame = if plain.len() < COMPRESSION_MIN_BYTES {
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

fn encode_event(copy: &StoreCopy, held: &[HeldValue], event: StoreEvent) -> SentEvent {
    match event {
        StoreEvent::Written(item) => SentEvent::Written {
            value: encode_value(copy, held, &item),
            key: item.key,
            revision: item.revision,
        },
        StoreEvent::Removed { key, revision } => SentEvent::Removed { key, revision },
    }
}

fn encode_value(copy: &StoreCopy, held: &[HeldValue], item: &StoreItem) -> SentValue {
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

/// Decodes content from another VM; patches are applied to the values in `copy`.
pub fn decode_content(copy: &StoreCopy, bytes: &[u8]) -> Result<CopyChange, ContentError> {
    let content = decode_frame(bytes)?;
    let mut events = Vec::with_capacity(content.events.len());
    for event in content.events {
        events.push(decode_event(copy, event)?);
    }
    let revision = content.revision;
    let Some(since) = content.since else {
        let items = events.into_iter().filter_map(|event| match event {
            StoreEvent::Written(item) => Some(item),
            StoreEvent::Removed { .. } => None,
        });
        let items = items.collect();
        return Ok(CopyChange::Full { items, revision });
    };
    Ok(CopyChange::Changes {
        events,
        since,
        revision,
    })
}

fn decode_frame(bytes: &[u8]) -> Result<MirrorContent, ContentError> {
    let frame: ContentFrame = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    let plain = match frame.expanded {
        None => frame.bytes,
        Some(size) => expand(&[], &frame.bytes, size as usize).context(PackSnafu { key: "" })?,
    };
    postcard::from_bytes(&plain).context(MalformedSnafu)
}

fn decode_event(copy: &StoreCopy, event: SentEvent) -> Result<StoreEvent, ContentError> {
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
    let local = copy.get(&key);
    if let Some(local) = local.filter(|local| local.revision >= revision) {
        // This VM has already read a newer value directly from the store.
        return Ok(StoreEvent::Written(local.clone()));
    }
    let value = match value {
        SentValue::Plain(value) => value,
        SentValue::Held => {
            return MissingBaseSnafu {
                key,
                base: revision,
            }
            .fail();
        }
        SentValue::Patched(patches) => {
            let base = patches.first().map_or(revision, |patch| patch.base);
            let local = local.filter(|local| local.revision == base);
            let local = local.with_context(|| MissingBaseSnafu {
                key: key.clone(),
                base,
            })?;
            apply_patches(local, &patches)?
        }
    };
    Ok(StoreEvent::Written(StoreItem {
        key,
        value,
        revision,
    }))
}

fn apply_patches(base: &StoreItem, patches: &[ValuePatch]) -> Result<Bytes, ContentError> {
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
