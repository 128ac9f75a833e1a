//! Decides which holders a VM asks for a token.
//!
//! Load pattern: a busy organisation has used up all parts. If each request asks the holders of all parts in all
//! regions, each refusal takes a trip between regions, although all parts were empty a moment ago. So the nearest holder
//! that answers decides ([`plan_asks`]). The others are asked for a token at hand only if one may have one and the
//! request can wait for the trip ([`other_parts`]). An organisation that doesn't exceed its limit can wait for the trip
//! as long as its caller does: a late answer is better than a refusal within the limit.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use super::QUOTA_PARTS;
use super::terms::MAX_GRANT_DELAY;
use crate::gateway::settings::PlaceDistance;

/// What a VM knows of one part of an organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartView {
    /// Number of the part.
    pub part: u8,
    /// Whether a holder is known.
    pub has_holder: bool,
    /// Distance to the holder.
    pub distance: PlaceDistance,
    /// Whether the holder has left a recent request unanswered.
    pub is_silent: bool,
    /// What the holder answered when it was last asked.
    pub state: PartState,
}

/// What a VM remembers of the tokens of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartState {
    /// Nothing: the part may have a token.
    MayGrant,
    /// The part had no token a moment ago.
    Empty,
    /// The part had no token a moment ago, and the organisation asks it for more than its limit.
    OverLimit,
}

/// Reason for which no token can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The nearest holder has no token for the request.
    OverQuota {
        /// Time until the request should return.
        wait: Duration,
        /// Whether a token is set aside for the return.
        is_promised: bool,
    },
    /// No holder is known, or none answers.
    Unknown,
}

impl fmt::Display for QuotaRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OverQuota { wait, is_promised } => {
                let wait_ms = wait.as_millis();
                write!(f, "over-quota wait_ms={wait_ms} promised={is_promised}")
            }
            Self::Unknown => f.write_str("quota-unknown"),
        }
    }
}

/// Parts whose holders are asked together.
pub type AskRound = SmallVec<[u8; QUOTA_PARTS]>;

/// Plans which holders are asked to decide, one round after the other until one answers: the known holders by distance,
/// and at last all those together that have left a recent request unanswered.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{AskRound, PartState, PartView, PlaceDistance, plan_asks};
///
/// let view = |part, distance| PartView {
///     part,
///     has_holder: true,
///     distance,
///     is_silent: false,
///     state: PartState::MayGrant,
/// };
/// let rounds = plan_asks(&[view(0, PlaceDistance::Far), view(1, PlaceDistance::Zone)]);
/// let expected: Vec<AskRound> = vec![[1].into_iter().collect(), [0].into_iter().collect()];
/// assert_eq!(rounds.to_vec(), expected);
/// ```
pub fn plan_asks(parts: &[PartView]) -> SmallVec<[AskRound; QUOTA_PARTS]> {
    let mut known: SmallVec<[&PartView; QUOTA_PARTS]> =
        parts.iter().filter(|view| view.has_holder).collect();
    // Promises are kept by the part that made them. So while an organisation is over its limit, its requests ask the
    // same part again; otherwise one that may have a token goes first.
    known.sort_by_key(|view| {
        let is_skipped = view.state == PartState::Empty;
        (view.distance, is_skipped, view.part)
    });
    let (silent, answering): (SmallVec<[&PartView; QUOTA_PARTS]>, AskRound) = {
        let silent = known.iter().copied().filter(|view| view.is_silent);
        let answering = known.iter().filter(|view| !view.is_silent);
        (silent.collect(), answering.map(|view| view.part).collect())
    };
    let mut rounds: SmallVec<[AskRound; QUOTA_PARTS]> = answering
        .into_iter()
        .map(|part| AskRound::from_iter([part]))
        .collect();
    if !silent.is_empty() {
        rounds.push(silent.iter().map(|view| view.part).collect());
    }
    rounds
}

/// Time of a trip to a holder and back, with queueing on two VMs that are not overloaded.
pub fn trip_time(distance: PlaceDistance) -> Duration {
    match distance {
        PlaceDistance::Zone => Duration::from_millis(2),
        PlaceDistance::Region => Duration::from_millis(4),
        PlaceDistance::Far => Duration::from_millis(30),
    }
}

/// Returns the parts other than the `asked` ones that may have a token and whose holders answer within `reach`, the
/// time for which the request can still wait.
pub fn other_parts(parts: &[PartView], asked: &[u8], reach: Duration) -> AskRound {
    let may_grant = |view: &&PartView| {
        let may_grant = view.state == PartState::MayGrant;
        let is_known = view.has_holder && !view.is_silent && may_grant;
        is_known && !asked.contains(&view.part) && trip_time(view.distance) <= reach
    };
    let granting = parts.iter().filter(may_grant);
    granting.map(|view| view.part).collect()
}

/// Returns whether a grant that arrives `elapsed` after it was asked for may be used, if the request `waited` at the
/// holder. A grant that was longer on the way is given back: its request would be sent so long after the grant that it
/// would count in a later window.
pub fn is_timely(elapsed: Duration, waited: Duration) -> bool {
    elapsed <= waited + MAX_GRANT_DELAY
}

#[cfg(test)]
#[path = "ask_tests.rs"]
mod tests;
