//! The actor of the revision feed: runs the decisions of [`FeedState`] and [`EvidenceState`] on links and store.

mod inbox;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use compact_str::ToCompactString;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::declaration::DeclaredConfig;
use crate::ident::{RevisionNumber, VmAddress};
use crate::settings::NodeSettings;
use crate::store::{Backoff, StoreClient};
use crate::topology::TopologyView;
use crate::wire::{LinkError, PeerMessage};

use inbox::{EvidenceWritten, RestoreEnded, StoreLoaded, Tick, TopologyChanged};
pub(super) use inbox::{HeadSeen, PeerInput, PeerNote, StopFeed};

use super::assembly::{HeldRevision, RevisionAssembly};
use super::evidence::EvidenceState;
use super::feed::{FeedAction, FeedActions, FeedState};
use super::message::RevisionMessage;
use super::metrics::{RevisionMetrics, SourceLabels};
use super::publisher::unix_millis;
use super::record::{ChangeRecord, HEAD_KEY, HeadRecord, PartDigest};
use super::restore::{PROVISIONAL_TIME, may_take, must_adopt};
use super::serve::ServeBudget;
use super::store::write_evidence;
use super::watcher::{load_revision, restore_head, watch_head};

/// How often timers are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// How long the store has to show a lower revision before it counts as gone back: peers may simply be faster.
const BEHIND_DELAY: Duration = Duration::from_secs(2);

/// First and longest wait after a failed reading of a revision from the store.
const FIRST_LOAD_WAIT: Duration = Duration::from_millis(100);
const LONGEST_LOAD_WAIT: Duration = Duration::from_secs(5);

type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

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
    client: StoreClient,
    writer: watch::Sender<Arc<DeclaredConfig>>,
    send: Arc<SendFunction>,
    metrics: RevisionMetrics,
    started: Instant,
    feed: FeedState,
    evidence: EvidenceState,
    served: ServeBudget,
    held: Option<HeldRevision>,
    /// Until when the held revision is provisional.
    provisional_until: Duration,
    assembly: Option<(VmAddress, RevisionAssembly)>,
    sight: StoreSight,
    /// What a settled peer holds, to replace a provisional revision.
    adopting: Option<HeadRecord>,
    /// A head that doesn't follow what is held.
    refused: Option<HeadRecord>,
    /// Since when the store has shown a head that lacks what is held.
    behind_since: Option<Duration>,
    restoring: bool,
    loading: bool,
    /// When a failed reading of a revision may be tried again.
    next_load: Duration,
    load_backoff: Backoff,
    rng: ChaCha8Rng,
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
        client: StoreClient,
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
            provisional_until: Duration::ZERO,
            assembly: None,
            sight: StoreSight::Unread,
            adopting: None,
            refused: None,
            behind_since: None,
            restoring: false,
            loading: false,
            next_load: Duration::ZERO,
            load_backoff: Backoff::new(FIRST_LOAD_WAIT, LONGEST_LOAD_WAIT),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            writing: false,
            watch: None,
            tasks: JoinSet::new(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn is_provisional(&self) -> bool {
        self.now() < self.provisional_until
    }

    fn held_change(&self) -> Option<&ChangeRecord> {
        self.held.as_ref().map(|held| &held.change)
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

    fn take_gossip(
        &mut self,
        vm: VmAddress,
        revision: RevisionNumber,
        address: &WeakAddress<Self>,
    ) {
        self.note_highest(revision);
        let actions = self.feed.note_peer(self.now(), vm, revision.0);
        self.run(actions, address);
    }

    fn take_told(&mut self, vm: VmAddress, revision: RevisionNumber, address: &WeakAddress<Self>) {
        self.note_highest(revision);
        let actions = self.feed.note_told(self.now(), vm, revision.0);
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
        self.collect(vm, change, address);
    }

    fn collect(&mut self, vm: VmAddress, change: ChangeRecord, address: &WeakAddress<Self>) {
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

    /// Puts a whole revision in force if it may replace what is held.
    fn put_in_force(
        &mut self,
        whole: HeldRevision,
        source: &'static str,
        from: impl fmt::Display,
        address: &WeakAddress<Self>,
    ) {
        let head = whole.head();
        let adopted = self
            .adopting
            .take_if(|adopting| *adopting == head)
            .is_some();
        if !adopted && !self.feed.is_wanted(head.revision.0) {
            return;
        }
        if !adopted && !may_take(self.held_change(), self.is_provisional(), &whole.change) {
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
        if self.held.is_none() {
            self.provisional_until = self.now() + PROVISIONAL_TIME;
        }
        if adopted {
            self.provisional_until = self.now();
        }
        self.held = Some(whole);
        self.metrics.held.set(head.revision.0 as i64);
        self.metrics
            .taken
            .get_or_create(&SourceLabels { source })
            .inc();
        self.note_highest(head.revision);
        let actions = if adopted {
            self.feed.note_adopted(head.revision.0)
        } else {
            self.feed.note_held(head.revision.0)
        };
        self.run(actions, address);
        self.write_due_evidence(address);
    }

    /// Looks whether a peer stands on another line than a provisional revision.
    fn check_line(&self, vm: VmAddress, shown: HeadRecord) {
        let Some(held) = self.held_change() else {
            return;
        };
        let differs = shown.revision <= held.revision && must_adopt(held, shown);
        if differs && self.is_provisional() {
            self.send_to(vm, RevisionMessage::AskSettled);
        }
    }

    /// Starts to collect what a settled peer holds if it must replace a provisional revision.
    fn take_settled(&mut self, vm: VmAddress, change: ChangeRecord, address: &WeakAddress<Self>) {
        let provisional = self.is_provisional();
        let head = change.head();
        let held = self.held_change();
        if !provisional || !held.is_some_and(|held| must_adopt(held, head)) {
            return;
        }
        log::warn!(target: "ebonyfork::decision", "adopt {head} of the settled peer {vm}");
        self.adopting = Some(head);
        self.collect(vm, change, address);
    }

    /// Reads the wanted revision from the store unless it is being read or held.
    fn load_wanted(&mut self, address: &WeakAddress<Self>) {
        let StoreSight::Head(head) = self.sight else {
            return;
        };
        if self.loading || self.now() < self.next_load || !self.feed.is_wanted(head.revision.0) {
            return;
        }
        self.loading = true;
        let (client, held, address) = (self.client.clone(), self.held.clone(), address.clone());
        self.tasks.spawn(async move {
            let loaded = load_revision(&client, head, held.as_ref()).await;
            let _ended = address.send(StoreLoaded { head, loaded }).await;
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
        if self.is_provisional() || !self.store_lacks_held() {
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
