//! The callers' listener.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::service::CallerService;

/// Longest time between two requests of a connection, and to send a request's head.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Most that a request's head may take, in bytes.
const HEAD_LIMIT: usize = 32 << 10;
/// Most headers that a request may have.
const HEADER_LIMIT: usize = 64;
/// Connections of callers that are open at a time; further ones wait to be accepted.
const CONNECTION_LIMIT: usize = 8_192;
/// Pause after the listener failed, so that a shortage of descriptors does not turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `stop` is cancelled and all requests in flight are answered.
///
/// After the stop no connection is accepted, requests in flight finish, and their answers carry `connection: close`.
pub async fn serve_callers(listener: TcpListener, service: CallerService, stop: CancellationToken) {
    let connections = TaskTracker::new();
    let places = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let accepting = async {
            let place = Arc::clone(&places).acquire_owned().await;
            (place, listener.accept().await)
        };
        let (place, accepted) = tokio::select! {
            accepted = accepting => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _from)) => {
                let connection = serve_connection(stream, service.clone(), stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!("caller listener: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(stream: TcpStream, service: CallerService, stop: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller connection: {error}");
        return;
    }
    let answering = service_fn(move |request| service.clone().answer(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(HEAD_LIMIT)
        .max_headers(HEADER_LIMIT)
        .serve_connection(TokioIo::new(stream), answering);
    let mut connection = std::pin::pin!(connection);
    // The stop is looked at first, so that an answer that becomes ready with it already carries `connection: close`.
    let served = tokio::select! {
        biased;
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        served = connection.as_mut() => served,
    };
    if let Err(error) = served {
        log::debug!("caller connection: {error}");
    }
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
