//! Crowds of callers that hold what they can get, against processes of the daemons. Each test checks that the process
//! lives, that its memory and its descriptors stay within what its settings state, and that an ordinary request is answered
//! while the crowd is still there.
//!
//! The bounds are the capacity of the VM, never what a run has shown. The tests run one after the other: those of a crowd
//! would slow one another down.

#[path = "crowd/answers.rs"]
mod answers;
#[path = "crowd/bodies.rs"]
mod bodies;
#[path = "crowd/callers.rs"]
mod callers;
#[path = "crowd/connections.rs"]
mod connections;
#[path = "crowd/node.rs"]
mod node;
#[path = "crowd/process.rs"]
mod process;
#[path = "crowd/service.rs"]
mod service;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyfork::http_link::HttpLink;
use ebonyfork_stand_in::store_server::StoreServer;
use ebonyfork_stand_in::upstream::{UpstreamFaults, UpstreamServer};
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use tokio::sync::{Mutex, MutexGuard};

use process::{GatewayProcess, VmStatement};

/// Longest wait for an ordinary request to be answered, and for a crowd to have sent what it can; far above what either takes.
const PATIENCE: Duration = Duration::from_mins(1);
/// Longest body that the configuration allows, in bytes.
const MAX_BODY: usize = 262_144;
/// Longest answer that these callers take, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Memory of a VM whose callers send bodies: a process that serves nobody takes less than half of it.
const SMALL_VM: VmStatement = VmStatement {
    memory_mb: 64,
    descriptors: 4_096,
};
/// Descriptors of a VM whose callers hold connections.
const NARROW_VM: VmStatement = VmStatement {
    memory_mb: 256,
    descriptors: 200,
};

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Store, upstream and gateway of a test.
struct CrowdFixture {
    store: StoreServer,
    upstream: UpstreamServer,
    gateway: GatewayProcess,
    _running: MutexGuard<'static, ()>,
}

impl CrowdFixture {
    /// Starts all of them on loopback addresses and waits until the gateway serves.
    async fn start(name: &str, address: &str, vm: VmStatement) -> Self {
        let running = RUNNING.lock().await;
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(free).await.expect("a store");
        let work = Duration::from_millis(1);
        let upstream = UpstreamServer::start(free, "i-1", "s", work).await;
        let upstream = upstream.expect("an upstream");
        store.put("servers/i-1", upstream.entry("a-1", "ready"));
        store.put("op/config", config());
        let gateway = GatewayProcess::start(name, address, store.address(), vm);
        let fixture = Self {
            store,
            upstream,
            gateway,
            _running: running,
        };
        fixture.expect_ordinary_answer("before the crowd").await;
        fixture
    }

    /// Expects the gateway to answer an ordinary request. Its caller asks again, as callers do that are refused or whose
    /// connection is closed.
    async fn expect_ordinary_answer(&self, when: &str) {
        let asking = async {
            let mut number = 0;
            loop {
                number += 1;
                let answer = ask(self.gateway.callers, &format!("ordinary-{number}"), b"").await;
                if answer.is_some_and(|answer| answer.status() == 200) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let asked = tokio::time::timeout(PATIENCE, asking).await;
        assert!(asked.is_ok(), "no answer to an ordinary request {when}");
    }

    /// Expects the gateway to live and to have stayed within its VM, and to answer an ordinary request.
    async fn expect_whole(&mut self, when: &str) {
        self.expect_ordinary_answer(when).await;
        self.gateway.expect_within_vm(when);
    }
}

/// Returns a configuration under which nothing that a crowd holds ends by itself within a test.
fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r","host":"t.example","prefix":"/r/","routeType":"idempotent",
        "timeoutMs":120000,"sloMs":500,"maxAttempts":2,"service":"s"}}],"services":[{{"name":"s","maxConns":200}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{MAX_BODY},"headerTimeoutMs":120000,"idleTimeoutMs":120000}}}}"#
    )
}

/// Sends one request with a body; `None` if the connection ends before an answer.
async fn ask(address: SocketAddr, id: &str, body: &'static [u8]) -> Option<Response<Bytes>> {
    let asking = async {
        let mut link = HttpLink::open(address, Duration::from_secs(1)).await.ok()?;
        let request = Request::post("/r/1")
            .header("host", "t.example")
            .header("request-id", id)
            .header("deadline-ms", "5000");
        let request = request.body(Full::new(Bytes::from_static(body))).ok()?;
        link.exchange(request, MAX_ANSWER).await.ok()
    };
    let asked = tokio::time::timeout(Duration::from_secs(10), asking).await;
    asked.ok().flatten()
}

/// Makes a control call; `None` if the connection ends before an answer.
async fn call(address: SocketAddr, target: &str) -> Option<Response<Bytes>> {
    let calling = async {
        let mut link = HttpLink::open(address, Duration::from_secs(1)).await.ok()?;
        let request = Request::get(target).header("host", "t.example");
        let request = request.body(Full::default()).ok()?;
        link.exchange(request, MAX_ANSWER).await.ok()
    };
    let called = tokio::time::timeout(Duration::from_secs(10), calling).await;
    called.ok().flatten()
}

async fn has_success(address: SocketAddr, target: &str) -> bool {
    let answer = call(address, target).await;
    answer.is_some_and(|answer| answer.status() == 200)
}
