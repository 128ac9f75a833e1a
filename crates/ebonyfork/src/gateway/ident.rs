//! Names that the deployment's operators and upstreams choose freely.
//!
//! They are texts of any characters and go back onto the wire as they came, so they are not held to the form of the
//! product's own names.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

macro_rules! text_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(CompactString);

        impl $name {
            /// Takes a text as it came.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(CompactString::new(text))
            }

            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Infallible> {
                Ok(Self::new(text))
            }
        }
    };
}

text_type!(
    /// Name of a group of interchangeable upstreams. On a route over many shards each shard is one such group.
    UpstreamService
);
text_type!(
    /// Name of an upstream. One that starts again may have the same name: see [`UpstreamLife`].
    InstanceName
);
text_type!(
    /// Name of a route.
    RouteName
);
text_type!(
    /// Name of a place: an availability zone or a region.
    PlaceName
);

/// When an upstream was started, in milliseconds of Unix time by its own clock. It only tells lives apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BirthTime(pub u64);

impl fmt::Display for BirthTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for BirthTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One life of one upstream, from its start to its end. Nothing that was learnt of one life holds for the next.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{BirthTime, InstanceName, UpstreamLife};
///
/// let first = UpstreamLife::new(InstanceName::new("i-1"), Some(BirthTime(1_000)));
/// let second = UpstreamLife::new(InstanceName::new("i-1"), Some(BirthTime(9_000)));
/// assert_ne!(first, second);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamLife {
    /// The upstream's name.
    pub instance: InstanceName,
    /// When this life began; `None` on deployments whose upstreams have a new name at each start and don't tell.
    pub born: Option<BirthTime>,
}

impl UpstreamLife {
    /// The life of an upstream that began at a time.
    pub fn new(instance: InstanceName, born: Option<BirthTime>) -> Self {
        Self { instance, born }
    }
}

impl fmt::Display for UpstreamLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.instance)?;
        match self.born {
            Some(born) => write!(f, "+{born}"),
            None => Ok(()),
        }
    }
}

/// Version of the operators' configuration. Newer versions have higher numbers, not always by one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
