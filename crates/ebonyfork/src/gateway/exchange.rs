//! A single attempt: sends a request to one upstream and classifies the outcome.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compact_str::CompactString;
use http::{HeaderMap, Response, StatusCode, header};

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::WireNames;
use crate::gateway::loss::LossCheck;
use crate::gateway::loss_check::record_loss;
use crate::gateway::merge::drop_lesser_records;
use crate::gateway::policy::fairness::{FlowKey, QueueShare};
use crate::gateway::policy::latency::millis;
use crate::gateway::policy::load_report::LoadReport;
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::policy::stream_bound::StreamBound;
use crate::gateway::reply_body::{AnswerStream, ReplyBody};
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::Idempotency;
use crate::gateway::slots::SlotPriority;
use crate::gateway::speed_exchange;
use crate::gateway::upstream::{ActiveLink, Upstream};
use crate::http_link::{LinkBody, LinkError};
use crate::quarantine::LostRequest;
use crate::stated::MAX_STATED_TIME;

/// Longest time for opening a connection. In the same region a handshake takes 1 to 6 ms, more on a busy upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest idle time of a pooled connection that is used for a request that must run at most once. If such a connection
/// breaks, the outcome is unknown, while a new connection costs only about 1 ms.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(500);
/// Longest idle time of a pooled connection that is used for a request that can be sent again.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_mins(1);
/// Longest answer of a shard, in bytes. It is read whole before it is merged with others; only the greatest records are
/// kept meanwhile.
const MAX_SHARD_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Longest answer that is buffered whole before it is passed on, in bytes. If an answer up to this length breaks off,
/// the request can be sent again. A longer one is streamed to limit the memory it takes (the smallest VM has 160 MB).
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// Answer of an upstream.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers, including hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body, which may still be arriving.
    pub body: ReplyBody,
}

/// How an attempt ended, which tells whether the request may have run.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream ran the request and answered.
    Answered(UpstreamAnswer),
    /// The upstream states that it has not run the request.
    Declined(StatusCode),
    /// No part of the request was sent.
    Unsent(CompactString),
    /// The request was sent and may have run, but no valid answer came.
    Lost(AttemptLoss),
}

/// A request that was sent and may have run, but brought no valid answer.
#[derive(Debug)]
pub struct AttemptLoss {
    /// Cause of the loss, for logs.
    pub reason: CompactString,
    /// Check whether the upstream itself was lost, if the connection broke.
    pub check: Option<Rc<LossCheck>>,
}

impl From<CompactString> for AttemptLoss {
    /// Creates a loss without an upstream check: the upstream sent something, so it is alive.
    fn from(reason: CompactString) -> Self {
        Self {
            reason,
            check: None,
        }
    }
}

impl AttemptOutcome {
    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::Lost(_))
    }

    /// Returns the outcome as one word for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Declined(_) => "declined",
            Self::Unsent(_) => "unsent",
            Self::Lost(_) => "lost",
        }
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = self.label();
        match self {
            Self::Answered(answer) => write!(f, "{label} status={}", answer.status.as_u16()),
            Self::Declined(status) => write!(f, "{label} status={}", status.as_u16()),
            Self::Unsent(reason) => write!(f, "{label} reason={reason:?}"),
            Self::Lost(loss) => write!(f, "{label} reason={:?}", loss.reason),
        }
    }
}

/// Process state and route properties that an attempt uses.
#[derive(Debug, Clone)]
pub struct AttemptContext {
    /// Shared state of the process.
    pub core: Rc<GatewayCore>,
    /// Attempt latencies of the route.
    pub latency: Rc<std::cell::RefCell<RouteLatency>>,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Priority of the route; 0 is the most urgent.
    pub route_priority: u8,
    /// Use of the answers.
    pub answer_use: AnswerUse,
}

/// What an answer is for, which decides how much of it is buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerUse {
    /// It is passed on, and streamed if it is long.
    Forward {
        /// Longest time for which the route lets a request wait.
        timeout: Duration,
    },
    /// Its greatest records are merged with those of other shards.
    Merge {
        /// Number of records that are needed.
        max_records: usize,
    },
}

/// Records the outcome of an attempt with the health of its upstream, also if the attempt is dropped before it
/// completes.
struct AttemptRecord<'a> {
    context: &'a AttemptContext,
    upstream: &'a Upstream,
    started_at: Instant,
    sent_at: Option<Instant>,
    is_recorded: bool,
}

impl AttemptRecord<'_> {
    fn distance(&self) -> crate::gateway::settings::PlaceDistance {
        let place = &self.context.core.settings.place;
        place.distance(&self.upstream.entry().zone)
    }

    /// Returns how long an attempt at this distance usually takes.
    fn usual_time(&self) -> Duration {
        let latency = self.context.latency.borrow();
        Duration::from_secs_f64(latency.median_ms(self.distance()) / 1_000.0)
    }

    /// Returns the ratio of the elapsed time to the usual one.
    fn slowness(&self, now: Instant) -> f64 {
        let elapsed_ms = millis(now.saturating_duration_since(self.started_at));
        let latency = self.context.latency.borrow();
        latency.slowness(self.distance(), elapsed_ms)
    }

    /// Records the time of the answer for the other VMs of the zone. It counts from the sending: the wait for a
    /// connection of this VM says nothing about the upstream.
    fn share_speed(&self, now: Instant) {
        let Some(sent_at) = self.sent_at else { return };
        let answer_ms = millis(now.saturating_duration_since(sent_at));
        let slowness = {
            let latency = self.context.latency.borrow();
            latency.slowness(self.distance(), answer_ms)
        };
        let core = &self.context.core;
        speed_exchange::record_answer(core, self.upstream, sent_at, now, slowness);
    }

    fn record_outcome(&mut self, outcome: &AttemptOutcome) {
        self.is_recorded = true;
        let now = now();
        let mut health = self.upstream.health.borrow_mut();
        match outcome {
            AttemptOutcome::Answered(answer) if !answer.status.is_server_error() => {
                health.record_answer(self.started_at, now, self.slowness(now));
                drop(health);
                self.share_speed(now);
                let elapsed = now.saturating_duration_since(self.started_at);
                let mut latency = self.context.latency.borrow_mut();
                latency.histogram_mut(self.distance()).record(elapsed, now);
            }
            AttemptOutcome::Unsent(_) => health.record_unreachable(self.started_at, now),
            AttemptOutcome::Answered(_) | AttemptOutcome::Declined(_) | AttemptOutcome::Lost(_) => {
                health.record_failure(self.started_at, now);
            }
        }
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        let mut health = self.upstream.health.borrow_mut();
        match self.sent_at {
            Some(_) => {
                let now = now();
                health.record_abandoned(self.started_at, now, self.slowness(now));
                let elapsed = now.saturating_duration_since(self.started_at);
                let mut latency = self.context.latency.borrow_mut();
                let histogram = latency.histogram_mut(self.distance());
                histogram.record_abandoned(elapsed, now);
            }
            None => health.record_unsent(self.started_at),
        }
    }
}

/// Sends a request to one upstream. `before_send` is called once a connection is available and may still prevent
/// sending. Dropping the future closes the connection, which also cancels the work at the upstream.
pub async fn run_attempt(
    context: &AttemptContext,
    upstream: &Rc<Upstream>,
    request: &ForwardRequest,
    useful_until: Option<Instant>,
    before_send: impl FnOnce() -> bool,
) -> AttemptOutcome {
    let started_at = now();
    upstream.health.borrow_mut().record_start(started_at);
    let mut record = AttemptRecord {
        context,
        upstream,
        started_at,
        sent_at: None,
        is_recorded: false,
    };
    let max_idle = match context.idempotency {
        Idempotency::Idempotent => MAX_IDLE_IDEMPOTENT,
        Idempotency::Once => MAX_IDLE_ONCE,
    };
    let priority = SlotPriority {
        useful_until,
        service_time: record.usual_time(),
        received: request.received,
        share: queue_share(context, request),
    };
    let connection = upstream.connect(&request.id, priority, max_idle, CONNECT_TIMEOUT);
    let outcome = match connection.await {
        Err(error) => AttemptOutcome::Unsent(error_text(&error)),
        Ok(active_link) => {
            let core = &context.core;
            if active_link.has_overtaken {
                core.metrics.fairness.overtakes.inc();
            }
            let sent_at = now();
            let remaining = request.finish_by.saturating_duration_since(sent_at);
            let remaining_ms = remaining.as_millis() as u64;
            let may_send = upstream.takes_requests() && core.reserve_cold_send(upstream);
            if !may_send || remaining_ms == 0 || !before_send() {
                // The attempt was cancelled on this side, so it does not count against the upstream's health.
                upstream.release(active_link, None);
                record.is_recorded = true;
                upstream.health.borrow_mut().record_unsent(started_at);
                return AttemptOutcome::Unsent("cancelled before it was sent".into());
            }
            record.sent_at = Some(sent_at);
            send(context, upstream, request, (active_link, remaining_ms)).await
        }
    };
    record.record_outcome(&outcome);
    outcome
}

/// Returns the share of a request's organisation in the queues for connections. Without organisations in the
/// configuration all requests have the same share.
fn queue_share(context: &AttemptContext, request: &ForwardRequest) -> QueueShare {
    let table = context.core.table();
    let Some(organisations) = table.as_ref().and_then(|table| table.organisations()) else {
        return QueueShare::default();
    };
    let Some(name) = &request.organisation else {
        return QueueShare::new(FlowKey::default(), None, context.route_priority);
    };
    let organisation = organisations.named(name);
    let priority = organisation.and_then(|organisation| organisation.priority);
    QueueShare::new(
        FlowKey::new(name.as_str()),
        priority,
        context.route_priority,
    )
}

async fn send(
    context: &AttemptContext,
    upstream: &Rc<Upstream>,
    request: &ForwardRequest,
    (mut active_link, remaining_ms): (ActiveLink, u64),
) -> AttemptOutcome {
    let core = &context.core;
    let names = &core.dialect.names;
    let sent_at = now();
    let instance = upstream.entry().instance.clone();
    let upstream_request = request.build(names, &instance, remaining_ms);
    let after_loss = request.after_loss.get();
    let (max_bytes, max_records) = match context.answer_use {
        AnswerUse::Forward { .. } => (MAX_BUFFERED_ANSWER_BYTES, None),
        AnswerUse::Merge { max_records } => (MAX_SHARD_ANSWER_BYTES, Some(max_records)),
    };
    let compact = |part: &mut BytesMut| {
        if let Some(max_records) = max_records {
            drop_lesser_records(part, max_records);
        }
    };
    let response = match active_link
        .link
        .begin_exchange(upstream_request, max_bytes, compact)
        .await
    {
        Ok(response) => response,
        Err(error) => {
            if !active_link.reused {
                // If a new connection breaks at once, the upstream does not accept that many.
                upstream.reduce_limit(now());
            }
            // Other pooled connections have probably been closed as well.
            upstream.close_idle_links();
            if matches!(error, LinkError::Unsent { .. }) {
                return AttemptOutcome::Unsent(error_text(&error));
            }
            let lost_request = LostRequest {
                after_loss,
                ..LostRequest::new(
                    request.fingerprint,
                    now().saturating_duration_since(sent_at),
                )
            };
            let loss_check = record_loss(core, upstream, lost_request);
            return AttemptOutcome::Lost(AttemptLoss {
                reason: error_text(&error),
                check: Some(loss_check),
            });
        }
    };
    let outcome = read_response(context, request, response, active_link, upstream);
    if let AttemptOutcome::Answered(_) = &outcome {
        let flight_time = now().saturating_duration_since(sent_at);
        core.quarantine
            .report_answer(request.fingerprint, flight_time);
    }
    outcome
}

/// Verifies that a response is an answer to this request and classifies it.
fn read_response(
    context: &AttemptContext,
    request: &ForwardRequest,
    response: Response<LinkBody>,
    mut active_link: ActiveLink,
    upstream: &Rc<Upstream>,
) -> AttemptOutcome {
    let names = &context.core.dialect.names;
    let (head, body) = response.into_parts();
    let echoed_id = head.headers.get(&names.request_id);
    if echoed_id.is_some_and(|echoed_id| *echoed_id != request.id) {
        // A late duplicate answer to an earlier request: request and answers on this connection no longer match up.
        let reason = CompactString::const_new("the response is for another request");
        return AttemptOutcome::Lost(reason.into());
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        log::info!(
            target: "ebonyfork::decision",
            "upstream gone instance={} address={}: another upstream answers at this address",
            upstream.entry().instance, upstream.entry().address
        );
        upstream.mark_leaving();
        return AttemptOutcome::Declined(head.status);
    }
    let is_declined = head.headers.contains_key(&names.not_run);
    let is_signed = head.headers.contains_key(&names.signature);
    if !is_declined && !is_signed {
        let status = head.status.as_u16();
        let reason = compact_str::format_compact!("unsigned response with status {status}");
        return AttemptOutcome::Lost(reason.into());
    }
    record_load(names, &head.headers, upstream);
    if is_declined {
        active_link.record_declined(&request.id, request.finish_by);
    }
    let is_reusable = allows_reuse(&head.headers);
    let keep_alive = keep_alive_timeout(&head.headers);
    let body = match (body.rest, context.answer_use) {
        (None, _) => {
            if is_reusable {
                upstream.release(active_link, keep_alive);
            }
            ReplyBody::from(body.beginning)
        }
        (Some(rest), AnswerUse::Forward { timeout }) if !is_declined => {
            let bound = StreamBound::new(request.finish_by, timeout);
            let mut stream =
                AnswerStream::new((body.beginning, rest), active_link, upstream, bound);
            if is_reusable {
                stream = stream.with_reuse(keep_alive);
            }
            ReplyBody::from(stream)
        }
        (Some(_), _) => {
            let reason = CompactString::const_new("the response exceeds the size limit");
            return AttemptOutcome::Lost(reason.into());
        }
    };
    if is_declined {
        upstream.reduce_limit(now());
        return AttemptOutcome::Declined(head.status);
    }
    AttemptOutcome::Answered(UpstreamAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Records the load that an upstream reports. An unreadable report is logged once per upstream.
fn record_load(names: &WireNames, headers: &HeaderMap, upstream: &Upstream) {
    let Some(header_value) = headers.get(&names.load) else {
        return;
    };
    let report = header_value
        .to_str()
        .unwrap_or_default()
        .parse::<LoadReport>();
    match report {
        Ok(report) => upstream.health.borrow_mut().record_load(report, now()),
        Err(error) if !upstream.load_warned.replace(true) => log::warn!(
            target: "ebonyfork::decision",
            "upstream instance={}: {error}; load report ignored",
            upstream.entry().instance
        ),
        Err(_known) => {}
    }
}

fn allows_reuse(headers: &HeaderMap) -> bool {
    let has_close = |value: &header::HeaderValue| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    };
    !headers.get_all(header::CONNECTION).iter().any(has_close)
}

/// Returns the idle timeout that an upstream states in its `Keep-Alive` header.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let header_value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = header_value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout = seconds.trim().parse().ok().map(Duration::from_secs);
    timeout.map(|timeout: Duration| timeout.min(MAX_STATED_TIME))
}

fn error_text(error: &LinkError) -> CompactString {
    compact_str::format_compact!("{error}")
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
