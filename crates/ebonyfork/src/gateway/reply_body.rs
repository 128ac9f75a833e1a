//! Body of an answer to a caller, either buffered whole or streamed while it arrives.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::gateway::clock::now;
use crate::gateway::policy::stream_bound::{StreamBound, StreamExcess};
use crate::gateway::stream_activity::AnswerDelivery;
use crate::gateway::upstream::{ActiveLink, Upstream};

/// Error that ends an answer early. It also closes the caller's connection, so that the caller can't take the answer
/// for complete.
type BodyError = Box<dyn Error + Send + Sync>;

/// Body of an answer to a caller.
#[derive(Debug)]
pub struct ReplyBody {
    content: BodyContent,
    /// Keeps the request in flight until the answer has been written.
    delivery: Option<AnswerDelivery>,
}

/// Bytes of an answer.
#[derive(Debug)]
enum BodyContent {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of the body, and the stream of the rest.
    Stream(Box<AnswerStream>),
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            content: BodyContent::Whole(bytes),
            delivery: None,
        }
    }
}

impl From<AnswerStream> for ReplyBody {
    fn from(stream: AnswerStream) -> Self {
        Self {
            content: BodyContent::Stream(Box::new(stream)),
            delivery: None,
        }
    }
}

impl ReplyBody {
    /// Keeps the request in flight until the answer has been written.
    pub fn hold_delivery(&mut self, delivery: AnswerDelivery) {
        self.delivery = Some(delivery);
    }

    /// Returns the time by which the caller must have read the body; `None` if it holds nothing but memory.
    pub fn read_by(&self) -> Option<Instant> {
        match &self.content {
            BodyContent::Whole(_) => None,
            BodyContent::Stream(stream) => Some(stream.bound.read_by()),
        }
    }

    /// Returns the length of a body that is buffered whole, in bytes.
    pub fn whole_bytes(&self) -> Option<usize> {
        match &self.content {
            BodyContent::Whole(bytes) => Some(bytes.len()),
            BodyContent::Stream(_) => None,
        }
    }

    /// Returns the part of the body that has been buffered.
    pub fn buffered_part(&self) -> &Bytes {
        match &self.content {
            BodyContent::Whole(bytes) => bytes,
            BodyContent::Stream(stream) => &stream.buffered_part,
        }
    }
}

/// Answer of an upstream whose rest is still arriving. Dropping it closes the upstream's connection, which also cancels
/// the work at the upstream.
pub struct AnswerStream {
    buffered_part: Bytes,
    rest: Incoming,
    /// Connection that carries the answer; `None` once it has been returned to the pool.
    link: Option<ActiveLink>,
    /// Whether the connection can be reused afterwards.
    reusable: bool,
    /// Idle timeout of the connection that the upstream has stated.
    keep_alive: Option<Duration>,
    upstream: Rc<Upstream>,
    bound: StreamBound,
    /// Ends when no more bytes are awaited.
    bound_timer: Pin<Box<Sleep>>,
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerStream")
            .field("upstream", &self.upstream.entry().instance)
            .finish_non_exhaustive()
    }
}

impl AnswerStream {
    /// Creates a stream that passes on `buffered_part`, then the rest as it arrives. Whatever exceeds the bound ends it
    /// with an error.
    pub fn new(
        (buffered_part, rest): (Bytes, Incoming),
        link: ActiveLink,
        upstream: &Rc<Upstream>,
        bound: StreamBound,
    ) -> Self {
        let await_until = tokio::time::Instant::from_std(bound.await_until());
        Self {
            buffered_part,
            rest,
            link: Some(link),
            reusable: false,
            keep_alive: None,
            upstream: Rc::clone(upstream),
            bound,
            bound_timer: Box::pin(tokio::time::sleep_until(await_until)),
        }
    }

    /// Returns the connection to the pool afterwards; `keep_alive` is the idle timeout that the upstream has stated.
    #[must_use]
    pub fn with_reuse(mut self, keep_alive: Option<Duration>) -> Self {
        self.reusable = true;
        self.keep_alive = keep_alive;
        self
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                if self.rest.is_end_stream() {
                    self.release_link();
                } else if let Some(excess) = self.bound.record(now(), bytes) {
                    return self.break_off(excess);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let instance = &self.upstream.entry().instance;
                log::info!(target: "ebonyfork::decision", "answer of {instance} ended early: {error}");
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.release_link();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.bound_timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                match self.bound.check_silence(now()) {
                    Some(excess) => self.break_off(excess),
                    None => Poll::Pending,
                }
            }
        }
    }

    /// Closes the upstream's connection and ends the answer with an error.
    fn break_off(&mut self, excess: StreamExcess) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.link = None;
        let instance = &self.upstream.entry().instance;
        let reason = excess.label();
        log::info!(target: "ebonyfork::decision", "answer of {instance} broken off: {reason}");
        Poll::Ready(Some(Err(reason.into())))
    }

    /// Returns the connection to the pool, since the answer is complete.
    fn release_link(&mut self) {
        if let Some(link) = self.link.take()
            && self.reusable
        {
            self.upstream.release(link, self.keep_alive);
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = &mut *self;
        let buffered_part = match &mut body.content {
            BodyContent::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            BodyContent::Whole(bytes) => bytes,
            BodyContent::Stream(stream) if stream.buffered_part.is_empty() => {
                let poll_result = stream.poll_rest(cx);
                if let (Poll::Ready(Some(Err(_))), Some(delivery)) = (&poll_result, &body.delivery)
                {
                    delivery.record_cut();
                }
                return poll_result;
            }
            BodyContent::Stream(stream) => &mut stream.buffered_part,
        };
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(buffered_part)))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            BodyContent::Whole(bytes) => bytes.is_empty(),
            BodyContent::Stream(stream) => {
                stream.buffered_part.is_empty() && stream.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered_bytes = self.buffered_part().len() as u64;
        match &self.content {
            BodyContent::Whole(_) => SizeHint::with_exact(buffered_bytes),
            BodyContent::Stream(stream) => match stream.rest.size_hint().exact() {
                Some(rest_bytes) => SizeHint::with_exact(buffered_bytes + rest_bytes),
                None => SizeHint::default(),
            },
        }
    }
}
