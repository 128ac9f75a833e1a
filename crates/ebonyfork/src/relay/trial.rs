//! One trial of two neighbouring concurrency limits: a sequential test on the log service times under both.
//!
//! A *block* is a series of attempts sent under one of the two limits, and a *cycle* is one block under each. A *step*
//! is the difference of the mean log service times that is expected between the blocks of a cycle if the upstream has
//! no free slot for the additional attempt that the higher limit admits.

/// Number of attempts sent for one block, as a multiple of the lower limit of the trial.
const BLOCK_SIZE_FACTOR: u32 = 4;
/// Minimum number of attempts sent for one block, however low the limits.
const MIN_BLOCK_SIZE: u32 = 6;
/// A block ends when all but one in this many of its attempts are answered: under either limit, the last answers are
/// those of the stragglers.
const TRIM_DIVISOR: u32 = 4;
/// Log odds at which the trial is decided for one of its limits: about 15 to 1.
const DECISION_LOG_ODDS: f64 = 2.7;
/// Minimum evidence for a decision, in steps, however small the variance. A cycle without noise adds or subtracts half
/// a step.
const MIN_EVIDENCE: f64 = 1.5;
/// Minimum number of cycles for a decision.
const MIN_CYCLES: u32 = 2;
/// Largest deviation of one cycle from the midpoint between the differences expected with and without a free slot, in
/// steps. If one standard deviation of a cycle is larger, it is used instead. The clamp keeps a slowdown of the
/// upstream within a single cycle from deciding the trial.
const CYCLE_CLAMP: f64 = 0.75;
/// Variance of a cycle, in squared steps, beyond which the required evidence no longer grows, because a decision would
/// take too long.
const MAX_VARIANCE: f64 = 3.0;
/// Number of cycles after which the sign of the evidence decides the trial, however weak the evidence is.
const MAX_CYCLES: u32 = 60;
/// Maximum distance of one log service time from the mean of the previous block: a factor of four. Log service times
/// further away are clamped to it.
const SAMPLE_CLAMP: f64 = 1.386;

/// Whether the upstream had a free slot for the additional attempt that the higher limit of a trial admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialVerdict {
    /// A slot was free, so the higher limit is accepted.
    FreeSlot,
    /// No slot was free, so the lower limit is accepted: the additional attempt waited at the upstream and only
    /// increased the service times.
    Saturated,
}

/// Count, sum and sum of squares of the log service times in one block.
#[derive(Debug, Clone, Copy, Default)]
struct BlockSums {
    sample_count: u32,
    sum: f64,
    sum_of_squares: f64,
}

impl BlockSums {
    fn add(&mut self, sample: f64) {
        self.sample_count += 1;
        self.sum += sample;
        self.sum_of_squares += sample * sample;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.sample_count)
    }

    /// Returns the sum of the squared deviations from the mean.
    fn squared_deviations(&self) -> f64 {
        self.sum_of_squares - self.sum * self.mean()
    }
}

/// A running trial. The order of the blocks is low, high, high, low, so that a slow drift of the service times cancels
/// out.
#[derive(Debug, Clone)]
pub(super) struct LimitTrial {
    /// The lower of the two limits that the trial compares; the other one is `low_limit + 1`.
    low_limit: u32,
    /// Log service times recorded in the current block.
    block_sums: BlockSums,
    /// Number of attempts sent for the current block that are in flight or were answered.
    sent_attempt_count: u32,
    /// Mean log service time of the first block in the current cycle, once that block has ended.
    first_block_mean: Option<f64>,
    /// Whether the current block is under the higher limit.
    in_high_block: bool,
    /// Number of completed cycles.
    cycle_count: u32,
    /// Sum of the clamped differences of the cycles, in steps from the midpoint between the differences expected with
    /// and without a free slot. Positive evidence means that no slot is free.
    evidence: f64,
    /// The log service time around which samples are clamped: the mean of the previous block, or the first sample in
    /// the first block; `None` before the first sample.
    clamp_centre: Option<f64>,
    /// Squared deviations of the log service times from their block means, summed over all blocks.
    squared_deviations: f64,
    /// Degrees of freedom of `squared_deviations`.
    degrees_of_freedom: u32,
}

impl LimitTrial {
    /// Starts a trial of `low_limit` against `low_limit + 1`.
    pub(super) fn new(low_limit: u32) -> Self {
        Self {
            low_limit,
            block_sums: BlockSums::default(),
            sent_attempt_count: 0,
            first_block_mean: None,
            in_high_block: false,
            cycle_count: 0,
            evidence: 0.0,
            clamp_centre: None,
            squared_deviations: 0.0,
            degrees_of_freedom: 0,
        }
    }

    /// Returns the lower of the two limits that the trial compares.
    pub(super) fn low_limit(&self) -> u32 {
        self.low_limit
    }

    /// Returns the limit that the current block tests.
    pub(super) fn block_limit(&self) -> u32 {
        self.low_limit + u32::from(self.in_high_block)
    }

    /// Returns the limit for sending further attempts: the higher one only until enough attempts were sent for its
    /// block.
    pub(super) fn limit_in_force(&self) -> u32 {
        self.low_limit + u32::from(self.in_high_block && !self.is_block_full())
    }

    /// Returns whether enough attempts were sent for the current block. Later attempts don't count: if they did, the
    /// block would consist of whichever answers come back first, which are the fast ones.
    pub(super) fn is_block_full(&self) -> bool {
        self.sent_attempt_count >= self.block_size()
    }

    /// Returns whether no attempt was sent yet for the current block.
    pub(super) fn is_block_empty(&self) -> bool {
        self.sent_attempt_count == 0
    }

    /// Returns whether the current block is under the higher limit.
    pub(super) fn is_in_high_block(&self) -> bool {
        self.in_high_block
    }

    /// Records that an attempt was sent for the current block.
    pub(super) fn record_sent(&mut self) {
        self.sent_attempt_count += 1;
    }

    /// Records that an attempt of the current block ended without a service time; another one is sent in its place.
    pub(super) fn record_lost(&mut self) {
        self.sent_attempt_count = self.sent_attempt_count.saturating_sub(1);
    }

    /// Returns the number of attempts to send for one block.
    fn block_size(&self) -> u32 {
        u32::max(self.low_limit * BLOCK_SIZE_FACTOR, MIN_BLOCK_SIZE)
    }

    /// Records the log service time of an attempt of the current block, and returns the verdict once the trial is
    /// decided.
    pub(super) fn record_sample(&mut self, log_service_time: f64) -> Option<TrialVerdict> {
        let clamp_centre = *self.clamp_centre.get_or_insert(log_service_time);
        self.block_sums.add(
            (log_service_time - clamp_centre).clamp(-SAMPLE_CLAMP, SAMPLE_CLAMP) + clamp_centre,
        );
        let block_size = self.block_size();
        let needed_samples = block_size - block_size / TRIM_DIVISOR;
        if self.block_sums.sample_count < needed_samples {
            return None;
        }
        let finished_block = std::mem::take(&mut self.block_sums);
        self.sent_attempt_count = 0;
        self.clamp_centre = Some(finished_block.mean());
        self.squared_deviations += finished_block.squared_deviations();
        self.degrees_of_freedom += finished_block.sample_count - 1;
        let Some(first_block_mean) = self.first_block_mean.take() else {
            self.first_block_mean = Some(finished_block.mean());
            self.in_high_block = !self.in_high_block;
            return None;
        };
        // A cycle starts under the limit under which the last one ended.
        let difference = if self.in_high_block {
            finished_block.mean() - first_block_mean
        } else {
            first_block_mean - finished_block.mean()
        };
        self.add_cycle(difference, f64::from(needed_samples))
    }

    /// Adds the difference between the means of a cycle's two blocks to the evidence, and returns the verdict if that
    /// decides the trial. The expected difference is 0 with a free slot and at least `step` without one. With n busy
    /// slots, the additional attempt waits for 1 / n of a service time. If it arrives at a random moment, it waits for
    /// the first of n residual service times instead, which is 1 / (n + 1) on average. `step` assumes the smaller of
    /// the two.
    fn add_cycle(&mut self, difference: f64, block_size: f64) -> Option<TrialVerdict> {
        let step = (1.0 + 1.0 / f64::from(self.low_limit + 1)).ln();
        let variance = self.squared_deviations / f64::from(self.degrees_of_freedom) * 2.0
            / block_size
            / (step * step);
        let max_deviation = f64::max(CYCLE_CLAMP, variance.sqrt());
        self.evidence += (difference / step - 0.5).clamp(-max_deviation, max_deviation);
        self.cycle_count += 1;
        let capped_variance = f64::min(variance, MAX_VARIANCE);
        let needed_evidence = f64::max(DECISION_LOG_ODDS * capped_variance, MIN_EVIDENCE);
        let is_decided = self.evidence.abs() >= needed_evidence && self.cycle_count >= MIN_CYCLES;
        if !is_decided && self.cycle_count < MAX_CYCLES {
            return None;
        }
        if self.evidence > 0.0 {
            Some(TrialVerdict::Saturated)
        } else {
            Some(TrialVerdict::FreeSlot)
        }
    }
}
