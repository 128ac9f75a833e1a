//! Refuses a query that can't be answered before anything is sent. The decision is in
//! [`crate::gateway::policy::hopeless`].

use std::time::{Duration, Instant};

use super::QueryRun;
use crate::gateway::clock::now;
use crate::gateway::policy::hopeless::{
    HopelessQuery, ReturnPriority, ShardOutlook, UpstreamOutlook, check_hopeless, earliest_answer,
};
use crate::gateway::upstream::Upstream;

/// Quantile of the measured times below which an answer is rare.
const SHORT_QUANTILE: f64 = 0.05;
/// Fraction of that quantile that is taken as the shortest time of an answer: a bucket of the histogram covers a fifth,
/// and a few answers are faster than the quantile.
const SHORTEST_FRACTION: f64 = 0.5;

impl QueryRun {
    /// Ends the query if it can't be answered. Returns whether it did.
    ///
    /// Applies only to configurations with organisations: elsewhere such queries are tried as long as they last.
    pub(super) fn refuse_hopeless(&mut self) -> bool {
        if !self.has_organisations() || self.is_excluded() {
            return false;
        }
        let current_time = now();
        let deadline = self.request.finish_by;
        let outlooks: Vec<_> = (0..self.state.shards().len())
            .map(|shard| self.shard_outlook(shard, deadline, current_time))
            .collect();
        let spare_count = self.state.spare_shards();
        let Some(query) = check_hopeless(outlooks.iter().copied(), spare_count, current_time)
        else {
            return false;
        };
        for (shard, outlook) in outlooks.iter().enumerate() {
            if *outlook != ShardOutlook::Possible {
                self.state.fail(shard);
            }
        }
        self.schedule_return(&query);
        true
    }

    /// Returns whether the configuration in force has organisations.
    fn has_organisations(&self) -> bool {
        let table = self.context.core.table();
        table.is_some_and(|table| table.organisations().is_some())
    }

    fn shard_outlook(
        &self,
        shard: usize,
        deadline: Instant,
        current_time: Instant,
    ) -> ShardOutlook {
        let core = &self.context.core;
        let upstreams = self.home_upstreams(shard);
        let usable_upstreams = upstreams
            .iter()
            .filter(|upstream| upstream.takes_requests());
        let outlooks =
            usable_upstreams.map(|upstream| self.upstream_outlook(upstream, current_time));
        let may_register = core.registry.settling(current_time).is_some();
        ShardOutlook::new(outlooks, may_register, deadline)
    }

    fn upstream_outlook(&self, upstream: &Upstream, current_time: Instant) -> UpstreamOutlook {
        let core = &self.context.core;
        let is_withheld = !core.allows_cold_send(upstream);
        let health = upstream.health.borrow();
        let report = health.load_report();
        UpstreamOutlook {
            withheld_until: is_withheld.then(|| upstream.cold_until()),
            unreachable_until: health.unreachable_until(current_time),
            earliest_answer: report.and_then(|aged_report| {
                let report = &aged_report.report;
                let waiting_per_slot = f64::from(report.waiting) / f64::from(report.slots);
                let reported_at = aged_report.arrived_at;
                let shortest_time = self.shortest_time(upstream);
                earliest_answer(waiting_per_slot, reported_at, shortest_time, current_time)
            }),
        }
    }

    /// Returns a time within which no upstream answers a request of the route.
    fn shortest_time(&self, upstream: &Upstream) -> Duration {
        let distance = self
            .context
            .core
            .settings
            .place
            .distance(&upstream.entry().zone);
        let latency = self.context.latency.borrow();
        let histogram = latency.histogram(latency.fastest(distance));
        Duration::from_secs_f64(histogram.quantile(SHORT_QUANTILE) / 1_000.0)
            .mul_f64(SHORTEST_FRACTION)
    }

    /// Determines when the caller should return, and logs the refusal.
    fn schedule_return(&mut self, query: &HopelessQuery) {
        let core = &self.context.core;
        let priority = ReturnPriority {
            organisation: self.organisation_priority(),
            route: self.route.priority,
        };
        let delay = core.return_spread.borrow_mut().next_delay(priority);
        let wait = query.back_after + delay;
        self.hopeless_return = Some(wait);
        let missing_shards = &core.metrics.fairness.hopeless_shards;
        missing_shards.inc_by(query.missing_count as u64);
        log::info!(
            target: "ebonyfork::decision",
            "hopeless request={} organisation={} missing={}/{} back_ms={} retry_after_ms={}",
            self.request.id.to_str().unwrap_or("-"),
            self.request.organisation.as_ref().map_or("-", |name| name.as_str()),
            query.missing_count,
            self.state.shards().len(),
            query.back_after.as_millis(),
            wait.as_millis()
        );
    }

    /// Returns the priority of the organisation on whose behalf the request is made.
    pub(super) fn organisation_priority(&self) -> Option<u8> {
        let table = self.context.core.table()?;
        let name = self.request.organisation.as_ref()?;
        table.organisations()?.named(name)?.priority
    }
}

#[cfg(test)]
#[path = "hopeless_tests.rs"]
mod tests;
