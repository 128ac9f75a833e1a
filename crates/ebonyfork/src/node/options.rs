//! Options of a node that are set in code instead of the settings file.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::ident::VmAddress;

/// Returns the simulated one-way delay to a VM.
pub(super) type DelayFunction = dyn Fn(VmAddress) -> Duration + Send + Sync;

/// Options of a node; the daemon uses the defaults.
#[derive(Clone)]
pub struct NodeOptions {
    pub(super) link_delay: Arc<DelayFunction>,
    /// Cancelled to cut a planned stop short.
    pub(super) hurry: CancellationToken,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            link_delay: Arc::new(|_vm| Duration::ZERO),
            hurry: CancellationToken::new(),
        }
    }
}

impl fmt::Debug for NodeOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeOptions")
            .field("hurry", &self.hurry)
            .finish_non_exhaustive()
    }
}

impl NodeOptions {
    /// Creates options without simulated delays.
    pub fn new() -> Self {
        Self::default()
    }

    /// Delays the traffic to each VM by a one-way delay, to simulate network distance. Only the lab uses this.
    #[must_use]
    pub fn with_link_delay(
        mut self,
        delay: impl Fn(VmAddress) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.link_delay = Arc::new(delay);
        self
    }

    /// Cuts a planned stop short once `hurry` is cancelled: work still in flight is abandoned and answered as such.
    #[must_use]
    pub fn with_hurry(mut self, hurry: CancellationToken) -> Self {
        self.hurry = hurry;
        self
    }
}
