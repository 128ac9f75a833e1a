//! A single link: its sender handle, the handshake, and reading and writing of frames.

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
use crate::wire::frame::{FrameDecoder, FrameMemory};
use crate::wire::message::{LinkHello, PROTOCOL_VERSION, PeerMessage};

/// Maximum frame size, in bytes: fits a configuration part (1 MiB) with its envelope.
const MAX_FRAME_BYTES: usize = 2 << 20;
/// Maximum size of the first frame, in bytes, before the peer has said who it is.
const MAX_HELLO_BYTES: usize = 256;
/// Maximum number of messages queued for the writer of a link.
pub(super) const QUEUE_LIMIT: usize = 8_192;
/// A link is closed if a message takes longer than twice this from its first byte to its last. The longest one takes 1.2 s
/// at 14 Mbit/s.
const FRAME_PERIOD: Duration = Duration::from_secs(10);
/// A link is logged as slow when a message took longer than this from queueing to writing. At 14 Mbit/s that
/// corresponds to 0.4 MB queued before it, many times what queries and gossip put on a link.
const SLOW_LINK_THRESHOLD: Duration = Duration::from_millis(250);
/// Minimum time between two log lines about one slow link.
const SLOW_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a message can't be sent or a link can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LinkError {
    /// The link is closed.
    #[snafu(display("the link to {peer} is closed"))]
    Closed {
        /// Process incarnation of the peer; empty if not known yet.
        peer: String,
    },
    /// The queue of the link's writer is full.
    #[snafu(display("{QUEUE_LIMIT} messages wait for the link to {peer}"))]
    Full {
        /// Process incarnation of the peer; empty if not known yet.
        peer: String,
    },
    /// An operation on the socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A frame could not be decoded, or a message could not be encoded.
    #[snafu(display("malformed frame: {source}"))]
    Malformed {
        /// The underlying encoding error.
        source: postcard::Error,
    },
    /// The first message of the peer was not a `Hello` with the same [`PROTOCOL_VERSION`].
    #[snafu(display("expected a hello of protocol {PROTOCOL_VERSION}"))]
    Handshake,
    /// The peer did not complete a message in time.
    #[snafu(display("no complete message within {within:?}"))]
    Timeout {
        /// The timeout that was exceeded.
        within: Duration,
    },
}

/// A message that waits for the writer, with the time at which it was queued.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    pub(super) message: PeerMessage,
    pub(super) queued_at: Instant,
}

/// Sends messages on one link. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LinkSender {
    pub(super) peer: Option<SessionId>,
    pub(super) queue: mpsc::Sender<QueuedMessage>,
}

impl LinkSender {
    /// Returns the peer's process incarnation; none for the sender of a link that this process opened.
    pub fn peer(&self) -> Option<SessionId> {
        self.peer
    }

    /// Queues a message for the writer without waiting. On an error it was not sent and never will be.
    pub fn send(&self, message: PeerMessage) -> Result<(), LinkError> {
        let queued_message = QueuedMessage {
            message,
            queued_at: Instant::now(),
        };
        self.queue.try_send(queued_message).map_err(|error| {
            let peer = self.peer.map(|peer| peer.to_string()).unwrap_or_default();
            match error {
                mpsc::error::TrySendError::Full(_) => LinkError::Full { peer },
                mpsc::error::TrySendError::Closed(_) => LinkError::Closed { peer },
            }
        })
    }

    /// Returns whether both handles send on the same link. Messages on one link arrive in order or not at all.
    pub fn is_same(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Returns whether the link no longer accepts messages.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receiving half of a link.
pub(super) type FrameReader = FramedRead<CountedReader<OwnedReadHalf>, FrameDecoder>;
/// Sending half of a link.
pub(super) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Splits a connected socket into framed halves; `traffic` counts the bytes read. The first frame that is read may only be
/// as long as a `Hello`; `memory` bounds the others.
pub(super) fn framed_halves(
    stream: TcpStream,
    traffic: LinkTraffic,
    memory: FrameMemory,
) -> Result<(FrameReader, FrameWriter), LinkError> {
    stream
        .set_nodelay(true)
        .map_err(|source| LinkError::Socket { source })?;
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    let (read_half, write_half) = stream.into_split();
    let read_half = CountedReader::new(read_half, traffic);
    let reader = FramedRead::new(read_half, FrameDecoder::new(MAX_HELLO_BYTES, memory));
    Ok((reader, codec.new_write(write_half)))
}

/// Exchanges `Hello` messages and returns the peer's process incarnation.
pub(super) async fn exchange_hellos(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    own_session: SessionId,
) -> Result<SessionId, LinkError> {
    let hello = LinkHello {
        protocol: PROTOCOL_VERSION,
        session: own_session,
    };
    write_message(writer, &PeerMessage::Hello(hello)).await?;
    match read_message(reader).await? {
        Some(PeerMessage::Hello(hello)) if hello.protocol == PROTOCOL_VERSION => {
            reader.decoder_mut().set_max_frame(MAX_FRAME_BYTES);
            Ok(hello.session)
        }
        _ => Err(LinkError::Handshake),
    }
}

/// Reads the next message; returns none when the peer has closed the link.
async fn read_message(reader: &mut FrameReader) -> Result<Option<PeerMessage>, LinkError> {
    let Some(frame) = reader.next().await else {
        return Ok(None);
    };
    let frame = frame.map_err(|source| LinkError::Socket { source })?;
    let message = decode(&frame)?;
    Ok(Some(message))
}

/// Reads messages one after the other, and gives up on one that doesn't come to its end.
#[derive(Debug)]
pub(super) struct MessageReader {
    reader: FrameReader,
    /// Bytes that had been received, without those of complete messages, when the last message was complete.
    complete_bytes: u64,
    /// Whether a message was incomplete at the end of the last period.
    was_incomplete: bool,
}

impl MessageReader {
    pub(super) fn new(reader: FrameReader) -> Self {
        let mut reader = Self {
            reader,
            complete_bytes: 0,
            was_incomplete: false,
        };
        reader.record_complete();
        reader
    }

    fn record_complete(&mut self) {
        let buffered_bytes = self.reader.read_buffer().len() as u64;
        self.complete_bytes = self.reader.get_ref().received_bytes() - buffered_bytes;
        self.was_incomplete = false;
    }

    /// Reads the next message; returns none when the peer has closed the link.
    pub(super) async fn next(&mut self) -> Result<Option<PeerMessage>, LinkError> {
        loop {
            let read = tokio::time::timeout(FRAME_PERIOD, read_message(&mut self.reader));
            if let Ok(result) = read.await {
                self.record_complete();
                return result;
            }
            let is_incomplete = self.reader.get_ref().received_bytes() > self.complete_bytes;
            if is_incomplete && self.was_incomplete {
                return Err(LinkError::Timeout {
                    within: FRAME_PERIOD,
                });
            }
            self.was_incomplete = is_incomplete;
        }
    }
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

async fn write_message(writer: &mut FrameWriter, message: &PeerMessage) -> Result<(), LinkError> {
    let frame = encode(message)?;
    writer
        .send(frame)
        .await
        .map_err(|source| LinkError::Socket { source })
}

/// Writes queued messages until the queue closes, the socket fails or `close_token` is cancelled. Returns the messages
/// that were never passed to the socket, so that their sender can report them as unsent. With a `delay`, each message
/// is written that long after it was queued, with which the lab simulates network distance.
pub(super) async fn write_queued(
    peer: VmAddress,
    mut writer: FrameWriter,
    mut queue: mpsc::Receiver<QueuedMessage>,
    delay: Duration,
    close_token: CancellationToken,
) -> VecDeque<PeerMessage> {
    /// Maximum number of messages taken from the queue at a time.
    const MAX_BATCH: usize = 256;
    let mut pending_messages = VecDeque::with_capacity(MAX_BATCH);
    let mut batch = Vec::with_capacity(MAX_BATCH);
    let mut slow_log = SlowLog {
        peer,
        last_logged: None,
    };
    loop {
        let message_count = tokio::select! {
            message_count = queue.recv_many(&mut batch, MAX_BATCH) => message_count,
            () = close_token.cancelled() => 0,
        };
        if message_count == 0 {
            return collect_unsent(pending_messages, queue);
        }
        pending_messages.extend(batch.drain(..));
        let oldest_queued_at = pending_messages
            .front()
            .map(|queued_message| queued_message.queued_at);
        let write_succeeded = tokio::select! {
            write_succeeded = write_batch(&mut writer, &mut pending_messages, delay) => write_succeeded,
            () = close_token.cancelled() => false,
        };
        if !write_succeeded {
            return collect_unsent(pending_messages, queue);
        }
        slow_log.log_if_slow(oldest_queued_at, message_count, delay);
    }
}

/// Logs when a link is slow, at most once per [`SLOW_LOG_INTERVAL`].
struct SlowLog {
    peer: VmAddress,
    /// When the last line was logged.
    last_logged: Option<Instant>,
}

impl SlowLog {
    /// Logs the link as slow if `oldest_queued_at`, when the oldest message of a batch was queued, is too long ago.
    fn log_if_slow(&mut self, oldest_queued_at: Option<Instant>, messages: usize, delay: Duration) {
        let wait_time = oldest_queued_at
            .map(|queued_at| queued_at.elapsed())
            .unwrap_or_default();
        let is_recent = |logged_at: Instant| logged_at.elapsed() < SLOW_LOG_INTERVAL;
        if wait_time < SLOW_LINK_THRESHOLD + delay || self.last_logged.is_some_and(is_recent) {
            return;
        }
        self.last_logged = Some(Instant::now());
        log::info!(
            target: "ebonyfork::decision",
            "link slow vm={} waited_ms={} messages={messages}",
            self.peer, wait_time.as_millis()
        );
    }
}

/// Writes a batch and flushes once. A message is removed from `pending_messages` before any of it reaches the socket,
/// so that those that remain were certainly never sent. Returns false if the socket has failed.
async fn write_batch(
    writer: &mut FrameWriter,
    pending_messages: &mut VecDeque<QueuedMessage>,
    delay: Duration,
) -> bool {
    while let Some(queued_message) = pending_messages.front() {
        let send_at = queued_message.queued_at + delay;
        if !delay.is_zero() && send_at > Instant::now() {
            if flush_frames(writer).await.is_err() {
                return false;
            }
            tokio::time::sleep_until(send_at).await;
        }
        let Some(queued_message) = pending_messages.pop_front() else {
            break;
        };
        // Encoding fails again on every attempt, so the message is dropped.
        let Ok(frame) = encode(&queued_message.message) else {
            continue;
        };
        if writer.feed(frame).await.is_err() {
            return false;
        }
    }
    flush_frames(writer).await.is_ok()
}

/// Returns the messages that were never passed to the socket: those in `pending_messages`, then those in the queue.
fn collect_unsent(
    pending_messages: VecDeque<QueuedMessage>,
    mut queue: mpsc::Receiver<QueuedMessage>,
) -> VecDeque<PeerMessage> {
    let mut unsent_messages: VecDeque<PeerMessage> = pending_messages
        .into_iter()
        .map(|queued_message| queued_message.message)
        .collect();
    unsent_messages.extend(drain_queue(&mut queue));
    unsent_messages
}

/// Closes a queue and returns the messages in it. Later attempts to send return an error.
pub(super) fn drain_queue(queue: &mut mpsc::Receiver<QueuedMessage>) -> VecDeque<PeerMessage> {
    queue.close();
    let mut unsent_messages = VecDeque::new();
    while let Ok(queued_message) = queue.try_recv() {
        unsent_messages.push_back(queued_message.message);
    }
    unsent_messages
}
