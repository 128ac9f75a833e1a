//! One attempt: a request to one upstream, and what became of it.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::{HeaderMap, Response, StatusCode, header};

use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::dialect::WireNames;
use crate::gateway::loss::LossCheck;
use crate::gateway::loss_check::note_loss;
use crate::gateway::policy::latency::millis;
use crate::gateway::policy::load_report::LoadReport;
use crate::gateway::policy::route_latency::RouteLatency;
use crate::gateway::reply_body::{AnswerStream, ReplyBody};
use crate::gateway::request::ForwardRequest;
use crate::gateway::route::RepeatKind;
use crate::gateway::slots::SlotOrder;
use crate::gateway::upstream::{HeldLink, Upstream};
use crate::http_link::{LinkBody, LinkError};
use crate::quarantine::LostRequest;

/// Longest wait for a new connection in the same region: a handshake takes 1 to 6 ms there, more on a busy upstream.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// How old a kept connection may be for a request that runs at most once: one that breaks leaves the outcome unknown,
/// and a new connection costs about 1 ms.
const ONCE_FRESH: Duration = Duration::from_millis(500);
/// The same for requests that can be sent again.
const REPEAT_FRESH: Duration = Duration::from_mins(1);
/// Longest part of a query over many shards, in bytes: it has to be merged, so it has to be here whole.
const PART_LIMIT: usize = 8 * 1024 * 1024;
/// Longest answer that is read whole before it is passed on, in bytes. One that breaks off up to here can be sent again;
/// a longer one is passed on as it comes, so that it takes no more of a VM's memory (160 MB on the smallest).
const WHOLE_LIMIT: usize = 256 * 1024;

/// An upstream's answer.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, those of the connection included.
    pub headers: HeaderMap,
    /// Its body, which may still be coming in.
    pub body: ReplyBody,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream ran the request and answered.
    Answered(UpstreamAnswer),
    /// The upstream says that it has not run the request.
    Declined(StatusCode),
    /// Nothing of the request was sent.
    Unsent(CompactString),
    /// It was sent and may have run.
    Lost(AttemptLoss),
}

/// An attempt that was sent and brought no answer.
#[derive(Debug)]
pub struct AttemptLoss {
    /// What has happened.
    pub reason: CompactString,
    /// Whether the upstream was lost with it, where the connection broke.
    pub check: Option<Rc<LossCheck>>,
}

impl From<CompactString> for AttemptLoss {
    /// What the upstream has sent is no answer: it lives.
    fn from(reason: CompactString) -> Self {
        Self {
            reason,
            check: None,
        }
    }
}

impl AttemptOutcome {
    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::Lost(_))
    }

    /// One word for logs.
    pub fn word(&self) -> &'static str {
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
        let word = self.word();
        match self {
            Self::Answered(answer) => write!(f, "{word} status={}", answer.status.as_u16()),
            Self::Declined(status) => write!(f, "{word} status={}", status.as_u16()),
            Self::Unsent(reason) => write!(f, "{word} reason={reason:?}"),
            Self::Lost(loss) => write!(f, "{word} reason={:?}", loss.reason),
        }
    }
}

/// What an attempt needs beside the request.
#[derive(Debug, Clone)]
pub struct AttemptContext {
    /// The process.
    pub core: Rc<GatewayCore>,
    /// Attempt times of the route.
    pub latency: Rc<std::cell::RefCell<RouteLatency>>,
    /// Whether the request may run again.
    pub repeat: RepeatKind,
    /// Longest silence in the midst of an answer that is passed on as it comes; `None` where answers must be whole.
    pub stream_patience: Option<Duration>,
}

/// Notes how an attempt ended, also when it is dropped midway.
struct AttemptRecord<'a> {
    context: &'a AttemptContext,
    upstream: &'a Upstream,
    began: Instant,
    sent: Option<Instant>,
    noted: bool,
}

impl AttemptRecord<'_> {
    fn distance(&self) -> crate::gateway::settings::PlaceDistance {
        let place = &self.context.core.settings.place;
        place.distance(&self.upstream.entry().zone)
    }

    /// How long such an attempt usually takes.
    fn usual_time(&self) -> Duration {
        let latency = self.context.latency.borrow();
        Duration::from_secs_f64(latency.median_ms(self.distance()) / 1_000.0)
    }

    /// The time so far over the usual one.
    fn slowness(&self, now: Instant) -> f64 {
        let took = millis(now.saturating_duration_since(self.began));
        let latency = self.context.latency.borrow();
        latency.slowness(self.distance(), took)
    }

    fn note(&mut self, outcome: &AttemptOutcome) {
        self.noted = true;
        let now = now();
        let mut health = self.upstream.health.borrow_mut();
        match outcome {
            AttemptOutcome::Answered(answer) if !answer.status.is_server_error() => {
                health.record_answer(self.began, now, self.slowness(now));
                let took = now.saturating_duration_since(self.began);
                let mut latency = self.context.latency.borrow_mut();
                latency.histogram_mut(self.distance()).record(took, now);
            }
            AttemptOutcome::Unsent(_) => health.record_unreachable(self.began, now),
            AttemptOutcome::Answered(_) | AttemptOutcome::Declined(_) | AttemptOutcome::Lost(_) => {
                health.record_failure(self.began, now);
            }
        }
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        if self.noted {
            return;
        }
        let mut health = self.upstream.health.borrow_mut();
        match self.sent {
            Some(_) => {
                let now = now();
                health.record_abandoned(self.began, now, self.slowness(now));
                let waited = now.saturating_duration_since(self.began);
                let mut latency = self.context.latency.borrow_mut();
                let track = latency.histogram_mut(self.distance());
                track.record_abandoned(waited, now);
            }
            None => health.record_unsent(self.began),
        }
    }
}

/// Sends a request to one upstream. `before_send` is asked once the connection is there and may still forbid the
/// sending. Dropping the future ends the connection, and with it the upstream's work.
pub async fn run_attempt(
    context: &AttemptContext,
    upstream: &Rc<Upstream>,
    request: &ForwardRequest,
    useful_until: Option<Instant>,
    before_send: impl FnOnce() -> bool,
) -> AttemptOutcome {
    let began = now();
    upstream.health.borrow_mut().record_start(began);
    let mut record = AttemptRecord {
        context,
        upstream,
        began,
        sent: None,
        noted: false,
    };
    let fresh = match context.repeat {
        RepeatKind::Idempotent => REPEAT_FRESH,
        RepeatKind::Once => ONCE_FRESH,
    };
    let order = SlotOrder {
        useful_until,
        need: record.usual_time(),
        received: request.received,
    };
    let outcome = match upstream.connect(order, fresh, CONNECT_TIME).await {
        Err(error) => AttemptOutcome::Unsent(reason(&error)),
        Ok(held) => {
            let core = &context.core;
            let sent = now();
            let left = request.finish_by.saturating_duration_since(sent);
            let left_ms = left.as_millis() as u64;
            let open = upstream.takes_requests() && core.take_cold_room(upstream);
            if !open || left_ms == 0 || !before_send() {
                // Nothing of this is the upstream's fault.
                upstream.keep(held, None);
                record.noted = true;
                upstream.health.borrow_mut().record_unsent(began);
                return AttemptOutcome::Unsent("given up before it was sent".into());
            }
            record.sent = Some(sent);
            send(context, upstream, request, (held, left_ms)).await
        }
    };
    record.note(&outcome);
    outcome
}

async fn send(
    context: &AttemptContext,
    upstream: &Rc<Upstream>,
    request: &ForwardRequest,
    (mut held, left_ms): (HeldLink, u64),
) -> AttemptOutcome {
    let core = &context.core;
    let names = &core.dialect.names;
    let sent = now();
    let instance = upstream.entry().instance.clone();
    let message = request.build(names, &instance, left_ms);
    let after_loss = request.after_loss.get();
    let whole = match context.stream_patience {
        Some(_) => WHOLE_LIMIT,
        None => PART_LIMIT,
    };
    let response = match held.link.begin_exchange(message, whole).await {
        Ok(response) => response,
        Err(error) => {
            if !held.reused {
                // A new connection that breaks at once was one too many.
                upstream.narrow(now());
            }
            // What was kept beside it is likely to have ended as well.
            upstream.drop_idle();
            if matches!(error, LinkError::Unsent { .. }) {
                return AttemptOutcome::Unsent(reason(&error));
            }
            let lost = LostRequest {
                after_loss,
                ..LostRequest::new(request.fingerprint, now().saturating_duration_since(sent))
            };
            let check = note_loss(core, upstream, lost);
            return AttemptOutcome::Lost(AttemptLoss {
                reason: reason(&error),
                check: Some(check),
            });
        }
    };
    let outcome = read_response(context, request, response, held, upstream);
    if let AttemptOutcome::Answered(_) = &outcome {
        let flight = now().saturating_duration_since(sent);
        core.quarantine.report_answer(request.fingerprint, flight);
    }
    outcome
}

/// Tells an answer to this request from anything else that may stand on the connection.
fn read_response(
    context: &AttemptContext,
    request: &ForwardRequest,
    response: Response<LinkBody>,
    held: HeldLink,
    upstream: &Rc<Upstream>,
) -> AttemptOutcome {
    let names = &context.core.dialect.names;
    let (head, body) = response.into_parts();
    let echoed = head.headers.get(&names.request_id);
    if echoed.is_some_and(|echoed| *echoed != request.id) {
        // A late second answer to an earlier request: this connection is out of step for good.
        let reason = CompactString::const_new("the answer is to another request");
        return AttemptOutcome::Lost(reason.into());
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        log::info!(
            target: "ebonyfork::decision",
            "upstream gone instance={} address={}: another one answers there",
            upstream.entry().instance, upstream.entry().address
        );
        upstream.leave();
        return AttemptOutcome::Declined(head.status);
    }
    let declined = head.headers.contains_key(&names.not_run);
    let signed = head.headers.contains_key(&names.signature);
    if !declined && !signed {
        let status = head.status.as_u16();
        let reason = compact_str::format_compact!("an unsigned answer with status {status}");
        return AttemptOutcome::Lost(reason.into());
    }
    note_load(names, &head.headers, upstream);
    let keeps = keeps_connection(&head.headers);
    let idle = idle_time(&head.headers);
    let body = match (body.rest, context.stream_patience) {
        (None, _) => {
            if keeps {
                upstream.keep(held, idle);
            }
            ReplyBody::Whole(body.begun)
        }
        (Some(rest), Some(patience)) if !declined => {
            let mut stream = AnswerStream::new((body.begun, rest), held, upstream, patience);
            if keeps {
                stream = stream.with_kept_link(idle);
            }
            ReplyBody::Stream(Box::new(stream))
        }
        (Some(_), _) => {
            let reason = CompactString::const_new("the answer is too long");
            return AttemptOutcome::Lost(reason.into());
        }
    };
    if declined {
        upstream.narrow(now());
        return AttemptOutcome::Declined(head.status);
    }
    AttemptOutcome::Answered(UpstreamAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Takes in what an upstream says of its load. A report that can't be read is told of once.
fn note_load(names: &WireNames, headers: &HeaderMap, upstream: &Upstream) {
    let Some(stated) = headers.get(&names.load) else {
        return;
    };
    let report = stated.to_str().unwrap_or_default().parse::<LoadReport>();
    match report {
        Ok(report) => upstream.health.borrow_mut().record_load(report, now()),
        Err(error) if !upstream.load_warned.replace(true) => log::warn!(
            target: "ebonyfork::decision",
            "upstream instance={}: {error}; its load is not used",
            upstream.entry().instance
        ),
        Err(_known) => {}
    }
}

fn keeps_connection(headers: &HeaderMap) -> bool {
    let closes = |value: &header::HeaderValue| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    };
    !headers.get_all(header::CONNECTION).iter().any(closes)
}

/// The idle time that an upstream states.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn reason(error: &LinkError) -> CompactString {
    compact_str::format_compact!("{error}")
}
