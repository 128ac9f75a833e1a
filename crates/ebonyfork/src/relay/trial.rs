//! One trial of two neighbouring concurrency limits: a sequential test on the service times under both.

/// Answers in one block, per attempt in flight of the lower value.
const BLOCK_FACTOR: u32 = 2;
const BLOCK_LEAST: u32 = 4;
/// Logarithm of the odds at which a hypothesis is taken: about 30 to 1.
const DECIDING_ODDS: f64 = 3.4;
/// Evidence that is asked for however quiet the samples are, in cycles of full weight times two.
const LEAST_EVIDENCE: f64 = 1.5;
/// Cycles after which the sign of the evidence decides.
const CYCLE_LIMIT: u32 = 60;
/// Farthest that one sample counts from the centre of the previous block: a factor of four.
const CLAMP: f64 = 1.386;

/// What a trial has found about the higher value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialVerdict {
    /// A slot was free for the further attempt.
    Free,
    /// It only waited.
    Saturated,
}

#[derive(Debug, Clone, Copy, Default)]
struct BlockSums {
    count: u32,
    sum: f64,
    squares: f64,
}

impl BlockSums {
    fn add(&mut self, value: f64) {
        self.count += 1;
        self.sum += value;
        self.squares += value * value;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }

    /// Sum of the squared distances from the mean.
    fn scatter(&self) -> f64 {
        self.squares - self.sum * self.mean()
    }
}

/// A running trial. Its cycles are a block under each value, in the order low, high, high, low: what drifts slowly
/// cancels out.
#[derive(Debug, Clone)]
pub(super) struct LimitTrial {
    low: u32,
    block: BlockSums,
    /// Mean of the cycle's first block.
    first: Option<f64>,
    high: bool,
    cycles: u32,
    evidence: f64,
    centre: Option<f64>,
    scatter: f64,
    freedom: u32,
}

impl LimitTrial {
    /// Starts to compare `low` with one more.
    pub(super) fn new(low: u32) -> Self {
        Self {
            low,
            block: BlockSums::default(),
            first: None,
            high: false,
            cycles: 0,
            evidence: 0.0,
            centre: None,
            scatter: 0.0,
            freedom: 0,
        }
    }

    /// The lower value.
    pub(super) fn low(&self) -> u32 {
        self.low
    }

    /// The value in force now.
    pub(super) fn limit(&self) -> u32 {
        self.low + u32::from(self.high)
    }

    /// Tells whether the higher value is in force.
    pub(super) fn overshoots(&self) -> bool {
        self.high
    }

    /// Takes the logarithm of a service time, measured under the value in force.
    pub(super) fn record(&mut self, level: f64) -> Option<TrialVerdict> {
        let centre = *self.centre.get_or_insert(level);
        self.block
            .add((level - centre).clamp(-CLAMP, CLAMP) + centre);
        let size = u32::max(self.low * BLOCK_FACTOR, BLOCK_LEAST);
        if self.block.count < size {
            return None;
        }
        let block = std::mem::take(&mut self.block);
        self.centre = Some(block.mean());
        self.scatter += block.scatter();
        self.freedom += block.count - 1;
        let Some(first) = self.first.take() else {
            self.first = Some(block.mean());
            self.high = !self.high;
            return None;
        };
        // The next cycle starts with the value that this one ends with.
        let difference = if self.high {
            block.mean() - first
        } else {
            first - block.mean()
        };
        self.weigh(difference, f64::from(size))
    }

    /// Adds a cycle's difference to the evidence: 0 is expected with a free slot, `step` without.
    fn weigh(&mut self, difference: f64, size: f64) -> Option<TrialVerdict> {
        let step = (1.0 + 1.0 / f64::from(self.low)).ln();
        let relative = (difference / step).clamp(-1.0, 2.0);
        self.evidence += relative - 0.5;
        self.cycles += 1;
        let variance = self.scatter / f64::from(self.freedom) * 2.0 / size / (step * step);
        let needed = f64::max(DECIDING_ODDS * variance, LEAST_EVIDENCE);
        if self.evidence.abs() < needed && self.cycles < CYCLE_LIMIT {
            return None;
        }
        if self.evidence > 0.0 {
            Some(TrialVerdict::Saturated)
        } else {
            Some(TrialVerdict::Free)
        }
    }
}
