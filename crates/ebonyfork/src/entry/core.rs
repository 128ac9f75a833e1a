//! All queries of one entry: takes events with the time, returns what is to be sent and what callers get.
//!
//! No socket, clock, task or logger here; the actor beside it owns those.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::decision::{DecisionTally, EntryDecision, FinishNote};
use super::route::RouteTable;
use super::run::{OutcomeTimes, QueryRun};
use super::terms::{ClassId, QueryTerms};
use super::tools::EntryTools;
use crate::declaration::{ClassScope, ClassTarget, DeclaredConfig};
#[cfg(test)]
use crate::ident::RequestFingerprint;
use crate::ident::{ClassName, RunState, SessionId, VmAddress, ZoneName};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};
use crate::relay::{OutcomeBatch, RefusalReason, ShardVerdict};
use crate::settings::ExperimentSwitches;
use crate::topology::TopologyView;
use crate::views::CatalogSet;
use crate::wire::PeerMessage;

/// When a caller should come back whose index has no version yet.
const NO_VERSION_RETRY: Duration = Duration::from_secs(1);

/// Runs that are kept for their allocations.
const SPARE_RUNS: usize = 64;

/// What an event makes the entry do.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the large variant is nearly every action"
)]
pub enum EntryAction {
    /// Send a message to a relay; if it can't be sent, tell [`EntryCore::not_sent`].
    Send {
        /// The relay's VM.
        vm: VmAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Give a caller its outcome.
    Finish {
        /// Number of the query, as [`EntryCore::start`] returned it.
        query: u64,
        /// Its outcome.
        outcome: QueryOutcome,
    },
}

/// The views that decisions are made by, taken once per event.
#[derive(Debug, Clone, Default)]
pub struct EntryViews {
    /// VMs and upstreams.
    pub topology: Arc<TopologyView>,
    /// Declarations.
    pub config: Arc<DeclaredConfig>,
    /// Index catalogues.
    pub catalog: Arc<CatalogSet>,
}

/// The decisions of one entry.
#[derive(Debug)]
pub struct EntryCore {
    tools: EntryTools,
    config: Arc<DeclaredConfig>,
    class_ids: FxHashMap<ClassName, ClassId>,
    runs: FxHashMap<u64, Box<QueryRun>>,
    /// Runs that are over, for their allocations.
    #[expect(
        clippy::vec_box,
        reason = "runs move between here and the map without being copied"
    )]
    spare: Vec<Box<QueryRun>>,
    wakes: BinaryHeap<Reverse<(Duration, u64)>>,
    started: u64,
    actions: VecDeque<EntryAction>,
}

impl EntryCore {
    /// Makes the decisions of the process incarnation `session` in `zone`.
    pub fn new(session: SessionId, zone: ZoneName, switches: ExperimentSwitches) -> Self {
        Self {
            tools: EntryTools::new(session, zone, switches),
            config: Arc::default(),
            class_ids: FxHashMap::default(),
            runs: FxHashMap::default(),
            spare: Vec::new(),
            wakes: BinaryHeap::new(),
            started: 0,
            actions: VecDeque::new(),
        }
    }

    /// Takes the current views; costs nothing if they are still the same.
    pub fn refresh(&mut self, views: &EntryViews) {
        self.tools.directory.refresh(&views.topology);
        self.tools.routes.refresh(&views.catalog);
        if !Arc::ptr_eq(&self.config, &views.config) {
            self.config = Arc::clone(&views.config);
        }
    }

    /// Says whether decisions are to be noted.
    pub fn note_decisions(&mut self, noting: bool) {
        self.tools.noting = noting;
    }

    /// Takes the decisions noted since the last call.
    pub fn take_decisions(&mut self) -> std::vec::Drain<'_, EntryDecision> {
        self.tools.noted.drain(..)
    }

    /// Returns the next thing to do.
    pub fn next_action(&mut self) -> Option<EntryAction> {
        self.actions.pop_front()
    }

    /// Takes a request for one that has brought rows lately.
    #[cfg(test)]
    pub(super) fn remember(&mut self, request: &QueryRequest) {
        let fingerprint = RequestFingerprint::new(&request.class, &request.selection);
        self.tools.known.insert(fingerprint);
    }

    /// Queries in flight.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// When [`EntryCore::wake`] is to be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.wakes.peek().map(|Reverse((at, _))| *at)
    }

    /// Starts a query and returns its number; its outcome comes as an action, perhaps at once.
    pub fn start(&mut self, now: Duration, request: QueryRequest) -> u64 {
        self.start_suspect(now, request, false)
    }

    /// As [`EntryCore::start`], for a request that may be `suspect` of crashing upstreams.
    pub fn start_suspect(&mut self, now: Duration, request: QueryRequest, suspect: bool) -> u64 {
        self.started += 1;
        let number = self.started;
        let (class, caller_id) = (request.class.clone(), request.caller_id.clone());
        match self.plan(now, number, request) {
            Ok(mut run) => {
                run.suspect = suspect;
                self.launch(now, run);
            }
            Err(refusal) => {
                let outcome = Err(refusal);
                self.note_finish(number, caller_id, class, &outcome, Duration::ZERO);
                self.finish(number, outcome);
            }
        }
        number
    }

    fn plan(
        &mut self,
        now: Duration,
        number: u64,
        request: QueryRequest,
    ) -> Result<Box<QueryRun>, QueryRefusal> {
        let config = Arc::clone(&self.config);
        let target = find_class(&config, &request)?;
        check_request(target, &request)?;
        let route = self.pin(now, target)?;
        let class = self.class_id(&target.name);
        let terms = QueryTerms::new(class, target, request.deadline, now);
        let Some(mut run) = self.spare.pop() else {
            return Ok(Box::new(QueryRun::new(number, request, terms, route)));
        };
        run.renew(number, request, terms, route);
        Ok(run)
    }

    fn pin(
        &mut self,
        now: Duration,
        target: &ClassTarget,
    ) -> Result<Arc<RouteTable>, QueryRefusal> {
        let EntryTools {
            routes, directory, ..
        } = &mut self.tools;
        let route = routes.pin(&target.index, directory, now);
        route.ok_or_else(|| {
            refuse(RefusalCode::NoUpstream, "the index has no version")
                .with_retry_after(NO_VERSION_RETRY)
        })
    }

    fn class_id(&mut self, name: &ClassName) -> ClassId {
        if let Some(&id) = self.class_ids.get(name) {
            return id;
        }
        let id = ClassId::from_u32(self.class_ids.len() as u32);
        self.class_ids.insert(name.clone(), id);
        id
    }

    fn launch(&mut self, now: Duration, mut run: Box<QueryRun>) {
        let number = run.number;
        let outcome = run.begin(&mut self.tools, now);
        self.runs.insert(number, run);
        self.conclude(now, number, outcome);
    }

    /// Takes the verdicts that a relay reports.
    pub fn take_outcomes(&mut self, now: Duration, from: VmAddress, batch: OutcomeBatch) {
        let relay = self.tools.directory.relay_id(from);
        self.tools.directory.relays[relay].link_up();
        for load in &batch.loads {
            if let Some(replica) = self.tools.directory.find_replica(load.upstream) {
                self.tools.directory.replicas[replica]
                    .health
                    .report(now, load);
            }
        }
        for outcome in batch.outcomes {
            let times = OutcomeTimes {
                waited: Duration::from_micros(outcome.waited_us.into()),
                served: Duration::from_micros(outcome.served_us.into()),
            };
            let (query, attempt) = (outcome.query, outcome.attempt);
            self.settle(now, query, attempt, outcome.verdict, times);
        }
    }

    fn settle(
        &mut self,
        now: Duration,
        query: u64,
        attempt: u32,
        verdict: ShardVerdict,
        times: OutcomeTimes,
    ) {
        let Some(run) = self.runs.get_mut(&query) else {
            return;
        };
        let ended = run.settle(&mut self.tools, now, attempt, verdict, times);
        self.conclude(now, query, ended);
    }

    /// The link to a VM broke. What is in `unsent` provably never left; other attempts there may have run.
    pub fn link_down(&mut self, now: Duration, vm: VmAddress, unsent: VecDeque<PeerMessage>) {
        let relay = self.tools.directory.relay_id(vm);
        self.tools.directory.relays[relay].link_down(now);
        for message in unsent {
            let PeerMessage::Submit(batch) = message else {
                continue;
            };
            let attempts: Vec<u32> = batch.targets.iter().map(|t| t.attempt).collect();
            self.not_sent(now, vm, batch.query, &attempts);
        }
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in numbers {
            let Some(run) = self.runs.get_mut(&number) else {
                continue;
            };
            let ended = run.lose_link(&mut self.tools, now, relay);
            self.conclude(now, number, ended);
        }
    }

    /// Attempts could not be handed to the link of a VM: they were not run.
    pub fn not_sent(&mut self, now: Duration, vm: VmAddress, query: u64, attempts: &[u32]) {
        let relay = self.tools.directory.relay_id(vm);
        self.tools.directory.relays[relay].link_down(now);
        for &attempt in attempts {
            let verdict = ShardVerdict::NotRun(RefusalReason::LinkDown);
            self.settle(now, query, attempt, verdict, OutcomeTimes::default());
        }
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Duration) {
        while let Some(&Reverse((at, number))) = self.wakes.peek() {
            if at > now {
                return;
            }
            self.wakes.pop();
            let Some(run) = self.runs.get_mut(&number) else {
                continue;
            };
            if run.armed != at {
                continue;
            }
            run.armed = Duration::MAX;
            let ended = run.wake(&mut self.tools, now);
            self.conclude(now, number, ended);
        }
    }

    /// Sends what the event has produced, and finishes the query or arms its next wake.
    fn conclude(&mut self, now: Duration, number: u64, ended: Option<QueryOutcome>) {
        let (outbox, relays) = (&mut self.tools.outbox, &self.tools.directory.relays);
        outbox.flush(|relay, message| {
            let vm = relays[relay].vm;
            self.actions.push_back(EntryAction::Send { vm, message });
        });
        if let Some(outcome) = ended {
            self.end(now, number, outcome);
            return;
        }
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let next = run.next_wake(now);
        if next < run.armed {
            run.armed = next;
            self.wakes.push(Reverse((next, number)));
        }
    }

    fn end(&mut self, now: Duration, number: u64, outcome: QueryOutcome) {
        let Some(mut run) = self.runs.remove(&number) else {
            return;
        };
        if run.pressed {
            let met = run.meets_target(now, &outcome);
            let admission = &mut self.tools.admission;
            admission.review(run.terms.class, run.terms.percentile, met);
        }
        let took = now.saturating_sub(run.terms.started);
        let caller_id = run.request.caller_id.take();
        let class = run.request.class.clone();
        self.note_finish(number, caller_id, class, &outcome, took);
        self.finish(number, outcome);
        self.keep(run);
    }

    /// Keeps a run that is over for its allocations.
    fn keep(&mut self, mut run: Box<QueryRun>) {
        if self.spare.len() < SPARE_RUNS {
            run.request.selection = Bytes::new();
            self.spare.push(run);
        }
    }

    /// Gives up an idempotent query whose caller has gone away; any other goes on to its end.
    pub fn abandon(&mut self, now: Duration, number: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        if !run.terms.idempotent {
            return;
        }
        run.cancel_rest(&mut self.tools);
        if let Some(run) = self.runs.remove(&number) {
            self.keep(run);
        }
        self.conclude(now, number, None);
    }

    /// What the decisions have come to since the start, by class.
    pub fn tallies(&self) -> impl Iterator<Item = (&ClassName, DecisionTally)> {
        let ids = self.class_ids.iter();
        ids.map(|(name, id)| (name, self.tools.tallies[*id]))
    }

    fn note_finish(
        &mut self,
        number: u64,
        caller_id: Option<CompactString>,
        class: ClassName,
        outcome: &QueryOutcome,
        took: Duration,
    ) {
        if self.tools.noting {
            let note = FinishNote::new(number, caller_id, class, outcome, took);
            self.tools.noted.push(EntryDecision::Finish(note));
        }
    }

    fn finish(&mut self, query: u64, outcome: QueryOutcome) {
        self.actions
            .push_back(EntryAction::Finish { query, outcome });
    }
}

fn refuse(code: RefusalCode, message: &str) -> QueryRefusal {
    QueryRefusal::new(code, RunState::NotRun, message)
}

fn find_class<'a>(
    config: &'a DeclaredConfig,
    request: &QueryRequest,
) -> Result<&'a ClassTarget, QueryRefusal> {
    let Some(target) = config.classes.get(&request.class) else {
        return Err(refuse(
            RefusalCode::UnknownClass,
            "the class is not declared",
        ));
    };
    let Some(organisation) = config.organisations.get(&request.organisation) else {
        return Err(refuse(
            RefusalCode::UnknownOrganisation,
            "the organisation is not declared",
        ));
    };
    if !organisation.classes.contains(&request.class) {
        return Err(refuse(
            RefusalCode::UnknownOrganisation,
            "the organisation may not use this class",
        ));
    }
    Ok(target)
}

fn check_request(target: &ClassTarget, request: &QueryRequest) -> Result<(), QueryRefusal> {
    if target.scope == ClassScope::One && request.record.is_none() {
        let refusal = refuse(RefusalCode::BadRequest, "the class needs a record name");
        return Err(refusal.with_field("x-record"));
    }
    if !target.idempotent && request.key.is_none() {
        let refusal = refuse(
            RefusalCode::BadRequest,
            "the class needs an idempotency key",
        );
        return Err(refusal.with_field("idempotency-key"));
    }
    if request.deadline.is_some_and(|deadline| deadline.is_zero()) {
        return Err(refuse(RefusalCode::Deadline, "the deadline has passed"));
    }
    Ok(())
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
