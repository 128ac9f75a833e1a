//! Decides which changes of an upstream's speed a VM tells the other VMs of its zone, and what a VM does with such
//! advice.
//!
//! The load pattern: upstreams that turn several times slower for about 600 ms at a time. A VM needs two late answers
//! to tell a slow upstream from a pausing one. VMs that each see a part of the requests would each pay for these late
//! answers.
//!
//! Two late answers show a slow upstream if the second attempt began after the first answer, or if the answers are as
//! far apart as the attempts were: a pause ends for all attempts at the same time. The second kind of evidence is
//! available sooner, which matters in a phase of 600 ms. A VM acts on its own report in the same way as on advice.
//!
//! Only own attempts are evidence, so advice is never passed on. Advice adds to the expected time of an upstream for
//! [`ADVICE_DURATION`]; it doesn't eject the upstream and never counts as a failure. An answer in time to an own attempt
//! outweighs it: the VM that gave the advice may be slow itself, or may see only its own path to the upstream.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Time after which advice expires. A slow phase lasts about 600 ms, and advice can't be given before the first 100 ms.
pub const ADVICE_DURATION: Duration = Duration::from_millis(500);
/// Shortest time between two messages of a VM: at most 10 messages a second.
pub const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Slowness from which an answer counts as late.
const LATE_FACTOR: f64 = 3.0;
/// Longest time between a late answer and the next attempt for both to belong to one slow phase. Late answers that are
/// further apart may be due to two pauses.
const MAX_EVIDENCE_GAP: Duration = Duration::from_millis(300);
/// Two late answers that are at least this fraction as far apart as the attempts show a slow upstream. After a pause the
/// answers follow each other as fast as the upstream can work, faster than the attempts arrived.
const SPACING_RATIO: f64 = 0.75;
/// Shortest time between such answers, as a multiple of the usual time of an attempt, so that the variation between
/// attempts which a pause held up is no evidence.
const MIN_SPACING_FACTOR: f64 = 2.0;
/// Upper limit for the slowness in advice, as for the slowness of a sample in `UpstreamHealth`.
const SLOWNESS_LIMIT: f64 = 20.0;
/// Largest number of upstreams in one message. Further ones go into the next message.
pub const MAX_REPORTS: usize = 128;

/// What a VM has observed of an upstream's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SpeedChange {
    /// The upstream has turned slow.
    Slow {
        /// Time of an attempt divided by the usual time, in percent.
        slowness_percent: u16,
        /// Milliseconds from the start of the attempt that showed the slowness to its answer.
        observed_ms: u32,
    },
    /// An upstream that was reported slow answers in time again.
    Normal,
}

impl SpeedChange {
    /// Returns the change as one word for logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::SpeedChange;
    ///
    /// assert_eq!(SpeedChange::Normal.label(), "normal");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Slow { .. } => "slow",
            Self::Normal => "normal",
        }
    }
}

/// A changed upstream, as named in a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Service of the upstream.
    pub service: CompactString,
    /// Name of the upstream.
    pub instance: CompactString,
    /// Start time of the upstream's incarnation, if it states one.
    pub started: Option<u64>,
    /// What has changed.
    pub change: SpeedChange,
}

impl SpeedReport {
    /// Returns whether both reports are about the same incarnation of an upstream.
    fn is_about_same(&self, other: &Self) -> bool {
        (&self.service, &self.instance, self.started)
            == (&other.service, &other.instance, other.started)
    }
}

/// Message with which a VM tells the other VMs of its zone of upstreams whose speed has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedMessage {
    /// Changed upstreams, at most [`MAX_REPORTS`].
    pub reports: Vec<SpeedReport>,
}

/// What a VM did with received advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdviceUse {
    /// The advice is in force until it expires.
    Applied,
    /// Earlier advice has ended.
    Ended,
    /// The VM's own attempts contradict the advice, or there was nothing to end.
    Ignored,
}

impl AdviceUse {
    /// Returns the use as one word for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::Ended => "ended",
            Self::Ignored => "ignored",
        }
    }
}

/// Attempt that was answered late.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LateAttempt {
    sent_at: Instant,
    answered_at: Instant,
    slowness: f64,
}

impl LateAttempt {
    /// Returns whether this answer and an earlier late one show that the upstream is slow and doesn't pause.
    fn confirms(&self, earlier: &Self) -> bool {
        if self.sent_at > earlier.answered_at + MAX_EVIDENCE_GAP {
            return false;
        }
        if self.sent_at >= earlier.answered_at {
            return true;
        }
        let sending_gap = self.sent_at.saturating_duration_since(earlier.sent_at);
        let answer_gap = self
            .answered_at
            .saturating_duration_since(earlier.answered_at);
        let usual_time = self.took().div_f64(self.slowness);
        answer_gap >= usual_time.mul_f64(MIN_SPACING_FACTOR)
            && answer_gap >= sending_gap.mul_f64(SPACING_RATIO)
            && self.sent_at > earlier.sent_at
    }

    fn took(&self) -> Duration {
        self.answered_at.saturating_duration_since(self.sent_at)
    }
}

/// Advice in force.
#[derive(Debug, Clone, Copy, PartialEq)]
struct HeldAdvice {
    slowness: f64,
    until: Instant,
}

/// Speed of one upstream as shown by this VM's own attempts, and the advice of other VMs about it.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use ebonyfork::gateway::{SpeedChange, SpeedView};
///
/// let ms = Duration::from_millis;
/// let start = Instant::now();
/// let mut sender = SpeedView::default();
/// // Two late answers in a row: the second attempt began after the first late answer, so this is no pause.
/// assert_eq!(sender.record_answer(start, start + ms(80), 8.0), None);
/// let change = sender.record_answer(start + ms(80), start + ms(160), 8.0);
/// let change = change.expect("a change that is worth a message");
///
/// let mut receiver = SpeedView::default();
/// receiver.receive(change, start + ms(161));
/// assert_eq!(receiver.advised_slowness(start + ms(200)), Some(8.0));
/// assert_eq!(receiver.advised_slowness(start + ms(661)), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SpeedView {
    /// Latest late answer since the last answer in time.
    late_attempt: Option<LateAttempt>,
    /// Latest start of an attempt that was answered in time.
    prompt_start: Option<Instant>,
    /// Time at which this VM last reported the upstream as slow, unless it has reported its recovery.
    reported_at: Option<Instant>,
    /// Advice of another VM, or this VM's own report.
    advice: Option<HeldAdvice>,
}

impl SpeedView {
    /// Records an answer to an attempt that was sent to the upstream at `sent_at`; `slowness` is its time divided by
    /// the usual one. Returns the change if the other VMs should learn of it.
    pub fn record_answer(
        &mut self,
        sent_at: Instant,
        now: Instant,
        slowness: f64,
    ) -> Option<SpeedChange> {
        if slowness < LATE_FACTOR {
            return self.record_prompt(sent_at, now);
        }
        let attempt = LateAttempt {
            sent_at,
            answered_at: now,
            slowness,
        };
        let earlier_attempt = self.late_attempt.replace(attempt);
        let is_slow = earlier_attempt.is_some_and(|earlier| attempt.confirms(&earlier));
        if !is_slow || self.has_valid_report(now) {
            return None;
        }
        self.reported_at = Some(now);
        let slowness = slowness.min(SLOWNESS_LIMIT);
        self.hold(slowness, now);
        Some(SpeedChange::Slow {
            slowness_percent: (slowness * 100.0) as u16,
            observed_ms: attempt.took().as_millis() as u32,
        })
    }

    /// Records an answer in time, which ends advice. Advice is based on a late attempt, which lasted longer than this
    /// one, so this one began after the upstream was seen to be slow.
    fn record_prompt(&mut self, sent_at: Instant, now: Instant) -> Option<SpeedChange> {
        self.late_attempt = None;
        self.advice = None;
        self.prompt_start = self.prompt_start.max(Some(sent_at));
        let is_known_slow = self.has_valid_report(now);
        self.reported_at = None;
        is_known_slow.then_some(SpeedChange::Normal)
    }

    /// Returns whether the other VMs still act on this VM's last report.
    fn has_valid_report(&self, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|reported_at| now < reported_at + ADVICE_DURATION)
    }

    /// Handles a change that another VM has reported. It is ignored if an own attempt that began while the other VM
    /// observed the slowness was answered in time.
    pub fn receive(&mut self, change: SpeedChange, now: Instant) -> AdviceUse {
        let SpeedChange::Slow {
            slowness_percent,
            observed_ms,
        } = change
        else {
            let ended_advice = self.advice.take().filter(|advice| now < advice.until);
            return ended_advice.map_or(AdviceUse::Ignored, |_advice| AdviceUse::Ended);
        };
        let observed_time = Duration::from_millis(u64::from(observed_ms));
        let is_contradicted = self
            .prompt_start
            .is_some_and(|began| now.saturating_duration_since(began) <= observed_time);
        if is_contradicted {
            return AdviceUse::Ignored;
        }
        let slowness = f64::from(slowness_percent) / 100.0;
        self.hold(slowness.clamp(1.0, SLOWNESS_LIMIT), now);
        AdviceUse::Applied
    }

    fn hold(&mut self, slowness: f64, now: Instant) {
        self.advice = Some(HeldAdvice {
            slowness,
            until: now + ADVICE_DURATION,
        });
    }

    /// Returns the slowness that this VM or another one has reported, until the advice expires.
    pub fn advised_slowness(&self, now: Instant) -> Option<f64> {
        let advice = self.advice.filter(|advice| now < advice.until)?;
        Some(advice.slowness)
    }
}

/// Changes that are to be sent, and the limit on messages.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use ebonyfork::gateway::{SpeedChange, SpeedOutbox, SpeedReport};
///
/// let report = |instance: &str| SpeedReport {
///     service: "s".into(),
///     instance: instance.into(),
///     started: None,
///     change: SpeedChange::Normal,
/// };
/// let start = Instant::now();
/// let mut outbox = SpeedOutbox::default();
/// outbox.add(report("a"));
/// assert_eq!(outbox.take(start).len(), 1);
/// // Two changes within the interval go in one message at its end.
/// outbox.add(report("b"));
/// outbox.add(report("c"));
/// assert!(outbox.take(start + Duration::from_millis(40)).is_empty());
/// assert_eq!(outbox.due_at(), Some(start + Duration::from_millis(100)));
/// assert_eq!(outbox.take(start + Duration::from_millis(100)).len(), 2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SpeedOutbox {
    reports: SmallVec<[SpeedReport; 4]>,
    last_message: Option<Instant>,
}

impl SpeedOutbox {
    /// Adds a change. It replaces an earlier one of the same upstream that was not sent yet.
    pub fn add(&mut self, report: SpeedReport) {
        self.reports.retain(|other| !other.is_about_same(&report));
        self.reports.push(report);
    }

    /// Returns whether there is a change to send.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the earliest time for the next message; `None` if none was sent yet.
    pub fn due_at(&self) -> Option<Instant> {
        Some(self.last_message? + MESSAGE_INTERVAL)
    }

    /// Returns the changes for a message at `now`; none if there is nothing to send or the last message is too recent.
    pub fn take(&mut self, now: Instant) -> Vec<SpeedReport> {
        let is_due = self.due_at().is_none_or(|due_at| now >= due_at);
        if self.reports.is_empty() || !is_due {
            return Vec::new();
        }
        self.last_message = Some(now);
        let count = self.reports.len().min(MAX_REPORTS);
        self.reports.drain(..count).collect()
    }
}

#[cfg(test)]
#[path = "speed_advice_tests.rs"]
mod tests;
