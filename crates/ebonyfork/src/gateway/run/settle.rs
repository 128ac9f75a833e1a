//! Waits for upstreams that are not registered yet.
//!
//! After an outage of the store, entries that expired meanwhile return within about two seconds. A process that reads
//! the store during that time, as all processes do after a common power failure, knows only a few upstreams. A request
//! that these upstreams can't answer waits for the others if its deadline allows.

use std::time::Duration;

use super::QueryRun;
use crate::gateway::clock::now;

impl QueryRun {
    /// Waits until enough shards have an upstream, or no more can be expected in time.
    pub(super) async fn wait_for_upstreams(&self) {
        let registry = &self.context.core.registry;
        while let Some(settling_period) = registry.settling(now()) {
            if self.has_enough_upstreams() || settling_period.likely_by > self.request.finish_by {
                return;
            }
            let wait_end = settling_period.until.min(self.request.finish_by);
            let wait_end = tokio::time::Instant::from_std(wait_end);
            let new_entry = registry.wait_for_new_entry();
            if tokio::time::timeout_at(wait_end, new_entry).await.is_err() {
                return;
            }
        }
    }

    /// Returns the time until the first of the cold upstreams that could serve a shard is warm.
    pub(super) fn warm_up_left(&self) -> Option<Duration> {
        let current_time = now();
        let shards = 0..self.state.shards().len();
        let cold_upstreams = shards.flat_map(|shard| self.home_upstreams(shard));
        let cold_upstreams = cold_upstreams
            .filter(|upstream| upstream.takes_requests() && upstream.is_cold(current_time));
        let warm_at = cold_upstreams.map(|upstream| upstream.cold_until()).min()?;
        Some(warm_at.saturating_duration_since(current_time))
    }

    /// Returns after how long a request that lacks upstreams should be sent again, if more upstreams are about to be
    /// registered.
    pub(super) fn registration_left(&self) -> Option<Duration> {
        let current_time = now();
        let settling_period = self.context.core.registry.settling(current_time)?;
        Some(
            settling_period
                .until
                .saturating_duration_since(current_time),
        )
    }

    /// Returns whether enough shards have an upstream for an answer. Upstreams that are cold or in an evacuated
    /// availability zone count: no replacement will be registered because of that.
    fn has_enough_upstreams(&self) -> bool {
        let shards = 0..self.state.shards().len();
        let is_registered = |shard: &usize| {
            let candidates = self.home_upstreams(*shard);
            candidates.iter().any(|upstream| !upstream.is_leaving())
        };
        let unserved_shards = shards.filter(|shard| !is_registered(shard));
        unserved_shards.count() <= self.state.spare_shards()
    }

    /// Returns whether a shard has upstreams but none that may get the route's requests, because they are outside its
    /// home regions or in evacuated availability zones.
    pub(super) fn is_excluded(&self) -> bool {
        let is_shard_excluded = |shard: usize| {
            let listed_upstreams = self
                .context
                .core
                .registry
                .upstreams(self.target.service(shard));
            let mut staying_upstreams = listed_upstreams
                .iter()
                .filter(|upstream| !upstream.is_leaving());
            let home_upstreams = self.home_upstreams(shard);
            let has_home_upstream = home_upstreams
                .iter()
                .any(|upstream| upstream.takes_requests());
            staying_upstreams.next().is_some() && !has_home_upstream
        };
        (0..self.state.shards().len()).any(is_shard_excluded)
    }
}
