//! Reads and writes the records of revisions in the platform's service.

use bytes::Bytes;
use compact_str::format_compact;
use serde::de::DeserializeOwned;

use crate::ident::ZoneName;
use crate::platform::{Expectation, PlatformClient, PlatformError, StoredValue, StoredVersion};

use super::record::{
    ChangeId, ChangeRecord, HEAD_KEY, HELD_PREFIX, HeadRecord, HeldEvidence, PartDigest,
};

/// The head with its version in the store; none before the first publishing.
pub type StoredHead = Option<(StoredVersion, HeadRecord)>;

/// Reads the head.
pub async fn read_head(client: &PlatformClient) -> Result<StoredHead, PlatformError> {
    let stored = client.get(HEAD_KEY).await?;
    stored.map(parse_head).transpose()
}

/// Reads a stored head.
pub(super) fn parse_head(
    stored: StoredValue,
) -> Result<(StoredVersion, HeadRecord), PlatformError> {
    let head = parse_json(HEAD_KEY, &stored.value)?;
    Ok((stored.version, head))
}

/// Reads the record of a change; none if it isn't there.
pub async fn read_change(
    client: &PlatformClient,
    change: ChangeId,
) -> Result<Option<ChangeRecord>, PlatformError> {
    let key = change.key();
    let Some(stored) = client.get(&key).await? else {
        return Ok(None);
    };
    parse_json(&key, &stored.value).map(Some)
}

/// Reads a part and checks its digest; none if it isn't there.
pub async fn read_part(
    client: &PlatformClient,
    sha256: PartDigest,
) -> Result<Option<Bytes>, PlatformError> {
    let key = sha256.key();
    let Some(stored) = client.get(&key).await? else {
        return Ok(None);
    };
    if PartDigest::new(&stored.value) != sha256 {
        let reason = format_compact!("{key} doesn't match its digest");
        return Err(PlatformError::Malformed { reason });
    }
    Ok(Some(stored.value))
}

/// Reads the evidence of all zones that have written any.
pub async fn read_evidence(client: &PlatformClient) -> Result<Vec<HeldEvidence>, PlatformError> {
    let mut evidence = Vec::new();
    for line in client.list(HELD_PREFIX).await? {
        let Some(zone) = zone_of(&line.key) else {
            continue;
        };
        let key = HeldEvidence::key(&zone);
        let Some(stored) = client.get(&key).await? else {
            continue;
        };
        evidence.push(parse_json(&key, &stored.value)?);
    }
    Ok(evidence)
}

fn zone_of(key: &str) -> Option<ZoneName> {
    let zone = key.strip_prefix(HELD_PREFIX)?.strip_prefix('/')?;
    zone.parse().ok()
}

/// Writes a zone's evidence over whatever is there.
pub(super) async fn write_evidence(
    client: &PlatformClient,
    evidence: &HeldEvidence,
) -> Result<(), PlatformError> {
    let key = HeldEvidence::key(&evidence.zone);
    client.put(key, to_json(evidence), Expectation::Any).await?;
    Ok(())
}

/// Writes a value that is named by its content or by a random identity, so that a second writing is harmless.
pub(super) async fn put_once(
    client: &PlatformClient,
    key: String,
    value: Bytes,
) -> Result<(), PlatformError> {
    match client.put(key, value, Expectation::Absent).await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Moves the head if it still has the expected version.
pub(super) async fn move_head(
    client: &PlatformClient,
    expected: StoredVersion,
    head: HeadRecord,
) -> Result<StoredVersion, PlatformError> {
    let expect = Expectation::Version(expected);
    client.put(HEAD_KEY, to_json(&head), expect).await
}

/// Encodes a record; records have no map keys or floats that JSON can't hold, so this can't fail.
pub(super) fn to_json(record: &impl serde::Serialize) -> Bytes {
    serde_json::to_vec(record).unwrap_or_default().into()
}

fn parse_json<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(value).map_err(|error| PlatformError::Malformed {
        reason: format_compact!("{key}: {error}"),
    })
}
