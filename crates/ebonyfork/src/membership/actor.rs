//! Actor that runs the protocol: owns the socket and the clock, logs events and publishes snapshots.

use std::fmt;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
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
use crate::membership::metrics::{MemberCollector, MemberMetrics};
use crate::membership::protocol::MemberProtocol;
use crate::membership::snapshot::{GossipNotice, MemberDigest, MemberSnapshot};
use crate::membership::timing::TICK_PERIOD;
use crate::panic_reason::panic_reason;

/// Maximum number of datagrams passed to the actor in one message.
const MAX_READ_BATCH: usize = 32;
/// Minimum ticks between two snapshots that differ only in digests.
const DIGEST_PUBLISH_TICKS: u32 = 10;
/// Number of members for which one more tick passes between two snapshots, as their cost grows with the members.
const MEMBERS_PER_PUBLISH_TICK: usize = 500;
/// Maximum number of notices queued for a slow subscriber.
const NOTICE_QUEUE_LIMIT: usize = 256;

/// Returns the simulated one-way delay to a VM.
type DelayFunction = dyn Fn(VmAddress) -> Duration + Send + Sync;

/// Settings of membership in one process.
#[derive(Clone)]
pub struct MemberSettings {
    own_session: SessionId,
    zone: ZoneName,
    peer_port: u16,
    /// Seed of the random choices.
    seed: u64,
    /// Number of the deployment, sent in every datagram.
    deployment: u32,
    /// Simulated network delay; none outside the lab.
    delay: Option<Arc<DelayFunction>>,
}

impl fmt::Debug for MemberSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("MemberSettings");
        debug
            .field("own", &self.own_session)
            .field("zone", &self.zone);
        debug.field("peer_port", &self.peer_port);
        debug.finish_non_exhaustive()
    }
}

impl MemberSettings {
    /// Creates the settings of process `own_session`. `peer_port` is the same on every VM; `seed` seeds the random
    /// choices.
    pub fn new(own_session: SessionId, zone: ZoneName, peer_port: u16, seed: u64) -> Self {
        Self {
            own_session,
            zone,
            peer_port,
            seed,
            deployment: 0,
            delay: None,
        }
    }

    /// Sets the deployment number; datagrams of other deployments are dropped.
    #[must_use]
    pub fn with_deployment(mut self, deployment: u32) -> Self {
        self.deployment = deployment;
        self
    }

    /// Delays the datagrams to each VM, to simulate network distance. Only the lab uses this.
    #[must_use]
    pub fn with_delay(
        mut self,
        delay: impl Fn(VmAddress) -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.delay = Some(Arc::new(delay));
        self
    }
}

/// Handle to the membership actor. Cheap to clone; the actor stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct MemberHandle {
    actor: Address<MemberActor>,
    snapshot: watch::Receiver<Arc<MemberSnapshot>>,
    notices: broadcast::WeakSender<GossipNotice>,
    metrics: Arc<Mutex<MemberMetrics>>,
    /// Why the first of the tasks that has ended did so; `None` while all of them run.
    end_reason: watch::Receiver<Option<CompactString>>,
    _tasks: Arc<JoinSet<()>>,
}

impl MemberHandle {
    /// Starts membership on a bound socket. `seeds` are the addresses in the VM list; they may be empty, outdated or
    /// wrong.
    pub fn start(
        settings: MemberSettings,
        socket: UdpSocket,
        seeds: watch::Receiver<Arc<[VmAddress]>>,
    ) -> Self {
        let socket = Arc::new(socket);
        let (notice_sender, _) = broadcast::channel(NOTICE_QUEUE_LIMIT);
        let notices = notice_sender.downgrade();
        let mut actor = MemberActor::new(settings, Arc::clone(&socket), notice_sender);
        actor.set_seeds(&seeds.borrow());
        let snapshot = actor.snapshot.subscribe();
        let metrics = Arc::clone(&actor.metrics);
        let (address, mailbox) = Mailbox::unbounded();
        let mut tasks = JoinSet::new();
        let end_reason = Arc::new(watch::Sender::default());
        let mut spawn = |name, task: BoxFuture<'static, ()>| {
            tasks.spawn(report_end(name, Arc::clone(&end_reason), task));
        };
        spawn("actor", xtra::run(mailbox, actor).boxed());
        spawn("socket", read_socket(address.downgrade(), socket).boxed());
        spawn("seeds", follow_seeds(address.downgrade(), seeds).boxed());
        spawn("timer", tick(address.downgrade()).boxed());
        Self {
            end_reason: end_reason.subscribe(),
            actor: address,
            snapshot,
            notices,
            metrics,
            _tasks: Arc::new(tasks),
        }
    }

    /// Waits until one of the tasks of membership has ended, and returns which and why. They share their state, so the
    /// others are of no use then: the process doesn't notice failures and counts as failed itself.
    pub async fn ended(&self) -> CompactString {
        let mut end_reason = self.end_reason.clone();
        let _is_told = end_reason.wait_for(Option::is_some).await.is_ok();
        let reason = end_reason.borrow().clone();
        reason.unwrap_or_else(|| CompactString::const_new("its tasks were aborted"))
    }

    /// Returns a receiver of the current snapshot of all members.
    pub fn snapshot(&self) -> watch::Receiver<Arc<MemberSnapshot>> {
        self.snapshot.clone()
    }

    /// Replaces the digest of this process.
    pub fn set_digest(&self, digest: MemberDigest) {
        self.queue(SetDigest(digest));
    }

    /// Announces a planned stop to the other members at once.
    pub fn announce_leaving(&self) {
        self.queue(AnnounceLeaving);
    }

    /// Broadcasts a notice to all members.
    pub fn publish_notice(&self, notice: GossipNotice) {
        self.queue(PublishNotice(notice));
    }

    /// Subscribes to the notices of other members. A subscriber that falls too far behind misses the oldest.
    pub fn notices(&self) -> broadcast::Receiver<GossipNotice> {
        match self.notices.upgrade() {
            Some(sender) => sender.subscribe(),
            // The actor has stopped, so no notice will arrive: return a closed channel.
            None => broadcast::channel(1).1,
        }
    }

    /// Returns when the last datagram arrived from a peer; none if never.
    pub fn last_peer_contact(&self) -> Option<Instant> {
        self.metrics().last_received
    }

    /// Registers the metrics of membership.
    pub fn register(&self, registry: &mut Registry) {
        let collector = MemberCollector::new(Arc::clone(&self.metrics));
        registry.register_collector(Box::new(collector));
    }

    /// Returns the current counters and gauges.
    pub fn metrics(&self) -> MemberMetrics {
        *self.metrics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the actor without waiting for it to be handled.
    fn queue<M: Send + 'static>(&self, message: M)
    where
        MemberActor: Handler<M>,
    {
        // Sending to an unbounded mailbox completes at the first poll; the return value is not awaited.
        let _send_result = self.actor.send(message).detach().now_or_never();
    }
}

/// Runs a task and records its end, unless another one has ended before.
async fn report_end(
    name: &'static str,
    end_reason: Arc<watch::Sender<Option<CompactString>>>,
    task: BoxFuture<'static, ()>,
) {
    let reason = match AssertUnwindSafe(task).catch_unwind().await {
        Ok(()) => CompactString::const_new("it returned"),
        Err(payload) => panic_reason(&*payload),
    };
    end_reason.send_if_modified(|known_reason| {
        let is_first = known_reason.is_none();
        known_reason.get_or_insert_with(|| format_compact!("{name}: {reason}"));
        is_first
    });
}

/// Passes received datagrams to the actor in batches.
async fn read_socket(actor: WeakAddress<MemberActor>, socket: Arc<UdpSocket>) {
    // One byte more than the limit, so that an oversized datagram is recognized.
    let mut buffer = [0; DATAGRAM_LIMIT + 1];
    loop {
        let mut batch = Vec::new();
        match socket.recv_from(&mut buffer).await {
            Ok((length, source)) => batch.push(received_datagram(&buffer[..length], source)),
            Err(error) => {
                // Linux reports ICMP errors of earlier sends here; the socket itself is still usable.
                log::debug!("failed to receive a membership datagram: {error}");
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        }
        while batch.len() < MAX_READ_BATCH {
            let Ok((length, source)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            batch.push(received_datagram(&buffer[..length], source));
        }
        // While the actor is busy, datagrams stay in the socket buffer, and the kernel drops those that exceed it.
        if actor.send(ReceivedDatagrams(batch)).await.is_err() {
            return;
        }
    }
}

/// Returns a datagram with the VM that sent it.
fn received_datagram(bytes: &[u8], source: SocketAddr) -> (VmAddress, Vec<u8>) {
    (VmAddress(source.ip().to_canonical()), bytes.to_vec())
}

/// Passes each change of the VM list to the actor.
async fn follow_seeds(
    actor: WeakAddress<MemberActor>,
    mut seeds: watch::Receiver<Arc<[VmAddress]>>,
) {
    while seeds.changed().await.is_ok() {
        let current_seeds = Arc::clone(&seeds.borrow_and_update());
        if actor.send(SetSeeds(current_seeds)).await.is_err() {
            return;
        }
    }
}

/// Sends a [`Tick`] to the actor every [`TICK_PERIOD`].
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

/// Datagrams with the VMs that sent them.
struct ReceivedDatagrams(Vec<(VmAddress, Vec<u8>)>);
/// Replaces the addresses from the VM list.
struct SetSeeds(Arc<[VmAddress]>);
/// Replaces the digest of this process.
struct SetDigest(MemberDigest);
/// Announces a planned stop.
struct AnnounceLeaving;
/// Broadcasts a notice to all members.
struct PublishNotice(GossipNotice);
/// Runs the periodic work of the protocol.
struct Tick;

#[derive(xtra::Actor)]
struct MemberActor {
    protocol: MemberProtocol,
    socket: Arc<UdpSocket>,
    settings: MemberSettings,
    /// Zero point of the protocol's clock.
    started: Instant,
    snapshot: watch::Sender<Arc<MemberSnapshot>>,
    notices: broadcast::Sender<GossipNotice>,
    metrics: Arc<Mutex<MemberMetrics>>,
    /// Datagrams to send; empty between two messages, kept to reuse its allocation.
    outbox: Vec<OutgoingDatagram>,
    /// Change since the last published snapshot.
    pending_change: SnapshotChange,
    /// Other members in each state, as of the last published snapshot.
    state_counts: [u32; 4],
    ticks: u32,
    /// Value of `ticks` when the last snapshot was published.
    published_tick: u32,
}

impl MemberActor {
    fn new(
        settings: MemberSettings,
        socket: Arc<UdpSocket>,
        notices: broadcast::Sender<GossipNotice>,
    ) -> Self {
        let (own_session, zone) = (settings.own_session, settings.zone.clone());
        let (deployment, seed) = (settings.deployment, settings.seed);
        let protocol = MemberProtocol::new(Duration::ZERO, own_session, zone, deployment, seed);
        let snapshot = watch::Sender::new(Arc::new(protocol.snapshot()));
        Self {
            protocol,
            socket,
            settings,
            started: Instant::now(),
            snapshot,
            notices,
            metrics: Arc::default(),
            outbox: Vec::new(),
            pending_change: SnapshotChange::None,
            state_counts: [0; 4],
            ticks: 0,
            published_tick: 0,
        }
    }

    /// Returns the time since the actor was created.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn set_seeds(&mut self, seeds: &[VmAddress]) {
        let now = self.now();
        self.protocol.set_seeds(now, seeds);
    }

    /// Sends the queued datagrams, reports the events and records what has changed.
    fn flush(&mut self) {
        let mut outbox = std::mem::take(&mut self.outbox);
        for datagram in outbox.drain(..) {
            self.send(datagram);
        }
        self.outbox = outbox;
        for event in self.protocol.take_events() {
            self.report(event);
        }
        self.pending_change = self.pending_change.max(self.protocol.take_change());
    }

    /// Sends a datagram, after its simulated delay if there is one.
    fn send(&self, datagram: OutgoingDatagram) {
        let target = SocketAddr::new(datagram.destination.0, self.settings.peer_port);
        let delay = self
            .settings
            .delay
            .as_ref()
            .map(|delay| delay(datagram.destination));
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

    /// Logs an event; passes a notice to the subscribers instead.
    fn report(&self, event: MemberEvent) {
        match event {
            MemberEvent::State {
                session,
                zone,
                state,
            } => {
                log::info!(target: "ebonyfork::decision", "member {session} zone={zone} state={state}");
            }
            MemberEvent::Unreachable { vm, pings, silence } => {
                log::info!(
                    target: "ebonyfork::decision",
                    "listed vm={vm} unreachable pings={pings} silence_ms={}",
                    silence.as_millis()
                );
            }
            MemberEvent::Notice(notice) => {
                // An error means that there are no subscribers.
                let _send_result = self.notices.send(notice);
            }
            MemberEvent::Paused(gap) => {
                log::warn!("process was paused for {gap:?}; dropping the open membership probe");
            }
            MemberEvent::Superseded(session) => {
                log::warn!("another process on this VM has a newer incarnation: {session}");
            }
            MemberEvent::Isolated(true) => {
                log::warn!("no datagram from any peer; all other members count as failed");
            }
            MemberEvent::Isolated(false) => log::info!("receiving datagrams from peers again"),
        }
    }

    /// Publishes a snapshot if it differs from the last one.
    fn publish(&mut self) {
        self.pending_change = SnapshotChange::None;
        self.published_tick = self.ticks;
        self.state_counts = self.protocol.count_states();
        let snapshot = self.protocol.snapshot();
        self.snapshot.send_if_modified(|current_snapshot| {
            let is_changed = **current_snapshot != snapshot;
            if is_changed {
                *current_snapshot = Arc::new(snapshot);
            }
            is_changed
        });
    }

    /// Publishes a snapshot if one is pending and enough ticks have passed.
    fn publish_if_due(&mut self) {
        // Age of the last snapshot and the age from which it is replaced, in ticks.
        let age = self.ticks.wrapping_sub(self.published_tick);
        let member_count = self.snapshot.borrow().members().len();
        let min_age = 1 + (member_count / MEMBERS_PER_PUBLISH_TICK) as u32;
        match self.pending_change {
            SnapshotChange::Members if age >= min_age => self.publish(),
            SnapshotChange::Digests if age >= min_age.max(DIGEST_PUBLISH_TICKS) => self.publish(),
            _ => {}
        }
    }

    /// Copies the counters and gauges into `metrics`, from which they are scraped.
    fn update_metrics(&self) {
        let last_received = self.protocol.last_received();
        let mut metrics = self.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.counters = *self.protocol.counters();
        metrics.state_counts = self.state_counts;
        metrics.last_received = last_received.map(|last_received| self.started + last_received);
    }
}

fn send_now(socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    // A full buffer or an ICMP error amounts to a lost datagram, which the protocol tolerates.
    if let Err(error) = socket.try_send_to(bytes, target) {
        log::debug!("failed to send a membership datagram to {target}: {error}");
    }
}

impl Handler<ReceivedDatagrams> for MemberActor {
    type Return = ();

    async fn handle(&mut self, message: ReceivedDatagrams, _context: &mut Context<Self>) {
        for (source, bytes) in message.0 {
            let now = self.now();
            self.protocol
                .receive_datagram(now, source, &bytes, &mut self.outbox);
        }
        self.flush();
    }
}

impl Handler<SetSeeds> for MemberActor {
    type Return = ();

    async fn handle(&mut self, message: SetSeeds, _context: &mut Context<Self>) {
        self.set_seeds(&message.0);
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
        self.protocol.announce_leaving(now, &mut self.outbox);
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
        self.protocol.tick(now, &mut self.outbox);
        self.flush();
        self.publish_if_due();
        self.update_metrics();
    }
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
