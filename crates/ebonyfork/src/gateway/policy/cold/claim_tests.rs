use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::policy::cold::SendWindow;
use crate::ident::{IncarnationNumber, VmAddress};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn session(vm: u8, incarnation: u64) -> SessionId {
    SessionId::new(
        VmAddress([10, 0, 0, vm].into()),
        IncarnationNumber(incarnation),
    )
}

fn held_by(holder: SessionId) -> ClaimRecord {
    ClaimRecord {
        holder: Some(holder),
        era: StoreEra::UNSTATED,
    }
}

fn in_era(number: u64, era: u64) -> StoreRevision {
    StoreRevision::new(number).with_era(StoreEra(era))
}

/// The store was restored without the claim; its holder keeps sending until its term ends or it learns of the new era.
#[gtest]
fn a_claim_is_void_in_a_new_era_and_written_again_after_its_term() {
    let mut holder = ZoneClaim::new(session(1, 1));
    let write = holder.next_write(true, ms(0)).expect("nobody holds it");
    holder.record_write(write, StoreRevision::new(9), ms(0), ms(10));
    expect_that!(holder.may_send(ms(100)), eq(true));
    holder.enter_era(StoreEra(1), ms(100));
    expect_that!(holder.may_send(ms(100)), eq(false));
    expect_that!(holder.next_write(true, ms(5_599)), none());
    let write = holder.next_write(true, ms(5_600)).expect("no term is left");
    expect_that!(write.expected, eq(in_era(0, 1)));
    // A process that has just started can't know for how long the era has lasted.
    let mut started = ZoneClaim::new(session(2, 1));
    started.enter_era(StoreEra(1), ms(20));
    expect_that!(started.next_write(true, ms(5_519)), none());
    expect_that!(started.next_write(true, ms(5_520)), some(anything()));
}

#[gtest]
fn a_write_applied_in_another_era_is_ignored() {
    let mut claim = ZoneClaim::new(session(1, 1));
    let write = claim.next_write(true, ms(0)).expect("nobody holds it");
    claim.record_write(write, in_era(9, 1), ms(0), ms(10));
    expect_that!(claim.may_send(ms(100)), eq(false));
    expect_that!(claim.next_write(true, ms(2_000)), none());
    // The same holds for a write of an era that has ended.
    claim.enter_era(StoreEra(2), ms(3_000));
    claim.record_write(write, in_era(9, 1), ms(0), ms(3_100));
    expect_that!(claim.may_send(ms(3_100)), eq(false));
}

/// The condition held because a revision number was assigned twice, so the record has replaced a claim that is in use.
#[gtest]
fn a_record_with_a_condition_of_another_era_is_waited_out() {
    let stale = |holder| ClaimRecord {
        holder,
        era: StoreEra(1),
    };
    for holder in [None, Some(session(1, 1)), Some(session(2, 1))] {
        let mut claim = ZoneClaim::new(session(1, 1));
        claim.enter_era(StoreEra(2), ms(0));
        claim.observe(in_era(7, 2), stale(holder), ms(6_000));
        expect_that!(claim.next_write(true, ms(11_499)), none());
        expect_that!(claim.next_write(true, ms(11_500)), some(anything()));
    }
}

#[gtest]
fn a_claim_of_another_vm_is_taken_over_after_its_term() {
    let mut claim = ZoneClaim::new(session(1, 1));
    claim.observe(StoreRevision::new(7), held_by(session(2, 1)), ms(1_000));
    expect_that!(claim.next_write(true, ms(5_000)), none());
    expect_that!(claim.is_held(ms(5_000)), eq(true));
    claim.observe(StoreRevision::new(8), held_by(session(2, 1)), ms(5_000));
    expect_that!(claim.next_write(true, ms(10_400)), none());
    let write = claim
        .next_write(true, ms(10_500))
        .expect("the term has passed");
    expect_that!(write.expected, eq(StoreRevision::new(8)));
    claim.record_write(write, StoreRevision::new(9), ms(10_500), ms(10_520));
    expect_that!(claim.may_send(ms(11_519)), eq(false));
    expect_that!(claim.may_send(ms(11_520)), eq(true));
    expect_that!(claim.may_send(ms(14_500)), eq(false));
}

#[gtest]
fn a_holder_stops_before_it_gives_the_claim_back() {
    let mut claim = ZoneClaim::new(session(1, 1));
    let write = claim.next_write(true, ms(0)).expect("nobody holds it");
    claim.record_write(write, StoreRevision::new(2), ms(0), ms(10));
    expect_that!(claim.next_write(true, ms(1_000)), none());
    expect_that!(claim.next_write(true, ms(1_300)), some(anything()));
    let back = claim
        .next_write(false, ms(2_000))
        .expect("it is given back");
    expect_that!(back.record.holder, none());
    expect_that!(claim.may_send(ms(2_000)), eq(false));
    claim.record_write(back, StoreRevision::new(3), ms(2_000), ms(2_010));
    expect_that!(claim.next_write(false, ms(9_000)), none());
}

#[gtest]
fn a_holder_that_observes_another_holder_stops() {
    let mut claim = ZoneClaim::new(session(1, 1));
    let write = claim.next_write(true, ms(0)).expect("nobody holds it");
    claim.record_write(write, StoreRevision::new(2), ms(0), ms(10));
    expect_that!(claim.may_send(ms(100)), eq(true));
    claim.observe(StoreRevision::new(3), held_by(session(2, 1)), ms(100));
    expect_that!(claim.may_send(ms(100)), eq(false));
}

/// Requests that the holder may send per second.
const PACE: usize = 3;
/// Step of model time.
const STEP: Duration = Duration::from_millis(20);

/// Write in transit to the store, or its reply in transit back.
#[derive(Debug, Clone, Copy)]
struct WriteInTransit {
    write: ClaimWrite,
    begun: Duration,
    arrives: Duration,
    /// Time at which the reply arrives; `None` if it is lost.
    answered: Option<Duration>,
    done: Option<StoreRevision>,
}

/// Notification from the store in transit to a VM.
#[derive(Debug, Clone, Copy)]
struct StoreNotification {
    at: Duration,
    revision: StoreRevision,
    /// `None` if the key doesn't exist.
    record: Option<ClaimRecord>,
}

/// Snapshot of the store's contents.
#[derive(Debug, Clone, Copy)]
struct StoreSnapshot {
    at: Duration,
    number: u64,
    key: Option<(u64, ClaimRecord)>,
}

struct ModelVm {
    number: u8,
    incarnation: u64,
    claim: ZoneClaim,
    sent: SendWindow,
    notifications: Vec<StoreNotification>,
    writes: Vec<WriteInTransit>,
    paused_until: Duration,
    dead_until: Option<Duration>,
    /// Whether it considers itself the VM that should send.
    wants_claim: bool,
}

impl ModelVm {
    fn new(number: u8, incarnation: u64) -> Self {
        Self {
            number,
            incarnation,
            claim: ZoneClaim::new(session(number, incarnation)),
            sent: SendWindow::new(),
            notifications: Vec::new(),
            writes: Vec::new(),
            paused_until: Duration::ZERO,
            dead_until: None,
            wants_claim: false,
        }
    }
}

/// Model of VMs that compete for one claim. Writes are lost, delayed or not applied, notifications are delayed, VMs are
/// paused, killed and restarted, and any number of them may consider themselves the one that should send.
struct ClaimModel {
    rng: ChaCha8Rng,
    now: Duration,
    vms: Vec<ModelVm>,
    /// Revision number and record of the claim.
    key: Option<(u64, ClaimRecord)>,
    number: u64,
    era: StoreEra,
    /// Random source for restores of the store; `None` if there are none.
    restores: Option<ChaCha8Rng>,
    snapshots: Vec<StoreSnapshot>,
    down_until: Duration,
    /// Send times of all requests, in order.
    sends: Vec<Duration>,
}

impl ClaimModel {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            vms: (1..=5).map(|number| ModelVm::new(number, 1)).collect(),
            key: None,
            number: 0,
            era: StoreEra::UNSTATED,
            restores: None,
            snapshots: Vec::new(),
            down_until: Duration::ZERO,
            sends: Vec::new(),
        }
    }

    /// Makes the store state an era and be restored from older copies.
    fn with_restores(self, seed: u64) -> Self {
        Self {
            era: StoreEra(1),
            restores: Some(ChaCha8Rng::seed_from_u64(!seed)),
            ..self
        }
    }

    /// Takes a snapshot of the store and sometimes restores an older one, with or without an outage. Other keys are
    /// written meanwhile.
    fn maybe_restore(&mut self) {
        let Some(rng) = &mut self.restores else {
            return;
        };
        self.snapshots.push(StoreSnapshot {
            at: self.now,
            number: self.number,
            key: self.key,
        });
        if rng.random_bool(0.01) {
            self.number += 1;
        }
        if !rng.random_bool(0.002) {
            return;
        }
        let oldest = self.now.saturating_sub(ms(rng.random_range(0..9_000)));
        let place = self
            .snapshots
            .partition_point(|snapshot| snapshot.at < oldest);
        let snapshot = self.snapshots[place];
        (self.number, self.key) = (snapshot.number, snapshot.key);
        self.era.0 += 1;
        self.down_until = self.now + ms(rng.random_range(0..2_500));
        let revision = self.key.map_or(self.number, |(number, _record)| number);
        self.notify(revision, self.key.map(|(_number, record)| record));
    }

    fn run(&mut self, length: Duration) {
        while self.now < length {
            self.maybe_restore();
            self.inject_faults();
            for number in 0..self.vms.len() {
                self.apply_writes(number);
                self.run_vm(number);
            }
            self.now += STEP;
        }
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        if self.rng.random_bool(0.001) {
            self.down_until = now + ms(self.rng.random_range(200..6_000));
        }
        for vm in &mut self.vms {
            if vm.dead_until.is_some_and(|until| until <= now) {
                let notifications = vm.notifications.clone();
                *vm = ModelVm::new(vm.number, vm.incarnation + 1);
                vm.notifications = notifications;
            }
            if self.rng.random_bool(0.002) {
                vm.wants_claim = !vm.wants_claim;
            }
            // With restores, every VM wants to send: the worst case.
            vm.wants_claim |= self.restores.is_some();
            if self.rng.random_bool(0.002) {
                vm.paused_until = now + ms(self.rng.random_range(100..7_000));
            }
            if self.rng.random_bool(0.0007) {
                vm.dead_until = Some(now + ms(self.rng.random_range(100..3_000)));
                // Writes in transit still reach the store.
                for write in &mut vm.writes {
                    write.answered = None;
                }
            }
        }
    }

    /// Applies the writes that arrive at the store, if their condition holds.
    fn apply_writes(&mut self, number: usize) {
        let mut writes = std::mem::take(&mut self.vms[number].writes);
        for write in &mut writes {
            if write.done.is_some() || write.arrives > self.now || self.now < self.down_until {
                continue;
            }
            write.arrives = Duration::MAX;
            // The store compares revision numbers only, not eras.
            let current = self.key.map_or(0, |(number, _record)| number);
            if current != write.write.expected.number() {
                continue;
            }
            self.number += 1;
            self.key = Some((self.number, write.write.record));
            write.done = Some(StoreRevision::new(self.number).with_era(self.era));
            self.notify(self.number, Some(write.write.record));
        }
        self.vms[number].writes = writes;
    }

    fn notify(&mut self, number: u64, record: Option<ClaimRecord>) {
        let revision = StoreRevision::new(number).with_era(self.era);
        for vm in &mut self.vms {
            let lag = match self.restores {
                // Partitioned for longer than any term.
                Some(_) if self.rng.random_bool(0.2) => 25_000,
                _ if self.rng.random_bool(0.1) => 5_000,
                _ => 300,
            };
            let at = self.now + ms(self.rng.random_range(5..lag));
            vm.notifications.push(StoreNotification {
                at,
                revision,
                record,
            });
        }
    }

    fn run_vm(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        if vm.dead_until.is_some() || now < vm.paused_until {
            return;
        }
        for notification in &vm.notifications {
            if notification.at <= now {
                vm.claim.enter_era(notification.revision.era(), now);
                if let Some(record) = notification.record {
                    vm.claim.observe(notification.revision, record, now);
                }
            }
        }
        vm.notifications
            .retain(|notification| notification.at > now);
        let (answers, rest): (Vec<_>, Vec<_>) = vm
            .writes
            .drain(..)
            .partition(|write| write.answered.is_some_and(|at| at <= now));
        vm.writes = rest;
        for answer in answers {
            if let Some(revision) = answer.done {
                vm.claim
                    .record_write(answer.write, revision, answer.begun, now);
            }
        }
        if let Some(write) = vm.claim.next_write(vm.wants_claim, now) {
            let late = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(2..if late { 6_000 } else { 100 });
            let arrives = now + ms(delay);
            let lost = late || self.rng.random_bool(0.1);
            vm.writes.push(WriteInTransit {
                write,
                begun: now,
                arrives,
                answered: (!lost).then_some(arrives + ms(40)),
                done: None,
            });
        }
        // Unlimited demand: sends as many requests as the window allows.
        while vm.claim.may_send(now) && vm.sent.try_record(PACE, now) {
            self.sends.push(now);
        }
    }

    /// Returns the highest number of requests in any second.
    fn busiest_second(&self) -> usize {
        let first = |sent: &Duration| {
            self.sends
                .partition_point(|other| *other + ms(1_000) <= *sent)
        };
        let counts = self.sends.iter().enumerate();
        counts
            .map(|(number, sent)| number + 1 - first(sent))
            .max()
            .unwrap_or_default()
    }
}

/// Guards against two VMs sending in the same second: whatever happens to VMs and writes, no second has more requests
/// than one VM may send. Also checks that the claim is useful, i.e. that some VM sends for a good part of the time.
#[gtest]
fn no_second_has_more_requests_than_one_vm_may_send() {
    const LENGTH: Duration = Duration::from_mins(4);
    let mut sent = 0;
    for seed in 0..40 {
        let mut model = ClaimModel::new(seed);
        model.run(LENGTH);
        expect_that!(model.busiest_second(), le(PACE), "seed {seed}");
        sent += model.sends.len();
    }
    let possible = 40 * PACE * LENGTH.as_secs() as usize;
    expect_that!(sent, ge(possible / 3), "of {possible}");
}

/// Makes the same check while the store is restored from older copies, also several times within one term. Without the
/// wait in a new era, or if writes counted whatever the era of their reply, some second would have more requests.
fn check_sends_across_eras(seeds: impl IntoIterator<Item = u64>) {
    const LENGTH: Duration = Duration::from_mins(4);
    let mut sent = 0;
    let mut histories = 0;
    for seed in seeds {
        histories += 1;
        let mut model = ClaimModel::new(seed).with_restores(seed);
        model.run(LENGTH);
        expect_that!(model.busiest_second(), le(PACE), "seed {seed}");
        sent += model.sends.len();
    }
    let possible = histories * PACE * LENGTH.as_secs() as usize;
    expect_that!(sent, ge(possible / 10), "of {possible}");
}

#[gtest]
fn no_second_has_more_requests_than_one_vm_may_send_across_eras() {
    // Seed 1368 fails without the wait in a new era; seed 7 fails if writes of any era count.
    check_sends_across_eras((0..40).chain([1_368]));
}

#[gtest]
#[ignore = "by hand: takes a minute"]
fn many_histories_across_eras() {
    check_sends_across_eras(1_000..1_400);
}
