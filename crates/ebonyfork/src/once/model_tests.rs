//! A model of several VMs under crash, pause, loss, resend, forward and stop, which counts what ran.
//!
//! `EBONYFORK_HISTORIES` sets the number of histories: `EBONYFORK_HISTORIES=100000 cargo test --release -p ebonyfork
//! once::model`.

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
    OnceAction, OnceContext, OnceMessage, OnceOutcome, OnceState, OutcomeLimits, OutcomeTable,
    WaiterId, session_successor,
};
use crate::query::{
    QueryAnswer, QueryCoverage, QueryOutcome, QueryRefusal, QueryRequest, RefusalCode,
};
use crate::topology::{TopologyView, VmEntry};

const VMS: usize = 4;
const STEPS: usize = 120;
const KEYS: u64 = 5;
const DEFAULT_HISTORIES: u64 = 3_000;
/// Adopted sessions live this long; the model sometimes jumps beyond it.
const LONG: Duration = Duration::from_mins(11);

/// Whom an outcome goes to.
#[derive(Clone, Copy)]
enum Receiver {
    Caller,
    Peer { link: usize, ticket: u64 },
}

/// One TCP link between two lives of VMs; what is queued may be lost from the end when it breaks.
struct Link {
    ends: [(usize, u64); 2],
    queues: [VecDeque<OnceMessage>; 2],
    broken: bool,
}

struct Vm {
    session: SessionId,
    state: OnceState,
    view: TopologyView,
    receivers: BTreeMap<WaiterId, (Receiver, QueryRequest)>,
    links: BTreeMap<usize, usize>,
    runs: Vec<(u64, QueryOutcome)>,
    gate: Option<RefusalCode>,
    paused: bool,
}

/// What is true of a key, whatever the VMs believe.
#[derive(Default)]
struct Truth {
    runs: u32,
    never: bool,
    outcome: Option<QueryOutcome>,
}

struct Model {
    rng: ChaCha8Rng,
    now: Duration,
    vms: Vec<Vm>,
    links: Vec<Link>,
    truth: BTreeMap<IdempotencyKey, Truth>,
    sessions: Vec<SessionId>,
    next: u64,
    /// Whether answers are passed on now that another VM gave.
    relayed: bool,
}

/// Counts that show that the histories reach what they are meant to reach.
#[derive(Debug, Default)]
struct Tally {
    runs: u64,
    replays: u64,
    unknown: u64,
    sealed: u64,
}

fn address(vm: usize) -> VmAddress {
    VmAddress([10, 0, 0, vm as u8].into())
}

fn number(vm: VmAddress) -> usize {
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
            count: 3,
            ..OutcomeLimits::default()
        };
        let table = OutcomeTable::new().with_limits(limits, 2);
        Self {
            session,
            state: OnceState::new(session).with_table(table),
            view: TopologyView::default(),
            receivers: BTreeMap::new(),
            links: BTreeMap::new(),
            runs: Vec::new(),
            gate: None,
            paused: false,
        }
    }

    fn life(&self) -> u64 {
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
            truth: BTreeMap::new(),
            sessions: Vec::new(),
            next: 1,
            relayed: false,
        };
        for vm in 0..VMS {
            let session = model.new_session(vm);
            model.vms.push(Vm::new(session));
        }
        for vm in 0..VMS {
            model.vms[vm].view = model.true_view();
        }
        model
    }

    fn new_session(&mut self, vm: usize) -> SessionId {
        self.next += 1;
        let session = SessionId::new(address(vm), IncarnationNumber(self.next));
        self.sessions.push(session);
        session
    }

    fn true_view(&self) -> TopologyView {
        let entries = self.vms.iter().map(|vm| VmEntry {
            vm: vm.session.vm,
            zone: "zone-a".parse().unwrap(),
            incarnation: Some(vm.session.incarnation),
            leaving: vm.gate.is_some(),
        });
        TopologyView::new(entries, [])
    }

    fn step(&mut self, tally: &mut Tally) {
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..100) {
            0..25 => self.send_query(vm, tally),
            25..60 => self.deliver(tally),
            60..75 => self.finish_run(vm, tally),
            75..80 => self.vms[vm].paused = !self.vms[vm].paused,
            80..84 => self.vms[vm].view = self.true_view(),
            84..88 => self.break_random_link(tally),
            88..91 => self.restart(vm, tally),
            91..94 => self.vms[vm].gate = Some(RefusalCode::Stopping),
            94..97 => self.seal(vm),
            97 => self.fence(vm),
            98 => {
                let now = self.now;
                self.vms[vm].state.expire(now);
            }
            _ => self.now += LONG,
        }
    }

    /// Fences a VM, or lifts its fence.
    fn fence(&mut self, vm: usize) {
        self.vms[vm].gate = match self.vms[vm].gate {
            None => Some(RefusalCode::NotReady),
            Some(RefusalCode::NotReady) => None,
            stopping => stopping,
        };
    }

    /// A caller sends a key, often one sent before, to any VM; a few reuse a key for something else.
    fn send_query(&mut self, vm: usize, tally: &mut Tally) {
        if self.vms[vm].paused {
            return;
        }
        let recent = self.sessions.len().saturating_sub(VMS + 2);
        let session = self.sessions[self.rng.random_range(recent..self.sessions.len())];
        let sequence = self.rng.random_range(0..KEYS);
        let key = IdempotencyKey { session, sequence };
        let variant = u64::from(self.rng.random_range(0..20) == 0);
        let request = request(key, variant);
        let waiter = self.wait(vm, Receiver::Caller, &request);
        let until = self.now + Duration::from_secs(5);
        self.decide(vm, tally, |state, context| {
            state.submit(waiter, key, request, until, context)
        });
    }

    fn wait(&mut self, vm: usize, receiver: Receiver, request: &QueryRequest) -> WaiterId {
        self.next += 1;
        let waiter = WaiterId(self.next);
        self.vms[vm]
            .receivers
            .insert(waiter, (receiver, request.clone()));
        waiter
    }

    fn decide(
        &mut self,
        vm: usize,
        tally: &mut Tally,
        decide: impl FnOnce(&mut OnceState, &OnceContext<'_>) -> OnceActions,
    ) {
        let view = self.vms[vm].view.clone();
        let context = OnceContext {
            now: self.now,
            view: &view,
            gate: self.vms[vm].gate,
        };
        let actions = decide(&mut self.vms[vm].state, &context);
        for action in actions {
            match action {
                OnceAction::Execute(request) => self.execute(vm, &request, tally),
                OnceAction::Answer { waiter, outcome } => self.answer(vm, waiter, outcome, tally),
                OnceAction::Send { vm: to, message } => self.send(vm, number(to), message),
            }
        }
    }

    /// Starts a run. It counts at once unless it ends as not run, since an upstream goes on when its VM crashes.
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
        let truth = self.truth.entry(key).or_default();
        if !matches!(&outcome, Err(refusal) if refusal.ran == RunState::NotRun) {
            truth.runs += 1;
            tally.runs += 1;
            truth.outcome = Some(outcome.clone());
        }
        assert!(truth.runs <= 1, "{key} ran twice");
        assert!(
            !truth.never,
            "{key} ran after it was said that it never will"
        );
        assert_eq!(
            key.session, self.vms[vm].session,
            "only its session runs {key}"
        );
        self.vms[vm].runs.push((key.sequence, outcome));
    }

    fn new_answer(&mut self, request: &QueryRequest) -> QueryAnswer {
        self.next += 1;
        QueryAnswer {
            query: format!("{}", self.next).into(),
            snapshot: SnapshotVersion(1),
            coverage: QueryCoverage::default(),
            bodies: vec![request.selection.clone()],
        }
    }

    fn finish_run(&mut self, vm: usize, tally: &mut Tally) {
        if self.vms[vm].paused || self.vms[vm].runs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.vms[vm].runs.len());
        let (sequence, outcome) = self.vms[vm].runs.swap_remove(index);
        let now = self.now;
        self.decide(vm, tally, |state, _context| {
            state.finish(sequence, outcome, now)
        });
    }

    /// Checks an answer where it is given, and passes it on.
    fn answer(&mut self, vm: usize, waiter: WaiterId, outcome: OnceOutcome, tally: &mut Tally) {
        let Some((receiver, request)) = self.vms[vm].receivers.remove(&waiter) else {
            return;
        };
        if let OnceOutcome::Known(outcome) = &outcome {
            self.check(&request, outcome, tally);
        }
        if let Receiver::Peer { link, ticket } = receiver {
            let message = OnceMessage::Outcome { ticket, outcome };
            self.enqueue(link, 1, message);
        }
    }

    fn check(&mut self, request: &QueryRequest, outcome: &QueryOutcome, tally: &mut Tally) {
        let relayed = self.relayed;
        let key = request.key.unwrap();
        let truth = self.truth.entry(key).or_default();
        match outcome {
            Ok(answer) => {
                assert_eq!(
                    truth.outcome.as_ref(),
                    Some(outcome),
                    "{key}: not the first outcome"
                );
                assert_eq!(
                    answer.bodies[0], request.selection,
                    "{key}: another's answer"
                );
                tally.replays += 1;
            }
            Err(refusal) if refusal.code == RefusalCode::BadRequest => {}
            Err(refusal) => match refusal.ran {
                RunState::Unknown => tally.unknown += 1,
                RunState::Ran => assert_eq!(truth.runs, 1, "{key} did not run"),
                // A relayed refusal was checked where it was given; a later send may have run the key since.
                RunState::NotRun if relayed => {}
                RunState::NotRun => {
                    assert_eq!(truth.runs, 0, "{key} ran: {refusal}");
                    if refusal.code == RefusalCode::Stopping {
                        truth.never = true;
                        tally.sealed += 1;
                    }
                }
            },
        }
    }

    fn send(&mut self, from: usize, to: usize, message: OnceMessage) {
        let link = match self.vms[from].links.get(&to) {
            Some(link) if !self.links[*link].broken => *link,
            _ => self.open(from, to),
        };
        self.enqueue(link, 0, message);
    }

    fn open(&mut self, from: usize, to: usize) -> usize {
        let ends = [(from, self.vms[from].life()), (to, self.vms[to].life())];
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

    fn deliver(&mut self, tally: &mut Tally) {
        let waiting: Vec<(usize, usize)> = self.waiting_queues();
        if waiting.is_empty() {
            return;
        }
        let (link, direction) = waiting[self.rng.random_range(0..waiting.len())];
        let (to, life) = self.links[link].ends[1 - direction];
        let Some(message) = self.links[link].queues[direction].pop_front() else {
            return;
        };
        if self.vms[to].life() == life {
            self.take(to, link, message, tally);
        }
    }

    fn waiting_queues(&self) -> Vec<(usize, usize)> {
        let mut waiting = Vec::new();
        for (index, link) in self.links.iter().enumerate() {
            for direction in 0..2 {
                let (to, _life) = link.ends[1 - direction];
                if !link.queues[direction].is_empty() && !self.vms[to].paused {
                    waiting.push((index, direction));
                }
            }
        }
        waiting
    }

    fn take(&mut self, vm: usize, link: usize, message: OnceMessage, tally: &mut Tally) {
        let now = self.now;
        match message {
            OnceMessage::Forward { ticket, request } => {
                let waiter = self.wait(vm, Receiver::Peer { link, ticket }, &request);
                self.decide(vm, tally, |state, context| {
                    state.take_forward(waiter, request, context)
                });
            }
            OnceMessage::Outcome { ticket, outcome } => {
                self.relayed = matches!(outcome, OnceOutcome::Known(_));
                self.decide(vm, tally, |state, context| {
                    state.take_outcome(ticket, outcome, context)
                });
                self.relayed = false;
            }
            OnceMessage::Handover(part) => {
                self.vms[vm].state.take_part(part, now);
            }
            OnceMessage::HandoverTaken { .. } => {}
        }
    }

    fn break_random_link(&mut self, tally: &mut Tally) {
        if self.links.is_empty() {
            return;
        }
        let link = self.rng.random_range(0..self.links.len());
        self.break_link(link, tally);
    }

    /// Breaks a link: a random part of what was sent still arrives, the rest is lost.
    fn break_link(&mut self, link: usize, tally: &mut Tally) {
        if std::mem::replace(&mut self.links[link].broken, true) {
            return;
        }
        for queue in &mut self.links[link].queues {
            let kept = self.rng.random_range(0..=queue.len());
            queue.truncate(kept);
        }
        let (opener, life) = self.links[link].ends[0];
        let (to, _life) = self.links[link].ends[1];
        if self.vms[opener].life() == life {
            self.decide(opener, tally, |state, context| {
                state.link_down(address(to), context)
            });
        }
    }

    /// Seals a session, whatever else refuses new work, and sends everything to the successor that this VM believes in.
    fn seal(&mut self, vm: usize) {
        if self.vms[vm].paused {
            return;
        }
        let Some(successor) = session_successor(&self.vms[vm].view, self.vms[vm].session) else {
            return;
        };
        for part in self.vms[vm].state.seal() {
            self.send(vm, number(successor), OnceMessage::Handover(part));
        }
    }

    /// Ends a process, stopped or not, and starts the next one on its VM.
    fn restart(&mut self, vm: usize, tally: &mut Tally) {
        let session = self.new_session(vm);
        self.vms[vm] = Vm::new(session);
        self.vms[vm].view = self.true_view();
        for link in 0..self.links.len() {
            if self.links[link].ends.iter().any(|(end, _life)| *end == vm) {
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
        for _ in 0..STEPS {
            model.step(&mut tally);
        }
    }
    println!("{histories} histories: {tally:?}");
    assert!(
        tally.runs > histories && tally.replays > histories,
        "{tally:?}"
    );
    assert!(
        tally.unknown > histories / 10 && tally.sealed > histories / 10,
        "{tally:?}"
    );
}
