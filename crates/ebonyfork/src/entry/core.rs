//! The state of all queries of one entry. Takes events with the current time and returns the messages to send and the
//! outcomes for callers.
//!
//! This module uses no sockets, clocks, tasks or logging; those belong to the actor in `actor`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::decision::{DecisionCounts, EntryDecision, FinishedQuery};
use super::route::RouteTable;
use super::run::{OutcomeTimes, QueryRun};
use super::terms::{ClassId, QueryParams};
use super::tools::SharedState;
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

/// Retry-after sent to a caller whose index has no version yet.
const NO_VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of runs of completed queries that are kept for reuse of their allocations.
const RUN_POOL_LIMIT: usize = 64;

/// An action that the entry requests in response to an event.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the large variant is nearly every action"
)]
pub enum EntryAction {
    /// Send a message to a relay. If it can't be sent, [`EntryCore::handle_unsent_attempts`] must be called.
    Send {
        /// Address of the VM that runs the relay.
        vm: VmAddress,
        /// The message to send.
        message: PeerMessage,
    },
    /// Deliver the outcome of a query to its caller.
    Finish {
        /// Number of the query, as returned by [`EntryCore::start`].
        query: u64,
        /// The outcome of the query.
        outcome: QueryOutcome,
    },
}

/// The views of the deployment that decisions are based on, taken once per event.
#[derive(Debug, Clone, Default)]
pub struct EntryViews {
    /// The VMs and upstreams of the deployment.
    pub topology: Arc<TopologyView>,
    /// The classes, organisations and services that operators declared.
    pub config: Arc<DeclaredConfig>,
    /// The versions of each index and the services that hold their shards.
    pub catalog: Arc<CatalogSet>,
}

/// Makes the decisions of one entry and holds the state of its queries.
#[derive(Debug)]
pub struct EntryCore {
    shared: SharedState,
    config: Arc<DeclaredConfig>,
    class_ids: FxHashMap<ClassName, ClassId>,
    /// Queries in flight, by query number.
    runs: FxHashMap<u64, Box<QueryRun>>,
    /// Runs of completed queries, kept for reuse of their allocations.
    #[expect(
        clippy::vec_box,
        reason = "runs move between here and the map without being copied"
    )]
    run_pool: Vec<Box<QueryRun>>,
    /// Time and query number of each timer, earliest first. A timer is ignored if the `timer_at` of its query differs
    /// from the timer's time.
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    last_query_number: u64,
    actions: VecDeque<EntryAction>,
}

impl EntryCore {
    /// Creates the core for process incarnation `session` in `zone`.
    pub fn new(session: SessionId, zone: ZoneName, switches: ExperimentSwitches) -> Self {
        Self {
            shared: SharedState::new(session, zone, switches),
            config: Arc::default(),
            class_ids: FxHashMap::default(),
            runs: FxHashMap::default(),
            run_pool: Vec::new(),
            timers: BinaryHeap::new(),
            last_query_number: 0,
            actions: VecDeque::new(),
        }
    }

    /// Switches to the given views; does nothing if they are unchanged.
    pub fn refresh(&mut self, views: &EntryViews) {
        self.shared.directory.refresh(&views.topology);
        self.shared.routes.refresh(&views.catalog);
        if !Arc::ptr_eq(&self.config, &views.config) {
            self.config = Arc::clone(&views.config);
        }
    }

    /// Enables or disables the collection of decisions for the decision log.
    pub fn set_decision_logging(&mut self, enabled: bool) {
        self.shared.log_decisions = enabled;
    }

    /// Drains the decisions collected since the last call.
    pub fn take_decisions(&mut self) -> std::vec::Drain<'_, EntryDecision> {
        self.shared.pending_decisions.drain(..)
    }

    /// Returns the next action to perform, in the order in which the actions were requested.
    pub fn next_action(&mut self) -> Option<EntryAction> {
        self.actions.pop_front()
    }

    /// Marks a request as one that has returned rows recently.
    #[cfg(test)]
    pub(super) fn mark_request_known(&mut self, request: &QueryRequest) {
        let fingerprint = RequestFingerprint::new(&request.class, &request.selection);
        self.shared.known_requests.insert(fingerprint);
    }

    /// Returns the number of queries in flight.
    pub fn queries_in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Returns the time at which [`EntryCore::run_due_timers`] must be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Starts a query and returns its number. The outcome is returned as an action, possibly immediately.
    pub fn start(&mut self, now: Duration, request: QueryRequest) -> u64 {
        self.start_with_suspicion(now, request, false)
    }

    /// Starts a query like [`EntryCore::start`]; `is_suspect` says whether the request may have crashed upstreams.
    pub fn start_with_suspicion(
        &mut self,
        now: Duration,
        request: QueryRequest,
        is_suspect: bool,
    ) -> u64 {
        self.last_query_number += 1;
        let query_number = self.last_query_number;
        let (class, caller_id) = (request.class.clone(), request.caller_id.clone());
        match self.prepare_run(now, query_number, request) {
            Ok(mut run) => {
                run.is_suspect = is_suspect;
                self.begin_run(now, run);
            }
            Err(refusal) => {
                let outcome = Err(refusal);
                self.record_finish(query_number, caller_id, class, &outcome, Duration::ZERO);
                self.push_outcome(query_number, outcome);
            }
        }
        query_number
    }

    /// Checks a request, pins an index version and returns the run of the query, or the refusal of the request.
    fn prepare_run(
        &mut self,
        now: Duration,
        query_number: u64,
        request: QueryRequest,
    ) -> Result<Box<QueryRun>, QueryRefusal> {
        let config = Arc::clone(&self.config);
        let target = find_class(&config, &request)?;
        check_request(target, &request)?;
        let route_table = self.pin_version(now, target)?;
        let class = self.class_id(&target.name);
        let params = QueryParams::new(class, target, request.deadline, now);
        let Some(mut run) = self.run_pool.pop() else {
            return Ok(Box::new(QueryRun::new(
                query_number,
                request,
                params,
                route_table,
            )));
        };
        run.reuse(query_number, request, params, route_table);
        Ok(run)
    }

    /// Pins a version of the index of a class; returns a refusal if the index has no version.
    fn pin_version(
        &mut self,
        now: Duration,
        target: &ClassTarget,
    ) -> Result<Arc<RouteTable>, QueryRefusal> {
        let SharedState {
            routes, directory, ..
        } = &mut self.shared;
        let route_table = routes.pin_version(&target.index, directory, now);
        route_table.ok_or_else(|| {
            not_run_refusal(RefusalCode::NoUpstream, "the index has no version")
                .with_retry_after(NO_VERSION_RETRY_AFTER)
        })
    }

    /// Returns the id of a class, assigning one on first use.
    fn class_id(&mut self, name: &ClassName) -> ClassId {
        if let Some(&id) = self.class_ids.get(name) {
            return id;
        }
        let id = ClassId::from_u32(self.class_ids.len() as u32);
        self.class_ids.insert(name.clone(), id);
        id
    }

    /// Starts the run of a query and adds it to the queries in flight.
    fn begin_run(&mut self, now: Duration, mut run: Box<QueryRun>) {
        let query_number = run.query_number;
        let outcome = run.begin(&mut self.shared, now);
        self.runs.insert(query_number, run);
        self.finish_event(now, query_number, outcome);
    }

    /// Handles the outcomes and load reports sent by the relay on `relay_vm`.
    pub fn handle_outcomes(&mut self, now: Duration, relay_vm: VmAddress, batch: OutcomeBatch) {
        let relay = self.shared.directory.relay_id(relay_vm);
        self.shared.directory.relays[relay].record_link_up();
        for load in &batch.loads {
            if let Some(replica) = self.shared.directory.find_replica(load.upstream) {
                self.shared.directory.replicas[replica]
                    .health
                    .record_load_report(now, load);
            }
        }
        for outcome in batch.outcomes {
            let times = OutcomeTimes {
                queue_time: Duration::from_micros(outcome.waited_us.into()),
                upstream_time: Duration::from_micros(outcome.served_us.into()),
            };
            let (query, attempt) = (outcome.query, outcome.attempt);
            self.handle_outcome(now, query, attempt, outcome.verdict, times);
        }
    }

    fn handle_outcome(
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
        let query_outcome = run.handle_outcome(&mut self.shared, now, attempt, verdict, times);
        self.finish_event(now, query, query_outcome);
    }

    /// Handles a broken link to a VM. The messages in `unsent_messages` were never transmitted; other attempts sent to
    /// that VM may have run.
    pub fn handle_link_down(
        &mut self,
        now: Duration,
        vm: VmAddress,
        unsent_messages: VecDeque<PeerMessage>,
    ) {
        let relay = self.shared.directory.relay_id(vm);
        self.shared.directory.relays[relay].record_link_down(now);
        for message in unsent_messages {
            let PeerMessage::Submit(batch) = message else {
                continue;
            };
            let attempts: Vec<u32> = batch.targets.iter().map(|target| target.attempt).collect();
            self.handle_unsent_attempts(now, vm, batch.query, &attempts);
        }
        let query_numbers: Vec<u64> = self.runs.keys().copied().collect();
        for query_number in query_numbers {
            let Some(run) = self.runs.get_mut(&query_number) else {
                continue;
            };
            let query_outcome = run.handle_link_down(&mut self.shared, now, relay);
            self.finish_event(now, query_number, query_outcome);
        }
    }

    /// Handles attempts that could not be passed to the link of a VM and therefore did not run.
    pub fn handle_unsent_attempts(
        &mut self,
        now: Duration,
        vm: VmAddress,
        query: u64,
        attempts: &[u32],
    ) {
        let relay = self.shared.directory.relay_id(vm);
        self.shared.directory.relays[relay].record_link_down(now);
        for &attempt in attempts {
            let verdict = ShardVerdict::NotRun(RefusalReason::LinkDown);
            self.handle_outcome(now, query, attempt, verdict, OutcomeTimes::default());
        }
    }

    /// Handles the timers that are due at `now`.
    pub fn run_due_timers(&mut self, now: Duration) {
        while let Some(&Reverse((timer_at, query_number))) = self.timers.peek() {
            if timer_at > now {
                return;
            }
            self.timers.pop();
            let Some(run) = self.runs.get_mut(&query_number) else {
                continue;
            };
            if run.timer_at != timer_at {
                continue;
            }
            run.timer_at = Duration::MAX;
            let query_outcome = run.handle_timer(&mut self.shared, now);
            self.finish_event(now, query_number, query_outcome);
        }
    }

    /// Queues the messages that the event produced, then completes the query or schedules its next timer.
    fn finish_event(
        &mut self,
        now: Duration,
        query_number: u64,
        query_outcome: Option<QueryOutcome>,
    ) {
        let (outbox, relays) = (&mut self.shared.outbox, &self.shared.directory.relays);
        outbox.flush(|relay, message| {
            let vm = relays[relay].vm;
            self.actions.push_back(EntryAction::Send { vm, message });
        });
        if let Some(outcome) = query_outcome {
            self.complete_query(now, query_number, outcome);
            return;
        }
        let Some(run) = self.runs.get_mut(&query_number) else {
            return;
        };
        let next_timer = run.next_wake(now);
        if next_timer < run.timer_at {
            run.timer_at = next_timer;
            self.timers.push(Reverse((next_timer, query_number)));
        }
    }

    /// Removes a completed query, records its result and queues its outcome for the caller.
    fn complete_query(&mut self, now: Duration, query_number: u64, outcome: QueryOutcome) {
        let Some(mut run) = self.runs.remove(&query_number) else {
            return;
        };
        if run.is_under_load {
            let is_target_met = run.meets_target(now, &outcome);
            let admission = &mut self.shared.admission;
            admission.record_target_result(
                run.params.class,
                run.params.latency_percentile,
                is_target_met,
            );
        }
        let duration = now.saturating_sub(run.params.started_at);
        let caller_id = run.request.caller_id.take();
        let class = run.request.class.clone();
        self.record_finish(query_number, caller_id, class, &outcome, duration);
        self.push_outcome(query_number, outcome);
        self.recycle_run(run);
    }

    /// Puts the run of a completed query into the pool for reuse of its allocations.
    fn recycle_run(&mut self, mut run: Box<QueryRun>) {
        if self.run_pool.len() < RUN_POOL_LIMIT {
            run.request.selection = Bytes::new();
            self.run_pool.push(run);
        }
    }

    /// Cancels an idempotent query whose caller has disconnected. A non-idempotent query continues to completion.
    pub fn abandon_query(&mut self, now: Duration, query_number: u64) {
        let Some(run) = self.runs.get_mut(&query_number) else {
            return;
        };
        if !run.params.idempotent {
            return;
        }
        run.cancel_attempts_in_flight(&mut self.shared);
        if let Some(run) = self.runs.remove(&query_number) {
            self.recycle_run(run);
        }
        self.finish_event(now, query_number, None);
    }

    /// Returns the decision counts of each class since the start.
    pub fn decision_counts(&self) -> impl Iterator<Item = (&ClassName, DecisionCounts)> {
        let ids = self.class_ids.iter();
        ids.map(|(name, id)| (name, self.shared.decision_counts[*id]))
    }

    /// Collects the outcome of a query for the decision log.
    fn record_finish(
        &mut self,
        query_number: u64,
        caller_id: Option<CompactString>,
        class: ClassName,
        outcome: &QueryOutcome,
        duration: Duration,
    ) {
        if self.shared.log_decisions {
            let finished_query =
                FinishedQuery::new(query_number, caller_id, class, outcome, duration);
            self.shared
                .pending_decisions
                .push(EntryDecision::Finish(finished_query));
        }
    }

    fn push_outcome(&mut self, query: u64, outcome: QueryOutcome) {
        self.actions
            .push_back(EntryAction::Finish { query, outcome });
    }
}

fn not_run_refusal(code: RefusalCode, message: &str) -> QueryRefusal {
    QueryRefusal::new(code, RunState::NotRun, message)
}

/// Returns the declared class of a request; refuses a request whose organisation may not use it.
fn find_class<'a>(
    config: &'a DeclaredConfig,
    request: &QueryRequest,
) -> Result<&'a ClassTarget, QueryRefusal> {
    let Some(target) = config.classes.get(&request.class) else {
        return Err(not_run_refusal(
            RefusalCode::UnknownClass,
            "the class is not declared",
        ));
    };
    let Some(organisation) = config.organisations.get(&request.organisation) else {
        return Err(not_run_refusal(
            RefusalCode::UnknownOrganisation,
            "the organisation is not declared",
        ));
    };
    if !organisation.classes.contains(&request.class) {
        return Err(not_run_refusal(
            RefusalCode::UnknownOrganisation,
            "the organisation may not use this class",
        ));
    }
    Ok(target)
}

/// Refuses a request that lacks a field which its class needs, or whose deadline has passed.
fn check_request(target: &ClassTarget, request: &QueryRequest) -> Result<(), QueryRefusal> {
    if target.scope == ClassScope::One && request.record.is_none() {
        let refusal = not_run_refusal(RefusalCode::BadRequest, "the class needs a record name");
        return Err(refusal.with_field("x-record"));
    }
    if !target.idempotent && request.key.is_none() {
        let refusal = not_run_refusal(
            RefusalCode::BadRequest,
            "the class needs an idempotency key",
        );
        return Err(refusal.with_field("idempotency-key"));
    }
    if request.deadline.is_some_and(|deadline| deadline.is_zero()) {
        return Err(not_run_refusal(
            RefusalCode::Deadline,
            "the deadline has passed",
        ));
    }
    Ok(())
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
