//! Token buckets of one part of all organisations' quotas, kept by the part's holder.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::account::{OrganisationAccount, PartMoment};
use super::request::{RequesterKey, TokenDecision, TokenRequest, WaitCheck};
use super::schedule::{TokenSupply, time_for};
use super::terms::{MAX_GRANT_DELAY, PartHold, PartTerms};
use crate::gateway::organisation::OrganisationName;

/// Bucket of one organisation. Times are durations since the holder's process started.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartBucket {
    pub(super) tokens: f64,
    refilled_at: Duration,
    /// Time at which the bucket is full at the latest, unless tokens are taken: under the present quota and under those that
    /// it has had. A lower quota that is in force for a moment fills the bucket at once, but not the one that may return.
    pub(super) full_at: Duration,
}

impl PartBucket {
    /// Creates the bucket of a new holder.
    fn new(terms: PartTerms, hold: PartHold) -> Self {
        Self {
            tokens: hold.first_tokens(terms),
            refilled_at: hold.since,
            full_at: hold.since,
        }
    }

    /// Adds the tokens of the time since the last refill and returns how many there were. The bucket refills faster
    /// until the recovery time has passed since the part is held.
    pub(super) fn refill(&mut self, moment: PartMoment) -> f64 {
        let PartMoment { terms, hold, now } = moment;
        let elapsed = now.saturating_sub(self.refilled_at);
        let recovered_at = hold.since + terms.recovery_time;
        let recovery = now.min(recovered_at).saturating_sub(self.refilled_at);
        let refilled =
            terms.rate * elapsed.as_secs_f64() + terms.recovery_rate * recovery.as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let added = self.add(refilled, terms);
        let full_at = now + time_for(terms.capacity - self.tokens, terms.rate);
        self.full_at = self.full_at.max(full_at);
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
    /// Hold in which the accounts are valid.
    hold: PartHold,
    accounts: FxHashMap<OrganisationName, OrganisationAccount>,
}

impl PartLedger {
    /// Creates a ledger without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes all accounts of an earlier hold: its tokens, reservations and promises are void.
    fn enter_hold(&mut self, hold: PartHold) {
        if self.hold != hold {
            self.hold = hold;
            self.accounts.clear();
        }
    }

    /// Returns the account of an organisation, creating it if there is none.
    fn account(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
    ) -> &mut OrganisationAccount {
        self.enter_hold(hold);
        self.accounts
            .entry(organisation.clone())
            .or_insert_with(|| OrganisationAccount::new(PartBucket::new(terms, hold)))
    }

    /// Takes one token of an organisation, or returns the time until there is one. The buckets of an earlier hold are
    /// void.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{
    ///     OrganisationName, PartHold, PartLedger, PartTerms, QuotaBound, RequestQuota, RequestRate,
    /// };
    ///
    /// let quota = RequestQuota { rate: RequestRate(2.0), burst: 1.0 };
    /// let terms = PartTerms::new(QuotaBound::default(), quota);
    /// let mut ledger = PartLedger::new();
    /// let organisation = OrganisationName::new("north-office");
    /// let hold = PartHold { since: Duration::from_secs(1), has_allowance: false };
    /// let now = Duration::from_secs(9);
    /// assert!(ledger.take(&organisation, terms, hold, now).is_ok());
    /// let wait = ledger.take(&organisation, terms, hold, now);
    /// assert_eq!(wait, Err(Duration::from_millis(500)));
    /// ```
    pub fn take(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
        now: Duration,
    ) -> Result<(), Duration> {
        let moment = PartMoment { terms, hold, now };
        let taken = self.account(organisation, terms, hold).take(moment);
        taken.map_err(|slot| slot.saturating_sub(now))
    }

    /// Decides on a request for a token of an organisation. Waiting requests must have been checked for the same time
    /// ([`Self::check_waiting`]).
    pub fn decide(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
        (requester, request): (RequesterKey, TokenRequest),
        now: Duration,
    ) -> TokenDecision {
        let moment = PartMoment { terms, hold, now };
        let account = self.account(organisation, terms, hold);
        account.decide(requester, request, moment)
    }

    /// Grants tokens that have become due to waiting requests of an organisation, and removes what has expired.
    pub fn check_waiting(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
        now: Duration,
    ) -> WaitCheck {
        self.enter_hold(hold);
        let Some(account) = self.accounts.get_mut(organisation) else {
            return WaitCheck::default();
        };
        account.check_waiting(PartMoment { terms, hold, now })
    }

    /// Removes the reservation or promise of a request that no longer needs it. Returns whether there was one.
    pub fn release(&mut self, organisation: &OrganisationName, requester: RequesterKey) -> bool {
        let account = self.accounts.get_mut(organisation);
        account.is_some_and(|account| account.release(requester))
    }

    /// Returns the number of tokens that an organisation could take now, without changing its account.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{
    ///     OrganisationName, PartHold, PartLedger, PartTerms, QuotaBound, RequestQuota, RequestRate,
    /// };
    ///
    /// let quota = RequestQuota { rate: RequestRate(2.0), burst: 1.0 };
    /// let terms = PartTerms::new(QuotaBound::default(), quota);
    /// let organisation = OrganisationName::new("north-office");
    /// let mut ledger = PartLedger::new();
    /// let hold = PartHold { since: Duration::from_secs(1), has_allowance: false };
    /// let now = Duration::from_secs(9);
    /// assert_eq!(ledger.tokens_left(&organisation, terms, hold, now), 1.0);
    /// assert!(ledger.take(&organisation, terms, hold, now).is_ok());
    /// assert_eq!(ledger.tokens_left(&organisation, terms, hold, now), 0.0);
    /// ```
    pub fn tokens_left(
        &self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
        now: Duration,
    ) -> f64 {
        let account = self.accounts.get(organisation);
        let bucket = account.filter(|_account| self.hold == hold);
        let mut bucket =
            bucket.map_or_else(|| PartBucket::new(terms, hold), |account| account.bucket);
        bucket.refill(PartMoment { terms, hold, now });
        bucket.tokens
    }

    /// Puts back a token that was granted and not used. A token that was granted in an earlier hold is lost, and so is
    /// one that was granted longer ago than grants are used: many that are late together would add to the refill of the
    /// time since they were granted.
    pub fn give_back(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        granted_at: Duration,
        now: Duration,
    ) {
        if self.hold.since != held_since || now > granted_at + MAX_GRANT_DELAY {
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
        hold: PartHold,
        wanted: u32,
        now: Duration,
    ) -> u32 {
        let account = self.account(organisation, terms, hold);
        let moment = PartMoment { terms, hold, now };
        account.refill(moment);
        let given = account.spare_tokens().min(wanted);
        account.bucket.remove(given, terms);
        given
    }

    /// Returns how many whole tokens fit into the bucket of an organisation.
    pub fn room(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
        now: Duration,
    ) -> u32 {
        let account = self.account(organisation, terms, hold);
        account.refill(PartMoment { terms, hold, now });
        (terms.capacity - account.bucket.tokens).max(0.0) as u32
    }

    /// Returns the time until an organisation has a token that it can give to another part.
    pub fn next_spare(&self, organisation: &OrganisationName, terms: PartTerms) -> Duration {
        let account = self.accounts.get(organisation);
        account.map_or(Duration::ZERO, |account| {
            time_for(1.0 - account.uncommitted_tokens(), terms.rate)
        })
    }

    /// Adds tokens that another part has given, up to the capacity of the bucket. The caller has checked that they were
    /// asked for in this hold. [`Self::check_waiting`] then grants them.
    pub fn receive(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        hold: PartHold,
        tokens: u32,
        now: Duration,
    ) {
        let account = self.account(organisation, terms, hold);
        account.receive(tokens, PartMoment { terms, hold, now });
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
