//! Long values made short for the way between VMs: compressed, alone or on a value that both sides hold.
//!
//! Configurations are texts of many routes that look alike, and a change touches few of them. Of 2,850 routes (0.48 MB)
//! 54 kB are left by themselves, 29 kB on a value that lacks 1,400 of them and 99 bytes on one that lacks a single one. A
//! value of 1 MB, the most that a store takes, costs some 3 ms of a processor.

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use zstd::bulk::{Compressor, Decompressor};

/// Level of compression. Ten lines changed in a value of 1.1 MB take 268 bytes at 4 and 9.5 kB at 3; at 1 one route among
/// 2,850 takes 36 kB.
const LEVEL: i32 = 4;
/// Longest value that is taken from another VM: what a whole copy of the store may hold, a value of 1 MB included.
pub const EXPANDED_LIMIT: usize = 16 * 1024 * 1024;

/// Why bytes can't be packed, or packed bytes can't be read.
#[derive(Debug, Snafu)]
pub enum PackError {
    /// The library says so.
    #[snafu(display("{size} bytes: {source}"))]
    Codec {
        /// Length of the value.
        size: usize,
        /// The cause.
        source: std::io::Error,
    },
    /// The value would be longer than is allowed.
    #[snafu(display("{size} bytes, more than {EXPANDED_LIMIT}"))]
    TooLong {
        /// Length of the value.
        size: usize,
    },
    /// The value is not as long as was said.
    #[snafu(display("{found} bytes instead of {size}"))]
    Length {
        /// Length that was said.
        size: usize,
        /// Length that was found.
        found: usize,
    },
}

/// Compresses bytes on a base that the receiver holds; an empty one is none.
pub fn compress(base: &[u8], bytes: &[u8]) -> Result<Bytes, PackError> {
    let size = bytes.len();
    if size > EXPANDED_LIMIT {
        return TooLongSnafu { size }.fail();
    }
    let mut compressor = Compressor::with_dictionary(LEVEL, base).context(CodecSnafu { size })?;
    // A base that differs from the sender's is noticed.
    compressor
        .include_checksum(true)
        .context(CodecSnafu { size })?;
    let packed = compressor.compress(bytes).context(CodecSnafu { size })?;
    Ok(packed.into())
}

/// Reads bytes of a known length that were compressed on a base.
pub fn expand(base: &[u8], packed: &[u8], size: usize) -> Result<Bytes, PackError> {
    if size > EXPANDED_LIMIT {
        return TooLongSnafu { size }.fail();
    }
    let mut decompressor = Decompressor::with_dictionary(base).context(CodecSnafu { size })?;
    let bytes = decompressor
        .decompress(packed, size)
        .context(CodecSnafu { size })?;
    if bytes.len() != size {
        let found = bytes.len();
        return LengthSnafu { size, found }.fail();
    }
    Ok(bytes.into())
}

#[cfg(test)]
#[path = "pack_tests.rs"]
mod tests;
