//! Observes the bytes on a caller's connection. The HTTP library reports a request only once its head is complete, and
//! does not report when an answer is written.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use smallvec::SmallVec;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::gateway::caller_time::CallerDistance;
use crate::gateway::clock::now;
use crate::gateway::connection_drain::DeliveryWait;
use crate::gateway::core::ServiceState;
use crate::gateway::flight::InFlightGuard;
use crate::gateway::policy::answer_lag::AnswerLag;
use crate::gateway::policy::intake::IntakePhase;
use crate::intake::{IntakeSlot, LingerRead};

/// State of a caller's connection: whether it is idle, and the progress of its current request and answer.
#[derive(Debug)]
pub(super) struct StreamActivity {
    /// Place of the connection in the budget for callers.
    pub(super) slot: IntakeSlot,
    /// Network distance of the caller.
    pub(super) distance: CallerDistance,
    /// Whether no request has been received yet.
    pub(super) awaits_first_request: Cell<bool>,
    /// Whether a request is being answered; it is until the answer has been passed to the kernel.
    pub(super) is_answering: Cell<bool>,
    /// Time since which no request is being answered.
    pub(super) idle_since: Cell<Instant>,
    /// Time at which the first bytes of a request head were received, while it is incomplete.
    pub(super) head_started: Cell<Option<Instant>>,
    /// Time at which the gathered answer that is about to be written was decided on.
    pub(super) decided_at: Cell<Option<Instant>>,
    /// Time by which the caller must have read the answer; `None` if it needs no connection to an upstream.
    pub(super) read_by: Cell<Option<Instant>>,
    /// Whether the answer is cut, so that the caller must not take what it has for the whole. A caller of HTTP/1.0 can't
    /// see that from the end of the connection, which is therefore reset.
    pub(super) is_cut: Cell<bool>,
    /// Whether the last request was one of HTTP/1.0.
    pub(super) is_http_10: Cell<bool>,
    /// Time since which the caller has read nothing of an answer that is buffered whole; `None` if there is none.
    pub(super) unread_since: Cell<Option<Instant>>,
    /// Whether the body of the last request was not received to its end.
    pub(super) is_body_unread: Cell<bool>,
    /// Delays of this process between deciding on an answer and writing it.
    pub(super) answer_lag: Rc<RefCell<AnswerLag>>,
    /// Requests whose answers the HTTP library has taken and not yet passed to the kernel completely.
    pub(super) unwritten: RefCell<SmallVec<[InFlightGuard; 1]>>,
    /// Whether this process accepts requests or is about to stop.
    pub(super) state: Rc<Cell<ServiceState>>,
}

/// Keeps a request in flight until its answer has been passed to the kernel. The HTTP library drops it together with the
/// body, when it has taken the last bytes of the answer but may not have written them.
#[derive(Debug)]
pub struct AnswerDelivery {
    in_flight: Option<InFlightGuard>,
    activity: Rc<StreamActivity>,
}

impl AnswerDelivery {
    /// Creates the delivery of an answer on the connection that `activity` observes.
    pub(super) fn new(in_flight: InFlightGuard, activity: &Rc<StreamActivity>) -> Self {
        Self {
            in_flight: Some(in_flight),
            activity: Rc::clone(activity),
        }
    }

    /// Records that the answer breaks off.
    pub(super) fn record_cut(&self) {
        self.activity.is_cut.set(true);
    }
}

impl Drop for AnswerDelivery {
    fn drop(&mut self) {
        let in_flight = self.in_flight.take();
        self.activity.unwritten.borrow_mut().extend(in_flight);
    }
}

impl StreamActivity {
    /// Records that bytes have been received.
    pub(super) fn record_read(&self) {
        if !self.is_answering.get() && self.head_started.get().is_none() {
            let time = now();
            self.head_started.set(Some(time));
            self.slot.enter_phase(IntakePhase::Head, time);
        }
    }

    /// Records that all bytes that the HTTP library had taken have been passed to the kernel.
    pub(super) fn record_flushed(&self) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.is_empty() {
            return;
        }
        unwritten.clear();
        self.is_answering.set(false);
        self.unread_since.set(None);
        let time = now();
        self.idle_since.set(time);
        self.slot.finish_answer(time);
    }

    /// Records that bytes of an answer have been passed to the kernel.
    pub(super) fn record_written(&self) {
        let time = now();
        if self.unread_since.get().is_some() {
            self.unread_since.set(Some(time));
            self.slot.record_answer_progress(time);
        }
        let Some(decided_at) = self.decided_at.take() else {
            return;
        };
        let elapsed = time.saturating_duration_since(decided_at);
        self.answer_lag.borrow_mut().record_work(elapsed, time);
    }
}

/// Connection that records when bytes are received and sent.
#[derive(Debug)]
pub(super) struct ActivityStream {
    stream: TcpStream,
    activity: Rc<StreamActivity>,
    linger_read: LingerRead,
    delivery_wait: DeliveryWait,
}

impl ActivityStream {
    /// Wraps a connection.
    pub(super) fn new(stream: TcpStream, activity: Rc<StreamActivity>) -> Self {
        Self {
            stream,
            activity,
            linger_read: LingerRead::default(),
            delivery_wait: DeliveryWait::default(),
        }
    }

    fn record_write(&self, poll_result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(_)) = poll_result {
            self.activity.record_written();
        }
    }
}

impl Drop for ActivityStream {
    fn drop(&mut self) {
        if self.activity.is_cut.get()
            && self.activity.is_http_10.get()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("caller connection with a cut answer not reset: {error}");
        }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let poll_result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.activity.record_read();
        }
        poll_result
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll_result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&poll_result);
        poll_result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll_result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&poll_result);
        poll_result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.record_flushed();
        Poll::Ready(Ok(()))
    }

    /// Ends the sending direction, and reads on for a while if the caller is still sending a refused body. A process that is
    /// about to stop also waits until the caller has received everything.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = &mut *self;
        if stream.activity.is_cut.get() && stream.activity.is_http_10.get() {
            // The reset follows when the connection is dropped; an orderly end before it would look like that of the answer.
            return Poll::Ready(Ok(()));
        }
        ready!(Pin::new(&mut stream.stream).poll_shutdown(cx))?;
        if stream.activity.state.get() == ServiceState::Serving {
            if stream.activity.is_body_unread.get() {
                if !stream.linger_read.has_begun() {
                    let slot = &stream.activity.slot;
                    slot.enter_phase(IntakePhase::Closing, now());
                }
                let socket = Pin::new(&mut stream.stream);
                ready!(stream.linger_read.poll_end(socket, cx));
            }
            return Poll::Ready(Ok(()));
        }
        let delivered = stream.delivery_wait.poll_delivered(&stream.stream, cx);
        delivered.map(Ok)
    }
}
