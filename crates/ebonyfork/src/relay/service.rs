//! Service times of an upstream, estimated from the answers to its attempts.

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::relay::ids::ClassId;

/// Service time assumed before the first answer.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(5);
/// Weight of a new sample in an exponentially weighted mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// Change of the median estimate per sample, in log space.
const MEDIAN_STEP: f64 = 0.02;

/// Service time estimates of one upstream, overall and per class.
///
/// The estimates are logarithms of microseconds, in which a straggler of ten times the usual service time is only a
/// moderate outlier.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    /// Exponentially weighted mean service time of each class; none before its first answer.
    class_means: SecondaryMap<ClassId, Option<f64>>,
    /// Exponentially weighted mean service time over all classes; none before the first answer.
    overall_mean: Option<f64>,
    /// Estimated median service time over all classes; none before the first answer.
    median: Option<f64>,
}

impl ServiceTimes {
    /// Records the service time of an attempt and returns its logarithm, adjusted for the difference between the mean
    /// of its class and the mean of all classes.
    pub(super) fn record_sample(&mut self, class: ClassId, service_time: Duration) -> f64 {
        let sample = log_micros(service_time);
        let median = self.median.get_or_insert(sample);
        *median += MEDIAN_STEP.copysign(sample - *median);
        let class_mean = update_mean(&mut self.class_means[class], sample);
        let overall_mean = update_mean(&mut self.overall_mean, sample);
        sample - class_mean + overall_mean
    }

    /// Returns the expected service time of an attempt of a class.
    pub(super) fn expected_time(&self, class: ClassId) -> Duration {
        let estimate = self.class_means[class].or(self.median);
        estimate.map_or(INITIAL_ESTIMATE, from_log_micros)
    }

    /// Returns the estimated median service time over all classes.
    pub(super) fn median(&self) -> Duration {
        self.median.map_or(INITIAL_ESTIMATE, from_log_micros)
    }
}

/// Moves a mean towards a sample and returns its previous value.
fn update_mean(mean: &mut Option<f64>, sample: f64) -> f64 {
    let mean = mean.get_or_insert(sample);
    let previous_mean = *mean;
    *mean += (sample - previous_mean) * SAMPLE_WEIGHT;
    previous_mean
}

fn log_micros(time: Duration) -> f64 {
    f64::max(1.0, time.as_micros() as f64).ln()
}

fn from_log_micros(log_time: f64) -> Duration {
    Duration::from_micros(log_time.exp() as u64)
}
