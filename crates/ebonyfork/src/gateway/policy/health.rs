//! Health of one upstream, estimated from this process's own requests. Health checks are not used, because their
//! results are late and can be wrong. The slowness of an attempt is its time divided by the usual time of such
//! attempts.
//!
//! A pausing upstream and a slow one look alike at first. One late answer, or several late answers to overlapping
//! attempts, may be caused by a pause. A late answer to an attempt that began after the previous late answer shows that
//! the upstream is slow. A pause in progress shows in the age of the attempts in flight.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::latency::millis;
use super::load_report::{AgedReport, LoadReport};
use super::speed_advice::{AdviceUse, SpeedChange, SpeedView};

/// Weight of a new sample in the moving averages of slowness and success.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a sample that shows a slow upstream. It exceeds [`SAMPLE_WEIGHT`] so that two queries, instead of five,
/// are slowed down before the upstream is recognised as slow.
const SLOW_WEIGHT: f64 = 0.6;
/// Half-life of the estimate for an upstream that gets no requests. Slow phases last some seconds; probes detect
/// earlier that a slow phase has ended.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// Multiple of the usual time from which an answer counts as late.
const LATE_FACTOR: f64 = 3.0;
/// Slowness assumed after a late answer that may be due to a pause.
const PAUSE_SLOWNESS: f64 = 1.5;
/// Upper limit for the slowness of one sample.
const SLOWNESS_LIMIT: f64 = 20.0;
/// Time for which an upstream gets no new requests after the first failure to connect to it; doubles with each further
/// failure.
const EJECTION_MIN: Duration = Duration::from_millis(200);
/// Longest time for which an upstream gets no new requests after failures to connect: upstreams return after some
/// seconds.
const EJECTION_MAX: Duration = Duration::from_secs(2);
/// Time without a failure to connect after which the next one no longer continues a period of failures, in addition to
/// the time for which the upstream was assumed to be unreachable. Longer than the time between two requests to a shard
/// on a VM with little traffic.
const MAX_FAILURE_GAP: Duration = Duration::from_millis(500);
/// Lower limit for the slowness of an upstream that has just started, while it is cold.
const COLD_SLOWNESS: f64 = 1.6;
/// Time for which an upstream is avoided after a VM in its zone advised against it: as long as several pauses, but
/// shorter than a slow phase.
const ADVICE_DURATION: Duration = Duration::from_millis(500);
/// Minimum time between two probes of an avoided upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Health estimate of one upstream. The caller passes in the current time.
#[derive(Debug, Clone)]
pub struct UpstreamHealth {
    /// Moving average of the slowness of attempts.
    slowness: f64,
    /// Moving average of the fraction of attempts that were answered.
    success_rate: f64,
    /// Time up to which the averages have decayed.
    last_update: Instant,
    /// Time until which the upstream is assumed to be cold.
    cold_until: Instant,
    /// Time until which the upstream gets no requests.
    ejected_until: Option<Instant>,
    /// Number of consecutive failures to connect.
    connect_failures: u32,
    /// Times of the first and the last failure to connect since the upstream was last known to be alive.
    unreachable_period: Option<(Instant, Instant)>,
    /// Time of the first late answer since the last answer in time.
    late_since: Option<Instant>,
    /// Time of the last request, including probes.
    last_request: Instant,
    /// Start times of the attempts in flight.
    in_flight: SmallVec<[Instant; 8]>,
    /// Latest load report from the upstream.
    report: Option<AgedReport>,
    /// Evidence and advice that the VMs of the zone share.
    speed: SpeedView,
}

impl UpstreamHealth {
    /// Creates the estimate for an unknown upstream that is cold for `cold_time` from now.
    pub fn new(now: Instant, cold_time: Duration) -> Self {
        Self {
            slowness: 1.0,
            success_rate: 1.0,
            last_update: now,
            cold_until: now + cold_time,
            ejected_until: None,
            connect_failures: 0,
            unreachable_period: None,
            late_since: None,
            last_request: now,
            in_flight: SmallVec::new(),
            report: None,
            speed: SpeedView::default(),
        }
    }

    /// Returns the factor by which deviations from the default have decayed since the last update.
    fn retention(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.last_update);
        0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Decays the averages towards their defaults, a slowness and a success rate of 1.
    fn decay(&mut self, now: Instant) {
        let retention = self.retention(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * retention;
        self.success_rate = 1.0 - (1.0 - self.success_rate) * retention;
        self.last_update = self.last_update.max(now);
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now: Instant) {
        self.last_request = self.last_request.max(now);
        self.in_flight.push(now);
    }

    /// Removes the attempt that began at `began` from those in flight.
    fn remove_in_flight(&mut self, began: Instant) {
        if let Some(index) = self.in_flight.iter().position(|start| *start == began) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Records an answer; `slowness` is the attempt's time divided by the usual one.
    pub fn record_answer(&mut self, began: Instant, now: Instant, slowness: f64) {
        self.remove_in_flight(began);
        self.decay(now);
        self.success_rate += (1.0 - self.success_rate) * SAMPLE_WEIGHT;
        self.connect_failures = 0;
        self.ejected_until = None;
        self.unreachable_period = None;
        self.record_slowness(began, now, slowness);
    }

    /// Updates the slowness, distinguishing pauses from a slow upstream as described for the module.
    fn record_slowness(&mut self, began: Instant, now: Instant, slowness: f64) {
        if slowness < LATE_FACTOR {
            self.slowness += (slowness - self.slowness) * SAMPLE_WEIGHT;
            self.late_since = None;
            return;
        }
        let first_late_answer = *self.late_since.get_or_insert(now);
        if began >= first_late_answer {
            let slowness = slowness.min(SLOWNESS_LIMIT);
            self.slowness += (slowness - self.slowness) * SLOW_WEIGHT;
        } else {
            self.slowness = self.slowness.max(PAUSE_SLOWNESS);
        }
    }

    /// Stores a load report from the upstream.
    pub fn record_load(&mut self, report: LoadReport, now: Instant) {
        self.report = Some(AgedReport {
            report,
            arrived_at: now,
        });
    }

    /// Records that an attempt was declined, or failed after it was sent.
    pub fn record_failure(&mut self, began: Instant, now: Instant) {
        self.remove_in_flight(began);
        self.decay(now);
        self.success_rate -= self.success_rate * SAMPLE_WEIGHT;
    }

    /// Records a failure to connect: the upstream gets no requests for a time that grows with each consecutive failure.
    pub fn record_unreachable(&mut self, began: Instant, now: Instant) {
        const MAX_DOUBLINGS: u32 = 6;
        self.record_failure(began, now);
        let ejection = EJECTION_MIN * (1 << self.connect_failures.min(MAX_DOUBLINGS));
        self.ejected_until = Some(now + ejection.min(EJECTION_MAX));
        self.connect_failures += 1;
        self.extend_unreachable_period(now);
    }

    /// Adds a failure to connect to the period of failures, or begins a new one if the upstream was not tried for a
    /// while, in which it may have been reachable.
    fn extend_unreachable_period(&mut self, now: Instant) {
        let recent_period = self
            .unreachable_period
            .filter(|(first_failure, last_failure)| {
                let failing_time = last_failure.saturating_duration_since(*first_failure);
                now <= *last_failure + failing_time + MAX_FAILURE_GAP
            });
        let first_failure = recent_period.map_or(now, |(first_failure, _last)| first_failure);
        self.unreachable_period = Some((first_failure, now));
    }

    /// Records that the upstream has updated its entry, so that it is alive: its connections may be restored at any
    /// time.
    pub fn record_heartbeat(&mut self) {
        self.unreachable_period = None;
    }

    /// Records that an attempt was abandoned; `slowness` is its time so far divided by the usual one.
    pub fn record_abandoned(&mut self, began: Instant, now: Instant, slowness: f64) {
        self.remove_in_flight(began);
        if slowness <= self.slowness.max(LATE_FACTOR) {
            return;
        }
        self.decay(now);
        self.record_slowness(began, now, slowness);
    }

    /// Avoids the upstream for a short time because a VM in its zone advised against it. That VM keeps observing the
    /// upstream, so the advice needn't be remembered for longer.
    pub fn record_avoid_advice(&mut self, now: Instant) {
        let advised_until = now + ADVICE_DURATION;
        self.ejected_until = Some(self.ejected_until.map_or(advised_until, |ejected_until| {
            ejected_until.max(advised_until)
        }));
    }

    /// Records the time of an answer as evidence for the other VMs of the zone; see [`SpeedView::record_answer`].
    pub fn record_speed(
        &mut self,
        sent_at: Instant,
        now: Instant,
        slowness: f64,
    ) -> Option<SpeedChange> {
        self.speed.record_answer(sent_at, now, slowness)
    }

    /// Handles a change of speed that another VM has reported. It affects only the expected time: the averages of this
    /// VM's own attempts stay as they are, so the advice is not passed on and leaves no trace when it ends.
    pub fn receive_speed(&mut self, change: SpeedChange, now: Instant) -> AdviceUse {
        self.speed.receive(change, now)
    }

    /// Records that an attempt was abandoned before it was sent.
    pub fn record_unsent(&mut self, began: Instant) {
        self.remove_in_flight(began);
    }

    /// Returns the age of the oldest attempt in flight, or zero if there is none.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let oldest_start = self.in_flight.iter().min();
        oldest_start.map_or(Duration::ZERO, |began| {
            now.saturating_duration_since(*began)
        })
    }

    /// Returns whether the upstream gets no requests for now, because it couldn't be reached or a VM in its zone
    /// advised against it.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the time until which the upstream is assumed to be unreachable: for as long again as all attempts to
    /// connect to it have failed, but not after it is tried again. The number of failures is no evidence, because
    /// several attempts fail together. Advice from another VM isn't either: it may be about a pause.
    pub fn unreachable_until(&self, now: Instant) -> Option<Instant> {
        let (first_failure, last_failure) = self.unreachable_period?;
        let failing_time = last_failure.saturating_duration_since(first_failure);
        let until = (last_failure + failing_time).min(self.ejected_until?);
        (now < until).then_some(until)
    }

    /// Returns the latest load report from the upstream.
    pub fn load_report(&self) -> Option<&AgedReport> {
        self.report.as_ref()
    }

    /// Returns whether one request should be sent to find out if an avoided upstream has recovered.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        let idle_long_enough = now.saturating_duration_since(self.last_request) >= PROBE_INTERVAL;
        idle_long_enough && self.in_flight.is_empty() && !self.is_ejected(now)
    }

    /// Returns the fraction of attempts that were answered, after decay.
    pub fn success_rate(&self, now: Instant) -> f64 {
        1.0 - (1.0 - self.success_rate) * self.retention(now)
    }

    /// Returns whether the upstream, which was not slow, has stopped answering.
    pub fn is_pausing(&self, now: Instant, usual_ms: f64) -> bool {
        self.slowness < PAUSE_SLOWNESS && millis(self.oldest_age(now)) > usual_ms * LATE_FACTOR
    }

    /// Returns the expected time of an attempt in milliseconds. `usual_ms` is the usual time of such attempts; the
    /// upstream runs `slots` of them in parallel.
    pub fn expected_ms(&self, now: Instant, usual_ms: f64, slots: usize) -> f64 {
        /// Lower limit for the success rate in the calculation, so that an upstream that never answers isn't excluded
        /// for good.
        const MIN_SUCCESS: f64 = 0.05;
        let mut decayed_health = self.clone();
        decayed_health.decay(now);
        let cold_slowness = if now < self.cold_until {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let mut queued_per_slot = self.in_flight.len() as f64 / slots.max(1) as f64;
        let mut slowness = decayed_health.slowness.max(cold_slowness);
        if let Some(advised_slowness) = self.speed.advised_slowness(now) {
            slowness = slowness.max(advised_slowness);
        }
        if let Some(aged_report) = &self.report {
            let weight = aged_report.weight(now);
            slowness += (aged_report.report.slowness() - slowness) * weight;
            queued_per_slot += (aged_report.report.queued() - queued_per_slot).max(0.0) * weight;
        }
        let service_ms = usual_ms * slowness;
        let expected_ms =
            service_ms * (1.0 + queued_per_slot) / decayed_health.success_rate.max(MIN_SUCCESS);
        let oldest_ms = millis(self.oldest_age(now));
        if oldest_ms > service_ms * LATE_FACTOR {
            // A pause is likely to last as long again as it has lasted already.
            return expected_ms + oldest_ms;
        }
        expected_ms
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
