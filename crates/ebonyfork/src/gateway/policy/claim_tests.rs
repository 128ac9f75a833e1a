use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::gateway::policy::cold::{COLD_CLAIM, SendWindow};
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
        offers_allowance: false,
    }
}

fn in_era(revision_number: u64, era: u64) -> StoreRevision {
    StoreRevision::new(revision_number).with_era(StoreEra(era))
}

/// The store was restored from a copy without the claim; the holder of the claim keeps sending until its term ends or
/// it learns of the new era.
#[gtest]
fn a_claim_is_void_in_a_new_era_and_written_again_after_its_term() {
    let mut holder = StoreClaim::new(session(1, 1), COLD_CLAIM);
    let write = holder.next_write(true, ms(0)).expect("nobody holds it");
    holder.record_write(write, StoreRevision::new(9), ms(0), ms(10));
    expect_that!(holder.is_usable(ms(100)), eq(true));
    holder.enter_era(StoreEra(1), ms(100));
    expect_that!(holder.is_usable(ms(100)), eq(false));
    expect_that!(holder.next_write(true, ms(5_599)), none());
    let write = holder.next_write(true, ms(5_600)).expect("no term is left");
    expect_that!(write.expected_revision, eq(in_era(0, 1)));
    // A process that has just started can't know when the era began, so it writes no claim until as much time has
    // passed since it learned of the era.
    let mut new_process = StoreClaim::new(session(2, 1), COLD_CLAIM);
    new_process.enter_era(StoreEra(1), ms(20));
    expect_that!(new_process.next_write(true, ms(5_519)), none());
    expect_that!(new_process.next_write(true, ms(5_520)), some(anything()));
}

#[gtest]
fn a_write_applied_in_another_era_is_ignored() {
    let mut claim = StoreClaim::new(session(1, 1), COLD_CLAIM);
    let write = claim.next_write(true, ms(0)).expect("nobody holds it");
    claim.record_write(write, in_era(9, 1), ms(0), ms(10));
    expect_that!(claim.is_usable(ms(100)), eq(false));
    expect_that!(claim.next_write(true, ms(2_000)), none());
    // A write is also ignored if the era in which it was applied has ended.
    claim.enter_era(StoreEra(2), ms(3_000));
    claim.record_write(write, in_era(9, 1), ms(0), ms(3_100));
    expect_that!(claim.is_usable(ms(3_100)), eq(false));
}

/// The store applied the write because a revision number was assigned twice, so its record has replaced a claim that
/// may still be in use.
#[gtest]
fn a_record_with_a_condition_of_another_era_is_waited_out() {
    let record_of_era_1 = |holder| ClaimRecord {
        holder,
        era: StoreEra(1),
        offers_allowance: false,
    };
    for holder in [None, Some(session(1, 1)), Some(session(2, 1))] {
        let mut claim = StoreClaim::new(session(1, 1), COLD_CLAIM);
        claim.enter_era(StoreEra(2), ms(0));
        claim.observe(in_era(7, 2), record_of_era_1(holder), ms(6_000));
        expect_that!(claim.next_write(true, ms(11_499)), none());
        expect_that!(claim.next_write(true, ms(11_500)), some(anything()));
    }
}

#[gtest]
fn a_claim_of_another_vm_is_taken_over_after_its_term() {
    let mut claim = StoreClaim::new(session(1, 1), COLD_CLAIM);
    claim.observe(StoreRevision::new(7), held_by(session(2, 1)), ms(1_000));
    expect_that!(claim.next_write(true, ms(5_000)), none());
    expect_that!(claim.is_held(ms(5_000)), eq(true));
    claim.observe(StoreRevision::new(8), held_by(session(2, 1)), ms(5_000));
    expect_that!(claim.next_write(true, ms(10_400)), none());
    let write = claim
        .next_write(true, ms(10_500))
        .expect("the term has passed");
    expect_that!(write.expected_revision, eq(StoreRevision::new(8)));
    claim.record_write(write, StoreRevision::new(9), ms(10_500), ms(10_520));
    expect_that!(claim.is_usable(ms(11_519)), eq(false));
    expect_that!(claim.is_usable(ms(11_520)), eq(true));
    expect_that!(claim.is_usable(ms(14_500)), eq(false));
}

#[gtest]
fn a_holder_stops_before_it_gives_the_claim_back() {
    let mut claim = StoreClaim::new(session(1, 1), COLD_CLAIM);
    let write = claim.next_write(true, ms(0)).expect("nobody holds it");
    claim.record_write(write, StoreRevision::new(2), ms(0), ms(10));
    expect_that!(claim.next_write(true, ms(1_000)), none());
    expect_that!(claim.next_write(true, ms(1_300)), some(anything()));
    let give_back = claim
        .next_write(false, ms(2_000))
        .expect("it is given back");
    expect_that!(give_back.record.holder, none());
    expect_that!(claim.is_usable(ms(2_000)), eq(false));
    claim.record_write(give_back, StoreRevision::new(3), ms(2_000), ms(2_010));
    expect_that!(claim.next_write(false, ms(9_000)), none());
}

#[gtest]
fn a_holder_that_observes_another_holder_stops() {
    let mut claim = StoreClaim::new(session(1, 1), COLD_CLAIM);
    let write = claim.next_write(true, ms(0)).expect("nobody holds it");
    claim.record_write(write, StoreRevision::new(2), ms(0), ms(10));
    expect_that!(claim.is_usable(ms(100)), eq(true));
    claim.observe(StoreRevision::new(3), held_by(session(2, 1)), ms(100));
    expect_that!(claim.is_usable(ms(100)), eq(false));
}

/// Number of requests that the holder of the claim may send per second.
const PACE: usize = 3;
/// Time by which the model advances in each step.
const STEP: Duration = Duration::from_millis(20);

/// Write in transit to the store, or its reply in transit back.
#[derive(Debug, Clone, Copy)]
struct WriteInTransit {
    write: ClaimWrite,
    begun_at: Duration,
    arrives_at: Duration,
    /// Time at which the reply arrives; `None` if it is lost.
    answered_at: Option<Duration>,
    /// Revision that the write created; `None` if the store has not applied it.
    applied_revision: Option<StoreRevision>,
}

/// Notification from the store in transit to a VM.
#[derive(Debug, Clone, Copy)]
struct StoreNotification {
    arrives_at: Duration,
    revision: StoreRevision,
    /// Record of the claim; `None` if the claim's key doesn't exist.
    record: Option<ClaimRecord>,
}

/// Copy of the modelled store, from which it can be restored.
#[derive(Debug, Clone, Copy)]
struct StoreSnapshot {
    taken_at: Duration,
    revision_number: u64,
    stored_claim: Option<(u64, ClaimRecord)>,
}

/// Model of one VM with its current process.
struct ModelVm {
    number: u8,
    incarnation: u64,
    claim: StoreClaim,
    send_window: SendWindow,
    notifications: Vec<StoreNotification>,
    writes: Vec<WriteInTransit>,
    paused_until: Duration,
    dead_until: Option<Duration>,
    /// Whether the VM considers itself the one that should send.
    wants_claim: bool,
}

impl ModelVm {
    fn new(number: u8, incarnation: u64) -> Self {
        Self {
            number,
            incarnation,
            claim: StoreClaim::new(session(number, incarnation), COLD_CLAIM),
            send_window: SendWindow::new(),
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
    /// Revision number and record of the claim in the store; `None` if its key doesn't exist.
    stored_claim: Option<(u64, ClaimRecord)>,
    /// Number of the store's latest revision.
    revision_number: u64,
    era: StoreEra,
    /// Random source for restores of the store; `None` if there are none.
    restore_rng: Option<ChaCha8Rng>,
    snapshots: Vec<StoreSnapshot>,
    down_until: Duration,
    /// Send times of all requests, in order.
    send_times: Vec<Duration>,
}

impl ClaimModel {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            vms: (1..=5).map(|number| ModelVm::new(number, 1)).collect(),
            stored_claim: None,
            revision_number: 0,
            era: StoreEra::UNSTATED,
            restore_rng: None,
            snapshots: Vec::new(),
            down_until: Duration::ZERO,
            send_times: Vec::new(),
        }
    }

    /// Makes the store state an era and be restored from older copies.
    fn with_restores(self, seed: u64) -> Self {
        Self {
            era: StoreEra(1),
            restore_rng: Some(ChaCha8Rng::seed_from_u64(!seed)),
            ..self
        }
    }

    /// Takes a snapshot of the store and sometimes restores an older one, with or without an outage after it. Also
    /// models clients that write other keys of the store now and then: such a write advances the store's revision
    /// number but leaves the claim as it is, so a number that is assigned again after a restore needn't belong to the
    /// claim.
    fn maybe_restore(&mut self) {
        let Some(rng) = &mut self.restore_rng else {
            return;
        };
        self.snapshots.push(StoreSnapshot {
            taken_at: self.now,
            revision_number: self.revision_number,
            stored_claim: self.stored_claim,
        });
        if rng.random_bool(0.01) {
            self.revision_number += 1;
        }
        if !rng.random_bool(0.002) {
            return;
        }
        let restore_time = self.now.saturating_sub(ms(rng.random_range(0..9_000)));
        let index = self
            .snapshots
            .partition_point(|snapshot| snapshot.taken_at < restore_time);
        let snapshot = self.snapshots[index];
        (self.revision_number, self.stored_claim) =
            (snapshot.revision_number, snapshot.stored_claim);
        self.era.0 += 1;
        self.down_until = self.now + ms(rng.random_range(0..2_500));
        let revision = self
            .stored_claim
            .map_or(self.revision_number, |(number, _record)| number);
        self.notify(revision, self.stored_claim.map(|(_number, record)| record));
    }

    fn run(&mut self, history_length: Duration) {
        while self.now < history_length {
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
            vm.wants_claim |= self.restore_rng.is_some();
            if self.rng.random_bool(0.002) {
                vm.paused_until = now + ms(self.rng.random_range(100..7_000));
            }
            if self.rng.random_bool(0.0007) {
                vm.dead_until = Some(now + ms(self.rng.random_range(100..3_000)));
                // Writes in transit still reach the store, but their replies don't reach the VM.
                for write in &mut vm.writes {
                    write.answered_at = None;
                }
            }
        }
    }

    /// Applies the writes that arrive at the store, if their condition holds.
    fn apply_writes(&mut self, number: usize) {
        let mut writes = std::mem::take(&mut self.vms[number].writes);
        for write in &mut writes {
            if write.applied_revision.is_some()
                || write.arrives_at > self.now
                || self.now < self.down_until
            {
                continue;
            }
            write.arrives_at = Duration::MAX;
            // The store compares only the numbers of revisions, not their eras.
            let current_number = self.stored_claim.map_or(0, |(number, _record)| number);
            if current_number != write.write.expected_revision.number() {
                continue;
            }
            self.revision_number += 1;
            self.stored_claim = Some((self.revision_number, write.write.record));
            write.applied_revision =
                Some(StoreRevision::new(self.revision_number).with_era(self.era));
            self.notify(self.revision_number, Some(write.write.record));
        }
        self.vms[number].writes = writes;
    }

    fn notify(&mut self, revision_number: u64, record: Option<ClaimRecord>) {
        let revision = StoreRevision::new(revision_number).with_era(self.era);
        for vm in &mut self.vms {
            let lag = match self.restore_rng {
                // The VM may be partitioned from the store for longer than any term.
                Some(_) if self.rng.random_bool(0.2) => 25_000,
                _ if self.rng.random_bool(0.1) => 5_000,
                _ => 300,
            };
            let arrives_at = self.now + ms(self.rng.random_range(5..lag));
            vm.notifications.push(StoreNotification {
                arrives_at,
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
            if notification.arrives_at <= now {
                vm.claim.enter_era(notification.revision.era(), now);
                if let Some(record) = notification.record {
                    vm.claim.observe(notification.revision, record, now);
                }
            }
        }
        vm.notifications
            .retain(|notification| notification.arrives_at > now);
        let (answered_writes, unanswered_writes): (Vec<_>, Vec<_>) = vm
            .writes
            .drain(..)
            .partition(|write| write.answered_at.is_some_and(|at| at <= now));
        vm.writes = unanswered_writes;
        for answered_write in answered_writes {
            if let Some(revision) = answered_write.applied_revision {
                vm.claim
                    .record_write(answered_write.write, revision, answered_write.begun_at, now);
            }
        }
        if let Some(write) = vm.claim.next_write(vm.wants_claim, now) {
            let is_late = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(2..if is_late { 6_000 } else { 100 });
            let arrives_at = now + ms(delay);
            let is_lost = is_late || self.rng.random_bool(0.1);
            vm.writes.push(WriteInTransit {
                write,
                begun_at: now,
                arrives_at,
                answered_at: (!is_lost).then_some(arrives_at + ms(40)),
                applied_revision: None,
            });
        }
        // The callers' demand is unlimited: the VM sends as many requests as its window allows.
        while vm.claim.is_usable(now) && vm.send_window.try_record(PACE, now) {
            self.send_times.push(now);
        }
    }

    /// Returns the highest number of requests in any second.
    fn busiest_second(&self) -> usize {
        let first_in_second = |send_time: &Duration| {
            self.send_times
                .partition_point(|time| *time + ms(1_000) <= *send_time)
        };
        let counts = self.send_times.iter().enumerate();
        counts
            .map(|(number, send_time)| number + 1 - first_in_second(send_time))
            .max()
            .unwrap_or_default()
    }
}

/// Guards against two VMs sending in the same second: whatever happens to VMs and writes, no second has more requests
/// than one VM may send. Also checks that the claim is useful: the VMs send at least a third of the requests possible.
#[gtest]
fn no_second_has_more_requests_than_one_vm_may_send() {
    const HISTORY_LENGTH: Duration = Duration::from_mins(4);
    let mut total_sends = 0;
    for seed in 0..40 {
        let mut model = ClaimModel::new(seed);
        model.run(HISTORY_LENGTH);
        expect_that!(model.busiest_second(), le(PACE), "seed {seed}");
        total_sends += model.send_times.len();
    }
    let max_sends = 40 * PACE * HISTORY_LENGTH.as_secs() as usize;
    expect_that!(total_sends, ge(max_sends / 3), "of {max_sends}");
}

/// Checks that no second has more requests than one VM may send while the store is restored from older copies, also
/// several times within one term. Without the wait in a new era, or if writes counted whatever the era of their reply,
/// some second would have more requests.
fn check_sends_across_eras(seeds: impl IntoIterator<Item = u64>) {
    const HISTORY_LENGTH: Duration = Duration::from_mins(4);
    let mut total_sends = 0;
    let mut history_count = 0;
    for seed in seeds {
        history_count += 1;
        let mut model = ClaimModel::new(seed).with_restores(seed);
        model.run(HISTORY_LENGTH);
        expect_that!(model.busiest_second(), le(PACE), "seed {seed}");
        total_sends += model.send_times.len();
    }
    let max_sends = history_count * PACE * HISTORY_LENGTH.as_secs() as usize;
    expect_that!(total_sends, ge(max_sends / 10), "of {max_sends}");
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
