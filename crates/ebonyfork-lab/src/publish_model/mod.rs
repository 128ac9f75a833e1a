//! Random histories of publishing: two operators, lost and late answers, a store that goes back, VMs that come and go.
//!
//! The model runs the tier's own decisions (`PublishRun`, `ChangeRecord::follows`, `plan_restore`) against a store that
//! is a few maps. Each history is one seed; the checks look at what was told to the operators and what the VMs held.

mod counts;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use compact_str::format_compact;
use ebonyfork::declaration::DeclaredFile;
use ebonyfork::ident::RevisionNumber;
use ebonyfork::revision::{
    ChangeId, ChangeRecord, ExpectedBase, HeadRecord, HeldEvidence, PartSet, PublishAction,
    PublishOutcome, PublishReply, PublishRequest, PublishRun, RestorePlan, may_replace, must_adopt,
    plan_restore,
};
use ebonyfork::store::{StoreError, StoreRevision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use counts::HistoryCounts;
use store::{CallFate, ModelStore};

const OPERATORS: usize = 2;
const VMS: usize = 3;
/// Publishings of each operator in one history.
const ROUNDS: u32 = 3;

/// Runs one history. With `restarts`, the store goes back to older data now and then.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::publish_model::run_history;
///
/// let counts = run_history(1, false)?;
/// assert_eq!(counts.histories, 1);
/// # Ok::<(), String>(())
/// ```
pub fn run_history(seed: u64, restarts: bool) -> Result<HistoryCounts, String> {
    let mut history = PublishHistory::new(seed, restarts);
    history.run()?;
    history.check_end()?;
    Ok(history.counts)
}

#[derive(Debug)]
struct ModelOperator {
    run: PublishRun,
    action: PublishAction,
    change: ChangeId,
    rounds: u32,
}

#[derive(Debug)]
struct PublishHistory {
    rng: ChaCha8Rng,
    restarts: bool,
    store: ModelStore,
    backups: Vec<ModelStore>,
    late: Vec<(StoreRevision, HeadRecord)>,
    operators: Vec<ModelOperator>,
    held: Vec<Option<ChangeRecord>>,
    /// VMs whose first revision since their start may still be doubted.
    provisional: Vec<bool>,
    accepted: Vec<HeadRecord>,
    told: Vec<(ChangeId, PublishOutcome)>,
    /// Every record that was ever written.
    written: BTreeMap<ChangeId, ChangeRecord>,
    /// Every change that was ever the head.
    heads: Vec<HeadRecord>,
    counts: HistoryCounts,
}

impl PublishHistory {
    fn new(seed: u64, restarts: bool) -> Self {
        let mut history = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            restarts,
            store: ModelStore::default(),
            backups: Vec::new(),
            late: Vec::new(),
            operators: Vec::new(),
            held: vec![None; VMS],
            provisional: vec![false; VMS],
            accepted: Vec::new(),
            told: Vec::new(),
            written: BTreeMap::new(),
            heads: Vec::new(),
            counts: HistoryCounts {
                histories: 1,
                ..HistoryCounts::default()
            },
        };
        for _ in 0..OPERATORS {
            let operator = history.start_operator(ROUNDS);
            history.operators.push(operator);
        }
        history
    }

    fn start_operator(&mut self, rounds: u32) -> ModelOperator {
        let connections = self.rng.random_range(1..=1_000);
        let text = format!("[service tender-00]\nconnections = {connections}\ndrain = 10s\n");
        let files = [DeclaredFile::new("main.ini", text)];
        let change = ChangeId::random(&mut self.rng);
        let base = if self.rng.random_bool(0.5) {
            ExpectedBase::Any
        } else {
            ExpectedBase::Exactly(self.store.head.map(|(_, head)| head))
        };
        let mut run = PublishRun::new(PublishRequest {
            parts: PartSet::new(&files).unwrap_or_default(),
            change,
            author: format_compact!("operator"),
            note: format_compact!("round {rounds}"),
            time_ms: 0,
            base,
        });
        let action = run.start();
        ModelOperator {
            run,
            action,
            change,
            rounds,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while !self.operators.is_empty() {
            match self.rng.random_range(0..10) {
                0 => self.land_late(),
                1 => self.write_evidence(),
                2 if self.restarts => self.disturb_store(),
                3..=5 => self.step_vm()?,
                _ => self.step_operator()?,
            }
        }
        Ok(())
    }

    /// A call that its caller has given up takes effect, or meets a head that has moved.
    fn land_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let number = self.rng.random_range(0..self.late.len());
        let (expected, head) = self.late.swap_remove(number);
        let _too_late = self.swap(expected, head);
    }

    fn swap(
        &mut self,
        expected: StoreRevision,
        head: HeadRecord,
    ) -> Result<StoreRevision, StoreError> {
        let swapped = self.store.swap(expected, head)?;
        self.heads.push(head);
        Ok(swapped)
    }

    /// Takes a copy, or goes back to one. What a caller has given up is gone with the old server.
    fn disturb_store(&mut self) {
        if self.rng.random_bool(0.7) || self.backups.is_empty() {
            self.backups.push(self.store.clone());
            return;
        }
        let number = self.rng.random_range(0..self.backups.len());
        let counter = self.store.counter;
        self.store = self.backups[number].clone();
        // Versions are never reused, as the protocol says.
        self.store.counter = counter;
        self.late.clear();
        self.counts.restarts += 1;
    }

    fn write_evidence(&mut self) {
        let Some(held) = self.held[0].as_ref().map(ChangeRecord::head) else {
            return;
        };
        self.store.evidence = Some(HeldEvidence {
            zone: "zone-a"
                .parse()
                .unwrap_or_else(|_| unreachable!("a valid name")),
            writer: "127.0.0.1"
                .parse()
                .unwrap_or_else(|_| unreachable!("an address")),
            held,
            lowest: held.revision,
            vms: VMS as u32,
            lagging: Vec::new(),
            time_ms: 0,
        });
    }

    /// A VM looks at the store or a peer, is replaced by a fresh one, settles, or restores the head as a watcher.
    fn step_vm(&mut self) -> Result<(), String> {
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..9) {
            0..=2 => {
                let change = self.store.head_change().cloned();
                self.offer(vm, change)?;
            }
            3..=4 => {
                let peer = self.rng.random_range(0..VMS);
                self.meet(vm, peer)?;
            }
            5 if self.others_hold_accepted(vm) => self.held[vm] = None,
            6 | 7 => self.settle_vm(vm),
            _ => self.restore(vm),
        }
        self.note_accepted();
        Ok(())
    }

    /// A VM hears what a peer holds. A provisional revision gives way to what a settled peer holds on another line.
    fn meet(&mut self, vm: usize, peer: usize) -> Result<(), String> {
        let Some(change) = self.held[peer].clone() else {
            return Ok(());
        };
        let differs = self.held[vm]
            .as_ref()
            .is_some_and(|held| must_adopt(held, change.head()));
        if self.provisional[vm] && !self.provisional[peer] && differs {
            self.held[vm] = Some(change);
            self.provisional[vm] = false;
            return Ok(());
        }
        self.offer(vm, Some(change))
    }

    /// The time for which a first revision is doubted is over; by then the VM has met every settled peer.
    fn settle_vm(&mut self, vm: usize) {
        let Some(held) = &self.held[vm] else {
            return;
        };
        let contrary = |peer: usize| {
            let other = self.held[peer].as_ref().filter(|_| !self.provisional[peer]);
            other.is_some_and(|other| must_adopt(held, other.head()))
        };
        if !(0..VMS).any(|peer| peer != vm && contrary(peer)) {
            self.provisional[vm] = false;
        }
    }

    /// Tells whether a VM may be replaced: a settled one that holds all that was accepted stays. VMs keep nothing, so a
    /// fleet that is replaced as a whole within seconds has only the store.
    fn others_hold_accepted(&self, vm: usize) -> bool {
        let keeps = |other: usize| {
            let held = self.held[other].as_ref();
            let all = held.is_some_and(|held| self.accepted.iter().all(|head| has(held, *head)));
            all && !self.provisional[other]
        };
        (0..VMS).any(|other| other != vm && keeps(other))
    }

    fn offer(&mut self, vm: usize, change: Option<ChangeRecord>) -> Result<(), String> {
        let Some(change) = change else {
            return Ok(());
        };
        let Some(held) = &self.held[vm] else {
            self.held[vm] = Some(change);
            self.provisional[vm] = true;
            return Ok(());
        };
        if !may_replace(Some(held), self.provisional[vm], &change) {
            return Ok(());
        }
        if let Some(restored) = change.restores {
            self.check_restoring(held, restored)?;
        }
        self.held[vm] = Some(change);
        Ok(())
    }

    /// A restoring change may put in force only files that were made in knowledge of everything accepted.
    fn check_restoring(&self, held: &ChangeRecord, restored: HeadRecord) -> Result<(), String> {
        let Some(record) = self.written.get(&restored.change) else {
            return Err(format!("{restored} was restored but never written"));
        };
        for head in &self.accepted {
            if has(held, *head) && !has(record, *head) {
                return Err(format!("restoring {restored} reverts the accepted {head}"));
            }
        }
        Ok(())
    }

    fn write_change(&mut self, change: ChangeRecord) {
        self.written.insert(change.change, change.clone());
        self.store.changes.entry(change.change).or_insert(change);
    }

    fn restore(&mut self, vm: usize) {
        let Some(held) = self.held[vm].clone().filter(|_| !self.provisional[vm]) else {
            return;
        };
        let id = ChangeId::random(&mut self.rng);
        let plan = plan_restore(self.store.head_or_lost().as_ref(), &held, id, 0);
        if let RestorePlan::MoveHead(change) = plan {
            let head = change.head();
            self.write_change(change);
            let version = self.store.version();
            if self.swap(version, head).is_ok() {
                self.counts.restored += 1;
            }
        }
    }

    /// A change that every VM holds at once is accepted from then on, once none of them doubts it.
    fn note_accepted(&mut self) {
        if self.provisional.contains(&true) {
            return;
        }
        let Some(first) = &self.held[0] else {
            return;
        };
        let head = first.head();
        let same = |held: &Option<ChangeRecord>| {
            held.as_ref().is_some_and(|held| held.change == head.change)
        };
        if self.held.iter().all(same) && !self.accepted.contains(&head) {
            self.accepted.push(head);
        }
    }

    fn step_operator(&mut self) -> Result<(), String> {
        let number = self.rng.random_range(0..self.operators.len());
        let action = self.operators[number].action.clone();
        if let PublishAction::Finish(outcome) = action {
            return self.finish(number, outcome);
        }
        let reply = self.answer(action);
        let operator = &mut self.operators[number];
        operator.action = operator.run.apply_reply(reply);
        Ok(())
    }

    fn finish(&mut self, number: usize, outcome: PublishOutcome) -> Result<(), String> {
        let count = match &outcome {
            PublishOutcome::Published { .. } => &mut self.counts.published,
            PublishOutcome::Unchanged { .. } => &mut self.counts.unchanged,
            PublishOutcome::Conflict { .. } => &mut self.counts.conflicts,
            PublishOutcome::NotPublished { .. } => &mut self.counts.not_published,
            PublishOutcome::Unknown { .. } => &mut self.counts.unknown,
            PublishOutcome::Invalid { findings } => return Err(findings.to_string()),
        };
        *count += 1;
        let (change, rounds) = (self.operators[number].change, self.operators[number].rounds);
        self.told.push((change, outcome));
        if rounds == 1 {
            self.operators.swap_remove(number);
        } else {
            self.operators[number] = self.start_operator(rounds - 1);
        }
        Ok(())
    }

    fn fate(&mut self) -> CallFate {
        match self.rng.random_range(0..100) {
            0..=7 => CallFate::Refused,
            8..=14 => CallFate::LostBefore,
            15..=24 => CallFate::LostAfter,
            25..=31 => CallFate::Late,
            _ => CallFate::Answered,
        }
    }

    fn answer(&mut self, action: PublishAction) -> PublishReply {
        let fate = self.fate();
        let failed = match fate {
            CallFate::Answered => None,
            CallFate::Refused => Some(StoreError::Refused {
                reason: format_compact!("503"),
            }),
            CallFate::LostBefore | CallFate::LostAfter | CallFate::Late => Some(StoreError::Lost {
                reason: format_compact!("connection broken"),
            }),
        };
        let takes_effect = matches!(fate, CallFate::Answered | CallFate::LostAfter);
        match action {
            PublishAction::ReadHead => PublishReply::Head(or(failed, self.store.head)),
            PublishAction::ReadEvidence => {
                let evidence = self.store.evidence.iter().cloned().collect();
                PublishReply::Evidence(or(failed, evidence))
            }
            PublishAction::ReadChange(change) => {
                let record = self.store.changes.get(&change).cloned();
                PublishReply::Change(or(failed, record))
            }
            PublishAction::PutPart(_) => PublishReply::Written(or(failed, ())),
            PublishAction::PutChange(record) => {
                if takes_effect {
                    self.write_change(record);
                }
                PublishReply::Written(or(failed, ()))
            }
            PublishAction::MoveHead(version, head) => {
                if fate == CallFate::Late {
                    self.late.push((version, head));
                }
                let mut moved = Err(StoreError::LeaseEnded);
                if takes_effect {
                    moved = self.swap(version, head);
                    self.counts.lost_swaps += u64::from(failed.is_some() && moved.is_ok());
                }
                PublishReply::Moved(failed.map_or(moved, Err))
            }
            PublishAction::Pause | PublishAction::Finish(_) => PublishReply::Paused,
        }
    }

    fn check_end(&mut self) -> Result<(), String> {
        while !self.late.is_empty() {
            self.land_late();
        }
        self.settle()?;
        self.check_heads()?;
        if !self.restarts {
            self.check_told()?;
        }
        self.check_accepted()
    }

    /// Lets all VMs look at the store and restore it until nothing changes any more.
    fn settle(&mut self) -> Result<(), String> {
        const MOST_ROUNDS: usize = 20;
        for _ in 0..MOST_ROUNDS {
            let before = (self.store.head, self.held.clone());
            for vm in 0..VMS {
                let change = self.store.head_change().cloned();
                self.offer(vm, change)?;
                for peer in 0..VMS {
                    self.meet(vm, peer)?;
                }
                self.settle_vm(vm);
                self.restore(vm);
            }
            if before == (self.store.head, self.held.clone()) {
                return Ok(());
            }
        }
        Err("the VMs and the store don't settle".to_owned())
    }

    /// Without a store that goes back, revisions only grow; no change is ever the head twice.
    fn check_heads(&self) -> Result<(), String> {
        if self.restarts {
            return Ok(());
        }
        let mut seen = BTreeSet::new();
        let mut last = RevisionNumber(0);
        for head in &self.heads {
            if head.revision <= last {
                return Err(format!("{head} came after revision {last}"));
            }
            if !seen.insert(head.change) {
                return Err(format!("{head} was the head twice"));
            }
            last = head.revision;
        }
        Ok(())
    }

    /// Whoever was told `published` is in the chain, whoever was told otherwise is not.
    fn check_told(&self) -> Result<(), String> {
        for (change, outcome) in &self.told {
            let was_head = self.heads.iter().any(|head| head.change == *change);
            let in_chain = self
                .store
                .head_change()
                .is_some_and(|head| head.change == *change || head.lineage.contains(change));
            let right = match outcome {
                PublishOutcome::Published { .. } => was_head && in_chain,
                PublishOutcome::Unknown { .. } => was_head == in_chain,
                _ => !was_head && !in_chain,
            };
            if !right {
                return Err(format!(
                    "change {change} was told {outcome:?}; head: {was_head}, in the chain: {in_chain}"
                ));
            }
        }
        Ok(())
    }

    /// All VMs have come to the same change, made in knowledge of everything that was ever accepted.
    fn check_accepted(&self) -> Result<(), String> {
        let held: Vec<&ChangeRecord> = self.held.iter().flatten().collect();
        for record in &held {
            if record.change != held[0].change {
                return Err(format!("{} and {} differ", record.head(), held[0].head()));
            }
            for head in &self.accepted {
                if !has(record, *head) {
                    return Err(format!("{} lost the accepted {head}", record.head()));
                }
            }
        }
        Ok(())
    }
}

fn or<T>(failed: Option<StoreError>, value: T) -> Result<T, StoreError> {
    failed.map_or(Ok(value), Err)
}

/// Tells whether a change is another one or was made in knowledge of it.
fn has(record: &ChangeRecord, head: HeadRecord) -> bool {
    record.change == head.change || record.lineage.contains(&head.change)
}
