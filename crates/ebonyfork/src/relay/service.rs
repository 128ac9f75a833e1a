//! Service times of an upstream, estimated from the answers to its attempts.

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::relay::ids::ClassId;

/// Service time assumed before the first sample.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(5);
/// Weight of a new sample in an exponentially weighted mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Step of the median estimate per sample, in log space.
const MEDIAN_STEP: f64 = 0.02;

/// Service time estimates of one upstream, overall and per class.
///
/// The estimates are logarithms of microseconds, in which a straggler of ten times the usual service time is only a
/// moderate outlier.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    classes: SecondaryMap<ClassId, Option<f64>>,
    mean: Option<f64>,
    median: Option<f64>,
}

impl ServiceTimes {
    /// Records a sample and returns its logarithm, adjusted for the difference between its class and the mean of all
    /// classes.
    pub(super) fn record(&mut self, class: ClassId, served: Duration) -> f64 {
        let sample = log_micros(served);
        let median = self.median.get_or_insert(sample);
        *median += MEDIAN_STEP.copysign(sample - *median);
        let class = update_mean(&mut self.classes[class], sample);
        let all = update_mean(&mut self.mean, sample);
        sample - class + all
    }

    /// Returns the expected service time of an attempt of a class.
    pub(super) fn expected(&self, class: ClassId) -> Duration {
        let known = self.classes[class].or(self.median);
        known.map_or(INITIAL_ESTIMATE, from_log_micros)
    }

    /// Returns the estimated median over all classes.
    pub(super) fn median(&self) -> Duration {
        self.median.map_or(INITIAL_ESTIMATE, from_log_micros)
    }
}

/// Moves a mean towards a sample and returns its previous value.
fn update_mean(mean: &mut Option<f64>, sample: f64) -> f64 {
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
