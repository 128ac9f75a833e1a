//! The membership state that is published to the rest of the process.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{IncarnationNumber, RevisionNumber, SessionId, VmAddress, ZoneName};

/// State of a member as one process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member has not answered a probe, but can still refute the suspicion.
    Suspect,
    /// The member has announced a planned stop and is not failed yet.
    Leaving,
    /// The member has not answered for too long, or has stopped.
    Failed,
}

impl MemberState {
    /// Returns whether the member is considered running, leaving or not.
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

/// Revision and load that a member reports about itself; a newer digest replaces an older one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Newest configuration revision that the member holds.
    pub revision: RevisionNumber,
    /// Load of the member, in per mille of its capacity.
    pub load: u16,
}

/// Maximum payload of a notice, in bytes; several notices fit into one datagram.
pub const NOTICE_PAYLOAD_LIMIT: usize = 192;

/// A short message that a subsystem broadcasts to all members, for example that a request has been quarantined.
/// Membership does not interpret the payload; it only tracks the age.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipNotice {
    /// Identifies the notice: of two with the same number, only the first is broadcast.
    pub number: u64,
    /// Time since the notice was published, in seconds, rounded up.
    pub age_s: u32,
    /// Content of the notice, opaque to membership.
    pub payload: SmallVec<[u8; 64]>,
}

impl GossipNotice {
    /// Creates a notice whose number is the hash of its payload.
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

    /// Replaces the number, so that notices of the same event from several members share one.
    #[must_use]
    pub fn with_number(mut self, number: u64) -> Self {
        self.number = number;
        self
    }

    /// Returns the time since the notice was published.
    pub fn age(&self) -> Duration {
        Duration::from_secs(u64::from(self.age_s))
    }
}

/// Snapshot entry of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// VM of the member.
    pub vm: VmAddress,
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Newest known process incarnation on that VM.
    pub incarnation: IncarnationNumber,
    /// State of the member as this process sees it.
    pub state: MemberState,
    /// Newest digest received from the member.
    pub digest: MemberDigest,
}

impl MemberEntry {
    /// Returns the session of the member: its VM and its process incarnation.
    pub fn session(&self) -> SessionId {
        SessionId::new(self.vm, self.incarnation)
    }
}

/// All members known to this process, itself included.
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
    /// Listed VMs that are not members and answer no ping, in ascending order.
    unreachable_vms: Vec<VmAddress>,
}

impl MemberSnapshot {
    /// Creates a snapshot; of members with the same address only one is kept.
    pub fn new(members: impl IntoIterator<Item = MemberEntry>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_unstable_by_key(|member| member.vm);
        members.dedup_by_key(|member| member.vm);
        Self {
            members,
            unreachable_vms: Vec::new(),
        }
    }

    /// Adds listed VMs that are not members and answer no ping.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::membership::MemberSnapshot;
    ///
    /// let vm = "127.0.0.1".parse()?;
    /// let snapshot = MemberSnapshot::default().with_unreachable([vm]);
    /// assert!(snapshot.is_unreachable(vm));
    /// assert!(snapshot.get(vm).is_none());
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    #[must_use]
    pub fn with_unreachable(mut self, vms: impl IntoIterator<Item = VmAddress>) -> Self {
        self.unreachable_vms = vms.into_iter().collect();
        self.unreachable_vms.sort_unstable();
        self
    }

    /// Returns whether a listed VM that was never heard of answers no ping.
    pub fn is_unreachable(&self, vm: VmAddress) -> bool {
        self.unreachable_vms.binary_search(&vm).is_ok()
    }

    /// Returns the listed VMs that are not members and answer no ping, in ascending order.
    pub fn unreachable_vms(&self) -> &[VmAddress] {
        &self.unreachable_vms
    }

    /// Returns the member on a VM.
    pub fn get(&self, vm: VmAddress) -> Option<&MemberEntry> {
        let search_result = self.members.binary_search_by_key(&vm, |member| member.vm);
        search_result.ok().map(|index| &self.members[index])
    }

    /// Returns all members in ascending order of address.
    pub fn members(&self) -> &[MemberEntry] {
        &self.members
    }
}
