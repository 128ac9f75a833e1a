//! Callers who ask every VM for every kind of request in the name of several organisations, whatever the directories say, so
//! that it shows if a VM never serves one of them.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ebonyfork::http_link::HttpLink;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

use crate::soak::callers::{ANSWER_LIMIT, CallEnd, CallRecord, WAIT, exchange, request_of};
use crate::soak::fleet::{CALLER_PORT, READY_PORT};
use crate::soak::organisations::{LOUD, LOW, MAIN, SMALL};

/// Routes that every version has.
pub(super) const PROBED_ROUTES: [&str; 5] = ["gather", "read", "once", "home", "long"];
/// Organisations in whose name every VM is asked.
pub(super) const PROBED_ORGANISATIONS: [&str; 4] = [MAIN, SMALL[0], LOW, SMALL[1]];
/// Time between two requests to a VM: all routes and organisations take 2 s.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Callers of the loud organisation at each VM.
pub(super) const LOUD_CALLERS: usize = 2;
/// How long they wait: briefly, so that they ask for more than twice their limit.
const LOUD_WAIT: Duration = Duration::from_millis(200);
/// Longest time to open a connection.
const OPEN_WAIT: Duration = Duration::from_millis(500);

/// One request of a probe.
#[derive(Debug, Clone)]
pub(super) struct ProbeRecord {
    pub organisation: &'static str,
    pub call: CallRecord,
}

/// What a VM said to the platform's question whether it is ready.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadyRecord {
    pub vm: IpAddr,
    pub at: Instant,
    pub is_ready: bool,
}

/// What all probes saw.
#[derive(Debug, Default)]
pub(super) struct ProbeRecords {
    pub calls: Vec<ProbeRecord>,
    pub ready: Vec<ReadyRecord>,
}

/// A caller of one VM.
pub(super) struct Prober {
    pub vm: IpAddr,
    pub records: Arc<Mutex<ProbeRecords>>,
    pub next: Arc<AtomicU64>,
    link: Option<HttpLink>,
}

impl Prober {
    pub(super) fn new(vm: IpAddr, records: Arc<Mutex<ProbeRecords>>, next: Arc<AtomicU64>) -> Self {
        Self {
            vm,
            records,
            next,
            link: None,
        }
    }

    /// Asks for all routes in the name of all organisations in turn, and before each round of routes whether the VM is ready.
    pub(super) async fn run(mut self) {
        for organisation in PROBED_ORGANISATIONS.into_iter().cycle() {
            self.ask_ready().await;
            for route in PROBED_ROUTES {
                tokio::time::sleep(PROBE_PERIOD).await;
                self.call(organisation, route, WAIT).await;
            }
        }
    }

    /// Asks in the name of the loud organisation.
    pub(super) async fn run_loud(mut self) {
        loop {
            tokio::time::sleep(PROBE_PERIOD).await;
            self.call(LOUD, "read", LOUD_WAIT).await;
        }
    }

    async fn ask_ready(&self) {
        let at = Instant::now();
        let asked = tokio::time::timeout(WAIT, is_ready(self.vm)).await;
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.ready.push(ReadyRecord {
            vm: self.vm,
            at,
            is_ready: asked == Ok(Some(true)),
        });
    }

    async fn call(&mut self, organisation: &'static str, route: &'static str, wait: Duration) {
        let vm = SocketAddr::new(self.vm, CALLER_PORT);
        let id = format!("p{:x}", self.next.fetch_add(1, Ordering::Relaxed));
        let request = request_of(organisation, route, &id, wait);
        let from = Instant::now();
        let mut link = self.link.take().filter(HttpLink::is_ready);
        if link.is_none() {
            link = HttpLink::open(vm, OPEN_WAIT).await.ok();
        }
        let mut end = CallEnd::Unsent;
        if let Some(mut link) = link {
            let keep;
            (end, keep) = exchange(&mut link, request).await;
            if keep && link.wait_until_ready().await {
                self.link = Some(link);
            }
        }
        let call = CallRecord {
            id,
            route,
            vm,
            from,
            until: Instant::now(),
            end,
        };
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.calls.push(ProbeRecord { organisation, call });
    }
}

async fn is_ready(vm: IpAddr) -> Option<bool> {
    let opened = HttpLink::open(SocketAddr::new(vm, READY_PORT), OPEN_WAIT).await;
    let request = Request::get("/v1/ready").header("host", "platform");
    let request = request.body(Full::default()).ok()?;
    let answer = opened.ok()?.exchange(request, ANSWER_LIMIT).await;
    Some(answer.ok()?.status().is_success())
}
