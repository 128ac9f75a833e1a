//! The concurrency limit of one upstream: how many attempts may be in flight there at once.
//!
//! An upstream runs as many attempts in parallel as it has slots, and the number of slots is not known. Another attempt
//! in flight is useful while it adds throughput: with free slots the service time does not change; without one, it
//! grows by the factor (n + 1) / n, because every attempt waits a little longer. The limit is therefore found by
//! *trials*. A trial alternates for a short time, in blocks, between two neighbouring values under saturation, and a
//! sequential test on the difference between the mean log service times decides which hypothesis holds. Because the
//! blocks are close in time, a slowdown or warm-up of the whole upstream affects both values and decides nothing;
//! because of the logarithm and the clamping, neither do single stragglers.
//!
//! A trial exceeds the limit by one attempt, for as few answers as the noise allows. Between trials the limit does not
//! move, and the pause between trials grows while they confirm it. Without saturation there are no trials, because a
//! higher limit would not be used.

use std::time::Duration;

use crate::relay::trial::{LimitTrial, TrialVerdict};
use crate::settings::LimitMode;

/// Limit at an upstream that was never used.
const INITIAL_LIMIT: u32 = 2;
/// Limit at an upstream that has returned after a loss.
const RESTART_LIMIT: u32 = 1;
/// Initial pause between two trials. It doubles while trials confirm the limit, up to the longer of [`MAX_PAUSE`] and
/// [`MAX_PAUSE_FACTOR`] times the duration of the last trial: where noise makes trials long, they run rarely.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(30);
const MAX_PAUSE_FACTOR: u32 = 64;
/// A pause lasts at least this many times as long as the trial before it, up to [`MIN_PAUSE_LIMIT`].
const MIN_PAUSE_FACTOR: u32 = 8;
const MIN_PAUSE_LIMIT: Duration = Duration::from_secs(2);
/// Number of rejected upward trials after which a limit that did not grow is compared with one less. Downward trials
/// cost throughput, so they are rare.
const REJECTIONS_PER_DOWN_TRIAL: u32 = 8;
/// A trial without a saturated answer for this long is aborted.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies the attempts that were sent under one value of the limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitEpoch(u32);

impl LimitEpoch {
    fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// An answer with rows, as input to the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSample {
    /// The epoch in which the attempt was sent.
    pub epoch: LimitEpoch,
    /// Attempts in flight when the attempt was sent, itself included.
    pub in_flight: u32,
    /// Natural logarithm of the service time in microseconds, adjusted for the difference between its class and the
    /// mean of all classes.
    pub log_service_time: f64,
    /// Whether further attempts wait to be sent.
    pub has_backlog: bool,
}

/// Direction of a trial: up compares the limit with one more, down with one less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrialDirection {
    Up,
    Down,
}

/// Estimates how many attempts an upstream can run in parallel.
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
    /// Connections to the upstream that this VM may use for attempts.
    share: u32,
    limit: u32,
    epoch: LimitEpoch,
    /// The epoch whose answers count. `epoch` moves past it once a block of a trial is full.
    sampled_epoch: LimitEpoch,
    trial: Option<LimitTrial>,
    direction: TrialDirection,
    /// Whether the limit has grown since a trial last compared it with one less.
    unverified: bool,
    /// Upward trials rejected since a downward trial last confirmed the limit.
    rejected: u32,
    next_trial: Duration,
    pause: Duration,
    /// When the running trial started, and when it last received a sample.
    trial_started: Duration,
    last_sample: Duration,
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value; `share` is the number of connections for attempts.
    pub fn new(mode: LimitMode, share: u32) -> Self {
        Self {
            mode,
            share,
            limit: INITIAL_LIMIT,
            epoch: LimitEpoch::default(),
            sampled_epoch: LimitEpoch::default(),
            trial: None,
            direction: TrialDirection::Up,
            unverified: true,
            rejected: 0,
            next_trial: Duration::ZERO,
            pause: INITIAL_PAUSE,
            trial_started: Duration::ZERO,
            last_sample: Duration::ZERO,
        }
    }

    /// Returns how many attempts may be in flight now, the extra attempt of a running trial included.
    pub fn current(&self) -> u32 {
        if self.mode == LimitMode::Static {
            return self.share;
        }
        let limit = self.trial.as_ref().map_or(self.limit, LimitTrial::limit);
        u32::min(limit, self.share)
    }

    /// Returns the limit without the extra attempt of a running trial.
    pub fn settled(&self) -> u32 {
        match self.mode {
            LimitMode::Static => self.share,
            LimitMode::Adaptive => u32::min(self.limit, self.share),
        }
    }

    /// Returns the epoch of attempts that are sent now.
    pub fn epoch(&self) -> LimitEpoch {
        self.epoch
    }

    /// Sets the number of connections for attempts.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Records an answer with rows.
    pub fn record(&mut self, now: Duration, sample: LimitSample) {
        if self.mode == LimitMode::Static {
            return;
        }
        let saturated = self.is_saturated(sample.epoch, sample.in_flight);
        if self.trial.is_some() {
            self.record_in_trial(now, sample, saturated);
        } else if saturated && now >= self.next_trial {
            self.start_trial(now, sample.has_backlog);
        }
    }

    /// Records that an attempt was sent and that `in_flight` attempts are now in flight.
    pub fn record_sent(&mut self, in_flight: u32) {
        let saturated = self.is_saturated(self.epoch, in_flight);
        let Some(trial) = self.trial.as_mut().filter(|_| saturated) else {
            return;
        };
        trial.record_sent();
        if trial.is_block_full() {
            self.epoch = self.epoch.next();
        }
    }

    /// Records that an attempt ended without rows; it was sent in `epoch` with `in_flight` attempts in flight.
    pub fn record_lost(&mut self, epoch: LimitEpoch, in_flight: u32) {
        let saturated = self.is_saturated(epoch, in_flight);
        if let Some(trial) = self.trial.as_mut().filter(|_| saturated) {
            trial.record_lost();
            self.epoch = self.sampled_epoch;
        }
    }

    /// Returns whether an attempt was sent under the present value and used the last free place under it.
    fn is_saturated(&self, epoch: LimitEpoch, in_flight: u32) -> bool {
        let value = self.trial.as_ref().map_or(self.limit, LimitTrial::value);
        epoch == self.sampled_epoch && in_flight == u32::min(value, self.share)
    }

    /// Handles that the upstream shed an attempt sent in `epoch`. Attempts sent before the limit last moved say nothing
    /// about its present value and are ignored.
    pub fn shed(&mut self, now: Duration, epoch: LimitEpoch) {
        if epoch != self.epoch && epoch != self.sampled_epoch || self.mode == LimitMode::Static {
            return;
        }
        let overshooting = self.trial.as_ref().is_some_and(LimitTrial::overshoots);
        if !overshooting {
            self.limit = u32::max(self.limit - 1, 1);
        }
        self.direction = TrialDirection::Up;
        self.pause_trials(now);
    }

    /// Resets the limit after the upstream has returned from a loss, because it is cold.
    pub fn restart(&mut self, now: Duration) {
        self.limit = RESTART_LIMIT;
        self.direction = TrialDirection::Up;
        self.unverified = true;
        self.pause = INITIAL_PAUSE;
        self.end_trial(now);
    }

    /// Starts a trial, unless it would go upwards without a backlog or beyond the share.
    fn start_trial(&mut self, now: Duration, has_backlog: bool) {
        if self.limit == 1 {
            self.direction = TrialDirection::Up;
        }
        let low = match self.direction {
            TrialDirection::Up if !has_backlog || self.limit >= self.share => return,
            TrialDirection::Up => self.limit,
            TrialDirection::Down => self.limit - 1,
        };
        self.trial = Some(LimitTrial::new(low));
        self.trial_started = now;
        self.last_sample = now;
        self.next_epoch();
    }

    /// Passes a sample to the running trial, and ends the trial if it is decided or has timed out.
    fn record_in_trial(&mut self, now: Duration, sample: LimitSample, saturated: bool) {
        if now > self.last_sample + TRIAL_TIMEOUT {
            self.pause_trials(now);
            return;
        }
        let Some(trial) = self.trial.as_mut().filter(|_| saturated) else {
            return;
        };
        self.last_sample = now;
        let verdict = trial.record(sample.log_service_time);
        let low = trial.low();
        if trial.is_block_empty() {
            self.next_epoch();
        }
        match verdict {
            None => {}
            Some(TrialVerdict::Saturated) => self.settle(now, low),
            Some(TrialVerdict::Free) => self.settle(now, low + 1),
        }
    }

    /// Ends a trial with the better of its two values, and chooses the next direction.
    fn settle(&mut self, now: Duration, limit: u32) {
        let confirmed = limit == self.limit;
        self.limit = limit;
        match self.direction {
            TrialDirection::Up if confirmed => {
                self.rejected += 1;
                let verified = !self.unverified && self.rejected < REJECTIONS_PER_DOWN_TRIAL;
                if self.limit == 1 || verified {
                    self.pause_trials(now);
                    return;
                }
                self.direction = TrialDirection::Down;
            }
            TrialDirection::Up => self.unverified = true,
            TrialDirection::Down if confirmed => {
                self.direction = TrialDirection::Up;
                self.unverified = false;
                self.rejected = 0;
                self.pause_trials(now);
                return;
            }
            TrialDirection::Down => {}
        }
        if !confirmed {
            self.pause = INITIAL_PAUSE;
        }
        self.end_trial(now);
    }

    /// Ends the running trial, if any, and pauses; each pause is longer than the last, up to the maximum.
    fn pause_trials(&mut self, now: Duration) {
        let running = self.trial.is_some();
        let duration = running.then(|| now.saturating_sub(self.trial_started));
        let duration = duration.unwrap_or_default();
        let max_pause = Duration::max(MAX_PAUSE, duration * MAX_PAUSE_FACTOR);
        let min_pause = Duration::min(duration * MIN_PAUSE_FACTOR, MIN_PAUSE_LIMIT);
        let pause = Duration::max(self.pause, min_pause);
        self.pause = Duration::min(pause * 2, max_pause);
        self.end_trial(now + pause);
    }

    /// Ends the running trial, if any; the next may start at `next_trial`.
    fn end_trial(&mut self, next_trial: Duration) {
        self.trial = None;
        self.next_trial = next_trial;
        self.next_epoch();
    }

    fn next_epoch(&mut self) {
        self.epoch = self.epoch.next();
        self.sampled_epoch = self.epoch;
    }
}

#[cfg(test)]
#[path = "limit_tests.rs"]
mod tests;
