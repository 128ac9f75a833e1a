//! Randomised model of several VMs with crashes, pauses, lost messages, resends, forwards and planned stops. It checks
//! that no key runs twice and that every reported outcome is correct.
//!
//! `EBONYFORK_HISTORIES` sets the number of random histories:
//! `EBONYFORK_HISTORIES=100000 cargo test --release -p ebonyfork once::model`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ident::{
    IdempotencyKey, IncarnationNumber, RunState, SessionId, SnapshotVersion, VmAddress,
};
use crate::once::state::OnceActions;
use crate::once::{
    NodeConditions, OnceAction, OnceMessage, OnceOutcome, OnceState, OutcomeLimits, OutcomeTable,
    WaiterId, session_successor,
};
use crate::query::{
    QueryAnswer, QueryCoverage, QueryOutcome, QueryRefusal, QueryRequest, RefusalCode,
};
use crate::topology::{TopologyView, VmEntry};

const VM_COUNT: usize = 4;
const STEPS_PER_HISTORY: usize = 120;
const KEYS_PER_SESSION: u64 = 5;
const DEFAULT_HISTORIES: u64 = 3_000;
/// Time by which the model sometimes advances its clock. Outcomes and adopted sessions are kept for less time.
const LONG_DELAY: Duration = Duration::from_mins(11);

/// Where the outcome of a query goes: to the caller, or to the peer that forwarded the query over a link.
#[derive(Clone, Copy)]
enum OutcomeReceiver {
    Caller,
    Peer { link: usize, forward_id: u64 },
}

/// One TCP link between two processes; when it breaks, the messages queued last may be lost.
struct Link {
    /// VM index and incarnation of the opener and of the other end.
    ends: [(usize, u64); 2],
    /// Messages sent and not yet received, by direction: from the opener, then to the opener.
    queues: [VecDeque<OnceMessage>; 2],
    broken: bool,
}

/// One VM with the process that runs on it.
struct Vm {
    session: SessionId,
    state: OnceState,
    view: TopologyView,
    receivers: BTreeMap<WaiterId, (OutcomeReceiver, QueryRequest)>,
    /// Index of the link opened last, by the VM it leads to.
    links: BTreeMap<usize, usize>,
    /// Unfinished runs: sequence number and the outcome that they will have.
    unfinished_runs: Vec<(u64, QueryOutcome)>,
    new_work_refusal: Option<RefusalCode>,
    paused: bool,
}

/// What really happened to a key, independent of what the VMs know.
#[derive(Default)]
struct KeyGroundTruth {
    runs: u32,
    refused_for_good: bool,
    outcome: Option<QueryOutcome>,
}

/// All VMs, the links between them, and what really happened to each key.
struct Model {
    rng: ChaCha8Rng,
    now: Duration,
    vms: Vec<Vm>,
    links: Vec<Link>,
    ground_truth: BTreeMap<IdempotencyKey, KeyGroundTruth>,
    /// All sessions so far, oldest first.
    sessions: Vec<SessionId>,
    /// Last number used for an incarnation, a waiter or an answer.
    last_number: u64,
    /// Whether the outcome that is being checked was returned by another VM.
    outcome_is_relayed: bool,
}

/// Counts that show that the histories cover the intended cases.
#[derive(Debug, Default)]
struct Tally {
    runs: u64,
    repeated_answers: u64,
    unknown_outcomes: u64,
    sealed_refusals: u64,
}

fn address(vm: usize) -> VmAddress {
    VmAddress([10, 0, 0, vm as u8].into())
}

fn vm_index(vm: VmAddress) -> usize {
    match vm.0 {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("the model uses IPv4"),
    }
}

fn request(key: IdempotencyKey, variant: u64) -> QueryRequest {
    QueryRequest {
        class: "deferral".parse().unwrap(),
        organisation: "hanbit".parse().unwrap(),
        deadline: None,
        record: None,
        selection: Bytes::from(format!("{key} {variant}")),
        key: Some(key),
        caller_id: None,
    }
}

impl Vm {
    fn new(session: SessionId) -> Self {
        let limits = OutcomeLimits {
            max_outcomes: 3,
            ..OutcomeLimits::default()
        };
        let table = OutcomeTable::new().with_limits(limits, 2);
        Self {
            session,
            state: OnceState::new(session).with_table(table),
            view: TopologyView::default(),
            receivers: BTreeMap::new(),
            links: BTreeMap::new(),
            unfinished_runs: Vec::new(),
            new_work_refusal: None,
            paused: false,
        }
    }

    fn incarnation(&self) -> u64 {
        self.session.incarnation.0
    }
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            vms: Vec::new(),
            links: Vec::new(),
            ground_truth: BTreeMap::new(),
            sessions: Vec::new(),
            last_number: 1,
            outcome_is_relayed: false,
        };
        for vm in 0..VM_COUNT {
            let session = model.new_session(vm);
            model.vms.push(Vm::new(session));
        }
        for vm in 0..VM_COUNT {
            model.vms[vm].view = model.actual_view();
        }
        model
    }

    fn new_session(&mut self, vm: usize) -> SessionId {
        self.last_number += 1;
        let session = SessionId::new(address(vm), IncarnationNumber(self.last_number));
        self.sessions.push(session);
        session
    }

    fn actual_view(&self) -> TopologyView {
        let entries = self.vms.iter().map(|vm| VmEntry {
            vm: vm.session.vm,
            zone: "zone-a".parse().unwrap(),
            incarnation: Some(vm.session.incarnation),
            leaving: vm.new_work_refusal.is_some(),
        });
        TopologyView::new(entries, [])
    }

    fn step(&mut self, tally: &mut Tally) {
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        let vm = self.rng.random_range(0..VM_COUNT);
        match self.rng.random_range(0..100) {
            0..25 => self.send_query(vm, tally),
            25..60 => self.deliver_random_message(tally),
            60..75 => self.finish_run(vm, tally),
            75..80 => self.vms[vm].paused = !self.vms[vm].paused,
            80..84 => self.vms[vm].view = self.actual_view(),
            84..88 => self.break_random_link(tally),
            88..91 => self.restart(vm, tally),
            91..94 => self.vms[vm].new_work_refusal = Some(RefusalCode::Stopping),
            94..97 => self.seal(vm),
            97 => self.toggle_fence(vm),
            98 => {
                let now = self.now;
                self.vms[vm].state.expire(now);
            }
            _ => self.now += LONG_DELAY,
        }
    }

    /// Fences a VM, or lifts its fence; a stopping VM stays as it is.
    fn toggle_fence(&mut self, vm: usize) {
        self.vms[vm].new_work_refusal = match self.vms[vm].new_work_refusal {
            None => Some(RefusalCode::NotReady),
            Some(RefusalCode::NotReady) => None,
            stopping => stopping,
        };
    }

    /// Sends a caller's query to a VM, often with a key sent before; a few reuse a key for another request.
    fn send_query(&mut self, vm: usize, tally: &mut Tally) {
        if self.vms[vm].paused {
            return;
        }
        let first_recent = self.sessions.len().saturating_sub(VM_COUNT + 2);
        let session = self.sessions[self.rng.random_range(first_recent..self.sessions.len())];
        let sequence = self.rng.random_range(0..KEYS_PER_SESSION);
        let key = IdempotencyKey { session, sequence };
        let variant = u64::from(self.rng.random_range(0..20) == 0);
        let request = request(key, variant);
        let waiter = self.add_receiver(vm, OutcomeReceiver::Caller, &request);
        let expires_at = self.now + Duration::from_secs(5);
        self.apply_to_state(vm, tally, |state, conditions| {
            state.submit(waiter, key, request, expires_at, conditions)
        });
    }

    fn add_receiver(
        &mut self,
        vm: usize,
        receiver: OutcomeReceiver,
        request: &QueryRequest,
    ) -> WaiterId {
        self.last_number += 1;
        let waiter = WaiterId(self.last_number);
        self.vms[vm]
            .receivers
            .insert(waiter, (receiver, request.clone()));
        waiter
    }

    fn apply_to_state(
        &mut self,
        vm: usize,
        tally: &mut Tally,
        decide: impl FnOnce(&mut OnceState, &NodeConditions<'_>) -> OnceActions,
    ) {
        let view = self.vms[vm].view.clone();
        let conditions = NodeConditions {
            now: self.now,
            view: &view,
            new_work_refusal: self.vms[vm].new_work_refusal,
        };
        let actions = decide(&mut self.vms[vm].state, &conditions);
        for action in actions {
            match action {
                OnceAction::Execute(request) => self.execute(vm, &request, tally),
                OnceAction::Answer { waiter, outcome } => self.answer(vm, waiter, outcome, tally),
                OnceAction::Send { vm: to, message } => self.send(vm, vm_index(to), message),
            }
        }
    }

    /// Starts a run and draws its outcome. Unless the outcome is `NotRun`, the run counts from now on, since the
    /// upstream continues even if the VM crashes.
    fn execute(&mut self, vm: usize, request: &QueryRequest, tally: &mut Tally) {
        let key = request.key.unwrap();
        let outcome = match self.rng.random_range(0..10) {
            0..6 => Ok(self.new_answer(request)),
            6..8 => Err(QueryRefusal::new(
                RefusalCode::UpstreamFailed,
                RunState::Unknown,
                "broken",
            )),
            _ => Err(QueryRefusal::new(
                RefusalCode::Overloaded,
                RunState::NotRun,
                "busy",
            )),
        };
        let ground_truth = self.ground_truth.entry(key).or_default();
        if !matches!(&outcome, Err(refusal) if refusal.ran == RunState::NotRun) {
            ground_truth.runs += 1;
            tally.runs += 1;
            ground_truth.outcome = Some(outcome.clone());
        }
        assert!(ground_truth.runs <= 1, "{key} ran twice");
        assert!(
            !ground_truth.refused_for_good,
            "{key} ran after it was refused for good"
        );
        assert_eq!(
            key.session, self.vms[vm].session,
            "{key} ran in another session"
        );
        self.vms[vm].unfinished_runs.push((key.sequence, outcome));
    }

    fn new_answer(&mut self, request: &QueryRequest) -> QueryAnswer {
        self.last_number += 1;
        QueryAnswer {
            query: format!("{}", self.last_number).into(),
            snapshot: SnapshotVersion(1),
            coverage: QueryCoverage::default(),
            bodies: vec![request.selection.clone()],
        }
    }

    fn finish_run(&mut self, vm: usize, tally: &mut Tally) {
        if self.vms[vm].paused || self.vms[vm].unfinished_runs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.vms[vm].unfinished_runs.len());
        let (sequence, outcome) = self.vms[vm].unfinished_runs.swap_remove(index);
        let now = self.now;
        self.apply_to_state(vm, tally, |state, _context| {
            state.finish(sequence, outcome, now)
        });
    }

    /// Checks an outcome, and sends it back over the link if a peer forwarded the query.
    fn answer(&mut self, vm: usize, waiter: WaiterId, outcome: OnceOutcome, tally: &mut Tally) {
        let Some((receiver, request)) = self.vms[vm].receivers.remove(&waiter) else {
            return;
        };
        if let OnceOutcome::Known(outcome) = &outcome {
            self.check_outcome(&request, outcome, tally);
        }
        if let OutcomeReceiver::Peer { link, forward_id } = receiver {
            let message = OnceMessage::Outcome {
                forward_id,
                outcome,
            };
            self.enqueue(link, 1, message);
        }
    }

    fn check_outcome(&mut self, request: &QueryRequest, outcome: &QueryOutcome, tally: &mut Tally) {
        let is_relayed = self.outcome_is_relayed;
        let key = request.key.unwrap();
        let ground_truth = self.ground_truth.entry(key).or_default();
        match outcome {
            Ok(answer) => {
                assert_eq!(
                    ground_truth.outcome.as_ref(),
                    Some(outcome),
                    "{key}: not the first outcome"
                );
                assert_eq!(
                    answer.bodies[0], request.selection,
                    "{key}: answer to another request"
                );
                tally.repeated_answers += 1;
            }
            Err(refusal) if refusal.code == RefusalCode::BadRequest => {}
            Err(refusal) => match refusal.ran {
                RunState::Unknown => tally.unknown_outcomes += 1,
                RunState::Ran => assert_eq!(ground_truth.runs, 1, "{key} did not run"),
                // A relayed refusal was checked on the VM that gave it; a later send may have run the key since.
                RunState::NotRun if is_relayed => {}
                RunState::NotRun => {
                    assert_eq!(ground_truth.runs, 0, "{key} ran: {refusal}");
                    if refusal.code == RefusalCode::Stopping {
                        ground_truth.refused_for_good = true;
                        tally.sealed_refusals += 1;
                    }
                }
            },
        }
    }

    fn send(&mut self, from: usize, to: usize, message: OnceMessage) {
        let link = match self.vms[from].links.get(&to) {
            Some(link) if !self.links[*link].broken => *link,
            _ => self.open_link(from, to),
        };
        self.enqueue(link, 0, message);
    }

    fn open_link(&mut self, from: usize, to: usize) -> usize {
        let ends = [
            (from, self.vms[from].incarnation()),
            (to, self.vms[to].incarnation()),
        ];
        self.links.push(Link {
            ends,
            queues: [VecDeque::new(), VecDeque::new()],
            broken: false,
        });
        let link = self.links.len() - 1;
        self.vms[from].links.insert(to, link);
        link
    }

    fn enqueue(&mut self, link: usize, direction: usize, message: OnceMessage) {
        if !self.links[link].broken {
            self.links[link].queues[direction].push_back(message);
        }
    }

    fn deliver_random_message(&mut self, tally: &mut Tally) {
        let deliverable: Vec<(usize, usize)> = self.deliverable_queues();
        if deliverable.is_empty() {
            return;
        }
        let (link, direction) = deliverable[self.rng.random_range(0..deliverable.len())];
        let (to, incarnation) = self.links[link].ends[1 - direction];
        let Some(message) = self.links[link].queues[direction].pop_front() else {
            return;
        };
        if self.vms[to].incarnation() == incarnation {
            self.handle_message(to, link, message, tally);
        }
    }

    fn deliverable_queues(&self) -> Vec<(usize, usize)> {
        let mut deliverable = Vec::new();
        for (index, link) in self.links.iter().enumerate() {
            for direction in 0..2 {
                let (to, _incarnation) = link.ends[1 - direction];
                if !link.queues[direction].is_empty() && !self.vms[to].paused {
                    deliverable.push((index, direction));
                }
            }
        }
        deliverable
    }

    fn handle_message(&mut self, vm: usize, link: usize, message: OnceMessage, tally: &mut Tally) {
        let now = self.now;
        match message {
            OnceMessage::Forward {
                forward_id,
                request,
            } => {
                let waiter =
                    self.add_receiver(vm, OutcomeReceiver::Peer { link, forward_id }, &request);
                self.apply_to_state(vm, tally, |state, conditions| {
                    state.handle_forward(waiter, request, conditions)
                });
            }
            OnceMessage::Outcome {
                forward_id,
                outcome,
            } => {
                self.outcome_is_relayed = matches!(outcome, OnceOutcome::Known(_));
                self.apply_to_state(vm, tally, |state, conditions| {
                    state.handle_outcome(forward_id, outcome, conditions)
                });
                self.outcome_is_relayed = false;
            }
            OnceMessage::Handover(part) => {
                self.vms[vm].state.add_part(part, now);
            }
            OnceMessage::HandoverConfirmed { .. } => {}
        }
    }

    fn break_random_link(&mut self, tally: &mut Tally) {
        if self.links.is_empty() {
            return;
        }
        let link = self.rng.random_range(0..self.links.len());
        self.break_link(link, tally);
    }

    /// Breaks a link: a random number of the queued messages still arrives, the rest is lost.
    fn break_link(&mut self, link: usize, tally: &mut Tally) {
        if std::mem::replace(&mut self.links[link].broken, true) {
            return;
        }
        for queue in &mut self.links[link].queues {
            let arriving_count = self.rng.random_range(0..=queue.len());
            queue.truncate(arriving_count);
        }
        let (opener, incarnation) = self.links[link].ends[0];
        let (to, _incarnation) = self.links[link].ends[1];
        if self.vms[opener].incarnation() == incarnation {
            self.apply_to_state(opener, tally, |state, conditions| {
                state.handle_link_down(address(to), conditions)
            });
        }
    }

    /// Seals a VM's session, whether or not new work is refused already, and sends its parts to the successor according
    /// to the VM's own topology.
    fn seal(&mut self, vm: usize) {
        if self.vms[vm].paused {
            return;
        }
        let Some(successor) = session_successor(&self.vms[vm].view, self.vms[vm].session) else {
            return;
        };
        for part in self.vms[vm].state.seal() {
            self.send(vm, vm_index(successor), OnceMessage::Handover(part));
        }
    }

    /// Ends the process of a VM, sealed or not, and starts its next incarnation.
    fn restart(&mut self, vm: usize, tally: &mut Tally) {
        let session = self.new_session(vm);
        self.vms[vm] = Vm::new(session);
        self.vms[vm].view = self.actual_view();
        for link in 0..self.links.len() {
            if self.links[link]
                .ends
                .iter()
                .any(|(end, _incarnation)| *end == vm)
            {
                self.break_link(link, tally);
            }
        }
    }
}

#[test]
fn no_key_runs_twice_in_any_history() {
    let histories = std::env::var("EBONYFORK_HISTORIES").ok();
    let histories = histories.map_or(DEFAULT_HISTORIES, |text| text.parse().unwrap());
    let mut tally = Tally::default();
    for seed in 0..histories {
        let mut model = Model::new(seed);
        for _ in 0..STEPS_PER_HISTORY {
            model.step(&mut tally);
        }
    }
    println!("{histories} histories: {tally:?}");
    assert!(
        tally.runs > histories && tally.repeated_answers > histories,
        "{tally:?}"
    );
    assert!(
        tally.unknown_outcomes > histories / 10 && tally.sealed_refusals > histories / 10,
        "{tally:?}"
    );
}
