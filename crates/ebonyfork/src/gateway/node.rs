//! Assembles a gateway process: listeners, store mirror, registration, gossip and planned shutdown. The long-lived tasks
//! are owned by a [`TaskSupervisor`].

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Mutex, mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::clock::now;
use crate::gateway::cold_claims::run_claims;
use crate::gateway::control::{LOCATE_TTL, serve_control};
use crate::gateway::core::{GatewayCore, ServiceState};
use crate::gateway::dialect::GatewayDialect;
use crate::gateway::follow::follow_store;
use crate::gateway::gossip::connect_gossip;
use crate::gateway::ingress::serve_callers;
use crate::gateway::peers::{accept_links, follow_links, open_links};
use crate::gateway::policy::shutdown::{ShutdownBacklog, ShutdownPhase, ShutdownPlan};
use crate::gateway::quota::run_quota_claims;
use crate::gateway::register::VmRegistration;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::share_exchange::run_leases;
use crate::gateway::speed_exchange::run_speed_exchange;
use crate::gateway::status::serve_status;
use crate::gateway::supervisor::{TaskAborter, TaskFailure, TaskSupervisor};
use crate::gateway::tasks::TaskName;
use crate::ident::{SessionId, VmAddress, ZoneName};
use crate::intake::open_listener;
use crate::membership::{MemberHandle, MemberSettings};
use crate::store::{LeaseId, StorePort};
use crate::wire::{LinkEvent, PeerPool, PoolSettings};

/// Callers keep a locate answer for up to this multiple of its time to live.
const TTL_FACTOR: u32 = 3;
/// Time between two sweeps of idle connections and missing entries.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);
/// Number of sweeps between two clean-ups of the retry budgets, which cover 10 s.
const SWEEPS_PER_BUDGET_CLEANUP: u32 = 40;
/// Time between two checks of what a process that shuts down still has to deliver.
const SHUTDOWN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Error that prevents a gateway from starting.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// Can't listen on an address.
    #[snafu(display("{role} address {address}: {source}"))]
    Bind {
        /// Purpose of the address.
        role: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
}

/// A running gateway. It must live inside a `LocalSet`.
pub struct GatewayNode<P> {
    core: Rc<GatewayCore>,
    port: P,
    registration_lease: Rc<std::cell::Cell<Option<LeaseId>>>,
    membership: MemberHandle,
    stop_token: CancellationToken,
    failure: watch::Receiver<Option<TaskFailure>>,
    aborter: TaskAborter,
    supervisor: AbortOnDropHandle<()>,
}

impl<P> fmt::Debug for GatewayNode<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayNode").finish_non_exhaustive()
    }
}

impl<P: StorePort> GatewayNode<P> {
    /// Binds the addresses and starts all tasks.
    pub async fn start(
        settings: GatewaySettings,
        dialect: GatewayDialect,
        port: P,
    ) -> Result<Self, GatewayError> {
        let listen = settings.listen;
        let caller = bind("caller", listen.caller_address)?;
        let ready = bind("ready", listen.ready_address)?;
        let directory = bind("directory", listen.directory_address)?;
        let metrics = bind("metrics", listen.metrics_address)?;
        let peer_address = SocketAddr::new(settings.place.address, listen.peer_port);
        let gossip_socket = UdpSocket::bind(peer_address).await.context(BindSnafu {
            role: "peer",
            address: peer_address,
        })?;
        // Messages of other VMs are long, and their way may be, so the kernel's default buffers stay.
        let peer = TcpListener::bind(peer_address).await.context(BindSnafu {
            role: "peer",
            address: peer_address,
        })?;
        let peer = Rc::new(peer);
        let core = Rc::new(GatewayCore::new(settings, dialect));
        let session = core.session;
        let stop_token = CancellationToken::new();
        let pool_settings =
            PoolSettings::new(session, listen.peer_port).with_budget(*core.intake.budget());
        let (pool, link_events) = open_links(pool_settings, stop_token.clone());
        core.delegates.set_pool(pool.clone());
        let (seed_sender, seeds) = watch::channel(Arc::<[VmAddress]>::default());
        let membership = MemberHandle::start(member_settings(&core, session), gossip_socket, seeds);
        let mut registry = Registry::default();
        core.metrics.register(&mut registry);
        core.intake
            .metrics()
            .register(registry.sub_registry_with_prefix("ebonyfork_gateway"));
        core.quarantine.register(&mut registry);
        membership.register(&mut registry);
        let registration = Rc::new(VmRegistration::new(Rc::clone(&core), port.clone()));
        let registration_lease = registration.lease();
        let own_vm = (session.vm, own_zone(&core));
        let mut tasks = TaskSupervisor::new(Rc::clone(&core));
        start_listeners(&mut tasks, &core, [caller, ready, directory]);
        let (shared_core, registry) = (Rc::clone(&core), Rc::new(registry));
        tasks.start(TaskName::StatusListener, move || {
            serve_status(
                Rc::clone(&shared_core),
                Rc::clone(&registry),
                Rc::clone(&metrics),
            )
        });
        start_store_tasks(&mut tasks, &core, &port);
        let (shared_core, store, vm) = (Rc::clone(&core), port.clone(), own_vm.clone());
        let members = membership.snapshot();
        tasks.start(TaskName::StoreFollower, move || {
            follow_store(
                Rc::clone(&shared_core),
                store.clone(),
                seed_sender.clone(),
                members.clone(),
                vm.clone(),
            )
        });
        tasks.start(TaskName::Registration, move || {
            Rc::clone(&registration).run()
        });
        start_peer_tasks(&mut tasks, &core, (pool, peer), link_events);
        connect_gossip(&mut tasks, &core, &membership, own_vm);
        log_start(&core);
        Ok(Self {
            core,
            port,
            registration_lease,
            membership,
            stop_token,
            failure: tasks.failure(),
            aborter: tasks.aborter(),
            supervisor: AbortOnDropHandle::new(tokio::task::spawn_local(tasks.run())),
        })
    }

    /// Waits until a task ends that can't be restarted. The process should stop as planned then and exit with an error,
    /// so that the platform starts it again.
    pub async fn failure(&mut self) -> TaskFailure {
        // Fails only if the supervisor, which owns the sender, has ended itself, and all tasks with it.
        let _is_told = self.failure.wait_for(Option::is_some).await.is_ok();
        let failure = self.failure.borrow().clone();
        failure.unwrap_or_else(|| TaskFailure {
            task: "supervisor".into(),
            reason: "it ended".into(),
        })
    }

    /// Ends the current run of a task, for tests of what follows. Returns false if this process has no such task.
    pub fn abort_task(&self, task: TaskName) -> bool {
        self.aborter.abort(task)
    }

    /// Returns whether a task is down: it has ended against its purpose and not started again yet.
    pub fn is_task_down(&self, task: TaskName) -> bool {
        self.core.tasks.is_down(task)
    }

    /// Shuts down as planned: directs callers to other VMs while still serving, then completes and delivers the answers.
    pub async fn stop(self) {
        let started_at = now();
        let grace = self.core.settings.grace;
        let plan = ShutdownPlan::new(grace, LOCATE_TTL * TTL_FACTOR);
        self.log_shutdown("begins", started_at);
        self.core.set_state(ServiceState::Leaving);
        self.membership.announce_leaving();
        self.end_lease().await;
        let mut phase = ShutdownPhase::Leaving;
        while phase != ShutdownPhase::Done {
            tokio::time::sleep(SHUTDOWN_CHECK_PERIOD).await;
            let elapsed = now().saturating_duration_since(started_at);
            self.core.set_shutdown_cut(plan.cut(elapsed));
            let next_phase = plan.next_phase(phase, elapsed, self.backlog());
            if next_phase == phase {
                continue;
            }
            phase = next_phase;
            match phase {
                ShutdownPhase::Draining => self.core.set_state(ServiceState::Draining),
                ShutdownPhase::Closing => {
                    self.log_shutdown("closes connections", started_at);
                    self.core.connections.close();
                }
                ShutdownPhase::Leaving | ShutdownPhase::Done => {}
            }
        }
        self.log_shutdown("ends", started_at);
        self.stop_token.cancel();
        self.supervisor.abort();
    }

    /// Returns what this process still has to deliver.
    fn backlog(&self) -> ShutdownBacklog {
        ShutdownBacklog {
            answers: self.core.in_flight.get(),
            connections: self.core.connections.open_count(),
        }
    }

    fn log_shutdown(&self, progress: &str, started_at: std::time::Instant) {
        let backlog = self.backlog();
        log::info!(
            "planned stop {progress}: in_flight={} connections={} took_ms={} grace_ms={}",
            backlog.answers,
            backlog.connections,
            now().saturating_duration_since(started_at).as_millis(),
            self.core.settings.grace.as_millis()
        );
    }

    /// Removes this VM's entry from the store by ending its lease. If the store does not answer, the lease expires on
    /// its own.
    async fn end_lease(&self) {
        /// Callers look up every second, so it is not worth waiting longer for a slow store.
        const STORE_TIMEOUT: Duration = Duration::from_millis(300);
        let Some(lease) = self.registration_lease.take() else {
            return;
        };
        match tokio::time::timeout(STORE_TIMEOUT, self.port.end_lease(lease)).await {
            Ok(Ok(())) => log::info!("registration ended lease={lease}"),
            Ok(Err(error)) => log::info!("registration lease={lease} not ended: {error}"),
            Err(_elapsed) => log::info!("registration lease={lease} not ended: no answer"),
        }
    }
}

/// Opens a listener that all runs of a task share, so that connections are not refused between two runs.
fn bind(role: &'static str, address: SocketAddr) -> Result<Rc<TcpListener>, GatewayError> {
    let listener = open_listener(address);
    listener.map(Rc::new).context(BindSnafu { role, address })
}

/// Starts the tasks that accept callers' connections and control calls.
fn start_listeners(
    tasks: &mut TaskSupervisor,
    core: &Rc<GatewayCore>,
    [caller, ready, directory]: [Rc<TcpListener>; 3],
) {
    let shared_core = Rc::clone(core);
    tasks.start(TaskName::CallerListener, move || {
        serve_callers(Rc::clone(&shared_core), Rc::clone(&caller))
    });
    let control_listeners = [
        (TaskName::ReadyListener, ready),
        (TaskName::DirectoryListener, directory),
    ];
    for (name, listener) in control_listeners {
        let shared_core = Rc::clone(core);
        tasks.start(name, move || {
            serve_control(Rc::clone(&shared_core), Rc::clone(&listener))
        });
    }
}

/// Starts the tasks that sweep and that write claims. Tasks for which the settings have no use are not started.
fn start_store_tasks(tasks: &mut TaskSupervisor, core: &Rc<GatewayCore>, port: &impl StorePort) {
    let shared_core = Rc::clone(core);
    tasks.start(TaskName::Sweep, move || sweep(Rc::clone(&shared_core)));
    if core.settings.cold_bound.is_some() {
        let (shared_core, store) = (Rc::clone(core), port.clone());
        tasks.start(TaskName::ColdClaims, move || {
            run_claims(Rc::clone(&shared_core), store.clone())
        });
    }
    let (shared_core, store) = (Rc::clone(core), port.clone());
    tasks.start(TaskName::QuotaClaims, move || {
        run_quota_claims(Rc::clone(&shared_core), store.clone())
    });
}

/// Starts the tasks that exchange messages with other VMs.
fn start_peer_tasks(
    tasks: &mut TaskSupervisor,
    core: &Rc<GatewayCore>,
    (pool, listener): (PeerPool, Rc<TcpListener>),
    link_events: mpsc::Receiver<LinkEvent>,
) {
    tasks.start(TaskName::PeerListener, move || {
        accept_links(pool.clone(), Rc::clone(&listener))
    });
    // Each run holds the lock until it ends; events stay in the queue between two runs.
    let link_events = Rc::new(Mutex::new(link_events));
    let shared_core = Rc::clone(core);
    tasks.start(TaskName::PeerMessages, move || {
        let (core, link_events) = (Rc::clone(&shared_core), Rc::clone(&link_events));
        async move { follow_links(core, &mut *link_events.lock().await).await }
    });
    let (shared_core, own_vm) = (Rc::clone(core), core.session.vm);
    tasks.start(TaskName::RetryShares, move || {
        run_leases(Rc::clone(&shared_core), own_vm)
    });
    if core.settings.placement.shares_upstream_speed {
        let shared_core = Rc::clone(core);
        tasks.start(TaskName::SpeedExchange, move || {
            run_speed_exchange(Rc::clone(&shared_core))
        });
    }
}

/// Returns the name of the own zone in gossip.
fn own_zone(core: &GatewayCore) -> ZoneName {
    let zone = core.settings.place.zone.as_str().parse::<ZoneName>();
    zone.unwrap_or_else(|error| {
        log::warn!("zone name not valid in gossip, using `other`: {error}");
        "other".parse().expect("a constant name is valid")
    })
}

fn member_settings(core: &GatewayCore, session: SessionId) -> MemberSettings {
    let port = core.settings.listen.peer_port;
    MemberSettings::new(session, own_zone(core), port, rand::random())
}

fn log_start(core: &GatewayCore) {
    let (place, listen) = (&core.settings.place, &core.settings.listen);
    log::info!(
        "start version={} vm={} zone={} region={} callers={} directory={} ready={} store={}",
        env!("CARGO_PKG_VERSION"),
        place.name,
        place.zone,
        place.region,
        listen.caller_address,
        listen.directory_address,
        listen.ready_address,
        core.settings.store
    );
}

/// Removes expired state periodically: idle connections, entries that have not reappeared, budgets of idle services.
async fn sweep(core: Rc<GatewayCore>) {
    let mut sweeps = 0_u32;
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let time = now();
        core.watch_copy(time);
        core.expire_missing(time);
        core.registry.for_each(|upstream| {
            upstream.close_expired(time);
            upstream.raise_limit(time);
        });
        sweeps = sweeps.wrapping_add(1);
        if sweeps.is_multiple_of(SWEEPS_PER_BUDGET_CLEANUP) {
            let time = core.running_time();
            core.retry_budget.borrow_mut().remove_idle(time);
            core.quota_desk.remove_idle(time);
        }
    }
}
