//! The long-lived tasks of a process, and which of them are down.
//!
//! docs/design/tasks.md states for each task what its end means and what follows.

use std::cell::Cell;
use std::fmt;

/// Name of a long-lived task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskName {
    /// Accepts callers' connections.
    CallerListener,
    /// Accepts readiness checks.
    ReadyListener,
    /// Accepts look-ups of VMs.
    DirectoryListener,
    /// Accepts requests for metrics and quotas.
    StatusListener,
    /// Follows the store and puts its changes in force.
    StoreFollower,
    /// Keeps this VM's entry in the store.
    Registration,
    /// Accepts links of other VMs.
    PeerListener,
    /// Handles messages of other VMs.
    PeerMessages,
    /// Removes expired state.
    Sweep,
    /// Leases shares of the retry budget.
    RetryShares,
    /// Sends changes of upstreams' speed.
    SpeedExchange,
    /// Maintains the claims on cold upstreams.
    ColdClaims,
    /// Maintains the claims on parts of the quotas.
    QuotaClaims,
    /// Applies what gossip knows of the VMs.
    MemberFollower,
    /// Publishes this VM's version and load.
    DigestPublisher,
    /// Publishes quarantine notices.
    NoticePublisher,
    /// Receives quarantine notices.
    NoticeReceiver,
    /// Gossip itself: its actor, socket and timer.
    Membership,
}

impl TaskName {
    /// All tasks.
    pub const ALL: [Self; 18] = [
        Self::CallerListener,
        Self::ReadyListener,
        Self::DirectoryListener,
        Self::StatusListener,
        Self::StoreFollower,
        Self::Registration,
        Self::PeerListener,
        Self::PeerMessages,
        Self::Sweep,
        Self::RetryShares,
        Self::SpeedExchange,
        Self::ColdClaims,
        Self::QuotaClaims,
        Self::MemberFollower,
        Self::DigestPublisher,
        Self::NoticePublisher,
        Self::NoticeReceiver,
        Self::Membership,
    ];

    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::CallerListener => "caller-listener",
            Self::ReadyListener => "ready-listener",
            Self::DirectoryListener => "directory-listener",
            Self::StatusListener => "status-listener",
            Self::StoreFollower => "store-follower",
            Self::Registration => "registration",
            Self::PeerListener => "peer-listener",
            Self::PeerMessages => "peer-messages",
            Self::Sweep => "sweep",
            Self::RetryShares => "retry-shares",
            Self::SpeedExchange => "speed-exchange",
            Self::ColdClaims => "cold-claims",
            Self::QuotaClaims => "quota-claims",
            Self::MemberFollower => "member-follower",
            Self::DigestPublisher => "digest-publisher",
            Self::NoticePublisher => "notice-publisher",
            Self::NoticeReceiver => "notice-receiver",
            Self::Membership => "membership",
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Which tasks are down: ended against their purpose and not started again yet.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{TaskName, TaskStates};
///
/// let states = TaskStates::default();
/// states.set_down(TaskName::StoreFollower, true);
/// assert!(states.is_down(TaskName::StoreFollower));
/// assert!(!states.is_down(TaskName::Sweep));
/// ```
#[derive(Debug, Default)]
pub struct TaskStates {
    /// One bit for each task.
    down: Cell<u32>,
}

impl TaskStates {
    /// Returns whether a task is down.
    pub fn is_down(&self, task: TaskName) -> bool {
        self.down.get() & bit(task) != 0
    }

    /// Sets whether a task is down.
    pub fn set_down(&self, task: TaskName, is_down: bool) {
        let others = self.down.get() & !bit(task);
        self.down
            .set(if is_down { others | bit(task) } else { others });
    }

    /// Returns whether callers should be sent to other VMs because of a task that is down here. Tasks that an entry of
    /// the store may end are not among them, since they may end on all VMs at once.
    pub fn hinders_callers(&self) -> bool {
        self.is_down(TaskName::CallerListener) || self.is_down(TaskName::Membership)
    }
}

fn bit(task: TaskName) -> u32 {
    1 << task as u32
}
