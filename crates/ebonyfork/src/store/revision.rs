//! Revisions of the store, ordered by era first and then by number.
//!
//! A store numbers its changes. The numbers alone order the changes as long as the store loses nothing, but a store
//! that was restored from an older copy continues from there and assigns the same numbers to other changes. The era
//! distinguishes the two histories, so a revision always carries the era of the answer that stated it, and bare numbers
//! are never compared.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Number of a history of the store. It increases each time the store is restored from an older copy.
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

/// A point in the history of the store. Within an era the number increases with each change of any key, and 0 comes
/// before the first change. Revisions are ordered by era first.
///
/// # Examples
///
/// ```
/// use ebonyfork::store::{StoreEra, StoreRevision};
///
/// let earlier_revision = StoreRevision::new(63).with_era(StoreEra(1));
/// let later_revision = StoreRevision::new(60).with_era(StoreEra(2));
/// assert!(earlier_revision < later_revision);
/// assert_eq!(later_revision.to_string(), "2:60");
/// assert_eq!("2:60".parse(), Ok(later_revision));
/// assert_eq!("63".parse(), Ok(StoreRevision::new(63)));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreRevision {
    // The order of the fields matters, because the derived `Ord` compares `era` first.
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// The revision of a key that does not exist.
    pub const ABSENT: Self = Self::new(0);

    /// Creates a revision of a store that states no era.
    pub const fn new(number: u64) -> Self {
        Self {
            era: StoreEra::UNSTATED,
            number,
        }
    }

    /// Returns the revision with its era replaced.
    #[must_use]
    pub const fn with_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// Returns the revision of the next change in the same era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            number: self.number + 1,
            ..self
        }
    }

    /// Returns the revision's era.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the revision's number, which is meaningful only together with the era.
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

/// A text isn't a valid store revision.
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
