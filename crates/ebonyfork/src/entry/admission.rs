//! Admission: a query whose target can't be met is refused before anything leaves.
//!
//! The wait that a query would meet is predicted from the relays' reported waits: the wait of the slowest shard that
//! its coverage target needs. It may take what the class's latency leaves beyond the time that work takes on idle
//! upstreams. How much of that a query may use depends on its organisation: one that was idle or uses little may use
//! nearly all, one that uses more than its fair share only half. So an organisation that floods the tier keeps the
//! queues at a level where the others still get in. A class that misses its target although queries were admitted
//! tightens its own limit.

use std::time::Duration;

use cranelift_entity::SecondaryMap;
use rustc_hash::FxHashMap;

use super::terms::ClassId;
use crate::ident::OrganisationName;

/// Share of a class's latency that a query of an organisation with little use may take, waiting included.
const LIGHT_SHARE: f64 = 0.8;
/// The same for an organisation that uses about its fair share.
const FAIR_SHARE: f64 = 0.65;
/// The same for an organisation that uses more than its fair share.
const HEAVY_SHARE: f64 = 0.4;
/// An organisation is light below this part of the fair share.
const LIGHT_USE: f64 = 0.5;
/// An organisation is heavy above this multiple of the fair share.
const HEAVY_USE: f64 = 1.5;
/// Queries of its own size that an organisation may have had lately and still count as light.
const LIGHT_QUERIES: f64 = 2.0;
/// Time in which use loses half its weight.
const USE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Use below which an organisation counts as idle: a thousandth of an upstream's second.
const USE_LEAST: f64 = 0.001;
/// How often idle organisations are forgotten and the active ones counted.
const CENSUS_PERIOD: Duration = Duration::from_millis(250);
/// Least part of the latency that may be waited, even if work alone takes all of it.
const WAIT_LEAST_PART: u32 = 10;
/// Queries admitted under pressure after which a class reviews its limit.
const REVIEW_QUERIES: u32 = 32;
/// Least factor that misses can tighten a class's limit to.
const TIGHTEST: f64 = 0.3;
/// Factor on the limit when a review finds too many misses.
const TIGHTEN: f64 = 0.85;
/// Addition to the factor when it does not.
const RELAX: f64 = 0.05;
/// Misses that a review grants beyond those that the percentile allows.
const MISS_GRACE: f64 = 0.02;
/// Part of the allowed wait from which a query counts as admitted under pressure.
const PRESSURE_PART: u32 = 4;

/// What a query asks for.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionCase<'a> {
    /// Its class.
    pub class: ClassId,
    /// Its organisation.
    pub organisation: &'a OrganisationName,
    /// The class's latency, or the caller's deadline if that is shorter.
    pub latency: Duration,
    /// Predicted wait of the slowest shard that the coverage target needs.
    pub wait: Duration,
    /// Time that this shard takes on an idle upstream, the way there included.
    pub work: Duration,
    /// Upstream time that the whole query takes, in seconds.
    pub cost: f64,
}

/// What becomes of a query at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It may be sent.
    Admitted {
        /// Whether the upstreams were under pressure.
        pressed: bool,
    },
    /// It was refused.
    Refused {
        /// How long the backlog takes to drain to where the query would get in.
        excess: Duration,
    },
}

/// How much of its fair share an organisation uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrganisationTier {
    /// It was idle or uses little.
    Light,
    /// It uses about its share.
    Fair,
    /// It uses more than its share.
    Heavy,
}

/// A sum that loses half its weight every [`USE_HALF_LIFE`].
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    value: f64,
    at: Duration,
}

impl DecayingSum {
    fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * 0.5_f64.powf(age / USE_HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, now: Duration, amount: f64) {
        self.value = self.value(now) + amount;
        self.at = now;
    }
}

#[derive(Debug, Clone, Copy)]
struct ClassLimit {
    factor: f64,
    queries: u32,
    misses: u32,
}

impl Default for ClassLimit {
    fn default() -> Self {
        Self {
            factor: 1.0,
            queries: 0,
            misses: 0,
        }
    }
}

/// The door of one entry.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    organisations: FxHashMap<OrganisationName, DecayingSum>,
    total: DecayingSum,
    active: u32,
    census: Duration,
    classes: SecondaryMap<ClassId, ClassLimit>,
}

impl AdmissionControl {
    /// Decides on a query. One that is admitted counts as its organisation's use.
    pub fn admit(&mut self, now: Duration, case: AdmissionCase<'_>) -> AdmissionVerdict {
        self.count_organisations(now);
        let share = match self.tier(now, case.organisation, case.cost) {
            OrganisationTier::Light => LIGHT_SHARE,
            OrganisationTier::Fair => FAIR_SHARE,
            OrganisationTier::Heavy => HEAVY_SHARE,
        };
        let factor = self.classes[case.class].factor;
        let granted = case.latency.mul_f64(share * factor);
        let least = case.latency / WAIT_LEAST_PART;
        let allowed = granted.saturating_sub(case.work).max(least);
        if let Some(excess) = case.wait.checked_sub(allowed)
            && !excess.is_zero()
        {
            return AdmissionVerdict::Refused { excess };
        }
        self.use_up(now, case.organisation, case.cost);
        AdmissionVerdict::Admitted {
            pressed: case.wait > allowed / PRESSURE_PART,
        }
    }

    /// Notes whether a query that was admitted under pressure met its target.
    pub fn review(&mut self, class: ClassId, percentile: f64, met: bool) {
        let limit = &mut self.classes[class];
        limit.queries += 1;
        limit.misses += u32::from(!met);
        if limit.queries < REVIEW_QUERIES {
            return;
        }
        let missed = f64::from(limit.misses) / f64::from(limit.queries);
        limit.factor = if missed > 1.0 - percentile / 100.0 + MISS_GRACE {
            (limit.factor * TIGHTEN).max(TIGHTEST)
        } else {
            (limit.factor + RELAX).min(1.0)
        };
        limit.queries = 0;
        limit.misses = 0;
    }

    /// Tells how much of its fair share an organisation uses, before a query that costs `cost`.
    pub fn tier(
        &self,
        now: Duration,
        organisation: &OrganisationName,
        cost: f64,
    ) -> OrganisationTier {
        let used = self
            .organisations
            .get(organisation)
            .map_or(0.0, |s| s.value(now));
        let fair = self.total.value(now) / f64::from(self.active.max(1));
        if used <= cost * LIGHT_QUERIES || (self.active > 1 && used < fair * LIGHT_USE) {
            OrganisationTier::Light
        } else if self.active > 1 && used > fair * HEAVY_USE {
            OrganisationTier::Heavy
        } else {
            OrganisationTier::Fair
        }
    }

    fn use_up(&mut self, now: Duration, organisation: &OrganisationName, cost: f64) {
        self.total.add(now, cost);
        if let Some(sum) = self.organisations.get_mut(organisation) {
            sum.add(now, cost);
            return;
        }
        let mut sum = DecayingSum::default();
        sum.add(now, cost);
        self.organisations.insert(organisation.clone(), sum);
        self.active += 1;
    }

    fn count_organisations(&mut self, now: Duration) {
        if now < self.census + CENSUS_PERIOD {
            return;
        }
        self.census = now;
        self.organisations
            .retain(|_, sum| sum.value(now) > USE_LEAST);
        self.active = self.organisations.len() as u32;
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
