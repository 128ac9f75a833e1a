//! A caller's connection whose bytes are noticed: the HTTP library tells of a request only once its head is whole, and
//! nothing of when an answer is written.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::gateway::caller_time::CallerDistance;
use crate::gateway::clock::now;
use crate::gateway::policy::answer_lag::AnswerLag;

/// What a caller's connection is doing: whether it is in use, since when not, how far its request and answer have come.
#[derive(Debug)]
pub(super) struct StreamActivity {
    /// How far away the caller is.
    pub(super) distance: CallerDistance,
    /// Whether no request has come yet.
    pub(super) new: Cell<bool>,
    /// Whether a request is being answered.
    pub(super) busy: Cell<bool>,
    /// Since when none is.
    pub(super) since: Cell<Instant>,
    /// Since when a request's head has been coming in.
    pub(super) head_since: Cell<Option<Instant>>,
    /// When the gathered answer was decided on that is about to be written.
    pub(super) decided: Cell<Option<Instant>>,
    /// How late answers are after the decision on them.
    pub(super) lag: Rc<RefCell<AnswerLag>>,
}

impl StreamActivity {
    /// Notes that bytes have come in.
    pub(super) fn note_bytes(&self) {
        if !self.busy.get() && self.head_since.get().is_none() {
            self.head_since.set(Some(now()));
        }
    }

    /// Notes that an answer has been given to the kernel.
    pub(super) fn note_written(&self) {
        let Some(decided) = self.decided.take() else {
            return;
        };
        let time = now();
        let took = time.saturating_duration_since(decided);
        self.lag.borrow_mut().record_work(took, time);
    }
}

/// A connection that notes when bytes come in and go out.
#[derive(Debug)]
pub(super) struct ActivityStream {
    stream: TcpStream,
    activity: Rc<StreamActivity>,
}

impl ActivityStream {
    /// Watches a connection.
    pub(super) fn new(stream: TcpStream, activity: Rc<StreamActivity>) -> Self {
        Self { stream, activity }
    }

    fn note_write(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(_)) = polled {
            self.activity.note_written();
        }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.note_bytes();
        }
        polled
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(&polled);
        polled
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
