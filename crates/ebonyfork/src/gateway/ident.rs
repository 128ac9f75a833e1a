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
    /// Name of one life of one upstream: an upstream that starts again has another one.
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
