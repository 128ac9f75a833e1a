//! One established link: a sender handle, and the loops that write and read frames.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::ident::{SessionId, VmAddress};
use crate::traffic::{CountedReader, LinkTraffic};
use crate::wire::message::{LinkHello, PROTOCOL_VERSION, PeerMessage};

/// Largest frame, in bytes: a configuration part (1 MiB) with room for its envelope.
const FRAME_LIMIT: usize = 2 << 20;
/// Messages that may wait for a link's writer.
pub(super) const QUEUE_LIMIT: usize = 8_192;
/// A message that has left later than this after it was handed over shows in the log: at 14 Mbit/s it is 0.4 MB that
/// waited before it, many times what queries and gossip put on a link.
const SLOW_WAIT: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about one slow link.
const SLOW_LOG_SPACING: Duration = Duration::from_secs(1);

/// Why a message can't be sent, or a link can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LinkError {
    /// The link is closed.
    #[snafu(display("the link to {peer} is closed"))]
    Closed {
        /// The peer, as far as known.
        peer: String,
    },
    /// Too many messages wait for the link's writer.
    #[snafu(display("{QUEUE_LIMIT} messages wait for the link to {peer}"))]
    Full {
        /// The peer, as far as known.
        peer: String,
    },
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// The cause.
        source: std::io::Error,
    },
    /// A frame did not hold a message.
    #[snafu(display("malformed frame: {source}"))]
    Malformed {
        /// The cause.
        source: postcard::Error,
    },
    /// The peer did not start with a `Hello` of our protocol version.
    #[snafu(display("expected a hello of protocol {PROTOCOL_VERSION}"))]
    Handshake,
    /// The peer did not answer in time.
    #[snafu(display("no answer within {within:?}"))]
    Timeout {
        /// The time that was allowed.
        within: Duration,
    },
}

/// A message that waits for the writer, with the time it was handed over.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    pub(super) message: PeerMessage,
    pub(super) queued: Instant,
}

/// Sends messages on one link. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LinkSender {
    pub(super) peer: Option<SessionId>,
    pub(super) queue: mpsc::Sender<QueuedMessage>,
}

impl LinkSender {
    /// The peer's process incarnation; none on a link that is still being opened.
    pub fn peer(&self) -> Option<SessionId> {
        self.peer
    }

    /// Hands a message to the writer without waiting. On an error it was not sent and never will be.
    pub fn send(&self, message: PeerMessage) -> Result<(), LinkError> {
        let queued = QueuedMessage {
            message,
            queued: Instant::now(),
        };
        self.queue.try_send(queued).map_err(|error| {
            let peer = self.peer.map(|peer| peer.to_string()).unwrap_or_default();
            match error {
                mpsc::error::TrySendError::Full(_) => LinkError::Full { peer },
                mpsc::error::TrySendError::Closed(_) => LinkError::Closed { peer },
            }
        })
    }

    /// Tells whether both send on the same link: what is sent on it arrives in order or not at all.
    pub fn is_same(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Tells whether the link can no longer send.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

pub(super) type FrameReader = FramedRead<CountedReader<OwnedReadHalf>, LengthDelimitedCodec>;
pub(super) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Splits a connected socket into framed halves; what is read is counted.
pub(super) fn frame(
    stream: TcpStream,
    traffic: LinkTraffic,
) -> Result<(FrameReader, FrameWriter), LinkError> {
    stream
        .set_nodelay(true)
        .map_err(|source| LinkError::Socket { source })?;
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(FRAME_LIMIT);
    let (read, write) = stream.into_split();
    let read = CountedReader::new(read, traffic);
    Ok((codec.new_read(read), codec.new_write(write)))
}

/// Exchanges hellos and returns the peer's session.
pub(super) async fn shake_hands(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    own: SessionId,
) -> Result<SessionId, LinkError> {
    let hello = LinkHello {
        protocol: PROTOCOL_VERSION,
        session: own,
    };
    write_one(writer, &PeerMessage::Hello(hello)).await?;
    match read_one(reader).await? {
        Some(PeerMessage::Hello(hello)) if hello.protocol == PROTOCOL_VERSION => Ok(hello.session),
        _ => Err(LinkError::Handshake),
    }
}

/// Reads the next message; none when the peer has closed the link.
pub(super) async fn read_one(reader: &mut FrameReader) -> Result<Option<PeerMessage>, LinkError> {
    let Some(frame) = reader.next().await else {
        return Ok(None);
    };
    let frame = frame.map_err(|source| LinkError::Socket { source })?;
    let message = decode(&frame)?;
    Ok(Some(message))
}

fn decode(frame: &BytesMut) -> Result<PeerMessage, LinkError> {
    postcard::from_bytes(frame).map_err(|source| LinkError::Malformed { source })
}

fn encode(message: &PeerMessage) -> Result<Bytes, LinkError> {
    let bytes = postcard::to_stdvec(message).map_err(|source| LinkError::Malformed { source })?;
    Ok(bytes.into())
}

async fn flush_frames(writer: &mut FrameWriter) -> Result<(), std::io::Error> {
    SinkExt::<Bytes>::flush(writer).await
}

async fn write_one(writer: &mut FrameWriter, message: &PeerMessage) -> Result<(), LinkError> {
    let frame = encode(message)?;
    writer
        .send(frame)
        .await
        .map_err(|source| LinkError::Socket { source })
}

/// Writes queued messages until the queue closes, the socket fails or `closing` is cancelled; returns those that were
/// never handed to the socket, so that their sender can truthfully say so. With a `delay`, each message leaves that
/// long after it was queued: the measuring tool's stand-in for distance.
pub(super) async fn write_queued(
    peer: VmAddress,
    mut writer: FrameWriter,
    mut queue: mpsc::Receiver<QueuedMessage>,
    delay: Duration,
    closing: CancellationToken,
) -> VecDeque<PeerMessage> {
    const BATCH: usize = 256;
    let mut waiting = VecDeque::with_capacity(BATCH);
    let mut batch = Vec::with_capacity(BATCH);
    let mut slow_log = SlowLog { peer, last: None };
    loop {
        let received = tokio::select! {
            received = queue.recv_many(&mut batch, BATCH) => received,
            () = closing.cancelled() => 0,
        };
        if received == 0 {
            return give_back(waiting, queue);
        }
        waiting.extend(batch.drain(..));
        let oldest = waiting.front().map(|next| next.queued);
        let written = tokio::select! {
            written = write_batch(&mut writer, &mut waiting, delay) => written,
            () = closing.cancelled() => false,
        };
        if !written {
            return give_back(waiting, queue);
        }
        slow_log.note(oldest, received, delay);
    }
}

/// Says in the log that messages wait long for a link, but not too often.
struct SlowLog {
    peer: VmAddress,
    last: Option<Instant>,
}

impl SlowLog {
    fn note(&mut self, oldest: Option<Instant>, messages: usize, delay: Duration) {
        let waited = oldest.map(|queued| queued.elapsed()).unwrap_or_default();
        let recent = |last: Instant| last.elapsed() < SLOW_LOG_SPACING;
        if waited < SLOW_WAIT + delay || self.last.is_some_and(recent) {
            return;
        }
        self.last = Some(Instant::now());
        log::info!(
            target: "ebonyfork::decision",
            "link slow vm={} waited_ms={} messages={messages}",
            self.peer, waited.as_millis()
        );
    }
}

/// Writes a batch and flushes once. A message leaves `waiting` before the socket sees any of it, so that what stays
/// behind was provably never sent. Returns false when the socket has failed.
async fn write_batch(
    writer: &mut FrameWriter,
    waiting: &mut VecDeque<QueuedMessage>,
    delay: Duration,
) -> bool {
    while let Some(next) = waiting.front() {
        let leaves = next.queued + delay;
        if !delay.is_zero() && leaves > Instant::now() {
            if flush_frames(writer).await.is_err() {
                return false;
            }
            tokio::time::sleep_until(leaves).await;
        }
        let Some(next) = waiting.pop_front() else {
            break;
        };
        // A message that can't be encoded was never sent; dropping it is the only choice left.
        let Ok(frame) = encode(&next.message) else {
            continue;
        };
        if writer.feed(frame).await.is_err() {
            return false;
        }
    }
    flush_frames(writer).await.is_ok()
}

fn give_back(
    waiting: VecDeque<QueuedMessage>,
    mut queue: mpsc::Receiver<QueuedMessage>,
) -> VecDeque<PeerMessage> {
    let mut unsent: VecDeque<PeerMessage> = waiting.into_iter().map(|next| next.message).collect();
    unsent.extend(drain_queue(&mut queue));
    unsent
}

/// Closes a queue and returns what waits in it: a sender that comes later gets an error instead.
pub(super) fn drain_queue(queue: &mut mpsc::Receiver<QueuedMessage>) -> VecDeque<PeerMessage> {
    queue.close();
    let mut unsent = VecDeque::new();
    while let Ok(next) = queue.try_recv() {
        unsent.push_back(next.message);
    }
    unsent
}
