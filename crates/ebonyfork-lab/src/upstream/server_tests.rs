use std::time::Duration;

use bytes::Bytes;
use ebonyfork::ident::{IndexName, ShardNumber, SnapshotVersion};
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;

use super::UpstreamStandIn;
use crate::clock::RunClock;
use crate::http_client::{CallConnection, CallError, CallReply};
use crate::journal::{ExecutionEnd, Journal, SelectionHash};
use crate::upstream::{ServiceTime, StatusMode, StatusReport, UpstreamSettings, UpstreamState};

const SHORT: Duration = Duration::from_millis(2);
const LONG: Duration = Duration::from_secs(20);

async fn start(time: Duration, connections: u32) -> (UpstreamStandIn, Journal) {
    let journal = Journal::new(RunClock::start());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let service = "tender-00".parse().expect("a name");
    let settings = UpstreamSettings::new(listen, service)
        .with_service_time(ServiceTime::new(time).with_spread(0.0))
        .with_connections(connections, Duration::ZERO)
        .with_slots(1)
        .with_crash_downtime(SHORT);
    let upstream = UpstreamStandIn::start(settings, &journal)
        .await
        .expect("a free port");
    upstream.hold(
        index(),
        SnapshotVersion(17),
        [ShardNumber(0), ShardNumber(1)],
    );
    (upstream, journal)
}

fn index() -> IndexName {
    "tender".parse().expect("a name")
}

struct Attempt<'a> {
    path: &'a str,
    version: u64,
    name: &'a str,
    selection: &'static str,
    deadline_ms: u64,
}

impl Default for Attempt<'_> {
    fn default() -> Self {
        Self {
            path: "/v1/shard/tender/0",
            version: 17,
            name: "a1",
            selection: "roofers",
            deadline_ms: 60_000,
        }
    }
}

async fn send(
    upstream: &UpstreamStandIn,
    attempt: Attempt<'_>,
) -> std::result::Result<CallReply, CallError> {
    let request = Request::post(attempt.path)
        .header("x-index-version", attempt.version)
        .header("x-attempt", attempt.name)
        .header("x-deadline-ms", attempt.deadline_ms)
        .body(Full::new(Bytes::from(attempt.selection)))
        .expect("a request");
    let mut connection = CallConnection::open(upstream.address().0).await?;
    connection.call(request).await
}

fn ends(journal: &Journal) -> Vec<ExecutionEnd> {
    let logs = journal.logs();
    let records = logs[0].records();
    records.executions.iter().map(|record| record.end).collect()
}

/// Waits until so many requests run or wait.
async fn wait_for(upstream: &UpstreamStandIn, running: u32, waiting: u32) {
    loop {
        let found = {
            let state = upstream.shared.state();
            (state.running, state.waiting)
        };
        if found == (running, waiting) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn answers_as_the_protocol_says() {
    let (upstream, journal) = start(SHORT, 25).await;
    let moved = "tender-07".parse().expect("a name");
    upstream.move_shard(&index(), ShardNumber(1), moved);
    let default = Attempt::default;
    let cases = [
        (default(), 200, ExecutionEnd::Finished),
        (
            Attempt {
                version: 16,
                ..default()
            },
            409,
            ExecutionEnd::VersionGone,
        ),
        (
            Attempt {
                path: "/v1/shard/tender/1",
                ..default()
            },
            421,
            ExecutionEnd::Moved,
        ),
        (
            Attempt {
                path: "/v1/shard/tender/9",
                ..default()
            },
            404,
            ExecutionEnd::Misrouted,
        ),
        (
            Attempt {
                deadline_ms: 0,
                ..default()
            },
            500,
            ExecutionEnd::Expired,
        ),
    ];
    for (attempt, status, end) in cases {
        let reply = send(&upstream, attempt).await.expect("an answer");
        assert_that!(reply.status.as_u16(), eq(status));
        assert_that!(ends(&journal).last(), some(eq(&end)));
        if status == 200 {
            let hash = SelectionHash::new("roofers");
            let expected = format!(r#"{{"rows":["tender/17/0/{hash}"]}}"#);
            assert_that!(reply.body.as_ref(), eq(expected.as_bytes()));
        }
    }
    upstream.drain();
    let reply = send(&upstream, default()).await.expect("an answer");
    assert_that!(reply.status.as_u16(), eq(503));
    assert_that!(reply.headers.contains_key("x-not-run"), eq(true));
    assert_that!(reply.headers.contains_key("x-draining"), eq(true));
    assert_that!(journal.logs()[0].records().leaving_shown, some(anything()));
}

#[tokio::test]
async fn slots_then_queue_then_shedding_and_cancellation() {
    let (upstream, journal) = start(LONG, 25).await;
    let first = send(
        &upstream,
        Attempt {
            name: "a1",
            ..Attempt::default()
        },
    );
    let second = send(
        &upstream,
        Attempt {
            name: "a2",
            ..Attempt::default()
        },
    );
    let steps = async {
        wait_for(&upstream, 1, 1).await;
        // One slot and a queue of two.
        let third = send(
            &upstream,
            Attempt {
                name: "a3",
                deadline_ms: 5,
                ..Attempt::default()
            },
        );
        assert_that!(third.await.expect("an answer").status.as_u16(), eq(503));
        upstream.shared.state().waiting += 1;
        let shed = send(
            &upstream,
            Attempt {
                name: "a4",
                ..Attempt::default()
            },
        )
        .await;
        assert_that!(shed.expect("an answer").status.as_u16(), eq(503));
        upstream.shared.state().waiting -= 1;
        for (name, running) in [("a2", 1), ("a1", 0)] {
            let path = format!("/v1/cancel/{name}");
            let cancelled = send(
                &upstream,
                Attempt {
                    path: &path,
                    ..Attempt::default()
                },
            )
            .await;
            assert_that!(cancelled.expect("an answer").status.as_u16(), eq(204));
            wait_for(&upstream, running, 0).await;
        }
    };
    let (first, second, ()) = tokio::join!(first, second, steps);
    assert_that!(first.expect("an answer").status.as_u16(), eq(500));
    assert_that!(second.expect("an answer").status.as_u16(), eq(503));
    let expected = [
        ExecutionEnd::Cancelled,
        ExecutionEnd::Dropped,
        ExecutionEnd::Dropped,
        ExecutionEnd::Shed,
    ];
    assert_that!(ends(&journal), eq(&expected));
    assert_that!(journal.logs()[0].records().over_slots, eq(3));
}

#[tokio::test]
async fn a_marked_request_crashes_it_and_it_comes_back() {
    let (upstream, journal) = start(SHORT, 25).await;
    let crash = Attempt {
        selection: "crash me",
        ..Attempt::default()
    };
    assert_that!(send(&upstream, crash).await.is_err(), eq(true));
    let mut reply = send(&upstream, Attempt::default()).await;
    while reply.is_err() {
        tokio::time::sleep(SHORT).await;
        reply = send(&upstream, Attempt::default()).await;
    }
    assert_that!(ends(&journal)[0], eq(ExecutionEnd::Crashed));
    assert_that!(reply.expect("an answer").status.as_u16(), eq(200));
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed_at_once() {
    let (upstream, journal) = start(SHORT, 1).await;
    let kept = CallConnection::open(upstream.address().0)
        .await
        .expect("a connection");
    while journal.logs()[0].records().open_connections == 0 {
        tokio::time::sleep(SHORT).await;
    }
    assert_that!(send(&upstream, Attempt::default()).await.is_err(), eq(true));
    let refused = journal.logs()[0].records().refused_connections;
    assert_that!(refused, eq(1));
    drop(kept);
}

#[tokio::test]
async fn the_status_may_lag_and_lie() {
    let (upstream, _journal) = start(SHORT, 25).await;
    let status = async || {
        let request = Request::get("/v1/status")
            .body(Full::default())
            .expect("a request");
        let mut connection = CallConnection::open(upstream.address().0)
            .await
            .expect("a connection");
        connection.call(request).await.expect("an answer").body
    };
    upstream.set_status_mode(StatusMode::Lagging(LONG));
    assert_that!(
        status().await.as_ref(),
        eq(&br#"{"state":"ready","load":0.0}"#[..])
    );
    upstream.drain();
    assert_that!(
        status().await.as_ref(),
        eq(&br#"{"state":"ready","load":0.0}"#[..])
    );
    upstream.set_status_mode(StatusMode::Truthful);
    assert_that!(
        status().await.as_ref(),
        eq(&br#"{"state":"draining","load":0.0}"#[..])
    );
    let lie = StatusReport {
        state: UpstreamState::Ready,
        load: 0.1,
    };
    upstream.set_status_mode(StatusMode::Fixed(lie));
    assert_that!(
        status().await.as_ref(),
        eq(&br#"{"state":"ready","load":0.1}"#[..])
    );
}
