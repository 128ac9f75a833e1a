//! Queue depth taken from looser classes when a tighter one misses its target at this upstream: the idea of
//! io.latency (Linux block layer, 2018), carried over from groups of a disk to classes of an upstream.
//!
//! Time is cut into windows. A class whose share of late attempts in a window exceeds what its percentile allows is a
//! victim; every class with a looser target then loses half of its depth, down to one attempt in flight. A window
//! without a victim, be it that the target is met or that the victim is idle, gives one attempt back.
//!
//! Pure. It is switched by [`crate::settings::ExperimentSwitches::clamp`].

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use crate::relay::ids::ClassId;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(250);
/// Part of a class's target that an attempt may spend at one upstream, queue included.
const TARGET_PART: f64 = 0.5;
/// Attempts below which a window says nothing about a class.
const LEAST_ATTEMPTS: u32 = 5;

/// What operators state for a class, as far as a relay needs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassGoal {
    /// Target latency seen by the caller.
    pub latency: Duration,
    /// Share of queries that may be later, 0 to 1.
    pub late_share: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassWindow {
    attempts: u32,
    late: u32,
    /// Most attempts in flight; unlimited if none.
    depth: Option<u32>,
}

/// The depths of all classes at one upstream.
#[derive(Debug, Clone, Default)]
pub struct ClassClamp {
    ends: Duration,
    classes: SecondaryMap<ClassId, ClassWindow>,
}

impl ClassClamp {
    /// Takes an attempt into account that spent `spent` here, waiting and running, or was given up after that time.
    pub fn record(&mut self, class: ClassId, goal: ClassGoal, spent: Duration) {
        let window = &mut self.classes[class];
        window.attempts += 1;
        window.late += u32::from(spent > goal.latency.mul_f64(TARGET_PART));
    }

    /// Tells whether a class may have one more attempt in flight.
    pub fn allows(&self, class: ClassId, in_flight: u32) -> bool {
        self.classes[class]
            .depth
            .is_none_or(|depth| in_flight < depth)
    }

    /// Ends a window that is over: moves the depths within `limit`, the attempts that the upstream can run at once.
    pub fn advance(
        &mut self,
        now: Duration,
        limit: u32,
        goal: impl Fn(ClassId) -> Option<ClassGoal>,
    ) {
        if now < self.ends {
            return;
        }
        self.ends = now + WINDOW;
        let victim = self.victim(&goal);
        for (class, window) in self.classes.iter_mut() {
            let looser = match (victim, goal(class)) {
                (Some(victim), Some(goal)) => goal.latency > victim,
                _ => false,
            };
            let depth = window.depth.unwrap_or(limit);
            let moved = if looser {
                u32::max(depth / 2, 1)
            } else {
                depth + 1
            };
            *window = ClassWindow {
                depth: (moved < limit).then_some(moved),
                ..ClassWindow::default()
            };
        }
    }

    /// The tightest target that was missed in this window.
    fn victim(&self, goal: &impl Fn(ClassId) -> Option<ClassGoal>) -> Option<Duration> {
        let mut tightest: Option<Duration> = None;
        for (class, window) in self.classes.iter() {
            let Some(goal) = goal(class) else {
                continue;
            };
            let allowed = f64::from(window.attempts) * goal.late_share;
            let missed = window.attempts >= LEAST_ATTEMPTS && f64::from(window.late) > allowed;
            if missed && tightest.is_none_or(|latency| goal.latency < latency) {
                tightest = Some(goal.latency);
            }
        }
        tightest
    }
}

#[cfg(test)]
#[path = "clamp_tests.rs"]
mod tests;
