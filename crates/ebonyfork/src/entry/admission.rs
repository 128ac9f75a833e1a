//! Admission control: refuses a query whose target can't be met before anything is sent.
//!
//! The queue wait of a query is predicted from the waits reported by the relays: it is the wait of the slowest shard
//! that the coverage target needs. The wait may use what the latency target leaves after the time that the query takes
//! on idle upstreams. How much of the target may be used depends on the organisation: nearly all for an organisation
//! that uses little, only half as much for one that uses more than its fair share. An organisation that overloads
//! the upstreams thus leaves the queues short enough for the others to be admitted. A class that misses its target
//! although its queries were admitted lowers its own limit.

use std::time::Duration;

use cranelift_entity::SecondaryMap;
use rustc_hash::FxHashMap;

use super::terms::ClassId;
use crate::ident::OrganisationName;

/// Share of the latency target that the queue wait and the unloaded time of a query may take together if the usage of
/// its organisation is [`OrganisationUsage::Light`].
const LIGHT_LATENCY_SHARE: f64 = 0.8;
/// Share of the latency target that the queue wait and the unloaded time of a query may take together if the usage of
/// its organisation is [`OrganisationUsage::Fair`].
const FAIR_LATENCY_SHARE: f64 = 0.65;
/// Share of the latency target that the queue wait and the unloaded time of a query may take together if the usage of
/// its organisation is [`OrganisationUsage::Heavy`].
const HEAVY_LATENCY_SHARE: f64 = 0.4;
/// Fraction of the fair share below which the usage of an organisation is [`OrganisationUsage::Light`].
const LIGHT_USAGE_FACTOR: f64 = 0.5;
/// Multiple of the fair share above which the usage of an organisation is [`OrganisationUsage::Heavy`].
const HEAVY_USAGE_FACTOR: f64 = 1.5;
/// The usage of an organisation is [`OrganisationUsage::Light`] if it is at most the cost of the query to admit
/// multiplied by this number.
const LIGHT_QUERY_COUNT: f64 = 2.0;
/// Time in which recorded usage loses half its weight.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Usage below which an organisation counts as idle, in seconds of upstream time.
const IDLE_USAGE: f64 = 0.001;
/// Interval at which idle organisations are dropped and the active ones counted.
const ORGANISATION_COUNT_PERIOD: Duration = Duration::from_millis(250);
/// The allowed wait is at least the latency target divided by this number, even if the unloaded time takes up the whole
/// target.
const MIN_WAIT_DIVISOR: u32 = 10;
/// Number of queries admitted under load after which a class updates its limit.
const QUERIES_PER_LIMIT_UPDATE: u32 = 32;
/// Lower bound of the limit factor of a class.
const MIN_LIMIT_FACTOR: f64 = 0.3;
/// Multiplier of the limit factor after an update period in which too many queries missed their target.
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
/// Increment of the limit factor after an update period in which enough queries met their target.
const LIMIT_INCREASE_STEP: f64 = 0.05;
/// Share of queries that may miss their target in addition to the share that the latency percentile allows.
const MISS_TOLERANCE: f64 = 0.02;
/// A query counts as admitted under load if its predicted wait exceeds the allowed wait divided by this number.
const LOADED_WAIT_DIVISOR: u32 = 4;

/// The figures by which the admission of one query is decided.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The query's class.
    pub class: ClassId,
    /// The query's organisation.
    pub organisation: &'a OrganisationName,
    /// Latency target of the class, or the caller's deadline if that is shorter.
    pub latency_target: Duration,
    /// Predicted queue wait of the slowest shard that the coverage target needs.
    pub predicted_wait: Duration,
    /// Expected time of the request to that shard on an idle upstream, including the round trip.
    pub unloaded_time: Duration,
    /// Upstream time that the whole query takes, in seconds.
    pub cost_seconds: f64,
}

/// Whether a query is admitted or refused for lack of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The query may be sent.
    Admitted {
        /// Whether the predicted wait exceeds the allowed wait divided by `LOADED_WAIT_DIVISOR`.
        is_under_load: bool,
    },
    /// The query is refused.
    Refused {
        /// Time by which the predicted wait exceeds the allowed wait. After this time the backlog has drained far
        /// enough for the query to be admitted.
        excess_wait: Duration,
    },
}

/// Usage of an organisation relative to its fair share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrganisationUsage {
    /// The organisation was idle or uses well below its fair share.
    Light,
    /// The organisation's usage is near its fair share, neither light nor heavy.
    Fair,
    /// The organisation uses well above its fair share.
    Heavy,
}

/// A sum that loses half its weight every [`USAGE_HALF_LIFE`].
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    value: f64,
    updated_at: Duration,
}

impl DecayingSum {
    fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * 0.5_f64.powf(age / USAGE_HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, now: Duration, amount: f64) {
        self.value = self.value(now) + amount;
        self.updated_at = now;
    }
}

/// Factor on the part of the latency target that queries of one class may use, adapted to how often they miss the
/// target.
#[derive(Debug, Clone, Copy)]
struct ClassLimit {
    /// Factor on the share of the latency target that queries may take, at most 1.
    factor: f64,
    /// Number of queries admitted under load that completed since the last update of the factor.
    completed_query_count: u32,
    /// Number of the queries in `completed_query_count` that missed their target.
    missed_target_count: u32,
}

impl Default for ClassLimit {
    fn default() -> Self {
        Self {
            factor: 1.0,
            completed_query_count: 0,
            missed_target_count: 0,
        }
    }
}

/// What the admission of one entry depends on: the recent usage of each organisation and the limit of each class.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    usage_by_organisation: FxHashMap<OrganisationName, DecayingSum>,
    total_usage: DecayingSum,
    /// Number of organisations in `usage_by_organisation`. An organisation is added with its first admitted query, and
    /// removed by the next count that finds its usage at or below [`IDLE_USAGE`].
    active_organisation_count: u32,
    organisations_counted_at: Duration,
    class_limits: SecondaryMap<ClassId, ClassLimit>,
}

impl AdmissionControl {
    /// Decides whether to admit a query, and records the usage of one that is admitted.
    pub fn admit(&mut self, now: Duration, request: AdmissionRequest<'_>) -> AdmissionDecision {
        self.forget_idle_organisations(now);
        let usage_share = match self.classify_usage(now, request.organisation, request.cost_seconds)
        {
            OrganisationUsage::Light => LIGHT_LATENCY_SHARE,
            OrganisationUsage::Fair => FAIR_LATENCY_SHARE,
            OrganisationUsage::Heavy => HEAVY_LATENCY_SHARE,
        };
        let limit_factor = self.class_limits[request.class].factor;
        let latency_share = request.latency_target.mul_f64(usage_share * limit_factor);
        let min_wait = request.latency_target / MIN_WAIT_DIVISOR;
        let allowed_wait = latency_share
            .saturating_sub(request.unloaded_time)
            .max(min_wait);
        if let Some(excess_wait) = request.predicted_wait.checked_sub(allowed_wait)
            && !excess_wait.is_zero()
        {
            return AdmissionDecision::Refused { excess_wait };
        }
        self.record_usage(now, request.organisation, request.cost_seconds);
        AdmissionDecision::Admitted {
            is_under_load: request.predicted_wait > allowed_wait / LOADED_WAIT_DIVISOR,
        }
    }

    /// Records whether a query that was admitted under load met its target, and adjusts the class's limit.
    pub fn record_target_result(
        &mut self,
        class: ClassId,
        latency_percentile: f64,
        is_target_met: bool,
    ) {
        let class_limit = &mut self.class_limits[class];
        class_limit.completed_query_count += 1;
        class_limit.missed_target_count += u32::from(!is_target_met);
        if class_limit.completed_query_count < QUERIES_PER_LIMIT_UPDATE {
            return;
        }
        let miss_rate = f64::from(class_limit.missed_target_count)
            / f64::from(class_limit.completed_query_count);
        class_limit.factor = if miss_rate > 1.0 - latency_percentile / 100.0 + MISS_TOLERANCE {
            (class_limit.factor * LIMIT_DECREASE_FACTOR).max(MIN_LIMIT_FACTOR)
        } else {
            (class_limit.factor + LIMIT_INCREASE_STEP).min(1.0)
        };
        class_limit.completed_query_count = 0;
        class_limit.missed_target_count = 0;
    }

    /// Returns an organisation's usage relative to its fair share, without the next query, which takes `cost_seconds`
    /// of upstream time.
    pub fn classify_usage(
        &self,
        now: Duration,
        organisation: &OrganisationName,
        cost_seconds: f64,
    ) -> OrganisationUsage {
        let recent_usage = self
            .usage_by_organisation
            .get(organisation)
            .map_or(0.0, |sum| sum.value(now));
        let fair_share =
            self.total_usage.value(now) / f64::from(self.active_organisation_count.max(1));
        if recent_usage <= cost_seconds * LIGHT_QUERY_COUNT
            || (self.active_organisation_count > 1
                && recent_usage < fair_share * LIGHT_USAGE_FACTOR)
        {
            OrganisationUsage::Light
        } else if self.active_organisation_count > 1
            && recent_usage > fair_share * HEAVY_USAGE_FACTOR
        {
            OrganisationUsage::Heavy
        } else {
            OrganisationUsage::Fair
        }
    }

    fn record_usage(&mut self, now: Duration, organisation: &OrganisationName, cost_seconds: f64) {
        self.total_usage.add(now, cost_seconds);
        if let Some(sum) = self.usage_by_organisation.get_mut(organisation) {
            sum.add(now, cost_seconds);
            return;
        }
        let mut sum = DecayingSum::default();
        sum.add(now, cost_seconds);
        self.usage_by_organisation.insert(organisation.clone(), sum);
        self.active_organisation_count += 1;
    }

    fn forget_idle_organisations(&mut self, now: Duration) {
        if now < self.organisations_counted_at + ORGANISATION_COUNT_PERIOD {
            return;
        }
        self.organisations_counted_at = now;
        self.usage_by_organisation
            .retain(|_, sum| sum.value(now) > IDLE_USAGE);
        self.active_organisation_count = self.usage_by_organisation.len() as u32;
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
