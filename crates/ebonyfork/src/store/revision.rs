//! One order for all that is known of a store: by era, then by revision.
//!
//! A store counts its changes, and as long as it loses nothing the count alone orders them. One that comes back from an
//! older copy counts on from there and gives numbers out again, to other changes. Its era tells the two histories apart. So
//! a bare number is compared nowhere: a revision always carries the era of the answer that stated it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// A life of the store: it rises each time that the store comes back from an older copy.
///
/// # Examples
///
/// ```
/// use ebonyfork::store::StoreEra;
///
/// let era: StoreEra = "3".parse()?;
/// assert!(era > StoreEra::UNSTATED);
/// assert_eq!(era.to_string(), "3");
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// The era of a store that states none.
    pub const UNSTATED: Self = Self(0);
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A point in the history of the store: within an era it rises with each change of any key. Number 0 is before every
/// change. The order is by era first.
///
/// # Examples
///
/// ```
/// use ebonyfork::store::{StoreEra, StoreRevision};
///
/// let before = StoreRevision::new(63).with_era(StoreEra(1));
/// let after = StoreRevision::new(60).with_era(StoreEra(2));
/// assert!(before < after);
/// assert_eq!(after.to_string(), "2:60");
/// assert_eq!("2:60".parse(), Ok(after));
/// assert_eq!("63".parse(), Ok(StoreRevision::new(63)));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreRevision {
    // The derived order compares the fields in this order.
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// The revision of a key that does not exist.
    pub const ABSENT: Self = Self::new(0);

    /// A revision of a store that states no era.
    pub const fn new(number: u64) -> Self {
        Self {
            era: StoreEra::UNSTATED,
            number,
        }
    }

    /// The same number in an era.
    #[must_use]
    pub const fn with_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// The revision of the next change in the same era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            number: self.number + 1,
            ..self
        }
    }

    /// The era.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// The number, which means nothing without the era.
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era != StoreEra::UNSTATED {
            write!(f, "{}:", self.era)?;
        }
        write!(f, "{}", self.number)
    }
}

/// A text is no revision of a store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is no store revision, expected `number` or `era:number`"))]
pub struct ParseRevisionError {
    text: String,
    source: ParseIntError,
}

impl FromStr for StoreRevision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, ParseRevisionError> {
        let context = ParseRevisionSnafu { text };
        let Some((era, number)) = text.split_once(':') else {
            return text.parse().map(Self::new).context(context);
        };
        let era = era.parse().context(context)?;
        let number = number.parse().context(context)?;
        Ok(Self { era, number })
    }
}

#[cfg(test)]
#[path = "revision_tests.rs"]
mod tests;
