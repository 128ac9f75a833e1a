//! One trial of two neighbouring concurrency limits: a sequential test on the log service times under both.

/// Attempts sent for one block, per attempt in flight under the lower value.
const BLOCK_FACTOR: u32 = 4;
/// Minimum number of attempts sent for one block.
const MIN_BLOCK_SIZE: u32 = 6;
/// A block ends without its last answers, one in this many: under either value these are the stragglers.
const TRIM_DIVISOR: u32 = 4;
/// Log odds at which a hypothesis is accepted: about 15 to 1.
const DECISION_LOG_ODDS: f64 = 2.7;
/// Minimum evidence for a decision, however small the variance, in steps. A cycle without noise adds half a step.
const MIN_EVIDENCE: f64 = 1.5;
/// Minimum number of cycles for a decision.
const MIN_CYCLES: u32 = 2;
/// Maximum distance, in steps, by which one cycle may deviate from the midpoint between the hypotheses; one standard
/// deviation of a cycle where that is larger. The clamp keeps a slowdown of the upstream within a single cycle from
/// deciding the trial.
const CYCLE_CLAMP: f64 = 0.75;
/// Variance of a cycle, in squared steps, beyond which the required evidence no longer grows, because a decision would
/// take too long.
const MAX_VARIANCE: f64 = 3.0;
/// Number of cycles after which the sign of the evidence decides.
const MAX_CYCLES: u32 = 60;
/// Maximum distance of one sample from the mean of the previous block, in log space: a factor of four.
const SAMPLE_CLAMP: f64 = 1.386;

/// The result of a trial for the higher value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialVerdict {
    /// A slot was free for the additional attempt.
    Free,
    /// The additional attempt only waited.
    Saturated,
}

/// Count, sum and sum of squares of the samples in one block.
#[derive(Debug, Clone, Copy, Default)]
struct BlockSums {
    count: u32,
    sum: f64,
    sum_of_squares: f64,
}

impl BlockSums {
    fn add(&mut self, value: f64) {
        self.count += 1;
        self.sum += value;
        self.sum_of_squares += value * value;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }

    /// Returns the sum of the squared deviations from the mean.
    fn squared_deviations(&self) -> f64 {
        self.sum_of_squares - self.sum * self.mean()
    }
}

/// A running trial. Each cycle has one block under each value, and the order is low, high, high, low, so that slow
/// drift cancels out.
#[derive(Debug, Clone)]
pub(super) struct LimitTrial {
    low: u32,
    block: BlockSums,
    /// Attempts sent for the current block that are in flight or were answered.
    sent: u32,
    /// Mean of the first block in the current cycle.
    first_mean: Option<f64>,
    /// Whether the current block is under the higher value.
    at_high: bool,
    cycles: u32,
    /// Sum of the clamped cycle differences, in steps from the midpoint between the hypotheses. Positive evidence means
    /// saturation.
    evidence: f64,
    /// Mean of the previous block, or the first sample: the value around which samples are clamped.
    centre: Option<f64>,
    /// Squared deviations from the block means, summed over all blocks, and their degrees of freedom.
    squared_deviations: f64,
    degrees_of_freedom: u32,
}

impl LimitTrial {
    /// Starts a trial of `low` against `low + 1`.
    pub(super) fn new(low: u32) -> Self {
        Self {
            low,
            block: BlockSums::default(),
            sent: 0,
            first_mean: None,
            at_high: false,
            cycles: 0,
            evidence: 0.0,
            centre: None,
            squared_deviations: 0.0,
            degrees_of_freedom: 0,
        }
    }

    /// Returns the lower value.
    pub(super) fn low(&self) -> u32 {
        self.low
    }

    /// Returns the value of the current block.
    pub(super) fn value(&self) -> u32 {
        self.low + u32::from(self.at_high)
    }

    /// Returns the limit in force: the higher value only until enough attempts were sent for its block.
    pub(super) fn limit(&self) -> u32 {
        self.low + u32::from(self.at_high && !self.is_block_full())
    }

    /// Returns whether enough attempts were sent for the current block. Later attempts don't count: if they did, the
    /// block would consist of whichever answers come back first, which are the fast ones.
    pub(super) fn is_block_full(&self) -> bool {
        self.sent >= self.block_size()
    }

    /// Returns whether no attempt was sent yet for the current block.
    pub(super) fn is_block_empty(&self) -> bool {
        self.sent == 0
    }

    /// Returns whether the current block is under the higher value.
    pub(super) fn overshoots(&self) -> bool {
        self.at_high
    }

    /// Records that an attempt was sent for the current block.
    pub(super) fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Records that an attempt of the current block ended without a service time.
    pub(super) fn record_lost(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Returns the number of attempts to send for one block.
    fn block_size(&self) -> u32 {
        u32::max(self.low * BLOCK_FACTOR, MIN_BLOCK_SIZE)
    }

    /// Records the log service time of an attempt of the current block, and returns the verdict once the trial is
    /// decided.
    pub(super) fn record(&mut self, log_service_time: f64) -> Option<TrialVerdict> {
        let centre = *self.centre.get_or_insert(log_service_time);
        self.block
            .add((log_service_time - centre).clamp(-SAMPLE_CLAMP, SAMPLE_CLAMP) + centre);
        let block_size = self.block_size();
        let needed = block_size - block_size / TRIM_DIVISOR;
        if self.block.count < needed {
            return None;
        }
        let block = std::mem::take(&mut self.block);
        self.sent = 0;
        self.centre = Some(block.mean());
        self.squared_deviations += block.squared_deviations();
        self.degrees_of_freedom += block.count - 1;
        let Some(first_mean) = self.first_mean.take() else {
            self.first_mean = Some(block.mean());
            self.at_high = !self.at_high;
            return None;
        };
        // A cycle starts under the value with which the last one ended.
        let difference = if self.at_high {
            block.mean() - first_mean
        } else {
            first_mean - block.mean()
        };
        self.add_cycle(difference, f64::from(needed))
    }

    /// Adds the difference between a cycle's blocks to the evidence, and returns the verdict if that decides the trial.
    /// The expected difference is 0 with a free slot and at least `step` without one: under saturation the additional
    /// attempt waits for 1 / n of a service time, and if it arrives at a random moment, it waits for the first of n
    /// residual times, 1 / (n + 1) on average. `step` assumes the smaller of the two.
    fn add_cycle(&mut self, difference: f64, block_size: f64) -> Option<TrialVerdict> {
        let step = (1.0 + 1.0 / f64::from(self.low + 1)).ln();
        let variance = self.squared_deviations / f64::from(self.degrees_of_freedom) * 2.0
            / block_size
            / (step * step);
        let max_deviation = f64::max(CYCLE_CLAMP, variance.sqrt());
        self.evidence += (difference / step - 0.5).clamp(-max_deviation, max_deviation);
        self.cycles += 1;
        let noise = f64::min(variance, MAX_VARIANCE);
        let needed = f64::max(DECISION_LOG_ODDS * noise, MIN_EVIDENCE);
        let decided = self.evidence.abs() >= needed && self.cycles >= MIN_CYCLES;
        if !decided && self.cycles < MAX_CYCLES {
            return None;
        }
        if self.evidence > 0.0 {
            Some(TrialVerdict::Saturated)
        } else {
            Some(TrialVerdict::Free)
        }
    }
}
