//! What an entry has learnt about one upstream, and the cost of sending it the next request.
//!
//! Two sources count: the entry's own outcomes, and the wait that the relay owning the upstream reports from its exact
//! queue. A wait report ages: the backlog behind it drains while nothing new is heard, and what this entry has submitted
//! since is added. Status endpoints play no part here, so that a server that lies about its load draws no traffic.
//!
//! A server that fails is avoided for a while that doubles with each further failure, then probed by one request.

use std::time::Duration;

use crate::relay::UpstreamLoad;

/// First time that a failed server is avoided.
const AVOID_FIRST: Duration = Duration::from_millis(100);
/// Longest time that a failed server is avoided before it is probed again.
const AVOID_LONGEST: Duration = Duration::from_secs(5);
/// Time that a server is avoided after it shed a request.
const SHED_AVOID: Duration = Duration::from_millis(20);
/// A probe without an outcome for this long allows the next.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Overdue attempts in a row after which a server that is silent counts as failed.
const OVERDUE_LIMIT: u32 = 3;
/// A server is silent when nothing has come from it for this many service times.
const SILENT_SERVICES: u32 = 8;
/// A server is not silent before this time.
const SILENT_LEAST: Duration = Duration::from_millis(100);
/// Service time assumed of a server that nothing is known of.
const SERVICE_PRIOR: Duration = Duration::from_millis(10);
/// Time in which a learnt service time loses half of its excess over the prior while nothing new is heard.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of a new service time against the learnt one: one in this many.
const SERVICE_WEIGHT: u32 = 8;

/// Whether a server may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStanding {
    /// It works, as far as known.
    Healthy,
    /// It has failed, and it is time to probe it.
    ProbeDue,
    /// It has failed lately: only used when there is no other.
    Avoided,
}

/// What is known of one upstream.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    wait: Duration,
    /// When that wait was reported.
    reported: Duration,
    /// When anything last came from the server.
    heard: Duration,
    submitted: u32,
    service: Option<Duration>,
    limit: u16,
    leaving: bool,
    strikes: u32,
    overdue: u32,
    avoid_until: Duration,
    probed: Option<Duration>,
}

impl ReplicaHealth {
    /// Takes in the load that the owning relay reports.
    pub fn report(&mut self, now: Duration, load: &UpstreamLoad) {
        self.wait = Duration::from_micros(load.wait_us.into());
        self.reported = now;
        self.submitted = 0;
        self.limit = load.limit;
        self.leaving = load.leaving;
        if load.service_us > 0 {
            self.service = Some(Duration::from_micros(load.service_us.into()));
        }
    }

    /// Notes that this entry has submitted a request.
    pub fn submit(&mut self, now: Duration) {
        self.submitted += 1;
        if self.strikes > 0 {
            self.probed = Some(now);
        }
    }

    /// Takes back a [`ReplicaHealth::submit`] of a request that is not sent after all.
    pub fn withdraw(&mut self) {
        self.submitted = self.submitted.saturating_sub(1);
        self.probed = None;
    }

    /// Notes that a submitted request is no longer wanted: it tells nothing of the server.
    pub fn cancel(&mut self) {
        self.submitted = self.submitted.saturating_sub(1);
    }

    /// Notes that a submitted request has come back, whatever its outcome.
    pub fn settle(&mut self, now: Duration) {
        self.heard = now;
        self.overdue = 0;
        self.submitted = self.submitted.saturating_sub(1);
    }

    /// Notes rows, with the time that the upstream took for them.
    pub fn succeed(&mut self, served: Duration) {
        let learnt = self.service.unwrap_or(served);
        let blended = (learnt * (SERVICE_WEIGHT - 1) + served) / SERVICE_WEIGHT;
        self.service = Some(blended);
        self.strikes = 0;
        self.probed = None;
    }

    /// Notes a failure: the server is avoided, longer each time.
    pub fn fail(&mut self, now: Duration) {
        let doublings = self.strikes.min(10);
        let pause = (AVOID_FIRST * (1 << doublings)).min(AVOID_LONGEST);
        self.strikes += 1;
        self.avoid_until = now + pause;
        self.probed = None;
    }

    /// Notes that the server shed a request: it is avoided for a moment.
    pub fn shed(&mut self, now: Duration) {
        self.strikes = self.strikes.max(1);
        self.avoid_until = self.avoid_until.max(now + SHED_AVOID);
        self.probed = None;
    }

    /// Notes that an attempt has been out for too long; several in a row count as a failure if nothing else came from
    /// the server meanwhile. One that is merely slow goes on answering, and its wait says enough.
    pub fn overdue(&mut self, now: Duration) {
        self.overdue += 1;
        let silent = now.saturating_sub(self.heard);
        let limit = (self.service(now) * SILENT_SERVICES).max(SILENT_LEAST);
        if self.overdue >= OVERDUE_LIMIT && silent >= limit {
            self.overdue = 0;
            self.fail(now);
        }
    }

    /// Tells whether the relay has said that the server leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the concurrency limit that the relay last reported; at least one.
    pub fn limit(&self) -> u16 {
        self.limit.max(1)
    }

    /// Tells whether the server may be chosen at `now`.
    pub fn standing(&self, now: Duration) -> ReplicaStanding {
        if self.strikes == 0 {
            return ReplicaStanding::Healthy;
        }
        let probing = self.probed.is_some_and(|sent| now < sent + PROBE_TIMEOUT);
        if now < self.avoid_until || probing {
            ReplicaStanding::Avoided
        } else {
            ReplicaStanding::ProbeDue
        }
    }

    /// When an avoided server is to be probed.
    pub fn avoid_until(&self) -> Duration {
        self.avoid_until
    }

    /// The time that the upstream is expected to take for one request.
    pub fn service(&self, now: Duration) -> Duration {
        let Some(service) = self.service else {
            return SERVICE_PRIOR;
        };
        let Some(excess) = service.checked_sub(SERVICE_PRIOR) else {
            return service;
        };
        let age = now.saturating_sub(self.heard);
        if age < SERVICE_HALF_LIFE / 4 {
            return service;
        }
        let halvings = age.as_secs_f64() / SERVICE_HALF_LIFE.as_secs_f64();
        SERVICE_PRIOR + excess.mul_f64(0.5_f64.powf(halvings))
    }

    /// The time that a request submitted now is expected to wait at the relay.
    pub fn wait(&self, now: Duration) -> Duration {
        let drained = self.wait.saturating_sub(now.saturating_sub(self.reported));
        let own = self.service(now) * self.submitted / u32::from(self.limit());
        let free = u32::from(self.limit());
        if self.submitted < free && drained.is_zero() {
            return Duration::ZERO;
        }
        drained + own
    }
}
