//! The concurrency limit of one upstream: how many attempts may be in flight there at once.
//!
//! An upstream runs as many attempts in parallel as it has slots, and the number of slots is not known. Another attempt
//! in flight is useful while it adds throughput: with free slots the service time does not change; with all n slots
//! busy, it grows by the factor (n + 1) / n, because every attempt waits a little longer. The limit is therefore found
//! by *trials*. While the limit is used up (the upstream is *saturated*), a trial alternates for a short time, in
//! blocks, between two neighbouring limits. A sequential test on the difference between the mean log service times
//! decides whether the upstream had a free slot for the additional attempt of the higher limit. Because the blocks are
//! close in time, a slowdown or warm-up of the whole upstream affects both limits and decides nothing; because of the
//! logarithm and the clamping, neither do single stragglers.
//!
//! A trial exceeds the limit by one attempt, for as few answers as the noise allows. Between trials the limit does not
//! move unless the upstream sheds an attempt or is lost, and the pause between trials grows while they confirm the
//! limit. Without saturation there are no trials, because a higher limit would not be used.

use std::time::Duration;

use crate::relay::trial::{LimitTrial, TrialVerdict};
use crate::settings::LimitMode;

/// Initial limit at an upstream that was never used, in attempts.
const INITIAL_LIMIT: u32 = 2;
/// Initial limit at an upstream that has returned after a loss, in attempts. It is lower because the upstream is cold.
const RESTART_LIMIT: u32 = 1;
/// Initial pause between two trials. It doubles while trials confirm the limit, up to the longer of [`MAX_PAUSE`] and
/// [`MAX_PAUSE_FACTOR`] times the duration of the last trial: where noise makes trials long, they run rarely.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause between two trials, unless the last trial was long; see [`INITIAL_PAUSE`].
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Maximum pause between two trials, as a multiple of the duration of the last trial; see [`INITIAL_PAUSE`].
const MAX_PAUSE_FACTOR: u32 = 64;
/// A pause lasts at least this many times as long as the trial before it, up to [`MIN_PAUSE_LIMIT`].
const MIN_PAUSE_FACTOR: u32 = 8;
/// Upper limit of the minimum pause that follows from [`MIN_PAUSE_FACTOR`].
const MIN_PAUSE_LIMIT: Duration = Duration::from_secs(2);
/// Number of upward trials that must have ended with the lower limit before a limit that did not grow is compared with
/// one less. Downward trials cost throughput, so they are rare.
const REJECTED_UP_TRIALS_BEFORE_DOWN_TRIAL: u32 = 8;
/// Time after which a trial is aborted if it has received no answer to an attempt that used up the limit.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies the attempts that were sent while the limit had one value.
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
    /// Natural logarithm of the service time in microseconds, adjusted for the difference between the class of the
    /// attempt and the mean of all classes.
    pub log_service_time: f64,
    /// Whether further attempts waited to be sent when the answer arrived.
    pub has_backlog: bool,
}

/// Direction of a trial: `Up` compares the limit with one more, `Down` with one less.
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
/// assert_eq!(limit.current_limit(), 2);
/// limit.record_shed(std::time::Duration::ZERO, limit.epoch());
/// assert_eq!(limit.current_limit(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    mode: LimitMode,
    /// Connections to the upstream that this VM may use for attempts.
    connection_share: u32,
    /// The limit without the additional attempt of a running trial, not yet bounded by `connection_share`.
    limit: u32,
    /// The epoch of attempts that are sent now.
    epoch: LimitEpoch,
    /// The epoch of the attempts whose answers count. `epoch` moves past it once a block of a trial is full.
    sampled_epoch: LimitEpoch,
    /// The running trial; `None` between trials.
    trial: Option<LimitTrial>,
    /// Direction of the running or the next trial.
    direction: TrialDirection,
    /// Whether the limit has grown, or was reset, since a downward trial last confirmed it.
    has_unverified_growth: bool,
    /// Number of upward trials that ended with the lower limit since a downward trial last confirmed the limit.
    rejected_up_trial_count: u32,
    /// Earliest time of the next trial.
    next_trial_at: Duration,
    /// Length of the next pause, unless the duration of the trial before it requires a longer one.
    next_pause: Duration,
    /// Start of the running trial.
    trial_started_at: Duration,
    /// Time at which the running trial last received a sample, or its start.
    last_sample_at: Duration,
}

impl ConcurrencyLimit {
    /// Creates a limit for an upstream that was never used. `connection_share` is the number of connections to the
    /// upstream that this VM may use for attempts.
    pub fn new(mode: LimitMode, connection_share: u32) -> Self {
        Self {
            mode,
            connection_share,
            limit: INITIAL_LIMIT,
            epoch: LimitEpoch::default(),
            sampled_epoch: LimitEpoch::default(),
            trial: None,
            direction: TrialDirection::Up,
            has_unverified_growth: true,
            rejected_up_trial_count: 0,
            next_trial_at: Duration::ZERO,
            next_pause: INITIAL_PAUSE,
            trial_started_at: Duration::ZERO,
            last_sample_at: Duration::ZERO,
        }
    }

    /// Returns how many attempts may be in flight now, the additional attempt of a running trial included.
    pub fn current_limit(&self) -> u32 {
        if self.mode == LimitMode::Static {
            return self.connection_share;
        }
        let limit = self
            .trial
            .as_ref()
            .map_or(self.limit, LimitTrial::limit_in_force);
        u32::min(limit, self.connection_share)
    }

    /// Returns the limit without the additional attempt of a running trial.
    pub fn base_limit(&self) -> u32 {
        match self.mode {
            LimitMode::Static => self.connection_share,
            LimitMode::Adaptive => u32::min(self.limit, self.connection_share),
        }
    }

    /// Returns the epoch of attempts that are sent now.
    pub fn epoch(&self) -> LimitEpoch {
        self.epoch
    }

    /// Sets the number of connections to the upstream that this VM may use for attempts.
    pub fn set_connection_share(&mut self, connection_share: u32) {
        self.connection_share = connection_share;
    }

    /// Records an answer with rows, which may decide a running trial or start the next one.
    pub fn record(&mut self, now: Duration, sample: LimitSample) {
        if self.mode == LimitMode::Static {
            return;
        }
        let is_saturated = self.is_saturated(sample.epoch, sample.in_flight);
        if self.trial.is_some() {
            self.record_trial_sample(now, sample, is_saturated);
        } else if is_saturated && now >= self.next_trial_at {
            self.start_trial(now, sample.has_backlog);
        }
    }

    /// Records that an attempt was sent and that `attempts_in_flight` attempts are now in flight.
    pub fn record_sent(&mut self, attempts_in_flight: u32) {
        let is_saturated = self.is_saturated(self.epoch, attempts_in_flight);
        let Some(trial) = self.trial.as_mut().filter(|_| is_saturated) else {
            return;
        };
        trial.record_sent();
        if trial.is_block_full() {
            self.epoch = self.epoch.next();
        }
    }

    /// Records that an attempt ended without rows; it was sent in `epoch` with `attempts_in_flight` attempts in flight.
    pub fn record_lost(&mut self, epoch: LimitEpoch, attempts_in_flight: u32) {
        let is_saturated = self.is_saturated(epoch, attempts_in_flight);
        if let Some(trial) = self.trial.as_mut().filter(|_| is_saturated) {
            trial.record_lost();
            self.epoch = self.sampled_epoch;
        }
    }

    /// Returns whether an attempt used up the limit: it was sent in the epoch whose answers count, as the last attempt
    /// that the limit, or during a trial the limit of the current block, admitted. `attempts_in_flight` is the number
    /// of attempts in flight after it was sent. Only such attempts count in a trial, because the others say nothing
    /// about the limit.
    fn is_saturated(&self, epoch: LimitEpoch, attempts_in_flight: u32) -> bool {
        let block_limit = self
            .trial
            .as_ref()
            .map_or(self.limit, LimitTrial::block_limit);
        epoch == self.sampled_epoch
            && attempts_in_flight == u32::min(block_limit, self.connection_share)
    }

    /// Records that the upstream shed an attempt sent in `epoch`: ends the running trial, if any, and lowers the limit
    /// by one unless the trial was testing its higher limit. An attempt sent before the limit last changed says nothing
    /// about the current limit and is ignored.
    pub fn record_shed(&mut self, now: Duration, epoch: LimitEpoch) {
        if epoch != self.epoch && epoch != self.sampled_epoch || self.mode == LimitMode::Static {
            return;
        }
        let in_high_block = self
            .trial
            .as_ref()
            .is_some_and(LimitTrial::is_in_high_block);
        if !in_high_block {
            self.limit = u32::max(self.limit - 1, 1);
        }
        self.direction = TrialDirection::Up;
        self.pause_trials(now);
    }

    /// Resets the limit after a loss of the upstream, because the upstream will be cold when it returns.
    pub fn restart(&mut self, now: Duration) {
        self.limit = RESTART_LIMIT;
        self.direction = TrialDirection::Up;
        self.has_unverified_growth = true;
        self.next_pause = INITIAL_PAUSE;
        self.end_trial(now);
    }

    /// Starts a trial, unless it is an upward one and there is no backlog or no further connection for its additional
    /// attempt.
    fn start_trial(&mut self, now: Duration, has_backlog: bool) {
        if self.limit == 1 {
            self.direction = TrialDirection::Up;
        }
        let low_limit = match self.direction {
            TrialDirection::Up if !has_backlog || self.limit >= self.connection_share => return,
            TrialDirection::Up => self.limit,
            TrialDirection::Down => self.limit - 1,
        };
        self.trial = Some(LimitTrial::new(low_limit));
        self.trial_started_at = now;
        self.last_sample_at = now;
        self.next_epoch();
    }

    /// Passes a sample to the running trial if it comes from an attempt that used up the limit, and ends the trial if
    /// it is decided or has timed out.
    fn record_trial_sample(&mut self, now: Duration, sample: LimitSample, is_saturated: bool) {
        if now > self.last_sample_at + TRIAL_TIMEOUT {
            self.pause_trials(now);
            return;
        }
        let Some(trial) = self.trial.as_mut().filter(|_| is_saturated) else {
            return;
        };
        self.last_sample_at = now;
        let verdict = trial.record_sample(sample.log_service_time);
        let low_limit = trial.low_limit();
        if trial.is_block_empty() {
            self.next_epoch();
        }
        match verdict {
            None => {}
            Some(TrialVerdict::Saturated) => self.finish_trial(now, low_limit),
            Some(TrialVerdict::FreeSlot) => self.finish_trial(now, low_limit + 1),
        }
    }

    /// Ends a trial with the limit that it has accepted, and chooses the direction of the next trial.
    fn finish_trial(&mut self, now: Duration, accepted_limit: u32) {
        let is_confirmed = accepted_limit == self.limit;
        self.limit = accepted_limit;
        match self.direction {
            TrialDirection::Up if is_confirmed => {
                self.rejected_up_trial_count += 1;
                let is_verified = !self.has_unverified_growth
                    && self.rejected_up_trial_count < REJECTED_UP_TRIALS_BEFORE_DOWN_TRIAL;
                if self.limit == 1 || is_verified {
                    self.pause_trials(now);
                    return;
                }
                self.direction = TrialDirection::Down;
            }
            TrialDirection::Up => self.has_unverified_growth = true,
            TrialDirection::Down if is_confirmed => {
                self.direction = TrialDirection::Up;
                self.has_unverified_growth = false;
                self.rejected_up_trial_count = 0;
                self.pause_trials(now);
                return;
            }
            TrialDirection::Down => {}
        }
        if !is_confirmed {
            self.next_pause = INITIAL_PAUSE;
        }
        self.end_trial(now);
    }

    /// Ends the running trial, if any, and pauses; each pause is longer than the last, up to the maximum.
    fn pause_trials(&mut self, now: Duration) {
        let is_running = self.trial.is_some();
        let trial_duration = is_running.then(|| now.saturating_sub(self.trial_started_at));
        let trial_duration = trial_duration.unwrap_or_default();
        let max_pause = Duration::max(MAX_PAUSE, trial_duration * MAX_PAUSE_FACTOR);
        let min_pause = Duration::min(trial_duration * MIN_PAUSE_FACTOR, MIN_PAUSE_LIMIT);
        let pause = Duration::max(self.next_pause, min_pause);
        self.next_pause = Duration::min(pause * 2, max_pause);
        self.end_trial(now + pause);
    }

    /// Ends the running trial, if any; the next may start at `next_trial_at`.
    fn end_trial(&mut self, next_trial_at: Duration) {
        self.trial = None;
        self.next_trial_at = next_trial_at;
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
