//! Token buckets of one part of all organisations' quotas, kept by the part's holder.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::terms::PartTerms;
use crate::gateway::organisation::OrganisationName;

/// Upper bound on times that are computed from a rate. A quota with a tiny rate may change before its next token is due.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Bucket of one organisation. Times are durations since the holder's process started.
#[derive(Debug, Clone, Copy)]
struct PartBucket {
    tokens: f64,
    refilled_at: Duration,
    /// Time at which the bucket is full at the latest, unless tokens are taken.
    full_at: Duration,
}

impl PartBucket {
    /// Adds the tokens of the time since the last refill. The bucket refills faster until the recovery time has passed
    /// since `held_since`.
    fn refill(&mut self, terms: PartTerms, held_since: Duration, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let recovered_at = held_since + terms.recovery_time;
        let recovery = now.min(recovered_at).saturating_sub(self.refilled_at);
        let refilled =
            terms.rate * elapsed.as_secs_f64() + terms.recovery_rate * recovery.as_secs_f64();
        self.tokens = (self.tokens + refilled).min(terms.capacity);
        self.refilled_at = self.refilled_at.max(now);
        self.full_at = now + time_for(terms.capacity - self.tokens, terms);
    }
}

/// Returns the time in which a bucket refills by a number of tokens, at most [`MAX_WAIT`].
fn time_for(tokens: f64, terms: PartTerms) -> Duration {
    let seconds = tokens / terms.rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64()))
}

/// Buckets of one part, for all organisations that have asked for tokens. An organisation without a bucket counts as
/// one that has asked for none since the part is held, so the ledger holds only buckets that are in use.
#[derive(Debug, Default)]
pub struct PartLedger {
    /// Time since which the process holds the part.
    held_since: Duration,
    buckets: FxHashMap<OrganisationName, PartBucket>,
}

impl PartLedger {
    /// Creates a ledger without buckets.
    pub fn new() -> Self {
        Self::default()
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
        if self.held_since != held_since {
            self.held_since = held_since;
            self.buckets.clear();
        }
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert(PartBucket {
                tokens: 0.0,
                refilled_at: held_since,
                full_at: held_since,
            });
        bucket.refill(terms, held_since, now);
        if bucket.tokens < 1.0 {
            return Err(time_for(1.0 - bucket.tokens, terms));
        }
        bucket.tokens -= 1.0;
        bucket.full_at += time_for(1.0, terms);
        Ok(())
    }

    /// Returns the number of tokens that an organisation could take now, without changing its bucket.
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
    /// let organisation = OrganisationName::new("north-office");
    /// let mut ledger = PartLedger::new();
    /// let held_since = Duration::from_secs(1);
    /// let now = Duration::from_secs(9);
    /// assert_eq!(ledger.tokens_left(&organisation, terms, held_since, now), 1.0);
    /// assert!(ledger.take(&organisation, terms, held_since, now).is_ok());
    /// assert_eq!(ledger.tokens_left(&organisation, terms, held_since, now), 0.0);
    /// ```
    pub fn tokens_left(
        &self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
        now: Duration,
    ) -> f64 {
        let bucket = self.buckets.get(organisation);
        let bucket = bucket.filter(|_bucket| self.held_since == held_since);
        let mut bucket = bucket.copied().unwrap_or(PartBucket {
            tokens: 0.0,
            refilled_at: held_since,
            full_at: held_since,
        });
        bucket.refill(terms, held_since, now);
        bucket.tokens
    }

    /// Puts back a token that was granted and not used. A token that was granted in an earlier hold is lost.
    pub fn give_back(
        &mut self,
        organisation: &OrganisationName,
        terms: PartTerms,
        held_since: Duration,
    ) {
        if self.held_since != held_since {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.tokens = (bucket.tokens + 1.0).min(terms.capacity);
        }
    }

    /// Removes full buckets: an organisation without a bucket counts the same.
    pub fn remove_full(&mut self, now: Duration) {
        self.buckets
            .retain(|_organisation, bucket| now < bucket.full_at);
    }

    /// Returns the number of organisations with a bucket.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }
}
