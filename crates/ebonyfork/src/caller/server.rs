//! Accepts callers' connections and serves the requests on them.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::service::CallerService;
use crate::intake::{IntakeSlot, IntakeTable, connection_bytes};

/// Maximum idle time between requests on a connection, and maximum time to receive a request head.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of headers per request.
const MAX_HEADERS: usize = 64;
/// Pause after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `stop` is cancelled and all requests in flight have been answered.
///
/// `intake` bounds the connections and what they hold. After the stop no connection is accepted; requests in flight are completed, and their answers carry
/// `connection: close`.
pub async fn serve_callers(
    listener: TcpListener,
    service: CallerService,
    intake: IntakeTable,
    stop: CancellationToken,
) {
    let connections = TaskTracker::new();
    loop {
        let accept_result = tokio::select! {
            accept_result = listener.accept() => accept_result,
            () = stop.cancelled() => break,
        };
        match accept_result {
            Ok((stream, _from)) => {
                // A connection that finds no room is closed before anything of it is read.
                let Some(slot) = intake.admit(connection_bytes(MAX_HEAD_BYTES)).await else {
                    continue;
                };
                let service = service.clone();
                connections.spawn(serve_connection((stream, slot), service, stop.clone()));
            }
            Err(error) => {
                log::warn!("accepting a caller connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Serves one caller connection until it closes, or until its current request is answered after a stop.
async fn serve_connection(
    (stream, slot): (TcpStream, IntakeSlot),
    service: CallerService,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller connection failed: {error}");
        return;
    }
    let slot = Arc::new(slot);
    let http_service = service_fn({
        let slot = Arc::clone(&slot);
        move |request| service.clone().handle_request(request, Arc::clone(&slot))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), http_service);
    let mut connection = std::pin::pin!(connection);
    // The select is biased towards the stop, so that an answer that becomes ready at the same time already carries
    // `connection: close`.
    let serve_result = tokio::select! {
        biased;
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        serve_result = connection.as_mut() => serve_result,
        () = slot.close_requested() => return,
    };
    if let Err(error) = serve_result {
        log::debug!("caller connection failed: {error}");
    }
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
