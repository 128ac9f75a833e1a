use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::claim::{ClaimRecord, ClaimWrite, StoreClaim};
use crate::gateway::policy::cold::RequestRate;
use crate::ident::{IncarnationNumber, SessionId, VmAddress};
use crate::store::{StoreEra, StoreRevision};

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn quota(rate: f64, burst: f64) -> RequestQuota {
    RequestQuota {
        rate: RequestRate(rate),
        burst,
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new("north-office")
}

/// Takes a token every `period` for `seconds` and returns how many were granted.
fn take_all(ledger: &mut PartLedger, terms: PartTerms, from: Duration, seconds: u64) -> usize {
    let mut granted = 0;
    for step in 0..seconds * 100 {
        let now = from + ms(step * 10);
        granted += usize::from(
            ledger
                .take(&organisation(), terms, Duration::ZERO, now)
                .is_ok(),
        );
    }
    granted
}

#[gtest]
fn the_parts_of_a_quota_add_up_to_it() {
    for (rate, burst) in [(16.0, 16.0), (0.5, 1.0), (200.0, 40.0), (3.0, 0.0)] {
        let quota = quota(rate, burst);
        let terms = PartTerms::new(BOUND, quota);
        let parts = terms.part_count as f64;
        let in_window = (terms.rate + terms.recovery_rate) * BOUND.window.as_secs_f64();
        expect_that!(terms.rate * parts, near(rate, 1e-9));
        expect_that!(terms.capacity, ge(1.0));
        expect_that!(
            (terms.capacity + in_window) * parts,
            le(BOUND.limit(quota)),
            "{quota}"
        );
    }
}

/// A quota without any slack can't be divided into buckets of less than one token.
#[gtest]
fn a_small_quota_without_slack_has_one_part() {
    let terms = PartTerms::new(QuotaBound::default(), quota(1.0, 1.0));
    expect_that!(terms.part_count, eq(1));
    let mut ledger = PartLedger::new();
    expect_that!(take_all(&mut ledger, terms, ms(5_000), 10), eq(10));
}

#[gtest]
fn small_quotas_are_spread_over_the_parts() {
    let terms = PartTerms::new(QuotaBound::default(), quota(1.0, 1.0));
    let mut organisations_of_part = [0; QUOTA_PARTS];
    for number in 0..600 {
        let name = OrganisationName::new(format!("organisation-{number}"));
        for part in terms.parts_of(&name) {
            organisations_of_part[usize::from(part)] += 1;
        }
    }
    expect_that!(organisations_of_part, each(ge(50)));
}

#[gtest]
fn a_lowered_quota_binds_at_once() {
    let mut ledger = PartLedger::new();
    let before = PartTerms::new(BOUND, quota(60.0, 60.0));
    expect_that!(take_all(&mut ledger, before, ms(30_000), 1), ge(19));
    let after = PartTerms::new(BOUND, quota(6.0, 6.0));
    let most = (after.capacity + after.rate * 10.0).ceil() as usize;
    expect_that!(take_all(&mut ledger, after, ms(31_000), 10), le(most));
}

#[gtest]
fn a_returned_token_is_granted_again_only_in_the_same_hold() {
    let terms = PartTerms::new(QuotaBound::default(), quota(6.0, 6.0));
    let mut ledger = PartLedger::new();
    let held_since = ms(1_000);
    let take = |ledger: &mut PartLedger, held_since| {
        ledger
            .take(&organisation(), terms, held_since, ms(20_000))
            .is_ok()
    };
    expect_that!(take(&mut ledger, held_since), eq(true));
    expect_that!(take(&mut ledger, held_since), eq(false));
    let now = ms(20_000);
    ledger.give_back(&organisation(), terms, held_since, now, now);
    expect_that!(take(&mut ledger, held_since), eq(true));
    ledger.give_back(&organisation(), terms, ms(999), now, now);
    expect_that!(take(&mut ledger, held_since), eq(false));
}

#[gtest]
fn the_stated_wait_ends_with_a_token() {
    let terms = PartTerms::new(QuotaBound::default(), quota(6.0, 6.0));
    let mut ledger = PartLedger::new();
    let now = ms(20_000);
    let take =
        |ledger: &mut PartLedger, now| ledger.take(&organisation(), terms, Duration::ZERO, now);
    expect_that!(take(&mut ledger, now), ok(eq(())));
    let wait = take(&mut ledger, now).expect_err("the part is empty");
    expect_that!(
        take(&mut ledger, (now + wait).saturating_sub(ms(1))),
        err(anything())
    );
    expect_that!(take(&mut ledger, now + wait + ms(1)), ok(eq(())));
}

#[gtest]
fn full_buckets_are_removed() {
    let terms = PartTerms::new(BOUND, quota(6.0, 6.0));
    let mut ledger = PartLedger::new();
    for number in 0..100 {
        let name = OrganisationName::new(format!("organisation-{number}"));
        expect_that!(
            ledger.take(&name, terms, Duration::ZERO, ms(20_000)),
            ok(eq(()))
        );
    }
    ledger.remove_full(ms(20_500));
    expect_that!(ledger.bucket_count(), eq(100));
    ledger.remove_full(ms(21_001));
    expect_that!(ledger.bucket_count(), eq(0));
}

/// Load pattern: one organisation sends many times its quota, and its callers return when they are told to. If all of
/// them were told the time of the next token, most of them would be refused again at once.
#[gtest]
fn refused_callers_return_one_by_one() {
    let quota = quota(10.0, 10.0);
    let replay = |spreads_returns: bool| {
        let terms = PartTerms::new(QuotaBound::default(), quota);
        let mut ledger = PartLedger::new();
        let mut last_return = None;
        let mut refused_again = 0;
        let mut waiting = Vec::new();
        for step in 0..400 {
            let now = ms(20_000 + step * 10);
            // 30 new requests per second during the first two seconds.
            let returned = waiting.extract_if(.., |at| *at <= now).count();
            let new = usize::from(step < 200 && step % 3 == 0);
            for request in 0..returned + new {
                let Err(wait) = ledger.take(&organisation(), terms, Duration::ZERO, now) else {
                    continue;
                };
                refused_again += usize::from(request < returned);
                let next_token = now + wait;
                let at = if spreads_returns {
                    next_return(last_return, quota, next_token)
                } else {
                    next_token
                };
                last_return = Some(at);
                waiting.push(at);
            }
        }
        refused_again
    };
    let (spread, together) = (replay(true), replay(false));
    expect_that!(spread, lt(together / 3), "{spread} of {together}");
}

/// Guards that can be left out of a history, to show that its judge notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeftOut {
    Nothing,
    /// Buckets of a new holder start full.
    EmptyStart,
    /// Holders use their part without a valid term.
    Term,
    /// Claims are taken over at once.
    TakeoverDelay,
    /// Claims are written in a new era at once.
    EraWait,
    /// Grants that arrive late are used for later requests.
    LateGrants,
}

/// Time by which the model advances in each step.
const STEP: Duration = Duration::from_millis(50);
/// Longest wait of a request for a token.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(125);

/// Message or answer in transit between two VMs, or a claim's write in transit to the store.
#[derive(Debug, Clone, Copy)]
enum Transit {
    Ask {
        asker: usize,
        asked_at: Duration,
        part: usize,
    },
    Grant {
        asker: usize,
        asked_at: Duration,
    },
    Write {
        vm: usize,
        incarnation: u64,
        part: usize,
        write: ClaimWrite,
        begun_at: Duration,
    },
}

/// Model of one VM. Its clock differs from model time by a rate, and keeps running while the VM is paused.
struct ModelVm {
    incarnation: u64,
    started_at: Duration,
    clock_rate: f64,
    paused_until: Duration,
    store_cut_until: Duration,
    claims: Vec<StoreClaim>,
    ledgers: Vec<PartLedger>,
    /// Grants that arrived too late, kept only if the guard is left out.
    hoarded: usize,
}

impl ModelVm {
    fn new(
        number: usize,
        incarnation: u64,
        now: Duration,
        clock_rate: f64,
        timings: ClaimTimings,
    ) -> Self {
        let session = session(number, incarnation);
        Self {
            incarnation,
            started_at: now,
            clock_rate,
            paused_until: Duration::ZERO,
            store_cut_until: Duration::ZERO,
            claims: (0..QUOTA_PARTS)
                .map(|_| StoreClaim::new(session, timings))
                .collect(),
            ledgers: (0..QUOTA_PARTS).map(|_| PartLedger::new()).collect(),
            hoarded: 0,
        }
    }

    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }
}

fn session(number: usize, incarnation: u64) -> SessionId {
    let address = VmAddress([10, 0, (number / 250) as u8, (number % 250) as u8].into());
    SessionId::new(address, IncarnationNumber(incarnation))
}

/// Model of a fleet whose callers ask for as many requests as they get, of one organisation, at VMs that change. VMs
/// are killed, paused and cut off from the store; messages are delayed; the store is away or restored from an older
/// copy.
struct QuotaHistory {
    rng: ChaCha8Rng,
    quota: RequestQuota,
    left_out: LeftOut,
    now: Duration,
    vms: Vec<ModelVm>,
    /// Number, and revision and record of each part's claim in the store.
    stored: Vec<Option<(u64, ClaimRecord)>>,
    older_stored: Vec<Option<(u64, ClaimRecord)>>,
    revision: u64,
    era: StoreEra,
    store_down_until: Duration,
    transit: Vec<(Duration, Transit)>,
    /// Send times of all requests, in order.
    sends: Vec<Duration>,
    faults: bool,
}

impl QuotaHistory {
    fn new(seed: u64, vm_count: usize, quota: RequestQuota, left_out: LeftOut) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut timings = QUOTA_CLAIM;
        if left_out == LeftOut::TakeoverDelay {
            timings.takeover_delay = ms(300);
        }
        let mut vms = Vec::new();
        for number in 0..vm_count {
            let clock_rate = 1.0 + rng.random_range(-0.01..0.01);
            vms.push(ModelVm::new(number, 1, Duration::ZERO, clock_rate, timings));
        }
        Self {
            rng,
            quota,
            left_out,
            now: Duration::ZERO,
            vms,
            stored: vec![None; QUOTA_PARTS],
            older_stored: vec![None; QUOTA_PARTS],
            revision: 0,
            era: StoreEra::UNSTATED,
            store_down_until: Duration::ZERO,
            transit: Vec::new(),
            sends: Vec::new(),
            faults: true,
        }
    }

    fn run(&mut self, length: Duration) {
        while self.now < length {
            self.now += STEP;
            if self.faults {
                self.inject_faults();
            }
            self.deliver();
            for number in 0..self.vms.len() {
                self.run_claims(number);
            }
            self.run_callers();
        }
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        if self.rng.random_bool(0.002) {
            self.store_down_until = now + ms(self.rng.random_range(1_000..15_000));
        }
        if self.rng.random_bool(0.01) {
            self.older_stored = self.stored.clone();
        }
        if self.rng.random_bool(0.001) {
            // The copy may be from before the claims were written.
            self.stored = if self.rng.random_bool(0.5) {
                vec![None; QUOTA_PARTS]
            } else {
                self.older_stored.clone()
            };
            self.era.0 += 1;
        }
        let herd_kill = self.rng.random_bool(0.001);
        for number in 0..self.vms.len() {
            // Holders are hit more often, because the other VMs hold nothing.
            let holds = self.vms[number]
                .claims
                .iter()
                .any(|claim| claim.holder().map(|holder| holder.vm) == Some(session(number, 0).vm));
            let chance = if holds { 0.004 } else { 0.0005 };
            if self.rng.random_bool(chance) {
                let until = now + ms(self.rng.random_range(100..40_000));
                self.vms[number].paused_until = until;
            }
            if self.rng.random_bool(chance) {
                let until = now + ms(self.rng.random_range(1_000..60_000));
                self.vms[number].store_cut_until = until;
            }
            if self.rng.random_bool(chance) || (herd_kill && self.rng.random_bool(0.8)) {
                let vm = &self.vms[number];
                let mut timings = QUOTA_CLAIM;
                if self.left_out == LeftOut::TakeoverDelay {
                    timings.takeover_delay = ms(300);
                }
                self.vms[number] =
                    ModelVm::new(number, vm.incarnation + 1, now, vm.clock_rate, timings);
            }
        }
    }

    /// Lets a VM read and write the claims.
    fn run_claims(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        let reaches_store = now >= vm.store_cut_until && now >= self.store_down_until;
        if now < vm.paused_until || !reaches_store {
            return;
        }
        let clock = vm.clock(now);
        for part in 0..QUOTA_PARTS {
            let claim = &mut vm.claims[part];
            if self.left_out != LeftOut::EraWait {
                claim.enter_era(self.era, clock);
            }
            if let Some((revision, record)) = self.stored[part] {
                let era = if self.left_out == LeftOut::EraWait {
                    StoreEra::UNSTATED
                } else {
                    self.era
                };
                claim.observe(StoreRevision::new(revision).with_era(era), record, clock);
            }
            let Some(write) = claim.next_write(true, clock) else {
                continue;
            };
            let transit = Transit::Write {
                vm: number,
                incarnation: vm.incarnation,
                part,
                write,
                begun_at: clock,
            };
            let is_slow = self.rng.random_bool(0.05);
            let delay = ms(self.rng.random_range(4..if is_slow { 3_000 } else { 60 }));
            self.transit.push((now + delay, transit));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (arrived, waiting) = std::mem::take(&mut self.transit)
            .into_iter()
            .partition(|(at, _transit)| *at <= now);
        self.transit = waiting;
        for (_at, transit) in arrived {
            match transit {
                Transit::Ask {
                    asker,
                    asked_at,
                    part,
                } => self.answer(asker, asked_at, part),
                Transit::Grant { asker, asked_at } => self.take_grant(asker, asked_at),
                Transit::Write {
                    vm,
                    incarnation,
                    part,
                    write,
                    begun_at,
                } => {
                    self.apply_write((vm, incarnation), part, write, begun_at);
                }
            }
        }
    }

    fn apply_write(
        &mut self,
        (vm, incarnation): (usize, u64),
        part: usize,
        write: ClaimWrite,
        begun_at: Duration,
    ) {
        let current = self.stored[part].map_or(0, |(revision, _record)| revision);
        if self.now < self.store_down_until || current != write.expected_revision.number() {
            return;
        }
        self.revision += 1;
        self.stored[part] = Some((self.revision, write.record));
        let vm = &mut self.vms[vm];
        if vm.incarnation != incarnation || self.now < vm.paused_until {
            return;
        }
        let clock = vm.clock(self.now);
        let era = if self.left_out == LeftOut::EraWait {
            StoreEra::UNSTATED
        } else {
            self.era
        };
        let revision = StoreRevision::new(self.revision).with_era(era);
        vm.claims[part].record_write(write, revision, begun_at, clock);
    }

    /// Lets each VM that believes to hold a part answer: the asker may know an older holder.
    fn answer(&mut self, asker: usize, asked_at: Duration, part: usize) {
        let now = self.now;
        let terms = PartTerms::new(BOUND, self.quota);
        for number in 0..self.vms.len() {
            let vm = &mut self.vms[number];
            if now < vm.paused_until {
                continue;
            }
            let clock = vm.clock(now);
            let holds = vm.claims[part].holder() == Some(session(number, vm.incarnation));
            let held_since = match self.left_out {
                LeftOut::Term if holds => Some(Duration::ZERO),
                _ => vm.claims[part].usable_since(clock),
            };
            let Some(held_since) = held_since else {
                continue;
            };
            // A bucket that has refilled for that long is full.
            let bucket_time = match self.left_out {
                LeftOut::EmptyStart => clock + Duration::from_mins(10),
                _ => clock,
            };
            if vm.ledgers[part]
                .take(&organisation(), terms, held_since, bucket_time)
                .is_ok()
            {
                let is_slow = self.faults && self.rng.random_bool(0.1);
                let delay = ms(self.rng.random_range(1..if is_slow { 20_000 } else { 40 }));
                self.transit
                    .push((now + delay, Transit::Grant { asker, asked_at }));
                return;
            }
        }
    }

    fn take_grant(&mut self, asker: usize, asked_at: Duration) {
        if self.now <= asked_at + TOKEN_TIMEOUT {
            self.sends.push(self.now);
        } else if self.left_out == LeftOut::LateGrants {
            self.vms[asker].hoarded += 1;
        }
    }

    /// Lets callers ask for a request at some VM, as often as the organisation could ever use.
    fn run_callers(&mut self) {
        let asks = (self.quota.rate.0 * STEP.as_secs_f64() * 3.0).ceil() as usize;
        for _ in 0..=asks {
            let asker = self.rng.random_range(0..self.vms.len());
            if self.vms[asker].hoarded > 0 && self.now.as_secs() % 60 >= 50 {
                self.vms[asker].hoarded -= 1;
                self.sends.push(self.now);
            }
            for part in 0..QUOTA_PARTS {
                let delay = ms(self.rng.random_range(1..30));
                let ask = Transit::Ask {
                    asker,
                    asked_at: self.now,
                    part,
                };
                self.transit.push((self.now + delay, ask));
            }
        }
    }

    /// Returns the largest number of requests in any window, counted apart from the code under test.
    fn busiest_window(&self) -> usize {
        let mut busiest = 0;
        let mut first = 0;
        for (index, at) in self.sends.iter().enumerate() {
            while self.sends[first] + BOUND.window < *at {
                first += 1;
            }
            busiest = busiest.max(index + 1 - first);
        }
        busiest
    }
}

/// Returns how many of some histories exceed the bound.
fn count_exceeding(seeds: std::ops::Range<u64>, vm_count: usize, left_out: LeftOut) -> usize {
    let quota = quota(60.0, 60.0);
    let mut exceeding = 0;
    for seed in seeds {
        let mut history = QuotaHistory::new(seed, vm_count, quota, left_out);
        history.run(Duration::from_mins(3));
        exceeding += usize::from(history.busiest_window() as f64 > BOUND.limit(quota));
    }
    exceeding
}

/// Guards against more requests than the bound allows, over all VMs, whatever happens to VMs, messages and the store.
#[gtest]
fn no_window_has_more_requests_than_the_bound_allows() {
    expect_that!(count_exceeding(0..8, 30, LeftOut::Nothing), eq(0));
}

#[gtest]
#[ignore = "by hand: takes minutes"]
fn many_histories_stay_within_the_bound() {
    expect_that!(count_exceeding(1_000..1_200, 30, LeftOut::Nothing), eq(0));
    expect_that!(count_exceeding(2_000..2_010, 300, LeftOut::Nothing), eq(0));
}

/// Shows that the judge of the histories notices each guard that is left out.
#[gtest]
#[ignore = "by hand: takes minutes"]
fn each_guard_is_needed() {
    for left_out in [
        LeftOut::EmptyStart,
        LeftOut::Term,
        LeftOut::TakeoverDelay,
        LeftOut::EraWait,
        LeftOut::LateGrants,
    ] {
        expect_that!(count_exceeding(0..40, 30, left_out), gt(0), "{left_out:?}");
    }
}

/// The loss of one holder in six leaves the rest of the quota usable, and calm fleets use all of it.
#[gtest]
fn a_calm_fleet_can_use_the_whole_quota() {
    let quota = quota(60.0, 60.0);
    let mut history = QuotaHistory::new(1, 30, quota, LeftOut::Nothing);
    history.faults = false;
    history.run(Duration::from_mins(1));
    let sent_late = history.sends.iter().filter(|at| **at > ms(10_000)).count();
    expect_that!(sent_late as f64, ge(0.95 * quota.rate.0 * 50.0));
    expect_that!(history.busiest_window() as f64, le(BOUND.limit(quota)));
}
