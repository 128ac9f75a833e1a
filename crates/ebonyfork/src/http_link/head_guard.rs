//! Limits the bytes that a peer may send before the head of its answer is complete.
//!
//! The HTTP library limits a head, but not how many informational heads come before it: it skips these without end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Longest head of an answer, in bytes, with all informational heads before it. It is also the largest read buffer of a
/// connection, so that many broken upstreams don't fill the memory.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that a peer may still send before its head is complete. Clones share the count.
#[derive(Debug, Clone)]
pub(crate) struct HeadBudget {
    remaining_bytes: Arc<AtomicUsize>,
}

impl HeadBudget {
    fn new() -> Self {
        Self {
            remaining_bytes: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }

    /// Starts to count because a request is about to be sent.
    pub(crate) fn begin_head(&self) {
        self.remaining_bytes
            .store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Stops to count because the head is complete.
    pub(crate) fn end_head(&self) {
        self.remaining_bytes.store(usize::MAX, Ordering::Relaxed);
    }

    fn is_spent(&self) -> bool {
        self.remaining_bytes.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let remaining_bytes = self.remaining_bytes.load(Ordering::Relaxed);
        if remaining_bytes == usize::MAX {
            return;
        }
        let remaining_bytes = remaining_bytes.saturating_sub(bytes);
        self.remaining_bytes
            .store(remaining_bytes, Ordering::Relaxed);
    }
}

/// Connection that fails when its peer exceeds the budget for a head.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    budget: HeadBudget,
}

impl GuardedStream {
    /// Wraps a connection. Also returns its budget.
    pub(crate) fn new(stream: TcpStream) -> (Self, HeadBudget) {
        let budget = HeadBudget::new();
        let stream = Self {
            stream,
            budget: budget.clone(),
        };
        (stream, budget)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_spent() {
            let reason = format!("no complete head in {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.budget.spend(buf.filled().len() - filled_before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
