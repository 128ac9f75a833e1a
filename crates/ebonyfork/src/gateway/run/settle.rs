//! Waits for upstreams that are not registered yet.
//!
//! After an outage of the store, entries that expired meanwhile return within about two seconds. A process that reads
//! the store during that time, as all processes do after a common power failure, knows only a few upstreams. A request
//! that those can't answer waits for the others if its deadline allows.

use std::time::Duration;

use super::QueryRun;
use crate::gateway::clock::now;

impl QueryRun {
    /// Waits until enough shards have an upstream, or no more can be expected in time.
    pub(super) async fn wait_for_upstreams(&self) {
        let registry = &self.context.core.registry;
        while let Some(settling) = registry.settling(now()) {
            if self.has_enough_upstreams() || settling.likely_by > self.request.finish_by {
                return;
            }
            let until = settling.until.min(self.request.finish_by);
            let until = tokio::time::Instant::from_std(until);
            let changed = registry.wait_for_new_entry();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    /// Returns the time until the first cold upstream that could serve a shard is warm.
    pub(super) fn warm_up_left(&self) -> Option<Duration> {
        let time = now();
        let shards = 0..self.state.shards().len();
        let cold = shards.flat_map(|shard| self.home_upstreams(shard));
        let cold = cold.filter(|upstream| upstream.takes_requests() && upstream.is_cold(time));
        let until = cold.map(|upstream| upstream.cold_until()).min()?;
        Some(until.saturating_duration_since(time))
    }

    /// Returns after how long a request without upstreams should be sent again, if more of them are about to be
    /// registered.
    pub(super) fn registration_left(&self) -> Option<Duration> {
        let time = now();
        let settling = self.context.core.registry.settling(time)?;
        Some(settling.until.saturating_duration_since(time))
    }

    /// Returns whether enough shards have an upstream for an answer. Upstreams that are cold or in an evacuated
    /// availability zone count: no replacement will be registered because of that.
    fn has_enough_upstreams(&self) -> bool {
        let shards = 0..self.state.shards().len();
        let registered = |shard: &usize| {
            let candidates = self.home_upstreams(*shard);
            candidates.iter().any(|upstream| !upstream.is_leaving())
        };
        let lacking = shards.filter(|shard| !registered(shard));
        lacking.count() <= self.state.spare_shards()
    }

    /// Returns whether a shard has upstreams but none that may get the route's requests, because they are outside its
    /// home regions or in evacuated availability zones.
    pub(super) fn is_excluded(&self) -> bool {
        let excluded = |shard: usize| {
            let listed = self
                .context
                .core
                .registry
                .upstreams(self.target.service(shard));
            let mut staying = listed.iter().filter(|upstream| !upstream.is_leaving());
            let served = self.home_upstreams(shard);
            let served = served.iter().any(|upstream| upstream.takes_requests());
            staying.next().is_some() && !served
        };
        (0..self.state.shards().len()).any(excluded)
    }
}
