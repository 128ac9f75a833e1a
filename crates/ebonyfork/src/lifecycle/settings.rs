//! Configures when a process fences itself and when a gap between clock readings is a pause, and with which functions
//! the lifecycle polls whether the process is up to date and when it last heard from a peer.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::lifecycle::fence::FenceLimits;
use crate::lifecycle::pause::PauseDetector;

type CaughtUpFunction = dyn Fn() -> bool + Send + Sync;
type PeerContactFunction = dyn Fn() -> Option<Instant> + Send + Sync;

/// Limits of fencing, and the sources that the lifecycle polls.
#[derive(Clone)]
pub struct LifecycleSettings {
    pub(super) fence_limits: FenceLimits,
    /// Gaps between clock readings longer than this count as pauses.
    pub(super) pause_limit: Duration,
    /// Returns whether the process holds the newest state it knows of.
    pub(super) caught_up: Arc<CaughtUpFunction>,
    /// Returns when a message from a peer arrived last.
    pub(super) last_peer_contact: Arc<PeerContactFunction>,
}

impl Default for LifecycleSettings {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for LifecycleSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("LifecycleSettings");
        debug
            .field("limits", &self.fence_limits)
            .field("pause", &self.pause_limit)
            .finish_non_exhaustive()
    }
}

impl LifecycleSettings {
    /// Creates settings with the default limits; any contact lifts a fence.
    pub fn new() -> Self {
        Self {
            fence_limits: FenceLimits::default(),
            pause_limit: PauseDetector::DEFAULT_LIMIT,
            caught_up: Arc::new(|| true),
            last_peer_contact: Arc::new(|| None),
        }
    }

    /// Replaces the time limits of fencing.
    #[must_use]
    pub fn with_fence_limits(mut self, fence_limits: FenceLimits) -> Self {
        self.fence_limits = fence_limits;
        self
    }

    /// Replaces the gap between clock readings beyond which a pause is detected.
    #[must_use]
    pub fn with_pause_limit(mut self, pause_limit: Duration) -> Self {
        self.pause_limit = pause_limit;
        self
    }

    /// Lifts a fence only while `caught_up` returns that the process holds the newest state it knows of.
    #[must_use]
    pub fn with_caught_up(mut self, caught_up: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        self.caught_up = Arc::new(caught_up);
        self
    }

    /// Polls `last_contact` for the time at which a message from a peer arrived last.
    #[must_use]
    pub fn with_peer_contact(
        mut self,
        last_contact: impl Fn() -> Option<Instant> + Send + Sync + 'static,
    ) -> Self {
        self.last_peer_contact = Arc::new(last_contact);
        self
    }
}
