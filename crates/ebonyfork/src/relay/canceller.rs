//! Tells an upstream which attempts are no longer wanted, on a dedicated connection, which is taken from the VM's
//! connection share.
//!
//! Best effort: if a cancellation does not reach the upstream in time, the attempt ends at its deadline.

use std::time::Duration;

use http::Method;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::ident::{AttemptId, UpstreamAddress};
use crate::relay::connection::{OpenConnection, UpstreamRoute, plain_request};

/// Maximum number of cancellations waiting to be sent to one upstream; further ones are dropped.
pub(super) const CANCEL_QUEUE_LIMIT: usize = 64;
/// Timeout of one cancellation, opening the connection included.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which the connection for cancellations is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Sends cancellations until the channel `attempts` closes.
pub(super) async fn run_canceller(route: UpstreamRoute, mut attempts: mpsc::Receiver<AttemptId>) {
    let mut connection = None;
    loop {
        let attempt = match timeout(IDLE_TIMEOUT, attempts.recv()).await {
            Ok(Some(attempt)) => attempt,
            Ok(None) => return,
            Err(_idle) => {
                connection = None;
                match attempts.recv().await {
                    Some(attempt) => attempt,
                    None => return,
                }
            }
        };
        let cancellation = cancel_attempt(route, connection.take(), attempt);
        connection = timeout(CANCEL_TIMEOUT, cancellation).await.ok().flatten();
    }
}

/// Cancels one attempt. Returns the connection if it can be reused.
async fn cancel_attempt(
    route: UpstreamRoute,
    connection: Option<OpenConnection>,
    attempt: AttemptId,
) -> Option<OpenConnection> {
    if let Some(mut connection) = connection
        && call_cancel(&mut connection, route.upstream, attempt).await
    {
        return Some(connection);
    }
    let mut connection = OpenConnection::connect(route).await?;
    let is_reusable = call_cancel(&mut connection, route.upstream, attempt).await;
    is_reusable.then_some(connection)
}

/// Sends one cancellation and returns whether the connection can be used again.
async fn call_cancel(
    connection: &mut OpenConnection,
    upstream: UpstreamAddress,
    attempt: AttemptId,
) -> bool {
    let path = format!("/v1/cancel/{attempt}");
    let Some(request) = plain_request(upstream, Method::POST, &path) else {
        return true;
    };
    connection.call(request).await.is_ok()
}
