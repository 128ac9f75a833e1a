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

const CONNECTIONS: u32 = 25;
/// A third of the connections, minus the one for cancellations.
const SHARE: usize = 7;

/// The relay's decision state, with connections simulated by the test.
struct RelayFixture {
    state: RelayState,
    topology: TopologyView,
    config: DeclaredConfig,
    now: Duration,
    actions: Vec<RelayAction>,
    verdicts: BTreeMap<u64, ShardVerdict>,
    queries_by_work: BTreeMap<WorkId, u64>,
    opening: Vec<ConnectionId>,
    busy: Vec<(ConnectionId, WorkId)>,
    closing: Vec<ConnectionId>,
    /// Connections that were opened and have not ended.
    open: usize,
    cancels: usize,
    losses: Vec<UpstreamLoss>,
    answered: Vec<RequestFingerprint>,
    submitted: u64,
}

fn upstream() -> UpstreamAddress {
    "10.1.0.1:80".parse().unwrap()
}

fn vm() -> VmAddress {
    "10.0.0.1".parse().unwrap()
}

fn topology(leaving: bool) -> TopologyView {
    let own = VmEntry {
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
    TopologyView::new([own], [upstream])
}

fn rows() -> ShardVerdict {
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
            connections: CONNECTIONS,
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
            opening: Vec::new(),
            busy: Vec::new(),
            closing: Vec::new(),
            open: 0,
            cancels: 0,
            losses: Vec::new(),
            answered: Vec::new(),
            submitted: 0,
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

    fn submit(&mut self, organisation: u32, within: u64) -> u64 {
        self.submit_as(organisation, within, WorkSuspicion::Clear)
    }

    fn submit_as(&mut self, organisation: u32, within: u64, suspicion: WorkSuspicion) -> u64 {
        let query = self.submitted;
        self.submitted += 1;
        let request = WorkRequest {
            key: Self::key(query),
            upstream: upstream(),
            organisation: OrganisationId::from_u32(organisation),
            class: ClassId::from_u32(0),
            deadline: self.now + Duration::from_millis(within),
            fingerprint: RequestFingerprint(query),
            suspicion,
        };
        let views = ViewPair {
            topology: &self.topology,
            config: &self.config,
        };
        let work = self.state.submit(self.now, views, &request).unwrap();
        self.queries_by_work.insert(work, query);
        self.run();
        query
    }

    fn cancel(&mut self, query: u64) {
        self.state.cancel(self.now, Self::key(query));
        self.run();
    }

    fn report(&mut self, connection: ConnectionId, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Opened { .. } => self.open += 1,
            ConnectionEvent::Broken { .. }
            | ConnectionEvent::Dropped { .. }
            | ConnectionEvent::Closed => self.open -= 1,
            _ => {}
        }
        self.state.connection_event(self.now, connection, event);
        self.run();
    }

    fn open_all(&mut self) {
        while let Some(connection) = self.opening.pop() {
            let status = OpenStatus::Ready;
            self.report(connection, ConnectionEvent::Opened { status });
        }
    }

    fn answer(&mut self, busy: usize, verdict: ShardVerdict, draining: bool) {
        let (connection, work) = self.busy.swap_remove(busy);
        let answer = UpstreamAnswer {
            verdict,
            draining,
            served: Duration::from_millis(5),
        };
        self.report(connection, ConnectionEvent::Answered { work, answer });
    }

    fn break_one(&mut self, busy: usize) {
        let (connection, work) = self.busy.swap_remove(busy);
        self.report(connection, ConnectionEvent::Broken { work });
    }

    /// Marks the request of the last attempt to be sent as a suspect before the attempt reaches its connection.
    fn isolate(&mut self) {
        let Some((_connection, work)) = self.busy.pop() else {
            return;
        };
        self.state.isolate(self.now, work);
        self.run();
    }

    fn set_leaving(&mut self, leaving: bool) {
        self.topology = topology(leaving);
        let views = ViewPair {
            topology: &self.topology,
            config: &self.config,
        };
        self.state.apply_views(self.now, views);
        self.run();
    }

    fn tick(&mut self, by: u64) {
        self.now += Duration::from_millis(by);
        self.state.tick(self.now);
        self.run();
    }

    fn run(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.state.take_actions(&mut actions);
        for action in actions.drain(..) {
            self.run_action(action);
        }
        self.actions = actions;
        let held = self.opening.len() + self.open;
        assert!(held <= SHARE, "{held} connections");
        let suspects = self
            .busy
            .iter()
            .filter(|(_, work)| self.state.is_suspect(*work));
        let alone = suspects.count() == 0 || self.busy.len() == 1;
        assert!(alone, "a suspect was sent together with other attempts");
        assert!(self.state.connections() as usize == held);
    }

    fn run_action(&mut self, action: RelayAction) {
        match action {
            RelayAction::Open { connection, .. } => self.opening.push(connection),
            RelayAction::Close { connection } => self.closing.push(connection),
            RelayAction::Send {
                connection, work, ..
            } => {
                let query = self.queries_by_work[&work];
                assert!(
                    !self.verdicts.contains_key(&query),
                    "{query} sent after its verdict"
                );
                assert!(!self.busy.iter().any(|(other, _)| *other == connection));
                self.busy.push((connection, work));
            }
            RelayAction::CancelSent { .. } => self.cancels += 1,
            RelayAction::Finish { work, verdict } => {
                let query = self.queries_by_work[&work];
                let previous = self.verdicts.insert(query, verdict);
                assert_eq!(previous, None, "{query} finished twice");
            }
            RelayAction::ReportLoss(loss) => self.losses.push(loss),
            RelayAction::ReportAnswer { fingerprint, .. } => self.answered.push(fingerprint),
            RelayAction::ReportLeaving(_) => {}
        }
    }

    /// Answers all attempts in flight and lets the remaining ones expire.
    fn finish(&mut self) {
        self.open_all();
        while !self.busy.is_empty() {
            self.answer(0, rows(), false);
            self.open_all();
        }
        self.tick(60_000);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Submit {
        organisation: u32,
        within: u64,
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

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let verdict = prop_oneof![
        4 => Just(rows()),
        1 => Just(ShardVerdict::NotRun(RefusalReason::Shed)),
        1 => Just(ShardVerdict::VersionGone { newest: SnapshotVersion(2) }),
    ];
    let step = prop_oneof![
        12 => (0..4_u32, 0..300_u64).prop_map(|(organisation, within)| Step::Submit { organisation, within }),
        3 => (0..150_u64).prop_map(Step::Cancel),
        6 => Just(Step::Opened(OpenStatus::Ready)),
        1 => Just(Step::Opened(OpenStatus::Draining)),
        1 => Just(Step::Opened(OpenStatus::DrainingHint)),
        1 => Just(Step::OpenFailed),
        8 => (verdict, prop::bool::weighted(0.02))
            .prop_map(|(verdict, draining)| Step::Answered { verdict, draining }),
        1 => Just(Step::Unsent),
        1 => Just(Step::Overdue),
        1 => Just(Step::Broken),
        1 => Just(Step::Dropped),
        1 => Just(Step::Closed),
        2 => Just(Step::Isolate),
        1 => prop::bool::weighted(0.3).prop_map(Step::Leaving),
        3 => (1..100_u64).prop_map(Step::Tick),
    ];
    prop::collection::vec(step, 0..250)
}

fn apply_step(fixture: &mut RelayFixture, step: Step) {
    match step {
        Step::Submit {
            organisation,
            within,
        } => {
            let suspicion = match within % 5 {
                0 => WorkSuspicion::Suspect,
                1 => WorkSuspicion::AfterLoss,
                _ => WorkSuspicion::Clear,
            };
            fixture.submit_as(organisation, within, suspicion);
        }
        Step::Isolate if !fixture.busy.is_empty() => fixture.isolate(),
        Step::Cancel(query) => fixture.cancel(query),
        Step::Opened(status) => {
            if let Some(connection) = fixture.opening.pop() {
                fixture.report(connection, ConnectionEvent::Opened { status });
            }
        }
        Step::OpenFailed => {
            if let Some(connection) = fixture.opening.pop() {
                fixture.report(connection, ConnectionEvent::OpenFailed);
            }
        }
        Step::Closed => {
            if let Some(connection) = fixture.closing.pop() {
                fixture.report(connection, ConnectionEvent::Closed);
            }
        }
        Step::Leaving(leaving) => fixture.set_leaving(leaving),
        Step::Tick(by) => fixture.tick(by),
        step if !fixture.busy.is_empty() => apply_busy_step(fixture, step),
        _ => {}
    }
}

fn apply_busy_step(fixture: &mut RelayFixture, step: Step) {
    let (connection, work) = fixture.busy[0];
    match step {
        Step::Answered { verdict, draining } => fixture.answer(0, verdict, draining),
        Step::Overdue => fixture.report(connection, ConnectionEvent::Overdue { work }),
        Step::Broken => fixture.break_one(0),
        Step::Dropped => {
            fixture.report(connection, ConnectionEvent::Overdue { work });
            fixture.busy.swap_remove(0);
            fixture.report(connection, ConnectionEvent::Dropped { work });
        }
        Step::Unsent => {
            fixture.busy.swap_remove(0);
            fixture.report(connection, ConnectionEvent::Unsent { work });
            fixture.report(connection, ConnectionEvent::Closed);
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
    let run = |steps: Vec<Step>| {
        let mut fixture = RelayFixture::new(LimitMode::Adaptive);
        for step in steps {
            apply_step(&mut fixture, step);
        }
        fixture.finish();
        let finished: BTreeSet<u64> = fixture.verdicts.keys().copied().collect();
        assert_eq!(finished, (0..fixture.submitted).collect());
        assert_eq!(fixture.state.occupancy(), (0, 0));
        Ok(())
    };
    runner.run(&steps(), run).unwrap();
}

#[gtest]
fn sent_attempt_is_never_reported_as_not_run() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    let (first, second) = (fixture.submit(0, 100), fixture.submit(0, 100));
    let third = fixture.submit(0, 100);
    fixture.open_all();
    fixture.cancel(first);
    fixture.cancel(third);
    fixture.break_one(1);
    let failed = |reason| ShardVerdict::Failed {
        ran: RunState::Unknown,
        reason,
    };
    expect_that!(
        fixture.verdicts[&first],
        eq(&failed(FailureReason::Cancelled))
    );
    expect_that!(
        fixture.verdicts[&second],
        eq(&failed(FailureReason::Broken))
    );
    let cancelled = ShardVerdict::NotRun(RefusalReason::Cancelled);
    expect_that!(fixture.verdicts[&third], eq(&cancelled));
    expect_that!(fixture.cancels, eq(1));
}

#[gtest]
fn leaving_upstream_gets_no_further_attempts() {
    for by_answer in [true, false] {
        let mut fixture = RelayFixture::new(LimitMode::Adaptive);
        let queries: Vec<u64> = (0..6).map(|_| fixture.submit(0, 100)).collect();
        fixture.open_all();
        let sent = fixture.busy.len();
        if by_answer {
            fixture.answer(0, rows(), true);
        } else {
            fixture.set_leaving(true);
        }
        let leaving = ShardVerdict::NotRun(RefusalReason::Leaving);
        let handed_back = fixture
            .verdicts
            .values()
            .filter(|verdict| **verdict == leaving);
        expect_that!(handed_back.count(), eq(queries.len() - sent));
        let late = fixture.submit(0, 100);
        expect_that!(fixture.verdicts[&late], eq(&leaving));
    }
}

#[gtest]
fn removed_upstream_is_dropped_once_unused() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    fixture.submit(0, 100);
    fixture.open_all();
    fixture.topology = TopologyView::default();
    let views = ViewPair {
        topology: &fixture.topology,
        config: &fixture.config,
    };
    fixture.state.apply_views(fixture.now, views);
    expect_that!(fixture.state.loads(fixture.now).len(), eq(1));
    fixture.answer(0, rows(), false);
    while let Some(connection) = fixture.closing.pop() {
        fixture.report(connection, ConnectionEvent::Closed);
    }
    fixture.tick(5_000);
    while let Some(connection) = fixture.closing.pop() {
        fixture.report(connection, ConnectionEvent::Closed);
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
    fixture.open_all();
    expect_that!(fixture.busy.len(), eq(2));
    fixture.break_one(0);
    expect_that!(fixture.losses.len(), eq(0));
    fixture.break_one(0);
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
    .map(|suspicion| fixture.submit_as(0, 100, suspicion));
    fixture.open_all();
    let busy = |fixture: &RelayFixture| {
        let queries_by_work = fixture
            .busy
            .iter()
            .map(|(_, work)| fixture.queries_by_work[work]);
        queries_by_work.collect::<Vec<_>>()
    };
    expect_that!(busy(&fixture), elements_are![eq(&queries[0])]);
    fixture.answer(0, rows(), false);
    fixture.open_all();
    expect_that!(
        fixture.answered,
        elements_are![eq(&RequestFingerprint(queries[0]))]
    );
    expect_that!(busy(&fixture).len(), eq(2));
    fixture.answer(0, rows(), false);
    expect_that!(busy(&fixture).len(), eq(1));
    fixture.answer(0, rows(), false);
    expect_that!(busy(&fixture), elements_are![eq(&queries[1])]);
    fixture.break_one(0);
    fixture.open_all();
    expect_that!(fixture.losses[0].in_flight.len(), eq(1));
    expect_that!(fixture.losses[0].in_flight[0].fingerprint.0, eq(queries[1]));
}

#[gtest]
fn unreachable_upstream_refuses_attempts_at_once() {
    let mut fixture = RelayFixture::new(LimitMode::Adaptive);
    for _query in 0..4 {
        fixture.submit(0, 100);
    }
    while let Some(connection) = fixture.opening.pop() {
        fixture.report(connection, ConnectionEvent::OpenFailed);
    }
    let unreachable = ShardVerdict::NotRun(RefusalReason::Unreachable);
    expect_that!(
        fixture
            .verdicts
            .values()
            .filter(|verdict| **verdict == unreachable)
            .count(),
        eq(4)
    );
    fixture.tick(2_000);
    fixture.submit(0, 100);
    expect_that!(fixture.opening.len(), eq(1));
}
