use std::time::Duration;

use bytes::Bytes;
use ebonyfork::platform::{VmRecord, VmState};
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;

use super::PlatformStandIn;
use crate::http_client::{CallConnection, CallError, CallReply};
use crate::platform::{OutageKind, PlatformFaults, RateLimits};

async fn start() -> PlatformStandIn {
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    PlatformStandIn::start(listen).await.expect("a free port")
}

async fn call(
    platform: &PlatformStandIn,
    line: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> std::result::Result<CallReply, CallError> {
    let (method, path) = line.split_once(' ').expect("a method and a path");
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let mut connection = CallConnection::open(platform.address()).await?;
    connection.call(request).await
}

fn version(reply: &CallReply) -> Option<&str> {
    reply.headers.get("x-version")?.to_str().ok()
}

/// Call, headers, body; expected status and version.
type CallCase = (
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    u16,
    Option<&'static str>,
);

#[tokio::test]
async fn calls_answer_as_the_protocol_says() {
    let platform = start().await;
    let big: &'static str = Box::leak("x".repeat((1 << 20) + 1).into_boxed_str());
    // One after another on the same store.
    let cases: [CallCase; 17] = [
        ("GET /kv/a", &[], "", 404, None),
        ("PUT /kv/a", &[], "1", 400, None),
        ("PUT /kv/a", &[("x-expect", "absent")], "1", 200, Some("1")),
        ("PUT /kv/a", &[("x-expect", "absent")], "2", 412, Some("1")),
        ("PUT /kv/a", &[("x-expect", "7")], "2", 412, Some("1")),
        ("PUT /kv/a", &[("x-expect", "1")], "2", 200, Some("2")),
        ("PUT /kv/a", &[("x-expect", "any")], big, 413, None),
        ("GET /kv/a", &[], "", 200, Some("2")),
        (
            "GET /watch/a?after=1&wait-ms=60000",
            &[],
            "",
            200,
            Some("2"),
        ),
        ("GET /watch/a?after=2&wait-ms=1", &[], "", 204, None),
        ("GET /watch/a?after=2", &[], "", 400, None),
        ("GET /watch/b?after=5&wait-ms=60000", &[], "", 404, None),
        ("GET /kv/a//b", &[], "", 400, None),
        ("DELETE /kv/a", &[("x-expect", "1")], "", 412, Some("2")),
        (
            "PUT /kv/b",
            &[("x-expect", "any"), ("x-lease", "9")],
            "",
            404,
            None,
        ),
        ("POST /lease/9/keep", &[], "", 404, None),
        ("GET /other", &[], "", 404, None),
    ];
    for (line, headers, body, status, expected) in cases {
        let reply = call(&platform, line, headers, body).await.expect(line);
        assert_that!(reply.status.as_u16(), eq(status), "{line}");
        assert_that!(version(&reply), eq(expected), "{line}");
    }
    let listed = call(&platform, "GET /list/", &[], "")
        .await
        .expect("a list");
    assert_that!(
        listed.body.as_ref(),
        eq(&br#"[{"key":"a","version":2}]"#[..])
    );
    let calls = platform.calls();
    assert_that!(
        (calls.put, calls.get, calls.watch, calls.list),
        eq((7, 3, 4, 1))
    );
}

#[tokio::test]
async fn a_watch_wakes_with_the_change_and_with_the_end_of_a_lease() {
    let platform = start().await;
    let waiting = call(&platform, "GET /watch/a?after=0&wait-ms=60000", &[], "");
    let writing = async {
        tokio::task::yield_now().await;
        platform.put("a", "1")
    };
    let (woken, _) = tokio::join!(waiting, writing);
    assert_that!(woken.expect("an answer").body.as_ref(), eq(&b"1"[..]));

    let granted = call(&platform, "POST /lease?ttl-ms=50", &[], "")
        .await
        .expect("a lease");
    assert_that!(granted.body.as_ref(), eq(&br#"{"lease":"1"}"#[..]));
    let headers = [("x-expect", "any"), ("x-lease", "1")];
    call(&platform, "PUT /kv/b", &headers, "1")
        .await
        .expect("a write");
    let ended = call(&platform, "GET /watch/b?after=1&wait-ms=60000", &[], "").await;
    assert_that!(ended.expect("an answer").status.as_u16(), eq(404));
}

#[tokio::test]
async fn faults_hit_before_or_after_the_effect() {
    let platform = start().await;
    let expect = [("x-expect", "any")];
    platform.lose_calls(1);
    let lost = call(&platform, "PUT /kv/a", &expect, "1").await;
    assert_that!(lost.is_err(), eq(true));
    assert_that!(platform.get("a"), none());
    platform.lose_answers(1);
    let lost = call(&platform, "PUT /kv/a", &expect, "1").await;
    assert_that!(lost.is_err(), eq(true));
    assert_that!(platform.get("a"), some(eq(&(Bytes::from("1"), 1))));

    for (outage, status) in [
        (OutageKind::Unavailable, Some(503)),
        (OutageKind::Broken, None),
    ] {
        platform.set_faults(PlatformFaults {
            outage: Some(outage),
            ..PlatformFaults::default()
        });
        let reply = call(&platform, "GET /kv/a", &[], "").await.ok();
        assert_that!(reply.map(|reply| reply.status.as_u16()), eq(status));
    }
    platform.set_faults(PlatformFaults::default());
    platform.set_rates(RateLimits {
        reads: 0,
        writes: 0,
    });
    let limited = call(&platform, "GET /kv/a", &[], "")
        .await
        .expect("an answer");
    assert_that!(limited.status.as_u16(), eq(429));
}

#[tokio::test]
async fn a_restart_with_a_backup_loses_what_came_since() {
    let platform = start().await;
    platform.put("a", "1");
    let backup = platform.backup();
    platform.put("a", "2");
    platform.restart_with(backup);
    assert_that!(platform.get("a"), some(eq(&(Bytes::from("1"), 1))));
}

#[tokio::test]
async fn the_vm_list_lags() {
    let platform = start().await;
    let mut record = VmRecord {
        ip: "127.0.0.9".parse().expect("an address"),
        port: Some(80),
        zone: "zone-a".parse().expect("a zone"),
        group: "tender-00".into(),
        state: VmState::Live,
    };
    platform.set_vms(vec![record.clone()]);
    record.state = VmState::Leaving;
    let shown = async || {
        let reply = call(&platform, "GET /vms", &[], "").await.expect("a list");
        serde_json::from_slice::<Vec<VmRecord>>(&reply.body).expect("records")
    };
    assert_that!(shown().await[0].state, eq(VmState::Live));
    platform.set_vm_lag(Duration::from_hours(1));
    platform.set_vms(vec![record]);
    // The list from before the start is older than an hour only in name: the oldest known one is shown.
    assert_that!(shown().await[0].state, eq(VmState::Live));
    platform.set_vm_lag(Duration::ZERO);
    assert_that!(shown().await[0].state, eq(VmState::Leaving));
    assert_that!(platform.leaving_shown().len(), eq(1));
}
