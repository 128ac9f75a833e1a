use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::declaration::ServiceEntry;
use crate::ident::{RunState, SnapshotVersion};
use crate::relay::loss::UpstreamLoss;
use crate::relay::message::{FailureReason, ShardVerdict};
use crate::settings::LimitMode;
use crate::topology::{UpstreamEntry, VmEntry};

/// Number of connections that the service accepts from all VMs.
const SERVICE_CONNECTIONS: u32 = 25;
/// Number of connections that the relay may use for attempts: a third of [`SERVICE_CONNECTIONS`], minus the one for
/// cancellations.
const ATTEMPT_CONNECTIONS: usize = 7;

/// The relay's decision state, with connections simulated by the test.
struct RelayFixture {
    state: RelayState,
    topology: TopologyView,
    config: DeclaredConfig,
    now: Duration,
    actions: Vec<RelayAction>,
    verdicts: BTreeMap<u64, ShardVerdict>,
    queries_by_work: BTreeMap<WorkId, u64>,
    /// Connections that the relay has asked to open.
    opening_connections: Vec<ConnectionId>,
    /// Connections with an attempt in flight, in the order of sending.
    busy_connections: Vec<(ConnectionId, WorkId)>,
    /// Connections that the relay has asked to close.
    closing_connections: Vec<ConnectionId>,
    /// Number of connections that were opened and have not ended.
    open_connection_count: usize,
    cancellation_count: usize,
    losses: Vec<UpstreamLoss>,
    /// Requests whose answers the relay has reported to the quarantine.
    answer_reports: Vec<RequestFingerprint>,
    submitted_attempt_count: u64,
}

fn upstream() -> UpstreamAddress {
    "10.1.0.1:80".parse().unwrap()
}

fn vm() -> VmAddress {
    "10.0.0.1".parse().unwrap()
}

fn topology(leaving: bool) -> TopologyView {
    let own_vm = VmEntry {
        vm: vm(),
        zone: "zone-a".parse().unwrap(),
        incarnation: None,
        leaving: false,
    };
    let upstream = UpstreamEntry {
        upstream: upstream(),
        zone: "zone-a".parse().unwrap(),
        service: "tender-00".parse().unwrap(),
        leaving,
    };
    TopologyView::new([own_vm], [upstream])
}

fn rows_verdict() -> ShardVerdict {
    ShardVerdict::Rows {
        version: SnapshotVersion(1),
        body: Bytes::from_static(b"{\"rows\":[]}"),
    }
}

impl RelayFixture {
    fn new(limit: LimitMode) -> Self {
        let mut config = DeclaredConfig::default();
        let name: crate::ident::ServiceName = "tender-00".parse().unwrap();
        let service = ServiceEntry {
            name: name.clone(),
            connections: SERVICE_CONNECTIONS,
            drain: Duration::from_secs(1),
        };
        config.services.insert(name, service);
        let switches = ExperimentSwitches {
            limit,
            ..Default::default()
        };
        Self {
            state: RelayState::new(vm(), switches),
            topology: topology(false),
            config,
            now: Duration::ZERO,
            actions: Vec::new(),
            verdicts: BTreeMap::new(),
            queries_by_work: BTreeMap::new(),
            opening_connections: Vec::new(),
            busy_connections: Vec::new(),
            closing_connections: Vec::new(),
            open_connection_count: 0,
            cancellation_count: 0,
            losses: Vec::new(),
            answer_reports: Vec::new(),
            submitted_attempt_count: 0,
        }
    }

    fn key(query: u64) -> AttemptKey {
        let session = SessionId::new(vm(), crate::ident::IncarnationNumber(1));
        AttemptKey {
            session,
            query,
            attempt: 0,
        }
    }

    fn submit(&mut self, organisation: u32, remaining_ms: u64) -> u64 {
        self.submit_with_suspicion(organisation, remaining_ms, WorkSuspicion::Clear)
    }

    fn submit_with_suspicion(
        &mut self,
        organisation: u32,
        remaining_ms: u64,
        suspicion: WorkSuspicion,
    ) -> u64 {
        let query = self.submitted_attempt_count;
        self.submitted_attempt_count += 1;
        let request = WorkRequest {
            key: Self::key(query),
            upstream: upstream(),
            organisation: OrganisationId::from_u32(organisation),
            class: ClassId::from_u32(0),
            deadline: self.now + Duration::from_millis(remaining_ms),
            fingerprint: RequestFingerprint(query),
            suspicion,
        };
        let views = ViewPair {
            topology: &self.topology,
            config: &self.config,
        };
        let work = self.state.submit(self.now, views, &request).unwrap();
        self.queries_by_work.insert(work, query);
        self.run_issued_actions();
        query
    }

    fn cancel(&mut self, query: u64) {
        self.state.cancel(self.now, Self::key(query));
        self.run_issued_actions();
    }

    fn report_event(&mut self, connection: ConnectionId, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Opened { .. } => self.open_connection_count += 1,
            ConnectionEvent::Broken { .. }
            | ConnectionEvent::Dropped { .. }
            | ConnectionEvent::Closed => self.open_connection_count -= 1,
            _ => {}
        }
        self.state
            .handle_connection_event(self.now, connection, event);
        self.run_issued_actions();
    }

    fn open_all_connections(&mut self) {
        while let Some(connection) = self.opening_connections.pop() {
            let status = OpenStatus::Ready;
            self.report_event(connection, ConnectionEvent::Opened { status });
        }
    }

    fn answer(&mut self, position: usize, verdict: ShardVerdict, draining: bool) {
        let (connection, work) = self.busy_connections.swap_remove(position);
        let answer = UpstreamAnswer {
            verdict,
            draining,
            service_time: Duration::from_millis(5),
        };
        self.report_event(connection, ConnectionEvent::Answered { work, answer });
    }

    fn break_connection(&mut self, position: usize) {
        let (connection, work) = self.busy_connections.swap_remove(position);
        self.report_event(connection, ConnectionEvent::Broken { work });
    }

    /// Marks the request of the last attempt to be sent as a suspect before the attempt reaches its connection.
    fn isolate(&mut self) {
        let Some((_connection, work)) = self.busy_connections.pop() else {
            return;
        };
        self.state.isolate(self.now, work);
        self.run_issued_actions();
    }

    fn set_leaving(&mut self, leaving: bool) {
        self.topology = topology(leaving);
        let views = ViewPair {
            topology: &self.topology,
            config: &self.config,
        };
        self.state.apply_views(self.now, views);
        self.run_issued_actions();
    }

    fn tick(&mut self, elapsed_ms: u64) {
        self.now += Duration::from_millis(elapsed_ms);
        self.state.tick(self.now);
        self.run_issued_actions();
    }

    fn run_issued_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.state.take_actions(&mut actions);
        for action in actions.drain(..) {
            self.run_action(action);
        }
        self.actions = actions;
        let connection_count = self.opening_connections.len() + self.open_connection_count;
        assert!(
            connection_count <= ATTEMPT_CONNECTIONS,
            "{connection_count} connections"
        );
        let suspects = self
            .busy_connections
            .iter()
            .filter(|(_, work)| self.state.is_suspect(*work));
        let is_alone = suspects.count() == 0 || self.busy_connections.len() == 1;
        assert!(is_alone, "a suspect was sent together with other attempts");
        assert!(self.state.connection_count() as usize == connection_count);
    }

    fn run_action(&mut self, action: RelayAction) {
        match action {
            RelayAction::Open { connection, .. } => self.opening_connections.push(connection),
            RelayAction::Close { connection } => self.closing_connections.push(connection),
            RelayAction::Send {
                connection, work, ..
            } => {
                let query = self.queries_by_work[&work];
                assert!(
                    !self.verdicts.contains_key(&query),
                    "{query} sent after its verdict"
                );
                assert!(
                    !self
                        .busy_connections
                        .iter()
                        .any(|(other_connection, _)| *other_connection == connection)
                );
                self.busy_connections.push((connection, work));
            }
            RelayAction::CancelSent { .. } => self.cancellation_count += 1,
            RelayAction::Finish { work, verdict } => {
                let query = self.queries_by_work[&work];
                let previous_verdict = self.verdicts.insert(query, verdict);
                assert_eq!(previous_verdict, None, "{query} finished twice");
            }
            RelayAction::ReportLoss(loss) => self.losses.push(loss),
            RelayAction::ReportAnswer { fingerprint, .. } => self.answer_reports.push(fingerprint),
            RelayAction::ReportLeaving(_) => {}
        }
    }

    /// Answers all attempts in flight and lets the waiting ones expire.
    fn finish(&mut self) {
        self.open_all_connections();
        while !self.busy_connections.is_empty() {
            self.answer(0, rows_verdict(), false);
            self.open_all_connections();
        }
        self.tick(60_000);
    }
}

#[derive(Debug, Clone)]
enum RelayStep {
    Submit {
        organisation: u32,
        remaining_ms: u64,
    },
    Cancel(u64),
    Opened(OpenStatus),
    OpenFailed,
    Answered {
        verdict: ShardVerdict,
        draining: bool,
    },
    Unsent,
    Overdue,
    Broken,
    Dropped,
    Closed,
    Leaving(bool),
    Isolate,
    Tick(u64),
}

fn relay_steps() -> impl Strategy<Value = Vec<RelayStep>> {
    let verdict = prop_oneof![
        4 => Just(rows_verdict()),
        1 => Just(ShardVerdict::NotRun(RefusalReason::Shed)),
        1 => Just(ShardVerdict::VersionGone { newest: SnapshotVersion(2) }),
    ];
    let step = prop_oneof![
        12 => (0..4_u32, 0..300_u64)
            .prop_map(|(organisation, remaining_ms)| RelayStep::Submit { organisation, remaining_ms }),
        3 => (0..150_u64).prop_map(RelayStep::Cancel),
        6 => Just(RelayStep::Opened(OpenStatus::Ready)),
        1 => Just(RelayStep::Opened(OpenStatus::Draining)),
        1 => Just(RelayStep::Opened(OpenStatus::DrainingHint)),
        1 => Just(RelayStep::OpenFailed),
        8 => (verdict, prop::bool::weighted(0.02))
            .prop_map(|(verdict, draining)| RelayStep::Answered { verdict, draining }),
        1 => Just(RelayStep::Unsent),
        1 => Just(RelayStep::Overdue),
        1 => Just(RelayStep::Broken),
        1 => Just(RelayStep::Dropped),
        1 => Just(RelayStep::Closed),
        2 => Just(RelayStep::Isolate),
        1 => prop::bool::weighted(0.3).prop_map(RelayStep::Leaving),
        3 => (1..100_u64).prop_map(RelayStep::Tick),
    ];
    prop::collection::vec(step, 0..250)
}

fn apply_step(fixture: &mut RelayFixture, step: RelayStep) {
    match step {
        RelayStep::Submit {
            organisation,
            remaining_ms,
        } => {
            let suspicion = match remaining_ms % 5 {
                0 => WorkSuspicion::Suspect,
                1 => WorkSuspicion::AfterLoss,
                _ => WorkSuspicion::Clear,
            };
            fixture.submit_with_suspicion(organisation, remaining_ms, suspicion);
        }
        RelayStep::Isolate if !fixture.busy_connections.is_empty() => fixture.isolate(),
        RelayStep::Cancel(query) => fixture.cancel(query),
        RelayStep::Opened(status) => {
            if let Some(connection) = fixture.opening_connections.pop() {
                fixture.report_event(connection, ConnectionEvent::Opened { status });
            }
        }
        RelayStep::OpenFailed => {
            if let Some(connection) = fixture.opening_connections.pop() {
                fixture.report_event(connection, ConnectionEvent::OpenFailed);
            }
        }
        RelayStep::Closed => {
            if let Some(connection) = fixture.closing_connections.pop() {
                fixture.report_event(connection, ConnectionEvent::Closed);
            }
        }
        RelayStep::Leaving(leaving) => fixture.set_leaving(leaving),
        RelayStep::Tick(elapsed_ms) => fixture.tick(elapsed_ms),
        step if !fixture.busy_connections.is_empty() => apply_busy_step(fixture, step),
        _ => {}
    }
}

fn apply_busy_step(fixture: &mut RelayFixture, step: RelayStep) {
    let (connection, work) = fixture.busy_connections[0];
    match step {
        RelayStep::Answered { verdict, draining } => fixture.answer(0, verdict, draining),
        RelayStep::Overdue => fixture.report_event(connection, ConnectionEvent::Overdue { work }),
        RelayStep::Broken => fixture.break_connection(0),
        RelayStep::Dropped => {
            fixture.report_event(connection, ConnectionEvent::Overdue { work });
            fixture.busy_connections.swap_remove(0);
            fixture.report_event(connection, ConnectionEvent::Dropped { work });
        }
        RelayStep::Unsent => {
            fixture.busy_connections.swap_remove(0);
            fixture.report_event(connection, ConnectionEvent::Unsent { work });
            fixture.report_event(connection, ConnectionEvent::Closed);
        }
        _ => {}
    }
}

#[test]
fn every_submitted_attempt_gets_exactly_one_verdict() {
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let check_steps = |steps: Vec<RelayStep>| {
        let mut fixture = RelayFixture::new(LimitMode::Adaptive);
        for step in steps {
            apply_step(&mut fixture, step);
        }
        fixture.finish();
        let finished_queries: BTreeSet<u64> = fixture.verdicts.keys().copied().collect();
        assert_eq!(
            finished_queries,
            (0..fixture.submitted_attempt_count).collect()
        );
        assert_eq!(fixture.state.waiting_and_in_flight_counts(), (0, 0));
        Ok(())
    };
    runner.run(&relay_steps(), check_steps).unwrap();
}

#[gtest]
fn sent_attempt_is_never_reported_as_not_run() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    let (first_query, second_query) = (fixture.submit(0, 100), fixture.submit(0, 100));
    let third_query = fixture.submit(0, 100);
    fixture.open_all_connections();
    fixture.cancel(first_query);
    fixture.cancel(third_query);
    fixture.break_connection(1);
    let failed_verdict = |reason| ShardVerdict::Failed {
        ran: RunState::Unknown,
        reason,
    };
    expect_that!(
        fixture.verdicts[&first_query],
        eq(&failed_verdict(FailureReason::Cancelled))
    );
    expect_that!(
        fixture.verdicts[&second_query],
        eq(&failed_verdict(FailureReason::Broken))
    );
    let cancelled_verdict = ShardVerdict::NotRun(RefusalReason::Cancelled);
    expect_that!(fixture.verdicts[&third_query], eq(&cancelled_verdict));
    expect_that!(fixture.cancellation_count, eq(1));
}

#[gtest]
fn leaving_upstream_gets_no_further_attempts() {
    for announced_in_answer in [true, false] {
        let mut fixture = RelayFixture::new(LimitMode::Adaptive);
        let queries: Vec<u64> = (0..6).map(|_| fixture.submit(0, 100)).collect();
        fixture.open_all_connections();
        let sent_attempt_count = fixture.busy_connections.len();
        if announced_in_answer {
            fixture.answer(0, rows_verdict(), true);
        } else {
            fixture.set_leaving(true);
        }
        let leaving_verdict = ShardVerdict::NotRun(RefusalReason::Leaving);
        let refused_verdicts = fixture
            .verdicts
            .values()
            .filter(|verdict| **verdict == leaving_verdict);
        expect_that!(
            refused_verdicts.count(),
            eq(queries.len() - sent_attempt_count)
        );
        let late_query = fixture.submit(0, 100);
        expect_that!(fixture.verdicts[&late_query], eq(&leaving_verdict));
    }
}

#[gtest]
fn removed_upstream_is_dropped_once_unused() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    fixture.submit(0, 100);
    fixture.open_all_connections();
    fixture.topology = TopologyView::default();
    let views = ViewPair {
        topology: &fixture.topology,
        config: &fixture.config,
    };
    fixture.state.apply_views(fixture.now, views);
    expect_that!(fixture.state.loads(fixture.now).len(), eq(1));
    fixture.answer(0, rows_verdict(), false);
    while let Some(connection) = fixture.closing_connections.pop() {
        fixture.report_event(connection, ConnectionEvent::Closed);
    }
    fixture.tick(5_000);
    while let Some(connection) = fixture.closing_connections.pop() {
        fixture.report_event(connection, ConnectionEvent::Closed);
    }
    let views = ViewPair {
        topology: &fixture.topology,
        config: &fixture.config,
    };
    fixture.state.apply_views(fixture.now, views);
    expect_that!(fixture.state.loads(fixture.now).len(), eq(0));
}

#[gtest]
fn connections_that_break_together_are_one_loss() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    for _query in 0..4 {
        fixture.submit(0, 100);
    }
    fixture.open_all_connections();
    expect_that!(fixture.busy_connections.len(), eq(2));
    fixture.break_connection(0);
    expect_that!(fixture.losses.len(), eq(0));
    fixture.break_connection(0);
    expect_that!(fixture.losses.len(), eq(1));
    expect_that!(fixture.losses[0].in_flight.len(), eq(2));
}

#[gtest]
fn suspects_are_sent_alone_and_alternate_with_others() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    let queries = [
        WorkSuspicion::AfterLoss,
        WorkSuspicion::Suspect,
        WorkSuspicion::Clear,
        WorkSuspicion::Clear,
        WorkSuspicion::Clear,
    ]
    .map(|suspicion| fixture.submit_with_suspicion(0, 100, suspicion));
    fixture.open_all_connections();
    let queries_in_flight = |fixture: &RelayFixture| {
        let queries = fixture
            .busy_connections
            .iter()
            .map(|(_, work)| fixture.queries_by_work[work]);
        queries.collect::<Vec<_>>()
    };
    expect_that!(queries_in_flight(&fixture), elements_are![eq(&queries[0])]);
    fixture.answer(0, rows_verdict(), false);
    fixture.open_all_connections();
    expect_that!(
        fixture.answer_reports,
        elements_are![eq(&RequestFingerprint(queries[0]))]
    );
    expect_that!(queries_in_flight(&fixture).len(), eq(2));
    fixture.answer(0, rows_verdict(), false);
    expect_that!(queries_in_flight(&fixture).len(), eq(1));
    fixture.answer(0, rows_verdict(), false);
    expect_that!(queries_in_flight(&fixture), elements_are![eq(&queries[1])]);
    fixture.break_connection(0);
    fixture.open_all_connections();
    expect_that!(fixture.losses[0].in_flight.len(), eq(1));
    expect_that!(fixture.losses[0].in_flight[0].fingerprint.0, eq(queries[1]));
}

#[gtest]
fn unreachable_upstream_refuses_attempts_at_once() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    for _query in 0..4 {
        fixture.submit(0, 100);
    }
    while let Some(connection) = fixture.opening_connections.pop() {
        fixture.report_event(connection, ConnectionEvent::OpenFailed);
    }
    let unreachable_verdict = ShardVerdict::NotRun(RefusalReason::Unreachable);
    expect_that!(
        fixture
            .verdicts
            .values()
            .filter(|verdict| **verdict == unreachable_verdict)
            .count(),
        eq(4)
    );
    fixture.tick(2_000);
    fixture.submit(0, 100);
    expect_that!(fixture.opening_connections.len(), eq(1));
}
