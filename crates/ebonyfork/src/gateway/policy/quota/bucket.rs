//! Token buckets of one part of all organisations' quotas, kept by the part's holder.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::account::{OrganisationAccount, PartMoment};
use super::request::{RequesterKey, TokenDecision, TokenRequest, WaitCheck};
use super::schedule::{TokenSupply, time_for};
use super::terms::PartTerms;
use crate::gateway::organisation::OrganisationName;

/// Longest time after its grant at which a token is put back: the longest transit of a grant, and the way back. Many
/// grants that are late together would otherwise return at once and add to the refill of the time since they were
/// granted.
const GIVE_BACK_TIME: Duration = Duration::from_millis(150);

/// Bucket of one organisation. Times are durations since the holder's process started.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartBucket {
    pub(super) tokens: f64,
    refilled_at: Duration,
    /// Time at which the bucket is full at the latest, unless tokens are taken.
    pub(super) full_at: Duration,
}

impl PartBucket {
    /// Creates the bucket of a new holder.
    fn new(held_since: Duration) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: held_since,
            full_at: held_since,
        }
    }

    /// Adds the tokens of the time since the last refill and returns how many there were. The bucket refills faster
    /// until the recovery time has passed since the part is held.
    pub(super) fn refill(&mut self, moment: PartMoment) -> f64 {
        let PartMoment {
            terms,
            held_since,
            now,
        } = moment;
        let elapsed = now.saturating_sub(self.refilled_at);
        let recovered_at = held_since + terms.recovery_time;
        let recovery = now.min(recovered_at).saturating_sub(self.refilled_at);
        let refilled =
            terms.rate * elapsed.as_secs_f64() + terms.recovery_rate * recovery.as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let added = self.add(refilled, terms);
        self.full_at = now + time_for(terms.capacity - self.tokens, terms.rate);
        added
    }

    /// Adds tokens up to the capacity. Returns how many were added; the number is negative if the capacity was lowered.
    pub(super) fn add(&mut self, tokens: f64, terms: PartTerms) -> f64 {
        let before = self.tokens;
        self.tokens = (before + tokens).min(terms.capacity);
        self.tokens - before
    }

    /// Removes tokens that are granted.
    pub(super) fn remove(&mut self, tokens: u32, terms: PartTerms) {
        self.tokens -= f64::from(tokens);
        self.full_at += time_for(f64::from(tokens), terms.rate);
    }

    /// Returns the tokens that are there and that come.
    pub(super) fn supply(&self, moment: PartMoment) -> TokenSupply {
        TokenSupply {
            tokens: self.tokens,
            rate: moment.terms.rate,
            now: moment.now,
        }
    }
}

/// Accounts of one part, for all organisations that have asked for tokens. An organisation without an account counts as
/// one that has asked for none since the part is held, so the ledger holds only accounts that are in use.
#[derive(Debug, Default)]
pub struct PartLedger {
    /// Time since which the process holds the part.
    held_since: Duration,
    accounts: FxHashMap<OrganisationName, OrganisationAccount>,
}

impl PartLedger {
    /// Creates a ledger without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes all accounts of an earlier hold: its tokens, reservations and promises are void.
    fn enter_hold(&mut self, held_since: Duration) {
        if self.held_since != held_since {
            self.held_since = held_since;
            self.accounts.clear();
        }
    }

    /// Returns the account of an organisation, creating it if there is none.
    fn account(
        &mut self,
        organisation: &OrganisationName,
        held_since: Duration,
    ) -> &mut OrganisationAccount {
        self.enter_hold(held_since);
        self.accounts
            .entry(organisation.clone())
            .or_insert_with(|| OrganisationAccount::new(PartBucket::new(held_since)))
    }

    /// Takes one token of an organisation, or returns the time until there is one. `held_since` is the time since which
    /// the process holds the part: the buckets of an earlier time are void.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{
    ///     OrganisationName, PartLedger, PartTerms, QuotaBound, RequestQuota, RequestRate,
    /// };
    ///
    /// let quota = RequestQuota { rate: RequestRate(2.0), burst: 1.0 };
    /// let terms = PartTerms::new(QuotaBound::default(), quota);
    /// let mut ledger = PartLedger::new();
    /// let organisation = OrganisationName::new("north-office");
    /// let held_since = Duration::from_secs(1);
    /// let now = Duration::from_secs(9);
    /// assert!(ledger.take(&organisation, terms, held_since, now).is_ok());
    /// let wait = ledger.take(&organisation, terms, held_since, now);
    /// assert_eq!(wait, Err(Duration::from_millis(500)));
    /// ```
    pub fn take(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        now: Duration,
    ) -> Result<(), Duration> {
        let moment = PartMoment {
            terms,
            held_since,
            now,
        };
        let taken = self.account(organisation, held_since).take(moment);
        taken.map_err(|slot| slot.saturating_sub(now))
    }

    /// Decides on a request for a token of an organisation. Waiting requests must have been checked for the same time
    /// ([`Self::check_waiting`]).
    pub fn decide(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        (requester, request): (RequesterKey, TokenRequest),
        now: Duration,
    ) -> TokenDecision {
        let moment = PartMoment {
            terms,
            held_since,
            now,
        };
        let account = self.account(organisation, held_since);
        account.decide(requester, request, moment)
    }

    /// Grants tokens that have become due to waiting requests of an organisation, and removes what has expired.
    pub fn check_waiting(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        now: Duration,
    ) -> WaitCheck {
        self.enter_hold(held_since);
        let Some(account) = self.accounts.get_mut(organisation) else {
            return WaitCheck::default();
        };
        account.check_waiting(PartMoment {
            terms,
            held_since,
            now,
        })
    }

    /// Removes the reservation or promise of a request that no longer needs it. Returns whether there was one.
    pub fn release(&mut self, organisation: &OrganisationName, requester: RequesterKey) -> bool {
        let account = self.accounts.get_mut(organisation);
        account.is_some_and(|account| account.release(requester))
    }

    /// Puts back a token that was granted and not used. A token that was granted in an earlier hold or too long ago is
    /// lost.
    pub fn give_back(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        granted_at: Duration,
        now: Duration,
    ) {
        if self.held_since != held_since || now > granted_at + GIVE_BACK_TIME {
            return;
        }
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.bucket.add(1.0, terms);
        }
    }

    /// Returns how many tokens the waiting requests and promises of an organisation lack.
    pub fn wanted_tokens(&self, organisation: &OrganisationName) -> u32 {
        let account = self.accounts.get(organisation);
        account.map_or(0, OrganisationAccount::wanted_tokens)
    }

    /// Returns how many requests of an organisation wait.
    pub fn waiting_count(&self, organisation: &OrganisationName) -> usize {
        let account = self.accounts.get(organisation);
        account.map_or(0, OrganisationAccount::waiting_count)
    }

    /// Removes up to `wanted` whole tokens that are neither reserved nor promised, to give them to another part, and
    /// returns how many were removed.
    pub fn give_away(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        wanted: u32,
        now: Duration,
    ) -> u32 {
        let account = self.account(organisation, held_since);
        let moment = PartMoment {
            terms,
            held_since,
            now,
        };
        account.refill(moment);
        let given = account.spare_tokens().min(wanted);
        account.bucket.remove(given, terms);
        given
    }

    /// Adds tokens that another part has given, up to the capacity of the bucket. The caller has checked that they were
    /// asked for in this hold. [`Self::check_waiting`] then grants them.
    pub fn receive(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        tokens: u32,
        now: Duration,
    ) {
        let account = self.account(organisation, held_since);
        account.receive(
            tokens,
            PartMoment {
                terms,
                held_since,
                now,
            },
        );
    }

    /// Removes accounts that count the same as none.
    pub fn remove_full(&mut self, now: Duration) {
        self.accounts
            .retain(|_organisation, account| !account.is_idle(now));
    }

    /// Returns the number of organisations with an account.
    pub fn bucket_count(&self) -> usize {
        self.accounts.len()
    }
}
