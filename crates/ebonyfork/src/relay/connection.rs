//! One HTTP/1.1 connection to an upstream: a task that opens it, sends one request at a time and reports.
//!
//! A fresh connection first asks for the upstream's status. An upstream beyond its connection limit accepts and closes
//! at once; the status call meets that before any attempt is handed over, so that a refused connection is never
//! mistaken for a request that may have run, nor for a crash.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::ident::{UpstreamAddress, VmAddress};
use crate::relay::answer::{BODY_LIMIT, is_draining, read_answer};
use crate::relay::ids::WorkId;
use crate::relay::state::{ConnectionEvent, OpenSign};
use crate::relay::upstream::UpstreamAnswer;

/// Longest time to open a connection, the status call included.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an attempt may stay out beyond its deadline before its connection is closed.
const OVERDUE_LIMIT: Duration = Duration::from_millis(500);

/// A request with an empty or whole body.
pub(super) type UpstreamRequest = Request<Full<Bytes>>;

/// Both ends of a connection to an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRoute {
    /// This VM.
    pub(super) from: VmAddress,
    /// The upstream.
    pub(super) to: UpstreamAddress,
}

impl UpstreamRoute {
    /// Connects from this VM's own address, so that the upstream sees which VM it is. Where the address is not one of
    /// this machine, say behind an address translation, the system picks one.
    async fn connect(self) -> std::io::Result<TcpStream> {
        let socket = match self.to.0 {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        let _bound = socket.bind(SocketAddr::new(self.from.0, 0));
        socket.connect(self.to.0).await
    }
}

/// One attempt to be sent.
#[derive(Debug)]
pub(super) struct ConnectionJob {
    pub(super) work: WorkId,
    pub(super) request: UpstreamRequest,
    pub(super) deadline: Instant,
}

/// An open connection.
pub(super) struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl OpenConnection {
    /// Connects; nothing is sent yet.
    pub(super) async fn connect(route: UpstreamRoute) -> Option<Self> {
        let upstream = route.to;
        let stream = route.connect().await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {upstream}: {error}");
            }
        });
        Some(Self { sender, driver })
    }

    /// Sends a request and waits for the whole answer.
    pub(super) async fn call(&mut self, request: UpstreamRequest) -> Result<Answer, CallError> {
        if self.sender.ready().await.is_err() {
            return Err(CallError::Unsent);
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return Err(CallError::Unsent),
            Err(_) => return Err(CallError::Broken),
        };
        read_body(response).await
    }

    /// Waits until the other side has closed the connection.
    async fn ended(&mut self) {
        let _ended = (&mut self.driver).await;
    }
}

/// A whole answer; the body is missing if it is longer than [`BODY_LIMIT`].
pub(super) type Answer = Response<Option<Bytes>>;

/// Why a call brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallError {
    /// No byte of it was sent.
    Unsent,
    /// The connection broke after it was sent.
    Broken,
}

async fn read_body(response: Response<Incoming>) -> Result<Answer, CallError> {
    let (head, body) = response.into_parts();
    match Limited::new(body, BODY_LIMIT).collect().await {
        Ok(body) => Ok(Response::from_parts(head, Some(body.to_bytes()))),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Ok(Response::from_parts(head, None))
        }
        Err(_) => Err(CallError::Broken),
    }
}

/// Runs one connection until it ends or `jobs` closes. The last event it reports is its end.
pub(super) async fn run_connection(
    route: UpstreamRoute,
    mut jobs: mpsc::Receiver<ConnectionJob>,
    report: impl AsyncFn(ConnectionEvent),
) {
    let opened = timeout(OPEN_TIMEOUT, open_proven(route)).await;
    let Some((mut connection, sign)) = opened.ok().flatten() else {
        report(ConnectionEvent::OpenFailed).await;
        return;
    };
    report(ConnectionEvent::Opened { sign }).await;
    loop {
        let job = tokio::select! {
            biased;
            job = jobs.recv() => job,
            () = connection.ended() => None,
        };
        let Some(job) = job else {
            break;
        };
        let work = job.work;
        match run_job(&mut connection, job, &report).await {
            JobEnd::Answered(answer) => {
                report(ConnectionEvent::Answered { work, answer }).await;
            }
            JobEnd::Unsent => {
                report(ConnectionEvent::Unsent { work }).await;
                break;
            }
            JobEnd::Broken => {
                report(ConnectionEvent::Broken { work }).await;
                return;
            }
            JobEnd::Dropped => {
                report(ConnectionEvent::Dropped { work }).await;
                return;
            }
        }
    }
    jobs.close();
    while let Some(job) = jobs.recv().await {
        report(ConnectionEvent::Unsent { work: job.work }).await;
    }
    report(ConnectionEvent::Closed).await;
}

enum JobEnd {
    Answered(UpstreamAnswer),
    Unsent,
    Broken,
    Dropped,
}

async fn run_job(
    connection: &mut OpenConnection,
    job: ConnectionJob,
    report: &impl AsyncFn(ConnectionEvent),
) -> JobEnd {
    let sent = Instant::now();
    let work = job.work;
    let call = connection.call(job.request);
    tokio::pin!(call);
    let mut outcome = timeout_at(job.deadline, &mut call).await;
    if outcome.is_err() {
        report(ConnectionEvent::Overdue { work }).await;
        outcome = timeout(OVERDUE_LIMIT, &mut call).await;
    }
    match outcome {
        Ok(Ok(answer)) => JobEnd::Answered(UpstreamAnswer {
            draining: is_draining(answer.headers()),
            verdict: read_answer(answer),
            served: sent.elapsed(),
        }),
        Ok(Err(CallError::Unsent)) => JobEnd::Unsent,
        Ok(Err(CallError::Broken)) => JobEnd::Broken,
        Err(_elapsed) => JobEnd::Dropped,
    }
}

/// Opens a connection and proves by a status call that the upstream serves it.
async fn open_proven(route: UpstreamRoute) -> Option<(OpenConnection, OpenSign)> {
    let mut connection = OpenConnection::connect(route).await?;
    let request = plain_request(route.to, Method::GET, "/v1/status")?;
    let answer = connection.call(request).await.ok()?;
    Some((connection, read_sign(&answer)))
}

/// The status body: a hint, because it lags and may be wrong.
#[derive(Deserialize)]
struct StatusBody<'a> {
    state: &'a str,
}

fn read_sign(answer: &Answer) -> OpenSign {
    if is_draining(answer.headers()) {
        return OpenSign::Draining;
    }
    let body = answer.body().as_deref().unwrap_or_default();
    let status: Option<StatusBody<'_>> = serde_json::from_slice(body).ok();
    if answer.status() == StatusCode::OK && status.is_some_and(|body| body.state == "draining") {
        return OpenSign::SaysDraining;
    }
    OpenSign::Ready
}

/// A request without a body.
pub(super) fn plain_request(
    upstream: UpstreamAddress,
    method: Method,
    path: &str,
) -> Option<UpstreamRequest> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, upstream.to_string())
        .body(Full::default());
    request.ok()
}
