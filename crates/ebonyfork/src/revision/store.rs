//! Reads and writes the records of revisions in the store.

use bytes::Bytes;
use compact_str::format_compact;
use serde::de::DeserializeOwned;

use crate::ident::ZoneName;
use crate::store::{StoreClient, StoreError, StoreItem, StoreRevision};

use super::record::{
    ChangeId, ChangeRecord, EVIDENCE_PREFIX, HEAD_KEY, HeadRecord, HeldEvidence, PartDigest,
};

/// The head with the store revision of its key; `None` before the first change is published.
pub type StoredHead = Option<(StoreRevision, HeadRecord)>;

/// Reads the head from the store.
pub async fn read_head(client: &StoreClient) -> Result<StoredHead, StoreError> {
    let stored_item = client.get(HEAD_KEY).await?;
    stored_item.map(parse_head).transpose()
}

/// Parses the head from its store item.
pub(super) fn parse_head(
    stored_item: StoreItem,
) -> Result<(StoreRevision, HeadRecord), StoreError> {
    let head = parse_json(HEAD_KEY, &stored_item.value)?;
    Ok((stored_item.revision, head))
}

/// Reads the record of a change; returns `None` if the store doesn't have it.
pub async fn read_change(
    client: &StoreClient,
    change: ChangeId,
) -> Result<Option<ChangeRecord>, StoreError> {
    let key = change.key();
    let Some(stored_item) = client.get(&key).await? else {
        return Ok(None);
    };
    parse_json(&key, &stored_item.value).map(Some)
}

/// Reads a part and checks its digest; returns `None` if the store doesn't have it.
pub async fn read_part(
    client: &StoreClient,
    sha256: PartDigest,
) -> Result<Option<Bytes>, StoreError> {
    let key = sha256.key();
    let Some(stored_item) = client.get(&key).await? else {
        return Ok(None);
    };
    if PartDigest::new(&stored_item.value) != sha256 {
        let reason = format_compact!("{key} doesn't match its digest");
        return Err(StoreError::Malformed { reason });
    }
    Ok(Some(stored_item.value))
}

/// Reads the evidence of all zones that have written any.
pub async fn read_evidence(client: &StoreClient) -> Result<Vec<HeldEvidence>, StoreError> {
    let mut evidence = Vec::new();
    for item in client.list(EVIDENCE_PREFIX).await? {
        if is_zone_key(&item.key) {
            evidence.push(parse_json(&item.key, &item.value)?);
        }
    }
    Ok(evidence)
}

fn is_zone_key(key: &str) -> bool {
    let suffix = key.strip_prefix(EVIDENCE_PREFIX);
    let zone = suffix.and_then(|suffix| suffix.strip_prefix('/'));
    zone.is_some_and(|zone| zone.parse::<ZoneName>().is_ok())
}

/// Writes a zone's evidence, replacing the previous one.
pub(super) async fn write_evidence(
    client: &StoreClient,
    evidence: &HeldEvidence,
) -> Result<(), StoreError> {
    let key = HeldEvidence::key(&evidence.zone);
    client.put(key, to_json(evidence), None).await?;
    Ok(())
}

/// Writes a value if its key doesn't exist yet. The key is a digest of the value or a random identity, so an existing
/// value is the same one.
pub(super) async fn put_if_absent(
    client: &StoreClient,
    key: String,
    value: Bytes,
) -> Result<(), StoreError> {
    match client.put(key, value, Some(StoreRevision::ABSENT)).await {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Moves the head if its key is still at `expected_version`.
pub(super) async fn move_head(
    client: &StoreClient,
    expected_version: StoreRevision,
    head: HeadRecord,
) -> Result<StoreRevision, StoreError> {
    client
        .put(HEAD_KEY, to_json(&head), Some(expected_version))
        .await
}

/// Encodes a record as JSON. This can't fail, because records have neither map keys nor floats that JSON can't
/// represent.
pub(super) fn to_json(record: &impl serde::Serialize) -> Bytes {
    serde_json::to_vec(record).unwrap_or_default().into()
}

fn parse_json<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(value).map_err(|error| StoreError::Malformed {
        reason: format_compact!("{key}: {error}"),
    })
}
