//! State of the quotas as this VM knows it, for the operators: `GET /quotas` on the metrics address.
//!
//! A report covers up to [`PAGE_ORGANISATIONS`] organisations in the order of their names, because the process serves
//! requests on the same thread. [`QuotaReport::next`] tells where the next page starts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::usage::{HolderOutcome, RequestOutcome, counted_time};
use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::{OrganisationEntry, OrganisationName, OrganisationTable};
use crate::gateway::policy::quota::{PartTerms, QUOTA_PARTS, RequestQuota};
use crate::gateway::settings::PlaceDistance;
use crate::ident::VmAddress;

/// Largest number of organisations in a report. Building and encoding one (0.35 MB) took 1.4 to 5.4 ms of a whole core with
/// 100,000 organisations, and holds up requests for that time.
const PAGE_ORGANISATIONS: usize = 250;

/// Organisations that a report should cover.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum QuotaQuery {
    /// The first organisations.
    #[default]
    First,
    /// The organisations after one.
    After(OrganisationName),
    /// One organisation.
    Only(OrganisationName),
}

/// State of the quotas as one VM knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// VM that answers.
    pub vm: VmAddress,
    /// Version of its configuration; none if there is no configuration yet.
    pub version: Option<u64>,
    /// Age of its copy of the store in milliseconds; none if it was never up to date.
    pub copy_age_ms: Option<u64>,
    /// Time that the counts of recent outcomes cover, in milliseconds.
    pub counted_ms: u64,
    /// Number of outcomes since the start that are not in the counts, because too many organisations sent requests.
    pub uncounted: u64,
    /// Organisations with a limit, in the order of their names.
    pub organisations: Vec<OrganisationReport>,
    /// Last organisation of this report, if there are more after it.
    pub next: Option<OrganisationName>,
}

/// Quota of one organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationReport {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Requests per second over all VMs.
    pub rate: f64,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
    /// Recent requests of callers of this VM that got a token.
    pub granted: u32,
    /// Recent requests of callers of this VM that were refused, by reason.
    pub refused: BTreeMap<CompactString, u32>,
    /// Parts of the quota, by number.
    pub parts: Vec<PartReport>,
}

/// One part of a quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartReport {
    /// Number of the part.
    pub part: u8,
    /// VM that holds the part, as the store says; none if there is no holder.
    pub holder: Option<VmAddress>,
    /// Distance to the holder: `zone`, `region` or `far`.
    pub distance: CompactString,
    /// Whether the holder has left a recent request of this VM unanswered.
    pub is_silent: bool,
    /// Time in milliseconds until the part has another token, if it was empty when this VM last asked.
    pub empty_for_ms: Option<u64>,
    /// State of the part if this VM holds it and may grant its tokens.
    pub held: Option<HeldPartReport>,
}

/// State of a part at its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldPartReport {
    /// Time since which this VM holds the part, in milliseconds.
    pub held_for_ms: u64,
    /// Tokens that could be granted now.
    pub tokens: f64,
    /// Largest number of tokens.
    pub capacity: f64,
    /// Tokens per second, without those added after a change of holder.
    pub rate: f64,
    /// Recently granted tokens.
    pub granted: u32,
    /// Recent requests for which there was no token.
    pub refused: u32,
    /// Recently granted tokens that came back unused.
    pub given_back: u32,
}

impl GatewayCore {
    /// Reports the state of the quotas as this VM knows it.
    pub fn report_quotas(&self, query: &QuotaQuery) -> QuotaReport {
        let now = self.running_time();
        let table = self.table();
        let organisations = table.as_ref().and_then(|table| table.organisations());
        let (selected, has_more) = organisations.map_or_else(Default::default, |organisations| {
            select_organisations(organisations, query)
        });
        let next = selected.last().filter(|_last| has_more);
        let next = next.map(|organisation| organisation.name.clone());
        let reports = selected.iter().filter_map(|organisation| {
            let quota = organisation.quota?;
            Some(self.report_organisation(organisation, quota, now))
        });
        QuotaReport {
            vm: self.session.vm,
            version: table.as_ref().map(|table| table.version().0),
            copy_age_ms: self.relay.copy_age().map(millis),
            counted_ms: millis(counted_time(now)),
            uncounted: self.quota_desk.usage.uncounted(),
            organisations: reports.collect(),
            next,
        }
    }

    fn report_organisation(
        &self,
        organisation: &OrganisationEntry,
        quota: RequestQuota,
        now: Duration,
    ) -> OrganisationReport {
        let name = &organisation.name;
        let terms = PartTerms::new(self.settings.quota_bound, quota);
        let counts = self.quota_desk.usage.request_counts(name, now);
        let refused = [
            ("over-quota", RequestOutcome::OverQuota),
            ("quota-unknown", RequestOutcome::QuotaUnknown),
            ("other", RequestOutcome::Other),
        ];
        let refused = refused.map(|(reason, outcome)| (reason.into(), counts[outcome as usize]));
        let mut numbers: SmallVec<[u8; QUOTA_PARTS]> = terms.parts_of(name).collect();
        numbers.sort_unstable();
        let parts = numbers.into_iter();
        OrganisationReport {
            name: name.clone(),
            rate: quota.rate.0,
            burst: quota.burst,
            granted: counts[RequestOutcome::Granted as usize],
            refused: refused.into_iter().collect(),
            parts: parts
                .map(|part| self.report_part(part, name, terms, now))
                .collect(),
        }
    }

    fn report_part(
        &self,
        number: u8,
        organisation: &OrganisationName,
        terms: PartTerms,
        now: Duration,
    ) -> PartReport {
        let desk = &self.quota_desk;
        let parts = desk.parts.borrow();
        let part = &parts[usize::from(number)];
        let held = part.tokens_left(organisation, terms, now);
        let counts = desk.usage.part_counts(number, organisation, now);
        let held = held.map(|(held_since, tokens)| HeldPartReport {
            held_for_ms: millis(now.saturating_sub(held_since)),
            tokens: (tokens * 100.0).floor() / 100.0,
            capacity: terms.capacity,
            rate: terms.rate,
            granted: counts[HolderOutcome::Granted as usize],
            refused: counts[HolderOutcome::Refused as usize],
            given_back: counts[HolderOutcome::GivenBack as usize],
        });
        let empty = desk.empty_part(number, organisation, now);
        PartReport {
            part: number,
            holder: part.claim.holder().map(|holder| holder.vm),
            distance: distance_word(part.distance).into(),
            is_silent: now < part.silent_until,
            empty_for_ms: empty.map(|empty| millis(empty.next_token.saturating_sub(now))),
            held,
        }
    }
}

/// Returns the organisations with a limit that a query selects, and whether there are more.
fn select_organisations<'a>(
    organisations: &'a OrganisationTable,
    query: &QuotaQuery,
) -> (&'a [Rc<OrganisationEntry>], bool) {
    let limited = organisations.limited();
    let position = |name: &OrganisationName| {
        limited.partition_point(|organisation| organisation.name <= *name)
    };
    match query {
        QuotaQuery::First => first_page(limited),
        QuotaQuery::After(name) => first_page(&limited[position(name)..]),
        QuotaQuery::Only(name) => {
            let found = limited[..position(name)].last();
            let found = found.filter(|organisation| organisation.name == *name);
            (found.map_or(&[], std::slice::from_ref), false)
        }
    }
}

fn first_page(limited: &[Rc<OrganisationEntry>]) -> (&[Rc<OrganisationEntry>], bool) {
    let length = limited.len().min(PAGE_ORGANISATIONS);
    (&limited[..length], length < limited.len())
}

fn distance_word(distance: PlaceDistance) -> &'static str {
    match distance {
        PlaceDistance::Zone => "zone",
        PlaceDistance::Region => "region",
        PlaceDistance::Far => "far",
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
