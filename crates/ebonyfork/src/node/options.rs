//! What the one who starts a node may vary beyond its settings.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::ident::VmAddress;

pub(super) type DelayFunction = dyn Fn(VmAddress) -> Duration + Send + Sync;

/// Options of a node; the daemon uses the defaults.
#[derive(Clone)]
pub struct NodeOptions {
    pub(super) link_delay: Arc<DelayFunction>,
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
    /// Options without delays.
    pub fn new() -> Self {
        Self::default()
    }

    /// Delays what is sent to each VM, one way, as distance would. Only the measuring tool does this.
    #[must_use]
    pub fn with_link_delay(
        mut self,
        delay: impl Fn(VmAddress) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.link_delay = Arc::new(delay);
        self
    }

    /// Cuts a planned stop short once `hurry` is cancelled: what is still in flight is given up and answered truthfully.
    #[must_use]
    pub fn with_hurry(mut self, hurry: CancellationToken) -> Self {
        self.hurry = hurry;
        self
    }
}
