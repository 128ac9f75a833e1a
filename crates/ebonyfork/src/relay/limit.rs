//! The concurrency limit of one upstream: how many attempts may be there at once.
//!
//! An upstream runs as many attempts at once as it has slots, and nobody tells how many that are. A further attempt in
//! flight is worth it as long as it brings further throughput: with free slots the service time stays as it is, beyond
//! them it grows by the factor (n + 1) / n, because everything waits a little longer. So the limit is found by *trials*:
//! for a short while it alternates, block by block, between two neighbouring values under saturation, and a sequential
//! test on the difference of the logarithms of the service times says which of the two hypotheses holds. Because the
//! blocks are close in time, a whole upstream that slows down or warms up shows in both and decides nothing; because of
//! the logarithm and the clamping, neither do single stragglers.
//!
//! A trial overshoots by one attempt, for as few answers as the noise allows. Between trials the limit is still; the
//! pause grows while they confirm it. Without saturation there is no trial, and no need for one.

use std::time::Duration;

use crate::relay::trial::{LimitTrial, TrialVerdict};
use crate::settings::LimitMode;

/// Where the limit starts at an upstream that was never used.
const START_LIMIT: u32 = 2;
/// Where it starts at one that has just returned.
const RETURN_LIMIT: u32 = 1;
/// Pause between two trials; doubles while they confirm the limit, up to [`PAUSE_LIMIT`] or to [`PAUSE_FACTOR`] times
/// what the last one took, whichever is longer: where noise makes trials long, they are rare.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_secs(30);
const PAUSE_FACTOR: u32 = 64;
/// A pause is at least this many times as long as the trial before it, up to [`LEAST_PAUSE_LIMIT`].
const LEAST_PAUSE_FACTOR: u32 = 8;
const LEAST_PAUSE_LIMIT: Duration = Duration::from_secs(2);
/// A trial downwards costs throughput, so a limit that did not grow is compared with one less only after this many
/// refused trials upwards.
const VERIFY_EVERY: u32 = 8;
/// A trial that gets no saturated answers for this long is given up.
const TRIAL_PATIENCE: Duration = Duration::from_secs(2);

/// Marks what was sent under one value of the limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitEpoch(u32);

impl LimitEpoch {
    fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// One answer with rows, as the limit sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSample {
    /// The epoch in which it was sent.
    pub epoch: LimitEpoch,
    /// Attempts at the upstream when it was sent, itself included.
    pub in_flight: u32,
    /// Natural logarithm of the service time, freed from the differences between classes.
    pub level: f64,
    /// Whether more waits to be sent.
    pub waiting: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrialDirection {
    Up,
    Down,
}

/// Finds out how many attempts an upstream can run at once.
///
/// # Examples
///
/// ```
/// use ebonyfork::relay::ConcurrencyLimit;
/// use ebonyfork::settings::LimitMode;
///
/// let mut limit = ConcurrencyLimit::new(LimitMode::Adaptive, 7);
/// assert_eq!(limit.current(), 2);
/// limit.shed(std::time::Duration::ZERO, limit.epoch());
/// assert_eq!(limit.current(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    mode: LimitMode,
    share: u32,
    limit: u32,
    epoch: LimitEpoch,
    /// The epoch whose answers count.
    sampled: LimitEpoch,
    trial: Option<LimitTrial>,
    direction: TrialDirection,
    /// The limit has grown since a trial last compared it with one less.
    unverified: bool,
    /// Trials upwards that were refused since then.
    refused: u32,
    next_trial: Duration,
    pause: Duration,
    /// When the running trial started, and when it last got a sample.
    started: Duration,
    heard: Duration,
}

impl ConcurrencyLimit {
    /// Starts low; `share` is the most that the connections allow.
    pub fn new(mode: LimitMode, share: u32) -> Self {
        Self {
            mode,
            share,
            limit: START_LIMIT,
            epoch: LimitEpoch::default(),
            sampled: LimitEpoch::default(),
            trial: None,
            direction: TrialDirection::Up,
            unverified: true,
            refused: 0,
            next_trial: Duration::ZERO,
            pause: TRIAL_PAUSE,
            started: Duration::ZERO,
            heard: Duration::ZERO,
        }
    }

    /// Attempts that may be at the upstream at once.
    pub fn current(&self) -> u32 {
        if self.mode == LimitMode::Static {
            return self.share;
        }
        let limit = self.trial.as_ref().map_or(self.limit, LimitTrial::limit);
        u32::min(limit, self.share)
    }

    /// The limit without the overshoot of a trial.
    pub fn settled(&self) -> u32 {
        match self.mode {
            LimitMode::Static => self.share,
            LimitMode::Adaptive => u32::min(self.limit, self.share),
        }
    }

    /// The mark of what is sent now.
    pub fn epoch(&self) -> LimitEpoch {
        self.epoch
    }

    /// Replaces the most that the connections allow.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Takes an answer with rows into account.
    pub fn record(&mut self, now: Duration, sample: LimitSample) {
        if self.mode == LimitMode::Static {
            return;
        }
        let saturated = self.is_saturated(sample.epoch, sample.in_flight);
        if self.trial.is_some() {
            self.feed_trial(now, sample, saturated);
        } else if saturated && now >= self.next_trial {
            self.start_trial(now, sample.waiting);
        }
    }

    /// An attempt was sent, the last of `in_flight` at the upstream.
    pub fn note_sent(&mut self, in_flight: u32) {
        let saturated = self.is_saturated(self.epoch, in_flight);
        let Some(trial) = self.trial.as_mut().filter(|_| saturated) else {
            return;
        };
        trial.note_sent();
        if trial.is_full() {
            self.epoch = self.epoch.next();
        }
    }

    /// An attempt, sent in `epoch` as the last of `in_flight`, came back without rows or not at all.
    pub fn note_lost(&mut self, epoch: LimitEpoch, in_flight: u32) {
        let saturated = self.is_saturated(epoch, in_flight);
        if let Some(trial) = self.trial.as_mut().filter(|_| saturated) {
            trial.note_lost();
            self.epoch = self.sampled;
        }
    }

    /// Tells whether an attempt was sent under the present value, and filled it.
    fn is_saturated(&self, epoch: LimitEpoch, in_flight: u32) -> bool {
        let value = self.trial.as_ref().map_or(self.limit, LimitTrial::value);
        epoch == self.sampled && in_flight == u32::min(value, self.share)
    }

    /// The upstream shed an attempt that was sent in `epoch`. Attempts sent before the limit last moved say nothing
    /// about its present value.
    pub fn shed(&mut self, now: Duration, epoch: LimitEpoch) {
        if epoch != self.epoch && epoch != self.sampled || self.mode == LimitMode::Static {
            return;
        }
        let tried = self.trial.as_ref().is_some_and(LimitTrial::overshoots);
        if !tried {
            self.limit = u32::max(self.limit - 1, 1);
        }
        self.direction = TrialDirection::Up;
        self.rest(now);
    }

    /// The upstream has returned after a loss: it is cold.
    pub fn restart(&mut self, now: Duration) {
        self.limit = RETURN_LIMIT;
        self.direction = TrialDirection::Up;
        self.unverified = true;
        self.pause = TRIAL_PAUSE;
        self.move_on(now);
    }

    fn start_trial(&mut self, now: Duration, waiting: bool) {
        if self.limit == 1 {
            self.direction = TrialDirection::Up;
        }
        let low = match self.direction {
            TrialDirection::Up if !waiting || self.limit >= self.share => return,
            TrialDirection::Up => self.limit,
            TrialDirection::Down => self.limit - 1,
        };
        self.trial = Some(LimitTrial::new(low));
        self.started = now;
        self.heard = now;
        self.next_epoch();
    }

    fn feed_trial(&mut self, now: Duration, sample: LimitSample, saturated: bool) {
        if now > self.heard + TRIAL_PATIENCE {
            self.rest(now);
            return;
        }
        let Some(trial) = self.trial.as_mut().filter(|_| saturated) else {
            return;
        };
        self.heard = now;
        let verdict = trial.record(sample.level);
        let low = trial.low();
        if trial.is_fresh() {
            self.next_epoch();
        }
        match verdict {
            None => {}
            Some(TrialVerdict::Saturated) => self.settle(now, low),
            Some(TrialVerdict::Free) => self.settle(now, low + 1),
        }
    }

    /// Ends a trial with the better of its two values.
    fn settle(&mut self, now: Duration, limit: u32) {
        let confirmed = limit == self.limit;
        self.limit = limit;
        match self.direction {
            TrialDirection::Up if confirmed => {
                self.refused += 1;
                let verified = !self.unverified && self.refused < VERIFY_EVERY;
                if self.limit == 1 || verified {
                    self.rest(now);
                    return;
                }
                self.direction = TrialDirection::Down;
            }
            TrialDirection::Up => self.unverified = true,
            TrialDirection::Down if confirmed => {
                self.direction = TrialDirection::Up;
                self.unverified = false;
                self.refused = 0;
                self.rest(now);
                return;
            }
            TrialDirection::Down => {}
        }
        if !confirmed {
            self.pause = TRIAL_PAUSE;
        }
        self.move_on(now);
    }

    /// No trial for a while, longer each time.
    fn rest(&mut self, now: Duration) {
        let running = self.trial.is_some();
        let taken = running.then(|| now.saturating_sub(self.started));
        let taken = taken.unwrap_or_default();
        let longest = Duration::max(PAUSE_LIMIT, taken * PAUSE_FACTOR);
        let least = Duration::min(taken * LEAST_PAUSE_FACTOR, LEAST_PAUSE_LIMIT);
        let pause = Duration::max(self.pause, least);
        self.pause = Duration::min(pause * 2, longest);
        self.move_on(now + pause);
    }

    fn move_on(&mut self, next_trial: Duration) {
        self.trial = None;
        self.next_trial = next_trial;
        self.next_epoch();
    }

    fn next_epoch(&mut self) {
        self.epoch = self.epoch.next();
        self.sampled = self.epoch;
    }
}

#[cfg(test)]
#[path = "limit_tests.rs"]
mod tests;
