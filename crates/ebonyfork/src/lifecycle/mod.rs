//! Lifecycle of a process: readiness, fencing and the planned stop, which decide whether it accepts new work.
//!
//! A process accepts work once its views are complete. It *fences* itself, that is, refuses new work as not run, when
//! it detects that it was paused, or when it has had no contact with store or peers for a while, until it has
//! synchronised again. During a planned stop, it accepts work until callers no longer have its address, finishes the
//! work in flight, hands over its outcomes, and ends.
//!
//! [`PauseDetector`], [`FenceState`] and [`StopRun`] make the decisions and do no I/O; [`LifecycleHandle`] reads the
//! clocks and publishes [`NodeReadiness`](crate::views::NodeReadiness).

mod fence;
mod handle;
mod pause;
mod settings;
mod stopping;

pub use fence::{ContactSource, FenceCause, FenceLimits, FenceState};
pub use handle::{LifecycleHandle, StopReport, StopSteps};
pub use pause::{ClockReading, PauseDetector};
pub use settings::LifecycleSettings;
pub use stopping::{StopPhase, StopPlan, StopRun};
