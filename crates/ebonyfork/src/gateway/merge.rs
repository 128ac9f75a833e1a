//! Merges the partial answers of a query into the greatest records of all of them, in descending order.

use bytes::{Bytes, BytesMut};

/// Length of a record, in bytes. An incomplete record at the end of a partial answer is ignored.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Returns the `top` greatest records of the parts in descending order, compared byte by byte. Duplicates are kept.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::merge_records;
///
/// let low = [1_u8; 16];
/// let high = [2_u8; 16];
/// let merged = merge_records([&low[..], &high[..], &high[..]], 2);
/// assert_eq!(&merged[..16], &high);
/// assert_eq!(&merged[16..], &high);
/// ```
pub fn merge_records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let mut records: Vec<Record> = Vec::new();
    for part in parts {
        let (whole_records, _rest) = part.as_chunks::<RECORD_BYTES>();
        records.extend_from_slice(whole_records);
    }
    let descending = |a: &Record, b: &Record| b.cmp(a);
    if top > 0 && records.len() > top {
        records.select_nth_unstable_by(top - 1, descending);
    }
    records.truncate(top);
    records.sort_unstable_by(descending);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in &records {
        body.extend_from_slice(record);
    }
    body.freeze()
}

/// Drops records of a part that is still arriving and that can't be among its `top` greatest, once they take more room
/// than these. An incomplete record at the end is kept, so that the rest of it can follow.
pub fn drop_lesser_records(part: &mut BytesMut, top: usize) {
    /// Bytes from which a part is worth compacting.
    const MIN_COMPACTED_BYTES: usize = 8 * 1024;
    let kept_bytes = top.saturating_mul(RECORD_BYTES);
    if part.len() < kept_bytes.saturating_mul(2).max(MIN_COMPACTED_BYTES) {
        return;
    }
    let whole_bytes = part.len() - part.len() % RECORD_BYTES;
    let incomplete_record = part.split_off(whole_bytes);
    let greatest_records = merge_records([part.as_ref()], top);
    *part = BytesMut::from(greatest_records.as_ref());
    part.extend_from_slice(&incomplete_record);
}

#[cfg(test)]
#[path = "merge_tests.rs"]
mod tests;
