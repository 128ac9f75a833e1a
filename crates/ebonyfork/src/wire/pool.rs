//! All links of one process: opens them when first needed, accepts those of peers, reports what happens on them.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::ident::{SessionId, VmAddress};
use crate::traffic::LinkTraffic;
use crate::wire::link::{
    FrameReader, FrameWriter, LinkError, LinkSender, QUEUE_LIMIT, QueuedMessage, drain_queue,
    frame, read_one, shake_hands, write_queued,
};
use crate::wire::message::PeerMessage;

/// Longest time to open a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens on the links of a process.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the large variant is nearly every event"
)]
pub enum LinkEvent {
    /// A peer sent a message; replies go back by `from`.
    Message {
        /// The link it came by.
        from: LinkSender,
        /// The message.
        message: PeerMessage,
    },
    /// A link that this process opened is gone.
    Down {
        /// The peer's VM.
        vm: VmAddress,
        /// Messages that were never handed to the socket.
        unsent: VecDeque<PeerMessage>,
    },
}

/// A future that finishes when an event has been taken in; a slow receiver slows the link it comes from.
pub type EventFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
type EventHandler = dyn Fn(LinkEvent) -> EventFuture + Send + Sync;
type DelayFunction = dyn Fn(VmAddress) -> Duration + Send + Sync;

/// What a pool needs to know.
#[derive(Clone)]
pub struct PoolSettings {
    own: SessionId,
    peer_port: u16,
    delay: Arc<DelayFunction>,
}

impl fmt::Debug for PoolSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("PoolSettings");
        debug
            .field("own", &self.own)
            .field("peer_port", &self.peer_port)
            .finish_non_exhaustive()
    }
}

impl PoolSettings {
    /// Settings of a process; `peer_port` is the same on every VM.
    pub fn new(own: SessionId, peer_port: u16) -> Self {
        Self {
            own,
            peer_port,
            delay: Arc::new(|_vm| Duration::ZERO),
        }
    }

    /// Delays what is sent to each VM, as distance would. Only the measuring tool does this.
    #[must_use]
    pub fn with_delay(
        mut self,
        delay: impl Fn(VmAddress) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.delay = Arc::new(delay);
        self
    }
}

/// The links of one process. Cheap to clone.
#[derive(Clone)]
pub struct PeerPool {
    shared: Arc<PoolShared>,
}

struct PoolShared {
    settings: PoolSettings,
    handler: Box<EventHandler>,
    links: Mutex<FxHashMap<VmAddress, OpenedLink>>,
    stop: CancellationToken,
}

/// A link that this process opened.
struct OpenedLink {
    sender: LinkSender,
    closing: CancellationToken,
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
    /// Makes a pool that reports events to `handler`. Links end when `stop` is cancelled.
    pub fn new(
        settings: PoolSettings,
        stop: CancellationToken,
        handler: impl Fn(LinkEvent) -> EventFuture + Send + Sync + 'static,
    ) -> Self {
        let links = Mutex::default();
        let shared = PoolShared {
            settings,
            handler: Box::new(handler),
            links,
            stop,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends a message to a VM, opening a link if there is none. On an error it was not sent and never will be.
    /// A message taken in here comes back with [`LinkEvent::Down`] if the link breaks before it is written.
    pub fn send(&self, vm: VmAddress, message: PeerMessage) -> Result<(), LinkError> {
        let link = self.link(vm);
        link.send(message)
    }

    /// Counts what comes in on the link that this process has opened to a VM; none if there is no such link.
    pub fn traffic(&self, vm: VmAddress) -> Option<LinkTraffic> {
        let links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        links.get(&vm).map(|link| link.traffic.clone())
    }

    /// Accepts links of peers until the pool stops.
    pub async fn accept(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shared.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, from)) => {
                    tokio::spawn(self.clone().serve_accepted(stream, from));
                }
                Err(error) => {
                    log::warn!("peer listener: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Closes the links to VMs that are not wanted any more, such as failed ones: TCP alone notices a peer that went
    /// silent only after minutes. What waits on them comes back with [`LinkEvent::Down`].
    pub fn retain(&self, keeps: impl Fn(VmAddress) -> bool) {
        let mut links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        links.retain(|vm, link| {
            let kept = *vm == self.shared.settings.own.vm || keeps(*vm);
            if !kept {
                link.closing.cancel();
            }
            kept
        });
    }

    fn link(&self, vm: VmAddress) -> LinkSender {
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
        let closing = self.shared.stop.child_token();
        let traffic = LinkTraffic::default();
        links.insert(
            vm,
            OpenedLink {
                sender: sender.clone(),
                closing: closing.clone(),
                traffic: traffic.clone(),
            },
        );
        let pool = self.clone();
        if vm == self.shared.settings.own.vm {
            tokio::spawn(pool.serve_local(receiver));
        } else {
            tokio::spawn(pool.serve_opened(vm, receiver, closing, traffic));
        }
        sender
    }

    /// A link to this process itself: messages go straight to the handler, and so do the replies.
    async fn serve_local(self, mut queue: mpsc::Receiver<QueuedMessage>) {
        let (replies, mut replied) = mpsc::channel::<QueuedMessage>(QUEUE_LIMIT);
        let back = LinkSender {
            peer: Some(self.shared.settings.own),
            queue: replies,
        };
        let forward = async {
            while let Some(next) = queue.recv().await {
                let event = LinkEvent::Message {
                    from: back.clone(),
                    message: next.message,
                };
                (self.shared.handler)(event).await;
            }
        };
        let backward = async {
            while let Some(next) = replied.recv().await {
                let event = LinkEvent::Message {
                    from: back.clone(),
                    message: next.message,
                };
                (self.shared.handler)(event).await;
            }
        };
        tokio::select! {
            ((), ()) = async { tokio::join!(forward, backward) } => {}
            () = self.shared.stop.cancelled() => {}
        }
    }

    async fn serve_opened(
        self,
        vm: VmAddress,
        mut queue: mpsc::Receiver<QueuedMessage>,
        closing: CancellationToken,
        traffic: LinkTraffic,
    ) {
        let address = SocketAddr::new(vm.0, self.shared.settings.peer_port);
        let delay = (self.shared.settings.delay)(vm);
        let opened = tokio::time::timeout(OPEN_TIMEOUT, self.open(address, traffic)).await;
        let unsent = match opened {
            Ok(Ok((reader, writer, peer))) => {
                let (sender, _receiver) = mpsc::channel(1);
                let from = LinkSender {
                    peer: Some(peer),
                    queue: sender,
                };
                let writing = write_queued(vm, writer, queue, delay, closing.clone());
                self.run_link(reader, from, writing, closing).await
            }
            Ok(Err(error)) => {
                log::debug!("link to {vm}: {error}");
                drain_queue(&mut queue)
            }
            Err(_elapsed) => {
                log::debug!("link to {vm}: no answer within {OPEN_TIMEOUT:?}");
                drain_queue(&mut queue)
            }
        };
        (self.shared.handler)(LinkEvent::Down { vm, unsent }).await;
    }

    async fn open(
        &self,
        address: SocketAddr,
        traffic: LinkTraffic,
    ) -> Result<(FrameReader, FrameWriter, SessionId), LinkError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|source| LinkError::Socket { source })?;
        let (mut reader, mut writer) = frame(stream, traffic)?;
        let peer = shake_hands(&mut reader, &mut writer, self.shared.settings.own).await?;
        Ok((reader, writer, peer))
    }

    async fn serve_accepted(self, stream: TcpStream, from: SocketAddr) {
        let Ok((mut reader, mut writer)) = frame(stream, LinkTraffic::default()) else {
            return;
        };
        let shaking = shake_hands(&mut reader, &mut writer, self.shared.settings.own);
        let peer = match tokio::time::timeout(OPEN_TIMEOUT, shaking).await {
            Ok(Ok(peer)) => peer,
            Ok(Err(error)) => {
                log::warn!("link from {from} refused: {error}");
                return;
            }
            Err(_elapsed) => return,
        };
        let delay = (self.shared.settings.delay)(peer.vm);
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        let link = LinkSender {
            peer: Some(peer),
            queue: sender,
        };
        let closing = self.shared.stop.child_token();
        let writing = write_queued(peer.vm, writer, receiver, delay, closing.clone());
        self.run_link(reader, link, writing, closing).await;
    }

    /// Runs both directions until either ends; returns what was never handed to the socket.
    async fn run_link(
        &self,
        mut reader: FrameReader,
        from: LinkSender,
        writing: impl Future<Output = VecDeque<PeerMessage>>,
        closing: CancellationToken,
    ) -> VecDeque<PeerMessage> {
        let reading = async {
            tokio::select! {
                () = self.read_messages(&mut reader, &from) => {}
                () = closing.cancelled() => {}
            }
            closing.cancel();
        };
        let writing = async {
            let unsent = writing.await;
            closing.cancel();
            unsent
        };
        let ((), unsent) = tokio::join!(reading, writing);
        unsent
    }

    async fn read_messages(&self, reader: &mut FrameReader, from: &LinkSender) {
        loop {
            match read_one(reader).await {
                Ok(Some(message)) => {
                    let event = LinkEvent::Message {
                        from: from.clone(),
                        message,
                    };
                    (self.shared.handler)(event).await;
                }
                Ok(None) => return,
                Err(error) => {
                    log::debug!("link with {:?}: {error}", from.peer());
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
