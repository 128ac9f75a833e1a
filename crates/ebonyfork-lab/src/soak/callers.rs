//! The callers: they ask which VMs to use, keep connections open, and record what became of each request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyfork::http_link::{HttpLink, LinkError};
use ebonyfork_stand_in::guard::lock;
use http::{HeaderMap, Request};
use http_body_util::Full;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::soak::judge_directory::LocateRecord;
use crate::soak::organisations::{MAIN, credential};
use crate::soak::probes::{LOUD_CALLERS, ProbeRecords, Prober};
use crate::soak::slow_callers::{SLOW_CALLERS, SlowCaller};
use crate::soak::world::{HOST, ZONES};

/// Callers that run side by side.
const CALLERS: usize = 12;
/// Time between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(25);
/// How long a caller waits for an answer.
pub(super) const WAIT: Duration = Duration::from_millis(1_500);
/// How long a caller keeps a look-up.
const KEEP: Duration = Duration::from_secs(2);
/// Longest answer, in bytes.
pub(super) const ANSWER_LIMIT: usize = 1 << 20;

/// What became of a request.
#[derive(Debug, Clone)]
pub enum CallEnd {
    /// An answer came.
    Answered {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// Nothing of the request was sent.
    Unsent,
    /// The connection broke.
    Broken(String),
    /// No answer came in time.
    Silent,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The caller's id.
    pub id: String,
    /// The first segment of its path.
    pub route: &'static str,
    /// The VM it was sent to.
    pub vm: SocketAddr,
    /// When it was sent.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
    /// What became of it.
    pub end: CallEnd,
}

/// Callers as they run.
#[derive(Debug)]
pub(super) struct CallerPool {
    stop: CancellationToken,
    records: Arc<Mutex<Vec<CallRecord>>>,
    located: Arc<Mutex<Vec<LocateRecord>>>,
    probes: Arc<Mutex<ProbeRecords>>,
    tasks: JoinSet<()>,
}

/// What all callers saw.
#[derive(Debug, Default)]
pub(super) struct CallerRecords {
    pub calls: Vec<CallRecord>,
    pub located: Vec<LocateRecord>,
    pub probes: ProbeRecords,
}

impl CallerPool {
    pub(super) fn start(directories: Vec<SocketAddr>) -> Self {
        let stop = CancellationToken::new();
        let records = Arc::<Mutex<Vec<CallRecord>>>::default();
        let next = Arc::new(AtomicU64::new(1));
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS {
            let caller = SoakCaller {
                directories: directories.clone(),
                turn: number,
                records: Arc::clone(&records),
                next: Arc::clone(&next),
                located: Vec::new(),
                located_at: None,
                link: None,
            };
            let stop = stop.clone();
            tasks.spawn(async move {
                stop.run_until_cancelled(caller.run()).await;
            });
        }
        for number in 0..SLOW_CALLERS {
            let caller = SlowCaller {
                directories: directories.clone(),
                turn: number,
                records: Arc::clone(&records),
                next: Arc::clone(&next),
            };
            let stop = stop.clone();
            tasks.spawn(async move {
                stop.run_until_cancelled(caller.run()).await;
            });
        }
        let probes = Arc::<Mutex<ProbeRecords>>::default();
        for directory in &directories {
            let prober = || Prober::new(directory.ip(), Arc::clone(&probes), Arc::clone(&next));
            let (probe, probe_stop) = (prober(), stop.clone());
            tasks.spawn(async move {
                probe_stop.run_until_cancelled(probe.run()).await;
            });
            for _ in 0..LOUD_CALLERS {
                let (loud, stop) = (prober(), stop.clone());
                tasks.spawn(async move {
                    stop.run_until_cancelled(loud.run_loud()).await;
                });
            }
        }
        let located = Arc::<Mutex<Vec<LocateRecord>>>::default();
        for directory in directories {
            let (stop, located) = (stop.clone(), Arc::clone(&located));
            tasks.spawn(async move {
                let watch = watch_directory(directory, located);
                stop.run_until_cancelled(watch).await;
            });
        }
        Self {
            stop,
            records,
            located,
            probes,
            tasks,
        }
    }

    /// Ends the callers and returns what they saw. A request that is out then is left out.
    pub(super) async fn stop(mut self) -> CallerRecords {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        CallerRecords {
            calls: std::mem::take(&mut lock(&self.records)),
            located: std::mem::take(&mut lock(&self.located)),
            probes: std::mem::take(&mut lock(&self.probes)),
        }
    }
}

/// Asks a directory again and again and records which VMs it names.
async fn watch_directory(directory: SocketAddr, records: Arc<Mutex<Vec<LocateRecord>>>) {
    /// Time between two questions; each is asked for the next zone.
    const WATCH_PERIOD: Duration = Duration::from_millis(200);
    for zone in ZONES.into_iter().cycle() {
        tokio::time::sleep(WATCH_PERIOD).await;
        let at = Instant::now();
        let Some(named) = ask_directory(directory, zone).await else {
            continue;
        };
        let record = LocateRecord {
            directory: directory.ip(),
            zone,
            at,
            named,
        };
        let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }
}

/// Asks a directory which VMs a caller of a zone is to use.
pub(super) async fn ask_directory(directory: SocketAddr, zone: &str) -> Option<Vec<SocketAddr>> {
    let target = format!("/v1/resolve?name={HOST}&region={zone}-region&zone={zone}");
    let opened = HttpLink::open(directory, Duration::from_millis(300)).await;
    let mut link = opened.ok()?;
    let request = Request::get(target)
        .header("host", HOST)
        .body(Full::default())
        .ok()?;
    let exchange = link.exchange(request, ANSWER_LIMIT);
    let answered = tokio::time::timeout(Duration::from_millis(500), exchange).await;
    let response = answered.ok()?.ok()?;
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let listed = body["addrs"].as_array().cloned().unwrap_or_default();
    let addresses = listed.iter().filter_map(|text| text.as_str()?.parse().ok());
    Some(addresses.collect())
}

struct SoakCaller {
    directories: Vec<SocketAddr>,
    turn: usize,
    records: Arc<Mutex<Vec<CallRecord>>>,
    next: Arc<AtomicU64>,
    located: Vec<SocketAddr>,
    located_at: Option<Instant>,
    link: Option<(SocketAddr, HttpLink)>,
}

impl SoakCaller {
    async fn run(mut self) {
        const ROUTES: [&str; 6] = ["gather", "gather", "read", "once", "extra", "home"];
        loop {
            tokio::time::sleep(PAUSE).await;
            self.turn += 1;
            self.locate().await;
            let Some((vm, mut link)) = self.connect().await else {
                continue;
            };
            let route = ROUTES[self.turn % ROUTES.len()];
            let id = format!("q{:x}", self.next.fetch_add(1, Ordering::Relaxed));
            let from = Instant::now();
            let request = request(route, &id);
            let (end, keep) = exchange(&mut link, request).await;
            if keep && link.wait_until_ready().await {
                self.link = Some((vm, link));
            }
            let record = CallRecord {
                id,
                route,
                vm,
                from,
                until: Instant::now(),
                end,
            };
            let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
            records.push(record);
        }
    }

    /// Asks which VMs to use once the last answer has aged.
    async fn locate(&mut self) {
        if self.located_at.is_some_and(|at| at.elapsed() < KEEP) {
            return;
        }
        let directory = self.directories[self.turn % self.directories.len()];
        let Some(located) = ask_directory(directory, ZONES[0]).await else {
            return;
        };
        self.located = located;
        self.located_at = Some(Instant::now());
        if let Some((vm, _link)) = &self.link
            && !self.located.contains(vm)
        {
            self.link = None;
        }
    }

    async fn connect(&mut self) -> Option<(SocketAddr, HttpLink)> {
        if let Some((vm, link)) = self.link.take()
            && link.is_ready()
        {
            return Some((vm, link));
        }
        let vm = *self.located.get(self.turn % self.located.len().max(1))?;
        let opened = HttpLink::open(vm, Duration::from_millis(500)).await;
        opened.ok().map(|link| (vm, link))
    }
}

/// Sends a request and waits for what becomes of it; tells whether the connection can be used again.
pub(super) async fn exchange(
    link: &mut HttpLink,
    request: Request<Full<Bytes>>,
) -> (CallEnd, bool) {
    let exchange = link.exchange(request, ANSWER_LIMIT);
    match tokio::time::timeout(WAIT + KEEP, exchange).await {
        Ok(Ok(response)) => answered(response),
        Ok(Err(LinkError::Unsent { .. })) => (CallEnd::Unsent, false),
        Ok(Err(error)) => (CallEnd::Broken(error.to_string()), false),
        Err(_elapsed) => (CallEnd::Silent, false),
    }
}

pub(super) fn request(route: &str, id: &str) -> Request<Full<Bytes>> {
    request_of(MAIN, route, id, WAIT)
}

/// A request in the name of an organisation, whose caller waits for a time.
pub(super) fn request_of(
    organisation: &str,
    route: &str,
    id: &str,
    wait: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let target = format!("/{route}/{id}");
    *request.uri_mut() = target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    let texts = [
        ("host", HOST.to_owned()),
        ("request-id", id.to_owned()),
        ("deadline-ms", wait.as_millis().to_string()),
        ("authorization", credential(organisation)),
    ];
    for (name, text) in texts {
        if let Ok(value) = text.parse() {
            headers.insert(name, value);
        }
    }
    request
}

fn answered(response: http::Response<Bytes>) -> (CallEnd, bool) {
    let (head, body) = response.into_parts();
    let closes = head
        .headers
        .get("connection")
        .is_some_and(|value| value == "close");
    let end = CallEnd::Answered {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
    };
    (end, !closes)
}
