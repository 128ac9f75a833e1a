//! Limits the depth of classes with looser latency targets while a class with a tighter one misses its target at this
//! upstream. The method is that of io.latency (Linux block layer, 2018), applied to the classes of an upstream instead
//! of the cgroups of a disk.
//!
//! Time is divided into windows. A class misses its target in a window if its share of late attempts exceeds what its
//! percentile allows. Every class with a looser target then loses half of its depth, down to one attempt in flight. A
//! window in which no class misses its target, because all meet it or because the tight class is idle, restores one
//! attempt.
//!
//! Pure. Enabled by [`crate::settings::ExperimentSwitches::clamp`].

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::relay::ids::ClassId;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(250);
/// Fraction of a class's target latency that an attempt may spend at one upstream, queueing included.
const TARGET_FRACTION: f64 = 0.5;
/// Minimum number of attempts in a window for which a class's target is evaluated.
const MIN_ATTEMPTS: u32 = 5;

/// The latency target that operators declare for a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyTarget {
    /// Target latency as seen by the caller.
    pub latency: Duration,
    /// Share of queries that may exceed the target latency, from 0 to 1.
    pub late_share: f64,
}

/// Counts of one class in the current window, and its depth limit.
#[derive(Debug, Clone, Copy, Default)]
struct ClassWindow {
    attempts: u32,
    late: u32,
    /// Maximum number of attempts in flight, or `None` for no limit.
    depth: Option<u32>,
}

/// The windows and depth limits of all classes at one upstream.
#[derive(Debug, Clone, Default)]
pub struct ClassClamp {
    /// End of the current window.
    window_end: Duration,
    classes: SecondaryMap<ClassId, ClassWindow>,
}

impl ClassClamp {
    /// Records an attempt that was answered or expired after spending `spent` at this upstream, queueing included.
    pub fn record(&mut self, class: ClassId, target: LatencyTarget, spent: Duration) {
        let window = &mut self.classes[class];
        window.attempts += 1;
        window.late += u32::from(spent > target.latency.mul_f64(TARGET_FRACTION));
    }

    /// Returns whether a class with `in_flight` attempts in flight may have one more.
    pub fn allows(&self, class: ClassId, in_flight: u32) -> bool {
        self.classes[class]
            .depth
            .is_none_or(|depth| in_flight < depth)
    }

    /// If the current window is over, adjusts the depths and starts the next window. `limit` is the concurrency limit
    /// of the upstream.
    pub fn advance(
        &mut self,
        now: Duration,
        limit: u32,
        target: impl Fn(ClassId) -> Option<LatencyTarget>,
    ) {
        if now < self.window_end {
            return;
        }
        self.window_end = now + WINDOW;
        let tightest_missed = self.tightest_missed(&target);
        for (class, window) in self.classes.iter_mut() {
            let looser = match (tightest_missed, target(class)) {
                (Some(tightest_missed), Some(target)) => target.latency > tightest_missed,
                _ => false,
            };
            let depth = window.depth.unwrap_or(limit);
            let new_depth = if looser {
                u32::max(depth / 2, 1)
            } else {
                depth + 1
            };
            *window = ClassWindow {
                depth: (new_depth < limit).then_some(new_depth),
                ..ClassWindow::default()
            };
        }
    }

    /// Returns the tightest target latency that was missed in the current window.
    fn tightest_missed(
        &self,
        target: &impl Fn(ClassId) -> Option<LatencyTarget>,
    ) -> Option<Duration> {
        let mut tightest: Option<Duration> = None;
        for (class, window) in self.classes.iter() {
            let Some(target) = target(class) else {
                continue;
            };
            let allowed = f64::from(window.attempts) * target.late_share;
            let missed = window.attempts >= MIN_ATTEMPTS && f64::from(window.late) > allowed;
            if missed && tightest.is_none_or(|latency| target.latency < latency) {
                tightest = Some(target.latency);
            }
        }
        tightest
    }
}

#[cfg(test)]
#[path = "clamp_tests.rs"]
mod tests;
