//! The HTTP server of the operators' port.

use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

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

use crate::ident::RequestFingerprint;
use crate::operator::status::{NodeStatus, QuarantineStatus};

/// Longest wait for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

type StatusFunction = dyn Fn() -> NodeStatus + Send + Sync;
type ListFunction = dyn Fn() -> Vec<QuarantineStatus> + Send + Sync;
type LiftFunction = dyn Fn(RequestFingerprint) -> bool + Send + Sync;
type ReadyFunction = dyn Fn() -> bool + Send + Sync;

/// What the operators' port answers with.
#[derive(Clone)]
pub struct OperatorService {
    registry: Arc<Registry>,
    ready: Arc<ReadyFunction>,
    status: Arc<StatusFunction>,
    quarantined: Arc<ListFunction>,
    lift: Arc<LiftFunction>,
}

impl fmt::Debug for OperatorService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorService").finish_non_exhaustive()
    }
}

impl OperatorService {
    /// Serves metrics and the state that `status` returns.
    pub fn new(
        registry: Registry,
        ready: impl Fn() -> bool + Send + Sync + 'static,
        status: impl Fn() -> NodeStatus + Send + Sync + 'static,
    ) -> Self {
        Self {
            registry: Arc::new(registry),
            ready: Arc::new(ready),
            status: Arc::new(status),
            quarantined: Arc::new(Vec::new),
            lift: Arc::new(|_fingerprint| false),
        }
    }

    /// Lists quarantined requests and lifts them.
    #[must_use]
    pub fn with_quarantine(
        mut self,
        quarantined: impl Fn() -> Vec<QuarantineStatus> + Send + Sync + 'static,
        lift: impl Fn(RequestFingerprint) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.quarantined = Arc::new(quarantined);
        self.lift = Arc::new(lift);
        self
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if let Some(fingerprint) = path.strip_prefix("/quarantine/") {
            return self.answer_lift(request.method(), fingerprint);
        }
        if request.method() != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
        }
        match path {
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/readyz" if (self.ready)() => text(StatusCode::OK, "ready\n"),
            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => self.answer_metrics(),
            "/status" => json(&(self.status)()),
            "/quarantine" => json(&(self.quarantined)()),
            _ => text(
                StatusCode::NOT_FOUND,
                "served here: /healthz /readyz /metrics /status /quarantine\n",
            ),
        }
    }

    fn answer_metrics(&self) -> Response<Full<Bytes>> {
        let mut page = String::new();
        match prometheus_client::encoding::text::encode(&mut page, &self.registry) {
            Ok(()) => respond(StatusCode::OK, OPENMETRICS, page),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        }
    }

    fn answer_lift(&self, method: &Method, fingerprint: &str) -> Response<Full<Bytes>> {
        if method != Method::DELETE {
            return text(
                StatusCode::METHOD_NOT_ALLOWED,
                "only DELETE is served here\n",
            );
        }
        match fingerprint.parse() {
            Ok(fingerprint) if (self.lift)(fingerprint) => text(StatusCode::OK, "lifted\n"),
            Ok(_) => text(StatusCode::NOT_FOUND, "not quarantined here\n"),
            Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    respond(status, TEXT, text)
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => respond(StatusCode::OK, JSON, body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn respond(
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

/// Serves the operators' port until `stop` is cancelled.
pub async fn serve_operators(
    listener: TcpListener,
    service: OperatorService,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _from)) = accepted else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, service.clone(), stop.clone()));
    }
}

async fn serve_connection(stream: TcpStream, service: OperatorService, stop: CancellationToken) {
    let answering = service_fn(move |request| {
        let response = service.answer(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let serving = server.serve_connection(TokioIo::new(stream), answering);
    tokio::select! {
        served = serving => {
            if let Err(error) = served {
                log::debug!("operator connection: {error}");
            }
        }
        () = stop.cancelled() => {}
    }
}
