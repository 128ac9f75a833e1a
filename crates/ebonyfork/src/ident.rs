//! Identifiers used throughout the tier.
//!
//! Every identifier is a newtype whose text form round-trips: `FromStr` accepts what `Display` prints. Names are short
//! lower-case texts ([`ServiceName`], [`ZoneName`] and so on). Numbers have a type for each role, so that a revision
//! can't be passed where a snapshot version is expected.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest valid name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a valid {kind}: expected {expected}"))]
pub struct IdentError {
    /// The rejected text, shortened to [`MAX_NAME_BYTES`] characters.
    pub text: CompactString,
    /// Kind of the expected identifier, in words.
    pub kind: &'static str,
    /// Description of the valid form.
    pub expected: &'static str,
}

impl IdentError {
    /// Creates an error for a rejected text.
    pub fn new(text: impl AsRef<str>, kind: &'static str, expected: &'static str) -> Self {
        let text = text.as_ref().chars().take(MAX_NAME_BYTES).collect();
        Self {
            text,
            kind,
            expected,
        }
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as text.
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
            type Err = IdentError;

            fn from_str(text: &str) -> Result<Self, IdentError> {
                if !is_valid_name(text) {
                    return Err(IdentError::new(text, $kind, NAME_FORM));
                }
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdentError;

            fn try_from(text: CompactString) -> Result<Self, IdentError> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

/// Valid form of a name, for error messages.
const NAME_FORM: &str = "1 to 64 of a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit";

fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    let Some(first) = text.bytes().next() else {
        return false;
    };
    text.len() <= MAX_NAME_BYTES && first.is_ascii_alphanumeric() && text.bytes().all(is_allowed)
}

name_type!(
    /// Name of an availability zone.
    ZoneName, "zone name"
);
name_type!(
    /// Name of a service: a group of interchangeable upstreams.
    ServiceName, "service name"
);
name_type!(
    /// Name of an index: a set of shards with versions.
    IndexName, "index name"
);
name_type!(
    /// Name of a class of queries.
    ClassName, "class name"
);
name_type!(
    /// Name of an organisation.
    OrganisationName, "organisation name"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($repr:ty), $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = IdentError;

            fn from_str(text: &str) -> Result<Self, IdentError> {
                let number = text.parse();
                number.map(Self).map_err(|_error| IdentError::new(text, $kind, "a whole number"))
            }
        }
    };
}

number_type!(
    /// Version of an index: the snapshot that an answer reflects.
    SnapshotVersion(u64), "snapshot version"
);
number_type!(
    /// Number of a shard within one index version, counted from zero.
    ShardNumber(u32), "shard number"
);
number_type!(
    /// Revision of the operators' configuration; it never decreases.
    RevisionNumber(u64), "revision"
);
number_type!(
    /// Incarnation of a VM's process: the milliseconds from the Unix epoch to its start. It increases with each
    /// restart.
    IncarnationNumber(u64), "incarnation"
);

macro_rules! address_type {
    ($(#[$doc:meta])* $name:ident($repr:ty), $kind:literal, $form:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = IdentError;

            fn from_str(text: &str) -> Result<Self, IdentError> {
                let address = text.parse();
                address.map(Self).map_err(|_error| IdentError::new(text, $kind, $form))
            }
        }
    };
}

address_type!(
    /// IP address of a VM of this deployment.
    VmAddress(IpAddr), "VM address", "an IP address"
);
address_type!(
    /// IP address and port of an upstream.
    UpstreamAddress(SocketAddr), "upstream address", "IP:PORT"
);

/// Identifies one incarnation of a process, the only one that may run queries with this session's idempotency keys.
///
/// # Examples
///
/// ```
/// use ebonyfork::ident::SessionId;
///
/// let session: SessionId = "127.0.0.1-1700000000000".parse()?;
/// assert_eq!(session.to_string(), "127.0.0.1-1700000000000");
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionId {
    /// VM that the process runs on.
    pub vm: VmAddress,
    /// Incarnation of the process on its VM.
    pub incarnation: IncarnationNumber,
}

impl SessionId {
    /// Creates the id of one incarnation of a VM's process.
    pub fn new(vm: VmAddress, incarnation: IncarnationNumber) -> Self {
        Self { vm, incarnation }
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.vm, self.incarnation)
    }
}

impl FromStr for SessionId {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = || IdentError::new(text, "session", "<vm>-<incarnation>");
        let (vm, incarnation) = text.rsplit_once('-').ok_or_else(error)?;
        let vm = vm.parse().map_err(|_error| error())?;
        let incarnation = incarnation.parse().map_err(|_error| error())?;
        Ok(Self { vm, incarnation })
    }
}

/// Idempotency key of a non-idempotent request: the session that may run it, and a sequence number within the session.
///
/// # Examples
///
/// ```
/// use ebonyfork::ident::IdempotencyKey;
///
/// let key: IdempotencyKey = "127.0.0.1-1700000000000.7".parse()?;
/// assert_eq!(key.sequence, 7);
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Session of the only process incarnation that may run the request.
    pub session: SessionId,
    /// Sequence number chosen by the caller, unique within the session.
    pub sequence: u64,
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.session, self.sequence)
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = || IdentError::new(text, "idempotency key", "<session>.<sequence>");
        let (session, sequence) = text.rsplit_once('.').ok_or_else(error)?;
        let session = session.parse().map_err(|_error| error())?;
        let sequence = sequence.parse().map_err(|_error| error())?;
        Ok(Self { session, sequence })
    }
}

/// Identifies a query by the session of its entry and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueryId {
    /// Session of the entry that serves the query.
    pub session: SessionId,
    /// Number of the query, incremented by that entry.
    pub number: u64,
}

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.q{}", self.session, self.number)
    }
}

impl FromStr for QueryId {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = || IdentError::new(text, "query id", "<session>.q<number>");
        let (session, number) = text.rsplit_once(".q").ok_or_else(error)?;
        let session = session.parse().map_err(|_error| error())?;
        let number = number.parse().map_err(|_error| error())?;
        Ok(Self { session, number })
    }
}

/// Identifies one attempt of a shard request.
///
/// Hedges and retries for the same shard are separate attempts, so that a late reply can't be mistaken for another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Query that the attempt belongs to.
    pub query: QueryId,
    /// Number of the attempt, incremented within the query.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.a{}", self.query, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let error = || IdentError::new(text, "attempt id", "<query>.a<number>");
        let (query, number) = text.rsplit_once(".a").ok_or_else(error)?;
        let query = query.parse().map_err(|_error| error())?;
        let number = number.parse().map_err(|_error| error())?;
        Ok(Self { query, number })
    }
}

/// Fingerprint of a request's class and selection; equal for equal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::ident::RequestFingerprint;
    ///
    /// let class = "tender-search".parse()?;
    /// let fingerprint = RequestFingerprint::new(&class, b"roofers");
    /// assert_eq!(fingerprint, RequestFingerprint::new(&class, b"roofers"));
    /// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    pub fn new(class: &ClassName, selection: impl AsRef<[u8]>) -> Self {
        let class_hash = xxhash_rust::xxh3::xxh3_64(class.as_str().as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(
            selection.as_ref(),
            class_hash,
        ))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        let number = u64::from_str_radix(text, 16);
        number
            .map(Self)
            .map_err(|_error| IdentError::new(text, "request fingerprint", "16 hex digits"))
    }
}

/// Whether a request ran at an upstream, as far as the tier can guarantee it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No upstream has run the request or will run it.
    NotRun,
    /// An upstream ran the request.
    Ran,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for RunState {
    type Err = IdentError;

    fn from_str(text: &str) -> Result<Self, IdentError> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err(IdentError::new(
                text,
                "run state",
                "`not-run`, `ran` or `unknown`",
            )),
        }
    }
}

#[cfg(test)]
#[path = "ident_tests.rs"]
mod tests;
