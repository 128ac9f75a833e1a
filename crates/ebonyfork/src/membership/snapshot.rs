//! What membership tells the rest of the process.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{IncarnationNumber, RevisionNumber, SessionId, VmAddress, ZoneName};

/// What is believed about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered; it can still refute that.
    Suspect,
    /// It has announced a planned stop, and still answers.
    Leaving,
    /// It has not answered for too long, or has stopped.
    Failed,
}

impl MemberState {
    /// Tells whether the member is believed to run, leaving or not.
    pub fn is_present(self) -> bool {
        self != Self::Failed
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Failed => "failed",
        })
    }
}

/// What a member says about itself; the newest one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The newest revision of the configuration that it holds.
    pub revision: RevisionNumber,
    /// How busy it is, in per mille of what it can take.
    pub load: u16,
}

/// Longest payload of a notice, in bytes, so that several fit into one datagram.
pub const NOTICE_PAYLOAD_LIMIT: usize = 192;

/// A short text of another duty that every member is told once, such as news about quarantined requests. Membership
/// does not read the payload; it only keeps count of its age.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipNotice {
    /// Names the notice: of two with the same number only the first is told.
    pub number: u64,
    /// Seconds since it was published, rounded up.
    pub age_s: u32,
    /// What it says.
    pub payload: SmallVec<[u8; 64]>,
}

impl GossipNotice {
    /// Makes a new notice that is named by the hash of its payload.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::membership::GossipNotice;
    ///
    /// let notice = GossipNotice::new(b"news");
    /// assert_eq!(notice.number, GossipNotice::new(b"news").number);
    /// ```
    pub fn new(payload: impl AsRef<[u8]>) -> Self {
        let payload = payload.as_ref();
        let number = xxhash_rust::xxh3::xxh3_64(payload);
        Self {
            number,
            age_s: 0,
            payload: SmallVec::from_slice(payload),
        }
    }

    /// Names the notice by what stays the same when another member publishes the same news.
    #[must_use]
    pub fn with_number(mut self, number: u64) -> Self {
        self.number = number;
        self
    }

    /// The time since it was published.
    pub fn age(&self) -> Duration {
        Duration::from_secs(u64::from(self.age_s))
    }
}

/// One member as this process sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its VM.
    pub vm: VmAddress,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// The newest life of the process on that VM.
    pub incarnation: IncarnationNumber,
    /// What is believed about it.
    pub state: MemberState,
    /// What it last said about itself.
    pub digest: MemberDigest,
}

impl MemberEntry {
    /// The process incarnation that the entry is about.
    pub fn session(&self) -> SessionId {
        SessionId::new(self.vm, self.incarnation)
    }
}

/// All members that this process knows, itself included.
///
/// # Examples
///
/// ```
/// use ebonyfork::ident::IncarnationNumber;
/// use ebonyfork::membership::{MemberDigest, MemberEntry, MemberSnapshot, MemberState};
///
/// let vm = "127.0.0.1".parse()?;
/// let member = MemberEntry {
///     vm,
///     zone: "zone-a".parse()?,
///     incarnation: IncarnationNumber(7),
///     state: MemberState::Alive,
///     digest: MemberDigest::default(),
/// };
/// let snapshot = MemberSnapshot::new([member]);
/// assert_eq!(snapshot.get(vm).map(|member| member.state), Some(MemberState::Alive));
/// # Ok::<(), ebonyfork::ident::IdentError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberSnapshot {
    members: Vec<MemberEntry>,
}

impl MemberSnapshot {
    /// Makes a snapshot of members with distinct addresses.
    pub fn new(members: impl IntoIterator<Item = MemberEntry>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_unstable_by_key(|member| member.vm);
        members.dedup_by_key(|member| member.vm);
        Self { members }
    }

    /// Returns what is known about the member on a VM.
    pub fn get(&self, vm: VmAddress) -> Option<&MemberEntry> {
        let found = self.members.binary_search_by_key(&vm, |member| member.vm);
        found.ok().map(|index| &self.members[index])
    }

    /// All members, ascending by address.
    pub fn members(&self) -> &[MemberEntry] {
        &self.members
    }
}
