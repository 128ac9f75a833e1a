//! Organisations: whose callers are served, how they prove who they are, and how much they may ask for.
//!
//! Credentials are never kept as text. A configuration's credentials are replaced by their digests as soon as they are
//! read, and a request's credential is replaced by its digest before it is compared with anything.

use std::fmt;
use std::rc::Rc;

use compact_str::CompactString;
use http::HeaderMap;
use http::header;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;

use crate::gateway::policy::homes::HomeRegions;
use crate::gateway::policy::quota::RequestQuota;

/// Name that the configuration gives an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrganisationName(CompactString);

impl OrganisationName {
    /// Wraps a text without changes.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(CompactString::new(text))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for OrganisationName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Separates these digests from those of other programs that hash the same credentials.
const DIGEST_CONTEXT: &str = "ebonyfork caller credential 1";

/// Digest of a credential. It is the same on all VMs and doesn't reveal the credential. Comparison takes constant time,
/// and the digest is shown in no text form.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct CredentialDigest(blake3::Hash);

impl CredentialDigest {
    /// Computes the digest of a credential.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::CredentialDigest;
    ///
    /// let digest = CredentialDigest::new(b"example-credential");
    /// assert!(digest == CredentialDigest::new(b"example-credential"));
    /// assert_eq!(format!("{digest:?}"), "CredentialDigest(..)");
    /// ```
    pub fn new(credential: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(credential);
        Self(hasher.finalize())
    }

    /// Returns the digest in the form in which VMs exchange it.
    pub fn to_bytes(self) -> [u8; 32] {
        *self.0.as_bytes()
    }

    /// Restores a digest that another VM has sent.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(blake3::Hash::from_bytes(bytes))
    }
}

impl fmt::Debug for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CredentialDigest(..)")
    }
}

/// An organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationEntry {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Limit on its requests, over all VMs; `None` if there is none.
    pub quota: Option<RequestQuota>,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served, in addition to the limits of the route.
    pub home_regions: HomeRegions,
}

/// An organisation with the credentials of its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationDeclaration {
    /// The organisation.
    pub organisation: OrganisationEntry,
    /// Digests of the credentials.
    pub credentials: SmallVec<[CredentialDigest; 2]>,
}

/// Error for organisations that can't be told apart.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OrganisationError {
    /// Two organisations have the same credential.
    #[snafu(display("{first} and {second} share a credential"))]
    SharedCredential {
        /// Organisation that is stated first.
        first: OrganisationName,
        /// The other organisation.
        second: OrganisationName,
    },
    /// Two organisations have the same name.
    #[snafu(display("{name} is stated twice"))]
    SameName {
        /// The name.
        name: OrganisationName,
    },
}

/// Organisations of one version of the configuration, indexed for look-ups.
#[derive(Debug, Clone, Default)]
pub struct OrganisationTable {
    by_credential: FxHashMap<CredentialDigest, Rc<OrganisationEntry>>,
    by_name: FxHashMap<OrganisationName, Rc<OrganisationEntry>>,
    /// Organisations with a quota, ordered by name.
    limited: Vec<Rc<OrganisationEntry>>,
}

impl OrganisationTable {
    /// Indexes organisations.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{
    ///     CredentialDigest, HomeRegions, OrganisationDeclaration, OrganisationEntry, OrganisationName,
    ///     OrganisationTable,
    /// };
    ///
    /// let declaration = OrganisationDeclaration {
    ///     organisation: OrganisationEntry {
    ///         name: OrganisationName::new("north-office"),
    ///         quota: None,
    ///         priority: None,
    ///         home_regions: HomeRegions::default(),
    ///     },
    ///     credentials: [CredentialDigest::new(b"example")].into_iter().collect(),
    /// };
    /// let table = OrganisationTable::new([declaration])?;
    /// assert!(table.find(CredentialDigest::new(b"example")).is_some());
    /// assert!(table.find(CredentialDigest::new(b"another")).is_none());
    /// # Ok::<(), ebonyfork::gateway::OrganisationError>(())
    /// ```
    pub fn new(
        declarations: impl IntoIterator<Item = OrganisationDeclaration>,
    ) -> Result<Self, OrganisationError> {
        let mut table = Self::default();
        for declaration in declarations {
            let organisation = Rc::new(declaration.organisation);
            let name = organisation.name.clone();
            if organisation.quota.is_some() {
                table.limited.push(Rc::clone(&organisation));
            }
            for credential in declaration.credentials {
                let previous = table
                    .by_credential
                    .insert(credential, Rc::clone(&organisation));
                if let Some(previous) = previous.filter(|previous| previous.name != name) {
                    return Err(OrganisationError::SharedCredential {
                        first: previous.name.clone(),
                        second: name,
                    });
                }
            }
            if table.by_name.insert(name.clone(), organisation).is_some() {
                return Err(OrganisationError::SameName { name });
            }
        }
        table
            .limited
            .sort_unstable_by(|first, second| first.name.cmp(&second.name));
        Ok(table)
    }

    /// Finds the organisation of a credential.
    pub fn find(&self, credential: CredentialDigest) -> Option<&Rc<OrganisationEntry>> {
        self.by_credential.get(&credential)
    }

    /// Finds an organisation by name.
    pub fn named(&self, name: &OrganisationName) -> Option<&Rc<OrganisationEntry>> {
        self.by_name.get(name)
    }

    /// Returns the organisations that have a quota, ordered by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{
    ///     HomeRegions, OrganisationDeclaration, OrganisationEntry, OrganisationName,
    ///     OrganisationTable, RequestQuota, RequestRate,
    /// };
    ///
    /// let declare = |name, quota| OrganisationDeclaration {
    ///     organisation: OrganisationEntry {
    ///         name: OrganisationName::new(name),
    ///         quota,
    ///         priority: None,
    ///         home_regions: HomeRegions::default(),
    ///     },
    ///     credentials: Default::default(),
    /// };
    /// let quota = Some(RequestQuota { rate: RequestRate(4.0), burst: 4.0 });
    /// let declarations = [declare("b", quota), declare("c", None), declare("a", quota)];
    /// let table = OrganisationTable::new(declarations)?;
    /// let names: Vec<_> = table.limited().iter().map(|entry| entry.name.as_str()).collect();
    /// assert_eq!(names, ["a", "b"]);
    /// # Ok::<(), ebonyfork::gateway::OrganisationError>(())
    /// ```
    pub fn limited(&self) -> &[Rc<OrganisationEntry>] {
        &self.limited
    }

    /// Returns whether any organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no organisations.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Authentication scheme of callers.
const SCHEME: &str = "Bearer";

/// Returns the digest of a request's credential. `None` if the credential is missing or malformed, or if there are
/// several: it would be unclear which of them counts.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{CredentialDigest, read_credential};
/// use http::{HeaderMap, HeaderValue, header};
///
/// let mut headers = HeaderMap::new();
/// assert!(read_credential(&headers).is_none());
/// headers.insert(header::AUTHORIZATION, HeaderValue::from_static("bearer example"));
/// assert!(read_credential(&headers) == Some(CredentialDigest::new(b"example")));
/// headers.append(header::AUTHORIZATION, HeaderValue::from_static("bearer another"));
/// assert!(read_credential(&headers).is_none());
/// ```
pub fn read_credential(headers: &HeaderMap) -> Option<CredentialDigest> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) || !rest.starts_with(b" ") {
        return None;
    }
    let credential = rest.trim_ascii();
    let is_well_formed = !credential.is_empty() && credential.iter().all(u8::is_ascii_graphic);
    is_well_formed.then(|| CredentialDigest::new(credential))
}

#[cfg(test)]
#[path = "organisation_tests.rs"]
mod tests;
