//! Decides which holders a VM asks for a token.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use super::QUOTA_PARTS;
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
    /// Time until the part has another token, if it was empty when it was last asked.
    pub empty_for: Option<Duration>,
}

/// Reason for which no token can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// All parts are empty.
    OverQuota {
        /// Time until the first of them has another token.
        wait: Duration,
    },
    /// The holders of some parts are unknown or can't be reached, and the other parts are empty.
    Unknown,
}

impl fmt::Display for QuotaRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OverQuota { wait } => write!(f, "over-quota wait_ms={}", wait.as_millis()),
            Self::Unknown => f.write_str("quota-unknown"),
        }
    }
}

/// Holders to ask for a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AskPlan {
    /// Ask the first part, and the others at once if it is empty or its holder doesn't answer.
    Ask {
        /// Part to ask first; `None` if all are to be asked at once.
        first: Option<u8>,
        /// The other parts that may have a token.
        others: SmallVec<[u8; QUOTA_PARTS]>,
    },
    /// No part can have a token.
    Refuse(QuotaRefusal),
}

/// Plans which holders to ask. The nearest part that isn't known to be empty goes first: a VM in its zone or region
/// answers within a few milliseconds, and asking all holders for each request would multiply the messages.
///
/// # Examples
///
/// ```
/// use ebonyfork::gateway::{AskPlan, PartView, PlaceDistance, plan_asks};
///
/// let view = |part, distance| PartView {
///     part,
///     has_holder: true,
///     distance,
///     is_silent: false,
///     empty_for: None,
/// };
/// let plan = plan_asks(&[view(0, PlaceDistance::Far), view(1, PlaceDistance::Zone)]);
/// let others = [0].into_iter().collect();
/// assert_eq!(plan, AskPlan::Ask { first: Some(1), others });
/// ```
pub fn plan_asks(parts: &[PartView]) -> AskPlan {
    let mut askable: SmallVec<[&PartView; QUOTA_PARTS]> = parts
        .iter()
        .filter(|view| view.has_holder && view.empty_for.is_none())
        .collect();
    if askable.is_empty() {
        return AskPlan::Refuse(refusal(parts));
    }
    askable.sort_by_key(|view| (view.is_silent, view.distance));
    let first = Some(askable[0])
        .filter(|view| !view.is_silent)
        .map(|view| view.part);
    let others = askable
        .iter()
        .map(|view| view.part)
        .filter(|part| Some(*part) != first)
        .collect();
    AskPlan::Ask { first, others }
}

/// Returns the reason for a refusal once no part can be asked any more.
pub fn refusal(parts: &[PartView]) -> QuotaRefusal {
    let mut shortest_wait = None;
    for view in parts {
        let Some(wait) = view.empty_for else {
            return QuotaRefusal::Unknown;
        };
        shortest_wait = Some(shortest_wait.map_or(wait, |shortest: Duration| shortest.min(wait)));
    }
    shortest_wait.map_or(QuotaRefusal::Unknown, |wait| QuotaRefusal::OverQuota {
        wait,
    })
}
