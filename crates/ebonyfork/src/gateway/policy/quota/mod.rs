//! Limits the requests of an organisation to its quota, over all VMs together.
//!
//! The quota of each organisation is divided into up to [`QUOTA_PARTS`] equal parts, each a token bucket of its own.
//! Part 1 of all organisations' quotas is held by one VM, part 2 by another, and so on; a claim in the store decides
//! which ([`QUOTA_CLAIM`]). A VM that receives a request takes a token from the nearest holder, and from the others if
//! that part is empty ([`plan_asks`]). No VM spends a token without an answer of a holder, so the sum over all VMs stays
//! within the bound, whichever VMs are killed, paused, partitioned or unknown to the others:
//!
//! - At most one process holds a part at any time ([`super::claim`]), on a clock that keeps running while its VM is
//!   suspended.
//! - A token is granted for one request that waits for it. A grant that arrives after the request stopped waiting is
//!   given back and never used, so a request that callers sent within some window was also granted within it.
//! - A new holder doesn't know what its predecessor granted, so its buckets start empty, or with an allowance that at
//!   most one holder of a part gets in any window ([`PartHold`]).
//!
//! The bound tolerates some requests in addition to the quota ([`QuotaBound`]). They enlarge the buckets, so that a burst
//! which the bound allows is not refused, make up the allowance of new holders, and refill the buckets of a new holder
//! faster for the length of one window. Together they stay within the bound however often holders change ([`PartTerms`]).
//!
//! With several parts, the loss of a holder leaves the other parts usable, and each region has a holder nearby. The
//! term of a claim is longer than the usual outage of the store, because without a valid claim no part can be used.

mod account;
mod ask;
mod bucket;
mod message;
mod request;
mod returns;
mod schedule;
mod shares;
mod terms;
mod transfer;

use std::time::Duration;

pub use ask::{
    AskRound, PartState, PartView, QuotaRefusal, is_timely, other_parts, plan_asks, trip_time,
};
pub use bucket::PartLedger;
pub use message::{QuotaAnswer, QuotaMessage};
pub use request::{RequesterKey, TokenDecision, TokenRefusal, TokenRequest, WaitCheck, WaitEnd};
pub use returns::next_return;
pub use terms::{PartHold, PartTerms, QuotaBound, RequestQuota};
pub use transfer::{OtherHolder, PartTransfers, TransferAsks, TransferDrop};

use crate::gateway::policy::claim::ClaimTimings;

/// Number of parts into which quotas are divided. All VMs must use the same number.
pub const QUOTA_PARTS: usize = 6;

/// Times of the claims on the parts. Two renewals may fail before the term ends. A new holder needs no quiet time,
/// because what its buckets start with doesn't depend on when the previous holder stopped.
pub const QUOTA_CLAIM: ClaimTimings = ClaimTimings {
    term: Duration::from_secs(25),
    renewal_period: Duration::from_secs(8),
    takeover_delay: Duration::from_secs(28),
    quiet_time: Duration::ZERO,
};

/// Time for which a part that nobody holds is left to the VM chosen for it, and then to each of the next ones: that VM may
/// be alive for gossip and not write claims. Longer than a VM needs to know the others after its start (3 s).
const FREE_PART_WAIT: Duration = Duration::from_secs(4);
/// Largest number of VMs that write the claim on a part at the same time. Each costs a call to the store.
const MAX_PART_CANDIDATES: usize = 4;

/// Returns whether a VM should claim a part that nobody has held for `free_time`; `rank` is the number of VMs that are
/// preferred to it.
pub fn wants_free_part(rank: usize, free_time: Duration) -> bool {
    rank < MAX_PART_CANDIDATES && free_time >= FREE_PART_WAIT * rank as u32
}

#[cfg(test)]
#[path = "quota_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod fleet_tests;

#[cfg(test)]
#[path = "commitment_history_tests.rs"]
mod commitment_history_tests;

#[cfg(test)]
mod history_faults;
#[cfg(test)]
mod history_fixture;
#[cfg(test)]
mod history_tests;
#[cfg(test)]
mod history_transfers;
#[cfg(test)]
mod history_versions;

#[cfg(test)]
mod start_tests;
#[cfg(test)]
mod starved_tests;
