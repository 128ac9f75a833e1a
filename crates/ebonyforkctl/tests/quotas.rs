//! The command `quotas` against a small server in place of a gateway.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::Output;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::process::Command;

/// Targets that a server was asked for.
type Targets = Arc<Mutex<Vec<String>>>;

/// Starts a server that answers each target with what `answer` returns for it.
async fn start_server(answer: fn(&str) -> String) -> (SocketAddr, Targets) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let targets = Targets::default();
    let seen = Arc::clone(&targets);
    tokio::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let seen = Arc::clone(&seen);
            let service = service_fn(move |request: Request<Incoming>| {
                let target = request.uri().to_string();
                let body = answer(&target);
                seen.lock().expect("no panic").push(target);
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(body)))) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, targets)
}

/// Returns a report that lists one organisation, or none.
fn report(name: Option<&str>, next: &str) -> String {
    let organisation = |name| {
        format!(
            r#"{{"name":"{name}","rate":2.0,"burst":4.0,"granted":1,"refused":{{}},"parts":[]}}"#
        )
    };
    let organisations = name.map(organisation).unwrap_or_default();
    format!(
        r#"{{"vm":"10.0.0.1","version":7,"copy_age_ms":12,"counted_ms":61500,"uncounted":0,
        "organisations":[{organisations}],"next":{next}}}"#
    )
}

fn answer(target: &str) -> String {
    match target {
        "/quotas?after=" => report(Some("a b"), "\"a b\""),
        "/quotas?after=a%20b" => report(Some("c"), "null"),
        "/quotas?organisation=a%26b" => report(Some("a&b"), "null"),
        _ => report(None, "null"),
    }
}

async fn run(node: SocketAddr, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonyforkctl"));
    command.args(["quotas", "--node", &node.to_string()]);
    let output = command.args(words).output().await;
    output.expect("a process")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A gateway answers in pages. The command must show all of them, and must quote names for the target.
#[gtest]
#[tokio::test]
async fn all_pages_are_shown() {
    let (address, targets) = start_server(answer).await;
    let output = run(address, &[]).await;
    expect_that!(output.status.code(), some(eq(0)));
    let shown = text(&output.stdout);
    expect_that!(shown, contains_substring("a b: limit 2/s, burst 4"));
    expect_that!(shown, contains_substring("c: limit 2/s, burst 4"));
    let seen = targets.lock().expect("no panic").clone();
    expect_that!(seen, eq(&["/quotas?after=", "/quotas?after=a%20b"]));
}

#[gtest]
#[tokio::test]
async fn scripts_get_json() {
    let (address, _targets) = start_server(answer).await;
    let words = ["--organisation", "a&b", "--output", "json"];
    let output = run(address, &words).await;
    expect_that!(output.status.code(), some(eq(0)));
    let value: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    expect_that!(value["organisations"][0]["name"].as_str(), some(eq("a&b")));
    expect_that!(value["version"].as_u64(), some(eq(7)));
}

/// What can't be shown must end with a failure and its reason, or scripts would take it for an organisation without
/// traffic.
#[gtest]
#[tokio::test]
async fn failures_are_told_with_their_reason() {
    let (address, _targets) = start_server(answer).await;
    let (metrics, _targets) = start_server(|_target| "# EOF\n".to_owned()).await;
    let unknown = ["--organisation", "none"];
    for (node, words, reason) in [
        (
            address,
            &unknown[..],
            "organisation none has no limit in version 7",
        ),
        (metrics, &[][..], "the answer is no report on quotas"),
        (
            SocketAddr::from(([127, 0, 0, 1], 1)),
            &[][..],
            "127.0.0.1:1",
        ),
    ] {
        let output = run(node, words).await;
        expect_that!(output.status.code(), some(eq(1)));
        expect_that!(text(&output.stderr), contains_substring(reason));
        expect_that!(text(&output.stdout), eq(""));
    }
}
