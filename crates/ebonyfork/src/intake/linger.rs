//! Orderly end of a connection whose caller is still sending.
//!
//! Closing a socket with unread bytes resets the connection, and the reset may take an answer with it that the caller has not
//! read. So what still arrives after a refusal is read and dropped, within limits.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Sleep;

/// Longest time for which a caller may go on sending after its answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are read and dropped: a body of the usual limit in chunks of one byte.
const LINGER_BYTES: usize = 2 << 20;

/// Reads and drops what still arrives on a connection that ends.
#[derive(Debug, Default)]
pub struct LingerRead {
    timer: Option<Pin<Box<Sleep>>>,
    bytes: usize,
}

impl LingerRead {
    /// Returns whether reading has begun.
    pub fn has_begun(&self) -> bool {
        self.timer.is_some()
    }

    /// Completes when the caller has closed its side, has failed, or has exceeded a limit.
    pub fn poll_end(
        &mut self,
        mut stream: Pin<&mut impl AsyncRead>,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER_TIME)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut space = [0; 4_096];
        while self.bytes < LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut space);
            if ready!(stream.as_mut().poll_read(cx, &mut buffer)).is_err() {
                return Poll::Ready(());
            }
            let read = buffer.filled().len();
            if read == 0 {
                return Poll::Ready(());
            }
            self.bytes += read;
        }
        Poll::Ready(())
    }
}
