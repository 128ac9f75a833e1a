//! How long an upstream takes: what its own outcomes have shown.

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::relay::ids::ClassId;

/// Assumed before anything was measured.
const FIRST_GUESS: Duration = Duration::from_millis(5);
/// Weight of a new sample in a mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Step of the median in log space, per sample.
const MEDIAN_STEP: f64 = 0.02;

/// Service times of one upstream, over all and by class.
///
/// The estimates live in log space, where a straggler of ten times the usual is one moderate outlier.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    classes: SecondaryMap<ClassId, Option<f64>>,
    mean: Option<f64>,
    median: Option<f64>,
}

impl ServiceTimes {
    /// Takes a sample in and returns its logarithm, freed from the difference between its class and all others.
    pub(super) fn record(&mut self, class: ClassId, served: Duration) -> f64 {
        let sample = log_micros(served);
        let median = self.median.get_or_insert(sample);
        *median += MEDIAN_STEP.copysign(sample - *median);
        let class = follow(&mut self.classes[class], sample);
        let all = follow(&mut self.mean, sample);
        sample - class + all
    }

    /// Expected time of an attempt of a class.
    pub(super) fn expected(&self, class: ClassId) -> Duration {
        let known = self.classes[class].or(self.median);
        known.map_or(FIRST_GUESS, from_log_micros)
    }

    /// The median over all classes.
    pub(super) fn median(&self) -> Duration {
        self.median.map_or(FIRST_GUESS, from_log_micros)
    }
}

/// Moves a mean towards a sample and returns what it was.
fn follow(mean: &mut Option<f64>, sample: f64) -> f64 {
    let mean = mean.get_or_insert(sample);
    let before = *mean;
    *mean += (sample - before) * MEAN_WEIGHT;
    before
}

fn log_micros(span: Duration) -> f64 {
    f64::max(1.0, span.as_micros() as f64).ln()
}

fn from_log_micros(value: f64) -> Duration {
    Duration::from_micros(value.exp() as u64)
}
