//! Quantities with units, as written in settings and declarations and printed in reports.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident::IdentError;

/// A span of time, written as a whole number with its unit: `250us`, `300ms`, `5s`, `10min`, `2h`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::quantity::TimeSpan;
///
/// let span: TimeSpan = "300ms".parse()?;
/// assert_eq!(span.0, Duration::from_millis(300));
/// assert_eq!(TimeSpan(Duration::from_secs(120)).to_string(), "2min");
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeSpan(pub Duration);

/// Units of [`TimeSpan`] and their length in microseconds, largest first.
const TIME_UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros() as u64;
        for (unit, size) in TIME_UNITS {
            if micros < size || !micros.is_multiple_of(size) {
                continue;
            }
            return write!(f, "{}{unit}", micros / size);
        }
        f.write_str("0ms")
    }
}

impl FromStr for TimeSpan {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error =
            || IdentError::new(text, "time span", "a whole number with us, ms, s, min or h");
        let digit_count = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digit_count);
        let number: u64 = number.parse().map_err(|_error| error())?;
        let matching_unit = TIME_UNITS.into_iter().find(|(name, _)| *name == unit);
        let (_, size) = matching_unit.ok_or_else(error)?;
        let micros = number.checked_mul(size).ok_or_else(error)?;
        Ok(Self(Duration::from_micros(micros)))
    }
}

/// A size in bytes, written as a whole number with an optional binary unit: `512`, `64KiB`, `1MiB`.
///
/// # Examples
///
/// ```
/// use ebonyfork::quantity::ByteSize;
///
/// let size: ByteSize = "64KiB".parse()?;
/// assert_eq!(size.0, 65_536);
/// assert_eq!(size.to_string(), "64KiB");
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

/// Units of [`ByteSize`] and their size in bytes, largest first; the last one has no suffix.
const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("", 1),
];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, size) in BYTE_UNITS {
            if self.0 < size || !self.0.is_multiple_of(size) {
                continue;
            }
            return write!(f, "{}{unit}", self.0 / size);
        }
        f.write_str("0")
    }
}

impl FromStr for ByteSize {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = || {
            IdentError::new(
                text,
                "size",
                "a whole number of bytes, or with KiB, MiB or GiB",
            )
        };
        let digit_count = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digit_count);
        let number: u64 = number.parse().map_err(|_error| error())?;
        let matching_unit = BYTE_UNITS.into_iter().find(|(name, _)| *name == unit);
        let (_, size) = matching_unit.ok_or_else(error)?;
        number.checked_mul(size).map(Self).ok_or_else(error)
    }
}

#[cfg(test)]
#[path = "quantity_tests.rs"]
mod tests;
