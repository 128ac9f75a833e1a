//! Load pattern: many organisations with small quotas over a large fleet, while holders, zones or the store fail.
//!
//! Six parts are held by claims in a model of the store, as in a running fleet: each VM writes the claims that it wants,
//! and asks the holders that it knows. Requests neither wait for a token nor return, so a running fleet serves more.

use std::ops::Range;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::claim::{ClaimRecord, StoreClaim};
use crate::gateway::policy::cold::RequestRate;
use crate::gateway::settings::PlaceDistance;
use crate::gateway::vms::rendezvous_rank;
use crate::ident::{IncarnationNumber, RequestFingerprint, SessionId, VmAddress};
use crate::store::StoreRevision;

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const VM_COUNT: usize = 76;
const ZONE_COUNT: usize = 6;
const ORGANISATION_COUNT: usize = 80;
/// Requests per second of all organisations.
const TOTAL_RATE: f64 = 48.0;
/// Requests of the organisation with number *n* are proportional to the power -1.2 of *n*.
const SKEW: f64 = 1.2;
/// Limit of an organisation as a multiple of what it sends.
const LIMIT_FACTOR: f64 = 1.6;
/// Time by which the model advances in each step.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two checks of the claims.
const CLAIM_STEPS: u64 = 20;
/// Time after its start in which a VM claims no part that another may want.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after which all VMs know that another one has failed.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time for which a holder counts as silent after it has left a request unanswered.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Time at which faults begin, and length of a history.
const FAULT_AT: Duration = Duration::from_secs(40);
const HISTORY: Duration = Duration::from_secs(100);
/// Times in which requests are counted: during the fault, and after it. A part whose holder is lost has another one 28 s
/// later.
const PHASES: [Range<Duration>; 2] = [
    FAULT_AT..Duration::from_secs(70),
    Duration::from_secs(70)..HISTORY,
];

/// What happens to the fleet from [`FAULT_AT`] on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// All holders are killed at the same moment, and start again after a second.
    KillHolders,
    /// All VMs are killed at the same moment, and start again after a second.
    KillAll,
    /// Every two seconds the next holder is killed.
    KillInSeries,
    /// All holders are killed, and never start again.
    LoseHolders,
    /// The VMs of a zone reach neither the store nor other zones for ten seconds. Its callers still use them.
    CutZone,
    /// All holders stand still for ten seconds, and their links stay open.
    PauseHolders,
    /// The store doesn't answer for 20 s.
    StoreAway,
    /// The store doesn't answer for 20 s, and all holders are killed within that time.
    StoreAwayAndKill,
    /// The tasks that write the claims have ended at all holders, whose processes live on.
    ClaimsEnd,
    /// The same at four of the holders. The smallest quotas have four parts.
    ClaimsEndAtFour,
    /// Four of the holders are killed, and never start again.
    LoseFour,
    /// The limits are a tenth for ten seconds.
    LowerLimits,
}

struct ModelVm {
    incarnation: u64,
    started_at: Duration,
    paused_until: Duration,
    cut_until: Duration,
    writes_claims: bool,
    claims: Vec<StoreClaim>,
    ledgers: Vec<PartLedger>,
    silent_until: [Duration; QUOTA_PARTS],
}

fn address(vm: usize) -> VmAddress {
    VmAddress([10, 0, 0, vm as u8].into())
}

impl ModelVm {
    fn new(number: usize, incarnation: u64, started_at: Duration) -> Self {
        let session = SessionId::new(address(number), IncarnationNumber(incarnation));
        let new_claim = |_part| StoreClaim::new(session, QUOTA_CLAIM).with_allowance(BOUND.window);
        Self {
            incarnation,
            started_at,
            paused_until: started_at,
            cut_until: Duration::ZERO,
            writes_claims: true,
            claims: (0..QUOTA_PARTS).map(new_claim).collect(),
            ledgers: (0..QUOTA_PARTS).map(|_| PartLedger::new()).collect(),
            silent_until: [Duration::ZERO; QUOTA_PARTS],
        }
    }

    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    fn runs(&self, now: Duration) -> bool {
        now >= self.started_at && now >= self.paused_until
    }
}

struct ModelOrganisation {
    name: OrganisationName,
    sent_rate: f64,
    quota: RequestQuota,
    /// Zones in which its callers are.
    zones: Vec<usize>,
    asked: [usize; 2],
    served: [usize; 2],
    unknown: [usize; 2],
}

struct SmallQuotas {
    rng: ChaCha8Rng,
    fault: Fault,
    now: Duration,
    vms: Vec<ModelVm>,
    stored: Vec<Option<(u64, ClaimRecord)>>,
    revision: u64,
    organisations: Vec<ModelOrganisation>,
    last_number: u64,
    killed_in_series: usize,
}

/// Served and asked requests of all organisations, and of the worst-served one.
#[derive(Debug, Clone, Copy)]
struct Served {
    all: f64,
    worst: f64,
    /// Requests that no holder decided on.
    unknown: usize,
}

impl SmallQuotas {
    /// `smallest_limit` bounds the limits from below, and the burst is that of one second.
    fn new(seed: u64, fault: Fault, smallest_limit: f64) -> Self {
        let weight = |number: usize| (number as f64 + 1.0).powf(-SKEW);
        let sum: f64 = (0..ORGANISATION_COUNT).map(weight).sum();
        let organisation = |number: usize| {
            let usual = TOTAL_RATE * weight(number) / sum;
            let limit = (usual * LIMIT_FACTOR).max(smallest_limit);
            ModelOrganisation {
                name: OrganisationName::new(format!("organisation-{number}")),
                sent_rate: limit / LIMIT_FACTOR,
                quota: RequestQuota {
                    rate: RequestRate(limit),
                    burst: limit.ceil(),
                },
                zones: vec![number % ZONE_COUNT, number / ZONE_COUNT % ZONE_COUNT],
                asked: [0; 2],
                served: [0; 2],
                unknown: [0; 2],
            }
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault,
            now: Duration::ZERO,
            vms: (0..VM_COUNT)
                .map(|number| ModelVm::new(number, 1, Duration::ZERO))
                .collect(),
            stored: vec![None; QUOTA_PARTS],
            revision: 0,
            organisations: (0..ORGANISATION_COUNT).map(organisation).collect(),
            last_number: 0,
            killed_in_series: 0,
        }
    }

    fn run(mut self) -> Vec<ModelOrganisation> {
        let mut step = 0;
        while self.now < HISTORY {
            self.now += STEP;
            step += 1;
            self.inject_fault();
            if step % CLAIM_STEPS == 0 {
                for vm in 0..VM_COUNT {
                    self.run_claims(vm);
                }
            }
            for number in 0..ORGANISATION_COUNT {
                let chance = self.organisations[number].sent_rate * STEP.as_secs_f64();
                if self.rng.random_bool(chance.min(1.0)) {
                    self.ask(number);
                }
            }
        }
        self.organisations
    }

    /// Returns the VMs that hold parts by the records in the store.
    fn holders(&self) -> Vec<usize> {
        let records = self.stored.iter().flatten();
        let holders = records.filter_map(|(_revision, record)| record.holder);
        let number = |holder: SessionId| (0..VM_COUNT).find(|vm| address(*vm) == holder.vm);
        holders.filter_map(number).collect()
    }

    fn kill(&mut self, vm: usize, downtime: Duration) {
        let incarnation = self.vms[vm].incarnation + 1;
        self.vms[vm] = ModelVm::new(vm, incarnation, self.now + downtime);
    }

    fn inject_fault(&mut self) {
        let (now, second) = (self.now, Duration::from_secs(1));
        let since = now.saturating_sub(FAULT_AT);
        if self.fault == Fault::KillInSeries
            && now >= FAULT_AT
            && since.as_millis().is_multiple_of(2_000)
        {
            let holders = self.holders();
            self.killed_in_series += 1;
            self.kill(holders[self.killed_in_series % holders.len()], second);
        }
        if self.fault == Fault::StoreAwayAndKill && since == second * 10 {
            for vm in self.holders() {
                self.kill(vm, second);
            }
        }
        if now != FAULT_AT {
            return;
        }
        match self.fault {
            Fault::KillHolders => self
                .holders()
                .into_iter()
                .for_each(|vm| self.kill(vm, second)),
            Fault::LoseHolders | Fault::LoseFour => {
                let count = if self.fault == Fault::LoseFour { 4 } else { 6 };
                for vm in self.holders().into_iter().take(count) {
                    self.kill(vm, HISTORY);
                }
            }
            Fault::KillAll => (0..VM_COUNT).for_each(|vm| self.kill(vm, second)),
            Fault::PauseHolders => {
                for vm in self.holders() {
                    self.vms[vm].paused_until = now + second * 10;
                }
            }
            Fault::CutZone => {
                for vm in (0..VM_COUNT).step_by(ZONE_COUNT) {
                    self.vms[vm].cut_until = now + second * 10;
                }
            }
            Fault::ClaimsEnd | Fault::ClaimsEndAtFour => {
                let count = if self.fault == Fault::ClaimsEnd { 6 } else { 4 };
                for vm in self.holders().into_iter().take(count) {
                    self.vms[vm].writes_claims = false;
                }
            }
            _ => {}
        }
    }

    fn store_answers(&self) -> bool {
        let is_away = matches!(self.fault, Fault::StoreAway | Fault::StoreAwayAndKill);
        let away = FAULT_AT..FAULT_AT + Duration::from_secs(20);
        !(is_away && away.contains(&self.now))
    }

    /// Returns whether a VM should hold a part, by the rule of running VMs.
    fn wants_part(&self, vm: usize, part: usize) -> bool {
        let holder = self.vms[vm].claims[part].holder();
        if holder.is_some_and(|holder| holder.vm == address(vm)) {
            return true;
        }
        let clock = self.vms[vm].clock(self.now);
        let free_since = self.vms[vm].claims[part].free_since();
        let Some(free_time) = clock.checked_sub(free_since.max(SETTLE_TIME)) else {
            return false;
        };
        // Members of the zone that gossip reports alive.
        let is_alive = |other: &usize| {
            let other = &self.vms[*other];
            self.now + DETECTION_TIME >= other.started_at
                && self.now + DETECTION_TIME >= other.paused_until
        };
        let members = (part..VM_COUNT).step_by(ZONE_COUNT).filter(is_alive);
        let addresses: Vec<VmAddress> = members.map(address).collect();
        let purpose = format_args!("quota part {part}");
        let rank = rendezvous_rank(&addresses, purpose, address(vm));
        rank.is_some_and(|rank| wants_free_part(rank, free_time))
    }

    fn run_claims(&mut self, vm: usize) {
        let now = self.now;
        let reaches_store = self.store_answers() && now >= self.vms[vm].cut_until;
        if !self.vms[vm].runs(now) || !reaches_store {
            return;
        }
        for part in 0..QUOTA_PARTS {
            let clock = self.vms[vm].clock(now);
            if let Some((revision, record)) = self.stored[part] {
                let claim = &mut self.vms[vm].claims[part];
                claim.observe(StoreRevision::new(revision), record, clock);
            }
            let is_wanted = self.wants_part(vm, part);
            if !self.vms[vm].writes_claims {
                continue;
            }
            let claim = &mut self.vms[vm].claims[part];
            let Some(write) = claim.next_write(is_wanted, clock) else {
                continue;
            };
            self.revision += 1;
            self.stored[part] = Some((self.revision, write.record));
            claim.record_write(write, StoreRevision::new(self.revision), clock, clock);
        }
    }

    /// Returns a VM that serves callers of a zone.
    fn serving_vm(&mut self, zone: usize) -> Option<usize> {
        let now = self.now;
        let members: Vec<usize> = (zone..VM_COUNT)
            .step_by(ZONE_COUNT)
            .filter(|vm| self.vms[*vm].runs(now))
            .collect();
        let index = self.rng.random_range(0..members.len().max(1));
        members.get(index).copied()
    }

    fn quota_in_force(&self, organisation: usize) -> RequestQuota {
        let mut quota = self.organisations[organisation].quota;
        let lowered = FAULT_AT..FAULT_AT + Duration::from_secs(10);
        if self.fault == Fault::LowerLimits && lowered.contains(&self.now) {
            quota.rate.0 /= 10.0;
            quota.burst = (quota.burst / 10.0).ceil();
        }
        quota
    }

    fn views(&self, vm: usize, terms: PartTerms, name: &OrganisationName) -> Vec<PartView> {
        let asker = &self.vms[vm];
        let view = |part: u8| {
            let index = usize::from(part);
            let holder = asker.claims[index].holder();
            let zone = holder.and_then(|holder| {
                (0..VM_COUNT)
                    .find(|other| address(*other) == holder.vm)
                    .map(|other| other % ZONE_COUNT)
            });
            PartView {
                part,
                has_holder: holder.is_some(),
                distance: match zone {
                    Some(zone) if zone == vm % ZONE_COUNT => PlaceDistance::Zone,
                    Some(zone) if zone / 2 == vm % ZONE_COUNT / 2 => PlaceDistance::Region,
                    _ => PlaceDistance::Far,
                },
                is_silent: self.now < asker.silent_until[index],
                state: PartState::MayGrant,
            }
        };
        terms.parts_of(name).map(view).collect()
    }

    /// Lets the holder of a part decide; `None` if it doesn't answer, or doesn't hold the part.
    fn decide(
        &mut self,
        vm: usize,
        part: u8,
        terms: PartTerms,
        name: &OrganisationName,
    ) -> Option<TokenDecision> {
        let now = self.now;
        let index = usize::from(part);
        let holder = self.vms[vm].claims[index].holder()?;
        let number = (0..VM_COUNT).find(|other| address(*other) == holder.vm)?;
        let is_cut = now < self.vms[vm].cut_until.max(self.vms[number].cut_until);
        let is_reached = !is_cut || number % ZONE_COUNT == vm % ZONE_COUNT;
        if !self.vms[number].runs(now) || !is_reached {
            self.vms[vm].silent_until[index] = now + SILENT_TIME;
            return None;
        }
        self.last_number += 1;
        let requester = RequesterKey {
            session: SessionId::new(address(vm), IncarnationNumber(1)),
            number: self.last_number,
        };
        let request = TokenRequest {
            priority: 1,
            longest_wait: Duration::ZERO,
            longest_stay: Duration::ZERO,
            fingerprint: RequestFingerprint(self.last_number),
        };
        let holder = &mut self.vms[number];
        let clock = holder.clock(now);
        let hold = PartHold::of_claim(&holder.claims[index], clock)?;
        let ledger = &mut holder.ledgers[index];
        Some(ledger.decide(name, terms, hold, (requester, request), clock))
    }

    fn ask(&mut self, number: usize) {
        let zone = {
            let zones = &self.organisations[number].zones;
            zones[self.rng.random_range(0..zones.len())]
        };
        let Some(vm) = self.serving_vm(zone) else {
            return;
        };
        let name = self.organisations[number].name.clone();
        let terms = PartTerms::new(BOUND, self.quota_in_force(number));
        let views = self.views(vm, terms, &name);
        let mut has_decision = false;
        let mut is_granted = false;
        let mut asked = Vec::new();
        'rounds: for round in plan_asks(&views) {
            for part in round {
                asked.push(part);
                match self.decide(vm, part, terms, &name) {
                    None => continue,
                    Some(TokenDecision::Refused(_refusal)) => has_decision = true,
                    Some(_granted) => is_granted = true,
                }
                break 'rounds;
            }
        }
        if has_decision {
            for part in other_parts(&views, &asked, Duration::from_secs(1)) {
                let decision = self.decide(vm, part, terms, &name);
                if matches!(decision, Some(TokenDecision::Granted { .. })) {
                    is_granted = true;
                    break;
                }
            }
        }
        let Some(phase) = PHASES.iter().position(|phase| phase.contains(&self.now)) else {
            return;
        };
        let organisation = &mut self.organisations[number];
        organisation.asked[phase] += 1;
        organisation.served[phase] += usize::from(is_granted);
        organisation.unknown[phase] += usize::from(!is_granted && !has_decision);
    }
}

/// Runs histories and returns what became of the requests during the fault and after it. The worst-served organisation
/// is the one of those with ten requests or more.
fn replay(seeds: Range<u64>, fault: Fault, smallest_limit: f64) -> [Served; 2] {
    let mut organisations: Vec<ModelOrganisation> =
        SmallQuotas::new(0, fault, smallest_limit).organisations;
    for seed in seeds {
        let history = SmallQuotas::new(seed, fault, smallest_limit).run();
        for (sum, organisation) in organisations.iter_mut().zip(history) {
            for phase in 0..PHASES.len() {
                sum.asked[phase] += organisation.asked[phase];
                sum.served[phase] += organisation.served[phase];
                sum.unknown[phase] += organisation.unknown[phase];
            }
        }
    }
    let total = |counts: fn(&ModelOrganisation) -> &[usize; 2], phase: usize| {
        let counts = organisations
            .iter()
            .map(|organisation| counts(organisation)[phase]);
        counts.sum::<usize>()
    };
    [0, 1].map(|phase| {
        let judged = organisations
            .iter()
            .filter(|organisation| organisation.asked[phase] >= 10);
        let shares = judged.map(|organisation| {
            organisation.served[phase] as f64 / organisation.asked[phase] as f64
        });
        Served {
            all: total(|counts| &counts.served, phase) as f64
                / total(|counts| &counts.asked, phase) as f64,
            worst: shares.fold(1.0, f64::min),
            unknown: total(|counts| &counts.unknown, phase),
        }
    })
}

const FAULTS: [Fault; 13] = [
    Fault::Nothing,
    Fault::KillHolders,
    Fault::KillAll,
    Fault::KillInSeries,
    Fault::LoseHolders,
    Fault::CutZone,
    Fault::PauseHolders,
    Fault::StoreAway,
    Fault::StoreAwayAndKill,
    Fault::ClaimsEnd,
    Fault::ClaimsEndAtFour,
    Fault::LoseFour,
    Fault::LowerLimits,
];

/// Smallest share of the requests of an organisation, compared with those of all, with which it doesn't count as starved.
const LEAST_SHARE: f64 = 0.25;

/// Guards against an organisation with a small quota that is served less than a quarter as often as all. Losses of several
/// holders for good are not among the faults: their parts are unusable for 28 s, and four parts are all that a small
/// quota has.
#[gtest]
fn no_organisation_is_starved_while_holders_or_the_store_fail() {
    for fault in [
        Fault::Nothing,
        Fault::KillAll,
        Fault::KillInSeries,
        Fault::CutZone,
        Fault::StoreAwayAndKill,
        Fault::ClaimsEndAtFour,
    ] {
        for served in replay(0..1, fault, 1.0) {
            let least = LEAST_SHARE * served.all;
            expect_that!(served.worst, ge(least), "{fault:?} {served:?}");
        }
    }
}

/// Guards against parts that stay without a holder for good because the VMs chosen for them are alive and write no claims:
/// nobody else claimed them, and all organisations with a limit got `quota-unknown`.
#[gtest]
fn parts_whose_chosen_vm_writes_no_claims_get_another_holder() {
    let [_during, after] = replay(0..1, Fault::ClaimsEnd, 1.0);
    expect_that!(after.all, ge(0.95), "{after:?}");
    expect_that!(after.worst, ge(0.75), "{after:?}");
}

/// Prints the figures of docs/design/quotas.md. Run with
/// `cargo test -p ebonyfork --lib print_small_quotas -- --ignored --nocapture`.
#[gtest]
#[ignore = "prints a table"]
fn print_small_quotas() {
    for fault in FAULTS {
        for smallest_limit in [0.0, 1.0] {
            let phases = replay(0..2, fault, smallest_limit);
            for (phase, served) in ["during", "after"].into_iter().zip(phases) {
                println!(
                    "{fault:?}, limits from {smallest_limit}/s, {phase}: all {:.3}, worst {:.3}, undecided {}",
                    served.all, served.worst, served.unknown
                );
            }
        }
    }
}
