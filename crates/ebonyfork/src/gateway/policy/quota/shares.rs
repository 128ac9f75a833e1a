//! Divides the tokens of an organisation by priority while it asks for more than its limit.
//!
//! Load pattern: requests of several kinds compete, and the most urgent ones can wait the shortest time. If tokens go to
//! whoever takes them first, requests that wait a second take each token as it appears, and an urgent request that can
//! wait 30 ms finds none. So each class with demand has an account: it is credited with its share of the refill and
//! charged for each token. A token that is owed to another class stays in the bucket for that class. A class whose
//! account has reached its limit gets no more: its share goes to the others until it uses a token.

use std::time::Duration;

use super::schedule::TOLERANCE;

/// Number of classes. Priorities from the last one on share a class.
pub const CLASS_COUNT: usize = 4;
/// Weight of each class. An urgent class gets the most, and the last ones get enough not to be starved.
const CLASS_WEIGHTS: [f64; CLASS_COUNT] = [4.0, 2.0, 1.0, 1.0];
/// Time for which a class has a share after its last request.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);

/// Returns the class of a priority.
pub(super) fn class_of(priority: u8) -> usize {
    usize::from(priority).min(CLASS_COUNT - 1)
}

/// Time for which the earned tokens of a class are kept after its last request. A class with two requests a second has a
/// pause of over a second after one in seven, and the first request after it should find its token.
const EARNED_MEMORY: Duration = Duration::from_secs(5);

/// Account of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassAccount {
    /// Tokens that the class was credited with and has not used.
    earned: f64,
    /// Largest number of earned tokens; zero before the first refill.
    limit: f64,
    last_request: Option<Duration>,
}

impl ClassAccount {
    fn has_demand(&self, now: Duration) -> bool {
        self.last_request
            .is_some_and(|last_request| now < last_request + DEMAND_MEMORY)
    }

    /// Returns the tokens that are kept for the class.
    fn kept(&self, now: Duration) -> f64 {
        let is_kept = self
            .last_request
            .is_some_and(|last_request| now < last_request + EARNED_MEMORY);
        if is_kept { self.earned.max(0.0) } else { 0.0 }
    }

    fn is_full(&self) -> bool {
        self.limit > 0.0 && self.earned + TOLERANCE >= self.limit
    }
}

/// Accounts of all classes of an organisation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassShares {
    accounts: [ClassAccount; CLASS_COUNT],
}

impl ClassShares {
    /// Records a request of a class.
    pub(super) fn note_request(&mut self, class: usize, now: Duration) {
        self.accounts[class].last_request = Some(now);
    }

    /// Returns the share of a class in the refill, 0 to 1, among the classes with demand that a predicate selects.
    fn share_among(
        &self,
        class: usize,
        now: Duration,
        selects: impl Fn(&ClassAccount) -> bool,
    ) -> f64 {
        let own_weight = CLASS_WEIGHTS[class];
        if !self.accounts[class].has_demand(now) {
            return 0.0;
        }
        let mut total_weight = own_weight;
        for (other, account) in self.accounts.iter().enumerate() {
            if other != class && account.has_demand(now) && selects(account) {
                total_weight += CLASS_WEIGHTS[other];
            }
        }
        own_weight / total_weight
    }

    /// Returns the share of a class in the refill, 0 to 1, as long as the full accounts of other classes stay full.
    pub(super) fn share(&self, class: usize, now: Duration) -> f64 {
        self.share_among(class, now, |account| !account.is_full())
    }

    /// Credits the classes with their shares of `refilled` tokens, which are among the present `tokens`. An account
    /// holds at most the class's share of the bucket, at least one token, and in addition one token for each of its
    /// commitments.
    pub(super) fn add_refill(
        &mut self,
        (refilled, tokens): (f64, f64),
        capacity: f64,
        commitments: [usize; CLASS_COUNT],
        now: Duration,
    ) {
        let before = *self;
        for (class, commitments) in commitments.into_iter().enumerate() {
            if !before.accounts[class].has_demand(now) {
                continue;
            }
            let share_of_bucket = before.share_among(class, now, |_account| true);
            let refill = before.share(class, now) * refilled;
            let account = &mut self.accounts[class];
            account.limit = (share_of_bucket * capacity).max(1.0) + commitments as f64;
            account.earned = (account.earned + refill).min(account.limit);
        }
        self.limit_to(tokens, now);
    }

    /// Charges a class for a token that it was granted. A token that no other class wanted is free, so the account is
    /// overdrawn by one token at most.
    pub(super) fn charge(&mut self, class: usize) {
        let account = &mut self.accounts[class];
        account.earned = (account.earned - 1.0).max(-1.0);
    }

    /// Returns how many of the present tokens a class may use: all but those that the other classes have earned.
    pub(super) fn available(&self, class: usize, tokens: f64, now: Duration) -> f64 {
        let mut available = tokens;
        for (other, account) in self.accounts.iter().enumerate() {
            if other != class {
                available -= account.kept(now);
            }
        }
        available
    }

    /// Reduces the accounts in proportion if they hold more tokens than there are: a token of a class with little left
    /// may have been granted to another one that had waited for its full time.
    fn limit_to(&mut self, tokens: f64, now: Duration) {
        let kept: f64 = self.accounts.iter().map(|account| account.kept(now)).sum();
        if kept <= tokens {
            return;
        }
        for account in &mut self.accounts {
            if account.earned > 0.0 {
                account.earned *= tokens.max(0.0) / kept;
            }
        }
    }
}
