//! Open connections of this process, and their orderly close in a planned shutdown.

use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

use crate::gateway::flight::{InFlightCount, InFlightGuard};

/// Time between two checks whether the peer has acknowledged everything. The kernel reports no event for it.
const DELIVERY_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Open connections. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct ConnectionDrain {
    open: InFlightCount,
    close_token: CancellationToken,
}

impl ConnectionDrain {
    /// Counts one more connection as open for as long as the returned guard lives.
    pub fn enter(&self) -> InFlightGuard {
        self.open.enter()
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Asks all connections to close once their current answers are written.
    pub fn close(&self) {
        self.close_token.cancel();
    }

    /// Waits until connections are to close.
    pub fn closing(&self) -> WaitForCancellationFuture<'_> {
        self.close_token.cancelled()
    }
}

/// Waits until the peer has acknowledged all that was sent on a connection. Received bytes stay unread, so that a request
/// that crosses the close counts as not read.
#[derive(Debug, Default)]
pub struct DeliveryWait {
    check_timer: Option<Pin<Box<Sleep>>>,
}

impl DeliveryWait {
    /// Completes when nothing is left to deliver on `stream`, or nothing can be delivered any more.
    pub fn poll_delivered(&mut self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        while unacknowledged_bytes(stream) > 0 {
            let timer = self
                .check_timer
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(DELIVERY_CHECK_PERIOD)));
            ready!(timer.as_mut().poll(cx));
            self.check_timer = None;
        }
        Poll::Ready(())
    }
}

/// Returns the number of bytes that the peer has not acknowledged; 0 if the connection has failed or the kernel does not
/// report the number.
fn unacknowledged_bytes(stream: &TcpStream) -> usize {
    if !matches!(stream.take_error(), Ok(None)) {
        return 0;
    }
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and the kernel writes one `int` to `bytes`.
    let status = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if status != 0 {
        let error = std::io::Error::last_os_error();
        log::debug!("unacknowledged bytes of a connection not known: {error}");
        return 0;
    }
    usize::try_from(bytes).unwrap_or_default()
}
