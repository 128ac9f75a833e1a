//! Encodes what one VM sends another about the store: the full copy, or the changes since a revision.
//!
//! Long values are sent as patches on the version that the receiver holds, so a receiver states with each poll which
//! versions it holds. The encoded message is compressed as a whole, because the entries of upstreams resemble one
//! another.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{OptionExt, ResultExt, Snafu};

use super::copy::{CopyChange, LONG_VALUE_BYTES, StoreCopy};
use super::history::ValuePatch;
use super::pack::{PackError, compress, expand};
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Minimum size in bytes of a message that is compressed: a change of an upstream's entry has about 300 bytes and is
/// sent as it is.
const COMPRESSION_MIN_BYTES: usize = 1024;

/// Ending of the key under which a VM states a value that it holds. A VM of an older version may hold a value with
/// credentials as text at the same revision, and states it without the ending. Neither VM finds the other's value then, so
/// that no patch is sent which does not apply to it.
const REPLACED_FORM: &str = "\u{1f}replaced";

/// Key and revision of a long value that a VM holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldValue {
    /// The key of the value with [`REPLACED_FORM`].
    key: CompactString,
    /// The revision at which the value was written.
    pub revision: StoreRevision,
}

impl HeldValue {
    fn new(key: &str, revision: StoreRevision) -> Self {
        Self {
            key: format_compact!("{key}{REPLACED_FORM}"),
            revision,
        }
    }

    /// Returns whether it is a version of the value under a key.
    fn is_of(&self, key: &str) -> bool {
        self.key.strip_suffix(REPLACED_FORM) == Some(key)
    }
}

/// The long values that a VM holds: usually just the configuration.
pub type HeldValues = SmallVec<[HeldValue; 1]>;

/// Why content received from another VM can't be decoded.
#[derive(Debug, Snafu)]
pub enum ContentError {
    /// The bytes can't be decoded as a message, or the message can't be encoded.
    #[snafu(display("malformed: {source}"))]
    Malformed {
        /// The decoding or encoding error.
        source: postcard::Error,
    },
    /// A message or value could not be compressed or decompressed.
    #[snafu(display("{key}: {source}"))]
    Pack {
        /// The value's key; empty for the message itself.
        key: CompactString,
        /// The error of compressing or decompressing it.
        source: PackError,
    },
    /// A patch applies to a value that this VM does not hold.
    #[snafu(display("{key}: base revision {base_revision} is not held"))]
    MissingBase {
        /// The key of the value.
        key: CompactString,
        /// The revision of the missing base value.
        base_revision: StoreRevision,
    },
}

/// A value as it is encoded for the receiver.
#[derive(Debug, Serialize, Deserialize)]
enum SentValue {
    /// The complete value, because the receiver holds no version from which patches lead to it.
    Plain(Bytes),
    /// The receiver already holds the value.
    Held,
    /// Consecutive patches; the receiver holds the base of the first one.
    Patched(Vec<ValuePatch>),
}

/// The write or removal of a key as it is encoded for the receiver.
#[derive(Debug, Serialize, Deserialize)]
enum SentEvent {
    /// The key was written.
    Written {
        /// The key.
        key: CompactString,
        /// The revision of the write.
        revision: StoreRevision,
        /// The new value.
        value: SentValue,
    },
    /// The key was removed.
    Removed {
        /// The key.
        key: CompactString,
        /// The revision of the removal.
        revision: StoreRevision,
    },
}

/// The content of a message: a full copy or changes.
#[derive(Debug, Serialize, Deserialize)]
struct MirrorContent {
    /// The changes, or a write of every item for a full copy.
    events: Vec<SentEvent>,
    /// The revision that the changes follow, exclusive; none for a full copy.
    base_revision: Option<StoreRevision>,
    /// Digest of the content at `revision` if the changes are only the difference between two contents; none otherwise.
    content_digest: Option<u64>,
    /// The last revision that the content covers, inclusive.
    revision: StoreRevision,
}

/// An encoded [`MirrorContent`], which may be compressed.
#[derive(Debug, Serialize, Deserialize)]
struct ContentFrame {
    /// Size in bytes of the content after decompression; none if `bytes` are not compressed.
    expanded_size: Option<u32>,
    /// The encoded content.
    bytes: Bytes,
}

/// Returns the keys and revisions of the long values in a copy.
pub fn held_values(copy: &StoreCopy) -> HeldValues {
    let long_items = copy
        .items()
        .filter(|item| item.value.len() >= LONG_VALUE_BYTES);
    let held_values = long_items.map(|item| HeldValue::new(&item.key, item.revision));
    held_values.collect()
}

/// Encodes what a VM lacks that has applied every change up to `known_revision` and holds the long values
/// `held_values`.
pub fn encode_content(
    copy: &StoreCopy,
    known_revision: StoreRevision,
    held_values: &[HeldValue],
) -> Result<Bytes, ContentError> {
    let changes = copy.changes_since(known_revision);
    let base_revision = changes.is_some().then_some(known_revision);
    let events = changes.unwrap_or_else(|| {
        let items = copy.items().cloned();
        items.map(StoreEvent::Written).collect()
    });
    let mut sent_events = Vec::with_capacity(events.len());
    for event in events {
        sent_events.push(encode_event(copy, held_values, event));
    }
    let content = MirrorContent {
        events: sent_events,
        base_revision,
        content_digest: copy
            .is_difference_since(known_revision)
            .then(|| copy.content_digest()),
        revision: copy.complete_revision(),
    };
    encode_frame(&content)
}

fn encode_frame(content: &MirrorContent) -> Result<Bytes, ContentError> {
    let plain_bytes = postcard::to_stdvec(content).context(MalformedSnafu)?;
    let frame = if plain_bytes.len() < COMPRESSION_MIN_BYTES {
        ContentFrame {
            expanded_size: None,
            bytes: plain_bytes.into(),
        }
    } else {
        let bytes = compress(&[], &plain_bytes).context(PackSnafu { key: "" })?;
        ContentFrame {
            expanded_size: Some(plain_bytes.len() as u32),
            bytes,
        }
    };
    let bytes = postcard::to_stdvec(&frame).context(MalformedSnafu)?;
    Ok(bytes.into())
}

fn encode_event(copy: &StoreCopy, held_values: &[HeldValue], event: StoreEvent) -> SentEvent {
    match event {
        StoreEvent::Written(item) => SentEvent::Written {
            value: encode_value(copy, held_values, &item),
            key: item.key,
            revision: item.revision,
        },
        StoreEvent::Removed { key, revision } => SentEvent::Removed { key, revision },
    }
}

fn encode_value(copy: &StoreCopy, held_values: &[HeldValue], item: &StoreItem) -> SentValue {
    let held_value = held_values.iter().find(|value| value.is_of(&item.key));
    let Some(base_revision) = held_value.map(|value| value.revision) else {
        return SentValue::Plain(item.value.clone());
    };
    if base_revision == item.revision {
        return SentValue::Held;
    }
    let patches = copy
        .patch_history()
        .patches_between(&item.key, base_revision, item.revision);
    let Some(patches) = patches else {
        return SentValue::Plain(item.value.clone());
    };
    SentValue::Patched(patches.into_iter().cloned().collect())
}

/// Decodes content from another VM; patches are applied to the values in `copy`.
pub fn decode_content(copy: &StoreCopy, bytes: &[u8]) -> Result<CopyChange, ContentError> {
    let content = decode_frame(bytes)?;
    let mut events = Vec::with_capacity(content.events.len());
    for event in content.events {
        events.push(decode_event(copy, event)?);
    }
    let revision = content.revision;
    let Some(base_revision) = content.base_revision else {
        let items = events.into_iter().filter_map(|event| match event {
            StoreEvent::Written(item) => Some(item),
            StoreEvent::Removed { .. } => None,
        });
        let items = items.collect();
        return Ok(CopyChange::Full { items, revision });
    };
    if let Some(content_digest) = content.content_digest {
        return Ok(CopyChange::Difference {
            events,
            base_revision,
            revision,
            content_digest,
        });
    }
    Ok(CopyChange::Changes {
        events,
        base_revision,
        revision,
    })
}

fn decode_frame(bytes: &[u8]) -> Result<MirrorContent, ContentError> {
    let frame: ContentFrame = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    let plain_bytes = match frame.expanded_size {
        None => frame.bytes,
        Some(size) => expand(&[], &frame.bytes, size as usize).context(PackSnafu { key: "" })?,
    };
    postcard::from_bytes(&plain_bytes).context(MalformedSnafu)
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
    let local_item = copy.get(&key);
    if let Some(local_item) = local_item.filter(|item| item.revision >= revision) {
        // This VM already holds this version of the value, or a newer one that it read directly from the store.
        return Ok(StoreEvent::Written(local_item.clone()));
    }
    let value = match value {
        SentValue::Plain(value) => value,
        SentValue::Held => {
            return MissingBaseSnafu {
                key,
                base_revision: revision,
            }
            .fail();
        }
        SentValue::Patched(patches) => {
            let base_revision = patches
                .first()
                .map_or(revision, |patch| patch.base_revision);
            let local_item = local_item.filter(|item| item.revision == base_revision);
            let local_item = local_item.with_context(|| MissingBaseSnafu {
                key: key.clone(),
                base_revision,
            })?;
            apply_patches(local_item, &patches)?
        }
    };
    Ok(StoreEvent::Written(StoreItem {
        key,
        value,
        revision,
    }))
}

fn apply_patches(base_item: &StoreItem, patches: &[ValuePatch]) -> Result<Bytes, ContentError> {
    let mut value = base_item.value.clone();
    for patch in patches {
        let patched_value = expand(&value, &patch.bytes, patch.size);
        value = patched_value.context(PackSnafu {
            key: base_item.key.clone(),
        })?;
    }
    Ok(value)
}

#[cfg(test)]
#[path = "content_tests.rs"]
mod tests;
