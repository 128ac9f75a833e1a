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
            let changed = registry.wait_for_new_entry();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    /// When the first of the upstreams is warm that could serve a shard if they were.
    pub(super) fn warms_in(&self) -> Option<Duration> {
        let time = now();
        let shards = 0..self.state.shards().len();
        let cold = shards.flat_map(|shard| self.at_home(shard));
        let cold = cold.filter(|upstream| upstream.takes_requests() && upstream.is_cold(time));
        let until = cold.map(|upstream| upstream.cold_until()).min()?;
        Some(until.saturating_duration_since(time))
    }

    /// When a request that lacks upstreams should come again, if more of them are about to be registered.
    pub(super) fn settles_in(&self) -> Option<Duration> {
        let time = now();
        let settling = self.context.core.registry.settling(time)?;
        Some(settling.until.saturating_duration_since(time))
    }

    /// Whether enough shards have an upstream for an answer. One that is cold or in an evacuated availability zone
    /// counts: no other is on its way because of that.
    fn suffices(&self) -> bool {
        let shards = 0..self.state.shards().len();
        let registered = |shard: &usize| {
            let candidates = self.at_home(*shard);
            candidates.iter().any(|upstream| !upstream.is_leaving())
        };
        let lacking = shards.filter(|shard| !registered(shard));
        lacking.count() <= self.state.surplus()
    }

    /// Whether a shard has upstreams, but none that may get the route's requests: they are outside its home regions or in
    /// evacuated availability zones.
    pub(super) fn is_excluded(&self) -> bool {
        let excluded = |shard: usize| {
            let listed = self
                .context
                .core
                .registry
                .upstreams(self.target.service(shard));
            let mut staying = listed.iter().filter(|upstream| !upstream.is_leaving());
            let served = self.at_home(shard);
            let served = served.iter().any(|upstream| upstream.takes_requests());
            staying.next().is_some() && !served
        };
        (0..self.state.shards().len()).any(excluded)
    }
}
