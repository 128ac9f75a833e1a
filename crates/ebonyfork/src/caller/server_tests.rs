use std::sync::Mutex;

use bytes::Bytes;
use futures_util::FutureExt;
use googletest::prelude::*;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1 as client;
use tokio::sync::Notify;

use super::*;
use crate::caller::LocateAnswer;
use crate::gateway::IntakeBudget;
use crate::ident::{RunState, SnapshotVersion};
use crate::query::{QueryAnswer, QueryCoverage, QueryOutcome, QueryRefusal, RefusalCode};
use crate::views::{NodeReadiness, view_channels};

/// A running server, with the controls of its queries.
struct CallerFixture {
    address: std::net::SocketAddr,
    stop: CancellationToken,
    outcome: Arc<Mutex<QueryOutcome>>,
    query_start_notify: Arc<Notify>,
    query_release_notify: Arc<Notify>,
    server_task: tokio::task::JoinHandle<()>,
    writers: crate::views::ViewWriters,
}

fn whole_answer() -> QueryAnswer {
    QueryAnswer {
        query: "q1".into(),
        snapshot: SnapshotVersion(17),
        coverage: QueryCoverage {
            answered: 2,
            total: 2,
            missing: Vec::new(),
        },
        bodies: vec![
            Bytes::from_static(br#"{"rows":["a","b"]}"#),
            Bytes::from_static(br#"{ "rows": [ ] }"#),
            Bytes::from_static(br#"{"rows":["c"]}"#),
        ],
    }
}

/// Starts a server whose query outcome can be set; a query of class `held` waits until `query_release_notify` is
/// notified.
async fn start_server() -> CallerFixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (writers, views) = view_channels();
    writers.readiness.send_replace(NodeReadiness::Ready);
    let outcome = Arc::new(Mutex::new(Ok(whole_answer())));
    let query_release_notify = Arc::new(Notify::new());
    let query_start_notify = Arc::new(Notify::new());
    let started_signal = Arc::clone(&query_start_notify);
    let (shared_outcome, release_signal) =
        (Arc::clone(&outcome), Arc::clone(&query_release_notify));
    let run = move |request: crate::query::QueryRequest| {
        let (shared_outcome, release_signal) =
            (Arc::clone(&shared_outcome), Arc::clone(&release_signal));
        started_signal.notify_one();
        async move {
            if request.class.as_str() == "held" {
                release_signal.notified().await;
            }
            shared_outcome.lock().unwrap().clone()
        }
        .boxed()
    };
    let answer_locate = |_organisation| LocateAnswer {
        addresses: smallvec::smallvec!["127.0.0.1:7100".parse().unwrap()],
        ttl: Duration::from_secs(5),
        session: "127.0.0.1-17".parse().unwrap(),
    };
    let stop = CancellationToken::new();
    let intake = IntakeTable::new(IntakeBudget::unlimited());
    let service = CallerService::new(run, answer_locate, views);
    let server_task = tokio::spawn(serve_callers(listener, service, intake, stop.clone()));
    CallerFixture {
        address,
        stop,
        outcome,
        query_start_notify,
        query_release_notify,
        server_task,
        writers,
    }
}

async fn send_request(
    address: std::net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Response<Bytes> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let response = sender.send_request(request).await.unwrap();
    let (head, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    Response::from_parts(head, body)
}

fn query_request(class: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Request<Full<Bytes>> {
    let path = format!("/v1/query/{class}");
    let mut request = Request::post(path).header("x-organisation", "roofers");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(body.into())).unwrap()
}

#[gtest]
#[tokio::test]
async fn an_answer_concatenates_the_rows_of_all_shards() {
    let fixture = start_server().await;
    let response = send_request(fixture.address, query_request("search", &[], Vec::new())).await;
    expect_that!(response.status(), eq(StatusCode::OK));
    expect_that!(response.headers()["x-coverage"], eq("2/2"));
    expect_that!(response.headers()["x-snapshot"], eq("17"));
    let expected_body = br#"{"query":"q1","snapshot":17,"coverage":{"answered":2,"total":2,"missing":[]},"rows":["a","b","c"]}"#;
    expect_that!(response.body().as_ref(), eq(&expected_body[..]));
    let locate_request = Request::get("/v1/locate").body(Full::default()).unwrap();
    let response = send_request(fixture.address, locate_request).await;
    let answer: LocateAnswer = serde_json::from_slice(response.body()).unwrap();
    expect_that!(answer.ttl, eq(Duration::from_secs(5)));
}

#[gtest]
#[tokio::test]
async fn each_malformed_request_is_refused_with_its_field_and_is_not_run() {
    let fixture = start_server().await;
    let long_record = "x".repeat(257);
    let cases = [
        (
            query_request("search", &[("x-deadline-ms", "soon")], vec![]),
            400,
            "x-deadline-ms",
        ),
        (
            query_request("search", &[("x-organisation", "twice")], vec![]),
            400,
            "x-organisation",
        ),
        (
            query_request("search", &[("x-record", &long_record)], vec![]),
            400,
            "x-record",
        ),
        (
            query_request("search", &[("idempotency-key", "7")], vec![]),
            400,
            "idempotency-key",
        ),
        (
            query_request("search", &[("x-query-id", "")], vec![]),
            400,
            "x-query-id",
        ),
        (query_request("Search", &[], vec![]), 400, "class"),
        (query_request("search", &[], vec![0; 70_000]), 413, "body"),
        (
            Request::get("/v1/query/search")
                .body(Full::default())
                .unwrap(),
            405,
            "method",
        ),
        (
            Request::get("/other").body(Full::default()).unwrap(),
            404,
            "",
        ),
    ];
    for (request, status, field) in cases {
        let response = send_request(fixture.address, request).await;
        expect_that!(response.status().as_u16(), eq(status), "{field}");
        expect_that!(response.headers()["x-ran"], eq("not-run"), "{field}");
        let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
        let field_name = body["error"]["field"].as_str().unwrap_or_default();
        expect_that!(field_name, eq(field));
    }
}

#[gtest]
#[tokio::test]
async fn a_refusal_carries_its_retry_after() {
    let fixture = start_server().await;
    let refusal = QueryRefusal::new(RefusalCode::Overloaded, RunState::NotRun, "full")
        .with_retry_after(Duration::from_millis(250));
    *fixture.outcome.lock().unwrap() = Err(refusal);
    let request = query_request("search", &[("x-query-id", "mine")], vec![]);
    let response = send_request(fixture.address, request).await;
    expect_that!(response.status().as_u16(), eq(503));
    expect_that!(response.headers()["retry-after"], eq("1"));
    let expected_body = br#"{"error":{"code":"overloaded","ran":"not-run","message":"full","field":null,"retry_after_ms":250,"query":"mine"}}"#;
    expect_that!(response.body().as_ref(), eq(&expected_body[..]));
    fixture
        .writers
        .readiness
        .send_replace(NodeReadiness::Fenced);
    let response = send_request(fixture.address, query_request("search", &[], vec![])).await;
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    expect_that!(body["error"]["code"].as_str(), some(eq("not-ready")));
}

#[gtest]
#[tokio::test]
async fn a_stop_completes_requests_in_flight_and_closes_the_listener() {
    let fixture = start_server().await;
    let address = fixture.address;
    let pending_response =
        tokio::spawn(
            async move { send_request(address, query_request("held", &[], vec![])).await },
        );
    fixture.query_start_notify.notified().await;
    fixture.stop.cancel();
    fixture.query_release_notify.notify_one();
    let response = pending_response.await.unwrap();
    expect_that!(response.status(), eq(StatusCode::OK));
    expect_that!(response.headers()["connection"], eq("close"));
    fixture.server_task.await.unwrap();
    expect_that!(TcpStream::connect(address).await.is_err(), eq(true));
}
