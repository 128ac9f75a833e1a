//! Pool of the links of one process: opens links on demand, accepts links of peers and reports link events.

use std::borrow::Borrow;
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::gateway::{IntakeBudget, IntakePhase};
use crate::ident::{SessionId, VmAddress};
use crate::intake::{IntakeSlot, IntakeTable};
use crate::panic_reason::panic_reason;
use crate::traffic::LinkTraffic;
use crate::wire::frame::FrameMemory;
use crate::wire::link::{
    FrameReader, FrameWriter, LinkError, LinkSender, MessageReader, QUEUE_LIMIT, QueuedMessage,
    drain_queue, exchange_hellos, framed_halves, write_queued,
};
use crate::wire::message::PeerMessage;

/// Timeout for connecting and exchanging `Hello` messages.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// An event on a link.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the large variant is nearly every event"
)]
pub enum LinkEvent {
    /// A message arrived from a peer; replies are sent through `from`.
    Message {
        /// The link on which the message arrived.
        from: LinkSender,
        /// The received message.
        message: PeerMessage,
    },
    /// A link that this process opened has closed, or could not be opened.
    Down {
        /// VM of the peer.
        vm: VmAddress,
        /// Queued messages that were never passed to the socket.
        unsent: VecDeque<PeerMessage>,
    },
}

/// Future that completes when an event has been handled. The link is not read further until then.
pub type EventFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
/// Callback for link events.
type EventHandler = dyn Fn(LinkEvent) -> EventFuture + Send + Sync;
/// Returns the simulated one-way delay to a VM.
type DelayFunction = dyn Fn(VmAddress) -> Duration + Send + Sync;

/// Settings of a [`PeerPool`].
#[derive(Clone)]
pub struct PoolSettings {
    own_session: SessionId,
    peer_port: u16,
    delay: Arc<DelayFunction>,
    budget: IntakeBudget,
}

impl fmt::Debug for PoolSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("PoolSettings");
        debug
            .field("own", &self.own_session)
            .field("peer_port", &self.peer_port)
            .finish_non_exhaustive()
    }
}

impl PoolSettings {
    /// Creates the settings of process `own_session`; `peer_port` is the same on every VM.
    pub fn new(own_session: SessionId, peer_port: u16) -> Self {
        Self {
            own_session,
            peer_port,
            delay: Arc::new(|_vm| Duration::ZERO),
            budget: IntakeBudget::unlimited(),
        }
    }

    /// Bounds the links that peers open, and the memory for their incomplete messages.
    #[must_use]
    pub fn with_budget(mut self, budget: IntakeBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Delays the messages to each VM, to simulate network distance. Only the lab uses this.
    #[must_use]
    pub fn with_delay(
        mut self,
        delay: impl Fn(VmAddress) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.delay = Arc::new(delay);
        self
    }
}

/// Pool of the links of one process. Cheap to clone.
#[derive(Clone)]
pub struct PeerPool {
    shared: Arc<PoolShared>,
}

/// State shared by all clones of a [`PeerPool`].
struct PoolShared {
    settings: PoolSettings,
    handler: Box<EventHandler>,
    /// Links that this process has opened, by peer.
    links: Mutex<FxHashMap<VmAddress, OpenedLink>>,
    /// Links that peers have opened.
    accepted: IntakeTable,
    /// Memory for incomplete messages.
    frame_memory: FrameMemory,
    /// Closes all links when cancelled.
    stop: CancellationToken,
}

/// Connection of a peer that has not said yet who it is, with its place among the accepted links.
struct AcceptedLink {
    stream: TcpStream,
    slot: IntakeSlot,
}

/// A link that this process opened.
struct OpenedLink {
    sender: LinkSender,
    /// Closes the link when cancelled.
    close_token: CancellationToken,
    traffic: LinkTraffic,
}

impl fmt::Debug for PeerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerPool")
            .field("settings", &self.shared.settings)
            .finish_non_exhaustive()
    }
}

impl PeerPool {
    /// Creates a pool that passes link events to `handler`. All links close when `stop` is cancelled.
    pub fn new(
        settings: PoolSettings,
        stop: CancellationToken,
        handler: impl Fn(LinkEvent) -> EventFuture + Send + Sync + 'static,
    ) -> Self {
        let links = Mutex::default();
        let shared = PoolShared {
            accepted: IntakeTable::new(settings.budget.for_peers()),
            frame_memory: FrameMemory::new(settings.budget.peer_bytes),
            settings,
            handler: Box::new(handler),
            links,
            stop,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends a message to a VM, opening a link if there is none. On an error the message was not sent and never will
    /// be. A message accepted here is returned in [`LinkEvent::Down`] if the link breaks before it is written.
    pub fn send(&self, vm: VmAddress, message: PeerMessage) -> Result<(), LinkError> {
        let link = self.link_to(vm);
        link.send(message)
    }

    /// Returns the traffic counter of the link that this process has opened to a VM; none if there is no such link.
    pub fn traffic(&self, vm: VmAddress) -> Option<LinkTraffic> {
        let links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        links.get(&vm).map(|link| link.traffic.clone())
    }

    /// Accepts links from peers until the pool stops.
    pub async fn accept(&self, listener: impl Borrow<TcpListener>) {
        loop {
            let accept_result = tokio::select! {
                accept_result = listener.borrow().accept() => accept_result,
                () = self.shared.stop.cancelled() => return,
            };
            match accept_result {
                Ok((stream, peer_address)) => {
                    // The link that has waited longest for a hello gives way to a new one.
                    let Some(slot) = self.shared.accepted.admit(0).await else {
                        log::warn!("link from {peer_address} refused: too many links");
                        continue;
                    };
                    let link = AcceptedLink { stream, slot };
                    tokio::spawn(self.clone().serve_accepted(link, peer_address));
                }
                Err(error) => {
                    log::warn!("failed to accept a peer link: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Closes the links to VMs for which `is_wanted` returns false, such as failed ones: TCP alone detects a silent
    /// peer only after minutes. Their queued messages are returned in [`LinkEvent::Down`].
    pub fn retain(&self, is_wanted: impl Fn(VmAddress) -> bool) {
        let mut links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        links.retain(|vm, link| {
            let keeps_link = *vm == self.shared.settings.own_session.vm || is_wanted(*vm);
            if !keeps_link {
                link.close_token.cancel();
            }
            keeps_link
        });
    }

    /// Returns the open link to a VM, or starts opening one.
    fn link_to(&self, vm: VmAddress) -> LinkSender {
        let mut links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&vm)
            && !link.sender.is_closed()
        {
            return link.sender.clone();
        }
        let (queue, receiver) = mpsc::channel(QUEUE_LIMIT);
        let sender = LinkSender { peer: None, queue };
        let close_token = self.shared.stop.child_token();
        let traffic = LinkTraffic::default();
        links.insert(
            vm,
            OpenedLink {
                sender: sender.clone(),
                close_token: close_token.clone(),
                traffic: traffic.clone(),
            },
        );
        let pool = self.clone();
        if vm == self.shared.settings.own_session.vm {
            tokio::spawn(pool.serve_local(receiver));
        } else {
            tokio::spawn(pool.serve_opened(vm, receiver, close_token, traffic));
        }
        sender
    }

    /// Serves the link of this process to itself: passes messages and replies directly to the handler.
    async fn serve_local(self, mut queue: mpsc::Receiver<QueuedMessage>) {
        let (reply_queue, mut reply_receiver) = mpsc::channel::<QueuedMessage>(QUEUE_LIMIT);
        let reply_sender = LinkSender {
            peer: Some(self.shared.settings.own_session),
            queue: reply_queue,
        };
        let handle_requests = async {
            while let Some(next) = queue.recv().await {
                let event = LinkEvent::Message {
                    from: reply_sender.clone(),
                    message: next.message,
                };
                (self.shared.handler)(event).await;
            }
        };
        let handle_replies = async {
            while let Some(next) = reply_receiver.recv().await {
                let event = LinkEvent::Message {
                    from: reply_sender.clone(),
                    message: next.message,
                };
                (self.shared.handler)(event).await;
            }
        };
        tokio::select! {
            ((), ()) = async { tokio::join!(handle_requests, handle_replies) } => {}
            () = self.shared.stop.cancelled() => {}
        }
    }

    /// Runs a link to a VM until it closes, and reports [`LinkEvent::Down`], also after a panic: whoever waits for an
    /// answer over the link has to learn that none will come.
    async fn serve_opened(
        self,
        vm: VmAddress,
        queue: mpsc::Receiver<QueuedMessage>,
        close_token: CancellationToken,
        traffic: LinkTraffic,
    ) {
        let run = self.run_opened(vm, queue, close_token, traffic);
        let result = AssertUnwindSafe(run).catch_unwind().await;
        let unsent = result.unwrap_or_else(|payload| {
            log::error!("link to {vm} ended: {}", panic_reason(&*payload));
            VecDeque::new()
        });
        (self.shared.handler)(LinkEvent::Down { vm, unsent }).await;
    }

    /// Opens a link to a VM and runs it until it closes. Returns the messages that were never passed to the socket.
    async fn run_opened(
        &self,
        vm: VmAddress,
        mut queue: mpsc::Receiver<QueuedMessage>,
        close_token: CancellationToken,
        traffic: LinkTraffic,
    ) -> VecDeque<PeerMessage> {
        let address = SocketAddr::new(vm.0, self.shared.settings.peer_port);
        let delay = (self.shared.settings.delay)(vm);
        let open_result = tokio::time::timeout(OPEN_TIMEOUT, self.open(address, traffic)).await;
        match open_result {
            Ok(Ok((reader, writer, peer))) => {
                let (sender, _receiver) = mpsc::channel(1);
                let reply_sender = LinkSender {
                    peer: Some(peer),
                    queue: sender,
                };
                let writer_future = write_queued(vm, writer, queue, delay, close_token.clone());
                self.run_link(reader, reply_sender, writer_future, close_token)
                    .await
            }
            Ok(Err(error)) => {
                log::debug!("failed to open a link to {vm}: {error}");
                drain_queue(&mut queue)
            }
            Err(_elapsed) => {
                log::debug!("failed to open a link to {vm}: no answer within {OPEN_TIMEOUT:?}");
                drain_queue(&mut queue)
            }
        }
    }

    /// Connects to a peer and exchanges `Hello` messages.
    async fn open(
        &self,
        address: SocketAddr,
        traffic: LinkTraffic,
    ) -> Result<(FrameReader, FrameWriter, SessionId), LinkError> {
        let connect_result = TcpStream::connect(address).await;
        let stream = connect_result.map_err(|source| LinkError::Socket { source })?;
        let memory = self.shared.frame_memory.clone();
        let (mut reader, mut writer) = framed_halves(stream, traffic, memory)?;
        let peer =
            exchange_hellos(&mut reader, &mut writer, self.shared.settings.own_session).await?;
        Ok((reader, writer, peer))
    }

    /// Runs a link that a peer has opened, until it closes.
    async fn serve_accepted(self, link: AcceptedLink, peer_address: SocketAddr) {
        let AcceptedLink { stream, slot } = link;
        let memory = self.shared.frame_memory.clone();
        let halves = framed_halves(stream, LinkTraffic::default(), memory);
        let Ok((mut reader, mut writer)) = halves else {
            return;
        };
        let handshake = exchange_hellos(&mut reader, &mut writer, self.shared.settings.own_session);
        let handshake = tokio::time::timeout(OPEN_TIMEOUT, handshake);
        let result = tokio::select! {
            result = handshake => result,
            () = slot.close_requested() => return,
        };
        let peer = match result {
            Ok(Ok(peer)) => peer,
            Ok(Err(error)) => {
                log::warn!("link from {peer_address} refused: {error}");
                return;
            }
            Err(_elapsed) => return,
        };
        slot.enter_phase(IntakePhase::Running, Instant::now().into_std());
        let delay = (self.shared.settings.delay)(peer.vm);
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        let link = LinkSender {
            peer: Some(peer),
            queue: sender,
        };
        let close_token = self.shared.stop.child_token();
        let writer_future = write_queued(peer.vm, writer, receiver, delay, close_token.clone());
        self.run_link(reader, link, writer_future, close_token)
            .await;
    }

    /// Reads and writes until either ends; returns the messages that were never passed to the socket.
    async fn run_link(
        &self,
        reader: FrameReader,
        reply_sender: LinkSender,
        writer_future: impl Future<Output = VecDeque<PeerMessage>>,
        close_token: CancellationToken,
    ) -> VecDeque<PeerMessage> {
        let reader_future = async {
            tokio::select! {
                () = self.read_messages(MessageReader::new(reader), &reply_sender) => {}
                () = close_token.cancelled() => {}
            }
            close_token.cancel();
        };
        let writer_future = async {
            let unsent = writer_future.await;
            close_token.cancel();
            unsent
        };
        let ((), unsent) = tokio::join!(reader_future, writer_future);
        unsent
    }

    /// Passes received messages to the handler until the link closes or fails.
    async fn read_messages(&self, mut reader: MessageReader, reply_sender: &LinkSender) {
        loop {
            match reader.next().await {
                Ok(Some(message)) => {
                    let event = LinkEvent::Message {
                        from: reply_sender.clone(),
                        message,
                    };
                    (self.shared.handler)(event).await;
                }
                Ok(None) => return,
                Err(error) => {
                    log::debug!(
                        "failed to read from the link to {:?}: {error}",
                        reply_sender.peer()
                    );
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
