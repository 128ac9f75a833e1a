//! One HTTP/1.1 connection to an upstream: a task that opens it, sends one request at a time and reports events.
//!
//! A new connection first requests the upstream's status. An upstream at its connection limit accepts a connection and
//! closes it at once. The status call detects this before an attempt is sent, so that a refused connection is never
//! taken for a crash or for a request that may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::http_link::{GuardedSender, LinkError, start_http};
use crate::ident::{UpstreamAddress, VmAddress};
use crate::relay::answer::{BODY_LIMIT, is_draining, read_answer};
use crate::relay::ids::WorkId;
use crate::relay::state::{ConnectionEvent, OpenStatus};
use crate::relay::upstream::UpstreamAnswer;

/// Timeout for opening a connection, the status call included.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an attempt may stay in flight after its deadline before its connection is closed.
const OVERDUE_GRACE: Duration = Duration::from_millis(500);

/// A request whose body, if any, is complete in memory.
pub(super) type UpstreamRequest = Request<Full<Bytes>>;

/// The endpoints of a connection to an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRoute {
    /// The address of this VM, from which the connection is opened.
    pub(super) vm: VmAddress,
    /// The address of the upstream.
    pub(super) upstream: UpstreamAddress,
}

impl UpstreamRoute {
    /// Connects from this VM's own address, so that the upstream sees which VM it is. If the address is not assigned to
    /// this machine, for example behind NAT, the operating system picks one.
    async fn connect(self) -> std::io::Result<TcpStream> {
        let socket = match self.upstream.0 {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        let _bind_result = socket.bind(SocketAddr::new(self.vm.0, 0));
        socket.connect(self.upstream.0).await
    }
}

/// One attempt to send on a connection.
#[derive(Debug)]
pub(super) struct ConnectionJob {
    pub(super) work: WorkId,
    pub(super) request: UpstreamRequest,
    pub(super) deadline: Instant,
}

/// An open connection to an upstream and the task that drives it.
pub(super) struct OpenConnection {
    sender: GuardedSender,
    driver_task: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}

impl OpenConnection {
    /// Opens a connection without sending a request. Returns `None` if that fails.
    pub(super) async fn connect(route: UpstreamRoute) -> Option<Self> {
        let upstream = route.upstream;
        let stream = route.connect().await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = start_http(stream).await.ok()?;
        let driver_task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {upstream}: {error}");
            }
        });
        Some(Self {
            sender,
            driver_task,
        })
    }

    /// Sends a request and waits for the complete answer.
    pub(super) async fn call(&mut self, request: UpstreamRequest) -> Result<Answer, CallError> {
        if !self.sender.wait_until_ready().await {
            return Err(CallError::Unsent);
        }
        match self.sender.send(request).await {
            Ok(response) => read_body(response).await,
            Err(LinkError::Unsent { .. }) => Err(CallError::Unsent),
            Err(LinkError::Lost { .. } | LinkError::TooLong { .. }) => Err(CallError::Broken),
        }
    }

    /// Waits until the upstream has closed the connection.
    async fn wait_until_closed(&mut self) {
        let _join_result = (&mut self.driver_task).await;
    }
}

/// A complete answer. The body is `None` if it exceeds [`BODY_LIMIT`].
pub(super) type Answer = Response<Option<Bytes>>;

/// Why a call on a connection returned no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallError {
    /// No byte of the request was sent.
    Unsent,
    /// The connection broke after the request was sent.
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

/// Runs one connection until it ends or the channel `jobs` closes. The last event that it reports is the end of the
/// connection.
pub(super) async fn run_connection(
    route: UpstreamRoute,
    mut jobs: mpsc::Receiver<ConnectionJob>,
    report: impl AsyncFn(ConnectionEvent),
) {
    let open_result = timeout(OPEN_TIMEOUT, open_verified(route)).await;
    let Some((mut connection, status)) = open_result.ok().flatten() else {
        report(ConnectionEvent::OpenFailed).await;
        return;
    };
    report(ConnectionEvent::Opened { status }).await;
    loop {
        let job = tokio::select! {
            biased;
            job = jobs.recv() => job,
            () = connection.wait_until_closed() => None,
        };
        let Some(job) = job else {
            break;
        };
        let work = job.work;
        match run_job(&mut connection, job, &report).await {
            JobOutcome::Answered(answer) => {
                report(ConnectionEvent::Answered { work, answer }).await;
            }
            JobOutcome::Unsent => {
                report(ConnectionEvent::Unsent { work }).await;
                break;
            }
            JobOutcome::Broken => {
                report(ConnectionEvent::Broken { work }).await;
                return;
            }
            JobOutcome::Dropped => {
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

/// How the sending of one attempt ended.
enum JobOutcome {
    Answered(UpstreamAnswer),
    Unsent,
    Broken,
    Dropped,
}

/// Sends one attempt and waits for its answer, at most [`OVERDUE_GRACE`] past its deadline.
async fn run_job(
    connection: &mut OpenConnection,
    job: ConnectionJob,
    report: &impl AsyncFn(ConnectionEvent),
) -> JobOutcome {
    let sent_at = Instant::now();
    let work = job.work;
    let call = connection.call(job.request);
    tokio::pin!(call);
    let mut outcome = timeout_at(job.deadline, &mut call).await;
    if outcome.is_err() {
        report(ConnectionEvent::Overdue { work }).await;
        outcome = timeout(OVERDUE_GRACE, &mut call).await;
    }
    match outcome {
        Ok(Ok(answer)) => JobOutcome::Answered(UpstreamAnswer {
            draining: is_draining(answer.headers()),
            verdict: read_answer(answer),
            service_time: sent_at.elapsed(),
        }),
        Ok(Err(CallError::Unsent)) => JobOutcome::Unsent,
        Ok(Err(CallError::Broken)) => JobOutcome::Broken,
        Err(_elapsed) => JobOutcome::Dropped,
    }
}

/// Opens a connection and verifies by a status call that the upstream serves it.
async fn open_verified(route: UpstreamRoute) -> Option<(OpenConnection, OpenStatus)> {
    let mut connection = OpenConnection::connect(route).await?;
    let request = plain_request(route.upstream, Method::GET, "/v1/status")?;
    let answer = connection.call(request).await.ok()?;
    Some((connection, parse_open_status(&answer)))
}

/// The body of the answer to a status call. It is only a hint, because it lags and may be wrong.
#[derive(Deserialize)]
struct StatusBody<'a> {
    state: &'a str,
}

/// Reads from a status answer whether the upstream is leaving.
fn parse_open_status(answer: &Answer) -> OpenStatus {
    if is_draining(answer.headers()) {
        return OpenStatus::Draining;
    }
    let body = answer.body().as_deref().unwrap_or_default();
    let status: Option<StatusBody<'_>> = serde_json::from_slice(body).ok();
    if answer.status() == StatusCode::OK && status.is_some_and(|body| body.state == "draining") {
        return OpenStatus::DrainingHint;
    }
    OpenStatus::Ready
}

/// Builds a request without a body. Returns `None` if the path is invalid.
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
