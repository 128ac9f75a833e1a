//! When a process takes work: readiness, fencing, the planned stop.
//!
//! A process takes work once its views are filled. It *fences* itself, that is refuses new work as not run, when it finds
//! that it was paused, or when it has heard neither store nor peers for a while, until it has synchronised again. A planned
//! stop keeps taking work until callers have forgotten the address, finishes what is in flight, hands over, and ends.
//!
//! [`PauseDetector`], [`FenceState`] and [`StopRun`] decide and are pure; [`LifecycleHandle`] has the clock and writes
//! [`NodeReadiness`](crate::views::NodeReadiness).

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
