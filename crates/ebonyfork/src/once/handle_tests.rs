use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;

use bytes::Bytes;
use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::*;
use crate::declaration::{ClassScope, ClassTarget, DeclaredConfig, TargetPriority};
use crate::ident::{IncarnationNumber, SnapshotVersion};
use crate::query::{QueryAnswer, QueryCoverage};
use crate::topology::{TopologyView, VmEntry};
use crate::views::{NodeReadiness, ViewWriters, view_channels};
use crate::wire::{LinkEvent, PeerPool, PoolSettings};

struct TestNode {
    once_handle: OnceHandle,
    session: SessionId,
    runs: Arc<AtomicU32>,
    stop: CancellationToken,
    writers: ViewWriters,
}

fn vm_address(last_octet: u8) -> VmAddress {
    VmAddress([127, 0, 9, last_octet].into())
}

fn config() -> DeclaredConfig {
    let mut config = DeclaredConfig::default();
    for (name, idempotent) in [("search", true), ("deferral", false)] {
        let target = ClassTarget {
            name: name.parse().unwrap(),
            index: "jurors".parse().unwrap(),
            scope: ClassScope::One,
            latency: Duration::from_millis(100),
            percentile: 99.0,
            coverage: 1.0,
            priority: TargetPriority::LatencyFirst,
            bound: Duration::from_secs(5),
            idempotent,
        };
        config.classes.insert(target.name.clone(), target);
    }
    config
}

impl TestNode {
    /// Starts a node whose queries take 20 ms each and are counted.
    fn start(last_octet: u8, listener: TcpListener, view: &TopologyView) -> Self {
        let session = SessionId::new(vm_address(last_octet), IncarnationNumber(1));
        let (writers, views) = view_channels();
        writers.config.send_replace(Arc::new(config()));
        writers.topology.send_replace(Arc::new(view.clone()));
        writers.readiness.send_replace(NodeReadiness::Ready);
        let port = listener.local_addr().unwrap().port();
        let stop = CancellationToken::new();
        let handle_cell: Arc<std::sync::OnceLock<OnceHandle>> = Arc::default();
        let own_handle = Arc::clone(&handle_cell);
        let pool = PeerPool::new(
            PoolSettings::new(session, port),
            stop.clone(),
            move |event| {
                let own_handle = Arc::clone(&own_handle);
                Box::pin(async move {
                    let Some(handle) = own_handle.get() else {
                        return;
                    };
                    match event {
                        LinkEvent::Message {
                            from,
                            message: PeerMessage::Once(message),
                        } => {
                            handle.handle_message(from, message).await;
                        }
                        LinkEvent::Down { vm, unsent } => handle.handle_link_down(vm, unsent).await,
                        LinkEvent::Message { .. } => {}
                    }
                })
            },
        );
        let accepting_pool = pool.clone();
        tokio::spawn(async move { accepting_pool.accept(listener).await });
        let runs = Arc::new(AtomicU32::new(0));
        let run_counter = Arc::clone(&runs);
        let execute = move |request: QueryRequest| -> BoxFuture<'static, QueryOutcome> {
            let run_number = run_counter.fetch_add(1, Ordering::Relaxed);
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Ok(QueryAnswer {
                    query: format!("run {run_number}").into(),
                    snapshot: SnapshotVersion(1),
                    coverage: QueryCoverage::default(),
                    bodies: vec![request.selection],
                })
            })
        };
        let once_handle = OnceHandle::start(session, views, execute, move |vm, message| {
            pool.send(vm, message)
        });
        handle_cell.set(once_handle.clone()).unwrap();
        Self {
            once_handle,
            session,
            runs,
            stop,
            writers,
        }
    }

    fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }
}

/// Starts nodes 1 to 3 on one port, each with a topology that lists all three.
async fn start_nodes() -> [TestNode; 3] {
    let entries = [1, 2, 3].map(|last_octet| VmEntry {
        vm: vm_address(last_octet),
        zone: "zone-a".parse().unwrap(),
        incarnation: Some(IncarnationNumber(1)),
        leaving: false,
    });
    let view = TopologyView::new(entries, []);
    let mut listeners = Vec::new();
    let mut port = 0;
    for last_octet in 1..=3 {
        let bind_result = TcpListener::bind(SocketAddr::new(vm_address(last_octet).0, port)).await;
        let listener = bind_result.unwrap();
        port = listener.local_addr().unwrap().port();
        listeners.push(listener);
    }
    let mut listeners = listeners.into_iter();
    [1, 2, 3].map(|last_octet| TestNode::start(last_octet, listeners.next().unwrap(), &view))
}

fn request(class: &str, key: Option<IdempotencyKey>) -> QueryRequest {
    QueryRequest {
        class: class.parse().unwrap(),
        organisation: "hanbit".parse().unwrap(),
        deadline: None,
        record: None,
        selection: Bytes::from_static(b"juror 7"),
        key,
        caller_id: None,
    }
}

fn refusal_of(outcome: &QueryOutcome) -> Option<(RefusalCode, RunState)> {
    let refusal = outcome.as_ref().err()?;
    Some((refusal.code, refusal.ran))
}

#[gtest]
#[tokio::test]
async fn only_classes_that_are_not_idempotent_need_a_key() {
    let nodes = start_nodes().await;
    let once_handle = &nodes[0].once_handle;
    expect_that!(
        once_handle.run(request("search", None)).await,
        ok(anything())
    );
    expect_that!(
        once_handle.run(request("search", None)).await,
        ok(anything())
    );
    expect_that!(nodes[0].runs(), eq(2));
    let refusal = once_handle
        .run(request("deferral", None))
        .await
        .unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::BadRequest));
    expect_that!(refusal.ran, eq(RunState::NotRun));
    expect_that!(refusal.field.as_deref(), some(eq(KEY_HEADER)));
}

#[gtest]
#[tokio::test]
async fn resends_through_any_vm_get_the_first_outcome_even_after_a_planned_stop() {
    let nodes = start_nodes().await;
    let key = IdempotencyKey {
        session: nodes[0].session,
        sequence: 7,
    };
    let send = |node: usize| nodes[node].once_handle.run(request("deferral", Some(key)));
    let (first_outcome, second_outcome, third_outcome) = tokio::join!(send(0), send(1), send(2));
    expect_that!(first_outcome, ok(anything()));
    expect_that!(second_outcome, eq(&first_outcome));
    expect_that!(third_outcome, eq(&first_outcome));
    expect_that!(nodes[0].runs(), eq(1));
    expect_that!(nodes[0].once_handle.in_flight(), eq(0));

    nodes[0]
        .writers
        .readiness
        .send_replace(NodeReadiness::Stopping);
    let view = nodes[0].once_handle.views.topology.borrow().clone();
    let successor = crate::once::session_successor(&view, key.session).unwrap();
    let report = nodes[0].once_handle.hand_over(successor).await;
    expect_that!(report.taken, eq(true), "{report}");
    expect_that!(
        (report.sessions, report.outcomes, report.abandoned),
        eq((1, 1, 0))
    );
    nodes[0].stop.cancel();
    let new_key = IdempotencyKey { sequence: 8, ..key };
    for node in &nodes[1..] {
        let resend_outcome = node.once_handle.run(request("deferral", Some(key))).await;
        expect_that!(resend_outcome, eq(&first_outcome));
        let new_key_outcome = node
            .once_handle
            .run(request("deferral", Some(new_key)))
            .await;
        expect_that!(
            refusal_of(&new_key_outcome),
            some(eq((RefusalCode::Stopping, RunState::NotRun)))
        );
    }
    expect_that!(nodes[0].runs() + nodes[1].runs() + nodes[2].runs(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_dropped_call_keeps_its_outcome_until_the_session_crashes() {
    let nodes = start_nodes().await;
    let key = IdempotencyKey {
        session: nodes[0].session,
        sequence: 7,
    };
    let dropped_call = nodes[1].once_handle.run(request("deferral", Some(key)));
    let timed_out = tokio::time::timeout(Duration::from_millis(1), dropped_call).await;
    expect_that!(timed_out.is_err(), eq(true));
    let resend_outcome = nodes[2]
        .once_handle
        .run(request("deferral", Some(key)))
        .await;
    expect_that!(resend_outcome, ok(anything()));
    nodes[0].stop.cancel();
    let outcome_after_crash = nodes[2]
        .once_handle
        .run(request("deferral", Some(key)))
        .await;
    expect_that!(
        refusal_of(&outcome_after_crash),
        some(eq((RefusalCode::OutcomeUnknown, RunState::Unknown)))
    );
    expect_that!(nodes[0].runs() + nodes[1].runs() + nodes[2].runs(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_handover_skips_a_successor_that_is_stopping_too() {
    let nodes = start_nodes().await;
    let key = IdempotencyKey {
        session: nodes[0].session,
        sequence: 7,
    };
    let first_outcome = nodes[0]
        .once_handle
        .run(request("deferral", Some(key)))
        .await;
    let view = nodes[0].once_handle.views.topology.borrow().clone();
    let successors = session_successors(&view, key.session);
    let node_index = |vm: VmAddress| nodes.iter().position(|node| node.session.vm == vm);
    let (stopping_node, staying_node) = (
        node_index(successors[0]).unwrap(),
        node_index(successors[1]).unwrap(),
    );
    nodes[stopping_node]
        .once_handle
        .hand_over(successors[1])
        .await;
    let report = nodes[0].once_handle.hand_over(successors[0]).await;
    expect_that!(report.taken, eq(true), "{report}");
    nodes[0].stop.cancel();
    nodes[stopping_node].stop.cancel();
    let resend_outcome = nodes[staying_node]
        .once_handle
        .run(request("deferral", Some(key)))
        .await;
    expect_that!(resend_outcome, eq(&first_outcome));
}
