//! What the lifecycle needs to know.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::lifecycle::fence::FenceLimits;
use crate::lifecycle::pause::PauseDetector;

type CheckFunction = dyn Fn() -> bool + Send + Sync;
type ContactFunction = dyn Fn() -> Option<Instant> + Send + Sync;

/// Limits of fencing, and where the lifecycle looks.
#[derive(Clone)]
pub struct LifecycleSettings {
    pub(super) limits: FenceLimits,
    pub(super) pause: Duration,
    pub(super) caught_up: Arc<CheckFunction>,
    pub(super) peer_contact: Arc<ContactFunction>,
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
            .field("limits", &self.limits)
            .field("pause", &self.pause)
            .finish_non_exhaustive()
    }
}

impl LifecycleSettings {
    /// The usual limits; any word lifts a fence.
    pub fn new() -> Self {
        Self {
            limits: FenceLimits::default(),
            pause: PauseDetector::LIMIT,
            caught_up: Arc::new(|| true),
            peer_contact: Arc::new(|| None),
        }
    }

    /// Replaces the limits of fencing.
    #[must_use]
    pub fn with_limits(mut self, limits: FenceLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Replaces the gap that counts as a pause.
    #[must_use]
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Lifts a fence only while `caught_up` says that nothing newer is known than is held.
    #[must_use]
    pub fn with_caught_up(mut self, caught_up: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        self.caught_up = Arc::new(caught_up);
        self
    }

    /// Asks `contact` at each look when a peer was last heard.
    #[must_use]
    pub fn with_peer_contact(
        mut self,
        contact: impl Fn() -> Option<Instant> + Send + Sync + 'static,
    ) -> Self {
        self.peer_contact = Arc::new(contact);
        self
    }
}
