//! Decides on the requests of one organisation at one part: granted, waiting, promised or refused.
//!
//! Load pattern: an organisation sends several times its limit, so most requests find the bucket empty, and the next
//! token is due within milliseconds. The holder decides at once from what it knows: it grants a token, or reserves one
//! that is due within the time for which the request can wait ([`super::schedule`]), or refuses. A refused request is
//! told when to return. If a token due by then is free, it is set aside for that return, so that a caller that does as
//! it is told is not refused again. At most a part of the refill is set aside: otherwise all tokens would go to returns,
//! and each new request would be refused once.
//!
//! While the organisation is within its limit, there is only the bucket. Everything else is created by the first request
//! that finds no token, and removed a second after the last one.

use std::time::Duration;

use super::bucket::PartBucket;
use super::request::{RequesterKey, TokenDecision, TokenRefusal, TokenRequest, WaitCheck, WaitEnd};
use super::returns::next_return;
use super::schedule::{
    Beneficiary, Commitment, MAX_PROMISES, MAX_WAITING, TOLERANCE, TokenSchedule, TokenSupply,
    time_for,
};
use super::shares::{CLASS_COUNT, ClassShares, class_of};
use super::terms::{PartHold, PartTerms, RequestQuota};
use crate::gateway::policy::cold::RequestRate;

/// Time for which an organisation counts as over its limit after a request that found no token.
const CONTENTION_MEMORY: Duration = Duration::from_secs(1);
/// Largest part of the refill that is set aside for returns.
const PROMISE_SHARE: f64 = 0.5;
/// Longest time for which a token is kept for a return that is late: the way to the caller and back (up to 60 ms), and
/// a new connection on a busy VM.
const PROMISE_GRACE: Duration = Duration::from_millis(300);
/// Time before its deadline at which a waiting request gets its token even if its class hasn't earned it yet.
const GRANT_MARGIN: Duration = Duration::from_millis(5);
/// Shortest and longest time between two checks of waiting requests.
const CHECK_PERIODS: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(20)];
/// Smallest refill of a part, in tokens per second, that is divided among classes. With less, a token that is saved for a
/// class stays unused for longer than its requests can wait, while requests of other classes are refused.
const MIN_SHARED_RATE: f64 = 2.0;
/// Smallest number of requests within a second from which an organisation can be over its limit. A small part may be
/// empty after a single request, which says nothing of the other parts.
const MIN_OVER_LIMIT: u32 = 3;

/// Terms and time of one decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartMoment {
    pub(super) terms: PartTerms,
    pub(super) hold: PartHold,
    pub(super) now: Duration,
}

/// Number of requests in the current and the previous second.
#[derive(Debug, Clone, Copy, Default)]
struct DemandMeter {
    period_start: Duration,
    counts: [u32; 2],
}

impl DemandMeter {
    fn record(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.period_start);
        if elapsed >= CONTENTION_MEMORY {
            let is_next = elapsed < 2 * CONTENTION_MEMORY;
            self.counts = [0, if is_next { self.counts[0] } else { 0 }];
            self.period_start = now;
        }
        self.counts[0] += 1;
    }

    /// Returns whether a second had more requests than tokens.
    fn exceeds(&self, rate: f64) -> bool {
        let count = self.counts[0].max(self.counts[1]);
        count >= MIN_OVER_LIMIT && f64::from(count) > rate * CONTENTION_MEMORY.as_secs_f64()
    }
}

/// State that an organisation has only while it is over its limit.
#[derive(Debug, Default)]
struct Contention {
    schedule: TokenSchedule,
    shares: ClassShares,
    demand: DemandMeter,
    /// When the last refused caller of each class was told to return without a promise.
    last_returns: [Option<Duration>; CLASS_COUNT],
    /// Time at which the organisation counts as within its limit again.
    ends_at: Duration,
}

/// State of one organisation at one part.
#[derive(Debug)]
pub(super) struct OrganisationAccount {
    pub(super) bucket: PartBucket,
    contention: Option<Box<Contention>>,
}

impl OrganisationAccount {
    /// Creates the account of an organisation that has taken no token yet.
    pub(super) fn new(bucket: PartBucket) -> Self {
        Self {
            bucket,
            contention: None,
        }
    }

    /// Adds the tokens of the time since the last call, and ends the contention once nothing is left of it.
    pub(super) fn refill(&mut self, moment: PartMoment) {
        let refilled = self.bucket.refill(moment);
        let Some(contention) = &mut self.contention else {
            return;
        };
        contention.add_refill(refilled, self.bucket.tokens, moment);
        if contention.schedule.len() == 0 && moment.now >= contention.ends_at {
            self.contention = None;
        }
    }

    /// Returns whether the account counts the same as a new one.
    pub(super) fn is_idle(&self, now: Duration) -> bool {
        let is_calm = self.contention.as_ref().is_none_or(|contention| {
            // Commitments that nobody has checked since are those of a quota that the configuration no longer has.
            let mut commitments = contention.schedule.iter();
            now >= contention.ends_at
                && commitments.all(|entry| entry.deadline + CONTENTION_MEMORY <= now)
        });
        is_calm && now >= self.bucket.full_at
    }

    /// Returns the number of waiting requests.
    pub(super) fn waiting_count(&self) -> usize {
        let contention = self.contention.as_ref();
        contention.map_or(0, |contention| contention.schedule.waiting_count())
    }

    /// Returns the number of tokens that are reserved or promised.
    fn committed(&self) -> usize {
        let contention = self.contention.as_ref();
        contention.map_or(0, |contention| contention.schedule.len())
    }

    /// Takes one token if there is one that is neither reserved nor promised. Otherwise returns the time of the next.
    pub(super) fn take(&mut self, moment: PartMoment) -> Result<(), Duration> {
        self.refill(moment);
        let supply = self.bucket.supply(moment);
        let slot = match &self.contention {
            Some(contention) => contention.schedule.earliest_slot(supply, |_entry| true),
            None => supply.time_of(1.0),
        };
        if slot > moment.now {
            return Err(slot);
        }
        self.bucket.remove(1, moment.terms);
        Ok(())
    }

    /// Decides on a request. Waiting requests must have been checked for the same time.
    pub(super) fn decide(
        &mut self,
        requester: RequesterKey,
        request: TokenRequest,
        moment: PartMoment,
    ) -> TokenDecision {
        self.refill(moment);
        if self.contention.is_none() {
            if self.take(moment).is_ok() {
                return TokenDecision::Granted {
                    is_kept_promise: false,
                };
            }
            self.contention = Some(Box::default());
        }
        let supply = self.bucket.supply(moment);
        let Some(contention) = &mut self.contention else {
            unreachable!("it was created above");
        };
        let decision = contention.decide(requester, request, supply, moment);
        if matches!(decision, TokenDecision::Granted { .. }) {
            self.bucket.remove(1, moment.terms);
        }
        decision
    }

    /// Grants tokens that have become due, and removes what has expired.
    pub(super) fn check_waiting(&mut self, moment: PartMoment) -> WaitCheck {
        self.refill(moment);
        let Some(contention) = &mut self.contention else {
            return WaitCheck::default();
        };
        let mut check = WaitCheck {
            expired_promises: contention.remove_expired_promises(moment),
            ..WaitCheck::default()
        };
        while let Some(end) = contention.grant_next(self.bucket.supply(moment), moment) {
            self.bucket.remove(1, moment.terms);
            check.ended.push(end);
        }
        contention.remove_missed(&mut check.ended, moment);
        check.next_check = contention.next_check(self.bucket.supply(moment));
        check
    }

    /// Removes the reservation or promise of a request. Returns whether there was one.
    pub(super) fn release(&mut self, requester: RequesterKey) -> bool {
        let Some(contention) = &mut self.contention else {
            return false;
        };
        let selects = |entry: &Commitment| entry.requester == requester;
        contention.schedule.remove_first(selects).is_some()
    }

    /// Returns how many whole tokens are neither reserved nor promised.
    pub(super) fn spare_tokens(&self) -> u32 {
        (self.uncommitted_tokens() + TOLERANCE).max(0.0) as u32
    }

    /// Returns the tokens beyond those of waiting requests and promises; negative if these lack some.
    pub(super) fn uncommitted_tokens(&self) -> f64 {
        self.bucket.tokens - self.committed() as f64
    }

    /// Returns how many tokens waiting requests and promises lack.
    pub(super) fn wanted_tokens(&self) -> u32 {
        let missing = self.committed() as f64 - self.bucket.tokens;
        (missing - TOLERANCE).max(0.0).ceil() as u32
    }

    /// Adds tokens from another part, up to the capacity of the bucket.
    pub(super) fn receive(&mut self, tokens: u32, moment: PartMoment) {
        self.refill(moment);
        let added = self.bucket.add(f64::from(tokens), moment.terms);
        if let Some(contention) = &mut self.contention {
            contention.add_refill(added, self.bucket.tokens, moment);
        }
    }
}

impl Contention {
    /// Credits the classes with refilled tokens.
    fn add_refill(&mut self, refilled: f64, tokens: f64, moment: PartMoment) {
        let mut commitments = [0; CLASS_COUNT];
        for entry in self.schedule.iter() {
            commitments[entry.class] += 1;
        }
        let capacity = moment.terms.capacity;
        self.shares
            .add_refill((refilled, tokens), capacity, commitments, moment.now);
    }

    fn decide(
        &mut self,
        requester: RequesterKey,
        request: TokenRequest,
        supply: TokenSupply,
        moment: PartMoment,
    ) -> TokenDecision {
        let now = moment.now;
        let class = class_of(request.priority);
        self.shares.note_request(class, now);
        self.demand.record(now);
        let promise = self.redeem_promise(request);
        let token_slot = self.schedule.earliest_slot(supply, |_entry| true);
        let due = match promise {
            Some(_) => token_slot,
            None => token_slot.max(self.class_slot(class, supply, moment)),
        };
        if due <= now {
            self.shares.charge(class);
            return TokenDecision::Granted {
                is_kept_promise: promise.is_some(),
            };
        }
        self.ends_at = now + CONTENTION_MEMORY;
        let deadline = now + request.longest_wait;
        if due <= deadline && self.schedule.waiting_count() < MAX_WAITING {
            let beneficiary = Beneficiary::Waiting {
                since: now,
                is_return: promise.is_some(),
            };
            self.schedule.insert(Commitment {
                deadline,
                class,
                requester,
                beneficiary,
            });
            return TokenDecision::WaitUntil { due };
        }
        let early_return = promise.filter(|promise| promise.deadline > now);
        let promised_at = match early_return {
            Some(promise) => Some(promise.deadline),
            None => self.promise_slot(due, request, moment),
        };
        if let Some(return_at) = promised_at {
            let fingerprint = request.fingerprint;
            self.schedule.insert(Commitment {
                deadline: return_at,
                class,
                requester,
                beneficiary: Beneficiary::Promised { fingerprint },
            });
        }
        TokenDecision::Refused(TokenRefusal {
            return_at: promised_at.unwrap_or_else(|| self.likely_slot(due, request, moment)),
            next_token_at: token_slot,
            is_promised: promised_at.is_some(),
            is_over_limit: self.demand.exceeds(moment.terms.rate),
            is_broken_promise: promise.is_some() && early_return.is_none(),
        })
    }

    /// Removes the promise that was made to a request, if it has returned.
    fn redeem_promise(&mut self, request: TokenRequest) -> Option<Commitment> {
        let fingerprint = request.fingerprint;
        let promised = Beneficiary::Promised { fingerprint };
        self.schedule
            .remove_first(|entry| entry.beneficiary == promised)
    }

    /// Returns the time at which a class may have its next token: when it has earned one beyond those that are kept for
    /// it, or when the others leave one.
    fn class_slot(&self, class: usize, supply: TokenSupply, moment: PartMoment) -> Duration {
        let now = moment.now;
        // A full bucket would lose the next token, so whoever can use one gets it.
        let is_full = supply.tokens + TOLERANCE >= moment.terms.capacity;
        if now >= self.ends_at || is_full || moment.terms.rate < MIN_SHARED_RATE {
            return now;
        }
        let class_supply = TokenSupply {
            tokens: self.shares.available(class, supply.tokens, now),
            rate: supply.rate * self.shares.share(class, now),
            now,
        };
        self.schedule
            .earliest_slot(class_supply, |entry| entry.class == class)
    }

    /// Returns the time for which a token is promised to a refused request; `None` if that is too late for it.
    fn promise_slot(
        &self,
        due: Duration,
        request: TokenRequest,
        moment: PartMoment,
    ) -> Option<Duration> {
        let promise_count = self.schedule.promise_count();
        if promise_count >= MAX_PROMISES {
            return None;
        }
        let promise_rate = moment.terms.rate * PROMISE_SHARE;
        let share_slot = moment.now + time_for(promise_count as f64, promise_rate);
        let slot = due.max(share_slot);
        (slot <= moment.now + request.longest_stay).then_some(slot)
    }

    /// Returns the time at which a token is likely for a refused request without a promise: one token after the last
    /// one that was told so. Returns that were promised take the other tokens.
    fn likely_slot(
        &mut self,
        due: Duration,
        request: TokenRequest,
        moment: PartMoment,
    ) -> Duration {
        if request.longest_stay.is_zero() {
            // Another holder tells the caller when to return.
            return due;
        }
        let class = class_of(request.priority);
        let share = self.shares.share(class, moment.now);
        let rate = moment.terms.rate * share * (1.0 - PROMISE_SHARE);
        let class_quota = RequestQuota {
            rate: RequestRate(rate),
            burst: 0.0,
        };
        let last_return = &mut self.last_returns[class];
        let slot = next_return(*last_return, class_quota, due);
        *last_return = Some(slot);
        slot
    }

    fn remove_expired_promises(&mut self, moment: PartMoment) -> usize {
        // The tokens that are kept for late returns must fit into the bucket.
        let bucket_time = time_for(moment.terms.capacity, moment.terms.rate);
        let grace = PROMISE_GRACE.min(bucket_time);
        let is_expired =
            |entry: &Commitment| !entry.is_waiting() && entry.deadline + grace <= moment.now;
        self.schedule.remove_all(is_expired).len()
    }

    /// Removes the waiting request that gets a token now, if one does.
    fn grant_next(&mut self, supply: TokenSupply, moment: PartMoment) -> Option<WaitEnd> {
        let is_next = |(index, entry): &(usize, &Commitment)| {
            entry.is_waiting()
                && self.schedule.can_grant(*index, supply)
                && self.may_have_token(entry, supply, moment)
        };
        let (index, _entry) = self.schedule.iter().enumerate().find(is_next)?;
        let granted = self.schedule.remove(index);
        self.shares.charge(granted.class);
        Some(wait_end(&granted, true, moment.now))
    }

    /// Returns whether a waiting request may have a token that could also be kept for another class.
    fn may_have_token(&self, entry: &Commitment, supply: TokenSupply, moment: PartMoment) -> bool {
        let now = moment.now;
        let is_return = matches!(
            entry.beneficiary,
            Beneficiary::Waiting {
                is_return: true,
                ..
            }
        );
        let is_full = supply.tokens + TOLERANCE >= moment.terms.capacity;
        let has_no_shares = moment.terms.rate < MIN_SHARED_RATE;
        if is_return
            || is_full
            || has_no_shares
            || now + GRANT_MARGIN >= entry.deadline
            || now >= self.ends_at
        {
            return true;
        }
        let held = self.schedule.promise_count() as f64;
        let left = supply.tokens - held.min(supply.tokens);
        self.shares.available(entry.class, left, now) + TOLERANCE >= 1.0
    }

    /// Removes requests whose wait has ended without a token.
    fn remove_missed(&mut self, ended: &mut Vec<WaitEnd>, moment: PartMoment) {
        let missed = self
            .schedule
            .remove_all(|entry| entry.is_waiting() && entry.deadline < moment.now);
        for entry in &missed {
            ended.push(wait_end(entry, false, moment.now));
        }
    }

    /// Returns when waiting requests should be checked again.
    fn next_check(&self, supply: TokenSupply) -> Option<Duration> {
        let first = self.schedule.iter().find(|entry| entry.is_waiting())?;
        let [shortest, longest] = CHECK_PERIODS.map(|period| supply.now + period);
        let latest = first.deadline.saturating_sub(GRANT_MARGIN).min(longest);
        Some(supply.time_of(1.0).min(latest).max(shortest))
    }
}

/// Returns the end of a wait.
fn wait_end(entry: &Commitment, is_granted: bool, now: Duration) -> WaitEnd {
    let since = match entry.beneficiary {
        Beneficiary::Waiting { since, .. } => since,
        Beneficiary::Promised { .. } => now,
    };
    WaitEnd {
        requester: entry.requester,
        waited: now.saturating_sub(since),
        is_granted,
    }
}

#[cfg(test)]
#[path = "account_tests.rs"]
mod tests;
