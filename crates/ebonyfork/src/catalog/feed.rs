//! The actor that learns of index catalogues and puts them in force; [`CatalogSpread`] makes its decisions.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rustc_hash::FxHashMap;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::catalog::IndexCatalog;
use crate::declaration::DeclaredConfig;
use crate::ident::{IndexName, VmAddress};
use crate::revision::ZonePeers;
use crate::settings::NodeSettings;
use crate::store::{KeyWatch, StoreClient};
use crate::topology::TopologyView;
use crate::views::{CatalogSet, NodeViews};
use crate::wire::{LinkError, LinkSender, PeerMessage};

use super::message::CatalogMessage;
use super::spread::{CatalogAction, CatalogSpread, catalog_key};

/// Interval at which the actor checks its timers.
const TICK_PERIOD: Duration = Duration::from_millis(200);

/// A function that sends a message to a VM over the link to it.
type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

/// Handle to the feed of index catalogues. Cheap to clone; the feed ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct CatalogHandle {
    address: Address<CatalogActor>,
    epoch_gauges: EpochFamily,
}

type EpochFamily = Family<IndexLabels, Gauge>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct IndexLabels {
    index: String,
}

impl CatalogHandle {
    /// Starts to follow the catalogue of each index that a declared class names. Two VMs of a zone watch the store for
    /// an index and the others learn from them; messages to peers are sent through `send`.
    pub fn start(
        settings: &NodeSettings,
        client: StoreClient,
        views: NodeViews,
        catalog_sender: watch::Sender<Arc<CatalogSet>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let peers = ZonePeers::new(settings.vm, settings.zone.clone());
        let actor = CatalogActor::new(peers, client, catalog_sender, send);
        let epoch_gauges = actor.epoch_gauges.clone();
        let address = spawn_catalog_actor(actor, views.config, views.topology);
        Self {
            address,
            epoch_gauges,
        }
    }

    /// Registers the gauge of the catalogue epochs in force.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "catalog_epoch",
            "Epoch of the catalogue in force, by index",
            self.epoch_gauges.clone(),
        );
    }

    /// Handles a message from a peer; replies go back over `sender`.
    pub async fn handle_message(&self, sender: LinkSender, message: CatalogMessage) {
        // A stopped feed accepts no messages, which happens only while the process is stopping.
        let _send_result = self.address.send(ReceivedMessage { sender, message }).await;
    }

    /// Stops the feed even if other handles to it still exist.
    pub fn stop(&self) {
        let _send_result = self.address.send(StopFeed).detach().now_or_never();
    }
}

struct StopFeed;
struct Tick;
struct TopologyChanged(Arc<TopologyView>);
struct ConfigChanged(Arc<DeclaredConfig>);
struct ReceivedMessage {
    sender: LinkSender,
    message: CatalogMessage,
}
/// A catalogue that the store shows.
struct CatalogObserved {
    index: IndexName,
    text: Bytes,
}

/// Learns of index catalogues and puts them in force.
#[derive(xtra::Actor)]
pub struct CatalogActor {
    client: StoreClient,
    catalog_sender: watch::Sender<Arc<CatalogSet>>,
    send_message: Arc<SendFunction>,
    started_at: Instant,
    epoch_gauges: EpochFamily,
    spread: CatalogSpread,
    /// The tasks that watch the store, by the index whose catalogue they watch.
    watch_tasks: FxHashMap<IndexName, AbortHandle>,
    tasks: JoinSet<()>,
}

impl fmt::Debug for CatalogActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CatalogActor").finish_non_exhaustive()
    }
}

fn spawn_catalog_actor(
    actor: CatalogActor,
    config: watch::Receiver<Arc<DeclaredConfig>>,
    topology: watch::Receiver<Arc<TopologyView>>,
) -> Address<CatalogActor> {
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let weak_address = address.downgrade();
    tokio::spawn(run_timer(weak_address.clone()));
    tokio::spawn(follow_view(weak_address.clone(), config, ConfigChanged));
    tokio::spawn(follow_view(weak_address, topology, TopologyChanged));
    address
}

async fn run_timer(address: WeakAddress<CatalogActor>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Forwards each new value of a view to the actor.
async fn follow_view<T, M>(
    address: WeakAddress<CatalogActor>,
    mut view: watch::Receiver<Arc<T>>,
    to_message: impl Fn(Arc<T>) -> M + Send,
) where
    T: Send + Sync,
    M: Send + 'static,
    CatalogActor: Handler<M, Return = ()>,
{
    loop {
        let value = view.borrow_and_update().clone();
        if address.send(to_message(value)).await.is_err() {
            return;
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Reports each version of an index's catalogue in the store to the actor until the feed ends.
async fn watch_catalog(client: StoreClient, index: IndexName, address: WeakAddress<CatalogActor>) {
    let mut watch = KeyWatch::new(client, catalog_key(&index));
    while address.is_connected() {
        // The catalogue in force stays if its key is removed from the store.
        let Some(stored_item) = watch.next().await else {
            continue;
        };
        let (index, text) = (index.clone(), stored_item.value);
        let _send_result = address.send(CatalogObserved { index, text }).await;
    }
}

impl CatalogActor {
    fn new(
        peers: ZonePeers,
        client: StoreClient,
        catalog_sender: watch::Sender<Arc<CatalogSet>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        Self {
            client,
            catalog_sender,
            send_message: Arc::new(send),
            started_at: Instant::now(),
            epoch_gauges: EpochFamily::default(),
            spread: CatalogSpread::new(peers, rand::random()),
            watch_tasks: FxHashMap::default(),
            tasks: JoinSet::new(),
        }
    }

    fn run_actions(&mut self, actions: Vec<CatalogAction>, address: &WeakAddress<Self>) {
        for action in actions {
            match action {
                CatalogAction::Watch(index) => {
                    let watch_future =
                        watch_catalog(self.client.clone(), index.clone(), address.clone());
                    let watch_task = self.tasks.spawn(watch_future);
                    self.watch_tasks.insert(index, watch_task);
                }
                CatalogAction::Unwatch(index) => {
                    if let Some(watch_task) = self.watch_tasks.remove(&index) {
                        watch_task.abort();
                    }
                }
                CatalogAction::Send(vm, message) => self.send_to(vm, message),
                CatalogAction::PutInForce(index, catalog) => self.put_in_force(index, catalog),
            }
        }
    }

    fn send_to(&self, vm: VmAddress, message: CatalogMessage) {
        if let Err(error) = (self.send_message)(vm, PeerMessage::Catalog(message)) {
            log::debug!("catalogue message to {vm}: {error}");
        }
    }

    fn put_in_force(&self, index: IndexName, catalog: IndexCatalog) {
        let newest_version = catalog.newest().map(|shards| shards.version);
        log::info!(
            target: "ebonyfork::decision",
            "put catalogue epoch {} of {index} in force, newest version {newest_version:?}",
            catalog.epoch,
        );
        let labels = IndexLabels {
            index: index.to_string(),
        };
        self.epoch_gauges
            .get_or_create(&labels)
            .set(catalog.epoch as i64);
        self.catalog_sender.send_modify(|catalogs| {
            let mut updated_catalogs = CatalogSet::clone(catalogs);
            updated_catalogs.insert(index, catalog);
            *catalogs = Arc::new(updated_catalogs);
        });
    }

    fn apply_catalog(&mut self, index: &IndexName, text: &Bytes, address: &WeakAddress<Self>) {
        match self.spread.apply_catalog(index, text) {
            Ok(actions) => self.run_actions(actions, address),
            Err(error) => log::error!("catalogue of {index}: {error}"),
        }
    }
}

impl Handler<Tick> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, ctx: &mut Context<Self>) {
        while self.tasks.try_join_next().is_some() {}
        let actions = self.spread.tick(self.started_at.elapsed());
        self.run_actions(actions, &ctx.mailbox().address());
    }
}

impl Handler<StopFeed> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, _message: StopFeed, ctx: &mut Context<Self>) {
        ctx.stop_self();
    }
}

impl Handler<TopologyChanged> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: TopologyChanged, ctx: &mut Context<Self>) {
        let actions = self.spread.apply_topology(&message.0);
        self.run_actions(actions, &ctx.mailbox().address());
    }
}

impl Handler<ConfigChanged> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: ConfigChanged, ctx: &mut Context<Self>) {
        let classes = message.0.classes.values();
        let named_indexes = classes.map(|class| class.index.clone());
        let actions = self.spread.set_named_indexes(named_indexes);
        self.run_actions(actions, &ctx.mailbox().address());
    }
}

impl Handler<CatalogObserved> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: CatalogObserved, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.apply_catalog(&message.index, &message.text, &address);
    }
}

impl Handler<ReceivedMessage> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: ReceivedMessage, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let ReceivedMessage { sender, message } = message;
        let Some(peer) = sender.peer() else {
            return;
        };
        let now = self.started_at.elapsed();
        match message {
            CatalogMessage::Held(epochs) => {
                let actions = self.spread.apply_peer_epochs(now, peer.vm, &epochs);
                self.run_actions(actions, &address);
            }
            CatalogMessage::Ask(epochs) => {
                for reply in self.spread.newer_catalogs(&epochs) {
                    if let Err(error) = sender.send(PeerMessage::Catalog(reply)) {
                        log::debug!("catalogue reply: {error}");
                    }
                }
                let actions = self.spread.apply_peer_epochs(now, peer.vm, &epochs);
                self.run_actions(actions, &address);
            }
            CatalogMessage::Value { index, text } => self.apply_catalog(&index, &text, &address),
        }
    }
}
