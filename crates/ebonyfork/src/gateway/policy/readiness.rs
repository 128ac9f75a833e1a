//! Decides whether a VM sends callers away because its copy of the store can't be trusted while other VMs have a better
//! one.
//!
//! An old copy alone is no reason: while the store is away, the copies of all VMs grow old together, and sending callers
//! away everywhere would be an outage. So there has to be evidence that this VM alone is behind:
//!
//! - The task that follows the store has ended, has not confirmed the copy since it was started again, or stands still, and
//!   others have had a newer configuration for longer than a change may take. The task alone is no evidence: one cause may end
//!   it on all VMs.
//! - Other VMs have had a newer configuration in force for longer than a change may take, and the store is not known to be
//!   away, or the newer configuration was announced so long after this VM's last confirmation that the others must have read
//!   it from the store since.
//! - This VM can't decode the store's configuration, and others have had a newer one for that long.
//!
//! Evidence has to last for some observations, so that a process that was paused has the time to catch up first, and has to
//! be gone for some more before callers return.

use std::fmt;
use std::time::Duration;

/// Number of observations in a row for which the evidence has to hold before callers are sent away.
const OBSERVATIONS_TO_LEAVE: u32 = 2;
/// Number of observations in a row without evidence before callers return: a second at four observations a second.
const OBSERVATIONS_TO_RETURN: u32 = 4;
/// Age of the copy, as a multiple of the time within which a change must be in force, from which a newer version elsewhere
/// counts. By then a VM that can't reach the store has noticed that, and knows whether other VMs can.
const MIN_BEHIND_AGE_FACTOR: u32 = 2;
/// Time between the copy's last confirmation and the announcement of a newer version, as a multiple of the time within which
/// a change must be in force, from which the others must have read the store after this VM. Two thirds of it pass before a
/// copy that was confirmed just before an outage is stale, and gossip takes about a second.
const MIN_NEWS_FACTOR: u32 = 2;

/// Whether the task that follows the store does so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerState {
    /// It has checked its source recently.
    Active,
    /// It has not checked its source for longer than a change may take to be in force.
    Stalled,
    /// It runs again after it had ended, but the copy has not been confirmed since.
    Restarted,
    /// It has ended and not run since.
    Ended,
}

impl fmt::Display for FollowerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Active => "active",
            Self::Stalled => "stalled",
            Self::Restarted => "restarted",
            Self::Ended => "ended",
        })
    }
}

/// What a VM knows of its copy and of the other VMs' versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyView {
    /// Time since the copy was last known to be up to date; since the start of the process if it never was.
    pub copy_age: Duration,
    /// State of the task that follows the store.
    pub follower: FollowerState,
    /// Whether calls to the store fail, as far as this VM knows.
    pub is_store_failing: bool,
    /// How long another VM has had a newer configuration in force; `None` if none has.
    pub behind_for: Option<Duration>,
    /// Time since another VM first announced a version newer than all before; `None` if none has announced any.
    pub news_age: Option<Duration>,
    /// Whether this VM could not decode the store's configuration.
    pub is_config_refused: bool,
}

/// Why callers should use other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnfitReason {
    /// Nothing keeps this VM's copy up to date.
    NotFollowing,
    /// Other VMs have a newer configuration, and this VM does not get it.
    BehindOthers,
    /// Other VMs have a newer configuration, which this VM can't decode.
    RefusedConfig,
}

impl fmt::Display for UnfitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotFollowing => "not-following",
            Self::BehindOthers => "behind-others",
            Self::RefusedConfig => "refused-config",
        })
    }
}

impl CopyView {
    /// Returns why callers should use other VMs; `None` if they need not. `bound` is the time within which a change must be
    /// in force.
    pub fn unfit_reason(&self, bound: Duration) -> Option<UnfitReason> {
        let is_behind = self.behind_for.is_some_and(|duration| duration >= bound);
        if self.is_config_refused && is_behind {
            return Some(UnfitReason::RefusedConfig);
        }
        if self.copy_age <= bound {
            return None;
        }
        let is_following = match self.follower {
            FollowerState::Active => true,
            // It has found the store away, as the other VMs have.
            FollowerState::Restarted => self.is_store_failing,
            FollowerState::Stalled | FollowerState::Ended => false,
        };
        if !is_following {
            return is_behind.then_some(UnfitReason::NotFollowing);
        }
        let are_others_reading = !self.is_store_failing || self.is_news_later(bound);
        let is_old = self.copy_age >= bound * MIN_BEHIND_AGE_FACTOR;
        (is_behind && is_old && are_others_reading).then_some(UnfitReason::BehindOthers)
    }

    /// Returns whether others announced a version so late that they must have read the store after this VM's copy was last
    /// confirmed.
    fn is_news_later(&self, bound: Duration) -> bool {
        let delay = self
            .news_age
            .map(|news_age| self.copy_age.saturating_sub(news_age));
        delay.is_some_and(|delay| delay >= bound * MIN_NEWS_FACTOR)
    }
}

/// Whether callers are sent away, from one observation to the next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadinessState {
    reason: Option<UnfitReason>,
    /// Number of observations in a row that contradict the state.
    contrary_count: u32,
}

impl ReadinessState {
    /// Returns why callers are sent away; `None` if they are not.
    pub fn reason(&self) -> Option<UnfitReason> {
        self.reason
    }

    /// Records an observation. Returns whether callers are sent away only from now on, or no longer.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{ReadinessState, UnfitReason};
    ///
    /// let mut state = ReadinessState::default();
    /// assert!(!state.observe(Some(UnfitReason::NotFollowing)));
    /// assert!(state.observe(Some(UnfitReason::NotFollowing)));
    /// assert_eq!(state.reason(), Some(UnfitReason::NotFollowing));
    /// ```
    pub fn observe(&mut self, reason: Option<UnfitReason>) -> bool {
        if reason.is_some() == self.reason.is_some() {
            self.reason = reason;
            self.contrary_count = 0;
            return false;
        }
        self.contrary_count += 1;
        let required_count = match reason {
            Some(_) => OBSERVATIONS_TO_LEAVE,
            None => OBSERVATIONS_TO_RETURN,
        };
        if self.contrary_count < required_count {
            return false;
        }
        self.reason = reason;
        self.contrary_count = 0;
        true
    }
}

#[cfg(test)]
#[path = "readiness_tests.rs"]
mod tests;
