//! Moves tokens between the holders of an organisation's parts.
//!
//! Load pattern: an organisation sends all its requests to one VM or to a few. They ask the nearest holder, whose part is
//! a sixth of the quota, while the tokens of the other parts stay unused. A holder that has no token left therefore asks
//! the others for some ([`PartTransfers`]): in one round at a time, not for each request.
//!
//! A token in transit is in no bucket, so the buckets can refill meanwhile. The sum over all buckets and all tokens that
//! will still be accepted exceeds the capacities only by what is refilled within [`TRANSFER_TIMEOUT`], because
//!
//! - a round asks for no more tokens than fit into the bucket when it begins, and no second round begins meanwhile. This
//!   also holds if two holders ask each other all the time;
//! - a transfer that arrives later than that after its round began is dropped, measured on the asking holder's clock;
//! - a transfer to an earlier hold is dropped: the bucket that had room for it is void;
//! - what doesn't fit into the bucket on arrival is dropped.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use super::QUOTA_PARTS;
use super::terms::PartHold;
use crate::gateway::settings::PlaceDistance;

/// Time after which tokens that were asked for are dropped: one trip between regions and back (24 ms), plus queueing on
/// two busy VMs. What buckets refill meanwhile is beyond their capacity, so it must be short.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time for which an empty part is not asked. Its holder may have a token earlier than stated, if one is
/// returned.
const EMPTY_MEMORY: Duration = Duration::from_millis(250);
/// Time for which a holder that has not answered counts as empty.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Time after a request in which a part counts as one with demand of its own.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);

/// Holder of another part that can be asked for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherHolder {
    /// Number of the part.
    pub part: u8,
    /// Distance to the holder.
    pub distance: PlaceDistance,
}

/// Reason for which a transfer is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferDrop {
    /// It is of no round that is known, or the part was asked for nothing.
    Unasked,
    /// It arrived too late.
    Late,
    /// It was asked for in another hold of the part.
    OtherHold,
}

impl fmt::Display for TransferDrop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unasked => "unasked",
            Self::Late => "late",
            Self::OtherHold => "other-hold",
        })
    }
}

/// Parts to ask, and the number of tokens to ask each for.
pub type TransferAsks = SmallVec<[(u8, u32); QUOTA_PARTS]>;

/// Round of requests for tokens.
#[derive(Debug)]
struct TransferRound {
    number: u64,
    hold: PartHold,
    begun_at: Duration,
    /// Parts that have not answered, with the tokens they were asked for.
    asked: TransferAsks,
}

/// What the holder of a part knows of the transfers of one organisation's tokens.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::gateway::{OtherHolder, PartHold, PartTransfers, PlaceDistance};
///
/// let hold = PartHold::default();
/// let holders = [4, 5].map(|part| OtherHolder { part, distance: PlaceDistance::Far });
/// let mut transfers = PartTransfers::default();
/// let now = Duration::from_secs(9);
/// let asks = transfers.begin_round(7, &holders, 3, hold, now);
/// assert_eq!(asks.as_slice(), [(4, 2), (5, 1)]);
/// let received = transfers.receive(7, 4, 2, Duration::ZERO, Some(hold), now);
/// assert_eq!(received, Ok(2));
/// // No second round while part 5 has not answered.
/// assert!(transfers.begin_round(8, &holders, 1, hold, now).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct PartTransfers {
    round: Option<TransferRound>,
    /// Time until which each of the parts counts as empty.
    empty_until: [Duration; QUOTA_PARTS],
    /// Time of the last request for a token of this part.
    last_demand: Option<Duration>,
}

impl PartTransfers {
    /// Records that a request needed a token of this part.
    pub fn note_demand(&mut self, now: Duration) {
        self.last_demand = Some(now);
    }

    /// Begins a round for at most `room` tokens, unless one is running. The tokens are divided among the holders that
    /// may have some, with the remainder at the nearest. Returns no asks if there is no round to begin.
    pub fn begin_round(
        &mut self,
        number: u64,
        holders: &[OtherHolder],
        room: u32,
        hold: PartHold,
        now: Duration,
    ) -> TransferAsks {
        if self.is_round_running(now) {
            return TransferAsks::new();
        }
        self.end_round();
        let mut candidates: SmallVec<[OtherHolder; QUOTA_PARTS]> = holders
            .iter()
            .copied()
            .filter(|holder| self.may_have_tokens(holder.part, now))
            .collect();
        candidates.sort_by_key(|holder| (holder.distance, holder.part));
        let asks = divide_room(&candidates, room);
        if !asks.is_empty() {
            self.round = Some(TransferRound {
                number,
                hold,
                begun_at: now,
                asked: asks.clone(),
            });
        }
        asks
    }

    /// Returns how many tokens of a transfer may be added to the bucket. `hold` is the present hold of this part, and
    /// `next_token` the time until the sender has another token.
    pub fn receive(
        &mut self,
        number: u64,
        part: u8,
        tokens: u32,
        next_token: Duration,
        hold: Option<PartHold>,
        now: Duration,
    ) -> Result<u32, TransferDrop> {
        let round = self.round.as_mut().filter(|round| round.number == number);
        let round = round.ok_or(TransferDrop::Unasked)?;
        let index = round.asked.iter().position(|(asked, _)| *asked == part);
        let (_part, asked_tokens) = round.asked.remove(index.ok_or(TransferDrop::Unasked)?);
        if tokens < asked_tokens
            && let Some(empty_until) = self.empty_until.get_mut(usize::from(part))
        {
            *empty_until = now + next_token.min(EMPTY_MEMORY);
        }
        if hold != Some(round.hold) {
            return Err(TransferDrop::OtherHold);
        }
        if now >= round.begun_at + TRANSFER_TIMEOUT {
            return Err(TransferDrop::Late);
        }
        Ok(tokens.min(asked_tokens))
    }

    /// Returns whether a number is that of the last round.
    pub fn has_round(&self, number: u64) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.number == number)
    }

    /// Returns how many tokens this holder gives at most to another part that wants some: all, or half if the part has
    /// demand of its own.
    pub fn give_limit(&self, wanted: u32, now: Duration) -> u32 {
        if self.has_demand(now) {
            wanted.div_ceil(2)
        } else {
            wanted
        }
    }

    /// Returns whether this state has become the same as none.
    pub fn is_idle(&self, now: Duration) -> bool {
        !self.has_demand(now)
            && !self.is_round_running(now)
            && self.empty_until.iter().all(|until| *until <= now)
    }

    fn has_demand(&self, now: Duration) -> bool {
        let last_demand = self.last_demand;
        last_demand.is_some_and(|demand_at| now < demand_at + DEMAND_MEMORY)
    }

    fn is_round_running(&self, now: Duration) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| !round.asked.is_empty() && now < round.begun_at + TRANSFER_TIMEOUT)
    }

    /// Ends the last round. Holders that have not answered count as empty.
    fn end_round(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for (part, _tokens) in round.asked {
            if let Some(empty_until) = self.empty_until.get_mut(usize::from(part)) {
                *empty_until = round.begun_at + SILENT_TIME;
            }
        }
    }

    fn may_have_tokens(&self, part: u8, now: Duration) -> bool {
        let empty_until = self.empty_until.get(usize::from(part));
        empty_until.is_some_and(|until| *until <= now)
    }
}

/// Divides the room of a bucket among the candidates, nearest first.
fn divide_room(candidates: &[OtherHolder], room: u32) -> TransferAsks {
    let count = candidates.len() as u32;
    let mut asks = TransferAsks::new();
    for (index, holder) in (0..).zip(candidates) {
        let tokens = room / count + u32::from(index < room % count);
        if tokens > 0 {
            asks.push((holder.part, tokens));
        }
    }
    asks
}

#[cfg(test)]
#[path = "transfer_tests.rs"]
mod tests;
