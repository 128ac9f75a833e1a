//! One trial of two neighbouring concurrency limits: a sequential test on the service times under both.

/// Attempts sent for one block, per attempt in flight of the lower value.
const BLOCK_FACTOR: u32 = 4;
const BLOCK_LEAST: u32 = 6;
/// The last answers of a block, one in this many, are not waited for: under both values these are the stragglers.
const TRIMMED_PART: u32 = 4;
/// Logarithm of the odds at which a hypothesis is taken: about 15 to 1.
const DECIDING_ODDS: f64 = 2.7;
/// Evidence that is asked for however quiet the samples are, in cycles of full weight times two.
const LEAST_EVIDENCE: f64 = 1.5;
/// Cycles below which nothing is decided.
const LEAST_CYCLES: u32 = 2;
/// Least distance, in steps, that one cycle may count from the middle of the hypotheses; where samples are noisier, one
/// standard deviation. An upstream that slows down within a cycle must not decide.
const CYCLE_CLAMP: f64 = 0.75;
/// Variance of a cycle, in squared steps, from which no more evidence is asked for: certainty would take too long.
const VARIANCE_LIMIT: f64 = 3.0;
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
    /// Attempts sent for the running block whose answers are due or were taken.
    sent: u32,
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
            sent: 0,
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

    /// The value under trial.
    pub(super) fn value(&self) -> u32 {
        self.low + u32::from(self.high)
    }

    /// The value in force: the higher one only until enough was sent under it.
    pub(super) fn limit(&self) -> u32 {
        self.low + u32::from(self.high && !self.is_full())
    }

    /// Tells whether enough was sent for the running block. What is sent later does not count: a block of the answers
    /// that came first would be a block of the fast ones.
    pub(super) fn is_full(&self) -> bool {
        self.sent >= self.size()
    }

    /// Tells whether nothing was sent yet for the running block.
    pub(super) fn is_fresh(&self) -> bool {
        self.sent == 0
    }

    /// Tells whether the higher value is under trial.
    pub(super) fn overshoots(&self) -> bool {
        self.high
    }

    /// An attempt was sent under the value.
    pub(super) fn note_sent(&mut self) {
        self.sent += 1;
    }

    /// An attempt sent under the value brought no service time.
    pub(super) fn note_lost(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Attempts to be sent for one block.
    fn size(&self) -> u32 {
        u32::max(self.low * BLOCK_FACTOR, BLOCK_LEAST)
    }

    /// Takes the logarithm of a service time, measured under the value in force.
    pub(super) fn record(&mut self, level: f64) -> Option<TrialVerdict> {
        let centre = *self.centre.get_or_insert(level);
        self.block
            .add((level - centre).clamp(-CLAMP, CLAMP) + centre);
        let size = self.size();
        let needed = size - size / TRIMMED_PART;
        if self.block.count < needed {
            return None;
        }
        let block = std::mem::take(&mut self.block);
        self.sent = 0;
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
        self.weigh(difference, f64::from(needed))
    }

    /// Adds a cycle's difference to the evidence: 0 is expected with a free slot, `step` or more without. Under
    /// saturation the further attempt waits for 1 / n of a service time; one that arrives at random waits for the first
    /// of n residual times, 1 / (n + 1) in the mean, and that has to be enough.
    fn weigh(&mut self, difference: f64, size: f64) -> Option<TrialVerdict> {
        let step = (1.0 + 1.0 / f64::from(self.low + 1)).ln();
        let variance = self.scatter / f64::from(self.freedom) * 2.0 / size / (step * step);
        let farthest = f64::max(CYCLE_CLAMP, variance.sqrt());
        self.evidence += (difference / step - 0.5).clamp(-farthest, farthest);
        self.cycles += 1;
        let noise = f64::min(variance, VARIANCE_LIMIT);
        let needed = f64::max(DECIDING_ODDS * noise, LEAST_EVIDENCE);
        let decided = self.evidence.abs() >= needed && self.cycles >= LEAST_CYCLES;
        if !decided && self.cycles < CYCLE_LIMIT {
            return None;
        }
        if self.evidence > 0.0 {
            Some(TrialVerdict::Saturated)
        } else {
            Some(TrialVerdict::Free)
        }
    }
}
