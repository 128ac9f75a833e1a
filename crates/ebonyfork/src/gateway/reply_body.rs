//! Body of an answer to a caller, either buffered whole or streamed while it arrives.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

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
    /// Longest silence before the answer is given up.
    idle_timeout: Duration,
    silence_timer: Pin<Box<Sleep>>,
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerStream")
            .field("upstream", &self.upstream.entry().instance)
            .finish_non_exhaustive()
    }
}

impl AnswerStream {
    /// Creates a stream that passes on `buffered_part`, then the rest as it arrives. A silence of `idle_timeout` ends
    /// it with an error.
    pub fn new(
        (buffered_part, rest): (Bytes, Incoming),
        link: ActiveLink,
        upstream: &Rc<Upstream>,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            buffered_part,
            rest,
            link: Some(link),
            reusable: false,
            keep_alive: None,
            upstream: Rc::clone(upstream),
            idle_timeout,
            silence_timer: Box::pin(tokio::time::sleep(idle_timeout)),
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
                let silence_deadline = Instant::now() + self.idle_timeout;
                self.silence_timer.as_mut().reset(silence_deadline);
                if self.rest.is_end_stream() {
                    self.release_link();
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
                if self.silence_timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                let (instance, waited) = (&self.upstream.entry().instance, self.idle_timeout);
                log::info!(target: "ebonyfork::decision", "answer of {instance} given up: silent for {waited:?}");
                Poll::Ready(Some(Err(
                    "the upstream sent nothing within the idle timeout".into(),
                )))
            }
        }
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
        let buffered_part = match &mut self.content {
            BodyContent::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            BodyContent::Whole(bytes) => bytes,
            BodyContent::Stream(stream) if stream.buffered_part.is_empty() => {
                return stream.poll_rest(cx);
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
