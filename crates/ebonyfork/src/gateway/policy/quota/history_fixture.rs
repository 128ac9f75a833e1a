//! Model of a fleet whose callers ask for as many requests as they get, of one organisation, at VMs that change. VMs are
//! killed, stopped, paused and cut off from the store; messages are delayed and answers lost; the store is unavailable
//! or restored from an older copy.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::history_faults::Faults;
use super::history_transfers::ModelTransfer;
use super::history_versions::draw_changes;
use super::{
    PartHold, PartLedger, PartTransfers, QUOTA_CLAIM, QUOTA_PARTS, QuotaBound, RequestQuota,
};
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::claim::{ClaimRecord, ClaimTimings, ClaimWrite, StoreClaim};
use crate::ident::{IncarnationNumber, SessionId, VmAddress};
use crate::store::{StoreEra, StoreRevision};

/// Guards that can be left out of a history, to show that its judge notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeftOut {
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
    /// Holders start with an allowance although the record offers none.
    AllowanceOffer,
    /// Records offer an allowance as soon as the claim is taken over.
    OfferDelay,
    /// Records of another era offer an allowance.
    AllowanceEra,
    /// Transfers that arrive late are accepted.
    TransferTimeout,
    /// Transfers to an earlier process of the VM are accepted.
    TransferHold,
    /// Holders ask for more tokens than fit into the bucket, and keep them.
    TransferRoom,
}

/// Time by which the model advances in each step.
const STEP: Duration = Duration::from_millis(50);
/// Longest wait of a request for a token.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(125);

/// Quota and bound of a history.
#[derive(Debug, Clone, Copy)]
pub(super) struct HistoryTerms {
    pub(super) quota: RequestQuota,
    pub(super) bound: QuotaBound,
    /// Whether faults and demand are the same all the time, instead of coming in phases.
    pub(super) is_steady: bool,
    /// Lower quota that is in force from time to time, if it changes. VMs learn of a change one after the other.
    pub(super) lowered: Option<RequestQuota>,
}

impl HistoryTerms {
    pub(super) fn limit(&self) -> f64 {
        self.bound.limit(self.quota)
    }
}

/// Message or answer in transit between two VMs, or a claim's write in transit to the store or its answer back.
#[derive(Debug, Clone, Copy)]
pub(super) enum Transit {
    Ask {
        asker: usize,
        asked_at: Duration,
        part: usize,
    },
    Grant {
        asker: usize,
        asked_at: Duration,
    },
    Write(ModelWrite),
    Applied {
        write: ModelWrite,
        revision: StoreRevision,
    },
    TransferRequest(ModelTransfer),
    Transfer(ModelTransfer),
}

/// Write of a claim by one process.
#[derive(Debug, Clone, Copy)]
pub(super) struct ModelWrite {
    vm: usize,
    incarnation: u64,
    part: usize,
    write: ClaimWrite,
    begun_at: Duration,
}

/// Model of one VM. Its clock differs from model time by a rate, and keeps running while the VM is paused.
pub(super) struct ModelVm {
    pub(super) incarnation: u64,
    started_at: Duration,
    pub(super) clock_rate: f64,
    pub(super) paused_until: Duration,
    pub(super) store_cut_until: Duration,
    /// Time until which the VM reads no changes of the store, although it can write to it.
    pub(super) read_cut_until: Duration,
    /// Time until which the VM wants no claims, because it is about to stop.
    pub(super) leaving_until: Duration,
    pub(super) claims: Vec<StoreClaim>,
    pub(super) ledgers: Vec<PartLedger>,
    pub(super) transfers: Vec<PartTransfers>,
    /// Tokens beyond the capacity, kept only if the guard is left out.
    pub(super) surplus: Vec<u32>,
    pub(super) next_number: u64,
    /// Grants that arrived too late, kept only if the guard is left out.
    hoarded: usize,
}

impl ModelVm {
    pub(super) fn new(
        number: usize,
        incarnation: u64,
        started_at: Duration,
        clock_rate: f64,
        history: (ClaimTimings, Duration),
    ) -> Self {
        let session = session(number, incarnation);
        let (timings, window) = history;
        let new_claim = |_part| StoreClaim::new(session, timings).with_allowance(window);
        Self {
            incarnation,
            started_at,
            clock_rate,
            paused_until: started_at,
            store_cut_until: Duration::ZERO,
            read_cut_until: Duration::ZERO,
            leaving_until: Duration::ZERO,
            claims: (0..QUOTA_PARTS).map(new_claim).collect(),
            ledgers: (0..QUOTA_PARTS).map(|_| PartLedger::new()).collect(),
            transfers: (0..QUOTA_PARTS).map(|_| PartTransfers::default()).collect(),
            surplus: vec![0; QUOTA_PARTS],
            next_number: 0,
            hoarded: 0,
        }
    }

    pub(super) fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }
}

pub(super) fn session(number: usize, incarnation: u64) -> SessionId {
    let address = VmAddress([10, 0, (number / 250) as u8, (number % 250) as u8].into());
    SessionId::new(address, IncarnationNumber(incarnation))
}

pub(super) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(super) fn organisation() -> OrganisationName {
    OrganisationName::new("north-office")
}

/// Claims of all parts in the store: number of the revision, and record.
pub(super) type StoredClaims = Vec<Option<(u64, ClaimRecord)>>;

/// Whether callers ask, and the time in which that stays the same. While they don't ask, buckets fill.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    pub(super) asks: bool,
    pub(super) since: Duration,
    pub(super) until: Duration,
    /// Number of parts whose holders are asked.
    pub(super) parts: usize,
}

/// Model of the fleet, the store and the callers.
pub(super) struct QuotaHistory {
    pub(super) rng: ChaCha8Rng,
    pub(super) terms: HistoryTerms,
    pub(super) left_out: LeftOut,
    pub(super) now: Duration,
    pub(super) vms: Vec<ModelVm>,
    pub(super) stored: StoredClaims,
    pub(super) older_stored: StoredClaims,
    revision: u64,
    pub(super) era: StoreEra,
    pub(super) store_down_until: Duration,
    /// Messages by the time of their arrival, and a number that makes the key unique.
    pub(super) transit: BTreeMap<(Duration, u64), Transit>,
    pub(super) transit_count: u64,
    /// Messages on links that are stalled until the next burst of demand.
    pub(super) stalled: Vec<Transit>,
    /// Send times of all requests, in order.
    sends: Vec<Duration>,
    pub(super) faults: Option<Faults>,
    pub(super) demand: Demand,
    /// Times at which the quota is lowered and restored, in turn.
    pub(super) quota_changes: Vec<Duration>,
}

impl QuotaHistory {
    pub(super) fn new(seed: u64, vm_count: usize, terms: HistoryTerms, left_out: LeftOut) -> Self {
        let mut history = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            terms,
            left_out,
            now: Duration::ZERO,
            vms: Vec::new(),
            stored: vec![None; QUOTA_PARTS],
            older_stored: vec![None; QUOTA_PARTS],
            revision: 0,
            era: StoreEra::UNSTATED,
            store_down_until: Duration::ZERO,
            transit: BTreeMap::new(),
            transit_count: 0,
            stalled: Vec::new(),
            sends: Vec::new(),
            faults: Some(Faults::default()),
            demand: Demand {
                asks: true,
                since: Duration::ZERO,
                until: terms.bound.window * 4,
                parts: QUOTA_PARTS,
            },
            quota_changes: draw_changes(seed, terms),
        };
        for number in 0..vm_count {
            let clock_rate = 1.0 + history.rng.random_range(-0.01..0.01);
            let vm = ModelVm::new(number, 1, Duration::ZERO, clock_rate, history.claim_terms());
            history.vms.push(vm);
        }
        history
    }

    /// Leaves faults and pauses of the demand out.
    #[must_use]
    pub(super) fn without_faults(self) -> Self {
        Self {
            faults: None,
            ..self
        }
    }

    pub(super) fn sends(&self) -> &[Duration] {
        &self.sends
    }

    pub(super) fn claim_terms(&self) -> (ClaimTimings, Duration) {
        let mut timings = QUOTA_CLAIM;
        if self.left_out == LeftOut::TakeoverDelay {
            timings.takeover_delay = ms(300);
        }
        (timings, self.terms.bound.window)
    }

    pub(super) fn run(&mut self, length: Duration) {
        while self.now < length {
            self.now += STEP;
            self.clean_up();
            if self.faults.is_some() {
                self.change_demand();
                self.inject_due_faults();
                self.inject_faults();
            }
            self.deliver();
            for number in 0..self.vms.len() {
                self.run_claims(number);
            }
            if self.demand.asks || self.faults.is_none() {
                self.run_callers();
            }
        }
    }

    pub(super) fn random_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        ms(self.rng.random_range(range))
    }

    /// Returns the era as VMs learn of it.
    fn known_era(&self) -> StoreEra {
        if self.left_out == LeftOut::EraWait {
            StoreEra::UNSTATED
        } else {
            self.era
        }
    }

    /// Lets a VM read and write the claims.
    fn run_claims(&mut self, number: usize) {
        let now = self.now;
        let era = self.known_era();
        let fault_rate = self.fault_rate();
        let vm = &mut self.vms[number];
        let reaches_store = now >= vm.store_cut_until && now >= self.store_down_until;
        if now < vm.paused_until || !reaches_store {
            return;
        }
        let clock = vm.clock(now);
        let mut writes = Vec::new();
        for part in 0..QUOTA_PARTS {
            let claim = &mut vm.claims[part];
            if now >= vm.read_cut_until {
                claim.enter_era(era, clock);
                if let Some((revision, record)) = self.stored[part] {
                    claim.observe(StoreRevision::new(revision).with_era(era), record, clock);
                }
            }
            let Some(write) = claim.next_write(now >= vm.leaving_until, clock) else {
                continue;
            };
            let stored_record = self.stored[part].map(|(_revision, record)| record);
            let model_write = ModelWrite {
                vm: number,
                incarnation: vm.incarnation,
                part,
                write: without_guard(self.left_out, write, stored_record),
                begun_at: clock,
            };
            let is_slow = self.rng.random_bool(fault_rate * 0.05);
            let delay = ms(self.rng.random_range(4..if is_slow { 3_000 } else { 60 }));
            writes.push((delay, model_write));
        }
        for (delay, write) in writes {
            self.send(delay, Transit::Write(write));
        }
    }

    /// Delivers the messages that arrive until now, in the order of their arrival.
    fn deliver(&mut self) {
        let end = self.now;
        while let Some(entry) = self.transit.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _number), transit) = entry.remove_entry();
            self.now = at;
            self.handle(transit);
        }
        self.now = end;
    }

    fn handle(&mut self, transit: Transit) {
        match transit {
            Transit::Ask {
                asker,
                asked_at,
                part,
            } => self.answer(asker, asked_at, part),
            Transit::Grant { asker, asked_at } => self.take_grant(asker, asked_at),
            Transit::Write(write) => self.apply_write(write),
            Transit::Applied { write, revision } => self.record_write(write, revision),
            Transit::TransferRequest(request) => self.give_transfer(request),
            Transit::Transfer(transfer) => self.receive_transfer(transfer),
        }
    }

    /// Applies a write at the store. Its answer is sometimes slow, so that the VM reads its own record first, or lost.
    fn apply_write(&mut self, write: ModelWrite) {
        let current = self.stored[write.part].map_or(0, |(revision, _record)| revision);
        let expected = write.write.expected_revision.number();
        if self.now < self.store_down_until || current != expected {
            return;
        }
        self.revision += 1;
        self.stored[write.part] = Some((self.revision, write.write.record));
        let fault_rate = self.fault_rate();
        if self.rng.random_bool(fault_rate * 0.1) {
            return;
        }
        let is_slow = self.rng.random_bool(fault_rate * 0.1);
        let delay = self.random_ms(1..if is_slow { 1_500 } else { 20 });
        let revision = StoreRevision::new(self.revision).with_era(self.known_era());
        let applied = Transit::Applied { write, revision };
        self.send(delay, applied);
    }

    fn record_write(&mut self, write: ModelWrite, revision: StoreRevision) {
        let vm = &mut self.vms[write.vm];
        if vm.incarnation != write.incarnation || self.now < vm.paused_until {
            return;
        }
        let clock = vm.clock(self.now);
        vm.claims[write.part].record_write(write.write, revision, write.begun_at, clock);
    }

    /// Lets each VM that believes to hold a part answer: the asker may know an older holder.
    fn answer(&mut self, asker: usize, asked_at: Duration, part: usize) {
        let now = self.now;
        for number in 0..self.vms.len() {
            let terms = self.part_terms(number);
            let vm = &mut self.vms[number];
            if now < vm.paused_until {
                continue;
            }
            let clock = vm.clock(now);
            let holds = vm.claims[part].holder() == Some(session(number, vm.incarnation));
            let hold = match self.left_out {
                LeftOut::Term if holds => Some(PartHold::default()),
                _ => PartHold::of_claim(&vm.claims[part], clock),
            };
            let Some(hold) = hold else {
                continue;
            };
            // A bucket that has refilled for that long is full.
            let bucket_time = match self.left_out {
                LeftOut::EmptyStart => clock + Duration::from_mins(10),
                _ => clock,
            };
            vm.transfers[part].note_demand(clock);
            let surplus = vm.surplus[part].checked_sub(1);
            let taken = match surplus {
                Some(surplus) => {
                    vm.surplus[part] = surplus;
                    Ok(())
                }
                None => vm.ledgers[part].take(&organisation(), terms, hold, bucket_time),
            };
            match taken {
                Ok(()) => self.send_slowly(40, Transit::Grant { asker, asked_at }),
                Err(_wait) => self.begin_transfers(number, part, hold),
            }
            return;
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
        let by_rate = self.terms.quota.rate.0 * STEP.as_secs_f64() * 3.0;
        // Full buckets are used up within a second.
        let asks = by_rate.max(self.terms.limit() / 50.0).ceil() as usize;
        for _ in 0..=asks {
            let asker = self.rng.random_range(0..self.vms.len());
            let is_burst = self.now < self.demand.since + ms(2_000);
            if self.vms[asker].hoarded > 0 && is_burst {
                self.vms[asker].hoarded -= 1;
                self.sends.push(self.now);
            }
            for part in 0..self.demand.parts {
                let delay = self.random_ms(1..30);
                let ask = Transit::Ask {
                    asker,
                    asked_at: self.now,
                    part,
                };
                self.send(delay, ask);
            }
        }
    }

    /// Returns the largest number of requests in any window, counted apart from the code under test.
    pub(super) fn busiest_window(&self) -> usize {
        let mut busiest = 0;
        let mut first = 0;
        for (index, at) in self.sends.iter().enumerate() {
            while self.sends[first] + self.terms.bound.window < *at {
                first += 1;
            }
            busiest = busiest.max(index + 1 - first);
        }
        busiest
    }
}

/// Returns the write as a process without the guard would begin it. `replaced` is the record that it replaces.
fn without_guard(
    left_out: LeftOut,
    mut write: ClaimWrite,
    replaced: Option<ClaimRecord>,
) -> ClaimWrite {
    let is_held = write.record.holder.is_some();
    match left_out {
        LeftOut::AllowanceOffer => write.takes_allowance = true,
        LeftOut::OfferDelay => write.record.offers_allowance |= is_held,
        LeftOut::AllowanceEra => {
            write.takes_allowance |= replaced
                .is_some_and(|record| record.era != write.record.era && record.offers_allowance);
        }
        _ => {}
    }
    write
}
