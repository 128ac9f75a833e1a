use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use ebonyfork::declaration::ClassScope;
use ebonyfork::ident::RunState;
use googletest::prelude::*;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::{AgentSettings, CallerAgent, OutgoingRequest};
use crate::clock::RunClock;
use crate::http_server::{
    BrokenConnection, StandInReply, body_reply, header_text, serve_connection,
};
use crate::load::plan::ClassLoad;
use crate::load::record::TryOutcome;

/// A VM that answers locate with given addresses and queries with a given reply; it notes the keys that it is sent.
struct FakeVm {
    address: SocketAddr,
    keys: Arc<Mutex<Vec<CompactString>>>,
}

const NOT_READY: &str = r#"{"error":{"code":"not-ready","ran":"not-run","message":"","field":null,"retry_after_ms":9}}"#;
const ANSWER: &str =
    r#"{"query":"q","snapshot":17,"coverage":{"answered":0,"total":1,"missing":[0]},"rows":[]}"#;

impl FakeVm {
    async fn start(others: &[SocketAddr], reply: Option<(u16, &'static str)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let keys = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = vec![address];
        addresses.extend(others);
        let located = format!(
            r#"{{"addresses":{},"ttl_ms":5000,"session":"127.0.0.1-{}"}}"#,
            serde_json::to_string(&addresses).expect("JSON"),
            address.port()
        );
        let vm = Self {
            address,
            keys: Arc::clone(&keys),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (located, keys) = (located.clone(), Arc::clone(&keys));
                tokio::spawn(serve_connection(stream, move |request| {
                    let answer = answer(&request, &located, reply, &keys);
                    async move { answer }
                }));
            }
        });
        vm
    }

    fn keys(&self) -> Vec<CompactString> {
        self.keys.lock().expect("a lock").clone()
    }
}

fn answer(
    request: &Request<Incoming>,
    located: &str,
    reply: Option<(u16, &'static str)>,
    keys: &Mutex<Vec<CompactString>>,
) -> std::result::Result<StandInReply, BrokenConnection> {
    if request.uri().path() == "/v1/locate" {
        return Ok(body_reply(StatusCode::OK, located.to_owned()));
    }
    let key = header_text(request.headers(), "idempotency-key").unwrap_or_default();
    keys.lock().expect("a lock").push(key.into());
    let (status, body) = reply.ok_or(BrokenConnection)?;
    Ok(body_reply(
        StatusCode::from_u16(status).expect("a status"),
        body,
    ))
}

fn outgoing(idempotent: bool) -> OutgoingRequest {
    let load = ClassLoad {
        class: "profile-fetch".parse().expect("a name"),
        scope: ClassScope::One,
        idempotent,
        latency: Duration::from_millis(100),
        coverage: 1.0,
        bound: Duration::from_secs(1),
        deadline: None,
        records: 1,
        selection_size: 0,
    };
    OutgoingRequest {
        class: 0,
        stream: 0,
        scheduled: Duration::ZERO,
        load: Arc::new(load),
        selection: "s".into(),
        same_selection: false,
        record: "record-0".into(),
    }
}

async fn send(known: SocketAddr, idempotent: bool) -> Vec<TryOutcome> {
    let agent = CallerAgent::new(AgentSettings {
        clock: RunClock::start(),
        delay: Duration::ZERO,
        known: vec![known],
        others: Vec::new(),
        organisation: "roofers".parse().expect("a name"),
        number: 3,
    });
    let record = agent.send(outgoing(idempotent)).await;
    record
        .tries
        .into_iter()
        .map(|tried| tried.outcome)
        .collect()
}

#[tokio::test]
async fn a_broken_connection_is_resent_elsewhere_with_the_same_key() {
    let second = FakeVm::start(&[], Some((200, ANSWER))).await;
    let first = FakeVm::start(&[second.address], None).await;
    let outcomes = send(first.address, false).await;
    assert_that!(outcomes[0], eq(&TryOutcome::Broken));
    assert_that!(matches!(outcomes[1], TryOutcome::Answered(_)), eq(true));
    let key = format!("127.0.0.1-{}.{}", first.address.port(), 3_u64 << 32);
    assert_that!(first.keys(), eq(&[key.as_str()]));
    assert_that!(second.keys(), eq(&[key.as_str()]));
}

#[tokio::test]
async fn what_did_not_run_is_sent_elsewhere_with_a_new_key() {
    let second = FakeVm::start(&[], Some((200, ANSWER))).await;
    let first = FakeVm::start(&[second.address], Some((503, NOT_READY))).await;
    let outcomes = send(first.address, false).await;
    assert_that!(outcomes.len(), eq(2));
    let refused = TryOutcome::Refused {
        status: 503,
        code: "not-ready".into(),
        ran: RunState::NotRun,
        retry_after: Some(Duration::from_millis(9)),
    };
    assert_that!(outcomes[0], eq(&refused));
    let key = format!("127.0.0.1-{}.{}", first.address.port(), (3_u64 << 32) + 1);
    assert_that!(second.keys(), eq(&[key.as_str()]));
}

#[tokio::test]
async fn an_idempotent_request_has_no_key_and_an_answer_ends_it() {
    let only = FakeVm::start(&[], Some((200, ANSWER))).await;
    assert_that!(send(only.address, true).await.len(), eq(1));
    assert_that!(only.keys(), eq(&[""]));
    let odd = FakeVm::start(&[], Some((200, "?"))).await;
    assert_that!(send(odd.address, true).await, eq(&[TryOutcome::Malformed]));
}
