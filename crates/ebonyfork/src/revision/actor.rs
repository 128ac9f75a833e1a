//! The actor of the revision feed: runs the decisions of [`FeedState`] and [`EvidenceState`] on links and store.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::declaration::DeclaredConfig;
use crate::ident::{RevisionNumber, VmAddress};
use crate::platform::PlatformClient;
use crate::settings::NodeSettings;
use crate::topology::TopologyView;
use crate::wire::{LinkError, LinkSender, PeerMessage};

use super::assembly::{HeldRevision, RevisionAssembly};
use super::evidence::EvidenceState;
use super::feed::{FeedAction, FeedActions, FeedState};
use super::message::RevisionMessage;
use super::metrics::{RevisionMetrics, SourceLabels};
use super::publisher::unix_millis;
use super::record::{ChangeRecord, HEAD_KEY, HeadRecord, PartDigest};
use super::serve::ServeBudget;
use super::store::write_evidence;
use super::watcher::{load_revision, restore_head, watch_head};

/// How often timers are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// How long the store has to show a lower revision before it counts as gone back: peers may simply be faster.
const BEHIND_DELAY: Duration = Duration::from_secs(2);

type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

/// Ends the feed.
pub(super) struct StopFeed;

/// Revisions that peers have shown.
pub(super) struct PeerNote {
    pub(super) shown: Vec<(VmAddress, RevisionNumber)>,
}

/// A message of a peer.
pub(super) struct PeerInput {
    pub(super) from: LinkSender,
    pub(super) message: RevisionMessage,
}

/// The head as the store shows it; no head if it is absent.
pub(super) struct HeadSeen {
    pub(super) head: Option<HeadRecord>,
}

/// How the restoring of a head that went back ended: whether it was moved.
struct RestoreEnded {
    restored: Result<bool, CompactString>,
}

/// A revision read from the store, or why not.
pub(super) struct StoreLoaded {
    pub(super) loaded: Result<HeldRevision, CompactString>,
}

/// How the writing of evidence ended.
struct EvidenceWritten {
    failed: bool,
}

/// Time has passed.
struct Tick;

/// The topology view has changed.
struct TopologyChanged(Arc<TopologyView>);

/// What the store has shown last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreSight {
    /// Nothing yet.
    Unread,
    /// That there is no head.
    Empty,
    /// This head.
    Head(HeadRecord),
}

/// Learns revisions and puts them in force.
#[derive(xtra::Actor)]
pub struct RevisionActor {
    own: VmAddress,
    client: PlatformClient,
    writer: watch::Sender<Arc<DeclaredConfig>>,
    send: Arc<SendFunction>,
    metrics: RevisionMetrics,
    started: Instant,
    feed: FeedState,
    evidence: EvidenceState,
    served: ServeBudget,
    held: Option<HeldRevision>,
    assembly: Option<(VmAddress, RevisionAssembly)>,
    sight: StoreSight,
    /// A head that doesn't follow what is held.
    refused: Option<HeadRecord>,
    /// Since when the store has shown a head that lacks what is held.
    behind_since: Option<Duration>,
    restoring: bool,
    loading: bool,
    writing: bool,
    watch: Option<AbortHandle>,
    tasks: JoinSet<()>,
}

impl fmt::Debug for RevisionActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RevisionActor")
            .field("own", &self.own)
            .field("held", &self.held.as_ref().map(HeldRevision::head))
            .finish_non_exhaustive()
    }
}

/// Starts the actor with its timer and its view of the topology.
pub(super) fn spawn_revision_actor(
    actor: RevisionActor,
    topology: watch::Receiver<Arc<TopologyView>>,
) -> Address<RevisionActor> {
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    tokio::spawn(run_timer(address.downgrade()));
    tokio::spawn(follow_topology(address.downgrade(), topology));
    address
}

async fn run_timer(address: WeakAddress<RevisionActor>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn follow_topology(
    address: WeakAddress<RevisionActor>,
    mut topology: watch::Receiver<Arc<TopologyView>>,
) {
    loop {
        let view = topology.borrow_and_update().clone();
        if address.send(TopologyChanged(view)).await.is_err() {
            return;
        }
        if topology.changed().await.is_err() {
            return;
        }
    }
}

impl RevisionActor {
    pub(super) fn new(
        settings: &NodeSettings,
        client: PlatformClient,
        writer: watch::Sender<Arc<DeclaredConfig>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
        metrics: RevisionMetrics,
    ) -> Self {
        let (own, zone) = (settings.vm, settings.zone.clone());
        Self {
            own,
            client,
            writer,
            send: Arc::new(send),
            metrics,
            started: Instant::now(),
            feed: FeedState::new(HEAD_KEY, own, zone.clone(), rand::random()),
            evidence: EvidenceState::new(own, zone),
            served: ServeBudget::default(),
            held: None,
            assembly: None,
            sight: StoreSight::Unread,
            refused: None,
            behind_since: None,
            restoring: false,
            loading: false,
            writing: false,
            watch: None,
            tasks: JoinSet::new(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn held_revision(&self) -> RevisionNumber {
        self.held
            .as_ref()
            .map_or(RevisionNumber(0), |held| held.change.revision)
    }

    fn run(&mut self, actions: FeedActions, address: &WeakAddress<Self>) {
        for action in actions {
            match action {
                FeedAction::Watch => self.start_watch(address.clone()),
                FeedAction::Unwatch => self.stop_watch(),
                FeedAction::Ask(vm) => {
                    let above = self.held_revision();
                    self.send_to(vm, RevisionMessage::Ask { above });
                }
                FeedAction::Tell(vm) => {
                    if let Some(held) = &self.held {
                        let head = held.head();
                        self.send_to(vm, RevisionMessage::Held(head));
                    }
                }
            }
        }
    }

    fn start_watch(&mut self, address: WeakAddress<Self>) {
        self.stop_watch();
        self.metrics.watching.set(1);
        let watching = watch_head(self.client.clone(), address);
        self.watch = Some(self.tasks.spawn(watching));
        log::info!(target: "ebonyfork::decision", "watch {HEAD_KEY} for this zone");
    }

    fn stop_watch(&mut self) {
        self.metrics.watching.set(0);
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    fn send_to(&self, vm: VmAddress, message: RevisionMessage) {
        if let Err(error) = (self.send)(vm, PeerMessage::Revision(message)) {
            log::debug!("revision message to {vm}: {error}");
        }
    }

    fn note_highest(&self, revision: RevisionNumber) {
        let highest = self.metrics.highest.get().max(revision.0 as i64);
        self.metrics.highest.set(highest);
    }

    fn take_peer(&mut self, vm: VmAddress, revision: RevisionNumber, address: &WeakAddress<Self>) {
        self.note_highest(revision);
        let now = self.now();
        let actions = self.feed.note_peer(now, vm, revision.0);
        self.run(actions, address);
    }

    /// Looks whether a peer or the store shows another change under the number that is in force here.
    fn check_divergence(&self, shown: HeadRecord, by: impl fmt::Display) {
        let Some(held) = self.held.as_ref().map(HeldRevision::head) else {
            return;
        };
        if held.revision == shown.revision && held.change != shown.change {
            self.metrics.diverged.inc();
            log::error!(
                "{by} shows {shown}, but {held} is in force here: see the operators' page on divergence"
            );
        }
    }

    /// Starts to collect a change that a peer has sent.
    fn take_change(&mut self, vm: VmAddress, change: ChangeRecord, address: &WeakAddress<Self>) {
        if !self.feed.is_wanted(change.revision.0) {
            return;
        }
        let running = self.assembly.as_ref();
        if running.is_some_and(|(_, running)| running.change().revision >= change.revision) {
            return;
        }
        let now = self.now();
        self.feed.note_progress(now);
        let assembly = RevisionAssembly::new(change, self.held.as_ref());
        for sha256 in assembly.missing() {
            self.send_to(vm, RevisionMessage::AskPart { sha256 });
        }
        self.assembly = Some((vm, assembly));
        self.finish_assembly(address);
    }

    fn take_part(
        &mut self,
        vm: VmAddress,
        sha256: PartDigest,
        text: Option<bytes::Bytes>,
        address: &WeakAddress<Self>,
    ) {
        let now = self.now();
        let Some((from, assembly)) = &mut self.assembly else {
            return;
        };
        let taken = text.is_some_and(|text| assembly.take_part(sha256, text));
        if taken {
            self.feed.note_progress(now);
            self.finish_assembly(address);
            return;
        }
        if *from == vm {
            self.assembly = None;
            let actions = self.feed.note_failure(now, vm);
            self.run(actions, address);
        }
    }

    fn finish_assembly(&mut self, address: &WeakAddress<Self>) {
        let Some((vm, assembly)) = self.assembly.take() else {
            return;
        };
        match assembly.finish() {
            Ok(whole) => self.put_in_force(whole, "peer", vm, address),
            Err(unfinished) => self.assembly = Some((vm, *unfinished)),
        }
    }

    /// Puts a whole revision in force, unless a higher one already is.
    fn put_in_force(
        &mut self,
        whole: HeldRevision,
        source: &'static str,
        from: impl fmt::Display,
        address: &WeakAddress<Self>,
    ) {
        let head = whole.head();
        if !self.feed.is_wanted(head.revision.0) {
            return;
        }
        let held = self.held.as_ref().map(HeldRevision::head);
        if held.is_some_and(|held| !whole.change.follows(held)) {
            self.metrics.diverged.inc();
            log::error!("{head} was made without knowledge of what is in force here: refused");
            self.feed.note_rejected(head.revision.0);
            self.refused = Some(head);
            return;
        }
        let config = match whole.parse() {
            Ok(config) => config,
            Err(findings) => {
                self.metrics.rejected.inc();
                log::error!("{head} can't be put in force:\n{findings}");
                self.feed.note_rejected(head.revision.0);
                return;
            }
        };
        log::info!(
            target: "ebonyfork::decision",
            "put {head} in force after {}, from {source} {from}",
            self.held_revision(),
        );
        self.writer.send_replace(Arc::new(config));
        self.held = Some(whole);
        self.metrics.held.set(head.revision.0 as i64);
        self.metrics
            .taken
            .get_or_create(&SourceLabels { source })
            .inc();
        self.note_highest(head.revision);
        let actions = self.feed.note_held(head.revision.0);
        self.run(actions, address);
        self.write_due_evidence(address);
    }

    /// Reads the wanted revision from the store unless it is being read or held.
    fn load_wanted(&mut self, address: &WeakAddress<Self>) {
        let StoreSight::Head(head) = self.sight else {
            return;
        };
        if self.loading || !self.feed.is_wanted(head.revision.0) {
            return;
        }
        self.loading = true;
        let (client, held, address) = (self.client.clone(), self.held.clone(), address.clone());
        self.tasks.spawn(async move {
            let loaded = load_revision(&client, head, held.as_ref()).await;
            let loaded = loaded.map_err(|error| error.to_compact_string());
            let _ended = address.send(StoreLoaded { loaded }).await;
        });
    }

    /// Tells whether the store's head lacks what is held.
    fn store_lacks_held(&self) -> bool {
        let Some(held) = self.held.as_ref().map(HeldRevision::head) else {
            return false;
        };
        match self.sight {
            StoreSight::Unread => false,
            StoreSight::Empty => true,
            StoreSight::Head(head) if head == held => false,
            StoreSight::Head(head) => head.revision <= held.revision || self.refused == Some(head),
        }
    }

    /// Moves the store's head forward again if it has lost what is held.
    fn restore_lost(&mut self, address: &WeakAddress<Self>) {
        let now = self.now();
        if !self.store_lacks_held() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if self.restoring || now < since + BEHIND_DELAY {
            return;
        }
        let Some(held) = self.held.clone() else {
            return;
        };
        self.behind_since = Some(now);
        self.restoring = true;
        let (client, address) = (self.client.clone(), address.clone());
        self.tasks.spawn(async move {
            let restored = restore_head(&client, &held).await;
            let restored = restored.map_err(|error| error.to_compact_string());
            let _ended = address.send(RestoreEnded { restored }).await;
        });
    }

    fn write_due_evidence(&mut self, address: &WeakAddress<Self>) {
        let now = self.now();
        if self.writing || !self.feed.is_watching() {
            return;
        }
        let Some(held) = self.held.as_ref().map(HeldRevision::head) else {
            return;
        };
        let Some(evidence) = self.evidence.due(now, unix_millis(), held, &self.feed) else {
            return;
        };
        self.metrics.lagging.set(evidence.lagging.len() as i64);
        self.writing = true;
        let (client, address) = (self.client.clone(), address.clone());
        self.tasks.spawn(async move {
            let written = write_evidence(&client, &evidence).await;
            if let Err(error) = &written {
                log::debug!("evidence of zone {}: {error}", evidence.zone);
            }
            let failed = written.is_err();
            let _ended = address.send(EvidenceWritten { failed }).await;
        });
    }
}

impl Handler<Tick> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        while self.tasks.try_join_next().is_some() {}
        let now = self.now();
        let actions = self.feed.tick(now);
        self.run(actions, &address);
        if self.feed.is_watching() {
            self.load_wanted(&address);
            self.restore_lost(&address);
            self.write_due_evidence(&address);
        }
    }
}

impl Handler<StopFeed> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, _message: StopFeed, ctx: &mut Context<Self>) {
        ctx.stop_self();
    }
}

impl Handler<TopologyChanged> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: TopologyChanged, ctx: &mut Context<Self>) {
        let TopologyChanged(view) = message;
        let now = self.now();
        self.evidence.take_topology(now, &view, &self.feed);
        let actions = self.feed.take_topology(&view);
        self.run(actions, &ctx.mailbox().address());
    }
}

impl Handler<PeerNote> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: PeerNote, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        for (vm, revision) in message.shown {
            self.take_peer(vm, revision, &address);
        }
    }
}

impl Handler<PeerInput> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: PeerInput, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let PeerInput { from, message } = message;
        let Some(peer) = from.peer() else {
            return;
        };
        let vm = peer.vm;
        match message {
            RevisionMessage::Held(head) => {
                self.check_divergence(head, vm);
                self.take_peer(vm, head.revision, &address);
            }
            RevisionMessage::Ask { above } => {
                let reply = self.answer_ask(above);
                reply_by(&from, reply);
                self.take_peer(vm, above, &address);
            }
            RevisionMessage::Change(change) => self.take_change(vm, change, &address),
            RevisionMessage::AskPart { sha256 } => {
                let text = self.answer_part(sha256);
                reply_by(&from, Some(RevisionMessage::Part { sha256, text }));
            }
            RevisionMessage::Part { sha256, text } => self.take_part(vm, sha256, text, &address),
        }
    }
}

impl RevisionActor {
    fn answer_ask(&self, above: RevisionNumber) -> Option<RevisionMessage> {
        let held = self.held.as_ref()?;
        if held.change.revision > above {
            return Some(RevisionMessage::Change(held.change.clone()));
        }
        Some(RevisionMessage::Held(held.head()))
    }

    fn answer_part(&mut self, sha256: PartDigest) -> Option<bytes::Bytes> {
        let now = self.now();
        let text = self.held.as_ref()?.texts.get(&sha256)?.clone();
        if !self.served.take(now, text.len()) {
            self.metrics.refused_parts.inc();
            return None;
        }
        Some(text)
    }
}

fn reply_by(from: &LinkSender, reply: Option<RevisionMessage>) {
    let Some(reply) = reply else {
        return;
    };
    if let Err(error) = from.send(PeerMessage::Revision(reply)) {
        log::debug!("revision reply: {error}");
    }
}

impl Handler<HeadSeen> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: HeadSeen, ctx: &mut Context<Self>) {
        let HeadSeen { head } = message;
        if let Some(head) = head {
            self.note_highest(head.revision);
            self.check_divergence(head, "the store");
        }
        self.sight = head.map_or(StoreSight::Empty, StoreSight::Head);
        self.load_wanted(&ctx.mailbox().address());
    }
}

impl Handler<RestoreEnded> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: RestoreEnded, _ctx: &mut Context<Self>) {
        self.restoring = false;
        match message.restored {
            Ok(true) => self.metrics.restored.inc(),
            Ok(false) => 0,
            Err(error) => {
                log::info!("restoring the head: {error}");
                0
            }
        };
    }
}

impl Handler<StoreLoaded> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: StoreLoaded, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.loading = false;
        match message.loaded {
            Ok(whole) => {
                self.put_in_force(whole, "store", "", &address);
                self.load_wanted(&address);
            }
            // The next tick tries again.
            Err(error) => log::debug!("revision from the store: {error}"),
        }
    }
}

impl Handler<EvidenceWritten> for RevisionActor {
    type Return = ();

    async fn handle(&mut self, message: EvidenceWritten, _ctx: &mut Context<Self>) {
        self.writing = false;
        if message.failed {
            self.evidence.note_failure();
        }
    }
}
