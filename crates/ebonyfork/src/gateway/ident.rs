//! Names that the deployment's operators and upstreams choose freely.
//!
//! They may contain any characters and are written back to the wire unchanged, so the rules for the product's own names
//! don't apply to them.

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
            /// Wraps a text without changes.
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
    /// Name of a group of interchangeable upstreams. On a route over many shards, each shard is such a group.
    UpstreamService
);
text_type!(
    /// Name of an upstream. It may be reused after a restart: see [`UpstreamIncarnation`].
    InstanceName
);
text_type!(
    /// Name that the configuration gives a route.
    RouteName
);
text_type!(
    /// Name of a place: an availability zone or a region.
    PlaceName
);

/// Start time of an upstream, in milliseconds of Unix time by its own clock. It only distinguishes incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StartTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Incarnation of an upstream: one run from its start to its end. Nothing learnt about one incarnation applies to the
/// next.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{InstanceName, StartTime, UpstreamIncarnation};
///
/// let first = UpstreamIncarnation::new(InstanceName::new("i-1"), Some(StartTime(1_000)));
/// let second = UpstreamIncarnation::new(InstanceName::new("i-1"), Some(StartTime(9_000)));
/// assert_ne!(first, second);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamIncarnation {
    /// Name of the upstream.
    pub instance: InstanceName,
    /// Start of this incarnation; `None` on deployments whose upstreams take a new name at each start and state no
    /// start time.
    pub started: Option<StartTime>,
}

impl UpstreamIncarnation {
    /// Creates the incarnation of an upstream that started at the given time.
    pub fn new(instance: InstanceName, started: Option<StartTime>) -> Self {
        Self { instance, started }
    }
}

impl fmt::Display for UpstreamIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.instance)?;
        match self.started {
            Some(started) => write!(f, "+{started}"),
            None => Ok(()),
        }
    }
}

/// Version of the operators' configuration. Newer versions have higher numbers, not necessarily consecutive ones.
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
