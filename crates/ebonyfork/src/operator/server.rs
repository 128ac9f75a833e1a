//! The HTTP server of the operators' port.

use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::registry::Registry;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::gateway::IntakePhase;
use crate::ident::RequestFingerprint;
use crate::intake::{IntakeSlot, IntakeTable, connection_bytes};
use crate::operator::status::{NodeStatus, QuarantineStatus};

/// Longest wait for the head of a request before the connection is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Content type of the metrics.
const OPENMETRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

type StatusFunction = dyn Fn() -> NodeStatus + Send + Sync;
type ListQuarantinedFunction = dyn Fn() -> Vec<QuarantineStatus> + Send + Sync;
type LiftQuarantineFunction = dyn Fn(RequestFingerprint) -> bool + Send + Sync;
type IsReadyFunction = dyn Fn() -> bool + Send + Sync;

/// Functions that provide the answers on the operators' port, and the function that lifts a quarantine.
#[derive(Clone)]
pub struct OperatorService {
    registry: Arc<Registry>,
    /// Returns whether the process accepts work.
    is_ready: Arc<IsReadyFunction>,
    status: Arc<StatusFunction>,
    /// Lists the quarantined requests.
    list_quarantined: Arc<ListQuarantinedFunction>,
    /// Lifts a quarantine; returns false if the request is not quarantined.
    lift: Arc<LiftQuarantineFunction>,
}

impl fmt::Debug for OperatorService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorService").finish_non_exhaustive()
    }
}

impl OperatorService {
    /// Creates a service that answers with the metrics in `registry`, with the readiness from `is_ready` and with the
    /// status from `status`. It lists no quarantined request and lifts no quarantine until
    /// [`with_quarantine`](Self::with_quarantine) sets the functions for that.
    pub fn new(
        registry: Registry,
        is_ready: impl Fn() -> bool + Send + Sync + 'static,
        status: impl Fn() -> NodeStatus + Send + Sync + 'static,
    ) -> Self {
        Self {
            registry: Arc::new(registry),
            is_ready: Arc::new(is_ready),
            status: Arc::new(status),
            list_quarantined: Arc::new(Vec::new),
            lift: Arc::new(|_fingerprint| false),
        }
    }

    /// Sets the functions that list quarantined requests and that lift a quarantine.
    #[must_use]
    pub fn with_quarantine(
        mut self,
        list_quarantined: impl Fn() -> Vec<QuarantineStatus> + Send + Sync + 'static,
        lift: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.list_quarantined = Arc::new(list_quarantined);
        self.lift = Arc::new(lift);
        self
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if let Some(fingerprint) = path.strip_prefix("/quarantine/") {
            return self.answer_lift(request.method(), fingerprint);
        }
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
        }
        match path {
            "/healthz" => text_response(StatusCode::OK, "ok\n"),
            "/readyz" if (self.is_ready)() => text_response(StatusCode::OK, "ready\n"),
            "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => self.answer_metrics(),
            "/status" => json_response(&(self.status)()),
            "/quarantine" => json_response(&(self.list_quarantined)()),
            _ => text_response(
                StatusCode::NOT_FOUND,
                "served here: /healthz /readyz /metrics /status /quarantine\n",
            ),
        }
    }

    fn answer_metrics(&self) -> Response<Full<Bytes>> {
        let mut metrics_text = String::new();
        match prometheus_client::encoding::text::encode(&mut metrics_text, &self.registry) {
            Ok(()) => response_with_content_type(StatusCode::OK, OPENMETRICS_TYPE, metrics_text),
            Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        }
    }

    fn answer_lift(&self, method: &Method, fingerprint: &str) -> Response<Full<Bytes>> {
        if method != Method::DELETE {
            return text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "only DELETE is served here\n",
            );
        }
        match fingerprint.parse() {
            Ok(fingerprint) if (self.lift)(fingerprint) => {
                text_response(StatusCode::OK, "lifted\n")
            }
            Ok(_) => text_response(StatusCode::NOT_FOUND, "not quarantined here\n"),
            Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    response_with_content_type(status, TEXT_TYPE, body)
}

fn json_response(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => response_with_content_type(StatusCode::OK, JSON_TYPE, body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn response_with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Serves the operators' port on `listener` until `stop` is cancelled. `intake` bounds the connections.
pub async fn serve_operators(
    listener: TcpListener,
    service: OperatorService,
    intake: IntakeTable,
    stop: CancellationToken,
) {
    loop {
        let accept_result = tokio::select! {
            accept_result = listener.accept() => accept_result,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _from)) = accept_result else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        // A connection that finds no room is closed before anything of it is read.
        let Some(slot) = intake.admit(connection_bytes(MAX_HEAD_BYTES)).await else {
            continue;
        };
        tokio::spawn(serve_connection(
            (stream, Arc::new(slot)),
            service.clone(),
            stop.clone(),
        ));
    }
}

async fn serve_connection(
    (stream, slot): (TcpStream, Arc<IntakeSlot>),
    service: OperatorService,
    stop: CancellationToken,
) {
    let handler_slot = Arc::clone(&slot);
    let handler = service_fn(move |request| {
        let response = service.answer(&request);
        handler_slot.enter_phase(IntakePhase::Idle, Instant::now());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), handler);
    tokio::select! {
        result = connection => {
            if let Err(error) = result {
                log::debug!("operator connection: {error}");
            }
        }
        () = slot.close_requested() => {}
        () = stop.cancelled() => {}
    }
}
