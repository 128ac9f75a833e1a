//! Starts and connects the subsystems of a node, and stops them in order.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::future::BoxFuture;
use prometheus_client::registry::Registry;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller::{CallerService, LocateAnswer, serve_callers};
use crate::catalog::CatalogHandle;
use crate::declaration::DeclaredConfig;
use crate::entry::{EntryHandle, EntrySettings};
use crate::gateway::IntakeBudget;
use crate::ident::{IncarnationNumber, OrganisationName, SessionId, VmAddress};
use crate::intake::IntakeTable;
use crate::lifecycle::{LifecycleHandle, LifecycleSettings, StopPlan, StopReport, StopSteps};
use crate::locate::{LocateSettings, locate_addresses};
use crate::membership::{MemberHandle, MemberSettings};
use crate::node::dispatch::{FeedStopGuard, PeerDispatch};
use crate::node::gossip::{connect_gossip, newest_revision};
use crate::node::listening::{NodeError, NodeSockets};
use crate::node::options::NodeOptions;
use crate::node::status::StatusReader;
use crate::once::{OnceHandle, session_successor};
use crate::operator::{OperatorService, serve_operators};
use crate::quarantine::{QuarantineHandle, QuarantineStatus};
use crate::query::QueryRequest;
use crate::relay::{RelayHandle, RelaySettings};
use crate::revision::RevisionHandle;
use crate::settings::NodeSettings;
use crate::store::{StoreClient, StoreError, StorePort};
use crate::topology::{TopologyHandle, TopologySettings, TopologyView, read_vm_list};
use crate::views::{CatalogSet, NodeReadiness, NodeViews, ViewWriters, view_channels};
use crate::wire::{EventFuture, LinkError, LinkEvent, PeerMessage, PeerPool, PoolSettings};

/// Timeout for the servers to finish writing answers at the end of a planned stop.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A running node: one process of the deployment.
#[derive(Debug)]
pub struct Node {
    session: SessionId,
    views: NodeViews,
    dispatch: PeerDispatch,
    /// Cancelled at the end of a planned stop: ends links and servers.
    stop: CancellationToken,
    membership: MemberHandle,
    lifecycle: LifecycleHandle,
    locate_ttl: Duration,
    /// Cancelled to cut a planned stop short.
    hurry: CancellationToken,
    /// Caller servers, which a planned stop waits for.
    servers: JoinSet<()>,
    /// All other tasks, aborted when the node is dropped.
    _tasks: JoinSet<()>,
    _feeds: FeedStopGuard,
}

impl Node {
    /// Binds all sockets and starts all subsystems on the current runtime. `store` connects to the persistent store.
    pub async fn start(
        settings: NodeSettings,
        options: NodeOptions,
        store: impl StorePort,
    ) -> Result<Self, NodeError> {
        let sockets = NodeSockets::bind(&settings).await?;
        let session = SessionId::new(settings.vm, new_incarnation());
        log::info!("node {session} starts in {}", settings.zone);
        let client = StoreClient::new(store, settings.platform_timeout);
        Ok(NodeAssembly::new(settings, options, session, client).assemble(sockets))
    }

    /// Returns the session of this node: its VM and its process incarnation.
    pub fn session(&self) -> SessionId {
        self.session
    }

    /// Waits until the node accepts work.
    pub async fn ready(&self) {
        let mut readiness = self.views.readiness.clone();
        // The writer lives as long as the node, so the wait can't end with an error.
        let _wait_result = readiness
            .wait_for(|readiness| readiness.accepts_work())
            .await;
    }

    /// Performs a planned stop: announces that the node is leaving, finishes the work in flight, then stops all
    /// subsystems.
    pub async fn stop(self) -> StopReport {
        let Self {
            session,
            views,
            dispatch,
            membership,
            ..
        } = &self;
        let plan = StopPlan::new(self.locate_ttl, longest_class_bound(views));
        let steps = StopSteps {
            announce: || membership.announce_leaving(),
            in_flight: || dispatch.in_flight(),
            hand_over: || async {
                let successor = session_successor(&views.topology.borrow(), *session)?;
                Some(dispatch.once.hand_over(successor).await)
            },
            skip_waiting: self.hurry.clone(),
        };
        let report = self.lifecycle.stop(plan, steps).await;
        self.stop.cancel();
        // Let the servers finish the answers they are writing; the other tasks are dropped with the node.
        let server_tasks = self.servers.join_all();
        let _join_result = tokio::time::timeout(SERVER_STOP_TIMEOUT, server_tasks).await;
        report
    }
}

/// Returns whether the class of a request is declared idempotent, in which case its idempotency key is ignored.
fn is_idempotent(config: &DeclaredConfig, request: &QueryRequest) -> bool {
    config
        .classes
        .get(&request.class)
        .is_some_and(|class| class.idempotent)
}

/// Returns the longest time that any class allows for a query.
fn longest_class_bound(views: &NodeViews) -> Duration {
    let config = views.config.borrow();
    let bounds = config.classes.values().map(|class| class.bound);
    bounds.max().unwrap_or_default()
}

/// Returns the incarnation of a process that starts now: the wall-clock time in milliseconds.
fn new_incarnation() -> IncarnationNumber {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    IncarnationNumber(since_epoch.as_millis() as u64)
}

/// Reference to the peer pool, which is created after the subsystems that send through it.
#[derive(Debug, Clone, Default)]
struct DeferredPool(Arc<OnceLock<PeerPool>>);

impl DeferredPool {
    /// Sends a message to a VM; fails if the pool has not been created yet.
    fn send(&self, vm: VmAddress, message: PeerMessage) -> Result<(), LinkError> {
        let pool = self.0.get().ok_or(LinkError::Handshake)?;
        pool.send(vm, message)
    }
}

/// State shared by the steps that assemble a node.
struct NodeAssembly {
    settings: NodeSettings,
    options: NodeOptions,
    session: SessionId,
    stop: CancellationToken,
    pool: DeferredPool,
    registry: Registry,
    client: StoreClient,
    quarantine: QuarantineHandle,
    /// Caller servers, which a planned stop waits for.
    servers: JoinSet<()>,
    /// All other tasks, aborted when the node is dropped.
    tasks: JoinSet<()>,
}

impl NodeAssembly {
    fn new(
        settings: NodeSettings,
        options: NodeOptions,
        session: SessionId,
        client: StoreClient,
    ) -> Self {
        Self {
            settings,
            options,
            session,
            stop: CancellationToken::new(),
            pool: DeferredPool::default(),
            registry: Registry::with_prefix("ebonyfork"),
            client,
            quarantine: QuarantineHandle::new(),
            servers: JoinSet::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts all subsystems in the order of their dependencies.
    fn assemble(mut self, sockets: NodeSockets) -> Node {
        let (writers, views) = view_channels();
        let ViewWriters {
            topology,
            config,
            catalog,
            readiness,
        } = writers;
        let topology_settings = TopologySettings::new(self.session, self.settings.zone.clone());
        let membership = self.start_membership(sockets.membership_socket, &topology_settings);
        let lifecycle = start_lifecycle(&views, &membership, readiness);
        let topology = self.start_topology(topology_settings, &membership, &lifecycle, topology);
        let entry = self.start_entry(&views);
        let dispatch = PeerDispatch {
            relay: self.start_relay(&views, topology),
            revision: self.start_revision(&views, config),
            catalog: self.start_catalog(&views, catalog),
            once: self.start_once(&views, &entry),
            entry,
        };
        self.register(&dispatch);
        membership.register(&mut self.registry);
        lifecycle.register(&mut self.registry);
        connect_gossip(
            &mut self.tasks,
            &membership,
            &dispatch,
            &self.quarantine,
            &views,
        );
        self.start_links(sockets.peer_listener, &dispatch, &views);
        self.start_callers(
            sockets.caller_listener,
            &dispatch,
            &views,
            &membership,
            &lifecycle,
        );
        self.start_operators(sockets.operator_listener, &dispatch, &views);
        let feeds = FeedStopGuard {
            revision: dispatch.revision.clone(),
            catalog: dispatch.catalog.clone(),
        };
        Node {
            _feeds: feeds,
            session: self.session,
            views,
            dispatch,
            stop: self.stop,
            membership,
            lifecycle,
            locate_ttl: self.settings.locate_ttl,
            hurry: self.options.hurry,
            servers: self.servers,
            _tasks: self.tasks,
        }
    }

    /// Starts membership on the bound socket, with the VM list of the topology feed as seeds.
    fn start_membership(&self, socket: UdpSocket, topology: &TopologySettings) -> MemberHandle {
        let delay = Arc::clone(&self.options.link_delay);
        let (zone, port) = (self.settings.zone.clone(), self.settings.peer_port);
        let seed = self.session.incarnation.0;
        let settings =
            MemberSettings::new(self.session, zone, port, seed).with_delay(move |vm| delay(vm));
        MemberHandle::start(settings, socket, topology.seeds())
    }

    /// Starts the topology feed; each successful read of the VM list counts as store contact.
    fn start_topology(
        &self,
        settings: TopologySettings,
        membership: &MemberHandle,
        lifecycle: &LifecycleHandle,
        writer: watch::Sender<Arc<TopologyView>>,
    ) -> TopologyHandle {
        let (client, lifecycle) = (self.client.clone(), lifecycle.clone());
        let list = move || -> BoxFuture<'static, _> {
            let (client, lifecycle) = (client.clone(), lifecycle.clone());
            Box::pin(async move {
                let records = read_vm_list(&client).await?;
                lifecycle.record_store_contact();
                Ok::<_, StoreError>(records)
            })
        };
        TopologyHandle::start(settings, list, membership.snapshot(), writer)
    }

    /// Starts the entry, which consults the quarantine about each query.
    fn start_entry(&self, views: &NodeViews) -> EntryHandle {
        let (quarantine, suspicion_quarantine) = (self.quarantine.clone(), self.quarantine.clone());
        let settings = EntrySettings::new(self.session, self.settings.zone.clone(), views.clone())
            .with_experiment(self.settings.experiment)
            .with_quarantine(move |fingerprint| quarantine.refuses(fingerprint))
            .with_suspicion(move |fingerprint| {
                suspicion_quarantine.admit(fingerprint) == QuarantineStatus::Suspect
            });
        let pool = self.pool.clone();
        EntryHandle::start(settings, move |vm, message| pool.send(vm, message))
    }

    /// Starts the handling of idempotency keys; it executes queries through the entry.
    fn start_once(&self, views: &NodeViews, entry: &EntryHandle) -> OnceHandle {
        let entry = entry.clone();
        let execute = move |request| -> BoxFuture<'static, _> {
            let entry = entry.clone();
            Box::pin(async move { entry.run(request).await })
        };
        let pool = self.pool.clone();
        let send = move |vm, message| pool.send(vm, message);
        OnceHandle::start(self.session, views.clone(), execute, send)
    }

    /// Starts the relay, which reports losses and answers to the quarantine and leaving upstreams to the topology.
    fn start_relay(&self, views: &NodeViews, topology: TopologyHandle) -> RelayHandle {
        let refusal_quarantine = self.quarantine.clone();
        let quarantine = self.quarantine.clone();
        let (status_quarantine, answer_quarantine) =
            (self.quarantine.clone(), self.quarantine.clone());
        let settings =
            RelaySettings::new(self.settings.vm, self.settings.zone.clone(), views.clone())
                .with_experiment(self.settings.experiment)
                .with_quarantine(
                    move |fingerprint| refusal_quarantine.refuses(fingerprint),
                    move |loss| quarantine.report_loss_at(loss.upstream, &loss.in_flight, loss.age),
                )
                .with_suspicion(
                    move |fingerprint| status_quarantine.admit(fingerprint),
                    move |fingerprint, flight| answer_quarantine.report_answer(fingerprint, flight),
                )
                .with_leaving_report(move |upstream| topology.mark_leaving(upstream));
        RelayHandle::start(settings)
    }

    /// Starts the distribution of configuration revisions.
    fn start_revision(
        &self,
        views: &NodeViews,
        writer: watch::Sender<Arc<DeclaredConfig>>,
    ) -> RevisionHandle {
        let pool = self.pool.clone();
        let send = move |vm, message| pool.send(vm, message);
        RevisionHandle::start(
            &self.settings,
            self.client.clone(),
            views.clone(),
            writer,
            send,
        )
    }

    /// Starts the distribution of index catalogues.
    fn start_catalog(
        &self,
        views: &NodeViews,
        writer: watch::Sender<Arc<CatalogSet>>,
    ) -> CatalogHandle {
        let pool = self.pool.clone();
        let send = move |vm, message| pool.send(vm, message);
        CatalogHandle::start(
            &self.settings,
            self.client.clone(),
            views.clone(),
            writer,
            send,
        )
    }

    /// Registers the metrics of all subsystems in `dispatch`, the store client and the quarantine.
    fn register(&mut self, dispatch: &PeerDispatch) {
        dispatch.entry.register(&mut self.registry);
        dispatch.relay.register(&mut self.registry);
        dispatch.once.register(&mut self.registry);
        dispatch.revision.register(&mut self.registry);
        dispatch.catalog.register(&mut self.registry);
        self.client.register(&mut self.registry);
        self.quarantine.register(&mut self.registry);
    }

    /// Returns what callers may hold of the VM.
    fn budget(&self) -> IntakeBudget {
        let capacity = &self.settings.capacity;
        IntakeBudget::new(capacity.memory_bytes, capacity.descriptors)
    }

    /// Creates the peer pool and accepts links from peers.
    fn start_links(&mut self, listener: TcpListener, dispatch: &PeerDispatch, views: &NodeViews) {
        let delay = Arc::clone(&self.options.link_delay);
        let settings = PoolSettings::new(self.session, self.settings.peer_port)
            .with_delay(move |vm| delay(vm))
            .with_budget(self.budget());
        let dispatch = dispatch.clone();
        let handler = move |event: LinkEvent| -> EventFuture {
            Box::pin(dispatch.clone().handle_event(event))
        };
        let pool = PeerPool::new(settings, self.stop.clone(), handler);
        // This is the only place that sets the cell, so setting it can't fail.
        let _set_result = self.pool.0.set(pool.clone());
        self.tasks.spawn(close_obsolete_links(
            pool.clone(),
            views.clone(),
            self.stop.clone(),
        ));
        self.tasks.spawn(async move { pool.accept(listener).await });
    }

    /// Starts the HTTP server for callers.
    fn start_callers(
        &mut self,
        listener: TcpListener,
        dispatch: &PeerDispatch,
        views: &NodeViews,
        membership: &MemberHandle,
        lifecycle: &LifecycleHandle,
    ) {
        let (once, lifecycle) = (dispatch.once.clone(), lifecycle.clone());
        let config = views.config.clone();
        let run = move |request: QueryRequest| -> BoxFuture<'static, _> {
            let (once, lifecycle) = (once.clone(), lifecycle.clone());
            let is_keyed = request.key.is_some() && !is_idempotent(&config.borrow(), &request);
            Box::pin(async move { lifecycle.serve(is_keyed, once.run(request)).await })
        };
        let locate = self.address_selector(views, membership);
        let service = CallerService::new(run, locate, views.clone());
        let intake = IntakeTable::new(self.budget());
        intake.metrics().register(&mut self.registry);
        self.servers
            .spawn(serve_callers(listener, service, intake, self.stop.clone()));
    }

    /// Returns the function that selects the addresses for a locate request.
    fn address_selector(
        &self,
        views: &NodeViews,
        membership: &MemberHandle,
    ) -> impl Fn(Option<OrganisationName>) -> LocateAnswer + Send + Sync + 'static {
        let settings = LocateSettings {
            session: self.session,
            zone: self.settings.zone.clone(),
            caller_port: self.settings.caller_port,
            ttl: self.settings.locate_ttl,
        };
        let (topology, member_snapshots) = (views.topology.clone(), membership.snapshot());
        let rng = Mutex::new(ChaCha8Rng::seed_from_u64(self.session.incarnation.0));
        move |organisation| {
            let mut rng = rng.lock().unwrap_or_else(PoisonError::into_inner);
            let (view, member_snapshot) =
                (topology.borrow().clone(), member_snapshots.borrow().clone());
            locate_addresses(
                &view,
                &member_snapshot,
                &settings,
                organisation.as_ref(),
                &mut *rng,
            )
        }
    }

    /// Starts the HTTP server for operators.
    fn start_operators(
        &mut self,
        listener: TcpListener,
        dispatch: &PeerDispatch,
        views: &NodeViews,
    ) {
        let reader = StatusReader::new(self.session, &self.settings, views, dispatch);
        let readiness = views.readiness.clone();
        let registry = std::mem::take(&mut self.registry);
        let (list_quarantine, lift_quarantine) = (self.quarantine.clone(), self.quarantine.clone());
        let service = OperatorService::new(
            registry,
            move || readiness.borrow().accepts_work(),
            move || reader.read(),
        )
        .with_quarantine(
            move || crate::node::status::quarantine_statuses(&list_quarantine),
            move |fingerprint| lift_quarantine.lift(fingerprint),
        );
        let intake = IntakeTable::new(self.budget().for_control());
        self.tasks.spawn(serve_operators(
            listener,
            service,
            intake,
            self.stop.clone(),
        ));
    }
}

/// Starts the lifecycle, which decides when the node is ready.
fn start_lifecycle(
    views: &NodeViews,
    membership: &MemberHandle,
    writer: watch::Sender<NodeReadiness>,
) -> LifecycleHandle {
    let (config, snapshot) = (views.config.clone(), membership.snapshot());
    let is_caught_up = move || newest_revision(&snapshot.borrow()) <= config.borrow().revision;
    let membership = membership.clone();
    let settings = LifecycleSettings::new()
        .with_caught_up(is_caught_up)
        .with_peer_contact(move || membership.last_peer_contact());
    LifecycleHandle::start(settings, writer, views.clone())
}

/// Closes links to VMs that are no longer in the topology view.
async fn close_obsolete_links(pool: PeerPool, mut views: NodeViews, stop: CancellationToken) {
    loop {
        let change_result = tokio::select! {
            change_result = views.topology.changed() => change_result,
            () = stop.cancelled() => return,
        };
        if change_result.is_err() {
            return;
        }
        let view = views.topology.borrow_and_update().clone();
        pool.retain(|vm| view.vms.contains_key(&vm));
    }
}
