//! HTTP server for control calls and metrics.

use std::borrow::Borrow;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::clock::now;
use crate::gateway::connection_drain::ConnectionDrain;
use crate::gateway::policy::intake::IntakePhase;
use crate::gateway::reply::CallerReply;
use crate::intake::{IntakeSlot, IntakeTable, connection_bytes};

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, for example because file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Logs a failed accept and pauses.
pub(super) async fn log_accept_error(error: &io::Error) {
    log::warn!("accept failed: {error}");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Serves requests on a listener until `connections` are to close. `intake` bounds the connections.
pub async fn serve_http(
    listener: impl Borrow<TcpListener>,
    connections: ConnectionDrain,
    intake: IntakeTable,
    answer: impl Fn(&Request<Incoming>) -> CallerReply + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let accept_result = tokio::select! {
            accept_result = listener.borrow().accept() => accept_result,
            () = connections.closing() => return,
        };
        match accept_result {
            Ok((stream, _peer)) => {
                // A connection that finds no room is closed before anything of it is read.
                let Some(slot) = intake.admit(connection_bytes(MAX_HEAD_BYTES)).await else {
                    continue;
                };
                let stream = ControlStream { stream, slot };
                let connection = serve_stream(stream, connections.clone(), Rc::clone(&answer));
                tokio::task::spawn_local(connection);
            }
            Err(error) => log_accept_error(&error).await,
        }
    }
}

/// Connection with its place in the budget.
struct ControlStream {
    stream: TcpStream,
    slot: IntakeSlot,
}

async fn serve_stream(
    ControlStream { stream, slot }: ControlStream,
    connections: ConnectionDrain,
    answer: Rc<impl Fn(&Request<Incoming>) -> CallerReply + 'static>,
) {
    let _open = connections.enter();
    let slot = &slot;
    let service = service_fn(move |request: Request<Incoming>| {
        let reply = answer(&request);
        slot.enter_phase(IntakePhase::Idle, now());
        async move { Ok::<_, Infallible>(reply) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        () = slot.close_requested() => return,
        () = connections.closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("control connection: {error}");
    }
}
