//! The actor of the revision feed: carries out the decisions of [`FeedState`] and [`EvidenceState`] over peer links and
//! the store.

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

use inbox::{EvidenceWritten, RestoreFinished, RevisionLoaded, Tick, TopologyChanged};
pub(super) use inbox::{GossipedRevisions, HeadObserved, ReceivedMessage, StopFeed};

use super::assembly::{HeldRevision, RevisionAssembly};
use super::evidence::EvidenceState;
use super::feed::{FeedAction, FeedActions, FeedState};
use super::message::RevisionMessage;
use super::metrics::{RevisionMetrics, SourceLabels};
use super::publisher::unix_millis;
use super::record::{ChangeRecord, HEAD_KEY, HeadRecord, PartDigest};
use super::restore::{PROVISIONAL_TIME, may_replace, must_adopt};
use super::serve::ServeBudget;
use super::store::write_evidence;
use super::watcher::{load_revision, restore_head, watch_head};

/// Interval at which the actor checks its timers.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// How long the store must show a lower revision than the held one before it counts as rolled back. A peer may simply
/// have been faster than the store's watch.
const ROLLBACK_GRACE_TIME: Duration = Duration::from_secs(2);

/// Wait after the first failed attempt to load a revision from the store; it doubles with each further failure.
const FIRST_LOAD_WAIT: Duration = Duration::from_millis(100);
/// Maximum wait after a failed attempt to load a revision from the store.
const MAX_LOAD_WAIT: Duration = Duration::from_secs(5);

/// A function that sends a message to a VM over the link to it.
type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

/// The last observation of the store's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ObservedHead {
    /// The store hasn't been read yet.
    NotRead,
    /// The store has no head.
    Absent,
    /// The store has this head.
    Present(HeadRecord),
}

/// Learns of configuration revisions and puts them in force.
#[derive(xtra::Actor)]
pub struct RevisionActor {
    own_vm: VmAddress,
    client: StoreClient,
    config_sender: watch::Sender<Arc<DeclaredConfig>>,
    send_message: Arc<SendFunction>,
    metrics: RevisionMetrics,
    started_at: Instant,
    feed: FeedState,
    evidence: EvidenceState,
    /// Limits the bytes of parts sent to peers.
    serve_budget: ServeBudget,
    /// The revision in force; `None` before the first one.
    held_revision: Option<HeldRevision>,
    /// End of the period during which the held revision is provisional, as time since the actor's start.
    provisional_until: Duration,
    /// The revision that is being collected, with the peer that was asked for its parts.
    assembly: Option<(VmAddress, RevisionAssembly)>,
    /// The store's head as this VM has seen it last.
    observed_head: ObservedHead,
    /// A settled peer's revision that is being collected to replace the provisional one.
    adopting_head: Option<HeadRecord>,
    /// The last head that was refused, because its change doesn't descend from the held one or the store has lost its
    /// files.
    refused_head: Option<HeadRecord>,
    /// Since when the store's head has lacked the held revision.
    store_behind_since: Option<Duration>,
    /// Whether a task that restores the store's head is running.
    is_restoring: bool,
    /// Whether a task that loads a revision from the store is running.
    is_loading: bool,
    /// Earliest time of the next attempt to load a revision from the store, after one has failed.
    next_load_at: Duration,
    /// Computes the wait after a failed attempt to load a revision.
    load_backoff: Backoff,
    rng: ChaCha8Rng,
    /// Whether a task that writes the zone's evidence is running.
    is_writing_evidence: bool,
    /// The task that watches the store's head, while this VM is a watcher.
    watch_task: Option<AbortHandle>,
    tasks: JoinSet<()>,
}

impl fmt::Debug for RevisionActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RevisionActor")
            .field("own", &self.own_vm)
            .field("held", &self.held_revision.as_ref().map(HeldRevision::head))
            .finish_non_exhaustive()
    }
}

/// Spawns the actor together with its timer and the task that forwards the topology.
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
        config_sender: watch::Sender<Arc<DeclaredConfig>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
        metrics: RevisionMetrics,
    ) -> Self {
        let (own_vm, zone) = (settings.vm, settings.zone.clone());
        Self {
            own_vm,
            client,
            config_sender,
            send_message: Arc::new(send),
            metrics,
            started_at: Instant::now(),
            feed: FeedState::new(HEAD_KEY, own_vm, zone.clone(), rand::random()),
            evidence: EvidenceState::new(own_vm, zone),
            serve_budget: ServeBudget::default(),
            held_revision: None,
            provisional_until: Duration::ZERO,
            assembly: None,
            observed_head: ObservedHead::NotRead,
            adopting_head: None,
            refused_head: None,
            store_behind_since: None,
            is_restoring: false,
            is_loading: false,
            next_load_at: Duration::ZERO,
            load_backoff: Backoff::new(FIRST_LOAD_WAIT, MAX_LOAD_WAIT),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            is_writing_evidence: false,
            watch_task: None,
            tasks: JoinSet::new(),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn is_provisional(&self) -> bool {
        self.now() < self.provisional_until
    }

    fn held_change(&self) -> Option<&ChangeRecord> {
        self.held_revision
            .as_ref()
            .map(|held_revision| &held_revision.change)
    }

    fn held_revision_number(&self) -> RevisionNumber {
        self.held_revision
            .as_ref()
            .map_or(RevisionNumber(0), |held_revision| {
                held_revision.change.revision
            })
    }

    /// Carries out the actions that the feed requests.
    fn run_actions(&mut self, actions: FeedActions, address: &WeakAddress<Self>) {
        for action in actions {
            match action {
                FeedAction::Watch => self.start_watch(address.clone()),
                FeedAction::Unwatch => self.stop_watch(),
                FeedAction::Ask(vm) => {
                    let above = self.held_revision_number();
                    self.send_to(vm, RevisionMessage::Ask { above });
                }
                FeedAction::Announce(vm) => {
                    if let Some(held_revision) = &self.held_revision {
                        let head = held_revision.head();
                        self.send_to(vm, RevisionMessage::Held(head));
                    }
                }
            }
        }
    }

    /// Starts to watch the store's head, ending an earlier watch.
    fn start_watch(&mut self, address: WeakAddress<Self>) {
        self.stop_watch();
        self.metrics.is_watching.set(1);
        let watch_future = watch_head(self.client.clone(), address);
        self.watch_task = Some(self.tasks.spawn(watch_future));
        log::info!(target: "ebonyfork::decision", "watch {HEAD_KEY} for this zone");
    }

    fn stop_watch(&mut self) {
        self.metrics.is_watching.set(0);
        if let Some(watch_task) = self.watch_task.take() {
            watch_task.abort();
        }
    }

    fn send_to(&self, vm: VmAddress, message: RevisionMessage) {
        if let Err(error) = (self.send_message)(vm, PeerMessage::Revision(message)) {
            log::debug!("revision message to {vm}: {error}");
        }
    }

    fn record_highest_revision(&self, revision: RevisionNumber) {
        let highest_revision = self.metrics.highest_revision.get().max(revision.0 as i64);
        self.metrics.highest_revision.set(highest_revision);
    }

    fn handle_gossiped_revision(
        &mut self,
        vm: VmAddress,
        revision: RevisionNumber,
        address: &WeakAddress<Self>,
    ) {
        self.record_highest_revision(revision);
        let actions = self
            .feed
            .record_gossiped_revision(self.now(), vm, revision.0);
        self.run_actions(actions, address);
    }

    fn handle_received_revision(
        &mut self,
        vm: VmAddress,
        revision: RevisionNumber,
        address: &WeakAddress<Self>,
    ) {
        self.record_highest_revision(revision);
        let actions = self
            .feed
            .record_received_revision(self.now(), vm, revision.0);
        self.run_actions(actions, address);
    }

    /// Reports an error if a peer or the store shows another change under the revision number that is in force here.
    fn check_divergence(&self, shown_head: HeadRecord, observer: impl fmt::Display) {
        let Some(held_head) = self.held_revision.as_ref().map(HeldRevision::head) else {
            return;
        };
        if held_head.revision == shown_head.revision && held_head.change != shown_head.change {
            self.metrics.divergences.inc();
            log::error!(
                "{observer} shows {shown_head}, but {held_head} is in force here: see the operators' page on divergence"
            );
        }
    }

    /// Starts to collect the parts of a change that a peer has sent.
    fn handle_change(&mut self, vm: VmAddress, change: ChangeRecord, address: &WeakAddress<Self>) {
        if !self.feed.is_wanted(change.revision.0) {
            return;
        }
        let current_assembly = self.assembly.as_ref();
        if current_assembly.is_some_and(|(_, current)| current.change().revision >= change.revision)
        {
            return;
        }
        self.start_assembly(vm, change, address);
    }

    /// Starts to collect a change's parts and asks the peer for those that aren't held.
    fn start_assembly(&mut self, vm: VmAddress, change: ChangeRecord, address: &WeakAddress<Self>) {
        let now = self.now();
        self.feed.record_pull_progress(now);
        let assembly = RevisionAssembly::new(change, self.held_revision.as_ref());
        for sha256 in assembly.missing_parts() {
            self.send_to(vm, RevisionMessage::AskPart { sha256 });
        }
        self.assembly = Some((vm, assembly));
        self.finish_assembly(address);
    }

    /// Adds a part that a peer has sent. If the peer that was asked sends none that fits, gives up the assembly, and
    /// the feed pulls from another peer.
    fn handle_part(
        &mut self,
        vm: VmAddress,
        sha256: PartDigest,
        text: Option<bytes::Bytes>,
        address: &WeakAddress<Self>,
    ) {
        let now = self.now();
        let Some((sender, assembly)) = &mut self.assembly else {
            return;
        };
        let is_added = text.is_some_and(|text| assembly.add_part(sha256, text));
        if is_added {
            self.feed.record_pull_progress(now);
            self.finish_assembly(address);
            return;
        }
        if *sender == vm {
            self.assembly = None;
            let actions = self.feed.record_pull_failure(now, vm);
            self.run_actions(actions, address);
        }
    }

    /// Puts the collected revision in force if it is complete.
    fn finish_assembly(&mut self, address: &WeakAddress<Self>) {
        let Some((vm, assembly)) = self.assembly.take() else {
            return;
        };
        match assembly.finish() {
            Ok(assembled_revision) => self.put_in_force(assembled_revision, "peer", vm, address),
            Err(unfinished_assembly) => self.assembly = Some((vm, *unfinished_assembly)),
        }
    }

    /// Puts a complete revision in force if it may replace the held one.
    fn put_in_force(
        &mut self,
        assembled_revision: HeldRevision,
        source: &'static str,
        origin: impl fmt::Display,
        address: &WeakAddress<Self>,
    ) {
        let head = assembled_revision.head();
        let is_adopted = self
            .adopting_head
            .take_if(|adopting_head| *adopting_head == head)
            .is_some();
        if !is_adopted && !self.feed.is_wanted(head.revision.0) {
            return;
        }
        if !is_adopted
            && !may_replace(
                self.held_change(),
                self.is_provisional(),
                &assembled_revision.change,
            )
        {
            self.metrics.divergences.inc();
            log::error!("{head} doesn't descend from the change in force here: refused");
            self.feed.record_rejected_revision(head.revision.0);
            self.refused_head = Some(head);
            return;
        }
        let config = match assembled_revision.parse() {
            Ok(config) => config,
            Err(findings) => {
                self.metrics.rejected_revisions.inc();
                log::error!("{head} can't be put in force:\n{findings}");
                self.feed.record_rejected_revision(head.revision.0);
                return;
            }
        };
        log::info!(
            target: "ebonyfork::decision",
            "put {head} in force after {}, from {source} {origin}",
            self.held_revision_number(),
        );
        self.config_sender.send_replace(Arc::new(config));
        if self.held_revision.is_none() {
            self.provisional_until = self.now() + PROVISIONAL_TIME;
        }
        if is_adopted {
            self.provisional_until = self.now();
        }
        self.held_revision = Some(assembled_revision);
        self.metrics.held_revision.set(head.revision.0 as i64);
        self.metrics
            .revisions_taken
            .get_or_create(&SourceLabels { source })
            .inc();
        self.record_highest_revision(head.revision);
        let actions = if is_adopted {
            self.feed.record_adopted_revision(head.revision.0)
        } else {
            self.feed.record_held_revision(head.revision.0)
        };
        self.run_actions(actions, address);
        self.write_due_evidence(address);
    }

    /// Asks a peer for its settled change if the peer's revision isn't an ancestor of the provisional one held here.
    fn check_ancestry(&self, vm: VmAddress, shown_head: HeadRecord) {
        let Some(held_change) = self.held_change() else {
            return;
        };
        let is_unrelated =
            shown_head.revision <= held_change.revision && must_adopt(held_change, shown_head);
        if is_unrelated && self.is_provisional() {
            self.send_to(vm, RevisionMessage::AskSettled);
        }
    }

    /// Starts to collect a settled peer's change if it must replace the provisional one held here.
    fn handle_settled(&mut self, vm: VmAddress, change: ChangeRecord, address: &WeakAddress<Self>) {
        let is_provisional = self.is_provisional();
        let head = change.head();
        let held_change = self.held_change();
        if !is_provisional || !held_change.is_some_and(|held_change| must_adopt(held_change, head))
        {
            return;
        }
        log::warn!(target: "ebonyfork::decision", "adopt {head} of the settled peer {vm}");
        self.adopting_head = Some(head);
        self.start_assembly(vm, change, address);
    }

    /// Starts to load the store's head revision, unless a load is running, has to wait, or the revision isn't wanted.
    fn load_wanted_revision(&mut self, address: &WeakAddress<Self>) {
        let ObservedHead::Present(head) = self.observed_head else {
            return;
        };
        if self.is_loading
            || self.now() < self.next_load_at
            || !self.feed.is_wanted(head.revision.0)
        {
            return;
        }
        self.is_loading = true;
        let (client, held_revision, address) = (
            self.client.clone(),
            self.held_revision.clone(),
            address.clone(),
        );
        self.tasks.spawn(async move {
            let load_result = load_revision(&client, head, held_revision.as_ref()).await;
            let _send_result = address.send(RevisionLoaded { head, load_result }).await;
        });
    }

    /// Returns whether the store's head lacks the held revision.
    fn store_lacks_held_revision(&self) -> bool {
        let Some(held_head) = self.held_revision.as_ref().map(HeldRevision::head) else {
            return false;
        };
        match self.observed_head {
            ObservedHead::NotRead => false,
            ObservedHead::Absent => true,
            ObservedHead::Present(head) if head == held_head => false,
            ObservedHead::Present(head) => {
                head.revision <= held_head.revision || self.refused_head == Some(head)
            }
        }
    }

    /// Moves the store's head forward again if the store has lost the held revision.
    fn restore_lost_head(&mut self, address: &WeakAddress<Self>) {
        let now = self.now();
        if self.is_provisional() || !self.store_lacks_held_revision() {
            self.store_behind_since = None;
            return;
        }
        let store_behind_since = *self.store_behind_since.get_or_insert(now);
        if self.is_restoring || now < store_behind_since + ROLLBACK_GRACE_TIME {
            return;
        }
        let Some(held_revision) = self.held_revision.clone() else {
            return;
        };
        self.store_behind_since = Some(now);
        self.is_restoring = true;
        let (client, address) = (self.client.clone(), address.clone());
        self.tasks.spawn(async move {
            let restore_result = restore_head(&client, &held_revision).await;
            let restore_result = restore_result.map_err(|error| error.to_compact_string());
            let _send_result = address.send(RestoreFinished { restore_result }).await;
        });
    }

    /// Writes the zone's evidence if this VM is a watcher and the evidence is due.
    fn write_due_evidence(&mut self, address: &WeakAddress<Self>) {
        let now = self.now();
        if self.is_writing_evidence || !self.feed.is_watching() {
            return;
        }
        let Some(held_head) = self.held_revision.as_ref().map(HeldRevision::head) else {
            return;
        };
        let Some(evidence) = self
            .evidence
            .due_evidence(now, unix_millis(), held_head, &self.feed)
        else {
            return;
        };
        self.metrics.lagging_vms.set(evidence.lagging.len() as i64);
        self.is_writing_evidence = true;
        let (client, address) = (self.client.clone(), address.clone());
        self.tasks.spawn(async move {
            let write_result = write_evidence(&client, &evidence).await;
            if let Err(error) = &write_result {
                log::debug!("evidence of zone {}: {error}", evidence.zone);
            }
            let has_failed = write_result.is_err();
            let _send_result = address.send(EvidenceWritten { has_failed }).await;
        });
    }
}
