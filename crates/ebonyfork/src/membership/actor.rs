//! Runs the protocol: owns the socket and the clock, writes the decision lines, publishes snapshots.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use prometheus_client::registry::Registry;
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::membership::event::{MemberEvent, OutgoingDatagram, SnapshotChange};
use crate::membership::message::DATAGRAM_LIMIT;
use crate::membership::metrics::{MemberCollector, MemberFigures};
use crate::membership::protocol::MemberProtocol;
use crate::membership::snapshot::{GossipNotice, MemberDigest, MemberSnapshot};
use crate::membership::timing::TICK_PERIOD;

/// Datagrams handed to the actor in one message.
const READ_BATCH: usize = 32;
/// Ticks between two snapshots of which only digests differ.
const DIGEST_PUBLISH_TICKS: u32 = 10;
/// Members for which one more tick passes between two snapshots: making one takes time for each.
const PUBLISH_TICK_MEMBERS: usize = 500;
/// Notices that wait for a slow reader.
const NOTICE_QUEUE: usize = 256;

type DelayFunction = dyn Fn(VmAddress) -> Duration + Send + Sync;

/// What membership needs to know.
#[derive(Clone)]
pub struct MemberSettings {
    own: SessionId,
    zone: ZoneName,
    peer_port: u16,
    seed: u64,
    deployment: u32,
    delay: Option<Arc<DelayFunction>>,
}

impl fmt::Debug for MemberSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("MemberSettings");
        debug.field("own", &self.own).field("zone", &self.zone);
        debug.field("peer_port", &self.peer_port);
        debug.finish_non_exhaustive()
    }
}

impl MemberSettings {
    /// Settings of the process `own`; `peer_port` is the same on every VM; `seed` feeds the random choices.
    pub fn new(own: SessionId, zone: ZoneName, peer_port: u16, seed: u64) -> Self {
        Self {
            own,
            zone,
            peer_port,
            seed,
            deployment: 0,
            delay: None,
        }
    }

    /// Names the deployment: datagrams of another one are dropped.
    #[must_use]
    pub fn with_deployment(mut self, deployment: u32) -> Self {
        self.deployment = deployment;
        self
    }

    /// Delays what is sent to each VM, as distance would. Only the measuring tool does this.
    #[must_use]
    pub fn with_delay(
        mut self,
        delay: impl Fn(VmAddress) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.delay = Some(Arc::new(delay));
        self
    }
}

/// Membership as it runs. Cheap to clone; it stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct MemberHandle {
    actor: Address<MemberActor>,
    snapshot: watch::Receiver<Arc<MemberSnapshot>>,
    notices: broadcast::WeakSender<GossipNotice>,
    figures: Arc<Mutex<MemberFigures>>,
    _tasks: Arc<JoinSet<()>>,
}

impl MemberHandle {
    /// Starts membership on a bound socket. `seeds` are addresses from the VM list; they may be empty, late or wrong.
    pub fn start(
        settings: MemberSettings,
        socket: UdpSocket,
        seeds: watch::Receiver<Arc<[VmAddress]>>,
    ) -> Self {
        let socket = Arc::new(socket);
        let (notice_sender, _) = broadcast::channel(NOTICE_QUEUE);
        let notices = notice_sender.downgrade();
        let mut actor = MemberActor::new(settings, Arc::clone(&socket), notice_sender);
        actor.take_seeds(&seeds.borrow());
        let snapshot = actor.snapshot.subscribe();
        let figures = Arc::clone(&actor.figures);
        let (address, mailbox) = Mailbox::unbounded();
        let mut tasks = JoinSet::new();
        tasks.spawn(xtra::run(mailbox, actor));
        tasks.spawn(read_socket(address.downgrade(), socket));
        tasks.spawn(follow_seeds(address.downgrade(), seeds));
        tasks.spawn(tick(address.downgrade()));
        Self {
            actor: address,
            snapshot,
            notices,
            figures,
            _tasks: Arc::new(tasks),
        }
    }

    /// What is believed about all members, as it changes.
    pub fn snapshot(&self) -> watch::Receiver<Arc<MemberSnapshot>> {
        self.snapshot.clone()
    }

    /// Replaces what this process says about itself.
    pub fn set_digest(&self, digest: MemberDigest) {
        self.queue(SetDigest(digest));
    }

    /// Announces a planned stop; the others are told at once.
    pub fn announce_leaving(&self) {
        self.queue(AnnounceLeaving);
    }

    /// Tells all members about a request that crashes upstreams.
    pub fn publish_notice(&self, notice: GossipNotice) {
        self.queue(PublishNotice(notice));
    }

    /// Notices learnt from other members from now on. A reader that falls far behind misses the oldest.
    pub fn notices(&self) -> broadcast::Receiver<GossipNotice> {
        match self.notices.upgrade() {
            Some(sender) => sender.subscribe(),
            // The actor is gone, and so will no notice ever come.
            None => broadcast::channel(1).1,
        }
    }

    /// When a peer was last heard; none if never.
    pub fn last_peer_contact(&self) -> Option<Instant> {
        self.figures().last_heard
    }

    /// Adds the metrics of membership.
    pub fn register(&self, registry: &mut Registry) {
        let collector = MemberCollector::new(Arc::clone(&self.figures));
        registry.register_collector(Box::new(collector));
    }

    /// What has been counted so far.
    pub fn figures(&self) -> MemberFigures {
        *self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue<M: Send + 'static>(&self, message: M)
    where
        MemberActor: Handler<M>,
    {
        // An unbounded mailbox takes a message at the first poll; the result is not awaited.
        let _queued = self.actor.send(message).detach().now_or_never();
    }
}

async fn read_socket(actor: WeakAddress<MemberActor>, socket: Arc<UdpSocket>) {
    // One byte more than the limit, so that a longer datagram is seen as such.
    let mut buffer = [0; DATAGRAM_LIMIT + 1];
    loop {
        let mut batch = Vec::new();
        match socket.recv_from(&mut buffer).await {
            Ok((length, source)) => batch.push(arrived(&buffer[..length], source)),
            Err(error) => {
                // Linux reports another host's refusal here; it says nothing about this socket.
                log::debug!("membership socket: {error}");
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        }
        while batch.len() < READ_BATCH {
            let Ok((length, source)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            batch.push(arrived(&buffer[..length], source));
        }
        // Waiting for the actor keeps what it has not yet read in the socket, which drops what is too much.
        if actor.send(Arrived(batch)).await.is_err() {
            return;
        }
    }
}

fn arrived(bytes: &[u8], source: SocketAddr) -> (VmAddress, Vec<u8>) {
    (VmAddress(source.ip().to_canonical()), bytes.to_vec())
}

async fn follow_seeds(
    actor: WeakAddress<MemberActor>,
    mut seeds: watch::Receiver<Arc<[VmAddress]>>,
) {
    while seeds.changed().await.is_ok() {
        let current = Arc::clone(&seeds.borrow_and_update());
        if actor.send(TakeSeeds(current)).await.is_err() {
            return;
        }
    }
}

async fn tick(actor: WeakAddress<MemberActor>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(Tick).await.is_err() {
            return;
        }
    }
}

struct Arrived(Vec<(VmAddress, Vec<u8>)>);
struct TakeSeeds(Arc<[VmAddress]>);
struct SetDigest(MemberDigest);
struct AnnounceLeaving;
struct PublishNotice(GossipNotice);
struct Tick;

#[derive(xtra::Actor)]
struct MemberActor {
    protocol: MemberProtocol,
    socket: Arc<UdpSocket>,
    settings: MemberSettings,
    started: Instant,
    snapshot: watch::Sender<Arc<MemberSnapshot>>,
    notices: broadcast::Sender<GossipNotice>,
    figures: Arc<Mutex<MemberFigures>>,
    out: Vec<OutgoingDatagram>,
    pending: SnapshotChange,
    states: [u32; 4],
    ticks: u32,
    published: u32,
}

impl MemberActor {
    fn new(
        settings: MemberSettings,
        socket: Arc<UdpSocket>,
        notices: broadcast::Sender<GossipNotice>,
    ) -> Self {
        let (own, zone) = (settings.own, settings.zone.clone());
        let (deployment, seed) = (settings.deployment, settings.seed);
        let protocol = MemberProtocol::new(Duration::ZERO, own, zone, deployment, seed);
        let snapshot = watch::Sender::new(Arc::new(protocol.snapshot()));
        Self {
            protocol,
            socket,
            settings,
            started: Instant::now(),
            snapshot,
            notices,
            figures: Arc::default(),
            out: Vec::new(),
            pending: SnapshotChange::None,
            states: [0; 4],
            ticks: 0,
            published: 0,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn take_seeds(&mut self, seeds: &[VmAddress]) {
        self.protocol.take_seeds(seeds);
    }

    /// Sends what the protocol wants sent, reports what has happened.
    fn flush(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        for datagram in out.drain(..) {
            self.send(datagram);
        }
        self.out = out;
        for event in self.protocol.take_events() {
            self.report(event);
        }
        self.pending = self.pending.max(self.protocol.take_change());
    }

    fn send(&self, datagram: OutgoingDatagram) {
        let target = SocketAddr::new(datagram.to.0, self.settings.peer_port);
        let delay = self.settings.delay.as_ref().map(|delay| delay(datagram.to));
        match delay {
            Some(delay) if !delay.is_zero() => {
                let socket = Arc::clone(&self.socket);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    send_now(&socket, &datagram.bytes, target);
                });
            }
            _ => send_now(&self.socket, &datagram.bytes, target),
        }
    }

    fn report(&self, event: MemberEvent) {
        match event {
            MemberEvent::State {
                session,
                zone,
                state,
            } => {
                log::info!(target: "ebonyfork::decision", "member {session} zone={zone} state={state}");
            }
            MemberEvent::Notice(notice) => {
                // An error means that nobody reads notices.
                let _readers = self.notices.send(notice);
            }
            MemberEvent::Paused(gap) => {
                log::warn!("membership was paused for {gap:?}; open probes prove nothing");
            }
            MemberEvent::Superseded(session) => {
                log::warn!("{session} is told of on this VM: a later life than this process");
            }
            MemberEvent::Isolated(true) => {
                log::warn!("no peer has been heard; all are held failed");
            }
            MemberEvent::Isolated(false) => log::info!("a peer has been heard again"),
        }
    }

    fn publish(&mut self) {
        self.pending = SnapshotChange::None;
        self.published = self.ticks;
        self.states = self.protocol.count_states();
        let snapshot = self.protocol.snapshot();
        self.snapshot.send_if_modified(|current| {
            let changed = **current != snapshot;
            if changed {
                *current = Arc::new(snapshot);
            }
            changed
        });
    }

    fn publish_due(&mut self) {
        let since = self.ticks.wrapping_sub(self.published);
        let members = self.snapshot.borrow().members().len();
        let wait = 1 + (members / PUBLISH_TICK_MEMBERS) as u32;
        match self.pending {
            SnapshotChange::Members if since >= wait => self.publish(),
            SnapshotChange::Digests if since >= wait.max(DIGEST_PUBLISH_TICKS) => self.publish(),
            _ => {}
        }
    }

    fn update_figures(&self) {
        let heard = self.protocol.last_heard();
        let mut figures = self.figures.lock().unwrap_or_else(PoisonError::into_inner);
        figures.counters = *self.protocol.counters();
        figures.states = self.states;
        figures.last_heard = heard.map(|heard| self.started + heard);
    }
}

fn send_now(socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    // A full buffer or a refusal is a lost datagram, which the protocol bears.
    if let Err(error) = socket.try_send_to(bytes, target) {
        log::debug!("membership to {target}: {error}");
    }
}

impl Handler<Arrived> for MemberActor {
    type Return = ();

    async fn handle(&mut self, message: Arrived, _context: &mut Context<Self>) {
        for (source, bytes) in message.0 {
            let now = self.now();
            self.protocol
                .take_datagram(now, source, &bytes, &mut self.out);
        }
        self.flush();
    }
}

impl Handler<TakeSeeds> for MemberActor {
    type Return = ();

    async fn handle(&mut self, message: TakeSeeds, _context: &mut Context<Self>) {
        self.take_seeds(&message.0);
    }
}

impl Handler<SetDigest> for MemberActor {
    type Return = ();

    async fn handle(&mut self, message: SetDigest, _context: &mut Context<Self>) {
        self.protocol.set_digest(self.now(), message.0);
    }
}

impl Handler<AnnounceLeaving> for MemberActor {
    type Return = ();

    async fn handle(&mut self, _message: AnnounceLeaving, _context: &mut Context<Self>) {
        let now = self.now();
        self.protocol.announce_leaving(now, &mut self.out);
        self.flush();
        self.publish();
    }
}

impl Handler<PublishNotice> for MemberActor {
    type Return = ();

    async fn handle(&mut self, message: PublishNotice, _context: &mut Context<Self>) {
        self.protocol.publish_notice(self.now(), message.0);
    }
}

impl Handler<Tick> for MemberActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _context: &mut Context<Self>) {
        let now = self.now();
        self.ticks = self.ticks.wrapping_add(1);
        self.protocol.tick(now, &mut self.out);
        self.flush();
        self.publish_due();
        self.update_figures();
    }
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
