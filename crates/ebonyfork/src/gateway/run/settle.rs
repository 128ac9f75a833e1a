//! A request whose upstreams are not registered yet.
//!
//! After an outage of the store entries that lapsed come back within about two seconds. A process that reads the store
//! meanwhile, as all do when they lost power together, knows a few upstreams only. A request that could not be answered
//! with those waits for the others, as far as it has the time.

use std::time::Duration;

use super::QueryRun;
use crate::gateway::clock::now;

impl QueryRun {
    /// Returns once enough shards have an upstream, or no more can be expected in time.
    pub(super) async fn await_upstreams(&self) {
        let registry = &self.context.core.registry;
        while let Some(settling) = registry.settling(now()) {
            if self.suffices() || settling.likely > self.request.finish_by {
                return;
            }
            let until = settling.until.min(self.request.finish_by);
            let until = tokio::time::Instant::from_std(until);
            let changed = registry.wait_change();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    /// When a request that lacks upstreams should come again, if more of them are about to be registered.
    pub(super) fn settles_in(&self) -> Option<Duration> {
        let time = now();
        let settling = self.context.core.registry.settling(time)?;
        Some(settling.until.saturating_duration_since(time))
    }

    /// Whether enough shards have an upstream for an answer.
    fn suffices(&self) -> bool {
        let registry = &self.context.core.registry;
        let shards = 0..self.state.shards().len();
        let lacking = shards.filter(|shard| !registry.serves(self.target.service(*shard)));
        lacking.count() <= self.state.surplus()
    }
}
