//! The HTTP server of one upstream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyfork::catalog::IndexCatalog;
use ebonyfork::ident::{IndexName, ServiceName, ShardNumber, SnapshotVersion, UpstreamAddress};
use ebonyfork::query::MAX_SELECTION_BYTES;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::clock::RunClock;
use crate::error::LabError;
use crate::http_server::{
    BrokenConnection, StandInReply, body_reply, empty_reply, read_body, serve_connection,
    set_header,
};
use crate::journal::{ExecutionEnd, Journal, UpstreamLog};
use crate::upstream::job::ShardJob;
use crate::upstream::settings::{StatusMode, UpstreamSettings, UpstreamState};
use crate::upstream::shard::ShardCall;
use crate::upstream::state::{HoldError, ServingState};

/// Pause before an address is tried again, or an accept that failed.
const LISTEN_PAUSE: Duration = Duration::from_millis(20);
/// A running upstream stand-in; it stops when dropped.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::clock::RunClock;
/// use ebonyfork_lab::journal::Journal;
/// use ebonyfork_lab::upstream::{UpstreamSettings, UpstreamStandIn};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let journal = Journal::new(RunClock::start());
/// let settings = UpstreamSettings::new("127.0.0.1:0".parse()?, "tender-00".parse()?);
/// let upstream = UpstreamStandIn::start(settings, &journal).await?;
/// upstream.hold("tender".parse()?, "17".parse()?, ["0".parse()?]);
/// upstream.drain();
/// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct UpstreamStandIn {
    shared: Arc<UpstreamShared>,
    stop: CancellationToken,
}

#[derive(Debug)]
pub(super) struct UpstreamShared {
    pub(super) settings: UpstreamSettings,
    pub(super) clock: RunClock,
    pub(super) log: Arc<UpstreamLog>,
    state: Mutex<ServingState>,
    pub(super) slots: Arc<Semaphore>,
}

impl UpstreamStandIn {
    /// Starts with an empty store: it holds no index version yet.
    pub async fn start(settings: UpstreamSettings, journal: &Journal) -> Result<Self, LabError> {
        let listen = settings.listen;
        let error = |source| LabError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let clock = journal.clock();
        let stop = CancellationToken::new();
        let state = ServingState::new(settings.seed, clock.now(), stop.child_token());
        let service = settings.service.clone();
        let log = journal.open(UpstreamAddress(address), service, settings.slots);
        let slots = Arc::new(Semaphore::new(settings.slots as usize));
        let shared = Arc::new(UpstreamShared {
            settings,
            clock,
            log,
            state: Mutex::new(state),
            slots,
        });
        let serving = serve_lives(listener, Arc::clone(&shared), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
        Ok(Self { shared, stop })
    }

    /// The address that it listens on.
    pub fn address(&self) -> UpstreamAddress {
        self.shared.log.address
    }

    /// Its service.
    pub fn service(&self) -> &ServiceName {
        &self.shared.settings.service
    }

    /// Holds shards of an index version from now on.
    pub fn hold(
        &self,
        index: IndexName,
        version: SnapshotVersion,
        shards: impl IntoIterator<Item = ShardNumber>,
    ) {
        let shards: BTreeSet<ShardNumber> = shards.into_iter().collect();
        self.shared.state().hold(index, version, shards);
    }

    /// Holds what a catalogue lists for its service.
    pub fn hold_listed(&self, index: &IndexName, catalog: &IndexCatalog) {
        for listed in &catalog.versions {
            let own = |(shard, service): (usize, &ServiceName)| {
                (service == self.service()).then_some(ShardNumber(shard as u32))
            };
            let shards = listed.shards.iter().enumerate().filter_map(own);
            self.hold(index.clone(), listed.version, shards);
        }
    }

    /// Gives up an index version.
    pub fn drop_version(&self, index: &IndexName, version: SnapshotVersion) {
        self.shared.state().drop_version(index, version);
    }

    /// Gives up a shard, which another service has now.
    pub fn move_shard(&self, index: &IndexName, shard: ShardNumber, to: ServiceName) {
        self.shared.state().move_shard(index, shard, to);
    }

    /// Begins to leave: new work is refused as not run, what is in hand is finished.
    pub fn drain(&self) {
        self.shared.state().draining = true;
        let now = self.shared.clock.now();
        self.shared.log.records().drain_began.get_or_insert(now);
    }

    /// Multiplies service times from now on.
    pub fn set_slowness(&self, factor: f64) {
        self.shared.state().slowness = factor;
    }

    /// Sets how truthful the status endpoint is.
    pub fn set_status_mode(&self, mode: StatusMode) {
        self.shared.state().status_mode = mode;
    }

    /// Breaks all connections and stays away for a while, then starts cold.
    pub fn crash(&self, downtime: Duration) {
        self.shared.crash(downtime);
    }

    /// Stops for good; connections break.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for UpstreamStandIn {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl UpstreamShared {
    pub(super) fn state(&self) -> MutexGuard<'_, ServingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn crash(&self, downtime: Duration) {
        let mut state = self.state();
        state.downtime = downtime;
        state.life.cancel();
    }

    /// Takes a connection if the limit allows it.
    fn open_connection(&self) -> bool {
        let mut records = self.log.records();
        if records.open_connections >= self.settings.connections {
            records.refused_connections += 1;
            return false;
        }
        records.open_connections += 1;
        records.max_connections = records.max_connections.max(records.open_connections);
        true
    }

    fn close_connection(&self) {
        self.log.records().open_connections -= 1;
    }

    fn show_leaving(&self) {
        let now = self.clock.now();
        self.log.records().leaving_shown.get_or_insert(now);
    }
}

/// Serves one life after another: each ends with a crash.
async fn serve_lives(
    mut listener: TcpListener,
    shared: Arc<UpstreamShared>,
    stop: CancellationToken,
) {
    let address = shared.log.address.0;
    loop {
        let life = shared.state().life.clone();
        let accepting = accept_connections(listener, &shared, &life);
        life.run_until_cancelled(accepting).await;
        let downtime = shared.state().downtime;
        tokio::time::sleep(downtime).await;
        listener = listen_again(address).await;
        let mut state = shared.state();
        state.life = stop.child_token();
        state.started = shared.clock.now();
    }
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_PAUSE).await,
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    shared: &Arc<UpstreamShared>,
    life: &CancellationToken,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(LISTEN_PAUSE).await;
            continue;
        };
        if !shared.open_connection() {
            continue;
        }
        let (shared, life) = (Arc::clone(shared), life.clone());
        tokio::spawn(async move {
            let delay = (shared.settings.delay)(peer.ip());
            let serving = serve_caller(stream, &shared, &life, delay);
            life.run_until_cancelled(serving).await;
            shared.close_connection();
        });
    }
}

async fn serve_caller(
    stream: TcpStream,
    shared: &Arc<UpstreamShared>,
    life: &CancellationToken,
    delay: Duration,
) {
    // A handshake over the distance, then what the server itself spends on a new connection.
    pause(delay * 2 + shared.settings.connection_cost).await;
    serve_connection(stream, |request| {
        let (shared, life) = (Arc::clone(shared), life.clone());
        async move {
            pause(delay).await;
            let reply = answer_request(shared, life, request).await;
            pause(delay).await;
            reply
        }
    })
    .await;
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

async fn answer_request(
    shared: Arc<UpstreamShared>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Result<StandInReply, BrokenConnection> {
    let path = request.uri().path().to_owned();
    let mut reply = match *request.method() {
        Method::POST if path.starts_with("/v1/shard/") => {
            answer_shard(&shared, life, request).await?
        }
        Method::POST if path.starts_with("/v1/cancel/") => {
            let attempt = path.trim_start_matches("/v1/cancel/");
            if let Some(job) = shared.state().jobs.get(attempt) {
                job.cancel();
            }
            empty_reply(StatusCode::NO_CONTENT)
        }
        Method::GET if path == "/v1/status" => answer_status(&shared),
        _ => empty_reply(StatusCode::NOT_FOUND),
    };
    let draining = shared.state().draining;
    if draining && path.starts_with("/v1/shard/") {
        shared.show_leaving();
        set_header(&mut reply, "x-draining", 1);
    }
    Ok(reply)
}

fn answer_status(shared: &UpstreamShared) -> StandInReply {
    let report = shared.state().status(&shared.settings, shared.clock.now());
    if report.state == UpstreamState::Draining {
        shared.show_leaving();
    }
    match serde_json::to_vec(&report) {
        Ok(body) => body_reply(StatusCode::OK, body),
        Err(_) => empty_reply(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn answer_shard(
    shared: &Arc<UpstreamShared>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Result<StandInReply, BrokenConnection> {
    let arrived = shared.clock.now();
    let (parts, body) = request.into_parts();
    let Some(selection) = read_body(body, MAX_SELECTION_BYTES).await else {
        return Ok(empty_reply(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let path = parts.uri.path().trim_start_matches("/v1/shard/");
    let Some(call) = ShardCall::read(path, &parts.headers, &selection) else {
        return Ok(empty_reply(StatusCode::BAD_REQUEST));
    };
    let place = shared.log.arrive(call.record(arrived));
    if let Some((end, reply)) = refuse(shared, &call) {
        shared.log.finish(place, shared.clock.now(), end);
        return Ok(reply);
    }
    // A task of its own, because what has started goes on when the caller's connection breaks.
    let job = ShardJob {
        shared: Arc::clone(shared),
        call,
        place,
        life,
    };
    let ended = tokio::spawn(job.run()).await;
    ended.map_err(|_error| BrokenConnection)?
}

/// Refuses what is not run, whatever the load.
fn refuse(shared: &UpstreamShared, call: &ShardCall) -> Option<(ExecutionEnd, StandInReply)> {
    let state = shared.state();
    if state.draining {
        return Some((ExecutionEnd::Draining, not_run_reply()));
    }
    let row = &call.row;
    let error = state.check(&row.index, row.version, row.shard).err()?;
    Some(match error {
        HoldError::VersionGone(newest) => {
            let mut reply = empty_reply(StatusCode::CONFLICT);
            set_header(&mut reply, "x-index-version", newest);
            (ExecutionEnd::VersionGone, reply)
        }
        HoldError::Moved(service) => {
            let mut reply = empty_reply(StatusCode::MISDIRECTED_REQUEST);
            set_header(&mut reply, "x-moved-to", service);
            (ExecutionEnd::Moved, reply)
        }
        HoldError::Misrouted => (ExecutionEnd::Misrouted, empty_reply(StatusCode::NOT_FOUND)),
    })
}

pub(super) fn not_run_reply() -> StandInReply {
    let mut reply = empty_reply(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut reply, "x-not-run", 1);
    reply
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
