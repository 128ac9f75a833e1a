use std::sync::atomic::AtomicBool;

use googletest::prelude::*;

use super::*;
use crate::catalog::IndexCatalog;
use crate::declaration::DeclaredConfig;
use crate::ident::{ServiceName, UpstreamAddress, VmAddress, ZoneName};
use crate::query::{QueryAnswer, QueryCoverage};
use crate::topology::{TopologyView, UpstreamEntry, VmEntry};
use crate::views::{ViewWriters, view_channels};

type CatalogWriter = watch::Sender<Arc<crate::views::CatalogSet>>;

struct TestLifecycle {
    handle: LifecycleHandle,
    views: NodeViews,
    _catalog: CatalogWriter,
}

/// Starts the lifecycle of a VM with one peer, and fills all its views.
fn start_lifecycle() -> TestLifecycle {
    let (writers, views) = view_channels();
    let ViewWriters {
        topology,
        config,
        catalog,
        readiness,
    } = writers;
    let zone: ZoneName = "zone-a".parse().unwrap();
    let vms = [1, 2].map(|last_octet| VmEntry {
        vm: VmAddress([10, 0, 0, last_octet].into()),
        zone: zone.clone(),
        incarnation: None,
        leaving: false,
    });
    let service: ServiceName = "tender".parse().unwrap();
    let upstream = UpstreamEntry {
        upstream: UpstreamAddress(([10, 0, 1, 1], 80).into()),
        zone,
        service,
        leaving: false,
    };
    let handle = LifecycleHandle::start(LifecycleSettings::new(), readiness, views.clone());
    assert_eq!(handle.update_readiness(), NodeReadiness::Starting);
    topology.send_replace(Arc::new(TopologyView::new(vms, [upstream])));
    config.send_replace(Arc::new(DeclaredConfig {
        revision: RevisionNumber(1),
        ..DeclaredConfig::default()
    }));
    catalog.send_replace(Arc::new(
        [("tenders".parse().unwrap(), IndexCatalog::default())].into(),
    ));
    assert_eq!(handle.update_readiness(), NodeReadiness::Ready);
    TestLifecycle {
        handle,
        views,
        _catalog: catalog,
    }
}

fn answer() -> QueryAnswer {
    QueryAnswer {
        query: "q".into(),
        snapshot: crate::ident::SnapshotVersion(1),
        coverage: QueryCoverage::default(),
        bodies: Vec::new(),
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_process_without_contact_is_fenced_until_the_next_contact() {
    let lifecycle = start_lifecycle();
    let handle = &lifecycle.handle;
    tokio::time::sleep(Duration::from_secs(6)).await;
    expect_that!(
        *lifecycle.views.readiness.borrow(),
        eq(NodeReadiness::Fenced)
    );
    let refusal = handle
        .serve(false, async { Ok(answer()) })
        .await
        .unwrap_err();
    expect_that!(
        (refusal.code, refusal.ran),
        eq((RefusalCode::NotReady, RunState::NotRun))
    );
    expect_that!(refusal.retry_after, some(anything()));
    expect_that!(
        handle.serve(true, async { Ok(answer()) }).await,
        ok(anything())
    );
    handle.record_peer_contact();
    expect_that!(handle.update_readiness(), eq(NodeReadiness::Ready));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_first_request_after_a_pause_is_refused() {
    let lifecycle = start_lifecycle();
    tokio::time::advance(Duration::from_secs(4)).await;
    let outcome = lifecycle.handle.serve(false, async { Ok(answer()) }).await;
    expect_that!(
        outcome.map_err(|refusal| refusal.ran),
        err(eq(&RunState::NotRun))
    );
    expect_that!(lifecycle.handle.fence(), some(eq(FenceCause::Paused)));
}

async fn stop(
    lifecycle: &TestLifecycle,
    bound: Duration,
    skip_waiting: CancellationToken,
) -> (StopReport, bool) {
    let announced = AtomicBool::new(false);
    let steps = StopSteps {
        announce: || announced.store(true, Ordering::Relaxed),
        in_flight: || 0,
        hand_over: || async { None },
        skip_waiting,
    };
    let plan = StopPlan::new(Duration::from_secs(1), bound);
    let report = lifecycle.handle.stop(plan, steps).await;
    (report, announced.load(Ordering::Relaxed))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_planned_stop_finishes_the_requests_in_flight() {
    let lifecycle = start_lifecycle();
    let slow_request = lifecycle.handle.clone();
    let slow_request = tokio::spawn(async move {
        let slow_run = async {
            tokio::time::sleep(Duration::from_secs(3)).await;
            Ok(answer())
        };
        slow_request.serve(false, slow_run).await
    });
    let later_requests = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let accepted_outcome = lifecycle.handle.serve(false, async { Ok(answer()) }).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        (
            accepted_outcome,
            lifecycle.handle.serve(false, async { Ok(answer()) }).await,
        )
    };
    let stop_future = stop(
        &lifecycle,
        Duration::from_secs(10),
        CancellationToken::new(),
    );
    let ((report, announced), (accepted, refused)) = tokio::join!(stop_future, later_requests);
    expect_that!(announced, eq(true));
    expect_that!(report.given_up, eq(0));
    expect_that!(accepted, ok(anything()));
    expect_that!(
        refused.map_err(|refusal| refusal.code),
        err(eq(&RefusalCode::Stopping))
    );
    expect_that!(slow_request.await.unwrap(), ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn abandoned_requests_are_answered_as_unknown() {
    for (keyed, code) in [
        (false, RefusalCode::UpstreamFailed),
        (true, RefusalCode::OutcomeUnknown),
    ] {
        let lifecycle = start_lifecycle();
        let stuck_request = lifecycle.handle.clone();
        let stuck_request =
            tokio::spawn(async move { stuck_request.serve(keyed, std::future::pending()).await });
        tokio::task::yield_now().await;
        let skip_waiting = CancellationToken::new();
        skip_waiting.cancel();
        let (report, _) = stop(&lifecycle, Duration::from_secs(10), skip_waiting).await;
        expect_that!(report.given_up, eq(1));
        let refusal = stuck_request.await.unwrap().unwrap_err();
        expect_that!((refusal.code, refusal.ran), eq((code, RunState::Unknown)));
    }
}
