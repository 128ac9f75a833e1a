//! State of the quotas in one process: the parts, and the requests for tokens that wait for an answer.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::sync::mpsc::UnboundedSender;

use super::usage::QuotaUsage;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName};
use crate::gateway::policy::claim::StoreClaim;
use crate::gateway::policy::quota::{
    PartLedger, PartTerms, QUOTA_CLAIM, QUOTA_PARTS, QuotaAnswer, RequestQuota, next_return,
};
use crate::gateway::settings::PlaceDistance;
use crate::ident::SessionId;
use crate::store::StoreEra;

/// What this VM knows of one part.
#[derive(Debug)]
pub(super) struct QuotaPart {
    /// Claim on the part.
    pub(super) claim: StoreClaim,
    /// Buckets, used while this process holds the part.
    ledger: PartLedger,
    /// Distance to the holder.
    pub(super) distance: PlaceDistance,
    /// Time until which the holder counts as silent.
    pub(super) silent_until: Duration,
}

impl QuotaPart {
    /// Returns since when this process holds the part, and the tokens that an organisation could take from it now. `None`
    /// if this process may not grant any.
    pub(super) fn tokens_left(
        &self,
        organisation: &OrganisationName,
        terms: PartTerms,
        now: Duration,
    ) -> Option<(Duration, f64)> {
        let held_since = self.claim.usable_since(now)?;
        let tokens = self
            .ledger
            .tokens_left(organisation, terms, held_since, now);
        Some((held_since, tokens))
    }
}

/// Part that was empty when it was last asked.
#[derive(Debug, Clone, Copy)]
pub(super) struct EmptyPart {
    /// Number of the part.
    pub(super) part: u8,
    /// Time of its next token, as its holder stated.
    pub(super) next_token: Duration,
    /// Time at which the holder answered.
    pub(super) answered_at: Duration,
}

/// Empty parts of one organisation's quota.
type EmptyParts = SmallVec<[EmptyPart; QUOTA_PARTS]>;

/// Time for which an empty part is not asked again. Its holder may have a token earlier than it has stated, if one is
/// returned.
const EMPTY_MEMORY: Duration = Duration::from_millis(250);

/// Answer to a request for a token, with the part that answers.
pub(super) type NumberedAnswer = (u8, QuotaAnswer);

/// Parts of quotas, and the requests for tokens that wait for an answer.
#[derive(Debug)]
pub struct QuotaDesk {
    pub(super) parts: RefCell<Vec<QuotaPart>>,
    /// Parts that were empty when they were last asked, by organisation.
    empty_parts: RefCell<FxHashMap<OrganisationName, EmptyParts>>,
    /// When the last refused caller of each organisation was told to return.
    returns: RefCell<FxHashMap<OrganisationName, Duration>>,
    /// Requests that wait for answers, by number.
    pub(super) pending: RefCell<FxHashMap<u64, UnboundedSender<NumberedAnswer>>>,
    next_number: Cell<u64>,
    /// Counts of recent outcomes, for the operators.
    pub(super) usage: QuotaUsage,
}

impl EmptyPart {
    /// Returns whether the part is known to be empty without asking again.
    fn is_remembered(&self, now: Duration) -> bool {
        now < self.next_token && now < self.answered_at + EMPTY_MEMORY
    }
}

impl QuotaDesk {
    /// Creates the state of a process that holds no part; `own_session` is the session of the process.
    pub fn new(own_session: SessionId) -> Self {
        let new_part = |_number| QuotaPart {
            claim: StoreClaim::new(own_session, QUOTA_CLAIM),
            ledger: PartLedger::new(),
            distance: PlaceDistance::Far,
            silent_until: Duration::ZERO,
        };
        Self {
            parts: RefCell::new((0..QUOTA_PARTS).map(new_part).collect()),
            empty_parts: RefCell::default(),
            returns: RefCell::default(),
            pending: RefCell::default(),
            next_number: Cell::new(0),
            usage: QuotaUsage::default(),
        }
    }

    /// Calls a function with the claim on a part. A number that is no part is ignored: it may come from another version
    /// of the program.
    pub fn with_claim<T>(
        &self,
        part: u8,
        use_claim: impl FnOnce(&mut StoreClaim) -> T,
    ) -> Option<T> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part))?;
        Some(use_claim(&mut part.claim))
    }

    /// Records that the store has entered an era. Claims of earlier eras become void.
    pub fn enter_era(&self, era: StoreEra, now: Duration) {
        for part in self.parts.borrow_mut().iter_mut() {
            part.claim.enter_era(era, now);
        }
    }

    /// Removes state that has become the same as none.
    pub fn remove_idle(&self, now: Duration) {
        self.usage.remove_idle(now);
        for part in self.parts.borrow_mut().iter_mut() {
            part.ledger.remove_full(now);
        }
        self.returns
            .borrow_mut()
            .retain(|_organisation, last_return| *last_return > now);
        self.empty_parts
            .borrow_mut()
            .retain(|_organisation, parts| parts.iter().any(|empty| empty.is_remembered(now)));
    }

    /// Takes a token from a part that this process holds.
    pub(super) fn take_own(
        &self,
        number: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        now: Duration,
    ) -> QuotaAnswer {
        let mut parts = self.parts.borrow_mut();
        let Some(part) = parts.get_mut(usize::from(number)) else {
            return QuotaAnswer::Unknown;
        };
        let Some(held_since) = part.claim.usable_since(now) else {
            return QuotaAnswer::Unknown;
        };
        let answer = match part.ledger.take(organisation, terms, held_since, now) {
            Ok(()) => QuotaAnswer::Granted {
                held_since_ns: held_since.as_nanos() as u64,
            },
            Err(wait) => QuotaAnswer::Empty {
                // Rounded up, so that the token is there at the stated time.
                wait_ms: u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX),
            },
        };
        self.usage.count_answer(number, organisation, answer, now);
        answer
    }

    /// Puts back a token that this process granted and another VM did not use.
    pub(super) fn give_back_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since_ns: u64,
    ) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            let held_since = Duration::from_nanos(held_since_ns);
            part.ledger.give_back(organisation, terms, held_since);
        }
    }

    /// Records that a part has no token of an organisation.
    pub(super) fn note_empty(&self, organisation: &OrganisationName, empty: EmptyPart) {
        let mut empty_parts = self.empty_parts.borrow_mut();
        let parts = empty_parts.entry(organisation.clone()).or_default();
        parts.retain(|other| other.part != empty.part);
        parts.push(empty);
    }

    /// Returns the time until a part has another token of an organisation, if it is known to be empty.
    pub(super) fn empty_for(
        &self,
        part: u8,
        organisation: &OrganisationName,
        now: Duration,
    ) -> Option<Duration> {
        let empty_parts = self.empty_parts.borrow();
        let parts = empty_parts.get(organisation)?;
        let empty = parts.iter().find(|empty| empty.part == part)?;
        let wait = empty.next_token.saturating_sub(now);
        empty.is_remembered(now).then_some(wait)
    }

    /// Returns when the caller of a refused request should return, if the next token is due after `wait`.
    pub(super) fn schedule_return(
        &self,
        organisation: &OrganisationEntry,
        quota: RequestQuota,
        wait: Duration,
        now: Duration,
    ) -> Duration {
        let mut returns = self.returns.borrow_mut();
        let last_return = returns.get(&organisation.name).copied();
        let next_return = next_return(last_return, quota, now + wait);
        returns.insert(organisation.name.clone(), next_return);
        next_return.saturating_sub(now)
    }

    /// Records that the holder of a part has not answered.
    pub(super) fn note_silent(&self, part: u8, until: Duration) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            part.silent_until = until;
        }
    }

    /// Returns the number of the next request for a token.
    pub(super) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}
