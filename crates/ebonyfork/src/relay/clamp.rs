//! Limits the depth (the number of attempts in flight) of classes with looser latency targets while a class with a
//! tighter target misses that target at the same upstream. The method is that of io.latency (Linux block layer, 2018),
//! applied to the classes of an upstream instead of the cgroups of a disk.
//!
//! Time is divided into windows. A class misses its target in a window if its share of late attempts exceeds what its
//! percentile allows. Every class with a looser target then loses half of its depth, down to one attempt in flight. A
//! window in which no class misses its target, because all meet it or because the class with the tight target is idle,
//! raises the depths again by one attempt.
//!
//! Pure. Enabled by [`crate::settings::ExperimentSwitches::clamp_looser_classes`].

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::relay::ids::ClassId;

/// Length of a window.
const WINDOW_LENGTH: Duration = Duration::from_millis(250);
/// Fraction of a class's target latency that an attempt may spend at one upstream, queueing included.
const TARGET_FRACTION: f64 = 0.5;
/// Minimum number of attempts of a class in a window for its target to be evaluated.
const MIN_ATTEMPTS_PER_WINDOW: u32 = 5;

/// The latency target that operators declare for a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyTarget {
    /// Target latency as seen by the caller.
    pub latency: Duration,
    /// Share of queries that may exceed the target latency, from 0 to 1.
    pub late_share: f64,
}

/// The attempts of one class in the current window, and the depth limit of the class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassWindow {
    /// Number of attempts recorded in the window.
    attempt_count: u32,
    /// Number of attempts that spent more than [`TARGET_FRACTION`] of the target latency at the upstream.
    late_attempt_count: u32,
    /// Maximum number of attempts in flight, or `None` for no limit.
    depth_limit: Option<u32>,
}

/// The windows and depth limits of all classes at one upstream.
#[derive(Debug, Clone, Default)]
pub struct ClassClamp {
    /// Time at which the current window ends.
    window_end: Duration,
    windows: SecondaryMap<ClassId, ClassWindow>,
}

impl ClassClamp {
    /// Records an attempt that was answered or expired after spending `time_spent` at this upstream, queueing included.
    pub fn record_attempt(&mut self, class: ClassId, target: LatencyTarget, time_spent: Duration) {
        let window = &mut self.windows[class];
        window.attempt_count += 1;
        window.late_attempt_count +=
            u32::from(time_spent > target.latency.mul_f64(TARGET_FRACTION));
    }

    /// Returns whether a class with `attempts_in_flight` attempts in flight may have another one in flight.
    pub fn allows(&self, class: ClassId, attempts_in_flight: u32) -> bool {
        self.windows[class]
            .depth_limit
            .is_none_or(|depth_limit| attempts_in_flight < depth_limit)
    }

    /// If the current window is over, adjusts the depth limits and starts the next window. `concurrency_limit` is the
    /// concurrency limit of the upstream; a depth limit that reaches it is removed.
    pub fn advance(
        &mut self,
        now: Duration,
        concurrency_limit: u32,
        target: impl Fn(ClassId) -> Option<LatencyTarget>,
    ) {
        if now < self.window_end {
            return;
        }
        self.window_end = now + WINDOW_LENGTH;
        let tightest_missed_target = self.tightest_missed_target(&target);
        for (class, window) in self.windows.iter_mut() {
            let has_looser_target = match (tightest_missed_target, target(class)) {
                (Some(tightest_missed_target), Some(target)) => {
                    target.latency > tightest_missed_target
                }
                _ => false,
            };
            let depth_limit = window.depth_limit.unwrap_or(concurrency_limit);
            let new_depth_limit = if has_looser_target {
                u32::max(depth_limit / 2, 1)
            } else {
                depth_limit + 1
            };
            *window = ClassWindow {
                depth_limit: (new_depth_limit < concurrency_limit).then_some(new_depth_limit),
                ..ClassWindow::default()
            };
        }
    }

    /// Returns the lowest target latency among the classes that missed their target in the current window.
    fn tightest_missed_target(
        &self,
        target: &impl Fn(ClassId) -> Option<LatencyTarget>,
    ) -> Option<Duration> {
        let mut tightest_latency: Option<Duration> = None;
        for (class, window) in self.windows.iter() {
            let Some(target) = target(class) else {
                continue;
            };
            let max_late_attempts = f64::from(window.attempt_count) * target.late_share;
            let misses_target = window.attempt_count >= MIN_ATTEMPTS_PER_WINDOW
                && f64::from(window.late_attempt_count) > max_late_attempts;
            if misses_target && tightest_latency.is_none_or(|latency| target.latency < latency) {
                tightest_latency = Some(target.latency);
            }
        }
        tightest_latency
    }
}

#[cfg(test)]
#[path = "clamp_tests.rs"]
mod tests;
