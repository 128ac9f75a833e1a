//! What a process has learnt about one upstream from its own requests. Status checks are never asked: they lag and lie.
//!
//! Two things look alike at first: an upstream that pauses for a moment and one that has turned slow. One late answer,
//! or several that were out side by side, may be a pause; a late answer to an attempt that was begun after the last late
//! one had ended shows a slow upstream. A pause shows while it lasts, by the attempts that are out.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::latency::millis;
use super::load_report::{AgedReport, LoadReport};

/// Weight of a new sample against what is known.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a sample that shows a slow upstream: two queries pay for learning it, not five.
const SLOW_WEIGHT: f64 = 0.6;
/// Time after which half of what is known about an upstream that got no requests is forgotten. Slow phases last some
/// seconds; probes find out sooner that one has passed.
const MEMORY: Duration = Duration::from_secs(6);
/// Time over the usual one from which an answer counts as late.
const LATE: f64 = 3.0;
/// Slowness taken from a late answer that may be due to a pause.
const PAUSE_SLOWNESS: f64 = 1.5;
/// Largest slowness taken from one sample.
const SLOWNESS_LIMIT: f64 = 20.0;
/// Shortest time without new requests after a connection could not be made.
const EJECTION_FIRST: Duration = Duration::from_millis(200);
/// Longest such time: upstreams come back after some seconds.
const EJECTION_LONGEST: Duration = Duration::from_secs(2);
/// Slowness of an upstream that has just started, until its own samples tell.
const COLD_SLOWNESS: f64 = 1.6;
/// How long an upstream is avoided that the VM beside it advises against: some pauses, less than a slow phase.
const ADVICE_TIME: Duration = Duration::from_millis(500);
/// Time between two probes of an upstream that is avoided.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// What is known about one upstream. Times are given by the caller.
#[derive(Debug, Clone)]
pub struct UpstreamHealth {
    /// Time of an attempt over the usual time of such attempts.
    slowness: f64,
    /// Share of the attempts that were answered.
    success: f64,
    updated: Instant,
    cold_until: Instant,
    ejected_until: Option<Instant>,
    strikes: u32,
    /// When the first late answer came since the last one in time.
    late_since: Option<Instant>,
    /// When it was last probed or got an ordinary request.
    used: Instant,
    /// When each attempt that is out was begun.
    out: SmallVec<[Instant; 8]>,
    /// What it has last said of its load.
    report: Option<AgedReport>,
}

impl UpstreamHealth {
    /// An upstream of which nothing is known; it is slow for `cold` from now.
    pub fn new(now: Instant, cold: Duration) -> Self {
        Self {
            slowness: 1.0,
            success: 1.0,
            updated: now,
            cold_until: now + cold,
            ejected_until: None,
            strikes: 0,
            late_since: None,
            used: now,
            out: SmallVec::new(),
            report: None,
        }
    }

    /// Share of what is known that is still remembered.
    fn kept(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated);
        0.5_f64.powf(passed.as_secs_f64() / MEMORY.as_secs_f64())
    }

    /// Forgets with time what is known.
    fn age(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.success = 1.0 - (1.0 - self.success) * kept;
        self.updated = self.updated.max(now);
    }

    /// An attempt is begun.
    pub fn begin(&mut self, now: Instant) {
        self.used = self.used.max(now);
        self.out.push(now);
    }

    /// The attempt begun at `began` is out no longer.
    fn end(&mut self, began: Instant) {
        if let Some(place) = self.out.iter().position(|out| *out == began) {
            self.out.swap_remove(place);
        }
    }

    /// An attempt was answered; `slowness` is its time over the usual one.
    pub fn note_answer(&mut self, began: Instant, now: Instant, slowness: f64) {
        self.end(began);
        self.age(now);
        self.success += (1.0 - self.success) * SAMPLE_WEIGHT;
        self.strikes = 0;
        self.ejected_until = None;
        self.learn(began, now, slowness);
    }

    fn learn(&mut self, began: Instant, now: Instant, slowness: f64) {
        if slowness < LATE {
            self.slowness += (slowness - self.slowness) * SAMPLE_WEIGHT;
            self.late_since = None;
            return;
        }
        let since = *self.late_since.get_or_insert(now);
        if began >= since {
            let slowness = slowness.min(SLOWNESS_LIMIT);
            self.slowness += (slowness - self.slowness) * SLOW_WEIGHT;
        } else {
            self.slowness = self.slowness.max(PAUSE_SLOWNESS);
        }
    }

    /// The upstream has said how busy it is.
    pub fn note_load(&mut self, report: LoadReport, now: Instant) {
        self.report = Some(AgedReport { report, at: now });
    }

    /// An attempt was declined, or failed after it was sent.
    pub fn note_failure(&mut self, began: Instant, now: Instant) {
        self.end(began);
        self.age(now);
        self.success -= self.success * SAMPLE_WEIGHT;
    }

    /// No connection could be made: no requests for a while, longer each time.
    pub fn note_unreachable(&mut self, began: Instant, now: Instant) {
        const MOST_DOUBLINGS: u32 = 6;
        self.note_failure(began, now);
        let wait = EJECTION_FIRST * (1 << self.strikes.min(MOST_DOUBLINGS));
        self.ejected_until = Some(now + wait.min(EJECTION_LONGEST));
        self.strikes += 1;
    }

    /// An attempt was given up before it ended; `slowness` is its time so far over the usual one.
    pub fn note_abandoned(&mut self, began: Instant, now: Instant, slowness: f64) {
        self.end(began);
        if slowness <= self.slowness.max(LATE) {
            return;
        }
        self.age(now);
        self.learn(began, now, slowness);
    }

    /// A VM beside the upstream advises against it: it is the last choice for a moment. That VM goes on looking, so the
    /// advice is not remembered for longer.
    pub fn note_advice(&mut self, now: Instant) {
        let until = now + ADVICE_TIME;
        self.ejected_until = Some(
            self.ejected_until
                .map_or(until, |ejected| ejected.max(until)),
        );
    }

    /// An attempt was given up before it was sent.
    pub fn note_unsent(&mut self, began: Instant) {
        self.end(began);
    }

    /// How long the oldest attempt has been out.
    pub fn oldest(&self, now: Instant) -> Duration {
        let oldest = self.out.iter().min();
        oldest.map_or(Duration::ZERO, |began| {
            now.saturating_duration_since(*began)
        })
    }

    /// Whether it gets no requests for now, because it could not be reached.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it is time to find out by one request whether an upstream that is avoided has recovered.
    pub fn wants_probe(&self, now: Instant) -> bool {
        let rested = now.saturating_duration_since(self.used) >= PROBE_PERIOD;
        rested && self.out.is_empty() && !self.is_ejected(now)
    }

    /// Share of its attempts that were answered, as far as it is remembered.
    pub fn success(&self, now: Instant) -> f64 {
        1.0 - (1.0 - self.success) * self.kept(now)
    }

    /// Whether it has stopped answering just now, while it was not slow before.
    pub fn is_pausing(&self, now: Instant, usual_ms: f64) -> bool {
        self.slowness < PAUSE_SLOWNESS && millis(self.oldest(now)) > usual_ms * LATE
    }

    /// How long an attempt is expected to take, in milliseconds, if such attempts usually take `usual_ms` and `slots`
    /// run side by side.
    pub fn expected_ms(&self, now: Instant, usual_ms: f64, slots: usize) -> f64 {
        /// An upstream that answers nothing is still tried at times.
        const LEAST_SUCCESS: f64 = 0.05;
        let mut aged = self.clone();
        aged.age(now);
        let cold = if now < self.cold_until {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let mut queued = self.out.len() as f64 / slots.max(1) as f64;
        let mut slowness = aged.slowness.max(cold);
        if let Some(aged) = &self.report {
            let weight = aged.weight(now);
            slowness += (aged.report.slowness() - slowness) * weight;
            queued += (aged.report.queued() - queued).max(0.0) * weight;
        }
        let own = usual_ms * slowness;
        let expected = own * (1.0 + queued) / aged.success.max(LEAST_SUCCESS);
        let oldest = millis(self.oldest(now));
        if oldest > own * LATE {
            // A pause that has lasted for some time is likely to last for as long again.
            return expected + oldest;
        }
        expected
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
