//! Puts the parts of a query together: the greatest records of all of them, greatest first.

use bytes::{Bytes, BytesMut};

/// Length of one record, in bytes. What is left over at the end of a part is not a record.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Returns the `top` greatest records of the parts, greatest first, compared byte by byte. Equal records all count.
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
        let (whole, _rest) = part.as_chunks::<RECORD_BYTES>();
        records.extend_from_slice(whole);
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

#[cfg(test)]
#[path = "merge_tests.rs"]
mod tests;
