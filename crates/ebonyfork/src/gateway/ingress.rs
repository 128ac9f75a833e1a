//! Callers' connections: enforces limits, routes each request and answers it.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::authorise::{authorise, route_of_organisation};
use crate::gateway::caller_time::{CallerDistance, CallerOverhead};
use crate::gateway::clock::now;
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::http_server::log_accept_error;
use crate::gateway::metrics::OutcomeLabel;
use crate::gateway::organisation::OrganisationEntry;
use crate::gateway::policy::intake::IntakePhase;
use crate::gateway::policy::quota::TokenRequest;
use crate::gateway::quota::TokenNeed;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::reply::{CallerReply, refusal_reply};
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::{RouteEntry, RouteTable, RouteTarget};
use crate::gateway::route_check::check_route;
use crate::gateway::run::{RunReport, RunTarget, run_request};
use crate::gateway::stream_activity::{ActivityStream, AnswerDelivery, StreamActivity};
use crate::intake::{BodyError, IntakeSlot, WorkMemory, connection_bytes, receive_body};
use crate::quarantine::QuarantineStatus;
use crate::stated::MAX_STATED_TIME;

/// Idle and header timeout of connections until a configuration states them.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// Smallest buffer that the HTTP library accepts for a request head, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Memory of an attempt at one of many shards, in bytes.
pub(super) const ATTEMPT_BYTES: usize = 6 * 1024;
/// Buffer for a request head until a configuration states its limit, in bytes.
const DEFAULT_HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Accepts callers' connections until connections are to close.
pub async fn serve_callers(core: Rc<GatewayCore>, listener: Rc<TcpListener>) {
    loop {
        let accept_result = tokio::select! {
            accept_result = listener.accept() => accept_result,
            () = core.connections.closing() => return,
        };
        match accept_result {
            Ok((stream, _peer)) => {
                let base_bytes = connection_bytes(head_buffer_bytes(&core));
                // A connection that finds no room is closed before anything of it is read.
                if let Some(slot) = core.intake.admit(base_bytes).await {
                    tokio::task::spawn_local(serve_stream(Rc::clone(&core), stream, slot));
                }
            }
            Err(error) => log_accept_error(&error).await,
        }
    }
}

/// Reason for closing a connection from this side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// The connection was idle for too long.
    Idle,
    /// Receiving a request head took too long.
    SlowHead,
    /// The caller took too long to read an answer that is still arriving.
    UnreadAnswer,
}

/// Returns the size of the buffer for a request head under the configuration in force, in bytes.
fn head_buffer_bytes(core: &GatewayCore) -> usize {
    let limits = core.table().map(|table| table.limits());
    let max_head_bytes = limits.map_or(DEFAULT_HEAD_BUFFER_BYTES, |limits| limits.header_bytes);
    max_head_bytes.max(MIN_HEAD_BUFFER_BYTES)
}

async fn serve_stream(core: Rc<GatewayCore>, stream: TcpStream, slot: IntakeSlot) {
    let _open = core.connections.enter();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller connection: {error}");
        return;
    }
    let activity = Rc::new(StreamActivity {
        slot,
        distance: CallerDistance::measure(&stream),
        awaits_first_request: Cell::new(true),
        is_answering: Cell::new(false),
        idle_since: Cell::new(now()),
        head_started: Cell::new(None),
        decided_at: Cell::new(None),
        read_by: Cell::new(None),
        is_cut: Cell::new(false),
        is_http_10: Cell::new(false),
        unread_since: Cell::new(None),
        is_body_unread: Cell::new(false),
        answer_lag: Rc::clone(&core.answer_lag),
        unwritten: RefCell::default(),
        state: core.shared_state(),
    });
    let service = service_fn({
        let core = Rc::clone(&core);
        let activity = Rc::clone(&activity);
        move |request: Request<Incoming>| {
            let core = Rc::clone(&core);
            let activity = Rc::clone(&activity);
            async move {
                activity.is_answering.set(true);
                activity.read_by.set(None);
                activity
                    .is_http_10
                    .set(request.version() < Version::HTTP_11);
                activity.head_started.set(None);
                let caller_overhead = activity
                    .distance
                    .for_request(activity.awaits_first_request.replace(false));
                let in_flight = core.in_flight.enter();
                activity.slot.enter_phase(IntakePhase::Running, now());
                let (mut reply, decided_at) =
                    answer(&core, request, caller_overhead, &activity).await;
                activity.decided_at.set(decided_at);
                activity.read_by.set(reply.body().read_by());
                if let Some(bytes) = reply.body().whole_bytes() {
                    let time = now();
                    activity.unread_since.set(Some(time));
                    activity.slot.hold_answer(bytes, time);
                }
                let delivery = AnswerDelivery::new(in_flight, &activity);
                reply.body_mut().hold_delivery(delivery);
                Ok::<_, Infallible>(reply)
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head_buffer_bytes(&core));
    let stream = ActivityStream::new(stream, Rc::clone(&activity));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let yielding = activity.slot.close_requested();
    tokio::pin!(yielding);
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    log::debug!("caller connection: {error}");
                }
                return;
            }
            () = core.connections.closing(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = &mut yielding => {
                activity.is_cut.set(activity.is_answering.get());
                return;
            }
            close_reason = wait_for_close_reason(&core, &activity) => match close_reason {
                CloseReason::Idle => connection.as_mut().graceful_shutdown(),
                CloseReason::SlowHead => {
                    log::info!(target: "ebonyfork::decision", "caller connection closed: timeout while receiving a request head");
                    return;
                }
                CloseReason::UnreadAnswer => {
                    log::info!(target: "ebonyfork::decision", "caller connection closed: timeout while an answer is read");
                    activity.is_cut.set(true);
                    return;
                }
            }
        }
    }
}

/// Waits until a connection exceeds the idle or header timeout of the configuration in force. Returns which.
async fn wait_for_close_reason(core: &GatewayCore, activity: &StreamActivity) -> CloseReason {
    /// Time between two checks whether a connection has exceeded a timeout.
    const TIMEOUT_CHECK_PERIOD: Duration = Duration::from_secs(1);
    loop {
        tokio::time::sleep(TIMEOUT_CHECK_PERIOD).await;
        let limits = core.table().map(|table| table.limits());
        let (header_timeout, idle_timeout) = limits
            .map_or((DEFAULT_TIMEOUT, DEFAULT_TIMEOUT), |limits| {
                (limits.header_timeout, limits.idle_timeout)
            });
        let elapsed = |since: Instant| now().saturating_duration_since(since);
        if activity.is_answering.get() {
            let read_by = activity.read_by.get();
            let unread_since = activity.unread_since.get();
            if read_by.is_some_and(|read_by| now() > read_by)
                || unread_since.is_some_and(|since| elapsed(since) > idle_timeout)
            {
                return CloseReason::UnreadAnswer;
            }
            continue;
        }
        if activity
            .head_started
            .get()
            .is_some_and(|since| elapsed(since) > header_timeout)
        {
            return CloseReason::SlowHead;
        }
        if elapsed(activity.idle_since.get()) > idle_timeout {
            return CloseReason::Idle;
        }
    }
}

/// Answers one request and logs it. Also returns when a gathered answer was decided on.
async fn answer(
    core: &Rc<GatewayCore>,
    request: Request<Incoming>,
    caller_overhead: CallerOverhead,
    activity: &StreamActivity,
) -> (CallerReply, Option<Instant>) {
    let received = now();
    let (parts, body) = request.into_parts();
    activity.is_body_unread.set(!body.is_end_stream());
    let body = ArrivingBody { body, activity };
    let mut request_log = RequestLog::new(core, &parts, received);
    let report = match handle(
        core,
        parts,
        body,
        (received, caller_overhead),
        &mut request_log,
    )
    .await
    {
        Ok(report) => report,
        Err(reason) => RunReport {
            reply: refusal_reply(reason),
            outcome: reason.label(),
            detail: CompactString::default(),
            answer_decided_at: None,
        },
    };
    let mut reply = report.reply;
    if core.state() != ServiceState::Serving {
        // Makes the caller look up again which VMs to use.
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    request_log.finish(report.outcome, &report.detail, reply.status().as_u16());
    (reply, report.answer_decided_at)
}

/// Logs a request once, also if its caller disconnects before the answer.
struct RequestLog {
    core: Rc<GatewayCore>,
    id: CompactString,
    route: CompactString,
    received: Instant,
    logged: bool,
}

impl RequestLog {
    fn new(core: &Rc<GatewayCore>, parts: &Parts, received: Instant) -> Self {
        let id = parts.headers.get(&core.dialect.names.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        Self {
            core: Rc::clone(core),
            id: CompactString::new(id),
            route: CompactString::const_new("-"),
            received,
            logged: false,
        }
    }

    fn set_route(&mut self, route: &RouteEntry, table: &RouteTable) {
        self.route = format_compact!("{} version={}", route.name, table.version());
    }

    fn set_organisation(&mut self, organisation: &OrganisationEntry) {
        self.route = format_compact!("{} organisation={}", self.route, organisation.name);
    }

    fn finish(mut self, outcome: &'static str, detail: &str, status: u16) {
        self.logged = true;
        let elapsed = now().saturating_duration_since(self.received);
        let metrics = &self.core.metrics;
        metrics.requests.get_or_create(&OutcomeLabel(outcome)).inc();
        metrics.latency.observe(elapsed.as_secs_f64());
        log::info!(
            target: "ebonyfork::decision",
            "request {} route={} {outcome} status={status} took_ms={} {detail}",
            self.id, self.route, elapsed.as_millis()
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.logged {
            return;
        }
        self.core.metrics.abandoned.inc();
        let elapsed = now().saturating_duration_since(self.received);
        log::info!(
            target: "ebonyfork::decision",
            "request {} route={} abandoned by the caller took_ms={}",
            self.id, self.route, elapsed.as_millis()
        );
    }
}

/// Checks a request and selects its route; waits for its body and for a token of its organisation's quota.
async fn prepare(
    core: &Rc<GatewayCore>,
    parts: Parts,
    body: ArrivingBody<'_>,
    (received, caller_overhead): (Instant, CallerOverhead),
    request_log: &mut RequestLog,
) -> Result<PreparedRequest, RefusalReason> {
    let table = core.table().ok_or(RefusalReason::NoConfig)?;
    if head_bytes(&parts) > table.limits().header_bytes {
        return Err(RefusalReason::HeadTooLarge);
    }
    let host = request_host(&parts).ok_or(RefusalReason::Malformed)?;
    let route = table.find(&host, parts.uri.path()).map(Rc::clone);
    let route = route.ok_or_else(|| core.no_route_reason())?;
    request_log.set_route(&route, &table);
    if core.state() == ServiceState::Draining {
        return Err(RefusalReason::Stopping);
    }
    let caller = authorise(core, &table, &route, &parts.headers)?;
    if let Some(caller) = &caller {
        request_log.set_organisation(&caller.organisation);
    }
    let credential = caller.as_ref().map(|caller| caller.credential);
    check_route(core, &table, &route, credential).await?;
    let organisation = caller.as_ref().map(|caller| &*caller.organisation);
    let route = route_of_organisation(&route, organisation);
    let names = &core.dialect.names;
    let id = parts.headers.get(&names.request_id).cloned();
    let id = id.ok_or(RefusalReason::Malformed)?;
    let stated_wait = caller_wait(core, &parts)?;
    let latency = core.latency(&route);
    let time_before_request = stated_wait.and_then(|wait| {
        latency
            .borrow_mut()
            .waits
            .record(wait, route.timeout, received)
    });
    let wait = stated_wait.map_or(route.timeout, |wait| wait.min(route.timeout));
    let finish_by = received + wait;
    let body = read_body(body, table.limits().body_bytes, finish_by).await?;
    let mut request = ForwardRequest::new(names, parts, body, id, received, finish_by)
        .with_caller_overhead(caller_overhead.total(time_before_request));
    if table.organisations().is_some() {
        request = request.with_organisation(names, organisation);
    }
    let quarantine_status = core.quarantine.admit(request.fingerprint);
    if quarantine_status == QuarantineStatus::Quarantined {
        return Err(RefusalReason::Quarantined);
    }
    let target = select_target(core, &route)?;
    let work_memory = core.intake.take_work(work_bytes(&target));
    let work_memory = work_memory.ok_or(RefusalReason::Overloaded)?;
    if let Some(organisation) = organisation {
        // Comes last, because a request that is refused for another reason must not use up the quota.
        let need = token_need(core, &route, &request);
        let taken = core
            .take_quota_token(organisation, need, &request_log.id)
            .await;
        core.count_quota_use(organisation, &taken);
        taken?;
    }
    Ok(PreparedRequest {
        route,
        target,
        request: Rc::new(request),
        quarantine_status,
        work_memory,
    })
}

/// A request that is ready to be sent to upstreams.
struct PreparedRequest {
    route: Rc<RouteEntry>,
    target: RunTarget,
    request: Rc<ForwardRequest>,
    quarantine_status: QuarantineStatus,
    /// Held until the request is answered.
    work_memory: WorkMemory,
}

/// Prepares and runs a request; refuses it if the process is about to exit before anything is sent.
async fn handle(
    core: &Rc<GatewayCore>,
    parts: Parts,
    body: ArrivingBody<'_>,
    arrival: (Instant, CallerOverhead),
    request_log: &mut RequestLog,
) -> Result<RunReport, RefusalReason> {
    let prepared = tokio::select! {
        prepared = prepare(core, parts, body, arrival, request_log) => prepared?,
        () = core.unsent_cut() => return Err(RefusalReason::Stopping),
    };
    let PreparedRequest {
        route,
        target,
        request,
        quarantine_status,
        work_memory: _work_memory,
    } = prepared;
    let latency = core.latency(&route);
    let sent = now();
    let report = run_request(core, &route, target, request, quarantine_status).await;
    if report.reply.status().is_success() {
        let answered = now();
        let elapsed = answered.saturating_duration_since(sent);
        latency.borrow_mut().record_answer(elapsed, answered);
    }
    Ok(report)
}

/// Returns the memory that the attempts of a request take, in bytes. A single attempt belongs to the state of a connection.
fn work_bytes(target: &RunTarget) -> usize {
    match target {
        RunTarget::One(_) => 0,
        RunTarget::Gather(terms) => terms.shards.len() * ATTEMPT_BYTES,
    }
}

/// Returns how long a request can wait for a token so that its answer meets the target, and how long its caller can be
/// told to stay away.
fn token_need(core: &GatewayCore, route: &RouteEntry, request: &ForwardRequest) -> TokenNeed {
    /// Part of the remaining wait of its caller by which a request may be put off: callers obey no longer one.
    const STAY_DIVISOR: u32 = 3;
    let is_gathered = matches!(route.destination, RouteTarget::Gather(_));
    let usual_time = core.latency(route).borrow().usual_time(is_gathered);
    let time = now();
    let passed = time.saturating_duration_since(request.received);
    let used = passed + request.caller_overhead + usual_time;
    let caller_wait = request.finish_by.saturating_duration_since(time);
    let longest_wait = route.target.saturating_sub(used);
    TokenNeed {
        request: TokenRequest {
            priority: route.priority,
            longest_wait: longest_wait.min(caller_wait),
            longest_stay: caller_wait / STAY_DIVISOR,
            fingerprint: request.fingerprint,
        },
        caller_wait,
    }
}

/// Returns the length of a request head on the wire, in bytes.
fn head_bytes(parts: &Parts) -> usize {
    /// Length of the fixed parts of a request head, in bytes: spaces, HTTP version and line end of the request line,
    /// and the empty line that ends the head.
    const FIXED_HEAD_BYTES: usize = " ".len() + " HTTP/1.1\r\n".len() + "\r\n".len();
    /// Length of the separator and line end of one header, in bytes.
    const FIXED_HEADER_BYTES: usize = ": ".len() + "\r\n".len();
    let target = parts
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers = parts.headers.iter();
    let header_lengths =
        headers.map(|(name, value)| name.as_str().len() + value.len() + FIXED_HEADER_BYTES);
    parts.method.as_str().len() + target + FIXED_HEAD_BYTES + header_lengths.sum::<usize>()
}

/// Returns the host of a request; `None` if it is missing or ambiguous.
fn request_host(parts: &Parts) -> Option<CompactString> {
    if let Some(host) = parts.uri.host() {
        return Some(CompactString::new(host));
    }
    let mut host_headers = parts.headers.get_all(header::HOST).iter();
    let host = host_headers.next()?.to_str().ok()?;
    // Several `Host` headers could select different routes, so they make the host ambiguous. Above HTTP/1.1 the host is
    // part of the target, which lacks one here.
    let is_unambiguous = host_headers.next().is_none() && parts.version <= Version::HTTP_11;
    is_unambiguous.then(|| CompactString::new(host))
}

/// Returns how long the caller will wait, if it states so.
fn caller_wait(core: &GatewayCore, parts: &Parts) -> Result<Option<Duration>, RefusalReason> {
    let Some(header_value) = parts.headers.get(&core.dialect.names.deadline) else {
        return Ok(None);
    };
    let wait = stated_wait(header_value).ok_or(RefusalReason::Malformed)?;
    Ok(Some(wait))
}

/// Returns the wait that a caller states, at most [`MAX_STATED_TIME`]; `None` if it is no time.
pub(super) fn stated_wait(header_value: &HeaderValue) -> Option<Duration> {
    let millis = header_value.to_str().ok()?.trim().parse::<f64>().ok()?;
    if !millis.is_finite() || millis < 0.0 {
        return None;
    }
    let seconds = (millis / 1_000.0).min(MAX_STATED_TIME.as_secs_f64());
    Some(Duration::from_secs_f64(seconds))
}

/// Body of a request that is still arriving.
struct ArrivingBody<'a> {
    body: Incoming,
    activity: &'a StreamActivity,
}

async fn read_body(
    ArrivingBody { body, activity }: ArrivingBody<'_>,
    max_bytes: usize,
    finish_by: Instant,
) -> Result<Bytes, RefusalReason> {
    let body_future = receive_body(&activity.slot, body, max_bytes);
    let finish_by = tokio::time::Instant::from_std(finish_by);
    let Ok(result) = tokio::time::timeout_at(finish_by, body_future).await else {
        return Err(RefusalReason::LateUnsent);
    };
    let bytes = result.map_err(|error| match error {
        BodyError::TooLarge => RefusalReason::TooLarge,
        BodyError::Full => RefusalReason::Overloaded,
        BodyError::Broken(error) => {
            log::debug!("caller body not received: {error}");
            RefusalReason::Malformed
        }
    })?;
    activity.is_body_unread.set(false);
    Ok(bytes)
}

fn select_target(core: &GatewayCore, route: &RouteEntry) -> Result<RunTarget, RefusalReason> {
    match &route.destination {
        RouteTarget::One(service) => Ok(RunTarget::One(service.clone())),
        RouteTarget::Gather(terms) => Ok(RunTarget::Gather(terms.clone())),
        RouteTarget::Weighted(parts) => {
            let home_region_services = core.home_region_services(route, parts);
            if home_region_services.is_empty() {
                return Err(RefusalReason::NotAtHome);
            }
            let picked_service = core.round_robin.pick(&route.name, &home_region_services);
            picked_service
                .map(RunTarget::One)
                .ok_or(RefusalReason::NoUpstream)
        }
    }
}
