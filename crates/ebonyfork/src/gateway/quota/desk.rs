//! State of the quotas in one process: the parts, and the requests for tokens that wait for an answer.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;
use tokio::sync::mpsc::UnboundedSender;

use super::GrantTimes;
use super::usage::QuotaUsage;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::claim::StoreClaim;
use crate::gateway::policy::quota::{
    PartHold, PartLedger, PartTerms, PartTransfers, QUOTA_CLAIM, QUOTA_PARTS, QuotaAnswer,
    RequesterKey, TokenDecision, TokenRequest, WaitCheck,
};
use crate::gateway::settings::PlaceDistance;
use crate::ident::{SessionId, VmAddress};
use crate::store::StoreEra;
use crate::wire::LinkSender;

/// What this VM knows of one part.
#[derive(Debug)]
pub(super) struct QuotaPart {
    /// Claim on the part.
    pub(super) claim: StoreClaim,
    /// Buckets, used while this process holds the part.
    pub(super) ledger: PartLedger,
    /// Transfers of tokens to this part and from it, by organisation.
    pub(super) transfers: FxHashMap<OrganisationName, PartTransfers>,
    /// Distance to the holder.
    pub(super) distance: PlaceDistance,
    /// Time until which the holder counts as silent.
    pub(super) silent_until: Duration,
    /// Links to the other VMs whose requests wait here.
    responders: FxHashMap<RequesterKey, Responder>,
    /// Organisations whose waiting requests are checked by a timer.
    timers: FxHashSet<OrganisationName>,
}

/// Link on which a waiting request is answered.
#[derive(Debug)]
struct Responder {
    link: LinkSender,
    /// Time after which the request no longer waits.
    until: Duration,
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
        let hold = PartHold::of_claim(&self.claim, now)?;
        let tokens = self.ledger.tokens_left(organisation, terms, hold, now);
        Some((hold.since, tokens))
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
    /// Whether the organisation asks the part for more than its limit.
    pub(super) is_over_limit: bool,
}

/// Empty parts of one organisation's quota.
type EmptyParts = SmallVec<[EmptyPart; QUOTA_PARTS]>;

/// Time for which an empty part is not asked again. Its holder may have a token earlier than it has stated, if one is
/// returned.
const EMPTY_MEMORY: Duration = Duration::from_millis(250);
/// Time for which a part is not asked again if other requests of the organisation take its tokens as they appear. Its
/// bucket keeps what is refilled meanwhile, unless the quota allows less than half a second's requests at once.
const OVER_LIMIT_MEMORY: Duration = Duration::from_millis(500);
/// Time for which the link of a waiting request is kept after its wait should have ended.
const RESPONDER_MARGIN: Duration = Duration::from_secs(1);

/// Answer to a request for a token, with the part that answers.
pub(super) type NumberedAnswer = (u8, QuotaAnswer);

/// Parts of quotas, and the requests for tokens that wait for an answer.
#[derive(Debug)]
pub struct QuotaDesk {
    pub(super) parts: RefCell<Vec<QuotaPart>>,
    /// Parts that were empty when they were last asked, by organisation.
    empty_parts: RefCell<FxHashMap<OrganisationName, EmptyParts>>,
    /// Requests that wait for answers, by number.
    pub(super) pending: RefCell<FxHashMap<u64, UnboundedSender<NumberedAnswer>>>,
    next_number: Cell<u64>,
    /// Counts of recent outcomes, for the operators.
    pub(super) usage: QuotaUsage,
}

impl EmptyPart {
    /// Returns whether the part is assumed to be empty without asking again.
    fn is_remembered(&self, now: Duration) -> bool {
        if self.is_over_limit {
            return now < self.answered_at + OVER_LIMIT_MEMORY;
        }
        now < self.next_token && now < self.answered_at + EMPTY_MEMORY
    }
}

impl QuotaDesk {
    /// Creates the state of a process that holds no part; `own_session` is the session of the process, and `window` the
    /// period in which at most one holder of a part starts with an allowance.
    pub fn new(own_session: SessionId, window: Duration) -> Self {
        let new_part = |_number| QuotaPart {
            claim: StoreClaim::new(own_session, QUOTA_CLAIM).with_allowance(window),
            ledger: PartLedger::new(),
            transfers: FxHashMap::default(),
            distance: PlaceDistance::Far,
            silent_until: Duration::ZERO,
            responders: FxHashMap::default(),
            timers: FxHashSet::default(),
        };
        Self {
            parts: RefCell::new((0..QUOTA_PARTS).map(new_part).collect()),
            empty_parts: RefCell::default(),
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
            part.transfers
                .retain(|_organisation, transfers| !transfers.is_idle(now));
            part.responders
                .retain(|_requester, responder| now < responder.until);
        }
        self.empty_parts
            .borrow_mut()
            .retain(|_organisation, parts| parts.iter().any(|empty| empty.is_remembered(now)));
    }

    /// Decides on a request for a token of a part. Also returns the start of the hold; `None` if this process doesn't
    /// hold the part.
    pub(super) fn decide_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        (requester, request): (RequesterKey, TokenRequest),
        now: Duration,
    ) -> Option<(TokenDecision, Duration)> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part))?;
        let hold = PartHold::of_claim(&part.claim, now)?;
        let asked = (requester, request);
        let decision = part.ledger.decide(organisation, terms, hold, asked, now);
        Some((decision, hold.since))
    }

    /// Grants tokens of a part that have become due. Also returns the start of the hold; `None` if this process doesn't
    /// hold the part.
    pub(super) fn check_waiting_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        now: Duration,
    ) -> Option<(WaitCheck, Duration)> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part))?;
        let hold = PartHold::of_claim(&part.claim, now)?;
        let check = part.ledger.check_waiting(organisation, terms, hold, now);
        Some((check, hold.since))
    }

    /// Removes the reservation or promise of a request that no longer needs it.
    pub(super) fn release_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        requester: RequesterKey,
    ) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            part.responders.remove(&requester);
            part.ledger.release(organisation, requester);
        }
    }

    /// Keeps the link of a request that waits until `until` at the latest.
    pub(super) fn keep_responder(
        &self,
        part: u8,
        requester: RequesterKey,
        link: LinkSender,
        until: Duration,
    ) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            let until = until + RESPONDER_MARGIN;
            part.responders.insert(requester, Responder { link, until });
        }
    }

    /// Removes and returns the link of a request that no longer waits.
    pub(super) fn take_responder(&self, part: u8, requester: RequesterKey) -> Option<LinkSender> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part))?;
        let responder = part.responders.remove(&requester)?;
        Some(responder.link)
    }

    /// Records that a timer checks the waiting requests of an organisation. Returns false if there was one already.
    pub(super) fn start_timer(&self, part: u8, organisation: &OrganisationName) -> bool {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(usize::from(part));
        part.is_some_and(|part| part.timers.insert(organisation.clone()))
    }

    /// Records that the timer of an organisation has ended.
    pub(super) fn end_timer(&self, part: u8, organisation: &OrganisationName) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            part.timers.remove(organisation);
        }
    }

    /// Sends an answer to the request of this process with a number. Returns whether it still waits for one.
    pub(super) fn answer_pending(&self, number: u64, part: u8, answer: QuotaAnswer) -> bool {
        let pending = self.pending.borrow();
        let waiting = pending.get(&number);
        waiting.is_some_and(|waiting| waiting.send((part, answer)).is_ok())
    }

    /// Tells the waiting requests of this process that the link to a VM is down: its holder may have lost them.
    pub fn lose_holder(&self, vm: VmAddress) {
        for (number, part) in self.parts.borrow().iter().enumerate() {
            if part.claim.holder().map(|holder| holder.vm) != Some(vm) {
                continue;
            }
            for waiting in self.pending.borrow().values() {
                // A request that doesn't wait for this part ignores the answer.
                let _ended = waiting.send((number as u8, QuotaAnswer::Unknown));
            }
        }
    }

    /// Puts back a token that this process granted and that was not used.
    pub(super) fn give_back_own(
        &self,
        part: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        grant: GrantTimes,
        now: Duration,
    ) {
        if let Some(part) = self.parts.borrow_mut().get_mut(usize::from(part)) {
            let held_since = Duration::from_nanos(grant.held_since_ns);
            let granted_at = Duration::from_nanos(grant.granted_at_ns);
            part.ledger
                .give_back(organisation, terms, held_since, granted_at, now);
        }
    }

    /// Records that a part has no token of an organisation.
    pub(super) fn note_empty(&self, organisation: &OrganisationName, empty: EmptyPart) {
        let mut empty_parts = self.empty_parts.borrow_mut();
        let parts = empty_parts.entry(organisation.clone()).or_default();
        parts.retain(|other| other.part != empty.part);
        parts.push(empty);
    }

    /// Returns what is remembered of a part that had no token of an organisation.
    pub(super) fn empty_part(
        &self,
        part: u8,
        organisation: &OrganisationName,
        now: Duration,
    ) -> Option<EmptyPart> {
        let empty_parts = self.empty_parts.borrow();
        let parts = empty_parts.get(organisation)?;
        let empty = parts.iter().find(|empty| empty.part == part)?;
        empty.is_remembered(now).then_some(*empty)
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
