//! The part of a process that learns index catalogues: the actor beside [`CatalogSpread`].

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

/// How often timers are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(200);

type SendFunction = dyn Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync;

/// The feed of index catalogues. Cheap to clone; the feed ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct CatalogHandle {
    address: Address<CatalogActor>,
    epochs: EpochFamily,
}

type EpochFamily = Family<IndexLabels, Gauge>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct IndexLabels {
    index: String,
}

impl CatalogHandle {
    /// Starts to follow the catalogue of each index that a declared class names. Two VMs of a zone watch the store for
    /// an index, the others learn from them; peers are reached by `send`.
    pub fn start(
        settings: &NodeSettings,
        client: StoreClient,
        views: NodeViews,
        writer: watch::Sender<Arc<CatalogSet>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let peers = ZonePeers::new(settings.vm, settings.zone.clone());
        let actor = CatalogActor::new(peers, client, writer, send);
        let epochs = actor.epochs.clone();
        let address = spawn_catalog_actor(actor, views.config, views.topology);
        Self { address, epochs }
    }

    /// Registers the epochs in force.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "catalog_epoch",
            "Epoch of the catalogue in force, by index",
            self.epochs.clone(),
        );
    }

    /// Takes a message of a peer; replies go back by `from`.
    pub async fn take_message(&self, from: LinkSender, message: CatalogMessage) {
        // A feed that has ended takes no messages; the process is stopping.
        let _ended = self.address.send(PeerInput { from, message }).await;
    }

    /// Ends the feed, although handles may still be around.
    pub fn stop(&self) {
        let _ended = self.address.send(StopFeed).detach().now_or_never();
    }
}

struct StopFeed;
struct Tick;
struct TopologyChanged(Arc<TopologyView>);
struct ConfigChanged(Arc<DeclaredConfig>);
struct PeerInput {
    from: LinkSender,
    message: CatalogMessage,
}
struct ValueSeen {
    index: IndexName,
    text: Bytes,
}

/// Learns catalogues and puts them in force.
#[derive(xtra::Actor)]
pub struct CatalogActor {
    client: StoreClient,
    writer: watch::Sender<Arc<CatalogSet>>,
    send: Arc<SendFunction>,
    started: Instant,
    epochs: EpochFamily,
    spread: CatalogSpread,
    watches: FxHashMap<IndexName, AbortHandle>,
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
    let weak = address.downgrade();
    tokio::spawn(run_timer(weak.clone()));
    tokio::spawn(follow_view(weak.clone(), config, ConfigChanged));
    tokio::spawn(follow_view(weak, topology, TopologyChanged));
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

/// Hands each value of a view to the actor.
async fn follow_view<T, M>(
    address: WeakAddress<CatalogActor>,
    mut view: watch::Receiver<Arc<T>>,
    wrap: impl Fn(Arc<T>) -> M + Send,
) where
    T: Send + Sync,
    M: Send + 'static,
    CatalogActor: Handler<M, Return = ()>,
{
    loop {
        let value = view.borrow_and_update().clone();
        if address.send(wrap(value)).await.is_err() {
            return;
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn watch_catalog(client: StoreClient, index: IndexName, address: WeakAddress<CatalogActor>) {
    let mut watch = KeyWatch::new(client, catalog_key(&index));
    while address.is_connected() {
        // A catalogue that is gone changes nothing: what is in force stays.
        let Some(stored) = watch.next().await else {
            continue;
        };
        let (index, text) = (index.clone(), stored.value);
        let _ended = address.send(ValueSeen { index, text }).await;
    }
}

impl CatalogActor {
    fn new(
        peers: ZonePeers,
        client: StoreClient,
        writer: watch::Sender<Arc<CatalogSet>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        Self {
            client,
            writer,
            send: Arc::new(send),
            started: Instant::now(),
            epochs: EpochFamily::default(),
            spread: CatalogSpread::new(peers, rand::random()),
            watches: FxHashMap::default(),
            tasks: JoinSet::new(),
        }
    }

    fn run(&mut self, actions: Vec<CatalogAction>, address: &WeakAddress<Self>) {
        for action in actions {
            match action {
                CatalogAction::Watch(index) => {
                    let watching =
                        watch_catalog(self.client.clone(), index.clone(), address.clone());
                    let watch = self.tasks.spawn(watching);
                    self.watches.insert(index, watch);
                }
                CatalogAction::Unwatch(index) => {
                    if let Some(watch) = self.watches.remove(&index) {
                        watch.abort();
                    }
                }
                CatalogAction::Send(vm, message) => self.send_to(vm, message),
                CatalogAction::PutInForce(index, catalog) => self.put_in_force(index, catalog),
            }
        }
    }

    fn send_to(&self, vm: VmAddress, message: CatalogMessage) {
        if let Err(error) = (self.send)(vm, PeerMessage::Catalog(message)) {
            log::debug!("catalogue message to {vm}: {error}");
        }
    }

    fn put_in_force(&self, index: IndexName, catalog: IndexCatalog) {
        let newest = catalog.newest().map(|shards| shards.version);
        log::info!(
            target: "ebonyfork::decision",
            "put catalogue epoch {} of {index} in force, newest version {newest:?}",
            catalog.epoch,
        );
        let labels = IndexLabels {
            index: index.to_string(),
        };
        self.epochs.get_or_create(&labels).set(catalog.epoch as i64);
        self.writer.send_modify(|catalogs| {
            let mut next = CatalogSet::clone(catalogs);
            next.insert(index, catalog);
            *catalogs = Arc::new(next);
        });
    }

    fn take_value(&mut self, index: &IndexName, text: &Bytes, address: &WeakAddress<Self>) {
        match self.spread.take_value(index, text) {
            Ok(actions) => self.run(actions, address),
            Err(error) => log::error!("catalogue of {index}: {error}"),
        }
    }
}

impl Handler<Tick> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, ctx: &mut Context<Self>) {
        while self.tasks.try_join_next().is_some() {}
        let actions = self.spread.tick(self.started.elapsed());
        self.run(actions, &ctx.mailbox().address());
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
        let actions = self.spread.take_topology(&message.0);
        self.run(actions, &ctx.mailbox().address());
    }
}

impl Handler<ConfigChanged> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: ConfigChanged, ctx: &mut Context<Self>) {
        let classes = message.0.classes.values();
        let named = classes.map(|class| class.index.clone());
        let actions = self.spread.take_indexes(named);
        self.run(actions, &ctx.mailbox().address());
    }
}

impl Handler<ValueSeen> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: ValueSeen, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.take_value(&message.index, &message.text, &address);
    }
}

impl Handler<PeerInput> for CatalogActor {
    type Return = ();

    async fn handle(&mut self, message: PeerInput, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let PeerInput { from, message } = message;
        let Some(peer) = from.peer() else {
            return;
        };
        let now = self.started.elapsed();
        match message {
            CatalogMessage::Held(shown) => {
                let actions = self.spread.take_held(now, peer.vm, &shown);
                self.run(actions, &address);
            }
            CatalogMessage::Ask(asked) => {
                for reply in self.spread.answer(&asked) {
                    if let Err(error) = from.send(PeerMessage::Catalog(reply)) {
                        log::debug!("catalogue reply: {error}");
                    }
                }
                let actions = self.spread.take_held(now, peer.vm, &asked);
                self.run(actions, &address);
            }
            CatalogMessage::Value { index, text } => self.take_value(&index, &text, &address),
        }
    }
}
